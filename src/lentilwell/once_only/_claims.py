"""The claim protocol: a call that may not be repeated runs at most once for its idempotency key.

``step`` is pure. It takes one attempt's state and one input and returns the next state with the
actions to carry out; the answer to each action comes back as the next input. Rows are never
deleted, so a row's version names its content for good and any later write defeats a lost one.
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
    KeyReused,
    NotRun,
    NotRunKeyHeld,
    OutcomePending,
    OutcomeUnknown,
)
from lentilwell.once_only._messages import (
    Action,
    Answered,
    Began,
    Claim,
    ClaimState,
    ClaimStatus,
    Connect,
    Connected,
    DeadlinePassed,
    Defer,
    Input,
    NotConnected,
    Phase,
    ReadFailed,
    ReadRow,
    ReplyAnswer,
    ReplyFailure,
    Resumed,
    RowRead,
    RowWritten,
    Transmit,
    Unanswered,
    WriteLost,
    WriteRefused,
    WriteRow,
    WriteUnavailable,
)

PAUSE_LIMIT_MS = 1_000
MAXIMUM_CLAIM_WRITES = 3
SETTLE_MARGIN_MS = 60_000


Step = tuple[ClaimState, tuple[Action, ...]]
_InputT = TypeVar("_InputT", bound=Input)
_Handler = Callable[[ClaimState, Any], Step]
_HANDLERS: dict[tuple[Phase, type[Input]], _Handler] = {}

_UNSENT_PHASES = (
    Phase.NEW,
    Phase.CLAIMING,
    Phase.READING,
    Phase.CONFIRMING,
    Phase.CONNECTING,
)


def step(state: ClaimState, received: Input) -> Step:
    """Apply one input to one attempt; an input that does not belong to the phase changes nothing.

    A reply is given once: those that a later phase would give again are left out.
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
) -> Callable[[Callable[[ClaimState, _InputT], Step]], Callable[[ClaimState, _InputT], Step]]:
    def register(
        handler: Callable[[ClaimState, _InputT], Step],
    ) -> Callable[[ClaimState, _InputT], Step]:
        _HANDLERS.update({(phase, kind): handler for phase in phases for kind in kinds})
        return handler

    return register


@_on((Phase.NEW,), Began)
def _begin(state: ClaimState, _received: Began) -> Step:
    return _claim(state, 0)


@_on((Phase.CLAIMING,), RowWritten)
def _take_claim(state: ClaimState, received: RowWritten) -> Step:
    return _hold(state, received, received.version)


@_on((Phase.CLAIMING,), WriteRefused)
def _find_holder(state: ClaimState, _received: WriteRefused) -> Step:
    return replace(state, phase=Phase.READING), (ReadRow(),)


@_on((Phase.CLAIMING,), WriteLost)
def _confirm_claim(state: ClaimState, _received: WriteLost) -> Step:
    return replace(state, phase=Phase.CONFIRMING), (ReadRow(),)


@_on((Phase.CLAIMING,), WriteUnavailable)
def _give_up_claim(state: ClaimState, _received: WriteUnavailable) -> Step:
    return replace(state, phase=Phase.DONE), (ReplyFailure(AttemptNotRun()),)


@_on((Phase.READING,), ReadFailed)
def _give_up_reading(state: ClaimState, _received: ReadFailed) -> Step:
    """A client that repeats a write by itself is refused by its own first try: look again later."""
    return _free_later(state, OutcomePending())


@_on((Phase.READING, Phase.CONFIRMING), RowRead)
def _judge_row(state: ClaimState, received: RowRead) -> Step:
    claim, version = received.found.claim, received.found.version
    if claim is not None and _is_held_by(state, claim):
        return _hold(state, received, version)
    if version == state.version:
        return _free_later(state, AttemptNotRun())
    free = claim is not None and claim.status is ClaimStatus.FREE
    if free and state.claim_writes < MAXIMUM_CLAIM_WRITES and not state.replied:
        return _claim(state, version)
    return replace(state, phase=Phase.DONE), (_judge_claim(state, claim),)


@_on((Phase.CONFIRMING,), ReadFailed)
def _abandon_claim(state: ClaimState, _received: ReadFailed) -> Step:
    return _free_later(state, AttemptNotRun())


