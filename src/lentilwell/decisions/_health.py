"""Health of engines: ejection after consecutive failures, and probes that let an engine back.

An ejected engine takes no work until its time is over, then one stream at a time until a stream of
it succeeds or a report of it comes. At least half of each model's engines are never ejected.
"""

from __future__ import annotations

from pyrsistent import pset

from lentilwell.reducer import EngineView, LoadUnreadable, State, Step, draw, handles, replace

EJECT_AFTER_FAILURES = 3
EJECT_AFTER_UNREADABLE = 3
FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 30_000
AVOID_MS = 250
AVOID_REFUSED_MS = 1_000
_HALF = 2


def is_usable(view: EngineView, now: int) -> bool:
    """Tell whether an engine may take new work; an ejected one takes a probe after its time."""
    if view.leaving or view.avoided_until > now:
        return False
    return view.ejected_until == 0 or is_probe_due(view, now)


def is_probe_due(view: EngineView, now: int) -> bool:
    """Tell whether an ejected engine may take one stream to show that it works again."""
    return 0 < view.ejected_until <= now and view.own_streams == 0


def is_doubtful(view: EngineView) -> bool:
    """Tell whether an engine fails but could not be ejected, since too few would be left."""
    if view.ejected_until > 0:
        return False
    return view.failures >= EJECT_AFTER_FAILURES or view.unreadable >= EJECT_AFTER_UNREADABLE


def note_failure(state: State, name: str) -> State:
    """Count a failed attempt; avoid the engine shortly, or eject it after too many in a row."""
    view = state.engines.get(name)
    if view is None:
        return state
    view = replace(view, failures=view.failures + 1, avoided_until=state.now + AVOID_MS)
    state = store_view(state, view)
    return eject(state, name) if view.failures >= EJECT_AFTER_FAILURES else state


def note_refusal(state: State, name: str) -> State:
    """Avoid an engine that has no room, until its next report."""
    view = state.engines.get(name)
    if view is None:
        return state
    return store_view(state, replace(view, avoided_until=state.now + AVOID_REFUSED_MS))


def note_success(state: State, name: str) -> State:
    """An attempt worked: let the engine back and forget its failures."""
    view = state.engines.get(name)
    if view is None or not (view.failures or view.ejected_until):
        return state
    return let_back(store_view(state, replace(view, ejections=0)), name)


def note_readable(state: State, name: str) -> State:
    """A report came: the engine has room again perhaps, and is let back when its time is over."""
    view = state.engines[name]
    view = replace(view, unreadable=0, avoided_until=0)
    state = store_view(state, view)
    return let_back(state, name) if 0 < view.ejected_until <= state.now else state


@handles(LoadUnreadable)
def note_unreadable(state: State, event: LoadUnreadable) -> Step:
    """Eject an engine whose reports cannot be read several times in a row."""
    view = state.engines.get(event.engine)
    if view is None:
        return state, ()
    view = replace(view, unreadable=view.unreadable + 1)
    state = store_view(state, view)
    if view.unreadable < EJECT_AFTER_UNREADABLE or view.ejected_until > 0:
        return state, ()
    return eject(state, event.engine), ()


def eject(state: State, name: str) -> State:
    """Eject an engine for a growing time plus jitter, unless too few would be left of a model."""
    view = state.engines[name]
    if view.ejected_until > state.now or not _may_eject(state, view):
        return state
    wait_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(view.ejections, 16))
    seed, jitter_ms = draw(state.random, wait_ms // _HALF)
    until = state.now + wait_ms + jitter_ms
    view = replace(view, ejected_until=until, ejections=view.ejections + 1)
    ejected = state.ejected
    for model in view.spec.models:
        ejected = ejected.set(model, ejected.get(model, pset()).add(name))
    return store_view(replace(state, random=seed, ejected=ejected), view)


def let_back(state: State, name: str) -> State:
    """Give an engine its full share of work again."""
    view = state.engines[name]
    ejected = state.ejected
    for model in view.spec.models:
        ejected = ejected.set(model, ejected.get(model, pset()).discard(name))
    view = replace(view, ejected_until=0, failures=0)
    return store_view(replace(state, ejected=ejected), view)


def store_view(state: State, view: EngineView) -> State:
    """Put a view into the state."""
    return replace(state, engines=state.engines.set(view.spec.name, view))


def _may_eject(state: State, view: EngineView) -> bool:
    for model in view.spec.models:
        names = state.by_model.get(model, ())
        out = [n for n in state.ejected.get(model, pset()) if _is_out(state, n, model)]
        others = len([n for n in out if n != view.spec.name])
        if (others + 1) * _HALF > len(names):
            return False
    return True


def _is_out(state: State, name: str, model: str) -> bool:
    view = state.engines.get(name)
    return view is not None and view.ejected_until > 0 and model in view.spec.models
