"""Invariants of the reducer under random events, and golden files of whole sessions."""

import os
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import HealthCheck
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._inventory import Engine, Inventory, Model, Rules, Team
from lentilwell._messages import Cause, LoadReport, StreamReport
from lentilwell.decisions import ORDERS
from lentilwell.reducer import (
    AttemptFailed,
    AttemptFinished,
    CallerGone,
    ChangePriority,
    DrainStarted,
    EndRequest,
    EngineRates,
    FirstTokenSeen,
    InventoryAccepted,
    LearnedRate,
    LoadReported,
    ProgressSeen,
    RequestArrived,
    StartAttempt,
    TickPassed,
)
from lentilwell.reducer._sessions import Session
from tests.searching import bounded_search_settings

TICK_MS = 50
ENGINE_MEMORY_TOKENS = 400_000
DATA_CENTRES = {"engine-0": "a", "engine-1": "a", "engine-2": "b"}
TEAMS = {
    "large": Team("large", 3, ()),
    "small": Team("small", 1, ()),
    "bound": Team("bound", 1, (), ("engine-2",)),
}
PROMPT_LENGTHS = st.sampled_from([1, 1_000, 4_000, 60_000, 250_000, 390_000, 700_000, 900_000])
INDEXES = st.integers(0, 1_000)


def make_inventory(
    version, order="response_ratio", engines=tuple(DATA_CENTRES), teams=tuple(TEAMS)
):
    specs = {
        name: Engine(name, "http://127.0.0.1", DATA_CENTRES[name], ("m",), ENGINE_MEMORY_TOKENS, 3)
        for name in engines
    }
    return Inventory(
        version,
        pmap(specs),
        models=pmap({"m": Model("m", 2_000_000)}),
        teams=pmap({name: TEAMS[name] for name in teams}),
        rules=replace(Rules(), order=order, placement="least_loaded"),
    )


