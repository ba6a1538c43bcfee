"""Prompts that several engines read, and memory reserved for prompts larger than one engine."""

import asyncio
import json

from standins.batch import ENGINE
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop, list_event_ids, stream_whole, with_engines


@in_loop
async def test_helper_at_fault_is_excluded_and_the_same_upstream_retried():
    async def report_dead_helper(arrival):
        helpers = arrival.headers.get("helpers", "").split(",")
        if dead in helpers:
            await arrival.answer(503, signed=False, Not_Run=1, At_Server=dead)
        else:
            await stream_whole(arrival)

    async with run_gateway(*[report_dead_helper] * 4, catalog=with_engines()) as harness:
        harness.gateway.fleet.policy = "least_cost"
        dead = harness.gateway.fleet.directory.listed["u3"].address
        answer = await harness.call("/stream/x", Token_Count="200000,100")
        assert answer.complete and list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        sent = [arrival.headers.get("helpers", "").split(",") for arrival in harness.arrivals]
        assert dead in sent[0] and len(sent) == 2
        assert dead not in sent[1]
        assert harness.arrivals[0].upstream == harness.arrivals[1].upstream


@in_loop
async def test_memory_is_set_aside_and_released_for_a_prompt_larger_than_one_engine():
    orders = []

    async def serve(arrival):
        if not arrival.line.startswith(b"POST /order "):
            await asyncio.sleep(1.3)
            await stream_whole(arrival)
            return
        order = json.loads(arrival.body)
        orders.append((order["operation"], order["id"], order.get("tokens")))
        await arrival.answer(200, b"{}")

    async with run_gateway(*[serve] * 4, catalog=with_engines(9_000)) as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await harness.call("/stream/x", Token_Count="700000,100", Deadline_Ms="30000")
        assert answer.status == 200 and answer.complete
        await harness.gateway.leases.wait_for_releases()
        [request] = [a for a in harness.arrivals if not a.line.startswith(b"POST /order")]
        helpers = request.headers["helpers"].split(",")
        tickets = [entry.split("/")[1] for entry in helpers if "/" in entry]
        assert len(helpers) == 3 and len(set(tickets)) == len(tickets) == 2
        reserved = {name: tokens for operation, name, tokens in orders if operation == "reserve"}
        assert set(reserved) == set(tickets)
        assert sum(reserved.values()) >= 700_100 - ENGINE.memory_tokens
        for ticket in tickets:
            operations = [operation for operation, name, _ in orders if name == ticket]
            assert operations[0] == "reserve" and operations[-1] == "release"
            assert operations.count("reserve") >= 2 and operations.count("release") == 1


@in_loop
async def test_memory_that_is_not_granted_everywhere_is_released_at_once():
    orders = []

    async def refuse_one(arrival):
        order = json.loads(arrival.body)
        orders.append((order["operation"], order["id"]))
        full = arrival.upstream == "u2" and order["operation"] == "reserve"
        await arrival.answer(409 if full else 200, b"{}")

    async with run_gateway(*[refuse_one] * 3, catalog=with_engines(9_000)) as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await harness.call("/stream/x", Token_Count="800000,100", Deadline_Ms="30000")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        await harness.gateway.leases.wait_for_releases()
        reserved = {name for operation, name in orders if operation == "reserve"}
        assert {name for operation, name in orders if operation == "release"} == reserved


@in_loop
async def test_release_is_repeated_until_it_is_answered():
    """An engine may execute an order late or never if its answer is lost."""
    releases = []

    async def ignore_releases(arrival):
        if not arrival.line.startswith(b"POST /order "):
            await stream_whole(arrival)
            return
        order = json.loads(arrival.body)
        if order["operation"] == "release":
            releases.append(order["id"])
            if releases.count(order["id"]) < 6:
                await arrival.reader.read()
                return
        await arrival.answer(200, b"{}")

    async with run_gateway(*[ignore_releases] * 4, catalog=with_engines(9_000)) as harness:
        harness.gateway.fleet.policy = "least_cost"
        assert (
            await harness.call("/stream/x", Token_Count="700000,100", Deadline_Ms="30000")
        ).complete
        await harness.gateway.leases.wait_for_releases()
        assert {releases.count(ticket) for ticket in releases} == {6}
