"""Requests in progress while the configuration or the list of upstreams changes."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import Share
from tests.gateway_harness import CATALOG, Entry, run_gateway
from tests.gateway_scripts import answer_ok, in_loop, list_event_ids, stream_whole, with_engines

PAUSE_S = 0.4
# With this objective the silence timeout is much longer than the pause, so that no delay of the
# machine leads to a second send.
OBJECTIVE_MS = 1_400
PATIENT = replace(
    CATALOG, routes=tuple(replace(route, objective_ms=OBJECTIVE_MS) for route in CATALOG.routes)
)
# An engine takes 1.5 s to read this prompt; the silence timeout of a plain service ends before.
LONG_PROMPT = "100000,500"
LONG_GAP_S = 1.2


async def answer_after_a_pause(arrival):
    await asyncio.sleep(PAUSE_S)
    if arrival.line.startswith(b"POST /stream/"):
        await stream_whole(arrival)
    else:
        await answer_ok(arrival)


async def stream_with_a_pause(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await asyncio.sleep(PAUSE_S)
    await arrival.write_events(3, 4, 5)
    await arrival.end_stream()


def put_catalog(harness, **changes):
    catalog = harness.gateway.fleet.catalog
    changed = replace(catalog, version=catalog.version + 1, **changes)
    harness.catalog.put(Entry("config", changed))


def remove_routes(harness):
    put_catalog(harness, routes=())


def lower_route_timeouts(harness):
    routes = harness.gateway.fleet.catalog.routes
    put_catalog(harness, routes=tuple(replace(route, timeout_ms=100) for route in routes))


def move_routes(harness):
    routes = harness.gateway.fleet.catalog.routes
    shares = (Share("other", 1.0),)
    put_catalog(harness, routes=tuple(replace(route, shares=shares) for route in routes))


def remove_keys(harness):
    put_catalog(harness, teams=())


def remove_services(harness):
    put_catalog(harness, services={}, routes=())


def remove_upstreams(harness):
    harness.listing.put(*(Entry(entry.key, None, True) for entry in harness.listing.entries))


def let_upstreams_leave(harness):
    harness.listing.put(
        *(Entry(entry.key, replace(entry.value, leaving=True)) for entry in harness.listing.entries)
    )


CHANGES = [
    remove_routes,
    lower_route_timeouts,
    move_routes,
    remove_keys,
    remove_services,
    remove_upstreams,
    let_upstreams_leave,
]


async def call_beside(harness, change, path, **headers):
    """Send a request, apply a change once an upstream has it, and return the answer."""
    calling = asyncio.ensure_future(harness.call(path, **headers))
    while not harness.arrivals:
        await asyncio.sleep(0.005)
    change(harness)
    return await calling


@pytest.mark.parametrize("path", ["/once/x", "/whole/x", "/stream/x"])
@pytest.mark.parametrize("change", CHANGES)
@in_loop
async def test_change_ends_no_request_in_progress(change, path):
    scripts = (answer_after_a_pause, answer_after_a_pause)
    async with run_gateway(*scripts, catalog=PATIENT) as harness:
        answer = await call_beside(harness, change, path)
        assert answer.status == 200 and answer.complete
        assert len(harness.arrivals) == 1


@pytest.mark.parametrize("change", CHANGES)
@in_loop
async def test_change_cuts_no_stream(change):
    scripts = (stream_with_a_pause, stream_with_a_pause)
    async with run_gateway(*scripts, catalog=PATIENT) as harness:
        answer = await call_beside(harness, change, "/stream/x")
        assert answer.complete and list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(harness.arrivals) == 1


@pytest.mark.parametrize("change", CHANGES)
@in_loop
async def test_change_does_not_shorten_the_wait_for_an_engine_that_reads_prompts(change):
    changed = asyncio.Event()

    async def stream_beside_a_prompt(arrival):
        if arrival.headers["token-count"] == LONG_PROMPT:
            await asyncio.sleep(2 * LONG_GAP_S)
            return
        await arrival.begin_stream()
        await arrival.write_events(1, 2)
        await changed.wait()
        await arrival.write_events(3)
        await asyncio.sleep(LONG_GAP_S)
        await arrival.write_events(4, 5)
        await arrival.end_stream()

    async with run_gateway(stream_beside_a_prompt, catalog=with_engines()) as harness:
        harness.gateway.fleet.policy = "least_cost"
        calling = asyncio.ensure_future(harness.call("/stream/x", Token_Count="1000,500"))
        while not harness.arrivals:
            await asyncio.sleep(0.005)
        _, other = await harness.connect()
        other.write(harness.format("/stream/y", Token_Count=LONG_PROMPT))
        while len(harness.arrivals) < 2:
            await asyncio.sleep(0.005)
        version = harness.gateway.fleet.listing_point, harness.gateway.fleet.catalog
        change(harness)
        while version == (harness.gateway.fleet.listing_point, harness.gateway.fleet.catalog):
            await asyncio.sleep(0.005)
        changed.set()
        answer = await calling
        other.close()
        assert answer.complete and list_event_ids(answer.body) == [1, 2, 3, 4, 5]