class ReducerInvariants(RuleBasedStateMachine):
    """Applies events of callers, engines, operators and the clock in random order."""

    order = "response_ratio"

    def __init__(self):
        super().__init__()
        self.version = 1
        self.now = 0
        self.request_count = 0
        self.open_requests = set()
        self.allowed = {}
        self.state = State(Identity("i", "1", "a"))
        self.apply(InventoryAccepted(0, make_inventory(1, self.order)))

    def apply(self, event):
        self.state, effects = reduce(self.state, event)
        priority_changes = [effect for effect in effects if isinstance(effect, ChangePriority)]
        assert len(priority_changes) <= 8
        for effect in effects:
            if isinstance(effect, EndRequest):
                assert effect.request_id in self.open_requests, "second final answer to a request"
                self.open_requests.remove(effect.request_id)
            if isinstance(effect, StartAttempt):
                self.check_start(effect)
        return effects

    def check_start(self, effect):
        request = effect.request
        assert request.request_id in self.open_requests
        assert request.deadline_at > self.state.now
        names = [share.engine for share in effect.placements]
        allowed = self.state.inventory.teams[request.team].engines
        assert len(set(names)) == len(names) and set(names) <= set(self.state.inventory.engines)
        assert not allowed or set(names) <= set(allowed)
        assert len({DATA_CENTRES[name] for name in names}) == 1
        assert sum(share.memory_tokens for share in effect.placements) == request.memory_tokens

    def pick_attempt(self, index):
        names = sorted(self.state.attempts)
        return names[index % len(names)]

    @initialize(trusted=st.booleans())
    def trust_estimates(self, trusted):
        if trusted:
            rate = LearnedRate(20.0, 100, 10**9)
            prefill_rates = pmap(dict.fromkeys(range(12), rate))
            rates = pmap({"": EngineRates(prefill_rates, rate)})
            self.state = replace(self.state, paces=rates)

    has_attempts = precondition(lambda self: self.state.attempts)

    @rule(
        team=st.sampled_from([*TEAMS, "stranger"]),
        tokens=PROMPT_LENGTHS,
        deadline_ms=st.integers(1, 90_000),
    )
    def add_request(self, team, tokens, deadline_ms):
        self.request_count += 1
        name = f"request-{self.request_count}"
        self.open_requests.add(name)
        request = Request(name, team, "m", tokens, 10, self.now, self.now + deadline_ms)
        effects = self.apply(RequestArrived(self.now, request))
        admitted = name in self.state.waiting or name in self.state.in_hand
        refused = any(isinstance(e, EndRequest) and e.request_id == name for e in effects)
        assert admitted != refused, "request must be either admitted or refused immediately"

    @rule(ticks=st.integers(1, 40))
    def advance_time(self, ticks):
        for _ in range(ticks):
            self.now += TICK_MS
            self.apply(TickPassed(self.now))

    @has_attempts
    @rule(index=INDEXES)
    def record_first_token(self, index):
        self.apply(FirstTokenSeen(self.now, self.pick_attempt(index)))

    @has_attempts
    @rule(index=INDEXES, tokens=st.integers(1, 9))
    def record_progress(self, index, tokens):
        self.apply(ProgressSeen(self.now, self.pick_attempt(index), tokens))

    @has_attempts
    @rule(index=INDEXES)
    def finish_attempt(self, index):
        attempt_id = self.pick_attempt(index)
        self.open_requests.remove(self.state.attempts[attempt_id].request.request_id)
        for _ in range(2):
            self.apply(AttemptFinished(self.now, attempt_id, 10))

    @has_attempts
    @rule(index=INDEXES, cause=st.sampled_from(Cause), tokens=st.integers(0, 9))
    def fail_attempt(self, index, cause, tokens):
        attempt_id = self.pick_attempt(index)
        engine = self.state.attempts[attempt_id].placements[-1].engine
        for _ in range(2):
            self.apply(AttemptFailed(self.now, attempt_id, engine, cause, tokens))

    @precondition(lambda self: self.request_count)
    @rule(index=INDEXES)
    def disconnect_caller(self, index):
        name = f"request-{1 + index % self.request_count}"
        self.apply(CallerGone(self.now, name))
        self.open_requests.discard(name)

    @rule(
        engines=st.sets(st.sampled_from(sorted(DATA_CENTRES))),
        teams=st.sets(st.sampled_from(sorted(TEAMS))),
    )
    def change_inventory(self, engines, teams):
        self.version += 1
        inventory = make_inventory(self.version, self.order, sorted(engines), sorted(teams))
        self.apply(InventoryAccepted(self.now, inventory))
        self.apply(InventoryAccepted(self.now, make_inventory(self.version - 1, self.order)))
        assert self.state.inventory.version == self.version

    @rule(
        engine=st.sampled_from(sorted(DATA_CENTRES)),
        leaving=st.booleans(),
        foreign_streams=st.integers(0, 2),
    )
    def report_load(self, engine, leaving, foreign_streams):
        streams = [
            StreamReport(attempt.attempt_id, "i", "1", share.memory_tokens, 1, 0, 0)
            for attempt in self.state.attempts.values()
            for share in attempt.placements
            if share.engine == engine
        ]
        streams += [
            StreamReport(f"s{n}", "j", "1", ENGINE_MEMORY_TOKENS // 2, 1, 0, 0)
            for n in range(foreign_streams)
        ]
        used = sum(stream.memory_tokens for stream in streams)
        report = LoadReport(
            engine, "1", self.now, leaving, ENGINE_MEMORY_TOKENS, used, 3, tuple(streams), ("m",)
        )
        self.apply(LoadReported(self.now, report))

    @precondition(lambda self: self.request_count > 8)
    @rule()
    def start_drain(self):
        self.apply(DrainStarted(self.now))

    @invariant()
    def no_request_is_past_its_deadline(self):
        requests = [w.request for w in self.state.waiting.values()]
        requests += [a.request for a in self.state.attempts.values()]
        assert all(request.deadline_at > self.state.now for request in requests)
        assert {request.request_id for request in requests} == self.open_requests

    @invariant()
    def engine_usage_matches_attempts(self):
        for name, view in self.state.engines.items():
            shares = [
                (attempt, share.memory_tokens)
                for attempt in self.state.attempts.values()
                for share in attempt.placements
                if share.engine == name
            ]
            not_prefilled = [tokens for attempt, tokens in shares if attempt.first_token_at is None]
            assert view.own_streams == len(shares)
            assert view.own_memory == sum(tokens for _, tokens in shares)
            assert view.own_backlog == sum(not_prefilled)

    @invariant()
    def queue_totals_match_waiting_requests(self):
        state = self.state
        indexed = sorted(name for name, queue in state.queues.items() if queue.indexed)
        assert sorted([*state.ready, *state.parked]) == indexed
        assert state.waiting_weight == sum(state.queues[name].weight for name in indexed)
        assert {w.request.team for w in state.waiting.values()} <= set(indexed)
        if not state.attempts:
            assert not state.backlogs
            model_totals = [*state.model_backlogs.values(), *state.model_holds.values()]
            assert not any(model_totals)
        total = sum(sum(of_model.values()) for of_model in state.queued_ms.values())
        assert abs(total - sum(w.cost_ms for w in state.waiting.values())) < 1.0
        reserved = sorted(name for names in state.reserved.values() for name in names)
        assert reserved == sorted(state.reservations)
        assert set(state.reserved) <= set(state.waiting)

    def teardown(self):
        """After all deadlines nothing is reserved, and every request has had its final answer."""
        self.now += 100_000
        self.apply(TickPassed(self.now))
        state = self.state
        assert not self.open_requests
        assert not state.waiting and not state.attempts and not state.in_hand
        assert not state.reservations and not state.reserved and not state.timers
        for view in state.engines.values():
            assert view.own_streams == view.own_memory == view.own_backlog == 0


def check_invariants(order):
    machine = type(f"ReducerInvariants_{order}", (ReducerInvariants,), {"order": order})
    run_state_machine_as_test(
        machine,
        settings=bounded_search_settings(
            max_examples=60 if order == "response_ratio" else 15,
            stateful_step_count=50,
            suppressed_checks=HealthCheck,
        ),
    )


def test_invariants_hold_with_every_order_policy():
    for order in sorted(ORDERS):
        check_invariants(order)


GOLDEN_FOLDER = Path(__file__).parent / "golden"
LONG_DEADLINE_MS = 300_000


def start_session():
    data_centres = ("caerdydd", "caerdydd", "caerdydd", "wrecsam")
    specs = {
        f"{centre}-{n}": Engine(f"{centre}-{n}", "", centre, ("m",), 450_000, 2)
        for n, centre in enumerate(data_centres)
    }
    inventory = Inventory(
        1,
        pmap(specs),
        models=pmap({"m": Model("m", 1_100_000)}),
        teams=pmap({name: Team(name, 1, ()) for name in ("counters", "pricing")}),
        rules=replace(Rules(), placement="least_loaded"),
    )
    return Session(State(Identity("i", "1", "caerdydd"))).play(InventoryAccepted(0, inventory))


def make_arrival(name, at, tokens=1_000, team="counters", deadline_ms=10_000):
    return RequestArrived(at, Request(name, team, "m", tokens, 50, at, at + deadline_ms))


def make_answer_events(attempt, first_at, end_at):
    return FirstTokenSeen(first_at, attempt), AttemptFinished(end_at, attempt, 50)


def play_with_answers(session, events):
    """Play events in order of time, with the answers of engines that prefill 20 tokens per ms.

    Each attempt has its first token after its prefill, and its last one 1,000 ms later.
    """
    events = sorted(events, key=lambda event: event.at)
    known_attempts = set(session.state.attempts)
    while events:
        session = session.play(events.pop(0))
        for attempt_id in sorted(set(session.state.attempts) - known_attempts):
            known_attempts.add(attempt_id)
            attempt = session.state.attempts[attempt_id]
            tokens = attempt.request.prompt_tokens // len(attempt.placements)
            first_at = attempt.started_at + tokens // 20
            events.extend(make_answer_events(attempt_id, first_at, first_at + 1_000))
        events.sort(key=lambda event: event.at)
    return session


def play_opening_crest_with_a_bundle_running():
    long_request = make_arrival("bundle", 10, 1_000_000, "pricing", LONG_DEADLINE_MS)
    burst = [make_arrival(f"counter-{n}", 1_000 + 20 * n) for n in range(7)]
    burst += [
        make_arrival("manual", 1_150, 64_000, "pricing", LONG_DEADLINE_MS),
        make_arrival("note", 1_160, team="pricing"),
    ]
    ticks = [TickPassed(at) for at in range(1_000, 20_000, 1_000)]
    return play_with_answers(start_session(), [long_request, *burst, *ticks])


def play_caller_gone():
    session = start_session().play(
        make_arrival("one", 10), make_arrival("bundle", 20, 1_000_000, deadline_ms=LONG_DEADLINE_MS)
    )
    session = session.play(
        FirstTokenSeen(100, "i.1.1"),
        make_arrival("next", 110, 440_000, deadline_ms=LONG_DEADLINE_MS),
    )
    disconnects = [
        CallerGone(at, name) for at, name in ((200, "one"), (300, "bundle"), (400, "one"))
    ]
    return session.play(*disconnects, AttemptFinished(410, "i.1.1", 50), TickPassed(450))


def play_deadline_in_the_middle_of_a_stream():
    session = start_session().play(
        make_arrival("one", 10, deadline_ms=1_000), FirstTokenSeen(70, "i.1.1")
    )
    session = session.play(ProgressSeen(600, "i.1.1", 25), TickPassed(1_000), TickPassed(1_050))
    return session.play(ProgressSeen(1_060, "i.1.1", 48), AttemptFinished(1_100, "i.1.1", 50))


def play_infeasible_burst():
    session = start_session()
    for n in range(1, 9):
        warm_up = make_arrival(f"warm-{n}", 2_000 * n)
        session = session.play(
            warm_up, *make_answer_events(f"i.1.{n}", 2_000 * n + 50, 2_000 * n + 1_050)
        )
    session = session.play(
        *(make_arrival(f"burst-{n}", 20_000, deadline_ms=1_500) for n in range(24))
    )
    return session.play(*(TickPassed(at) for at in range(20_100, 21_600, 100)))


@pytest.mark.parametrize(
    "play",
    [
        play_opening_crest_with_a_bundle_running,
        play_caller_gone,
        play_deadline_in_the_middle_of_a_stream,
        play_infeasible_burst,
    ],
)
def test_golden_session(play):
    """Set LENTILWELL_GOLDEN=write to regenerate the golden files, then review the difference."""
    path = GOLDEN_FOLDER / f"{play.__name__.removeprefix('play_')}.txt"
    text = play().text()
    if os.environ.get("LENTILWELL_GOLDEN") == "write":
        path.write_text(text)
    assert text == path.read_text()
