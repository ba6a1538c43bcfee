"""Calls that are not idempotent: each idempotency key runs at most once.

Contains the claim protocol as a pure step function, the types of its inputs and actions, and the
runner that performs the actions.
"""

from lentilwell.once_only._claims import (
    SETTLE_MARGIN_MS,
    Settlement,
    is_unsettled,
    may_settle,
    settle,
    step,
)
from lentilwell.once_only._messages import Claim, ClaimRow, RecordedAnswer
from lentilwell.once_only._runner import (
    CLAIM_PREFIX,
    LATE_ANSWER_TIMEOUT_MS,
    ClaimedCall,
    ClaimRunner,
    decode_row,
    make_row_key,
)

__all__ = [
    "CLAIM_PREFIX",
    "LATE_ANSWER_TIMEOUT_MS",
    "SETTLE_MARGIN_MS",
    "Claim",
    "ClaimRow",
    "ClaimRunner",
    "ClaimedCall",
    "RecordedAnswer",
    "Settlement",
    "decode_row",
    "is_unsettled",
    "make_row_key",
    "may_settle",
    "settle",
    "step",
]
