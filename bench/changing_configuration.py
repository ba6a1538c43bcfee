"""A series of configurations, each of which changes one thing. Pure."""

from __future__ import annotations

from enum import Enum
from typing import Any

from standins.gateway_process import API_KEY, build_configuration, scale_engine_speed

SECOND_KEY = "k-2"
# Longer than the deadlines of all calls.
ROUTE_TIMEOUTS_MS = (12_000, 10_500)
IDLE_TIMEOUTS_MS = (1_500, 4_000)
SIDE_WEIGHTS = (1.0, 3.0)
DESK_WEIGHT = 3.0
ADDED_ROUTES = 3


class ChangeKind(Enum):
    """What a version of the configuration changes."""

    TIMEOUTS = "route timeouts"
    WEIGHTS = "weights"
    KEYS = "keys"
    ROUTES = "routes"
    IDLE_LIMIT = "idle limit"


KINDS = tuple(ChangeKind)


def find_change(version: int) -> ChangeKind | None:
    """Return what a version changes; the first version changes nothing."""
    return KINDS[(version - 2) % len(KINDS)] if version > 1 else None


def find_idle_timeout_ms(version: int) -> int:
    """Return the idle limit of callers' connections in a version."""
    return IDLE_TIMEOUTS_MS[_find_side(version, ChangeKind.IDLE_LIMIT)]


def build_version(version: int, engine_speed: float) -> dict[str, Any]:
    """Return a version of the configuration, with lookups split between two services."""
    result = build_configuration(version, scale_engine_speed(engine_speed))
    result["services"].append({"name": "side", "health_path": "/health", "max_connections": 99})
    for route in result["routes"]:
        route["timeout_ms"] = ROUTE_TIMEOUTS_MS[_find_side(version, ChangeKind.TIMEOUTS)]
    lookups = next(route for route in result["routes"] if route["name"] == "w")
    side_weight = SIDE_WEIGHTS[_find_side(version, ChangeKind.WEIGHTS)]
    del lookups["service"]
    lookups["traffic_split"] = [
        {"service": "desk", "weight": DESK_WEIGHT},
        {"service": "side", "weight": side_weight},
    ]
    if _find_side(version, ChangeKind.KEYS):
        result["tenants"][0]["api_keys"] = [API_KEY, SECOND_KEY]
    if _find_side(version, ChangeKind.ROUTES):
        result["routes"] += [
            {**lookups, "name": f"v{number}", "prefix": f"/v{number}/"}
            for number in range(ADDED_ROUTES)
        ]
    result["limits"] = {"idle_timeout_ms": find_idle_timeout_ms(version)}
    return result


def _find_side(version: int, kind: ChangeKind) -> int:
    """Return which of its two values a setting has in a version, 0 or 1."""
    changes = (version - 2 - KINDS.index(kind)) // len(KINDS) + 1
    return changes % 2
