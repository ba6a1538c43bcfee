"""How much room an engine has, by this instance's own books, its peers' digests and the report.

A report lags: what it shows of this instance and of live peers may have ended long ago, so of the
report only that counts which is in nobody's books.
"""

from __future__ import annotations

from lentilwell.reducer import EngineView, State

GRANT_MEMORY_DIVISOR = 4


def needs_grant(memory_tokens: int, view: EngineView) -> bool:
    """Tell whether a request takes so large a share of an engine that its owner is asked."""
    return memory_tokens * GRANT_MEMORY_DIVISOR > view.spec.memory_tokens


def free_memory(state: State, view: EngineView) -> int:
    """Return the tokens of memory that nobody is known to hold or to have been promised."""
    name = view.spec.name
    reserved = view.own_memory + view.unclaimed_memory
    use = state.peer_use.get(name)
    if use is not None:
        reserved += use.memory_tokens
    for grant in state.grants[name].values() if name in state.grants else ():
        if grant.expires_at > state.now:
            reserved += grant.ask.memory_tokens
    return view.spec.memory_tokens - reserved


def count_streams(state: State, view: EngineView) -> int:
    """Return the streams that are known to be on an engine."""
    use = state.peer_use.get(view.spec.name)
    return view.own_streams + view.unclaimed_streams + (use.streams if use is not None else 0)


def count_peer_backlog(state: State, view: EngineView) -> int:
    """Return the tokens of peers that wait for their prefill, less what the report shows done."""
    use = state.peer_use.get(view.spec.name)
    return 0 if use is None else max(0, use.backlog_tokens - view.partly_prefilled)
