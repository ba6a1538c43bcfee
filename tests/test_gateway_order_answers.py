"""Late answers to other requests, where the answer to an order about memory is expected."""

import asyncio
import json

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop, list_event_ids, stream_whole, with_engines
from tests.refusal_scripts import format_refusal

LARGE_PROMPT = {"Token_Count": "700000,100", "Deadline_Ms": "30000"}


class Engine:
    """Grants reservations but for those in ``full``, and writes ``copy`` before its first answers.

    ``copies`` is the number of answers that a copy precedes, at each upstream. ``granted`` holds
    the tickets that are reserved, ``used`` those that requests named.
    """

    def __init__(self, copy, copies=1, full=()):
        self.copy = copy
        self.copies = copies
        self.full = full
        self.answered = {}
        self.orders = []
        self.granted = set()
        self.used = set()

    async def serve(self, arrival):
        if arrival.line.startswith(b"POST /order "):
            await self._execute(arrival)
            return
        helpers = [entry.split("/") for entry in arrival.headers.get("helpers", "").split(",")]
        tickets = {helper[1]: helper[0] for helper in helpers if len(helper) > 1}
        self.used |= set(tickets)
        for ticket, address in tickets.items():
            if ticket not in self.granted:
                await arrival.answer(503, signed=False, Not_Run=1, At_Server=address)
                return
        await stream_whole(arrival)

    async def _execute(self, arrival):
        order = json.loads(arrival.body)
        self.orders.append((arrival.upstream, order["operation"], order["id"]))
        full = arrival.upstream in self.full and order["operation"] == "reserve"
        if order["operation"] == "release":
            self.granted.discard(order["id"])
        elif not full:
            self.granted.add(order["id"])
        answered = self.answered.get(arrival.upstream, 0)
        self.answered[arrival.upstream] = answered + 1
        if answered < self.copies:
            await arrival.write(self.copy)
            await asyncio.sleep(0.005)
        status, body = (409, b"{}") if full else (200, b'{"free":1}')
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        await arrival.write(head.encode() + body)


OLD_REFUSAL = format_refusal(503, "an-earlier-request", "empty")
OLD_ANSWER = b"HTTP/1.1 200 X\r\nRequest-Id: an-earlier-request\r\nContent-Length: 2\r\n\r\n{}"
NAMELESS_ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}"
NAMELESS_REFUSAL = format_refusal(503, None, "empty")


@pytest.mark.parametrize("copy", [OLD_REFUSAL, OLD_ANSWER])
@in_loop
async def test_copied_answer_to_a_request_is_not_taken_for_that_to_an_order(copy):
    engine = Engine(copy)
    async with run_gateway(*[engine.serve] * 4, catalog=with_engines(9_000)) as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await harness.call("/stream/x", **LARGE_PROMPT)
        assert answer.complete and list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        reserves = [(name, ticket) for name, kind, ticket in engine.orders if kind == "reserve"]
        assert all(reserves.count(one) >= 2 for one in reserves), "each order is sent again"
        await harness.gateway.leases.wait_for_releases()
        assert not engine.granted


@in_loop
async def test_copied_answer_grants_no_memory_that_an_engine_refused():
    engine = Engine(OLD_ANSWER, full=("u2",))
    async with run_gateway(*[engine.serve] * 3, catalog=with_engines(9_000)) as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await harness.call("/stream/x", Token_Count="800000,100", Deadline_Ms="30000")
        assert answer.status == 503
        assert not engine.used
        await harness.gateway.leases.wait_for_releases()
        assert not engine.granted


@pytest.mark.parametrize("copy", [NAMELESS_ANSWER, NAMELESS_REFUSAL])
@pytest.mark.parametrize("copies", [1, 2, 20])
@pytest.mark.parametrize("full", [(), ("u1",)])
@in_loop
async def test_late_answers_without_an_id_leave_no_memory_reserved(copy, copies, full):
    """Answers to orders have no id; one that is taken for another's is found at the request."""
    engine = Engine(copy, copies, full)
    async with run_gateway(*[engine.serve] * 5, catalog=with_engines(9_000)) as harness:
        harness.gateway.fleet.policy = "least_cost"
        for _ in range(3):
            answer = await harness.call("/stream/x", **LARGE_PROMPT)
            assert answer.status in (200, 503)
            assert answer.complete
            assert list_event_ids(answer.body) == ([1, 2, 3, 4, 5] if answer.status == 200 else [])
        await harness.gateway.leases.wait_for_releases()
        assert not engine.granted
