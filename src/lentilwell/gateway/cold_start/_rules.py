"""The rules about cold upstreams of a service, and the rate of permits that keeps them. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._permit_issuer import MIN_RATE
from lentilwell.gateway._permit_owners import PRIMARY_SHARE, SETTLING_SHARE, STAND_IN_SHARE

# The most that owners which do not know of each other issue in one second: these shares of the
# rate, and one request each in addition.
_TOTAL_SHARE = PRIMARY_SHARE + STAND_IN_SHARE + 2 * SETTLING_SHARE
_OWNERS = 4


@dataclass(frozen=True)
class ColdRules:
    """How long the upstreams of a service are cold after a start, and what they tolerate then.

    ``per_s`` is in requests per second from all instances together; 0 means that the upstreams of
    the service are never cold.
    """

    start_ms: int = 0
    per_s: float = 0.0


@dataclass(frozen=True)
class ColdBounds:
    """In each second a cold upstream gets at most ``per_s`` x ``overage`` + ``slack`` requests."""

    overage: float = 1.5
    slack: float = 5.0


NEVER_COLD = ColdRules()
DEFAULT_COLD_BOUNDS = ColdBounds()


def find_permit_rate(rules: ColdRules, bounds: ColdBounds) -> float:
    """Return the rate at which permits are issued, in requests per second.

    It is ``per_s`` unless that much, issued by several owners at once, exceeds the bounds. It is
    never below the least rate of permits.
    """
    allowed = rules.per_s * bounds.overage + bounds.slack
    fitting = (allowed - _OWNERS) / _TOTAL_SHARE
    return max(MIN_RATE, min(rules.per_s, fitting))
