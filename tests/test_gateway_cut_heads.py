"""Answers and requests that break off after any of their bytes, at a gateway."""

import asyncio
import json
from dataclasses import dataclass, field

import pytest
from wire_store import StoreClient

from lentilwell._clock import SystemClock
from lentilwell.gateway import EraTracker, StoreUnavailable
from tests.gateway_harness import HOST, KEY, run_gateway
from tests.gateway_scripts import answer_ok, in_loop, list_event_ids, stream_whole, with_engines
from tests.refusal_scripts import NOT_RUN_STATUSES, with_single_streams
from tests.stream_scripts import (
    RESET_PAUSE_S,
    WHOLE_STREAM,
    events_after,
    list_events,
    reset_connection,
)
from tests.test_gateway_order_answers import LARGE_PROMPT

ENDS = ("close", "reset")
INFORMATIONAL = b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n"
BODY = b"hello"


@dataclass(frozen=True)
class WholeAnswer:
    """An answer as its upstream means it; ``framing`` is "chunked" or "length"."""

    body: bytes = BODY
    status: int = 200
    framing: str = "length"
    before: bytes = b""
    headers: bytes = b""

    def format_head(self, request_id="id1"):
        """Return the bytes up to the end of the head."""
        head = b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\n" % (self.status, request_id.encode())
        head += b"Server-Stamp: stamp\r\n" + self.headers
        if self.framing == "chunked":
            return self.before + head + b"Transfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n"
        return self.before + head + b"Content-Length: %d\r\nX-Last: 1\r\n\r\n" % len(self.body)

    def format(self, request_id="id1"):
        """Return all bytes."""
        body = self.body
        if self.framing == "chunked":
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return self.format_head(request_id) + body


@dataclass
class CutOnce:
    """Upstreams that break off one of their answers after ``cut`` bytes, and answer all others.

    With ``kept``, the first answer on each connection is whole. ``number`` counts the requests.
    """

    answer: WholeAnswer
    cut: int
    end: str
    kept: bool = False
    was_cut: bool = False
    number: int = 0
    used: set = field(default_factory=set)

    async def serve(self, arrival):
        """Answer one request."""
        connection = (arrival.upstream, arrival.connection)
        self.number += 1
        if self.was_cut or (self.kept and connection not in self.used):
            self.used.add(connection)
            await self.serve_whole(arrival)
            return
        self.was_cut = True
        await arrival.write(self.answer.format(arrival.headers["request-id"])[: self.cut])
        await end_connection(arrival, self.end)

    async def serve_whole(self, arrival):
        """Answer with a 200 and the same body."""
        whole = WholeAnswer(self.answer.body, framing=self.answer.framing)
        await arrival.write(whole.format(arrival.headers["request-id"]))


class CutStream(CutOnce):
    """Upstreams that go on with the stream where an earlier answer broke off."""

    async def serve_whole(self, arrival):
        """Answer with the rest of the stream."""
        rest = events_after(int(arrival.headers.get("last-event-id", 0)))
        await arrival.write(make_stream(rest).format(arrival.headers["request-id"]))


def make_stream(body, framing="chunked", before=b""):
    """Return a stream with these events."""
    return WholeAnswer(
        body, framing=framing, before=before, headers=b"Content-Type: text/event-stream\r\n"
    )


async def end_connection(arrival, end):
    """Close or reset the connection of a request."""
    if end == "reset":
        await asyncio.sleep(RESET_PAUSE_S)
        reset_connection(arrival.writer)
        return
    arrival.writer.close()
    await arrival.writer.wait_closed()


ANSWERS = {
    "by length": WholeAnswer(),
    "by chunks": WholeAnswer(framing="chunked"),
    "empty": WholeAnswer(b""),
    "after informational": WholeAnswer(before=INFORMATIONAL),
    "500": WholeAnswer(b"oops", 500),
}
CUT_ANSWERS = [(name, "close") for name in ANSWERS] + [
    ("by length", "reset"),
    ("by chunks", "reset"),
]


@pytest.mark.parametrize(("name", "end"), CUT_ANSWERS)
@in_loop
async def test_cut_answer_to_a_request_that_may_run_once_has_an_unknown_outcome(name, end):
    answer = ANSWERS[name]
    for cut in range(len(answer.format())):
        upstreams = CutOnce(answer, cut, end)
        async with run_gateway(*[upstreams.serve] * 2) as harness:
            received = await harness.call("/once/x")
            assert (received.status, upstreams.number) == (502, 1), answer.format()[:cut]
            assert "server-stamp" not in received.headers


