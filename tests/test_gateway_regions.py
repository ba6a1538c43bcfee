"""Requests that may only use upstreams in some regions."""

import asyncio
import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wire_configuration import decode_catalog
from wire_settings import SettingsFile, read_settings

from lentilwell._clock import ManualClock
from lentilwell._log_lines import RegionsUnknown, SettingIgnored
from lentilwell.gateway import BudgetRules, Catalog, Entry, Listing, Team, UnreadableRow, Upstream
from lentilwell.gateway._configuration_choice import ConfigurationChoice
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._placement_policies import Choice, Helper
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._table_listeners import CatalogListener
from lentilwell.gateway._upstreams import apply_listing
from lentilwell.gateway.evacuation import CLOSED_RETRY_MS, ClosureReason, combine, restrict
from standins.gateway_process import build_configuration
from tests.gateway_harness import CATALOG, KEY, SETTINGS, make_route, run_gateway, with_route
from tests.gateway_scripts import (
    answer_not_run,
    answer_ok,
    in_loop,
    list_event_ids,
    stay_silent,
    stream_and_break,
    stream_whole,
    with_engines,
)
from tests.test_gateway_evacuation import (
    TWO_ENGINES,
    back_off,
    count_arrivals,
    end_backoffs,
    evacuate,
    serve_engine,
    wait_until,
)
from tests.test_platform_odd_settings import SETTINGS as SETTINGS_FILE

# Data centre c has no region.
ZONES = {"a": "north", "b": "south"}
WITH_ZONES = replace(SETTINGS, zones=ZONES)
NORTH = restrict(["north"])
SOUTH = restrict(["south"])
REGIONS = st.sampled_from(["north", "south", "west"])
RESTRICTIONS = st.none() | st.frozensets(REGIONS)
CENTRES = st.sampled_from("abc")


def restricted(route=None, team=None):
    """Return the configuration with all routes and the team restricted."""
    routes = tuple(replace(one, restriction=route) for one in CATALOG.routes)
    return replace(CATALOG, routes=routes, teams=(Team("blue", (KEY,), None, team),))


def make_fleet(centres):
    clock = ManualClock(1_000)
    rules = BudgetRules(0.2, 100, 10_000)
    fleet = Fleet(clock, "a", rules, "least_outstanding", ShardView("test", "a"))
    upstreams = [
        Upstream(f"u{number}", "s", f"127.0.0.1:{number + 1}", centre, 8, False, 1)
        for number, centre in enumerate(centres)
    ]
    fleet.directory = apply_listing(fleet.directory, upstreams, clock.now())
    fleet.zones = ZONES
    return fleet, upstreams


@given(
    st.lists(CENTRES, max_size=6),
    st.frozensets(CENTRES),
    RESTRICTIONS,
    st.frozensets(st.integers(0, 5)),
    st.frozensets(st.integers(0, 5)),
)
def test_every_decision_keeps_to_open_data_centres(
    centres, evacuated, restriction, limited, backing_off
):
    """Guards against one decision of the fleet that leaves out the check."""
    fleet, upstreams = make_fleet(centres)
    fleet.evacuations.handle_listing(evacuated, StorePoint(1, 1), rewritten=False)
    opened = {
        one.name
        for one in upstreams
        if one.data_centre not in evacuated
        and (restriction is None or ZONES.get(one.data_centre) in restriction)
    }
    now = fleet.clock.now()
    for number, one in enumerate(upstreams):
        if number in limited:
            fleet.rate_limits.record_named(one.incarnation, 1.0, now)
        if number in backing_off:
            fleet.availability.record_backoff(one.incarnation, 1_000 + number, now)
    accepting = {one for number, one in enumerate(upstreams) if number not in backing_off}
    accepting = {one for one in accepting if one.name in opened}
    fleet.find_permit_wait_ms = lambda one: (
        10 if fleet.rate_limits.is_limited(one.incarnation) else 0
    )
    unlimited = {one for one in accepting if not fleet.rate_limits.is_limited(one.incarnation)}
    route, none = make_route("whole"), frozenset()
    chosen = fleet.choose("s", route, None, 0, none, False, restriction)
    assert (chosen.upstream in unlimited) if unlimited else chosen is None
    chosen = fleet.choose_limited("s", route, None, 0, none, lambda one: 50, restriction)
    waited = accepting - unlimited
    assert (chosen.upstream in waited) if waited else chosen is None
    assert fleet.has_unlimited("s", none, restriction) is bool(unlimited)
    assert fleet.find_least_permit_wait_ms("s", none, restriction) == (10 if waited else None)
    ends = [now + 1_000 + n for n in backing_off if f"u{n}" in opened]
    assert fleet.find_backoff_end("s", none, restriction) == min(ends, default=None)
    for one in upstreams:
        assert fleet.accepts_work(Choice(one), restriction) is (one in accepting)
        for other in accepting:
            choice = Choice(other, (Helper(one),))
            assert fleet.accepts_work(choice, restriction) is (one in accepting)
    closure = fleet.find_closure("s", restriction)
    assert (closure is not None) is (bool(upstreams) and not opened)
    if closure is not None:
        regions = {ZONES.get(one.data_centre) for one in upstreams}
        in_region = restriction is None or bool(regions & restriction)
        assert (closure.reason is ClosureReason.EVACUATED) is in_region


