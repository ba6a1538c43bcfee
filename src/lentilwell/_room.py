"""How much room an engine has, by this instance's own books, its peers' digests and the report."""

from __future__ import annotations

from lentilwell._state import EngineView, State


def free_memory(state: State, view: EngineView) -> int:
    """Return the tokens of memory that nobody is known to hold or to have been promised."""
    name = view.spec.name
    held = view.own_memory
    use = state.peer_use.get(name)
    if use is not None:
        held += use.memory_tokens
    held += view.unclaimed_memory
    if view.report is not None:
        held = max(held, view.report.memory_used)
    for grant in state.grants[name].values() if name in state.grants else ():
        if grant.expires_at > state.now:
            held += grant.ask.memory_tokens
    return view.spec.memory_tokens - held


def count_streams(state: State, view: EngineView) -> int:
    """Return the streams that are known to be on an engine."""
    use = state.peer_use.get(view.spec.name)
    streams = view.own_streams + (use.streams if use is not None else 0)
    return max(streams, len(view.report.streams) if view.report is not None else 0)


def count_others_backlog(state: State, view: EngineView) -> int:
    """Return the tokens of peers that wait for their prefill, less what the report shows done."""
    use = state.peer_use.get(view.spec.name)
    return 0 if use is None else max(0, use.backlog_tokens - view.partly_prefilled)