@pytest.mark.parametrize(("name", "end"), CUT_ANSWERS)
@pytest.mark.parametrize("kept", [False, True], ids=["fresh", "kept"])
@in_loop
async def test_cut_answer_to_an_idempotent_request_is_replaced_by_a_whole_one(name, kept, end):
    answer = ANSWERS[name]
    for cut in range(len(answer.format())):
        upstreams = CutOnce(answer, cut, end, kept)
        async with run_gateway(*[upstreams.serve] * 2) as harness:
            calls = 3 if kept else 1
            for _ in range(calls):
                received = await harness.call("/whole/x")
                assert (received.status, received.body) == (200, answer.body), cut
                assert received.complete and received.headers["server-stamp"] == "stamp"
            assert upstreams.was_cut and upstreams.number == calls + 1


@pytest.mark.parametrize(
    ("status", "end"), [*((status, "close") for status in NOT_RUN_STATUSES), (503, "reset")]
)
@in_loop
async def test_refusal_is_believed_only_with_its_whole_head(status, end):
    answer = WholeAnswer(b"full", status, headers=b"Not-Run: 1\r\n")
    for cut in range(len(answer.format_head())):
        upstreams = CutOnce(answer, cut, end)
        async with run_gateway(*[upstreams.serve] * 2) as harness:
            received = await harness.call("/once/x")
            assert (received.status, upstreams.number) == (502, 1), answer.format()[:cut]
            fleet = harness.gateway.fleet
            assert fleet.refusals.estimate_share("u0", fleet.clock.now()) == 0
            assert fleet.refusals.estimate_share("u1", fleet.clock.now()) == 0
            assert len(fleet.directory.listed) == 2


STREAMS = {
    "by chunks": make_stream(WHOLE_STREAM),
    "by length": make_stream(WHOLE_STREAM, "length"),
    "after informational": make_stream(list_events(1), before=INFORMATIONAL),
}
CUT_STREAMS = [(name, "close") for name in STREAMS] + [("by chunks", "reset")]


@pytest.mark.parametrize(("name", "end"), CUT_STREAMS)
@in_loop
async def test_cut_stream_goes_on_with_each_event_once(name, end):
    answer = STREAMS[name]
    whole = answer.format()
    for cut in range(len(whole)):
        upstreams = CutStream(answer, cut, end)
        async with run_gateway(*[upstreams.serve] * 2) as harness:
            received = await harness.call("/stream/x")
            assert received.status == 200 and received.headers["server-stamp"] == "stamp"
            assert received.body == WHOLE_STREAM and upstreams.number == 2, whole[:cut]
            # With the last event, the rest is empty: nothing shows that the stream has ended.
            assert received.complete == (list_events(5) not in whole[:cut]), whole[:cut]


@pytest.mark.parametrize(("name", "end"), CUT_STREAMS)
@in_loop
async def test_cut_stream_that_may_not_resume_looks_cut_or_is_a_502(name, end):
    answer = STREAMS[name]
    whole = answer.format()
    first_event = whole.index(list_events(1, 1)) + len(list_events(1, 1))
    for cut in range(len(whole)):
        upstreams = CutStream(answer, cut, end)
        catalog = with_single_streams()
        async with run_gateway(*[upstreams.serve] * 2, catalog=catalog) as harness:
            received = await harness.call("/single/x")
            assert upstreams.number == 1
            if cut < first_event:
                assert received.status == 502, whole[:cut]
            else:
                assert received.status == 200 and not received.complete, whole[:cut]
                assert WHOLE_STREAM.startswith(received.body)


class CuttingEngines:
    """Engines that break off the answers to orders about memory, of which the first ``cuts``.

    ``reserved`` holds the tickets of granted reservations that were not released, ``used`` those
    that requests named.
    """

    def __init__(self, cut, end, cuts):
        self.cut, self.end, self.cuts = cut, end, cuts
        self.confirmed, self.used, self.reserved = set(), set(), set()

    async def serve(self, arrival):
        """Answer a request or an order."""
        if not arrival.line.startswith(b"POST /order "):
            entries = [entry.split("/") for entry in arrival.headers.get("helpers", "").split(",")]
            self.used |= {entry[1] for entry in entries if len(entry) > 1}
            await stream_whole(arrival)
            return
        order = json.loads(arrival.body)
        change = self.reserved.add if order["operation"] == "reserve" else self.reserved.discard
        change(order["id"])
        if order["operation"] == "release" or self.cuts <= 0:
            self.confirmed.add(order["id"])
            await arrival.write(ORDER_ANSWER)
            return
        self.cuts -= 1
        await arrival.write(ORDER_ANSWER[: self.cut])
        await end_connection(arrival, self.end)


