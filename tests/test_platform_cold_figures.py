"""Figures about cold starts in rows, headers and settings: valid ones, and any others."""

import json

import h11
import msgspec
import pytest
from wire_configuration import decode_catalog
from wire_headers import PlatformDialect
from wire_servers import decode_upstream
from wire_settings import read_settings

from lentilwell.gateway import NEVER_COLD, ColdBounds, ColdRules
from tests.test_platform_decoding import ENTRY

ODD = [-1, -0.5, 1e300, 10**400, "3", "", None, True, [1], {"a": 1}]


def decode_service(**fields):
    """Return the rules of a service with these fields in the configuration."""
    service = {"name": "s", **fields}
    catalog = decode_catalog(json.dumps({"version": 1, "services": [service]}).encode())
    return catalog.services["s"].cold


@pytest.mark.parametrize(
    ("fields", "rules"),
    [
        ({"cold_start_s": 3.0, "cold_per_s": 14.0}, ColdRules(3_000, 14.0)),
        ({"cold_start_s": 3, "cold_per_s": 0}, ColdRules(3_000, 0.0)),
        ({"cold_per_s": 14.0}, ColdRules(0, 14.0)),
        ({}, NEVER_COLD),
    ],
)
def test_configuration_names_cold_starts(fields, rules):
    assert decode_service(**fields) == rules


@pytest.mark.parametrize("odd", ODD)
@pytest.mark.parametrize("field", ["cold_start_s", "cold_per_s"])
def test_invalid_figure_of_a_service_leaves_the_configuration_readable(field, odd):
    """Guards against a configuration that is not taken over because of one figure."""
    fields = {"cold_start_s": 3.0, "cold_per_s": 14.0, field: odd}
    assert decode_service(**fields) == NEVER_COLD


@pytest.mark.parametrize(("value", "cold_ms"), [(0, 0), (1_500, 1_500), (2.4, 2)])
def test_entry_names_the_remaining_cold_time(value, cold_ms):
    upstream = decode_upstream("u", json.dumps({**ENTRY, "cold_remaining_ms": value}).encode())
    assert (upstream.cold_ms, upstream.odd_cold) == (cold_ms, None)


@pytest.mark.parametrize("odd", ODD)
def test_invalid_figure_of_an_entry_counts_as_warm(odd):
    """Guards against an upstream that is not listed because of one figure."""
    upstream = decode_upstream("u", json.dumps({**ENTRY, "cold_remaining_ms": odd}).encode())
    assert upstream.cold_ms == 0
    assert upstream.odd_cold == json.dumps(odd)[: len(upstream.odd_cold)]


def test_entry_without_the_figure_counts_as_warm():
    upstream = decode_upstream("u", json.dumps(ENTRY).encode())
    assert (upstream.cold_ms, upstream.odd_cold) == (0, "missing")


def test_entries_that_differ_in_the_remaining_time_are_of_the_same_upstream():
    """Guards against heartbeats that make every entry a new upstream."""
    first = decode_upstream("u", json.dumps({**ENTRY, "cold_remaining_ms": 5}).encode())
    assert first == decode_upstream("u", json.dumps({**ENTRY, "cold_remaining_ms": 4}).encode())


def test_header_names_the_remaining_cold_time():
    response = h11.Response(status_code=200, headers=[(b"Cold-Ms", b"900")])
    assert PlatformDialect().read_head(response).cold_ms == "900"
    assert PlatformDialect().read_head(h11.Response(status_code=200, headers=[])).cold_ms is None


def test_settings_bound_the_requests_of_cold_upstreams(tmp_path):
    settings = {
        "node_name": "n",
        "ip": "127.0.0.1",
        "zone": "z",
        "listen": {},
        "internal_ports": [1, 2],
        "platform": {"address": "127.0.0.1:1"},
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    assert read_settings(path).gateway.cold == ColdBounds(1.5, 5.0)
    bounds = {"cold_overage": 2.0, "cold_slack": 9}
    path.write_text(json.dumps({**settings, "bounds": bounds}))
    assert read_settings(path).gateway.cold == ColdBounds(2.0, 9.0)
    path.write_text(json.dumps({**settings, "bounds": {"cold_slack": -1}}))
    with pytest.raises(msgspec.ValidationError):
        read_settings(path)
