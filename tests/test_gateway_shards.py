"""Shards: small fleets have one, large fleets are split evenly, and changes move few members."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway import BudgetRules
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._shards import INSTANCES_PER_SHARD, ShardView, assign_shards, count_shards
from lentilwell.gateway._upstreams import Upstream, apply_listing
from tests.gateway_harness import make_route

CENTRES = ("a", "b", "c", "d", "e")
FLEETS = st.dictionaries(st.text(min_size=1, max_size=8), st.sampled_from(CENTRES), max_size=60)


def make_instances(number):
    return {f"front-{n}": CENTRES[n % len(CENTRES)] for n in range(number)}


def make_upstreams(number, service="engines"):
    return {
        f"{service}-{n}": Upstream(
            f"{service}-{n}", service, f"10.0.0.{n}:1", CENTRES[n % len(CENTRES)], 6, False
        )
        for n in range(number)
    }


@pytest.mark.parametrize(
    ("upstreams", "instances", "shards"),
    [(14, 4, 1), (45, 35, 1), (112, 78, 3), (430, 300, 13), (10_000, 340, 83), (400, 3, 1)],
)
def test_number_of_shards_depends_on_the_size_of_the_fleet(upstreams, instances, shards):
    assert count_shards(upstreams, instances) == shards


@pytest.mark.parametrize(("upstreams", "instances"), [(45, 35), (112, 78), (430, 300)])
@pytest.mark.parametrize("lost_share", [0.01, 0.1, 0.25])
def test_crashed_upstreams_do_not_change_the_number_of_shards(upstreams, instances, lost_share):
    remaining = round(upstreams * (1 - lost_share))
    assert count_shards(remaining, instances) == count_shards(upstreams, instances)


@given(FLEETS, st.integers(1, 9))
def test_each_data_centre_is_split_evenly(members, shards):
    assigned = assign_shards(members, shards)
    assert assigned.keys() == members.keys()
    for centre in CENTRES:
        sizes = [0] * shards
        for name, shard in assigned.items():
            sizes[shard] += members[name] == centre
        assert max(sizes) - min(sizes) <= 1


@given(FLEETS, st.integers(1, 9), st.randoms())
def test_assignment_does_not_depend_on_the_order_of_the_list(members, shards, order):
    names = list(members)
    order.shuffle(names)
    assert assign_shards({name: members[name] for name in names}, shards) == assign_shards(
        members, shards
    )


def test_removed_member_moves_few_others():
    members = make_instances(300)
    before = assign_shards(members, 10)
    moved = []
    for removed in members:
        after = assign_shards({name: one for name, one in members.items() if name != removed}, 10)
        moved.append(sum(before[name] != shard for name, shard in after.items()))
    assert sum(moved) / len(moved) < 300 / 10


def make_views(instances, listed):
    members = make_instances(instances)
    views = {name: ShardView(name, centre) for name, centre in members.items()}
    for view in views.values():
        view.update_members(members)
        view.update_upstreams(listed)
    return views


def test_small_fleet_is_one_shard_of_all_instances_and_upstreams():
    listed = make_upstreams(45)
    for name, view in make_views(35, listed).items():
        assert len(view.peers) == 34 and name not in view.peers
        assert all(view.covers(upstream) for upstream in listed.values())


def test_instances_that_use_the_same_upstream_are_peers():
    listed = make_upstreams(430)
    views = make_views(300, listed)
    for upstream in listed.values():
        users = {name for name, view in views.items() if view.covers(upstream)}
        assert users
        for name in users:
            assert users - {name} == views[name].peers


def test_peers_and_upstreams_of_a_shard_are_bounded_in_large_fleets():
    for instances, upstreams in ((100, 143), (300, 430), (1_000, 1_430)):
        listed = make_upstreams(upstreams)
        view = ShardView("front-0", "a")
        view.update_members(make_instances(instances))
        view.update_upstreams(listed)
        assert sum(map(view.covers, listed.values())) < 4 * INSTANCES_PER_SHARD
        assert len(view.peers) < 2 * INSTANCES_PER_SHARD


def test_service_with_few_upstreams_is_not_split():
    listed = {**make_upstreams(430), **make_upstreams(20, "desk")}
    view = make_views(300, listed)["front-7"]
    assert all(view.covers(one) for one in listed.values() if one.service == "desk")


def test_there_are_no_peers_before_the_upstreams_are_known():
    view = ShardView("front-0", "a")
    view.update_members(make_instances(300))
    assert not view.peers


def test_unlisted_instance_has_a_shard():
    view = ShardView("new", "a")
    view.update_upstreams(make_upstreams(430))
    view.update_members(make_instances(300))
    assert view.shards == 13 and view.peers


def test_other_shards_are_used_only_if_no_upstream_of_the_own_shard_can_be_chosen():
    """Requests must not fail while another shard still has usable upstreams."""
    clock = ManualClock(1_000)
    fleet = Fleet(
        clock, "a", BudgetRules(0.2, 100, 10_000), "least_outstanding", ShardView("front-0", "a")
    )
    upstreams = make_upstreams(112)
    fleet.shards.update_members({n: c for n, c in make_instances(78).items() if n != "front-0"})
    fleet.directory = apply_listing(fleet.directory, upstreams.values(), clock.now())
    fleet.update_shards()
    fleet.listing_known = True
    fleet.shards.update_upstreams(upstreams)
    own = frozenset(name for name, one in upstreams.items() if fleet.shards.covers(one))
    assert 0 < len(own) < len(upstreams)
    route = make_route("whole")
    for _ in range(20):
        assert fleet.choose("engines", route, None, 0, frozenset()).upstream.name in own
    assert fleet.choose("engines", route, None, 0, own).upstream.name not in own
    for name in own:
        fleet.availability.record_leaving(upstreams[name].incarnation)
    assert fleet.choose("engines", route, None, 0, frozenset()).upstream.name not in own
