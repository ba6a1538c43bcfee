"""Which request runs next: shares between teams, order within one, no starvation, priorities."""

from dataclasses import replace

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st
from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._inventory import Engine, Inventory, Model, Rules, Team
from lentilwell._messages import LoadReport, StreamReport
from lentilwell.decisions._fairness import correct, take_team, unpark
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
FOREVER_MS = 1_000_000_000


class Server:
    """A state whose attempts a test ends one by one, and the requests in order of their start."""

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
        self.made = 0
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

    def arrive(self, team="t", tokens=1_000, deadline_ms=FOREVER_MS):
        self.made += 1
        name = f"{team}-{self.made}"
        at = self.now
        request = Request(name, team, "m", tokens, 10, at, at + deadline_ms)
        self.apply(RequestArrived(at, request))
        return name

    def finish_one(self):
        """End the oldest attempt that runs, as an engine would: 20 tokens a ms, 20 ms a token."""
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
@settings(derandomize=True, deadline=None)
def test_heap_gives_back_its_entries_in_order(entries):
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
@settings(derandomize=True, deadline=None)
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
    server = Server([one, other])
    for _ in range(200):
        server.arrive("a", 1_000)
        server.arrive("b", 4_000)
    for _ in range(100):
        server.finish_one()
    used = [server.state.queues[name].service_ms for name in "ab"]
    assert used[1] / used[0] == pytest.approx(weights[1] / weights[0], rel=0.2)


def test_an_idle_team_banks_only_the_burst_and_a_new_one_begins_at_the_present():
    teams = [Team(name, 1, ()) for name in ("busy", "idle", "new")]
    server = Server(teams)
    server.arrive("idle")
    for _ in range(300):
        server.arrive("busy")
    for _ in range(150):
        server.finish_one()
    for name in ("idle", "new"):
        for _ in range(100):
            server.arrive(name)
    mark = len(server.started)
    for _ in range(60):
        server.finish_one()
    counts = [sum(r.team == team.name for r in server.started[mark:]) for team in teams]
    assert min(counts) >= 15 and counts[1] - counts[0] <= 6


def test_a_charge_is_corrected_by_what_was_really_used():
    server = Server([Team("t", 1, ())])
    server.arrive("t", 200_000)
    charged = server.state.queues["t"].service_ms
    (attempt_id,) = server.running
    name = server.started[0].request_id
    server.now += 100
    server.apply(CallerGone(server.now, name))
    assert attempt_id not in server.state.attempts
    assert server.state.queues["t"].service_ms == pytest.approx(100) and charged > 1_000


ORDER_CASES = [
    ("first_come", ["long", "soon", "short"]),
    ("shortest_first", ["short", "soon", "long"]),
    ("earliest_deadline", ["soon", "short", "long"]),
    ("response_ratio", ["soon", "short", "long"]),
    ("fixed_lanes", ["long", "soon", "short"]),
]


@pytest.mark.parametrize("order, expected", ORDER_CASES)
def test_order_policies(order, expected):
    server = Server([Team("t", 1, ())], order)
    server.arrive("t", 390_000)
    names = {}
    for kind, tokens, after_ms, deadline_ms in (
        ("long", 300_000, 2_000, FOREVER_MS),
        ("soon", 16_000, 2_000, 900_000),
        ("short", 1_000, 15_000, 950_000),
    ):
        server.now += after_ms
        names[server.arrive("t", tokens, deadline_ms)] = kind
    for _ in range(3):
        server.finish_one()
    started = [names[request.request_id] for request in server.started[1:]]
    assert started == expected


@given(
    st.sampled_from([30_000, 60_000, 120_000]),
    st.lists(st.sampled_from([1, 500, 2_000, 9_000]), min_size=1, max_size=6),
    st.integers(1, 2),
    st.sampled_from([2, 64]),
)
@settings(derandomize=True, deadline=None, max_examples=16)
def test_no_stream_of_short_requests_starves_a_long_one(tokens, shorts, per_end, slots):
    """Short ones arrive faster than they can be served, for ever; the long one has its turn.

    While it waits, its class earns a twentieth of the engine time that its team uses.
    """
    server = Server([Team("t", 1, ())], slots=slots)
    for number in range(40):
        server.arrive("t", shorts[number % len(shorts)])
    name = server.arrive("t", tokens)
    assume(name in server.state.waiting)
    need_ms = server.state.waiting[name].cost_ms
    used_ms = server.state.queues["t"].service_ms
    most_ms = 20 * need_ms + 40_000
    count = 0
    while name in server.state.waiting:
        for _ in range(per_end):
            count += 1
            server.arrive("t", shorts[count % len(shorts)])
        server.finish_one()
        assert server.state.queues["t"].service_ms - used_ms <= most_ms, "starved"


