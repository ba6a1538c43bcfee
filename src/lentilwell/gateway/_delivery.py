"""Writes the answer of one request to its caller, whichever attempts it comes from."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._answer_checks import find_resume_problem
from lentilwell.gateway._answers import answer_failure, drop_connection_headers
from lentilwell.gateway._caller_connection import CallerConnection
from lentilwell.gateway._event_stream import BrokenStream, EventSequence, StreamPart
from lentilwell.gateway._messages import AnswerHead
from lentilwell.gateway._request_state import Outcome


@dataclass(frozen=True)
class UpstreamFailure:
    """An upstream's error answer, forwarded to the caller if no other upstream serves it."""

    head: AnswerHead
    body: bytes


class Delivery:
    """What the caller has received of its answer.

    ``upstream_failure`` and ``retry_after_ms`` go into the answer if the request is not served.
    """

    def __init__(
        self, caller: CallerConnection, last_event_id: int | None, retry_after_ms: int
    ) -> None:
        self._caller = caller
        self._events = EventSequence(last_event_id)
        self._stream_head: AnswerHead | None = None
        self.upstream_failure: UpstreamFailure | None = None
        self.retry_after_ms = retry_after_ms

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event that the caller has received, or None."""
        return self._events.last

    def begin_part(self, head: AnswerHead) -> StreamPart:
        """Begin or continue the caller's stream by an answer.

        Raise ``BrokenStream`` if the answer cannot continue what the caller has.
        """
        if self._stream_head is not None:
            problem = find_resume_problem(self._stream_head, head)
            if problem is not None:
                raise BrokenStream(problem)
        return StreamPart(self._events, resumed=self._stream_head is not None)

    def forward(self, head: AnswerHead, body: bytes) -> None:
        """Forward a complete, buffered upstream answer."""
        self._caller.answer(head.status, drop_connection_headers(head.headers), body)

    def start_stream(self, head: AnswerHead) -> None:
        """Forward the head of a stream."""
        self._stream_head = head
        self._caller.start_answer(head.status, drop_connection_headers(head.headers))

    async def write(self, data: bytes) -> None:
        """Write bytes of the stream, and wait while the caller does not read."""
        await self._caller.write(data)

    def finish_stream(self) -> None:
        """Write the end of the stream."""
        self._caller.finish_answer()

    def write_failure(self, outcome: Outcome) -> None:
        """Write the error answer for a request that was not served, or cut the connection."""
        if outcome in (Outcome.WHOLE, Outcome.CALLER_GONE):
            return
        if outcome is Outcome.CUT_OFF:
            self._caller.abort()
            return
        if outcome is Outcome.NOT_RUN:
            answer_failure(self._caller, 503, "the request has not run", self.retry_after_ms)
        elif self.upstream_failure is not None:
            self.forward(self.upstream_failure.head, self.upstream_failure.body)
        elif outcome is Outcome.TIMED_OUT:
            answer_failure(self._caller, 504, "no answer before the deadline", None)
        else:
            answer_failure(self._caller, 502, "the upstream failed", None)
