"""Decides which data centres may be used: evacuations by the operator, restrictions to regions."""

from lentilwell.gateway.evacuation._closures import (
    CLOSED_RETRY_MS,
    Closure,
    ClosureReason,
    explain_closure,
)
from lentilwell.gateway.evacuation._evacuations import (
    REWRITE_MS,
    EvacuationChange,
    EvacuationOrder,
    Evacuations,
    apply_changes,
    apply_listing,
    end_kept,
)
from lentilwell.gateway.evacuation._regions import Restriction, combine, restrict
from lentilwell.gateway.evacuation._tracker import EvacuationTracker

__all__ = [
    "CLOSED_RETRY_MS",
    "REWRITE_MS",
    "Closure",
    "ClosureReason",
    "EvacuationChange",
    "EvacuationOrder",
    "EvacuationTracker",
    "Evacuations",
    "Restriction",
    "apply_changes",
    "apply_listing",
    "combine",
    "end_kept",
    "explain_closure",
    "restrict",
]
