"""Decides how long a request waits for a permit of a rate-limited upstream. Pure logic, no I/O.

Where more requests arrive than the permitted rate serves, a long queue would make all of them late
and serve no more of them. A request therefore waits as long as it can still be on time, or for one
interval of the limit, and never so long that its caller leaves first.
"""

from __future__ import annotations

from lentilwell.gateway._backoff_waits import find_remaining_wait_ms
from lentilwell.gateway._catalog import Route
from lentilwell.gateway._permit_issuer import find_interval_ms

# Permits are not issued further ahead, because the limit may fall meanwhile.
MAX_PATIENCE_MS = 2_000
# The share of the objective that a request may wait; the rest is left to the upstream.
WAITING_SHARE = 0.5


def find_permit_patience_ms(route: Route, rate: float, waited_ms: int, remaining_ms: int) -> int:
    """Return how long a request waits for a permit under a limit of ``rate`` a second, in ms.

    ``waited_ms`` is the time since its arrival, ``remaining_ms`` that until its deadline.
    """
    on_time_ms = route.objective_ms * WAITING_SHARE - waited_ms
    useful_ms = max(on_time_ms, find_interval_ms(rate, 1.0) - waited_ms)
    servable_ms = find_remaining_wait_ms(route, waited_ms, remaining_ms) - route.objective_ms
    return max(0, round(min(useful_ms, servable_ms, MAX_PATIENCE_MS)))
