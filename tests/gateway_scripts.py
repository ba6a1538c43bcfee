"""Scripts with which the upstreams of the gateway harness answer requests."""

import asyncio
import functools
from dataclasses import replace

from lentilwell.gateway import ServiceSpec
from standins.batch import ENGINE
from tests.gateway_harness import CATALOG


def in_loop(test):
    """Run an asynchronous test in a new event loop."""

    @functools.wraps(test)
    def run(*arguments, **named):
        asyncio.run(test(*arguments, **named))

    return run


async def answer_ok(arrival):
    await arrival.answer(body=b"hello")


async def answer_not_run(arrival):
    await arrival.answer(503, signed=False, Not_Run=1)


async def answer_misdirected(arrival):
    await arrival.answer(421, signed=False, Instance_Id="other")


async def reset_connection(arrival):
    arrival.reset_connection()


async def stay_silent(arrival):
    await arrival.reader.read()
    arrival.disconnected.set()


async def answer_with_error(arrival):
    await arrival.answer(500, b"oops")


async def answer_truncated(arrival):
    await arrival.answer(framing="none", body=b"hel", Content_Length=5)
    arrival.reset_connection()


async def answer_unsigned(arrival):
    await arrival.answer(body=b"hello", signed=False)


async def answer_encoded(arrival):
    await arrival.answer(body=b"hello", Content_Encoding="gzip")


async def answer_for_another(arrival):
    await arrival.answer(body=b"theirs", Request_Id="another")


async def answer_garbage(arrival):
    await arrival.write(b"\x00\x01 nonsense\r\n\r\n")


async def answer_twice(arrival):
    await arrival.answer(body=b"hello")
    await arrival.answer(body=b"hello")


async def stream_whole(arrival):
    begin = int(arrival.headers.get("last-event-id", 0))
    await arrival.begin_stream()
    await arrival.write_events(*range(begin + 1, 6))
    await arrival.end_stream()


async def stream_and_break(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2, incomplete=b"id: 3\nda")
    arrival.reset_connection()


async def stream_and_fall_silent(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await stay_silent(arrival)


def list_event_ids(body):
    return [int(row[4:]) for row in body.decode().split("\n") if row.startswith("id: ")]


def with_engines(objective_ms=400):
    """Return a configuration in which the upstreams are engines and streams may use several."""
    spec = ServiceSpec("s", "/health", 100, ENGINE)
    stream = replace(CATALOG.routes[2], objective_ms=objective_ms, timeout_ms=30_000)
    routes = (*CATALOG.routes[:2], stream)
    return replace(CATALOG, services={"s": spec}, routes=routes)
