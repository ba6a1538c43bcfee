"""Order of requests: shares of teams, order within a team, no starvation, priorities."""

from dataclasses import replace

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st
from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._inventory import Engine, Inventory, Model, Rules, Team
from lentilwell._messages import LoadReport, StreamReport
from lentilwell.decisions._fairness import correct_charge, pop_team, retry_parked
from lentilwell.reducer import (
    AttemptFinished,
    CallerGone,
    ChangePriority,
    FirstTokenSeen,
    Heap,
    InventoryAccepted,
    LoadReported,
    RequestArrived,
    StartAttempt,
    TickPassed,
    make_fifo,
)

MEMORY = 400_000
NO_DEADLINE_MS = 1_000_000_000


class Simulation:
    """Runs an instance whose attempts a test ends one by one; ``started`` lists them in order."""

    def __init__(self, teams, order="response_ratio", engines=1, slots=1):
        specs = {
            f"engine-{n}": Engine(f"engine-{n}", "", "a", ("m",), MEMORY, slots)
            for n in range(engines)
        }
        inventory = Inventory(
            1,
            pmap(specs),
            models=pmap({"m": Model("m", 2_000_000)}),
            teams=pmap({team.name: team for team in teams}),
            rules=replace(Rules(), order=order, placement="least_loaded"),
        )
        self.now = 0
        self.arrivals = 0
        self.started = []
        self.raises = []
        self.running = {}
        self.state = State(Identity("i", "1", "a"))
        self.apply(InventoryAccepted(0, inventory))

    def apply(self, event):
        self.state, effects = reduce(self.state, event)
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.started.append(effect.request)
                self.running[effect.attempt_id] = effect
            if isinstance(effect, ChangePriority):
                self.raises.append(effect)

    def arrive(self, team="t", tokens=1_000, deadline_ms=NO_DEADLINE_MS):
        self.arrivals += 1
        name = f"{team}-{self.arrivals}"
        at = self.now
        request = Request(name, team, "m", tokens, 10, at, at + deadline_ms)
        self.apply(RequestArrived(at, request))
        return name

    def finish_one(self):
        """End the oldest running attempt: 20 prompt tokens per ms, then 9 tokens at 20 ms."""
        attempt_id = next(iter(self.running))
        effect = self.running.pop(attempt_id)
        prefill_ms = effect.request.prompt_tokens // len(effect.placements) // 20
        started_at = self.state.attempts[attempt_id].started_at
        self.now = max(self.now, started_at + prefill_ms)
        self.apply(FirstTokenSeen(self.now, attempt_id))
        self.now += 180
        self.apply(AttemptFinished(self.now, attempt_id, 10))

    def pass_time(self, by_ms):
        self.now += by_ms
        self.apply(TickPassed(self.now))


@given(st.lists(st.tuples(st.floats(0, 100), st.text(max_size=2)), max_size=40))
@settings(database=None, deadline=None)
def test_heap_returns_its_entries_in_order(entries):
    heap = Heap()
    for key, item in entries:
        heap = heap.push(key, item)
    assert len(heap) == len(entries) and sorted(heap) == sorted(item for _, item in entries)
    found = []
    while heap:
        key = heap.key
        item, heap = heap.pop()
        found.append((key, item))
    assert found == sorted(entries)


@given(st.lists(st.sampled_from(["append", "prepend", "pop"]), max_size=60))
@settings(database=None, deadline=None)
def test_fifo_behaves_as_a_list(steps):
    fifo, names = make_fifo(["x", "y"]), ["x", "y"]
    for number, step in enumerate(steps):
        if step == "append":
            fifo, names = fifo.append(str(number)), [*names, str(number)]
        elif step == "prepend":
            fifo, names = fifo.prepend(str(number)), [str(number), *names]
        elif names:
            assert fifo.first == names[0]
            fifo, names = fifo.pop(), names[1:]
        assert list(fifo) == names and len(fifo) == len(names)


