"""Carries the claim protocol out: rows through the platform's port, the call through a function.

A caller's thread waits for the reply; a thread of the runner's own makes the attempt, so that an
answer that comes after the caller's deadline is still recorded. What is left to do after the reply
is tried again in the background until the table agrees.
"""

from __future__ import annotations

import hashlib
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from threading import Lock, RLock
from typing import Any

import msgspec
from loguru import logger
from result import Err, Ok, Result

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell._errors import AnswerLost, PlatformFailure, VersionConflict
from lentilwell._failures import AnswerUnavailable, AttemptNotRun, Failure
from lentilwell._http import Guard, HttpAnswer, HttpFailure
from lentilwell._ports import Platform, Row
from lentilwell.once_only._claims import step
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
    FoundClaim,
    Input,
    NotConnected,
    Phase,
    ReadFailed,
    ReadRow,
    RecordedAnswer,
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

CLAIM_PREFIX = "claims."
INLINE_ANSWER_BYTES = 4_096
MAXIMUM_OPEN_ATTEMPTS = 1_024
TABLE_FAILURES_UNTIL_DOWN = 3
TABLE_RETRY_MS = 500
LATE_ANSWER_MS = 30_000

Reply = Result[RecordedAnswer, Failure]


@dataclass(frozen=True)
class ClaimedCall:
    """One caller's call; ``call`` names it for operators.

    ``make`` opens a new connection, asks its guard, sends and waits. ``on_idle`` runs once, when
    the attempt holds no thread and no connection any longer.
    """

    team: str
    key: str
    call: str
    request_digest: str
    deadline_at: int
    make: Callable[[Guard], Result[HttpAnswer, HttpFailure]]
    on_idle: Callable[[], None]


class _Attempt:
    """One attempt's state, changed by its own thread and by the deadline of its caller."""

    def __init__(
        self, attempt_id: str, call: ClaimedCall, claimed_at: int, patience_ms: int
    ) -> None:
        self.call = call
        self.claimed_at = claimed_at
        self.patience_ms = patience_ms
        self.reply: Future[ReplyAnswer | ReplyFailure] = Future()
        self.state = ClaimState(attempt_id, call.request_digest, call.deadline_at)
        self._lock = RLock()

    def apply(self, received: Input) -> tuple[Action, ...]:
        """Apply an input, give the caller what is for it and return what is left to do."""
        with self._lock:
            self.state, actions = step(self.state, received)
            for action in actions:
                if isinstance(action, ReplyAnswer | ReplyFailure):
                    self.reply.set_result(action)
        return tuple(a for a in actions if not isinstance(a, ReplyAnswer | ReplyFailure))


