"""Look-ups of the route, service and team of a request."""

import pytest

from lentilwell.gateway._catalog import (
    Catalog,
    Repeat,
    Route,
    Share,
    Team,
    choose_share,
)


def make_route(prefix, host="a.example", **changes):
    defaults = {
        "name": prefix,
        "host": host,
        "prefix": prefix,
        "shares": (Share("s", 1.0),),
        "repeat": Repeat.WHOLE,
        "streams": False,
        "timeout_ms": 1_000,
        "objective_ms": 100,
        "pause_ms": 0,
        "rank": 1,
        "max_upstreams": 2,
        "public": False,
    }
    return Route(**{**defaults, **changes})


CATALOG = Catalog(
    version=1,
    routes=(
        make_route("/"),
        make_route("/a/"),
        make_route("/a/b/"),
        make_route("/a/", host="other.example"),
    ),
    teams=(Team("blue", ("k1", "k2"), 3), Team("green", ("k3",), None)),
)


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/", "/"),
        ("/x", "/"),
        ("/a", "/"),
        ("/a/", "/a/"),
        ("/a/x", "/a/"),
        ("/a/bc", "/a/"),
        ("/a/b/c/d", "/a/b/"),
        ("/a/b/", "/a/b/"),
    ],
)
def test_route_with_the_longest_prefix_is_found(path, prefix):
    assert CATALOG.find_route("a.example", path).prefix == prefix


def test_route_depends_on_the_host_in_any_case():
    assert CATALOG.find_route("OTHER.example", "/a/x").host == "other.example"
    assert CATALOG.find_route("other.example", "/b/") is None
    assert CATALOG.find_route("none.example", "/a/") is None


@pytest.mark.parametrize(("key", "team"), [("k1", "blue"), ("k2", "blue"), ("k3", "green")])
def test_team_of_a_key_is_found(key, team):
    assert CATALOG.find_team(key).name == team


def test_unknown_key_has_no_team():
    assert CATALOG.find_team("") is None
    assert CATALOG.find_team("k") is None


@pytest.mark.parametrize(
    ("position", "service"), [(0.0, "old"), (0.89, "old"), (0.9, "new"), (0.999999, "new")]
)
def test_services_are_chosen_by_weight(position, service):
    assert choose_share((Share("old", 90), Share("new", 10)), position) == service