ORDER_ANSWER = b'HTTP/1.1 200 X\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n{"free":1}'


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("cuts", [1, 1_000], ids=["once", "always"])
@in_loop
async def test_cut_answer_to_an_order_reserves_nothing(cuts, end):
    for cut in range(len(ORDER_ANSWER)):
        engines = CuttingEngines(cut, end, cuts)
        async with run_gateway(*[engines.serve] * 3, catalog=with_engines(9_000)) as harness:
            harness.gateway.fleet.policy = "least_cost"
            received = await harness.call("/stream/x", **LARGE_PROMPT)
            assert engines.used <= engines.confirmed, ORDER_ANSWER[:cut]
            if cuts == 1:
                assert engines.used and list_event_ids(received.body) == [1, 2, 3, 4, 5]
            else:
                assert not engines.used and received.status == 503
            await harness.gateway.leases.wait_for_releases()
        assert not engines.reserved


ROWS = b'{"rows":[],"schema_version":4,"has_more":false,"now_ms":1}'
STORE_ANSWERS = {
    "rows by length": b"HTTP/1.1 200 X\r\nStore-Era: 7\r\nContent-Length: %d\r\nX-Last: 1\r\n\r\n%s"
    % (len(ROWS), ROWS),
    "rows by chunks": b"HTTP/1.1 200 X\r\nStore-Era: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%s\r\n0\r\n\r\n" % (len(ROWS), ROWS),
    "no history": b"HTTP/1.1 410 X\r\nStore-Era: 7\r\nContent-Length: 2\r\n\r\n{}",
    "unavailable": b"HTTP/1.1 503 X\r\nStore-Era: 7\r\nContent-Length: 2\r\n\r\n{}",
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", STORE_ANSWERS)
@in_loop
async def test_cut_answer_of_the_store_is_no_answer(name, end):
    answer = STORE_ANSWERS[name]
    for cut in range(len(answer)):

        async def serve(reader, writer, cut=cut):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
                await reader.readexactly(int(length or 0))
                writer.write(answer[:cut])
                await writer.drain()
                if end == "reset":
                    await asyncio.sleep(RESET_PAUSE_S)
                    reset_connection(writer)
                else:
                    writer.close()
                return

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        eras = EraTracker()
        client = StoreClient(lambda address=address: address, SystemClock(), eras)
        with pytest.raises(StoreUnavailable, match="/rows-get: "):
            await client.get_rows("/rows-get", {"table": "t"}, 1_000)
        with pytest.raises(StoreUnavailable, match="/rows-tx: "):
            await client.put_row("t", "k", b"value")
        assert eras.current == 0, answer[:cut]
        server.close()


REQUESTS = {
    "without a body": b"X-Last: 1\r\n\r\n",
    "by length": b"Content-Length: 5\r\nX-Last: 1\r\n\r\nhello",
    "by chunks": b"Transfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "after a wait": b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
}


@pytest.mark.parametrize("end", [*ENDS, "half-close"])
@pytest.mark.parametrize("name", REQUESTS)
@in_loop
async def test_request_cut_anywhere_is_not_forwarded(name, end):
    head = f"POST /whole/x HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\nRequest-Id: id1\r\n"
    request = head.encode() + REQUESTS[name]
    async with run_gateway(answer_ok) as harness:
        for kept in (False, True):
            for cut in range(len(request)):
                connection = reader, writer = await harness.connect()
                if kept:
                    assert (await harness.call("/once/x", connection=connection)).status == 200
                arrived = len(harness.arrivals)
                writer.write(request[:cut])
                await writer.drain()
                if end == "reset":
                    reset_connection(writer)
                elif end == "close":
                    writer.close()
                else:
                    writer.write_eof()
                    await asyncio.wait_for(reader.read(), 3)
                    writer.close()
                await asyncio.sleep(0)
                assert len(harness.arrivals) == arrived, request[:cut]
        await asyncio.sleep(0.05)
        assert all(arrival.line.startswith(b"POST /once/x ") for arrival in harness.arrivals)