def report_engine(server, name):
    streams = tuple(
        StreamReport(attempt.attempt_id, "i", "1", share.memory_tokens, 1, 0, 0)
        for attempt in server.state.attempts.values()
        for share in attempt.placements
        if share.engine == name
    )
    used = sum(stream.memory_tokens for stream in streams)
    report = LoadReport(name, "1", server.now, False, MEMORY, used, 64, streams, ("m",))
    server.apply(LoadReported(server.now, report))


def test_short_requests_backfill_a_reservation_only_where_they_end_before_it():
    server = Server([Team("t", 1, ())], "first_come", slots=64)
    server.arrive("t", 300_000)
    report_engine(server, "engine-0")
    long_one = server.arrive("t", 350_000)
    kept = server.state.reservations["engine-0"]
    assert kept.request_id == long_one
    assert kept.until_at == next(iter(server.state.attempts.values())).ends_at
    fits = server.arrive("t", 40_000)
    assert fits in server.state.in_hand
    server.pass_time(kept.until_at - 500)
    blocked = server.arrive("t", 90_000)
    assert blocked in server.state.waiting
    while long_one in server.state.waiting:
        server.finish_one()
        report_engine(server, "engine-0")
    assert not server.state.reservations and not server.state.reserved


def test_two_spans_never_hold_halves_of_each_other():
    server = Server([Team("t", 1, ())], "first_come", engines=3, slots=64)
    for _ in range(3):
        server.arrive("t", 300_000)
    first, second = server.arrive("t", 900_000), server.arrive("t", 900_000)
    assert set(server.state.reserved) == {first}
    for expected in (first, second):
        while expected in server.state.waiting:
            server.finish_one()
    assert [request.request_id for request in server.started[3:]] == [first, second]


def test_priority_is_short_before_long_but_ages_and_rises_with_the_deadline():
    server = Server([Team("t", 1, ())], engines=3, slots=64)
    for tokens, deadline_ms in ((300_000, FOREVER_MS), (300_000, 30_000), (1_000, FOREVER_MS)):
        server.arrive("t", tokens, deadline_ms)
    long_one, hurried, short = (a.priority for a in server.running.values())
    assert 0 <= short < hurried < long_one
    for _ in range(3_000):
        server.pass_time(50)
    first, last = (a for a in server.state.attempts.values() if a.request.deadline_at > 30_000)
    assert first.priority == last.priority == 0
    assert len(server.raises) < 100


def test_raises_are_bounded_per_interval():
    server = Server([Team("t", 1, ())], engines=20, slots=64)
    for _ in range(100):
        server.arrive("t", 30_000)
    for _ in range(400):
        before = len(server.raises)
        server.pass_time(50)
        assert len(server.raises) - before <= 8
    assert all(attempt.priority == 0 for attempt in server.state.attempts.values())


def test_a_team_that_left_is_passed_over_when_teams_are_taken():
    server = Server([Team("gone", 1, ()), Team("waits", 1, ())])
    server.arrive("waits", 300_000)
    server.arrive("waits", 300_000)
    name = server.arrive("gone", 300_000)
    state = unpark(reduce(server.state, CallerGone(0, name))[0])
    state = replace(state, ready=state.ready, parked=Heap())
    while state.ready:
        state, _ = take_team(state, from_ready=True)
    state = correct(state, "gone", 5_000.0)
    only = Heap().push(0.0, "gone")
    assert take_team(replace(state, ready=only), from_ready=True)[1] == ""
    parked = replace(state, ready=only, parked=Heap().push(0.0, "waits"))
    assert take_team(parked, from_ready=True)[1] == "waits"
