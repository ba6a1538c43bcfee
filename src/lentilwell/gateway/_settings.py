"""The settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._budget import BudgetRules


@dataclass(frozen=True)
class GatewaySettings:
    """Who this process is, where it listens and which bounds hold. Durations in milliseconds.

    Addresses are host:port; the peers' one takes datagrams. ``max_stop_ms`` is how long a
    planned stop may take in all, ``max_lease_ms`` how long an unrenewed lease may last.
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
