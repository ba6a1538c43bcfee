"""Effects of the reducer, for programs that embed it."""

from lentilwell.reducer import (
    AnswerGrant,
    AskGrant,
    CancelAttempt,
    CancelStream,
    ChangePriority,
    Effect,
    EndRequest,
    OrderEngine,
    ResumeAttempt,
    SendDigest,
    StartAttempt,
)

__all__ = [
    "AnswerGrant",
    "AskGrant",
    "CancelAttempt",
    "CancelStream",
    "ChangePriority",
    "Effect",
    "EndRequest",
    "OrderEngine",
    "ResumeAttempt",
    "SendDigest",
    "StartAttempt",
]
