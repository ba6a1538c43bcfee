"""Admission control: which requests are sent, held or refused when not all can be on time."""

from lentilwell.gateway.overload._admission import (
    ExpectedTooLate,
    check_admission,
    find_caller_silence_timeout_ms,
)
from lentilwell.gateway.overload._admission_control import AdmissionControl
from lentilwell.gateway.overload._decisions import (
    LAST_CHANCE_MS,
    Hold,
    Refuse,
    Room,
    Send,
    Verdict,
    WaitingRequest,
    decide,
    find_late_rank,
    find_reserve,
    is_short,
)
from lentilwell.gateway.overload._first_event_errors import FirstEventErrors
from lentilwell.gateway.overload._hold_queue import HeldRequest, HoldQueue
from lentilwell.gateway.overload._request_admission import RequestAdmission
from lentilwell.gateway.overload._shortage import Shortage
from lentilwell.gateway.overload._slot_ends import are_slots_scarce, estimate_next_slot_ms

__all__ = [
    "LAST_CHANCE_MS",
    "AdmissionControl",
    "ExpectedTooLate",
    "FirstEventErrors",
    "HeldRequest",
    "Hold",
    "HoldQueue",
    "Refuse",
    "RequestAdmission",
    "Room",
    "Send",
    "Shortage",
    "Verdict",
    "WaitingRequest",
    "are_slots_scarce",
    "check_admission",
    "decide",
    "estimate_next_slot_ms",
    "find_caller_silence_timeout_ms",
    "find_late_rank",
    "find_reserve",
    "is_short",
]