@given(RESTRICTIONS, RESTRICTIONS, REGIONS)
def test_restrictions_of_route_and_team_both_apply(first, second, region):
    def allows(restriction):
        return restriction is None or region in restriction

    assert allows(combine(first, second)) is (allows(first) and allows(second))


@pytest.mark.parametrize(
    ("route", "team", "served"),
    [
        (NORTH, None, "a"),
        (None, SOUTH, "b"),
        (restrict(["north", "south"]), SOUTH, "b"),
        (None, None, "abc"),
        (NORTH, SOUTH, ""),
        (restrict(["west"]), None, ""),
    ],
)
@in_loop
async def test_request_goes_only_to_upstreams_in_its_regions(route, team, served):
    scripts = [answer_ok] * 3
    async with run_gateway(
        *scripts, catalog=restricted(route, team), data_centres="abc", settings=WITH_ZONES
    ) as harness:
        answers = [await harness.call("/whole/x") for _ in range(30)]
        assert {one.status for one in answers} == {200 if served else 503}
        used = "".join(one.name[1] for one in harness.upstreams if one.arrivals)
        assert used.translate(str.maketrans("012", "abc")) == served
        for answer in answers:
            if not served:
                assert float(answer.headers["retry-after"]) >= CLOSED_RETRY_MS / 1_000
        metrics = harness.gateway.metrics.render().decode()
        refused = 'lentilwell_gateway_closed_refusals_total{reason="regions",service="s"} 30.0'
        assert (refused in metrics) is not bool(served)


@pytest.mark.parametrize("script", [answer_not_run, None], ids=["refused", "unreachable"])
@in_loop
async def test_request_that_fails_in_its_region_is_not_sent_elsewhere(script):
    async with run_gateway(
        script, answer_ok, catalog=restricted(NORTH), data_centres="ab", settings=WITH_ZONES
    ) as harness:
        assert (await harness.call("/whole/x")).status == 503
        assert count_arrivals(harness)[1] == 0


@in_loop
async def test_silent_upstream_is_waited_for_if_the_region_has_no_other():
    async with run_gateway(
        stay_silent, answer_ok, catalog=restricted(NORTH), data_centres="ab", settings=WITH_ZONES
    ) as harness:
        assert (await harness.call("/whole/x", Deadline_Ms="1800")).status == 504
        assert count_arrivals(harness) == [1, 0]


@in_loop
async def test_broken_stream_is_resumed_only_in_its_region():
    released = asyncio.Event()

    async def break_once_released(arrival):
        await released.wait()
        await stream_and_break(arrival)

    scripts = [break_once_released, stream_whole, stream_whole]
    async with run_gateway(
        *scripts, catalog=restricted(NORTH), data_centres="aba", settings=WITH_ZONES
    ) as harness:
        back_off(harness, "u2", 60_000)
        pending = asyncio.create_task(harness.call("/stream/x"))
        await wait_until(lambda: harness.arrivals)
        end_backoffs(harness)
        released.set()
        assert list_event_ids((await pending).body) == [1, 2, 3, 4, 5]
        assert count_arrivals(harness) == [1, 0, 1]


