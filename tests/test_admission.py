"""Which requests are refused at once, and with which failure; estimates and retry budget."""

from dataclasses import replace

import pytest
from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._failures import Overloaded, PromptTooLong, UnknownModel
from lentilwell._inventory import Engine, Inventory, Model, Team
from lentilwell.decisions._estimates import estimate_service_ms
from lentilwell.decisions._retry_budget import spend_retry
from lentilwell.reducer import (
    AttemptFinished,
    EndRequest,
    FirstTokenSeen,
    InventoryAccepted,
    RequestArrived,
    StartAttempt,
    TickPassed,
)

MEMORY = 400_000
ANY_ENGINE = Team("t", 1, ())


def make_state(data_centres=("a", "a", "b"), teams=(ANY_ENGINE,), **engine):
    specs = {"memory_tokens": MEMORY, "slots": 8, **engine}
    engines = {
        f"engine-{n}": Engine(f"engine-{n}", "http://127.0.0.1", data_centre, ("m",), **specs)
        for n, data_centre in enumerate(data_centres)
    }
    inventory = Inventory(
        1,
        pmap(engines),
        models=pmap({"m": Model("m", 2_000_000)}),
        teams=pmap({team.name: team for team in teams}),
    )
    return reduce(State(Identity("i", "1", "a")), InventoryAccepted(0, inventory))[0]


def make_request(name, prompt_tokens=1_000, at=1, deadline_at=600_000, team="t", model="m"):
    return Request(name, team, model, prompt_tokens, 10, at, deadline_at)


TOO_LONG = [
    ((), 2 * MEMORY - 10, None),
    ((), 2 * MEMORY - 9, PromptTooLong(2 * MEMORY)),
    (("engine-0", "engine-2"), MEMORY - 10, None),
    (("engine-0", "engine-2"), MEMORY, PromptTooLong(MEMORY)),
    (("engine-9",), 1, UnknownModel()),
]


@pytest.mark.parametrize("allowed, tokens, refusal", TOO_LONG)
def test_prompt_larger_than_every_data_centre_is_refused_at_once(allowed, tokens, refusal):
    state = make_state(teams=(Team("t", 1, (), allowed),))
    state, (effect,) = reduce(state, RequestArrived(1, make_request("r", tokens)))
    if refusal is None:
        assert isinstance(effect, StartAttempt)
    else:
        assert effect == EndRequest("r", refusal)
        assert not state.waiting and not state.timers


def learn_rates(state, tokens=1_000, prefill_ms=100, rounds=10):
    """Finish requests with a prefill of ``prefill_ms`` and 10 ms per token, to train estimates."""
    for number in range(rounds):
        now = state.now + 1
        name = f"warm-{tokens}-{number}"
        request = make_request(name, tokens, now, now + 900_000)
        state, (started,) = reduce(state, RequestArrived(now, request))
        state, _ = reduce(state, FirstTokenSeen(now + prefill_ms, started.attempt_id))
        state, _ = reduce(state, AttemptFinished(now + prefill_ms + 90, started.attempt_id, 10))
    return state


def fill_engines(state, name="full", tokens=1_000, deadline_ms=10_000):
    """Add requests until 40 of them wait, and return the state."""
    for number in range(100):
        request = make_request(f"{name}-{number}", tokens, state.now, state.now + deadline_ms)
        state, _ = reduce(state, RequestArrived(state.now, request))
        if len(state.waiting) >= 40:
            break
    return state


def test_estimates_are_learned_and_limit_the_effect_of_outliers():
    state = learn_rates(make_state())
    request = make_request("r")
    learned = estimate_service_ms(state, request)
    assert learned == pytest.approx(200, rel=0.15)
    now = state.now + 1
    state, (started,) = reduce(state, RequestArrived(now, make_request("slow", at=now)))
    state, _ = reduce(state, FirstTokenSeen(now + 500_000, started.attempt_id))
    assert estimate_service_ms(state, request) < 2 * learned
    state = learn_rates(state, rounds=30)
    assert estimate_service_ms(state, request) == pytest.approx(200, rel=0.15)


def test_a_request_that_cannot_end_in_time_is_refused_with_a_jittered_retry_time():
    state = fill_engines(learn_rates(make_state(data_centres=("a",), slots=1)))
    too_late = make_request("r", at=state.now, deadline_at=state.now + 2_000)
    retry_times = set()
    for seed in range(20):
        _, effects = reduce(replace(state, random=seed), RequestArrived(state.now, too_late))
        (refusal,) = [e for e in effects if isinstance(e, EndRequest) and e.request_id == "r"]
        assert isinstance(refusal.failure, Overloaded) and refusal.failure.retry_delay_ms > 1_000
        retry_times.add(refusal.failure.retry_delay_ms)
    assert len(retry_times) > 10, "no jitter"
    in_time = make_request("r", at=state.now, deadline_at=state.now + 60_000)
    state, effects = reduce(state, RequestArrived(state.now, in_time))
    assert "r" in state.waiting and not effects


def test_a_request_longer_than_its_deadline_is_refused_only_by_a_trusted_estimate():
    request = make_request("r", at=5_000, deadline_at=5_100)
    _, (effect,) = reduce(make_state(), RequestArrived(5_000, request))
    assert isinstance(effect, StartAttempt), "an untrusted estimate refused a request"
    _, (effect,) = reduce(learn_rates(make_state()), RequestArrived(5_000, request))
    assert isinstance(effect, EndRequest) and isinstance(effect.failure, Overloaded)


def test_a_burst_of_one_team_does_not_get_another_team_refused():
    teams = (ANY_ENGINE, Team("other", 1, ()))
    state = fill_engines(learn_rates(make_state(("a",), teams, slots=1)))
    request = make_request("r", at=state.now, deadline_at=state.now + 2_000, team="other")
    state, _ = reduce(state, RequestArrived(state.now, request))
    assert "r" in state.waiting


def test_a_waiting_request_ends_once_it_cannot_end_in_time():
    state = learn_rates(make_state(data_centres=("a",), slots=1))
    for name, wait_ms in (("first", 60_000), ("r", 3_000)):
        request = make_request(name, at=state.now, deadline_at=state.now + wait_ms)
        state, _ = reduce(state, RequestArrived(state.now, request))
    deadline_at = state.waiting["r"].request.deadline_at
    state, effects = reduce(state, TickPassed(deadline_at - 300))
    assert not [e for e in effects if isinstance(e, EndRequest)] and "r" in state.waiting
    state, effects = reduce(state, TickPassed(deadline_at - 100))
    (ended,) = [effect for effect in effects if isinstance(effect, EndRequest)]
    assert isinstance(ended.failure, Overloaded) and not state.waiting


def test_the_retry_budget_is_a_share_of_fresh_requests():
    state = make_state()
    spent = 0
    for _ in range(1_000):
        state, allowed = spend_retry(state, "t")
        spent += allowed
    assert spent <= 64, "more than the burst allowance"
    for number in range(200):
        state, _ = reduce(state, RequestArrived(1, make_request(f"r{number}")))
    allowed_later = 0
    for _ in range(100):
        state, allowed = spend_retry(state, "t")
        allowed_later += allowed
    assert allowed_later == 20
