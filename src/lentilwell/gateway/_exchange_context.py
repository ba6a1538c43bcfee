"""The objects that all exchanges of a gateway share."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._answer_observer import AnswerObserver
from lentilwell.gateway._connection_pool import ConnectionPool
from lentilwell.gateway._crash_watch import CrashWatch
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._leases import LeaseManager
from lentilwell.gateway._metrics import Metrics
from lentilwell.gateway._permits import Permits
from lentilwell.gateway._ports import Dialect


@dataclass(frozen=True)
class ExchangeContext:
    """The objects that all exchanges of a gateway share."""

    fleet: Fleet
    answer_observer: AnswerObserver
    permits: Permits
    connections: ConnectionPool
    leases: LeaseManager
    dialect: Dialect
    metrics: Metrics
    crash_watch: CrashWatch