@pytest.mark.parametrize("weights", [(1, 1), (1, 3), (2, 5)])
def test_teams_share_engine_time_by_weight(weights):
    one, other = (Team(name, weight, ()) for name, weight in zip("ab", weights, strict=True))
    simulation = Simulation([one, other])
    for _ in range(200):
        simulation.arrive("a", 1_000)
        simulation.arrive("b", 4_000)
    for _ in range(100):
        simulation.finish_one()
    used = [simulation.state.queues[name].service_ms for name in "ab"]
    assert used[1] / used[0] == pytest.approx(weights[1] / weights[0], rel=0.2)


def test_an_idle_team_keeps_only_the_burst_and_a_new_one_starts_at_virtual_time():
    teams = [Team(name, 1, ()) for name in ("busy", "idle", "new")]
    simulation = Simulation(teams)
    simulation.arrive("idle")
    for _ in range(300):
        simulation.arrive("busy")
    for _ in range(150):
        simulation.finish_one()
    for name in ("idle", "new"):
        for _ in range(100):
            simulation.arrive(name)
    started_before = len(simulation.started)
    for _ in range(60):
        simulation.finish_one()
    counts = [
        sum(r.team == team.name for r in simulation.started[started_before:]) for team in teams
    ]
    assert min(counts) >= 15 and counts[1] - counts[0] <= 6


def test_a_charge_is_corrected_to_the_engine_time_used():
    simulation = Simulation([Team("t", 1, ())])
    simulation.arrive("t", 200_000)
    charged = simulation.state.queues["t"].service_ms
    (attempt_id,) = simulation.running
    name = simulation.started[0].request_id
    simulation.now += 100
    simulation.apply(CallerGone(simulation.now, name))
    assert attempt_id not in simulation.state.attempts
    assert simulation.state.queues["t"].service_ms == pytest.approx(100) and charged > 1_000


ORDER_CASES = [
    ("first_come", ["long", "soon", "short"]),
    ("shortest_first", ["short", "soon", "long"]),
    ("earliest_deadline", ["soon", "short", "long"]),
    ("response_ratio", ["soon", "short", "long"]),
    ("fixed_lanes", ["long", "soon", "short"]),
]


@pytest.mark.parametrize("order, expected", ORDER_CASES)
def test_order_policies(order, expected):
    simulation = Simulation([Team("t", 1, ())], order)
    simulation.arrive("t", 390_000)
    names = {}
    for kind, tokens, after_ms, deadline_ms in (
        ("long", 300_000, 2_000, NO_DEADLINE_MS),
        ("soon", 16_000, 2_000, 900_000),
        ("short", 1_000, 15_000, 950_000),
    ):
        simulation.now += after_ms
        names[simulation.arrive("t", tokens, deadline_ms)] = kind
    for _ in range(3):
        simulation.finish_one()
    started = [names[request.request_id] for request in simulation.started[1:]]
    assert started == expected


@given(
    st.sampled_from([30_000, 60_000, 120_000]),
    st.lists(st.sampled_from([1, 500, 2_000, 9_000]), min_size=1, max_size=6),
    st.integers(1, 2),
    st.sampled_from([2, 64]),
)
@settings(database=None, deadline=None, max_examples=16)
def test_no_stream_of_short_requests_starves_a_long_one(tokens, shorts, arrivals_per_end, slots):
    """Short requests always arrive faster than they are served, and the long one still starts.

    While the long request waits, its class earns a twentieth of the engine time that its team uses.
    """
    simulation = Simulation([Team("t", 1, ())], slots=slots)
    for number in range(40):
        simulation.arrive("t", shorts[number % len(shorts)])
    name = simulation.arrive("t", tokens)
    assume(name in simulation.state.waiting)
    needed_ms = simulation.state.waiting[name].cost_ms
    used_ms = simulation.state.queues["t"].service_ms
    max_used_ms = 20 * needed_ms + 40_000
    count = 0
    while name in simulation.state.waiting:
        for _ in range(arrivals_per_end):
            count += 1
            simulation.arrive("t", shorts[count % len(shorts)])
        simulation.finish_one()
        assert simulation.state.queues["t"].service_ms - used_ms <= max_used_ms, "starved"


