"""Health of engines: ejection after consecutive failures, and probes before readmission.

An ejected engine gets no work until its ejection time is over. After that it gets one stream at a
time until a stream succeeds or a load report of the engine arrives. No ejection leaves fewer than
half of a model's engines in use.
"""

from __future__ import annotations

from pyrsistent import pset

from lentilwell.reducer import (
    EngineView,
    LoadUnreadable,
    State,
    Step,
    draw_random,
    handles,
    replace,
)

EJECT_AFTER_FAILURES = 3
EJECT_AFTER_UNREADABLE = 3
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
AVOID_AFTER_FAILURE_MS = 250
AVOID_AFTER_REFUSAL_MS = 1_000
_HALF_DIVISOR = 2


def is_usable(view: EngineView, now: int) -> bool:
    """Return whether an engine may get new work, including a probe of an ejected engine."""
    if view.leaving or view.avoided_until > now:
        return False
    return view.ejected_until == 0 or is_probe_due(view, now)


def is_probe_due(view: EngineView, now: int) -> bool:
    """Return whether an ejected engine may get one stream as a probe."""
    return 0 < view.ejected_until <= now and view.own_streams == 0


def is_failing(view: EngineView) -> bool:
    """Return whether an engine fails but is not ejected, since too few engines would be left."""
    if view.ejected_until > 0:
        return False
    return view.failures >= EJECT_AFTER_FAILURES or view.unreadable >= EJECT_AFTER_UNREADABLE


def record_failure(state: State, name: str) -> State:
    """Count a failed attempt and avoid the engine briefly; eject it after too many in a row."""
    view = state.engines.get(name)
    if view is None:
        return state
    view = replace(
        view, failures=view.failures + 1, avoided_until=state.now + AVOID_AFTER_FAILURE_MS
    )
    state = store_view(state, view)
    return eject(state, name) if view.failures >= EJECT_AFTER_FAILURES else state


def record_refusal(state: State, name: str) -> State:
    """Avoid an engine that has refused a request, until its next report.

    Without a report, the engine is avoided for ``AVOID_AFTER_REFUSAL_MS``.
    """
    view = state.engines.get(name)
    if view is None:
        return state
    return store_view(state, replace(view, avoided_until=state.now + AVOID_AFTER_REFUSAL_MS))


def record_success(state: State, name: str) -> State:
    """Readmit an engine after a successful attempt and reset its failure counts."""
    view = state.engines.get(name)
    if view is None or not (view.failures or view.ejected_until):
        return state
    return readmit(store_view(state, replace(view, ejections=0)), name)


def record_readable(state: State, name: str) -> State:
    """Record that a load report could be read, and stop avoiding the engine.

    The engine may have free capacity again. An ejected engine is readmitted if its ejection time
    is over.
    """
    view = state.engines[name]
    view = replace(view, unreadable=0, avoided_until=0)
    state = store_view(state, view)
    return readmit(state, name) if 0 < view.ejected_until <= state.now else state


@handles(LoadUnreadable)
def record_unreadable(state: State, event: LoadUnreadable) -> Step:
    """Count an unreadable load report; eject the engine after too many in a row."""
    view = state.engines.get(event.engine)
    if view is None:
        return state, ()
    view = replace(view, unreadable=view.unreadable + 1)
    state = store_view(state, view)
    if view.unreadable < EJECT_AFTER_UNREADABLE or view.ejected_until > 0:
        return state, ()
    return eject(state, event.engine), ()


def eject(state: State, name: str) -> State:
    """Eject an engine, unless too few engines of a model would be left.

    The ejection time doubles with each ejection up to a maximum; up to half of it is added as
    random jitter.
    """
    view = state.engines[name]
    if view.ejected_until > state.now or not _may_eject(state, view):
        return state
    wait_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(view.ejections, 16))
    seed, jitter_ms = draw_random(state.random, wait_ms // _HALF_DIVISOR)
    until = state.now + wait_ms + jitter_ms
    view = replace(view, ejected_until=until, ejections=view.ejections + 1)
    ejected = state.ejected
    for model in view.spec.models:
        ejected = ejected.set(model, ejected.get(model, pset()).add(name))
    return store_view(replace(state, random=seed, ejected=ejected), view)


def readmit(state: State, name: str) -> State:
    """End the ejection of an engine and reset its failure count."""
    view = state.engines[name]
    ejected = state.ejected
    for model in view.spec.models:
        ejected = ejected.set(model, ejected.get(model, pset()).discard(name))
    view = replace(view, ejected_until=0, failures=0)
    return store_view(replace(state, ejected=ejected), view)


def store_view(state: State, view: EngineView) -> State:
    """Return the state with an engine's view replaced."""
    return replace(state, engines=state.engines.set(view.spec.name, view))


def _may_eject(state: State, view: EngineView) -> bool:
    for model in view.spec.models:
        names = state.by_model.get(model, ())
        ejected_names = [
            n for n in state.ejected.get(model, pset()) if _is_ejected(state, n, model)
        ]
        others = len([n for n in ejected_names if n != view.spec.name])
        if (others + 1) * _HALF_DIVISOR > len(names):
            return False
    return True


def _is_ejected(state: State, name: str, model: str) -> bool:
    view = state.engines.get(name)
    return view is not None and view.ejected_until > 0 and model in view.spec.models
