"""The claim protocol: a call that is not idempotent runs at most once for its idempotency key.

``step`` is a pure function. It takes the state of one attempt and one input and returns the next
state with the actions to perform; the result of each action comes back as the next input.

Each key has one row in the table, and each write names the row version that it expects. Rows are
never deleted, so a version number is never reused: once another write has succeeded, a delayed
write that expects the old version is refused.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import Any, TypeVar

from lentilwell._failures import (
    AlreadyRan,
    AttemptNotRun,
    Failure,
    IdempotencyKeyReused,
    NotRun,
    NotRunKeyHeld,
    OutcomePending,
    OutcomeUnknown,
)
from lentilwell.once_only._messages import (
    Action,
    AnswerMissing,
    AnswerReceived,
    AttemptState,
    CallReceived,
    Claim,
    ClaimStatus,
    Connect,
    Connected,
    ConnectFailed,
    DeadlinePassed,
    Defer,
    Input,
    Phase,
    ReadFailed,
    ReadRow,
    ReplyAnswer,
    ReplyFailure,
    Resumed,
    RowRead,
    RowWritten,
    Transmit,
    WriteConflict,
    WriteRow,
    WriteUnavailable,
    WriteUnconfirmed,
)

MAX_PAUSE_MS = 1_000
MAX_CLAIM_WRITES = 3
SETTLE_MARGIN_MS = 60_000


Transition = tuple[AttemptState, tuple[Action, ...]]
_InputT = TypeVar("_InputT", bound=Input)
_Handler = Callable[[AttemptState, Any], Transition]
_HANDLERS: dict[tuple[Phase, type[Input]], _Handler] = {}

_UNSENT_PHASES = (
    Phase.NEW,
    Phase.CLAIMING,
    Phase.READING,
    Phase.CONFIRMING,
    Phase.CONNECTING,
)


def step(state: AttemptState, received: Input) -> Transition:
    """Apply one input to one attempt; an input that its phase does not expect changes nothing.

    The caller gets one reply: once an attempt has replied, further reply actions are dropped.
    """
    handler = _HANDLERS.get((state.phase, type(received)))
    if handler is None:
        return state, ()
    after, actions = handler(state, received)
    if state.replied:
        return after, tuple(a for a in actions if not isinstance(a, ReplyFailure | ReplyAnswer))
    replied = any(isinstance(a, ReplyFailure | ReplyAnswer) for a in actions)
    return replace(after, replied=replied), actions


def _on(
    phases: tuple[Phase, ...], *kinds: type[_InputT]
) -> Callable[
    [Callable[[AttemptState, _InputT], Transition]], Callable[[AttemptState, _InputT], Transition]
]:
    def register(
        handler: Callable[[AttemptState, _InputT], Transition],
    ) -> Callable[[AttemptState, _InputT], Transition]:
        _HANDLERS.update({(phase, kind): handler for phase in phases for kind in kinds})
        return handler

    return register


@_on((Phase.NEW,), CallReceived)
def _start(state: AttemptState, _received: CallReceived) -> Transition:
    return _claim(state, 0)


@_on((Phase.CLAIMING,), RowWritten)
def _connect_as_holder(state: AttemptState, received: RowWritten) -> Transition:
    return _connect_or_release(state, received, received.version)


@_on((Phase.CLAIMING,), WriteConflict)
def _read_holder(state: AttemptState, _received: WriteConflict) -> Transition:
    return replace(state, phase=Phase.READING), (ReadRow(),)


@_on((Phase.CLAIMING,), WriteUnconfirmed)
def _confirm_claim(state: AttemptState, _received: WriteUnconfirmed) -> Transition:
    return replace(state, phase=Phase.CONFIRMING), (ReadRow(),)


@_on((Phase.CLAIMING,), WriteUnavailable)
def _reply_table_unavailable(state: AttemptState, _received: WriteUnavailable) -> Transition:
    return replace(state, phase=Phase.DONE), (ReplyFailure(AttemptNotRun()),)


@_on((Phase.READING,), ReadFailed)
def _reply_read_failed(state: AttemptState, _received: ReadFailed) -> Transition:
    """Reply that the outcome is pending, and read the row again later.

    The HTTP client may repeat a write on its own. If the first copy took effect, the second is
    refused, so the claim that could not be read may belong to this attempt.
    """
    return _free_later(state, OutcomePending())


@_on((Phase.READING, Phase.CONFIRMING), RowRead)
def _evaluate_row(state: AttemptState, received: RowRead) -> Transition:
    claim, version = received.row.claim, received.row.version
    if claim is not None and _is_held_by(state, claim):
        return _connect_or_release(state, received, version)
    if version == state.version:
        return _free_later(state, AttemptNotRun())
    free = claim is not None and claim.status is ClaimStatus.FREE
    if free and state.claim_writes < MAX_CLAIM_WRITES and not state.replied:
        return _claim(state, version)
    return replace(state, phase=Phase.DONE), (_reply_to_claimed_key(state, claim),)


@_on((Phase.CONFIRMING,), ReadFailed)
def _free_unconfirmed_claim(state: AttemptState, _received: ReadFailed) -> Transition:
    return _free_later(state, AttemptNotRun())


@_on((Phase.CONNECTING,), Connected)
def _transmit(state: AttemptState, received: Connected) -> Transition:
    if not may_send(state, received):
        return _release(state)
    return replace(state, phase=Phase.SENT), (Transmit(),)


@_on((Phase.CONNECTING,), ConnectFailed)
def _release_unsent(state: AttemptState, _received: ConnectFailed) -> Transition:
    return _release(state)


@_on((Phase.SENT,), AnswerReceived)
def _record_answer(state: AttemptState, received: AnswerReceived) -> Transition:
    after = replace(state, phase=Phase.RECORDING, answer=received.answer)
    return after, (WriteRow(ClaimStatus.FINISHED, state.version, received.answer),)


@_on((Phase.SENT,), AnswerMissing)
def _mark_unknown_later(state: AttemptState, _received: AnswerMissing) -> Transition:
    return replace(state, phase=Phase.MARKING), (ReplyFailure(OutcomeUnknown()), Defer())


@_on((Phase.RECORDING,), RowWritten)
def _reply_recorded(state: AttemptState, _received: RowWritten) -> Transition:
    return replace(state, phase=Phase.DONE), (_reply_answer(state),)


@_on((Phase.RECORDING,), WriteConflict, WriteUnconfirmed, WriteUnavailable)
def _record_answer_later(state: AttemptState, _received: Input) -> Transition:
    return replace(state, phase=Phase.RECORDING_AGAIN), (_reply_answer(state), Defer())


@_on((Phase.RELEASING,), RowWritten)
def _reply_released(state: AttemptState, _received: RowWritten) -> Transition:
    return replace(state, phase=Phase.DONE), (ReplyFailure(NotRun()),)


@_on((Phase.RELEASING,), WriteConflict)
def _reply_row_changed(state: AttemptState, _received: WriteConflict) -> Transition:
    """Reply for this attempt alone, because its row no longer has the expected version.

    An operator may have settled the key, or the HTTP client may have repeated this write after its
    first copy took effect. In the first case another attempt may have run the call.
    """
    return _free_later(state, AttemptNotRun())


@_on((Phase.RELEASING,), WriteUnconfirmed, WriteUnavailable)
def _release_later(state: AttemptState, _received: Input) -> Transition:
    return _free_later(state, NotRunKeyHeld())


@_on((Phase.FREEING, Phase.RECORDING_AGAIN), Resumed, WriteConflict)
def _read_again(state: AttemptState, _received: Input) -> Transition:
    return state, (ReadRow(),)


@_on((Phase.MARKING,), Resumed)
def _mark_unknown(state: AttemptState, _received: Resumed) -> Transition:
    return state, (WriteRow(ClaimStatus.UNKNOWN, state.version),)


@_on((Phase.FREEING,), RowRead)
def _free(state: AttemptState, received: RowRead) -> Transition:
    claim, version = received.row.claim, received.row.version
    held = claim is not None and _is_held_by(state, claim)
    if held or version == state.version:
        return state, (WriteRow(ClaimStatus.FREE, version),)
    return _finish(state)


@_on((Phase.RECORDING_AGAIN,), RowRead)
def _record_answer_again(state: AttemptState, received: RowRead) -> Transition:
    claim, version = received.row.claim, received.row.version
    if claim is None or not _is_held_by(state, claim):
        return _finish(state)
    return state, (WriteRow(ClaimStatus.FINISHED, version, state.answer),)


@_on(
    (Phase.FREEING, Phase.RECORDING_AGAIN, Phase.MARKING),
    WriteUnconfirmed,
    WriteUnavailable,
    ReadFailed,
)
def _retry_later(state: AttemptState, _received: Input) -> Transition:
    return state, (Defer(),)


@_on((Phase.FREEING, Phase.RECORDING_AGAIN, Phase.MARKING), RowWritten)
def _finish_written(state: AttemptState, _received: RowWritten) -> Transition:
    return _finish(state)


@_on((Phase.MARKING,), WriteConflict)
def _finish_conflict(state: AttemptState, _received: WriteConflict) -> Transition:
    return _finish(state)


@_on(_UNSENT_PHASES, DeadlinePassed)
def _reply_not_run(state: AttemptState, _received: DeadlinePassed) -> Transition:
    phase = Phase.DONE if state.phase is Phase.NEW else state.phase
    return replace(state, phase=phase), (ReplyFailure(_DEADLINE_FAILURES[state.phase]),)


@_on((Phase.RELEASING,), DeadlinePassed)
def _reply_key_held(state: AttemptState, _received: DeadlinePassed) -> Transition:
    return state, (ReplyFailure(NotRunKeyHeld()),)


@_on((Phase.SENT,), DeadlinePassed)
def _reply_unknown(state: AttemptState, _received: DeadlinePassed) -> Transition:
    return state, (ReplyFailure(OutcomeUnknown()),)


@_on((Phase.RECORDING,), DeadlinePassed)
def _reply_unrecorded(state: AttemptState, _received: DeadlinePassed) -> Transition:
    return state, (_reply_answer(state),)


def may_send(state: AttemptState, now: Input) -> bool:
    """Return whether the attempt that holds the claim may still send the request.

    It may not once the caller has a reply, at or after the deadline, or when more than
    ``MAX_PAUSE_MS`` have passed on either clock since its claim was acknowledged. The process may
    have been paused for that long.
    """
    paused_ms = max(now.at - state.acknowledged_at, now.wall_at - state.acknowledged_wall_at)
    return not state.replied and now.at < state.deadline_at and paused_ms <= MAX_PAUSE_MS


class Settlement(Enum):
    """The outcome that an operator found for the call of an unsettled key."""

    RAN = "ran"
    NOT_RUN = "not-run"


def is_unsettled(claim: Claim) -> bool:
    """Return whether a key is still claimed and its outcome is not known."""
    return claim.status in (ClaimStatus.HELD, ClaimStatus.UNKNOWN)


def may_settle(claim: Claim, wall_now: int) -> bool:
    """Return whether an operator may settle a key.

    The key must be unsettled, and its attempt must have timed out ``SETTLE_MARGIN_MS`` ago or
    earlier, so that it can no longer send the request or receive an answer. A write that the
    attempt still retries has no effect, because settling the key gives its row a new version.
    """
    earliest_settle_at = claim.claimed_at + claim.patience_ms + SETTLE_MARGIN_MS
    return is_unsettled(claim) and wall_now >= earliest_settle_at


def settle(claim: Claim, outcome: Settlement) -> Claim:
    """Return the claim with the status that corresponds to the operator's outcome."""
    status = ClaimStatus.RAN if outcome is Settlement.RAN else ClaimStatus.FREE
    return replace(claim, status=status)


