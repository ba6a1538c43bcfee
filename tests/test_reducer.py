"""Tests of the reducer on short sequences of events."""

from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._failures import DeadlineExceeded
from lentilwell._inventory import Engine, Inventory, Model, Team
from lentilwell._messages import Cause
from lentilwell.reducer import (
    AttemptFailed,
    AttemptFinished,
    CancelAttempt,
    CancelStream,
    EndRequest,
    FirstTokenSeen,
    InventoryAccepted,
    RequestArrived,
    ResumeAttempt,
    StartAttempt,
    TickPassed,
)


def make_inventory(engines=2, memory_tokens=400_000):
    specs = {
        f"engine-{n}": Engine(
            f"engine-{n}", f"http://127.0.0.1:{n}", "dc", ("m",), memory_tokens, 8
        )
        for n in range(engines)
    }
    return Inventory(
        version=1,
        engines=pmap(specs),
        models=pmap({"m": Model("m", 1_048_576)}),
        teams=pmap({"t": Team("t", 1, ())}),
    )


def make_state(**kwargs):
    state = State(Identity("a", "1", "dc"))
    return reduce(state, InventoryAccepted(0, make_inventory(**kwargs)))[0]


def make_request(name="r", prompt_tokens=1_000, at=0, deadline_at=60_000):
    return Request(name, "t", "m", prompt_tokens, 10, at, deadline_at)


def test_short_request_starts_immediately_and_releases_its_resources():
    state, effects = reduce(make_state(), RequestArrived(1, make_request()))
    (started,) = effects
    assert isinstance(started, StartAttempt) and len(started.placements) == 1
    state, _ = reduce(state, FirstTokenSeen(2, started.attempt_id))
    state, effects = reduce(state, AttemptFinished(3, started.attempt_id, 10))
    assert effects == () and not state.attempts and not state.waiting
    assert all(v.own_memory == v.own_streams == v.own_backlog == 0 for v in state.engines.values())


def test_prompt_larger_than_one_engine_starts_on_a_span():
    _, effects = reduce(make_state(engines=3), RequestArrived(1, make_request("r", 1_000_000)))
    (started,) = effects
    assert len(started.placements) == 3
    assert sum(p.memory_tokens for p in started.placements) == 1_000_010


def test_request_whose_span_does_not_fit_waits_until_its_deadline():
    state, _ = reduce(make_state(engines=3), RequestArrived(1, make_request("first", 1_000_000)))
    state, effects = reduce(state, RequestArrived(2, make_request("r", 1_000_000)))
    assert not any(isinstance(e, StartAttempt) for e in effects)
    state, effects = reduce(state, TickPassed(60_100))
    assert EndRequest("r", DeadlineExceeded()) in effects and not state.waiting


def test_stalled_attempt_resumes_and_broken_attempt_restarts_on_another_engine():
    state, (started,) = reduce(make_state(), RequestArrived(1, make_request()))
    engine = started.placements[0].engine
    failed = AttemptFailed(5, started.attempt_id, engine, Cause.STALLED, 4)
    state, effects = reduce(state, failed)
    assert effects == (ResumeAttempt(started.attempt_id),)
    failed = AttemptFailed(9, started.attempt_id, engine, Cause.BROKEN, 6)
    state, effects = reduce(state, failed)
    restarted = effects[-1]
    cancels = (CancelAttempt(started.attempt_id), CancelStream(engine, started.attempt_id))
    assert effects == (*cancels, restarted)
    assert restarted.first_index == 6 and restarted.placements[0].engine != engine
