"""Requests that may only use upstreams in some regions."""

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wire_configuration import decode_catalog
from wire_settings import SettingsFile

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
from tests.gateway_harness import CATALOG, KEY, SETTINGS, make_route, run_gateway
from tests.gateway_scripts import answer_not_run, answer_ok, in_loop
from tests.test_gateway_evacuation import count_arrivals
from tests.test_platform_odd_settings import SETTINGS as SETTINGS_FILE

# Data centre c has no region.
ZONES = {"a": "north", "b": "south"}
WITH_ZONES = replace(SETTINGS, zones=ZONES)
NORTH, SOUTH, BOTH = restrict(["north"]), restrict(["south"]), restrict(["north", "south"])
REGIONS = st.sampled_from(["north", "south", "west"])
RESTRICTIONS = st.none() | st.frozensets(REGIONS)
CENTRES = st.sampled_from("abc")
NUMBERS = st.frozensets(st.integers(0, 5))


def restricted(route, team=None):
    """Return the configuration with all routes and the team restricted."""
    routes = tuple(replace(one, restriction=route) for one in CATALOG.routes)
    return replace(CATALOG, routes=routes, teams=(Team("blue", (KEY,), None, team),))


def make_fleet(centres, limited, backing_off):
    clock, rules = ManualClock(1_000), BudgetRules(0.2, 100, 10_000)
    fleet = Fleet(clock, "a", rules, "least_outstanding", ShardView("test", "a"))
    upstreams = [
        Upstream(f"u{number}", "s", f"127.0.0.1:{number + 1}", centre, 8, False, 1)
        for number, centre in enumerate(centres)
    ]
    fleet.directory = apply_listing(fleet.directory, upstreams, clock.now())
    fleet.zones = ZONES
    for number, one in enumerate(upstreams):
        if number in limited:
            fleet.rate_limits.record_named(one.incarnation, 1.0, clock.now())
        if number in backing_off:
            fleet.availability.record_backoff(one.incarnation, 1_000 + number, clock.now())
    is_limited = fleet.rate_limits.is_limited
    fleet.find_permit_wait_ms = lambda one: 10 if is_limited(one.incarnation) else 0
    return fleet, upstreams


@given(st.lists(CENTRES, max_size=6), st.frozensets(CENTRES), RESTRICTIONS, NUMBERS, NUMBERS)
def test_every_decision_keeps_to_open_data_centres(
    centres, evacuated, restriction, limited, backing_off
):
    """Guards against one decision of the fleet that leaves out the check."""
    fleet, upstreams = make_fleet(centres, limited, backing_off)
    fleet.evacuations.handle_listing(evacuated, StorePoint(1, 1), rewritten=False)
    in_region = {
        number
        for number, centre in enumerate(centres)
        if restriction is None or ZONES.get(centre) in restriction
    }
    opened = {number for number in in_region if centres[number] not in evacuated}
    accepting = {upstreams[number] for number in opened - backing_off}
    waited = {upstreams[number] for number in (opened - backing_off) & limited}
    route, none = make_route("whole"), frozenset()
    chosen = fleet.choose("s", route, None, 0, none, False, restriction)
    assert chosen.upstream in accepting - waited if accepting - waited else chosen is None
    chosen = fleet.choose_limited("s", route, None, 0, none, lambda one: 50, restriction)
    assert chosen.upstream in waited if waited else chosen is None
    assert fleet.has_unlimited("s", none, restriction) is bool(accepting - waited)
    assert fleet.find_least_permit_wait_ms("s", none, restriction) == (10 if waited else None)
    ends = [fleet.clock.now() + 1_000 + number for number in opened & backing_off]
    assert fleet.find_backoff_end("s", none, restriction) == min(ends, default=None)
    for one in upstreams:
        choices = [Choice(one), *(Choice(other, (Helper(one),)) for other in accepting)]
        accepted = {fleet.accepts_work(choice, restriction) for choice in choices}
        assert accepted == {one in accepting}
    closure = fleet.find_closure("s", restriction)
    assert (closure is not None) is (bool(upstreams) and not opened)
    if closure is not None:
        assert (closure.reason is ClosureReason.EVACUATED) is bool(in_region)