@_on((Phase.CONNECTING,), Connected)
def _transmit(state: ClaimState, received: Connected) -> Step:
    if not may_send(state, received):
        return _release(state)
    return replace(state, phase=Phase.SENT), (Transmit(),)


@_on((Phase.CONNECTING,), NotConnected)
def _release_unsent(state: ClaimState, _received: NotConnected) -> Step:
    return _release(state)


@_on((Phase.SENT,), Answered)
def _record(state: ClaimState, received: Answered) -> Step:
    after = replace(state, phase=Phase.RECORDING, answer=received.answer)
    return after, (WriteRow(ClaimStatus.FINISHED, state.version, received.answer),)


@_on((Phase.SENT,), Unanswered)
def _mark_later(state: ClaimState, _received: Unanswered) -> Step:
    return replace(state, phase=Phase.MARKING), (ReplyFailure(OutcomeUnknown()), Defer())


@_on((Phase.RECORDING,), RowWritten)
def _reply_recorded(state: ClaimState, _received: RowWritten) -> Step:
    return replace(state, phase=Phase.DONE), (_reply_answer(state),)


@_on((Phase.RECORDING,), WriteRefused, WriteLost, WriteUnavailable)
def _record_later(state: ClaimState, _received: Input) -> Step:
    return replace(state, phase=Phase.RECORDING_AGAIN), (_reply_answer(state), Defer())


@_on((Phase.RELEASING,), RowWritten)
def _reply_released(state: ClaimState, _received: RowWritten) -> Step:
    return replace(state, phase=Phase.DONE), (ReplyFailure(NotRun()),)


@_on((Phase.RELEASING,), WriteRefused)
def _reply_moved(state: ClaimState, _received: WriteRefused) -> Step:
    """The row moved on, by an operator or by this write's own first try: speak for oneself only."""
    return _free_later(state, AttemptNotRun())


@_on((Phase.RELEASING,), WriteLost, WriteUnavailable)
def _release_later(state: ClaimState, _received: Input) -> Step:
    return _free_later(state, NotRunKeyHeld())


@_on((Phase.FREEING, Phase.RECORDING_AGAIN), Resumed, WriteRefused)
def _read_again(state: ClaimState, _received: Input) -> Step:
    return state, (ReadRow(),)


@_on((Phase.MARKING,), Resumed)
def _mark(state: ClaimState, _received: Resumed) -> Step:
    return state, (WriteRow(ClaimStatus.UNKNOWN, state.version),)


@_on((Phase.FREEING,), RowRead)
def _free(state: ClaimState, received: RowRead) -> Step:
    claim, version = received.found.claim, received.found.version
    held = claim is not None and _is_held_by(state, claim)
    if held or version == state.version:
        return state, (WriteRow(ClaimStatus.FREE, version),)
    return _finish(state)


@_on((Phase.RECORDING_AGAIN,), RowRead)
def _record_again(state: ClaimState, received: RowRead) -> Step:
    claim, version = received.found.claim, received.found.version
    if claim is None or not _is_held_by(state, claim):
        return _finish(state)
    return state, (WriteRow(ClaimStatus.FINISHED, version, state.answer),)


@_on((Phase.FREEING, Phase.RECORDING_AGAIN, Phase.MARKING), WriteLost, WriteUnavailable, ReadFailed)
def _try_later(state: ClaimState, _received: Input) -> Step:
    return state, (Defer(),)


@_on((Phase.FREEING, Phase.RECORDING_AGAIN, Phase.MARKING), RowWritten)
def _finish_written(state: ClaimState, _received: RowWritten) -> Step:
    return _finish(state)


@_on((Phase.MARKING,), WriteRefused)
def _finish_refused(state: ClaimState, _received: WriteRefused) -> Step:
    return _finish(state)


@_on(_UNSENT_PHASES, DeadlinePassed)
def _reply_not_run(state: ClaimState, _received: DeadlinePassed) -> Step:
    phase = Phase.DONE if state.phase is Phase.NEW else state.phase
    return replace(state, phase=phase), (ReplyFailure(_LATE[state.phase]),)


@_on((Phase.RELEASING,), DeadlinePassed)
def _reply_releasing(state: ClaimState, _received: DeadlinePassed) -> Step:
    return state, (ReplyFailure(NotRunKeyHeld()),)


