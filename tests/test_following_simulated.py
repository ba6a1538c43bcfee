"""Fleets that follow the store through faults, in simulated time, and their calls to the store.

A change must be known within ``KNOWN_MS`` of its acknowledgement, the tightest of the users'
bounds.
"""

import asyncio
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilwell.gateway._store_point import StorePoint
from standins.simulated_following import DATA_CENTRES, SimulatedFleet, count_calls
from standins.simulated_time import run_in_simulated_time
from tests.searching import SEARCH_EXAMPLES

KNOWN_MS = 3_000
CALL_TIMEOUT_MS = 1_200
SETTLED_S = 8
# The smallest links carry 7 Mbit/s.
LINK_BYTES_PER_S = 875_000


@pytest.fixture(autouse=True)
def all_messages_can_be_read(monkeypatch):
    """Write no log, and check that every message of a source can be read."""
    unreadable = []

    def write_line(line, error=None):
        if line.event == "relay unreadable":
            unreadable.append(line)

    for module in ("_relay", "_follower"):
        monkeypatch.setattr(f"lentilwell.gateway.following.{module}.write_line", write_line)
    yield
    assert not unreadable


def play(script, instances=30, loss=0.0, relays=True, seed=1, centres=DATA_CENTRES):
    """Run a script on a fleet that has settled, and return the fleet as it is at the end."""

    async def run():
        fleet = SimulatedFleet(instances, loss, relays, centres)
        fleet.write("op", "config", "0")
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        fleet.written.clear()
        await script(fleet)
        fleet.stop_tasks()
        return fleet

    random.seed(seed)
    return run_in_simulated_time(run())


async def write_often(fleet, seconds, every_s=0.11):
    for number in range(round(seconds / every_s)):
        table = "op" if number % 3 == 0 else "servers"
        fleet.write(table, f"k{number % 7}", f"{number}" * random.choice([1, 50]))
        await asyncio.sleep(every_s)
    await asyncio.sleep(5)


def check_histories(fleet):
    """Check that no instance went back, and that all hold what the store holds."""
    for instance in fleet.running.values():
        for table, listener in zip(("op", "servers"), instance.listeners, strict=True):
            points = [point for point, _ in listener.points]
            assert points == sorted(points)
            rows = fleet.store.list_rows(table)
            assert listener.values == {r.key: r.value for r in rows if r.value is not None}


def list_roles(fleet):
    return [one.relay.role for one in fleet.running.values()]


@pytest.mark.parametrize("instances", [8, 30, 100])
def test_each_data_centre_has_two_sources_and_all_others_are_fed(instances):
    async def script(fleet):
        for centre in ("a", "b", "c"):
            assert len(fleet.find_sources(centre)) == 2
        assert list_roles(fleet).count("fed") == instances - 6

    play(script, instances)


@pytest.mark.parametrize("instances", [1, 4, 7])
def test_few_instances_follow_the_store_for_themselves(instances):
    async def script(fleet):
        await write_often(fleet, 10)
        assert set(list_roles(fleet)) == {"alone"}
        assert fleet.datagrams == fleet.reports

    play(script, instances)


@pytest.mark.parametrize("instances", [30, 100])
def test_calls_are_a_quarter_and_grow_more_slowly_than_the_fleet(instances):
    """Each instance polled both tables, and each change woke all of them."""
    random.seed(1)
    before = run_in_simulated_time(count_calls(instances, relays=False, seconds=30))
    after = run_in_simulated_time(count_calls(instances, relays=True, seconds=30))
    assert before.calls >= (4 if instances >= 100 else 2) * after.calls
    assert after.slowest_ms <= KNOWN_MS
    small = run_in_simulated_time(count_calls(10, relays=True, seconds=30))
    assert after.calls / small.calls < 0.6 * instances / 10


def test_change_under_normal_conditions_is_known_as_soon_as_by_polling():
    async def script(fleet):
        for number in range(40):
            fleet.write("servers", f"s{number}", "ready")
            fleet.write("op", f"evacuate/{number}", None if number % 2 else "{}")
            await asyncio.sleep(1)

    delays = sorted(play(script).list_delays())
    assert delays[-1] <= 20


@pytest.mark.parametrize("loss", [0.01, 0.1, 0.5, 1.0])
def test_lost_datagrams_delay_no_change_beyond_the_bound(loss):
    fleet = play(lambda fleet: write_often(fleet, 20), loss=loss)
    assert max(fleet.list_delays()) <= KNOWN_MS
    check_histories(fleet)


def kill(fleet, centre):
    for source in fleet.find_sources(centre):
        source.kill()


def freeze(fleet, centre):
    for source in fleet.find_sources(centre):
        source.freeze()


def cut_from_store(fleet, centre):
    """Let the calls of the sources hang; their open polls end without an answer too."""
    fleet.store.unreachable |= {source.name for source in fleet.find_sources(centre)}


