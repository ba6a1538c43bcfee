"""Several instances and engines under faults: invariants that must always hold."""

import hypothesis.strategies as st
from hypothesis import HealthCheck
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lentilwell.reducer import _events as ev
from tests.fleet import ENGINE_DATA_CENTRES, INSTANCE_DATA_CENTRES, MEMORY, Fleet, Stream
from tests.searching import bounded_search_settings

NAMES = st.sampled_from(sorted(INSTANCE_DATA_CENTRES))
ENGINES = st.sampled_from(sorted(ENGINE_DATA_CENTRES))
PROMPTS = st.sampled_from((10, 800, 20_000, 40_000, 90_000, MEMORY, 150_000, 240_000))


class FleetUnderFaults(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1 << 20), fault_rate=st.sampled_from((0.0, 0.1, 0.4)))
    def start(self, seed, fault_rate):
        self.fleet = Fleet(seed, fault_rate)

    @rule(
        names=st.lists(NAMES, min_size=1, max_size=6),
        prompt=PROMPTS,
        team=st.sampled_from(("open", "bound")),
        deadline_ms=st.sampled_from((3_000, 15_000)),
    )
    def arrive(self, names, prompt, team, deadline_ms):
        for name in names:
            self.fleet.arrive(name, prompt, answer=20, team=team, deadline_ms=deadline_ms)

    @rule(ms=st.sampled_from((50, 300, 1_500, 6_000)))
    def advance(self, ms):
        self.fleet.advance(ms)

    @rule(name=ENGINES, silent=st.booleans())
    def kill_engine(self, name, silent):
        self.fleet.kill_engine(name, silent)

    @rule(name=ENGINES)
    def start_engine(self, name):
        self.fleet.start_engine(name)

    @rule(name=ENGINES)
    def leave(self, name):
        self.fleet.leave(name)

    @rule(name=NAMES)
    def kill_instance(self, name):
        self.fleet.kill_instance(name)

    @rule(name=NAMES)
    def replace_instance(self, name):
        self.fleet.kill_instance(name)
        self.fleet.start_instance(name)

    @rule(name=NAMES)
    def pause(self, name):
        self.fleet.pause(name)

    @rule(name=NAMES)
    def resume(self, name):
        self.fleet.resume(name)

    @rule(partitioned=st.booleans())
    def partition(self, partitioned):
        self.fleet.partition(partitioned)

    @rule(lose=st.booleans())
    def lose_cancels(self, lose):
        self.fleet.lose_cancels = lose

    @rule(allowed=st.lists(ENGINES, min_size=1, max_size=3, unique=True))
    def change_teams(self, allowed):
        self.fleet.change_teams(tuple(allowed))

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.drain_and_check()


FleetUnderFaults.TestCase.settings = bounded_search_settings(
    max_examples=40, stateful_step_count=20, suppressed_checks=HealthCheck
)
TestFleetUnderFaults = FleetUnderFaults.TestCase


def started_attempts(fleet, request_id):
    return [effect for _, effect in fleet.started if effect.request.request_id == request_id]


def outcomes_of(fleet, request_id):
    return fleet.callers[request_id].outcomes


def test_prompts_of_all_lengths_are_served_while_capacity_is_free():
    fleet = Fleet()
    ids = [fleet.arrive(n, p, 20) for n in INSTANCE_DATA_CENTRES for p in (10, 20_000, 90_000)]
    ids += [fleet.arrive("a", 240_000, 20), fleet.arrive("c", 150_000, 20)]
    fleet.drain_and_check()
    assert [outcomes_of(fleet, i) for i in ids] == [[None]] * len(ids)


def test_request_resumes_after_the_loss_of_one_engine_of_its_span():
    fleet = Fleet()
    request_id = fleet.arrive("a", 150_000, answer=300, deadline_ms=60_000)
    fleet.advance(4_000)
    (first,) = started_attempts(fleet, request_id)
    delivered = fleet.callers[request_id].delivered
    assert 0 < delivered < 300 and len(first.placements) == 2
    fleet.kill_engine(first.placements[1].engine)
    fleet.advance(1_000)
    retried = started_attempts(fleet, request_id)[-1]
    assert retried.first_index == delivered and retried.attempt_id != first.attempt_id
    assert first.attempt_id not in fleet.engines[first.placements[0].engine].streams
    fleet.drain_and_check()
    assert outcomes_of(fleet, request_id) == [None]


