"""Calls that may not be repeated: at most one run for an idempotency key.

Here belong the claim protocol as a pure step function, its messages, and what carries it out.
"""

from lentilwell.once_only._claims import (
    SETTLE_MARGIN_MS,
    Settlement,
    is_unsettled,
    may_settle,
    settle,
    step,
)
from lentilwell.once_only._messages import Claim, FoundClaim, RecordedAnswer
from lentilwell.once_only._runner import (
    CLAIM_PREFIX,
    LATE_ANSWER_MS,
    ClaimedCall,
    ClaimRunner,
    decode_row,
    name_row,
)

__all__ = [
    "CLAIM_PREFIX",
    "LATE_ANSWER_MS",
    "SETTLE_MARGIN_MS",
    "Claim",
    "ClaimRunner",
    "ClaimedCall",
    "FoundClaim",
    "RecordedAnswer",
    "Settlement",
    "decode_row",
    "is_unsettled",
    "may_settle",
    "name_row",
    "settle",
    "step",
]
