"""The settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilwell.gateway._budget import BudgetRules
from lentilwell.gateway.caller_limits import ProcessLimits


@dataclass(frozen=True)
class GatewaySettings:
    """Identity, addresses and limits of a gateway process. Durations are in milliseconds.

    Addresses are ``host:port``; ``peers_address`` receives UDP datagrams. ``max_stop_ms`` bounds
    the duration of a planned stop, ``max_lease_ms`` that of a lease that is not renewed.
    ``limits`` are those of the process.
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
    limits: ProcessLimits = field(default_factory=ProcessLimits)
