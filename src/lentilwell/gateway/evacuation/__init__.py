"""Keeps the data centres that the operator evacuates, through changes and restores of the store."""

from lentilwell.gateway.evacuation._evacuations import (
    EVACUATED_RETRY_MS,
    Closure,
    ClosureReason,
    EvacuationChange,
    EvacuationOrder,
    Evacuations,
    apply_changes,
    apply_listing,
    end_kept,
)
from lentilwell.gateway.evacuation._tracker import EvacuationTracker

__all__ = [
    "EVACUATED_RETRY_MS",
    "Closure",
    "ClosureReason",
    "EvacuationChange",
    "EvacuationOrder",
    "EvacuationTracker",
    "Evacuations",
    "apply_changes",
    "apply_listing",
    "end_kept",
]