def _claim(state: AttemptState, version: int) -> Transition:
    after = replace(
        state, phase=Phase.CLAIMING, version=version, claim_writes=state.claim_writes + 1
    )
    return after, (WriteRow(ClaimStatus.HELD, version),)


def _connect_or_release(state: AttemptState, now: Input, version: int) -> Transition:
    held = replace(
        state,
        phase=Phase.CONNECTING,
        version=version,
        acknowledged_at=now.at,
        acknowledged_wall_at=now.wall_at,
    )
    return (held, (Connect(),)) if may_send(held, now) else _release(held)


def _release(state: AttemptState) -> Transition:
    return replace(state, phase=Phase.RELEASING), (WriteRow(ClaimStatus.FREE, state.version),)


def _free_later(state: AttemptState, failure: Failure) -> Transition:
    return replace(state, phase=Phase.FREEING), (ReplyFailure(failure), Defer())


def _is_held_by(state: AttemptState, claim: Claim) -> bool:
    return claim.attempt_id == state.attempt_id and claim.status is ClaimStatus.HELD


def _finish(state: AttemptState) -> Transition:
    return replace(state, phase=Phase.DONE), ()


def _reply_answer(state: AttemptState) -> Action:
    assert state.answer is not None
    return ReplyAnswer(state.answer, replayed=False)


def _reply_to_claimed_key(state: AttemptState, claim: Claim | None) -> Action:
    """Return the reply to the caller when another attempt wrote the key's row."""
    if claim is None or claim.status is ClaimStatus.FREE:
        return ReplyFailure(OutcomePending())
    if claim.request_digest != state.request_digest:
        return ReplyFailure(IdempotencyKeyReused())
    if claim.answer is not None:
        return ReplyAnswer(claim.answer, replayed=True)
    return ReplyFailure(_STATUS_FAILURES[claim.status])


_STATUS_FAILURES: dict[ClaimStatus, Failure] = {
    ClaimStatus.HELD: OutcomePending(),
    ClaimStatus.UNKNOWN: OutcomeUnknown(),
    ClaimStatus.FINISHED: OutcomePending(),
    ClaimStatus.RAN: AlreadyRan(),
}

_DEADLINE_FAILURES: dict[Phase, Failure] = {
    Phase.NEW: AttemptNotRun(),
    Phase.CLAIMING: AttemptNotRun(),
    Phase.READING: OutcomePending(),
    Phase.CONFIRMING: AttemptNotRun(),
    Phase.CONNECTING: NotRunKeyHeld(),
}
