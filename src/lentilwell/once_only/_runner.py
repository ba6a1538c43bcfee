"""Performs the actions of the claim protocol: table reads and writes, and the call itself.

The caller's thread waits for the reply while a thread of the runner makes the attempt, so an answer
that arrives after the caller's deadline is still recorded. Writes that remain after the reply are
retried in the background until the table accepts them or the row no longer belongs to the attempt.
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
from lentilwell._json import decode_json
from lentilwell._ports import Platform, Row
from lentilwell.once_only._claims import step
from lentilwell.once_only._messages import (
    Action,
    AnswerMissing,
    AnswerReceived,
    AttemptState,
    CallReceived,
    Claim,
    ClaimRow,
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
    RecordedAnswer,
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

CLAIM_PREFIX = "claims."
INLINE_ANSWER_BYTES = 4_096
MAX_OPEN_ATTEMPTS = 1_024
TABLE_FAILURES_UNTIL_DOWN = 3
TABLE_RETRY_MS = 500
LATE_ANSWER_TIMEOUT_MS = 30_000

Reply = Result[RecordedAnswer, Failure]


@dataclass(frozen=True)
class ClaimedCall:
    """One caller's call, and how to send it. ``label`` describes it to operators.

    ``send_request`` opens a new connection, calls the guard, and if that returns True sends the
    request and waits for the whole answer. ``on_resources_freed`` runs once, when the attempt no
    longer occupies a thread or a connection.
    """

    team: str
    key: str
    label: str
    request_digest: str
    deadline_at: int
    send_request: Callable[[Guard], Result[HttpAnswer, HttpFailure]]
    on_resources_freed: Callable[[], None]


class _Attempt:
    """The state of one attempt.

    It is changed by the thread that makes the attempt, by the thread that waits for its caller's
    deadline, and by background retries.
    """

    def __init__(
        self, attempt_id: str, call: ClaimedCall, claimed_at: int, timeout_ms: int
    ) -> None:
        self.call = call
        self.claimed_at = claimed_at
        self.timeout_ms = timeout_ms
        self.reply: Future[ReplyAnswer | ReplyFailure] = Future()
        self.state = AttemptState(attempt_id, call.request_digest, call.deadline_at)
        self._lock = RLock()

    def apply(self, received: Input) -> tuple[Action, ...]:
        """Apply an input, pass a reply to the caller and return the remaining actions."""
        with self._lock:
            self.state, actions = step(self.state, received)
            for action in actions:
                if isinstance(action, ReplyAnswer | ReplyFailure):
                    self.reply.set_result(action)
        return tuple(a for a in actions if not isinstance(a, ReplyAnswer | ReplyFailure))


class ClaimRunner:
    """Runs each call at most once for its idempotency key. Public methods are thread-safe."""

    def __init__(self, platform: Platform, clock: Clock, instance: str, threads: int) -> None:
        self._platform = platform
        self._clock = clock
        self._instance = instance
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="claim")
        self._lock = Lock()
        self._retry_lock = Lock()
        self._open_count = 0
        self._deferred: dict[str, _Attempt] = {}
        self._table_failures = 0
        self._table_retry_at = 0

    @property
    def deferred(self) -> int:
        """Return the number of attempts with a write still to be retried in the background."""
        return len(self._deferred)

    def run(self, call: ClaimedCall) -> Reply:
        """Make the call at most once for its key, and return the caller's reply."""
        failure = self._admit()
        if failure is not None:
            call.on_resources_freed()
            return Err(failure)
        now, wall_now = self._read_clocks()
        timeout_ms = max(0, call.deadline_at - now) + LATE_ANSWER_TIMEOUT_MS
        attempt = _Attempt(uuid.uuid4().hex, call, wall_now, timeout_ms)
        self._executor.submit(self._run_attempt, attempt)
        return self._load_answer(self._await_reply(attempt))

    def retry_deferred(self) -> None:
        """Retry the deferred writes; stop at the first attempt that cannot be completed."""
        with self._retry_lock:
            for attempt in list(self._deferred.values()):
                self._execute(attempt, attempt.apply(Resumed(*self._read_clocks())))
                if attempt.state.phase is not Phase.DONE:
                    return

    def close(self, timeout_ms: int) -> int:
        """Wait for the attempts in progress, then retry the deferred writes up to the timeout.

        Return the number of attempts whose write is still missing.
        """
        self._executor.shutdown(wait=True)
        timeout_at = self._clock.now() + timeout_ms
        self.retry_deferred()
        while self._deferred and self._clock.now() < timeout_at:
            time.sleep(TABLE_RETRY_MS / MS_PER_SECOND)
            self.retry_deferred()
        for attempt in self._deferred.values():
            logger.warning(
                "key left taken", attempt=attempt.state.attempt_id, phase=_phase_name(attempt)
            )
        return len(self._deferred)

    def _admit(self) -> Failure | None:
        """Return a failure while the table is unavailable or too many attempts are open."""
        now = self._clock.now()
        with self._lock:
            if self._open_count >= MAX_OPEN_ATTEMPTS:
                return AttemptNotRun()
            if self._table_failures >= TABLE_FAILURES_UNTIL_DOWN and now < self._table_retry_at:
                return AttemptNotRun()
            self._open_count += 1
        return None

    def _run_attempt(self, attempt: _Attempt) -> None:
        try:
            self._execute(attempt, attempt.apply(CallReceived(*self._read_clocks())))
        except Exception:
            logger.exception("claim failed", attempt=attempt.state.attempt_id)
        finally:
            attempt.call.on_resources_freed()

    def _await_reply(self, attempt: _Attempt) -> ReplyAnswer | ReplyFailure:
        remaining_ms = max(0, attempt.call.deadline_at - self._clock.now())
        try:
            return attempt.reply.result(remaining_ms / MS_PER_SECOND)
        except TimeoutError:
            attempt.apply(DeadlinePassed(*self._read_clocks()))
        return attempt.reply.result()

    def _load_answer(self, reply: ReplyAnswer | ReplyFailure) -> Reply:
        if isinstance(reply, ReplyFailure):
            return Err(reply.failure)
        if not reply.answer.object_key:
            return Ok(reply.answer)
        content = self._platform.get_object(reply.answer.object_key)
        if content.is_err():
            return Err(AnswerUnavailable())
        try:
            return Ok(decode_json(content.unwrap(), RecordedAnswer))
        except msgspec.DecodeError:
            return Err(AnswerUnavailable())

    def _execute(self, attempt: _Attempt, actions: tuple[Action, ...]) -> None:
        """Perform actions until none is left or the attempt is deferred."""
        while actions:
            (action,) = actions
            if isinstance(action, Defer):
                self._defer(attempt)
                return
            actions = _ACTION_HANDLERS[type(action)](self, attempt, action)
        self._close_attempt(attempt)

    def _defer(self, attempt: _Attempt) -> None:
        with self._lock:
            self._deferred[attempt.state.attempt_id] = attempt

    def _close_attempt(self, attempt: _Attempt) -> None:
        with self._lock:
            self._open_count -= 1
            self._deferred.pop(attempt.state.attempt_id, None)

    def _write_row(self, attempt: _Attempt, action: WriteRow) -> tuple[Action, ...]:
        answer = action.answer
        if answer is not None:
            stored = self._store_answer(answer)
            if isinstance(stored, Err):
                return attempt.apply(WriteUnavailable(*self._read_clocks()))
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
            patience_ms=attempt.timeout_ms,
            answer=answer,
            call=call.label,
        )
        row_key = make_row_key(call.team, call.key)
        value = msgspec.json.encode(claim)
        written = self._platform.write_row(row_key, value, action.expected_version)
        return attempt.apply(self._convert_write_result(written))

    def _convert_write_result(self, written: Result[Row, PlatformFailure]) -> Input:
        clock_times = self._read_clocks()
        if isinstance(written, Ok):
            self._record_table_result(True)
            return RowWritten(*clock_times, written.ok_value.version)
        failure = written.err_value
        self._record_table_result(isinstance(failure, VersionConflict))
        if isinstance(failure, VersionConflict):
            return WriteConflict(*clock_times)
        return (
            WriteUnconfirmed(*clock_times)
            if isinstance(failure, AnswerLost)
            else WriteUnavailable(*clock_times)
        )

    def _read_row(self, attempt: _Attempt, _action: ReadRow) -> tuple[Action, ...]:
        row = self._platform.read_row(make_row_key(attempt.call.team, attempt.call.key))
        self._record_table_result(row.is_ok())
        claim_row = row.map_or(None, decode_row)
        if claim_row is None:
            return attempt.apply(ReadFailed(*self._read_clocks()))
        return attempt.apply(RowRead(*self._read_clocks(), claim_row))

    def _connect(self, attempt: _Attempt, _action: Connect) -> tuple[Action, ...]:
        refused_actions: list[tuple[Action, ...]] = []

        def guard() -> bool:
            actions = attempt.apply(Connected(*self._read_clocks()))
            if Transmit() in actions:
                return True
            refused_actions.append(actions)
            return False

        sent_result = attempt.call.send_request(guard)
        if refused_actions:
            return refused_actions[0]
        if isinstance(sent_result, Ok):
            http_answer = sent_result.ok_value
            answer = RecordedAnswer(http_answer.status, http_answer.headers, http_answer.body)
            return attempt.apply(AnswerReceived(*self._read_clocks(), answer))
        sent = attempt.state.phase is Phase.SENT
        return attempt.apply((AnswerMissing if sent else ConnectFailed)(*self._read_clocks()))

    def _store_answer(self, answer: RecordedAnswer) -> Result[RecordedAnswer, PlatformFailure]:
        """Return a small answer unchanged; store a large one and return a reference to it."""
        content = msgspec.json.encode(answer)
        if len(content) <= INLINE_ANSWER_BYTES:
            return Ok(answer)
        key = f"answers/{hashlib.sha256(content).hexdigest()}"
        stored = self._platform.put_object(key, content)
        return stored.map(lambda _: replace(answer, headers=(), body=b"", object_key=key))

    def _record_table_result(self, answered: bool) -> None:
        with self._lock:
            self._table_failures = 0 if answered else self._table_failures + 1
            self._table_retry_at = self._clock.now() + TABLE_RETRY_MS

    def _read_clocks(self) -> tuple[int, int]:
        return self._clock.now(), self._clock.wall()


def make_row_key(team: str, key: str) -> str:
    """Return the row key for an idempotency key; equal keys of two teams have separate rows."""
    return CLAIM_PREFIX + hashlib.sha256(msgspec.json.encode([team, key])).hexdigest()


def decode_row(row: Row | None) -> ClaimRow | None:
    """Return a row's claim, an empty ``ClaimRow`` if there is no row, or None if it is invalid."""
    if row is None:
        return ClaimRow()
    try:
        return ClaimRow(row.version, decode_json(row.value, Claim))
    except msgspec.DecodeError:
        return None


def _phase_name(attempt: _Attempt) -> str:
    return attempt.state.phase.value


_ACTION_HANDLERS: dict[type[Action], Callable[[ClaimRunner, _Attempt, Any], tuple[Action, ...]]] = {
    WriteRow: ClaimRunner._write_row,
    ReadRow: ClaimRunner._read_row,
    Connect: ClaimRunner._connect,
}