@_on((Phase.SENT,), DeadlinePassed)
def _reply_unknown(state: ClaimState, _received: DeadlinePassed) -> Step:
    return state, (ReplyFailure(OutcomeUnknown()),)


@_on((Phase.RECORDING,), DeadlinePassed)
def _reply_unrecorded(state: ClaimState, _received: DeadlinePassed) -> Step:
    return state, (_reply_answer(state),)


def may_send(state: ClaimState, now: Input) -> bool:
    """Tell whether the holder of a claim may still send.

    Not once the caller has a reply, not at or after the deadline, and not when either clock shows
    that the process was paused between the claim's acknowledgement and now.
    """
    paused_ms = max(now.at - state.acknowledged_at, now.wall - state.acknowledged_wall)
    return not state.replied and now.at < state.deadline_at and paused_ms <= PAUSE_LIMIT_MS


class Settlement(Enum):
    """What an operator found out about a key that stays taken."""

    RAN = "ran"
    NOT_RUN = "not-run"


def is_unsettled(claim: Claim) -> bool:
    """Tell whether a key stays taken without a known outcome."""
    return claim.status in (ClaimStatus.HELD, ClaimStatus.UNKNOWN)


def may_settle(claim: Claim, wall: int) -> bool:
    """Tell whether an operator may settle a key: its attempt can neither send nor answer now."""
    over_at = claim.claimed_at + claim.patience_ms + SETTLE_MARGIN_MS
    return is_unsettled(claim) and wall >= over_at


def settle(claim: Claim, found: Settlement) -> Claim:
    """Return the claim as the operator settles it."""
    status = ClaimStatus.RAN if found is Settlement.RAN else ClaimStatus.FREE
    return replace(claim, status=status)


def _claim(state: ClaimState, version: int) -> Step:
    after = replace(
        state, phase=Phase.CLAIMING, version=version, claim_writes=state.claim_writes + 1
    )
    return after, (WriteRow(ClaimStatus.HELD, version),)


def _hold(state: ClaimState, now: Input, version: int) -> Step:
    held = replace(
        state,
        phase=Phase.CONNECTING,
        version=version,
        acknowledged_at=now.at,
        acknowledged_wall=now.wall,
    )
    return (held, (Connect(),)) if may_send(held, now) else _release(held)


def _release(state: ClaimState) -> Step:
    return replace(state, phase=Phase.RELEASING), (WriteRow(ClaimStatus.FREE, state.version),)


def _free_later(state: ClaimState, failure: Failure) -> Step:
    return replace(state, phase=Phase.FREEING), (ReplyFailure(failure), Defer())


def _is_held_by(state: ClaimState, claim: Claim) -> bool:
    return claim.attempt_id == state.attempt_id and claim.status is ClaimStatus.HELD


def _finish(state: ClaimState) -> Step:
    return replace(state, phase=Phase.DONE), ()


def _reply_answer(state: ClaimState) -> Action:
    assert state.answer is not None
    return ReplyAnswer(state.answer, replayed=False)


def _judge_claim(state: ClaimState, claim: Claim | None) -> Action:
    """Return what the caller is told of a key that another attempt has taken."""
    if claim is None or claim.status is ClaimStatus.FREE:
        return ReplyFailure(OutcomePending())
    if claim.request_digest != state.request_digest:
        return ReplyFailure(KeyReused())
    if claim.answer is not None:
        return ReplyAnswer(claim.answer, replayed=True)
    return ReplyFailure(_TAKEN[claim.status])


_TAKEN: dict[ClaimStatus, Failure] = {
    ClaimStatus.HELD: OutcomePending(),
    ClaimStatus.UNKNOWN: OutcomeUnknown(),
    ClaimStatus.FINISHED: OutcomePending(),
    ClaimStatus.RAN: AlreadyRan(),
}

_LATE: dict[Phase, Failure] = {
    Phase.NEW: AttemptNotRun(),
    Phase.CLAIMING: AttemptNotRun(),
    Phase.READING: OutcomePending(),
    Phase.CONFIRMING: AttemptNotRun(),
    Phase.CONNECTING: NotRunKeyHeld(),
}
