"""The settings of a gateway process."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lentilwell.gateway._budget import BudgetRules
from lentilwell.gateway.caller_limits import ProcessLimits
from lentilwell.gateway.cold_start import DEFAULT_COLD_BOUNDS, ColdBounds


@dataclass(frozen=True)
class GatewaySettings:
    """Identity, addresses and limits of a gateway process. Durations are in milliseconds.

    Addresses are ``host:port``; ``peers_address`` receives UDP datagrams. ``max_stop_ms`` bounds
    the duration of a planned stop, ``max_lease_ms`` that of a lease that is not renewed. ``zones``
    maps data centres to their regions. Without ``admission_control``, requests that will be late
    are sent like all others. ``cold`` bounds the requests to an upstream that is cold, ``limits``
    are those of the process.
    """

    instance: str
    data_centre: str
    callers_address: str
    ready_address: str
    metrics_address: str
    peers_address: str
    max_stop_ms: int
    max_lease_ms: int
    budget: BudgetRules
    log_level: str = "INFO"
    policy: str = "least_cost"
    zones: Mapping[str, str] = field(default_factory=dict)
    admission_control: bool = False
    cold: ColdBounds = DEFAULT_COLD_BOUNDS
    limits: ProcessLimits = field(default_factory=ProcessLimits)