class ClaimRunner:
    """Runs claimed calls. Public methods may be called from any thread."""

    def __init__(self, platform: Platform, clock: Clock, instance: str, threads: int) -> None:
        self._platform = platform
        self._clock = clock
        self._instance = instance
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="claim")
        self._lock = Lock()
        self._round = Lock()
        self._open = 0
        self._deferred: dict[str, _Attempt] = {}
        self._table_failures = 0
        self._table_retry_at = 0

    @property
    def deferred(self) -> int:
        """Return how many attempts have a write left to do in the background."""
        return len(self._deferred)

    def run(self, call: ClaimedCall) -> Reply:
        """Make the call at most once for its key, and return what the caller is to be told."""
        failure = self._admit()
        if failure is not None:
            call.on_idle()
            return Err(failure)
        now, wall = self._moment()
        patience_ms = max(0, call.deadline_at - now) + LATE_ANSWER_MS
        attempt = _Attempt(uuid.uuid4().hex, call, wall, patience_ms)
        self._executor.submit(self._make_attempt, attempt)
        return self._load(self._await_reply(attempt))

    def retry_deferred(self) -> None:
        """Try what is left to do; stop at the first failure of the table."""
        with self._round:
            for attempt in list(self._deferred.values()):
                self._drive(attempt, attempt.apply(Resumed(*self._moment())))
                if attempt.state.phase is not Phase.DONE:
                    return

    def close(self, patience_ms: int) -> int:
        """End the attempts in progress, write what is left, return how many could not be."""
        self._executor.shutdown(wait=True)
        give_up_at = self._clock.now() + patience_ms
        self.retry_deferred()
        while self._deferred and self._clock.now() < give_up_at:
            time.sleep(TABLE_RETRY_MS / MS_PER_SECOND)
            self.retry_deferred()
        for attempt in self._deferred.values():
            logger.warning(
                "key left taken", attempt=attempt.state.attempt_id, phase=_phase(attempt)
            )
        return len(self._deferred)

    def _admit(self) -> Failure | None:
        """Refuse at once while the table is down or too much is left to do."""
        now = self._clock.now()
        with self._lock:
            if self._open >= MAXIMUM_OPEN_ATTEMPTS:
                return AttemptNotRun()
            if self._table_failures >= TABLE_FAILURES_UNTIL_DOWN and now < self._table_retry_at:
                return AttemptNotRun()
            self._open += 1
        return None

    def _make_attempt(self, attempt: _Attempt) -> None:
        try:
            self._drive(attempt, attempt.apply(Began(*self._moment())))
        except Exception:
            logger.exception("claim failed", attempt=attempt.state.attempt_id)
        finally:
            attempt.call.on_idle()

    def _await_reply(self, attempt: _Attempt) -> ReplyAnswer | ReplyFailure:
        left_ms = max(0, attempt.call.deadline_at - self._clock.now())
        try:
            return attempt.reply.result(left_ms / MS_PER_SECOND)
        except TimeoutError:
            attempt.apply(DeadlinePassed(*self._moment()))
        return attempt.reply.result()

    def _load(self, reply: ReplyAnswer | ReplyFailure) -> Reply:
        if isinstance(reply, ReplyFailure):
            return Err(reply.failure)
        if not reply.answer.object_key:
            return Ok(reply.answer)
        content = self._platform.get_object(reply.answer.object_key)
        if content.is_err():
            return Err(AnswerUnavailable())
        try:
            return Ok(msgspec.json.decode(content.unwrap(), type=RecordedAnswer))
        except msgspec.DecodeError:
            return Err(AnswerUnavailable())

    def _drive(self, attempt: _Attempt, actions: tuple[Action, ...]) -> None:
        """Carry actions out until none is left or the rest is deferred."""
        while actions:
            (action,) = actions
            if isinstance(action, Defer):
                self._defer(attempt)
                return
            actions = _RUNNERS[type(action)](self, attempt, action)
        self._settle(attempt)

    def _defer(self, attempt: _Attempt) -> None:
        with self._lock:
            self._deferred[attempt.state.attempt_id] = attempt

    def _settle(self, attempt: _Attempt) -> None:
        with self._lock:
            self._open -= 1
            self._deferred.pop(attempt.state.attempt_id, None)

    def _write_row(self, attempt: _Attempt, action: WriteRow) -> tuple[Action, ...]:
        answer = action.answer
        if answer is not None:
            stored = self._store(answer)
            if isinstance(stored, Err):
                return attempt.apply(WriteUnavailable(*self._moment()))
            answer = stored.ok_value
        call = attempt.call
        if action.status is ClaimStatus.HELD:
            attempt.claimed_at = self._clock.wall()
        claim = Claim(
            status=action.status,
            team=call.team,
            key=call.key,
            request_digest=call.request_digest,
            attempt_id=attempt.state.attempt_id,
            instance=self._instance,
            claimed_at=attempt.claimed_at,
            patience_ms=attempt.patience_ms,
            answer=answer,
            call=call.call,
        )
        row_key = name_row(call.team, call.key)
        value = msgspec.json.encode(claim)
        written = self._platform.write_row(row_key, value, action.expected_version)
        return attempt.apply(self._judge_write(written))

    def _judge_write(self, written: Result[Row, PlatformFailure]) -> Input:
        moment = self._moment()
        if isinstance(written, Ok):
            self._note_table(True)
            return RowWritten(*moment, written.ok_value.version)
        failure = written.err_value
        self._note_table(isinstance(failure, VersionConflict))
        if isinstance(failure, VersionConflict):
            return WriteRefused(*moment)
        return WriteLost(*moment) if isinstance(failure, AnswerLost) else WriteUnavailable(*moment)

    def _read_row(self, attempt: _Attempt, _action: ReadRow) -> tuple[Action, ...]:
        row = self._platform.read_row(name_row(attempt.call.team, attempt.call.key))
        self._note_table(row.is_ok())
        found = row.map_or(None, decode_row)
        if found is None:
            return attempt.apply(ReadFailed(*self._moment()))
        return attempt.apply(RowRead(*self._moment(), found))

    def _connect(self, attempt: _Attempt, _action: Connect) -> tuple[Action, ...]:
        refusal: list[tuple[Action, ...]] = []

        def guard() -> bool:
            actions = attempt.apply(Connected(*self._moment()))
            if Transmit() in actions:
                return True
            refusal.append(actions)
            return False

        made = attempt.call.make(guard)
        if refusal:
            return refusal[0]
        if isinstance(made, Ok):
            found = made.ok_value
            answer = RecordedAnswer(found.status, found.headers, found.body)
            return attempt.apply(Answered(*self._moment(), answer))
        sent = attempt.state.phase is Phase.SENT
        return attempt.apply((Unanswered if sent else NotConnected)(*self._moment()))

    def _store(self, answer: RecordedAnswer) -> Result[RecordedAnswer, PlatformFailure]:
        """Move a large answer to the object store; the row then only names it."""
        content = msgspec.json.encode(answer)
        if len(content) <= INLINE_ANSWER_BYTES:
            return Ok(answer)
        key = f"answers/{hashlib.sha256(content).hexdigest()}"
        stored = self._platform.put_object(key, content)
        return stored.map(lambda _: replace(answer, headers=(), body=b"", object_key=key))

    def _note_table(self, answered: bool) -> None:
        with self._lock:
            self._table_failures = 0 if answered else self._table_failures + 1
            self._table_retry_at = self._clock.now() + TABLE_RETRY_MS

    def _moment(self) -> tuple[int, int]:
        return self._clock.now(), self._clock.wall()


def name_row(team: str, key: str) -> str:
    """Return the key of a claim's row; another team's same key is another row."""
    return CLAIM_PREFIX + hashlib.sha256(msgspec.json.encode([team, key])).hexdigest()


def decode_row(row: Row | None) -> FoundClaim | None:
    """Return a row's claim, or None where it cannot be understood."""
    if row is None:
        return FoundClaim()
    try:
        return FoundClaim(row.version, msgspec.json.decode(row.value, type=Claim))
    except msgspec.DecodeError:
        return None


def _phase(attempt: _Attempt) -> str:
    return attempt.state.phase.value


_RUNNERS: dict[type[Action], Callable[[ClaimRunner, _Attempt, Any], tuple[Action, ...]]] = {
    WriteRow: ClaimRunner._write_row,
    ReadRow: ClaimRunner._read_row,
    Connect: ClaimRunner._connect,
}