def isolate(fleet, centre):
    fleet.isolated |= {source.name for source in fleet.find_sources(centre)}


@pytest.mark.parametrize("fault", [kill, freeze, cut_from_store, isolate])
@pytest.mark.parametrize("centres", [DATA_CENTRES, ("a",)], ids=["three", "one"])
@pytest.mark.parametrize("seed", range(3))
def test_others_know_changes_in_time_when_all_sources_of_a_data_centre_fail_at_once(
    fault, centres, seed
):
    """In a single data centre nobody else reads the changes and names them in digests."""

    async def script(fleet):
        writing = asyncio.ensure_future(write_often(fleet, 8, every_s=0.4))
        await asyncio.sleep(2 + 0.2 * seed)
        affected.extend(one.name for one in fleet.find_sources("a"))
        fault(fleet, "a")
        await writing
        working = [one for one in fleet.find_sources("a") if one.name not in affected]
        assert len(working) == 2

    affected = []
    fleet = play(script, seed=seed, centres=centres)
    excused = set() if fault is isolate else affected
    assert max(fleet.list_delays(excused)) <= KNOWN_MS


@pytest.mark.parametrize("sources", [1, 2], ids=["one", "both"])
@pytest.mark.parametrize("seed", range(3))
def test_sources_that_the_store_does_not_answer_know_changes_from_others(sources, seed):
    async def script(fleet):
        writing = asyncio.ensure_future(write_often(fleet, 10, every_s=0.4))
        await asyncio.sleep(2 + 0.2 * seed)
        fleet.store.unreachable |= {one.name for one in fleet.find_sources("a")[:sources]}
        await writing

    fleet = play(script, seed=seed)
    assert max(fleet.list_delays()) <= KNOWN_MS


def test_source_that_resumes_after_a_freeze_feeds_nobody_until_it_has_read_what_it_missed():
    async def script(fleet):
        [first, _] = fleet.find_sources("a")
        frozen.append(first.name)
        first.freeze()
        await write_often(fleet, 6)
        first.thaw()
        await write_often(fleet, 3)
        assert len(fleet.find_sources("a")) == 2

    frozen = []
    fleet = play(script)
    check_histories(fleet)
    assert max(fleet.list_delays(frozen)) <= KNOWN_MS


def test_outage_that_only_the_sources_notice_is_recorded_by_their_dependents():
    """Entries that expired in the outage would otherwise end requests to sound upstreams."""

    async def script(fleet):
        cut_from_store(fleet, "a")
        await asyncio.sleep(2.6)
        fleet.store.unreachable.clear()
        await asyncio.sleep(6)
        for instance in fleet.running.values():
            noticed = [one.recoveries for one in instance.listeners]
            assert all(noticed) or instance.data_centre != "a"

    play(script)


@pytest.mark.parametrize("kind", ["everyone", "a data centre"])
def test_outage_of_the_store_ends_for_all_and_no_change_after_it_is_late(kind):
    async def script(fleet):
        names = [
            one.name
            for one in fleet.running.values()
            if kind == "everyone" or one.data_centre == "a"
        ]
        fleet.store.unreachable.update(names)
        await asyncio.sleep(6)
        fleet.store.unreachable.clear()
        await asyncio.sleep(KNOWN_MS / 1_000)
        await write_often(fleet, 5)
        assert set(list_roles(fleet)) == {"source", "fed"}
        for instance in fleet.running.values():
            assert not any(one.status.failures for one in instance.followers)

    fleet = play(script)
    assert max(fleet.list_delays()) <= KNOWN_MS
    check_histories(fleet)


def test_restored_copy_is_read_by_all_and_reused_versions_hide_no_change():
    async def script(fleet):
        rows, version = dict(fleet.store.rows), fleet.store.version
        await write_often(fleet, 4)
        fleet.written.clear()
        fleet.store.restore(rows, version)
        await asyncio.sleep(0.5)
        await write_often(fleet, 6)
        for instance in fleet.running.values():
            assert {one.status.at.era for one in instance.followers} == {2}

    fleet = play(script)
    assert max(fleet.list_delays()) <= KNOWN_MS
    check_histories(fleet)


def test_compacted_history_is_read_completely():
    async def script(fleet):
        await write_often(fleet, 4)
        fleet.store.oldest_version = fleet.store.version
        await write_often(fleet, 40, every_s=1.1)

    fleet = play(script)
    assert max(fleet.list_delays()) <= KNOWN_MS
    check_histories(fleet)


def test_storm_of_large_configurations_is_read_in_few_calls_within_the_bytes_of_a_small_link():
    async def script(fleet):
        calls = fleet.store.calls.total()
        for number in range(50):
            filling = "".join(random.choices("0123456789abcdef", k=40_000))
            fleet.write("op", "config", f"{number} {filling}")
            await asyncio.sleep(0.08)
        await asyncio.sleep(4)
        # Fewer than 1.6 calls a second and instance; polling makes 3.
        assert fleet.store.calls.total() - calls <= 100 * 8 * 0.8 + 100
        assert max(one.bytes_sent for one in fleet.running.values()) <= 100_000 * 16

    fleet = play(script, instances=100)
    assert max(fleet.list_delays()) <= KNOWN_MS
    check_histories(fleet)