@given(RESTRICTIONS, RESTRICTIONS, REGIONS)
def test_restrictions_of_route_and_team_both_apply(first, second, region):
    def allows(restriction):
        return restriction is None or region in restriction

    assert allows(combine(first, second)) is (allows(first) and allows(second))


@pytest.mark.parametrize(
    ("route", "team", "used"),
    [
        (NORTH, None, [True, False, False]),
        (None, SOUTH, [False, True, False]),
        (BOTH, SOUTH, [False, True, False]),
        (None, None, [True, True, True]),
        (NORTH, SOUTH, [False, False, False]),
        (restrict(["west"]), None, [False, False, False]),
    ],
)
@in_loop
async def test_request_goes_only_to_upstreams_in_its_regions(route, team, used):
    scripts, catalog = [answer_ok] * 3, restricted(route, team)
    async with run_gateway(
        *scripts, catalog=catalog, data_centres="abc", settings=WITH_ZONES
    ) as harness:
        answers = [await harness.call("/whole/x") for _ in range(30)]
        assert {one.status for one in answers} == {200 if any(used) else 503}
        assert list(map(bool, count_arrivals(harness))) == used
        waits = [float(one.headers["retry-after"]) for one in answers if one.status == 503]
        assert min(waits, default=1.0) >= CLOSED_RETRY_MS / 1_000
        refused = f'closed_refusals_total{{reason="regions",service="s"}} {len(waits)}.0'
        assert (refused in harness.gateway.metrics.render().decode()) is not any(used)


@pytest.mark.parametrize("script", [answer_not_run, None], ids=["refused", "unreachable"])
@in_loop
async def test_request_that_fails_in_its_region_is_not_sent_elsewhere(script):
    catalog = restricted(NORTH)
    async with run_gateway(
        script, answer_ok, catalog=catalog, data_centres="ab", settings=WITH_ZONES
    ) as harness:
        assert (await harness.call("/whole/x")).status == 503
        assert count_arrivals(harness)[1] == 0
        # Changed zones are used without a restart.
        changed = replace(harness.gateway.settings, zones={"b": "north"})
        harness.gateway.read_changed_settings = lambda: changed
        harness.gateway.reload()
        assert (await harness.call("/whole/x")).status == 200


def decode_with(**fields):
    configuration = build_configuration()
    for one in (*configuration["routes"], *configuration["tenants"]):
        one.update(fields)
    return decode_catalog(json.dumps(configuration).encode())


def test_allowed_regions_of_routes_and_tenants_are_decoded():
    for fields in ({}, {"allowed_regions": []}, {"allowed_regions": None}):
        assert decode_with(**fields).list_regions() == set()
    catalog = decode_with(allowed_regions=["north", "south"])
    assert {one.restriction for one in (*catalog.routes, *catalog.teams)} == {BOTH}
    assert catalog.content_hash != decode_with().content_hash


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
    ("zones", "read", "problems"),
    [
        ({"zones": ZONES}, ZONES, 0),
        ({}, {}, 0),
        ({"zones": {**ZONES, "c": 7, "d": ""}}, ZONES, 1),
        ({"zones": [["a", "north"]]}, {}, 1),
    ],
)
def test_invalid_zones_are_left_out_and_logged(tmp_path, monkeypatch, zones, read, problems):
    """Guards against a process that does not start because of one of its optional settings."""
    logged = []
    monkeypatch.setattr("wire_settings.write_line", logged.append)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS_FILE, **zones}))
    settings = SettingsFile(path)
    settings.log_problems()
    assert settings.current.gateway.zones == read
    assert [type(one) for one in logged] == [SettingIgnored] * problems
