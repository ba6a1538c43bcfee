"""Admission control: decisions, the order of held requests, and simulated bursts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._load_tracker import Job, combine_jobs
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.overload import (
    HeldRequest,
    Hold,
    HoldQueue,
    Refuse,
    Room,
    Send,
    WaitingRequest,
    decide,
    estimate_next_slot_ms,
    find_late_rank,
)
from lentilwell.gateway.overload._decisions import GRACE_MS, MAX_REFUSAL_MS
from lentilwell.gateway.overload._hold_queue import MAX_PASSES
from standins.simulated_overload import ENGINE, Load, Site, simulate_overload, summarise

UPSTREAM = Upstream("u", "s", "127.0.0.1:1", "dc", 6, False)
FULL = Room(slots=60, free_slots=0, slot_use_ms=1_600.0, instances=5)
FREE = Room(slots=60, free_slots=20, slot_use_ms=1_600.0, instances=5)


def waiting(waited_ms=0, held=False):
    return WaitingRequest(300, 2_000, waited_ms, 12_000, held)


def choice(first_event_ms, slot_wait_ms=0.0):
    return Choice(UPSTREAM, first_event_ms=first_event_ms, slot_wait_ms=slot_wait_ms)


@pytest.mark.parametrize("room", [FULL, FREE])
@pytest.mark.parametrize("slot_wait_ms", [0.0, 150.0])
def test_request_that_can_be_on_time_is_sent_at_once(room, slot_wait_ms):
    """Guards against a wait or a refusal where nothing is short."""
    assert decide(waiting(), choice(290.0, slot_wait_ms), room) == Send()


def test_long_prompt_that_no_free_slot_makes_on_time_is_sent():
    """Guards against holding a request whose lateness has nothing to do with other requests."""
    assert decide(waiting(), choice(3_000.0), FREE) == Send()


def test_request_that_would_be_late_is_held_while_it_can_be_served():
    assert isinstance(decide(waiting(), choice(500.0, 400.0), FULL), Hold)
    assert isinstance(decide(waiting(400, held=True), choice(500.0, 400.0), FULL), Hold)


@pytest.mark.parametrize("room", [{"short_ms": 3_000}, {"late_ahead": 30}])
def test_request_that_cannot_be_served_in_time_is_refused_within_50_ms(room):
    """Guards against holding requests until their callers leave.

    One that a free slot would still make on time is held for some of the 50 ms first.
    """
    assert GRACE_MS < MAX_REFUSAL_MS == 50
    full = Room(slots=60, free_slots=0, slot_use_ms=1_600.0, instances=5, **room)
    assert isinstance(decide(waiting(), choice(500.0, 400.0), full), Hold)
    for verdict in (
        decide(waiting(GRACE_MS, held=True), choice(500.0, 400.0), full),
        decide(waiting(), choice(800.0, 400.0), full),
    ):
        assert isinstance(verdict, Refuse)
        assert 200 <= verdict.retry_after_ms <= 4_000


def test_late_request_leaves_slots_to_requests_that_can_be_on_time():
    """Guards against late requests that take every slot that is free for a moment."""
    few = Room(slots=60, free_slots=2, slot_use_ms=1_600.0, instances=5)
    assert isinstance(decide(waiting(500, held=True), choice(100.0), few), Hold)
    assert decide(waiting(500, held=True), choice(100.0), FREE) == Send(late=True)


def test_instances_that_see_the_same_free_slots_do_not_all_use_them():
    """Guards against releases of many instances at the same moment."""
    room = Room(slots=60, free_slots=8, slot_use_ms=1_600.0, instances=50)
    points = [number / 100 for number in range(100)]
    sent = sum(
        isinstance(decide(waiting(500, held=True), choice(100.0), room, point), Send)
        for point in points
    )
    assert sent == 10  # 5 spare slots for 50 instances


def test_less_urgent_request_yields_to_a_more_urgent_one_that_is_held():
    yields = Room(slots=60, free_slots=2, slot_use_ms=1_600.0, yields=True)
    assert isinstance(decide(waiting(), choice(100.0), yields), Hold)


def test_late_requests_keep_the_order_of_their_ranks():
    ranks = [find_late_rank(rank) for rank in range(10)]
    assert ranks == sorted(ranks)
    assert ranks[0] > 4
    assert ranks[-1] == 9


def test_plain_service_that_refuses_what_exceeds_its_slots_is_not_sent_more():
    room = Room(slots=6, free_slots=0, slot_use_ms=60.0, queues=False)
    assert isinstance(decide(waiting(), choice(80.0, 20.0), room), Hold)
    assert decide(waiting(20, held=True), choice(60.0), room) == Send()


def job(age_ms, reading=False, late=False):
    begun_at = 10_000 - age_ms
    return Job(
        f"j{age_ms}",
        "u",
        begun_at,
        20.0,
        6_676,
        reading,
        due_at=begun_at + 300 * (not late),
        weight=1.0,
    )


def estimate_wait(jobs):
    load = combine_jobs(jobs, 10_000)
    return estimate_next_slot_ms(ENGINE, load, 10_000, 1.0)


def test_slot_is_expected_when_the_oldest_request_should_end():
    """Guards against waits that ignore how long the requests at an engine have been served."""
    young = [job(age) for age in (100, 110, 120, 130, 140, 150)]
    assert estimate_wait(young) > 1_000
    assert estimate_wait([*young[1:], job(1_700)]) < 150
    assert estimate_wait(young[1:]) == 0


def test_late_request_in_the_queue_of_an_engine_delays_no_other():
    """Guards against counting requests that the engine takes last."""
    running = [job(age) for age in (1_500, 1_400, 100, 200, 300, 400)]
    wait_ms = estimate_wait(running)
    assert estimate_wait([*running, job(50, reading=True, late=True)]) == wait_ms
    assert estimate_wait([*running, job(50, reading=True)]) > wait_ms


HELD = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from("abc"), st.integers(1, 5_000), st.booleans()),
    min_size=1,
    max_size=60,
)


def make_held(number, rank, team, work_ms, on_time):
    return HeldRequest(str(number), rank, team, work_ms, number, 10**9 if on_time else 0)


@given(HELD, st.integers(1, 5))
def test_no_held_request_is_passed_without_end(entries, batch):
    """Guards against starvation of a team, a size or a class."""
    queue = HoldQueue()
    passes = {}
    for number, entry in enumerate(entries):
        queue.add(make_held(number, *entry))
        if number % batch == 0:
            release_one(queue, number, passes)
    while len(queue):
        release_one(queue, len(entries), passes)
    assert max(passes.values(), default=0) <= MAX_PASSES


def release_one(queue, now, passes):
    late = queue.find_next(True, now)
    released = late or queue.find_next(False, now)
    if released is None:
        return
    for held in queue:
        if (held.late_from > now) == (released.late_from > now):
            passes[held.name] = passes.get(held.name, 0) + (held.arrived_at < released.arrived_at)
    queue.release(released.name, now)


@given(HELD)
def test_more_urgent_held_requests_go_first(entries):
    """Guards against a less urgent request that is released before a more urgent one."""
    queue = HoldQueue()
    for number, entry in enumerate(entries[:MAX_PASSES]):
        queue.add(make_held(number, *entry[:3], True))
    ranks = []
    while (held := queue.find_next(False, 100)) is not None:
        ranks.append(held.rank)
        queue.release(held.name, 100)
    assert ranks == sorted(ranks)


def test_releases_alternate_between_teams():
    """Guards against a team that takes all releases with many requests."""
    queue = HoldQueue()
    for number in range(6):
        queue.add(make_held(number, 0, "many" if number < 5 else "few", 1, False))
    teams = []
    for _ in range(2):
        held = queue.find_next(True, 100)
        teams.append(held.team)
        queue.release(held.name, 100)
    assert set(teams) == {"many", "few"}


BASE = Load("base", 0.5, (0.0, 6.0))
SMALL = Site(engines=10, instances=6)


def play(times, site=SMALL, **changes):
    """Return the summary of a burst of 3 s, beside a steady load of half of the capacity."""
    burst = Load("burst", times - 0.5, (2.0, 5.0), **changes)
    return summarise(simulate_overload(site, [BASE, burst]), 2.0, 5.0)


def test_nothing_changes_below_the_capacity():
    before = play(0.5, Site(10, 6, admission_control=False))
    after = play(0.5)
    assert after == before
    assert after.held == after.refusals == 0


SITE = Site(engines=15, instances=11)
SEEDS = (1, 2, 3, 4, 5)


def burst(times, name="burst", **changes):
    """Return a burst of 3 s that together with the steady load is ``times`` the capacity."""
    return Load(name, times - 0.6, (2.0, 5.0), **changes)


def play_burst(*bursts, seeds=SEEDS, **changes):
    """Return what became of the callers of a burst, for each of the seeds."""
    steady = Load("steady", 0.6, (0.0, 7.0))
    sites = [Site(SITE.engines, SITE.instances, seed=seed, **changes) for seed in seeds]
    played = [simulate_overload(site, [steady, *bursts]) for site in sites]
    return [one for results in played for one in results if 2.0 <= one.arrived_s < 5.0]


def count_served(results):
    """Return how many first events came during the burst."""
    ends = [one.arrived_s + one.first_ms / 1_000 for one in results if one.first_ms is not None]
    return sum(2.2 <= end < 5.2 for end in ends)


@pytest.fixture(scope="module")
def at_twice():
    return play_burst(burst(2.0))


def test_at_twice_the_capacity_nine_tenths_of_what_fits_is_on_time(at_twice):
    """Guards against a burst in which all wait and all are late.

    What fits is what the engines serve when every request is sent at once.
    """
    fits = count_served(play_burst(burst(2.0), admission_control=False))
    assert summarise(at_twice).on_time >= 0.9 * fits


def test_no_fewer_are_on_time_at_four_times_the_capacity(at_twice):
    """Guards against goodput that falls as load rises."""
    more = play_burst(burst(4.0))
    assert summarise(more).on_time >= 0.97 * summarise(at_twice).on_time


def test_refusals_for_lack_of_room_come_at_once(at_twice):
    """Guards against requests that are held and then refused."""
    at_once = [took_ms <= 50 for one in at_twice for took_ms in one.refusals_ms]
    assert sum(at_once) >= 0.75 * len(at_once)


def share_on_time(results, name):
    """Return the share of the callers of one load that were served on time."""
    on_time = [one.on_time for one in results if one.load.name == name]
    return sum(on_time) / len(on_time)


def test_less_urgent_class_gives_way():
    """Guards against urgent requests that are late because of a burst of another class."""
    batch = Load("batch", 1.5, (2.0, 5.0), rank=3)
    results = play_burst(Load("urgent", 0.5, (2.0, 5.0)), batch, seeds=(1, 2))
    assert share_on_time(results, "urgent") >= 1.5 * share_on_time(results, "batch")


def test_team_that_causes_a_burst_does_not_keep_out_another_one():
    """Guards against a team that gets no slot because another one sends more."""
    many = Load("many", 2.0, (2.0, 5.0), team="many")
    results = play_burst(many, Load("few", 0.2, (2.0, 5.0), team="few"), seeds=(1, 2))
    assert share_on_time(results, "few") >= 0.8 * share_on_time(results, "many")
