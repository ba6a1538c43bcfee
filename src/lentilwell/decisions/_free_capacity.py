"""Free capacity of an engine, by own records, peers' digests and the engine's report.

A report lags: attempts of this instance and of live peers that it shows may have ended long ago. So
only the part of a report that neither own records nor digests account for is counted.
"""

from __future__ import annotations

from lentilwell.reducer import EngineView, State

# A request above 1/4 of an engine's memory needs a grant.
GRANT_MEMORY_DIVISOR = 4


def needs_grant(memory_tokens: int, view: EngineView) -> bool:
    """Return whether a request is so large for an engine that the engine's owner must grant it."""
    return memory_tokens * GRANT_MEMORY_DIVISOR > view.spec.memory_tokens


def free_memory(state: State, view: EngineView) -> int:
    """Return the tokens of an engine's memory that are not known to be used or granted."""
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
    """Return the number of streams that are known to be on an engine."""
    use = state.peer_use.get(view.spec.name)
    return view.own_streams + view.unclaimed_streams + (use.streams if use is not None else 0)


def count_peer_backlog(state: State, view: EngineView) -> int:
    """Return the tokens that peers still have to prefill, less those that the report shows done."""
    use = state.peer_use.get(view.spec.name)
    return 0 if use is None else max(0, use.backlog_tokens - view.partly_prefilled)