@pytest.mark.parametrize("size", [20_000, 131_072, 3_000_000])
def test_rows_that_compress_well_but_are_too_large_are_read_from_the_store(size):
    async def script(fleet):
        for number in range(3):
            fleet.write("op", "config", f"{number}" * size)
            await asyncio.sleep(1.5)
        reasons = sum((one.reasons for one in fleet.running.values()), Counter())
        assert bool(reasons["missing"]) is (size > 100_000)

    assert max(play(script).list_delays()) <= KNOWN_MS


@pytest.mark.parametrize(
    ("length", "versions", "every_s"),
    [(60_000, 25, 0.08), (60_000, 40, 0.05), (150_000, 25, 0.08), (400_000, 6, 0.33)],
)
@pytest.mark.parametrize("seed", range(2))
def test_configurations_that_small_links_carry_slowly_are_in_force_in_time(
    length, versions, every_s, seed
):
    async def script(fleet):
        fleet.store.link_bytes_per_s = LINK_BYTES_PER_S
        await asyncio.sleep(seed)
        for number in range(versions):
            filling = "".join(random.choices("0123456789abcdef", k=length))
            fleet.write("op", "config", f"{number} {filling}")
            await asyncio.sleep(every_s)
        await asyncio.sleep(2 * KNOWN_MS / 1_000)

    fleet = play(script, instances=100, seed=seed)
    assert max(fleet.list_delays()) <= KNOWN_MS
    check_histories(fleet)


@pytest.mark.parametrize("pause_s", [0, 0.05, 0.35])
@pytest.mark.parametrize("seed", range(3))
def test_row_that_is_removed_beside_long_changes_is_removed_everywhere(seed, pause_s):
    """A complete reading does not show that a row was removed."""

    async def script(fleet):
        fleet.store.link_bytes_per_s = LINK_BYTES_PER_S
        for number in range(3):
            fleet.write("op", "evacuate/a", "{}")
            await asyncio.sleep(0.7)
            fleet.write("op", "config", f"{number}" * 60_000)
            await asyncio.sleep(pause_s)
            fleet.write("op", "evacuate/a", None)
            await asyncio.sleep(pause_s)
            fleet.write("op", "config", f"{number}x" * 30_000)
            await asyncio.sleep(KNOWN_MS / 1_000)
            check_histories(fleet)

    play(script, seed=seed)


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "freeze", "cut", "isolate"]),
        st.integers(0, 11),
        st.floats(0, 6),
        st.floats(0.1, 4),
    ),
    max_size=5,
)


@settings(max_examples=SEARCH_EXAMPLES or 40, deadline=None)
@given(FAULTS, st.sampled_from([0.0, 0.05, 0.4]), st.integers(0, 1_000))
def test_no_faults_of_instances_delay_changes_of_the_others_or_bring_back_old_ones(
    faults, loss, seed
):
    """Sources and others are killed, frozen, cut from the store or from each other."""

    async def hit(fleet, kind, number, at_s, for_s):
        await asyncio.sleep(at_s)
        instance = fleet.running.get(f"n{number:03}")
        if instance is None:
            return
        if kind == "kill":
            instance.kill()
        elif kind == "freeze":
            instance.freeze()
            await asyncio.sleep(for_s)
            instance.thaw()
        elif kind == "cut":
            fleet.store.unreachable.add(instance.name)
            await asyncio.sleep(for_s)
            fleet.store.unreachable.discard(instance.name)
        else:
            fleet.isolated.add(instance.name)
            await asyncio.sleep(for_s)
            fleet.isolated.discard(instance.name)

    async def script(fleet):
        hits = [asyncio.ensure_future(hit(fleet, *fault)) for fault in faults]
        await write_often(fleet, 9, every_s=0.3)
        await asyncio.gather(*hits)
        await asyncio.sleep(5)

    fleet = play(script, instances=12, loss=loss, seed=seed)
    excused = {f"n{number:03}" for kind, number, _, _ in faults if kind in ("freeze", "cut")}
    assert max(fleet.list_delays(excused), default=0) <= KNOWN_MS
    check_histories(fleet)


def test_reported_version_is_that_of_the_row_whoever_reads_it_and_when():
    """Different versions for one change made instances call the store after each other's calls."""

    async def script(fleet):
        fleet.write("op", "config", "1")
        fleet.write("servers", "s", "1")
        await asyncio.sleep(60)
        points = {one.followers[0].report.changed for one in fleet.running.values()}
        assert points == {StorePoint(1, fleet.store.rows["op", "config"].version)}

    play(script)
