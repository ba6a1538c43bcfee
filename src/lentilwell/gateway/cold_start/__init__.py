"""Tracks which upstreams are cold, and at what rate they may get requests until they are warm."""

from lentilwell.gateway.cold_start._cold_upstreams import ColdUpstreams
from lentilwell.gateway.cold_start._cold_watch import ColdWatch
from lentilwell.gateway.cold_start._figures import MAX_COLD_MS, parse_cold_ms
from lentilwell.gateway.cold_start._rules import (
    DEFAULT_COLD_BOUNDS,
    NEVER_COLD,
    ColdBounds,
    ColdRules,
    find_permit_rate,
)

__all__ = [
    "DEFAULT_COLD_BOUNDS",
    "MAX_COLD_MS",
    "NEVER_COLD",
    "ColdBounds",
    "ColdRules",
    "ColdUpstreams",
    "ColdWatch",
    "find_permit_rate",
    "parse_cold_ms",
]