@in_loop
async def test_parts_of_a_long_prompt_stay_in_its_region():
    catalog = with_engines(9_000)
    routes = tuple(replace(one, restriction=SOUTH) for one in catalog.routes)
    catalog = replace(catalog, routes=routes)
    async with run_gateway(
        *[serve_engine] * 5, catalog=catalog, data_centres="aabbc", settings=WITH_ZONES
    ) as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await harness.call("/stream/x", **TWO_ENGINES)
        assert list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        await harness.gateway.leases.wait_for_releases()
        arrivals = count_arrivals(harness)
        assert arrivals[:2] == [0, 0] and arrivals[4] == 0 and sum(arrivals) > 1


@in_loop
async def test_restricted_request_is_refused_once_its_region_is_evacuated():
    async with run_gateway(
        answer_ok, answer_ok, catalog=restricted(NORTH), data_centres="ab", settings=WITH_ZONES
    ) as harness:
        await evacuate(harness, "a")
        assert (await harness.call("/whole/x")).status == 503
        assert count_arrivals(harness) == [0, 0]
        metrics = harness.gateway.metrics.render().decode()
        assert 'closed_refusals_total{reason="evacuated",service="s"} 1.0' in metrics


@in_loop
async def test_changed_zones_are_used_without_a_restart():
    async with run_gateway(
        answer_ok, catalog=restricted(SOUTH), data_centres="a", settings=WITH_ZONES
    ) as harness:
        assert (await harness.call("/whole/x")).status == 503
        changed = replace(harness.gateway.settings, zones={"a": "south"})
        harness.gateway.read_changed_settings = lambda: changed
        harness.gateway.reload()
        assert (await harness.call("/whole/x")).status == 200


def decode_with(**fields):
    configuration = build_configuration()
    for one in (*configuration["routes"], *configuration["tenants"]):
        one.update(fields)
    return decode_catalog(json.dumps(configuration).encode())


@pytest.mark.parametrize(
    ("fields", "restriction"),
    [
        ({}, None),
        ({"allowed_regions": []}, None),
        ({"allowed_regions": None}, None),
        ({"allowed_regions": ["north", "south"]}, NORTH | SOUTH),
    ],
)
def test_allowed_regions_of_routes_and_tenants_are_decoded(fields, restriction):
    catalog = decode_with(**fields)
    assert {one.restriction for one in (*catalog.routes, *catalog.teams)} == {restriction}
    assert catalog.list_regions() == (restriction or set())


@pytest.mark.parametrize("value", ["north", 7, [7], {"north": 1}])
def test_configuration_with_odd_regions_is_unreadable(value):
    """Guards against a restriction that is dropped because it can't be read."""
    with pytest.raises(UnreadableRow):
        decode_with(allowed_regions=value)


def test_unknown_regions_are_logged_once_per_configuration(monkeypatch):
    logged = []
    monkeypatch.setattr("lentilwell.gateway._table_listeners.write_line", logged.append)
    listener = CatalogListener(ConfigurationChoice(), ManualClock())
    listener.list_regions = ZONES.values
    routes = (make_route("whole", restriction=restrict(["north", "west"])),)
    for version in (1, 1, 2):
        entry = Entry("config", Catalog(version, routes))
        listener.handle_changes(Listing((entry,), version))
    unknown = [one for one in logged if isinstance(one, RegionsUnknown)]
    assert unknown == [RegionsUnknown(1, 1, "west"), RegionsUnknown(2, 1, "west")]


@pytest.mark.parametrize(
    ("value", "zones", "problems"),
    [
        (ZONES, ZONES, 0),
        ({}, {}, 0),
        (None, {}, 0),
        ({**ZONES, "c": 7, "d": ""}, ZONES, 1),
        ([["a", "north"]], {}, 1),
        ("a", {}, 1),
    ],
)
def test_invalid_zones_are_left_out_and_logged(tmp_path, monkeypatch, value, zones, problems):
    """Guards against a process that does not start because of one of its optional settings."""
    logged = []
    monkeypatch.setattr("wire_settings.write_line", logged.append)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS_FILE, "zones": value}))
    settings = SettingsFile(path)
    settings.log_problems()
    assert settings.current.gateway.zones == zones
    assert [type(one) for one in logged] == [SettingIgnored] * problems
    assert len(read_settings(path).problems) == problems


def test_settings_without_zones_know_no_region(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS_FILE))
    assert read_settings(path).gateway.zones == {}


def test_unrestricted_catalog_has_the_same_content_as_before():
    """Guards against restrictions that do not count as a change of the configuration."""
    assert with_route("whole").content_hash == CATALOG.content_hash
    assert restricted(NORTH).content_hash != CATALOG.content_hash