def report_engine(simulation, name):
    streams = tuple(
        StreamReport(attempt.attempt_id, "i", "1", share.memory_tokens, 1, 0, 0)
        for attempt in simulation.state.attempts.values()
        for share in attempt.placements
        if share.engine == name
    )
    used = sum(stream.memory_tokens for stream in streams)
    report = LoadReport(name, "1", simulation.now, False, MEMORY, used, 64, streams, ("m",))
    simulation.apply(LoadReported(simulation.now, report))


def test_short_requests_backfill_a_reservation_only_if_they_end_before_it():
    simulation = Simulation([Team("t", 1, ())], "first_come", slots=64)
    simulation.arrive("t", 300_000)
    report_engine(simulation, "engine-0")
    long_request = simulation.arrive("t", 350_000)
    reservation = simulation.state.reservations["engine-0"]
    assert reservation.request_id == long_request
    assert reservation.until_at == next(iter(simulation.state.attempts.values())).ends_at
    fits = simulation.arrive("t", 40_000)
    assert fits in simulation.state.in_hand
    simulation.pass_time(reservation.until_at - 500)
    blocked = simulation.arrive("t", 90_000)
    assert blocked in simulation.state.waiting
    while long_request in simulation.state.waiting:
        simulation.finish_one()
        report_engine(simulation, "engine-0")
    assert not simulation.state.reservations and not simulation.state.reserved


def test_concurrent_spans_do_not_deadlock():
    simulation = Simulation([Team("t", 1, ())], "first_come", engines=3, slots=64)
    for _ in range(3):
        simulation.arrive("t", 300_000)
    first, second = simulation.arrive("t", 900_000), simulation.arrive("t", 900_000)
    assert set(simulation.state.reserved) == {first}
    for expected in (first, second):
        while expected in simulation.state.waiting:
            simulation.finish_one()
    assert [request.request_id for request in simulation.started[3:]] == [first, second]


def test_priority_prefers_short_prompts_but_ages_and_rises_near_the_deadline():
    simulation = Simulation([Team("t", 1, ())], engines=3, slots=64)
    for tokens, deadline_ms in (
        (300_000, NO_DEADLINE_MS),
        (300_000, 30_000),
        (1_000, NO_DEADLINE_MS),
    ):
        simulation.arrive("t", tokens, deadline_ms)
    long_request, urgent, short = (a.priority for a in simulation.running.values())
    assert 0 <= short < urgent < long_request
    for _ in range(3_000):
        simulation.pass_time(50)
    first, last = (a for a in simulation.state.attempts.values() if a.request.deadline_at > 30_000)
    assert first.priority == last.priority == 0
    assert len(simulation.raises) < 100


def test_raises_are_bounded_per_interval():
    simulation = Simulation([Team("t", 1, ())], engines=20, slots=64)
    for _ in range(100):
        simulation.arrive("t", 30_000)
    for _ in range(400):
        before = len(simulation.raises)
        simulation.pass_time(50)
        assert len(simulation.raises) - before <= 8
    assert all(attempt.priority == 0 for attempt in simulation.state.attempts.values())


def test_a_team_without_waiting_requests_is_not_popped():
    simulation = Simulation([Team("gone", 1, ()), Team("waits", 1, ())])
    simulation.arrive("waits", 300_000)
    simulation.arrive("waits", 300_000)
    name = simulation.arrive("gone", 300_000)
    state = retry_parked(reduce(simulation.state, CallerGone(0, name))[0])
    state = replace(state, ready=state.ready, parked=Heap())
    while state.ready:
        state, _ = pop_team(state, from_ready=True)
    state = correct_charge(state, "gone", 5_000.0)
    only = Heap().push(0.0, "gone")
    assert pop_team(replace(state, ready=only), from_ready=True)[1] == ""
    parked = replace(state, ready=only, parked=Heap().push(0.0, "waits"))
    assert pop_team(parked, from_ready=True)[1] == "waits"
