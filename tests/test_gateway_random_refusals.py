"""Refusals, true and copied, in random order on the connections of two upstreams."""

import asyncio
from dataclasses import dataclass

from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.gateway_harness import run_gateway
from tests.refusal_scripts import NOT_RUN_STATUSES, format_refusal, with_single_streams
from tests.searching import SEARCH_EXAMPLES

EXAMPLES = SEARCH_EXAMPLES or 60
PATHS = ("/once/x", "/whole/x", "/stream/x", "/single/x")
SEND_ONCE_PATHS = ("/once/x", "/single/x")
PAUSE_S = 0.004


@dataclass(frozen=True)
class Behaviour:
    """How an upstream answers a request, and where it writes a copy of a refusal.

    ``runs`` is false for a true refusal. ``copy_id`` is the id of the copy, None for no id.
    """

    runs: bool = True
    status: int = 503
    copy_place: str = "none"
    copy_status: int = 503
    copy_id: str | None = "earlier"
    copy_framing: str = "empty"


class Upstreams:
    """Answers the requests that arrive by one behaviour after the other; then soundly."""

    def __init__(self, behaviours):
        self.behaviours = list(behaviours)
        self.ran = {}
        self.used = set()

    async def serve(self, arrival):
        behaviour = self.behaviours.pop(0) if self.behaviours else Behaviour()
        request_id = arrival.headers["request-id"]
        answer = format_refusal(behaviour.status, request_id, "length")
        if behaviour.runs:
            self.ran[request_id] = self.ran.get(request_id, 0) + 1
            body = f"id: 1\ndata: {request_id}\n\n".encode()
            head = f"HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: {request_id}\r\n"
            answer = head.encode() + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        copy = format_refusal(behaviour.copy_status, behaviour.copy_id, behaviour.copy_framing)
        await self._write(arrival, behaviour, answer, copy)

    async def _write(self, arrival, behaviour, answer, copy):
        connection = (arrival.upstream, arrival.connection)
        # Only the first answer on a new connection may leave out the id, and only with 421.
        proves_itself = behaviour.copy_status == 421 and behaviour.copy_id is None
        place = behaviour.copy_place
        if place == "before" and proves_itself and connection not in self.used:
            place = "none"
        self.used.add(connection)
        if place == "before":
            await arrival.write(copy)
        await arrival.write(answer)
        if place == "after":
            await arrival.write(copy)
        elif place == "idle":
            await asyncio.sleep(PAUSE_S / 2)
            await arrival.write(copy)


BEHAVIOURS = st.builds(
    Behaviour,
    runs=st.sampled_from((True, True, True, False)),
    status=st.sampled_from((503, 429, 421, 400)),
    copy_place=st.sampled_from(("none", "before", "after", "idle")),
    copy_status=st.sampled_from((503, 429, 421, 400)),
    copy_id=st.sampled_from(("earlier", None)),
    copy_framing=st.sampled_from(("empty", "length", "chunked", "too short", "too long")),
)
CALLS = st.lists(
    st.tuples(st.sampled_from(PATHS), st.sampled_from((0, PAUSE_S / 4, PAUSE_S))),
    min_size=1,
    max_size=10,
)


async def check(behaviours, calls):
    """Make the calls one after the other, with a pause after each."""
    upstreams = Upstreams(behaviours)
    scripts = [upstreams.serve] * 2
    async with run_gateway(*scripts, catalog=with_single_streams()) as harness:
        for path, pause_s in calls:
            answer = await harness.call(path)
            request_id = f"id{harness.last_request_number[0]}"
            check_answer(path, answer, request_id, upstreams.ran.get(request_id, 0))
            await asyncio.sleep(pause_s)


def check_answer(path, answer, request_id, runs):
    """Check one answer against the number of times that its request has run."""
    assert answer.complete and answer.status in (200, 502, 503)
    if answer.status == 200:
        assert answer.body == f"id: 1\ndata: {request_id}\n\n".encode()
    if answer.status in NOT_RUN_STATUSES:
        assert not runs
    if path in SEND_ONCE_PATHS:
        assert runs <= 1


@settings(max_examples=EXAMPLES)
@given(st.lists(BEHAVIOURS, max_size=12), CALLS)
@example([Behaviour(copy_place="idle"), Behaviour(copy_place="before")], [("/whole/x", 0)] * 3)
@example([Behaviour(copy_place="before", copy_id=None)], [("/once/x", 0)])
def test_what_ran_is_never_answered_as_not_run_nor_run_twice(behaviours, calls):
    asyncio.run(check(behaviours, calls))