def test_partition_between_data_centres_and_its_end():
    fleet = Fleet()
    before = fleet.arrive("a", 90_000, 200, deadline_ms=40_000)
    fleet.advance(500)
    fleet.partition(True)
    fleet.advance(3_000)
    during = [
        fleet.arrive(n, p, 20, deadline_ms=10_000)
        for n in INSTANCE_DATA_CENTRES
        for p in (10, 40_000)
    ]
    during.append(fleet.arrive("c", 150_000, 20, deadline_ms=30_000))
    fleet.advance(15_000)
    assert [outcomes_of(fleet, i) for i in during[:-1]] == [[None]] * 8
    fleet.partition(False)
    fleet.drain_and_check()
    assert outcomes_of(fleet, before) == [None] and outcomes_of(fleet, during[-1]) == [None]


def test_only_the_streams_of_a_killed_entry_instance_are_freed():
    fleet = Fleet()
    for prompt in (90_000, 150_000):
        fleet.arrive("a", prompt, 2_000, deadline_ms=120_000)
    fleet.arrive("c", 40_000, 2_500, deadline_ms=60_000)
    fleet.advance(3_000)
    orphans = {s for e in fleet.engines.values() for s in e.streams if s.startswith("a.")}
    assert orphans
    fleet.kill_instance("a")
    fleet.start_instance("a")
    fleet.advance(4_000)
    assert orphans <= {s for e in fleet.engines.values() for s in e.streams}
    fleet.advance(12_000)
    assert not orphans & {s for e in fleet.engines.values() for s in e.streams}
    assert any(s.startswith("c.") for e in fleet.engines.values() for s in e.streams)
    fleet.drain_and_check()


def test_short_pause_costs_no_retry_and_long_pause_costs_one():
    for pause_ms, attempts in ((3_000, 1), (25_000, 2)):
        fleet = Fleet()
        request_id = fleet.arrive("a", 40_000, 3_000, deadline_ms=120_000)
        fleet.advance(1_500)
        fleet.pause("a")
        fleet.advance(pause_ms)
        fleet.resume("a")
        fleet.drain_and_check(120_000)
        assert outcomes_of(fleet, request_id) == [None]
        assert len(started_attempts(fleet, request_id)) == attempts


def test_resumed_instance_does_not_consider_its_peers_dead():
    fleet = Fleet()
    fleet.pause("b")
    request_ids = [fleet.arrive(n, 40_000, 3_000, deadline_ms=120_000) for n in ("a", "c", "d")]
    fleet.advance(20_000)
    fleet.instances["b"].inbox.clear()
    fleet.resume("b")
    fleet.drain_and_check(120_000)
    assert [len(started_attempts(fleet, r)) for r in request_ids] == [1, 1, 1]
    assert [outcomes_of(fleet, r) for r in request_ids] == [[None]] * 3


def test_concurrent_spans_do_not_deadlock():
    for seed in range(10):
        fleet = Fleet(seed, instance_data_centres={"a": "north", "b": "north"})
        fleet.kill_engine("e3")
        fleet.kill_engine("e4")
        spans = [
            fleet.arrive(name, 240_000, 20, deadline_ms=60_000) for name in ("a", "b", "a", "b")
        ]
        shorts = [fleet.arrive("a", 10, 5, deadline_ms=5_000) for _ in range(4)]
        fleet.advance(5_000)
        assert [outcomes_of(fleet, s) for s in shorts] == [[None]] * 4
        fleet.advance(50_000)
        assert [outcomes_of(fleet, s) for s in spans] == [[None]] * 4
        fleet.drain_and_check()


def test_leaving_mark_of_one_instance_reaches_all_and_ends_with_the_next_incarnation():
    fleet = Fleet()
    fleet.leave("e0")
    report = fleet.engines["e0"].report()
    fleet.apply(fleet.instances["a"], ev.LoadReported(fleet.now, report))
    fleet.advance(300)
    assert all(i.state.engines["e0"].leaving for i in fleet.live_instances())
    fleet.kill_engine("e0")
    fleet.start_engine("e0")
    fleet.advance(1_500)
    assert not any(i.state.engines["e0"].leaving for i in fleet.live_instances())


def test_stream_opened_after_its_cancel_is_found_by_the_report_and_freed():
    fleet = Fleet()
    request_id = fleet.arrive("a", 40_000, 1_000)
    (start,) = started_attempts(fleet, request_id)
    fleet.apply(fleet.instances["a"], ev.CallerGone(fleet.now, request_id))
    fleet.callers[request_id].outcomes.append("gone")
    fleet.advance(1_000)
    assert not any(start.attempt_id in e.streams for e in fleet.engines.values())
    engine = fleet.engines[start.placements[0].engine]
    late = Stream(start.attempt_id, fleet.instances["a"].identity, 40_000, 40_000, True, 0, 9, 0)
    engine.streams[start.attempt_id] = late
    fleet.advance(4_000)
    assert not engine.streams
