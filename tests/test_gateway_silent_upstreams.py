"""Upstreams that are silent for more than a second, and then go on."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import BudgetRules, Entry
from lentilwell.gateway._load_tracker import Job
from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import (
    answer_misdirected,
    answer_not_run,
    answer_ok,
    answer_with_error,
    in_loop,
    list_event_ids,
    reset_connection,
    stay_silent,
    stream_and_break,
    stream_and_fall_silent,
    stream_whole,
    with_engines,
)

PAUSE_S = 1.4
# Longer than the silence timeout of the routes used here, and shorter than their deadline.
USABLE_AFTER_S = 1.2
WHOLE = [1, 2, 3, 4, 5]


async def pause_before_answer(arrival):
    await asyncio.sleep(PAUSE_S)
    await arrival.answer(body=b"hello")


async def pause_in_answer(arrival):
    await arrival.answer(framing="none", body=b"he", Content_Length=5)
    await asyncio.sleep(PAUSE_S)
    await arrival.write(b"llo")


async def pause_before_stream(arrival):
    await asyncio.sleep(PAUSE_S)
    await stream_whole(arrival)


async def pause_in_stream(arrival):
    """Pause after two events of what is left of the stream."""
    begin = int(arrival.headers.get("last-event-id", 0))
    await arrival.begin_stream()
    await arrival.write_events(*range(begin + 1, min(begin + 3, 6)))
    await asyncio.sleep(PAUSE_S)
    await arrival.write_events(*range(begin + 3, 6))
    await arrival.end_stream()


@pytest.mark.parametrize("first", [pause_before_answer, pause_in_answer])
@pytest.mark.parametrize(
    "second",
    [
        pause_before_answer,
        answer_not_run,
        answer_misdirected,
        answer_with_error,
        reset_connection,
        stay_silent,
        None,
    ],
)
@in_loop
async def test_lookup_is_not_failed_while_an_upstream_that_paused_may_answer(first, second):
    async with run_gateway(first, second) as harness:
        harness.gateway.fleet.ejection.record_unreachable("u1", harness.gateway.clock.now())
        answers = [await harness.call("/whole/x", method="GET") for _ in range(2)]
        assert [(answer.status, answer.body) for answer in answers] == [(200, b"hello")] * 2


@pytest.mark.parametrize("first", [pause_before_stream, pause_in_stream])
@pytest.mark.parametrize(
    "second",
    [
        pause_before_stream,
        pause_in_stream,
        answer_not_run,
        answer_with_error,
        reset_connection,
        stay_silent,
        None,
    ],
)
@in_loop
async def test_stream_is_not_cut_off_while_an_upstream_that_paused_may_go_on(first, second):
    catalog = with_route("stream", timeout_ms=10_000)
    async with run_gateway(first, second, catalog=catalog) as harness:
        answer = await harness.call("/stream/x", Deadline_Ms="10000")
        assert answer.complete and list_event_ids(answer.body) == WHOLE


@pytest.mark.parametrize(
    ("path", "script"), [("/whole/x", pause_before_answer), ("/stream/x", pause_in_stream)]
)
@in_loop
async def test_silence_does_not_end_an_answer_where_the_retry_budget_is_spent(path, script):
    async with run_gateway(script, script) as harness:
        harness.gateway.fleet.change_budget(BudgetRules(0.0, 0, 10_000))
        answer = await harness.call(path)
        assert answer.complete and answer.status == 200
        assert len(harness.arrivals) == 1


@in_loop
async def test_silence_does_not_end_an_answer_where_one_upstream_is_allowed():
    catalog = with_route("stream", max_upstreams=1)
    async with run_gateway(pause_in_stream, stream_whole, catalog=catalog) as harness:
        for _ in range(3):
            answer = await harness.call("/stream/x")
            assert answer.complete and list_event_ids(answer.body) == WHOLE
        assert len(harness.arrivals) == 3


@in_loop
async def test_attempt_beside_a_silent_one_is_cancelled_when_that_one_goes_on():
    async with run_gateway(pause_in_stream, stay_silent) as harness:
        harness.gateway.fleet.ejection.record_unreachable("u1", harness.gateway.clock.now())
        answer = await harness.call("/stream/x", Deadline_Ms="10000")
        assert answer.complete and list_event_ids(answer.body) == WHOLE
        assert len(harness.upstreams[1].arrivals) == 1
        for arrival in harness.upstreams[1].arrivals:
            await asyncio.wait_for(arrival.disconnected.wait(), 1)
        await asyncio.sleep(0.05)
        assert not harness.gateway.fleet.load_tracker.list_own_jobs()


@in_loop
async def test_silent_attempt_is_cancelled_when_another_one_answers():
    async with run_gateway(stay_silent, stream_whole) as harness:
        for _ in range(2):
            answer = await asyncio.wait_for(harness.call("/stream/x"), 2)
            assert answer.complete and list_event_ids(answer.body) == WHOLE
        for arrival in harness.upstreams[0].arrivals:
            await asyncio.wait_for(arrival.disconnected.wait(), 1)
        assert not harness.gateway.fleet.load_tracker.list_own_jobs()


@in_loop
async def test_all_attempts_are_cancelled_when_the_caller_leaves():
    async with run_gateway(stay_silent, stay_silent) as harness:
        _, writer = await harness.connect()
        writer.write(harness.format("/stream/x", Deadline_Ms="10000"))
        while len(harness.arrivals) < 2:
            await asyncio.sleep(0.02)
        writer.close()
        for arrival in harness.arrivals:
            await asyncio.wait_for(arrival.disconnected.wait(), 1)


@in_loop
async def test_service_that_leaves_the_configuration_shortens_no_silence_timeout_in_progress():
    """The timeout of a stream at a busy engine must not fall to that of a plain call."""
    engines = with_engines(objective_ms=300)
    without = replace(engines, version=2, services={}, routes=())

    async def read_for_long(arrival):
        now = harness.gateway.clock.now()
        harness.gateway.fleet.load_tracker.add(Job("long", arrival.upstream, now, 2_000.0, 100_000))
        harness.catalog.put(Entry("config", without))
        await asyncio.sleep(PAUSE_S)
        await stream_whole(arrival)

    async with run_gateway(read_for_long, read_for_long, catalog=engines) as harness:
        answer = await harness.call("/stream/x", Token_Count="1000,100", Deadline_Ms="10000")
        assert answer.complete and list_event_ids(answer.body) == WHOLE
        assert len(harness.arrivals) == 1


@pytest.mark.parametrize(
    ("path", "first", "second"),
    [
        ("/whole/x", stay_silent, answer_ok),
        ("/stream/x", stay_silent, stream_whole),
        ("/stream/x", stream_and_fall_silent, stream_whole),
    ],
)
@in_loop
async def test_hung_upstream_is_left_once_another_one_can_be_used(path, first, second):
    async with run_gateway(first, second) as harness:
        fleet = harness.gateway.fleet
        fleet.ejection.on_unreachable = lambda: None  # no probe finds u1 until the test says so
        fleet.ejection.record_unreachable("u1", harness.gateway.clock.now())
        pending = asyncio.ensure_future(harness.call(path))
        await asyncio.sleep(USABLE_AFTER_S)
        assert not harness.upstreams[1].arrivals
        fleet.ejection.record_connection("u1", harness.gateway.clock.now())
        answer = await pending
        assert answer.complete and answer.status == 200
        assert [len(upstream.arrivals) for upstream in harness.upstreams] == [1, 1]


async def pause_and_break(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await asyncio.sleep(PAUSE_S)
    await arrival.write_events(3)
    arrival.reset_connection()


def stream_whole_after(script):
    """Return a script that runs ``script`` for its first arrival and streams after that."""
    scripts = iter([script])

    async def run(arrival):
        await next(scripts, stream_whole)(arrival)

    return run


@pytest.mark.parametrize(
    ("first", "second", "arrivals"),
    [
        (pause_and_break, stream_whole_after(stay_silent), [1, 2]),
        (stream_whole_after(pause_before_stream), stream_and_break, [2, 1]),
    ],
)
@in_loop
async def test_stream_returns_to_the_upstream_whose_send_was_cancelled(first, second, arrivals):
    catalog = with_route("stream", timeout_ms=10_000)
    async with run_gateway(first, second, catalog=catalog) as harness:
        harness.gateway.fleet.ejection.record_unreachable("u1", harness.gateway.clock.now())
        answer = await harness.call("/stream/x", Deadline_Ms="10000")
        assert answer.complete and list_event_ids(answer.body) == WHOLE
        assert [len(upstream.arrivals) for upstream in harness.upstreams] == arrivals


@pytest.mark.parametrize(
    ("path", "first"), [("/whole/x", pause_before_answer), ("/stream/x", pause_in_stream)]
)
@in_loop
async def test_unexpected_error_beside_a_silent_upstream_does_not_end_its_answer(path, first):
    async with run_gateway(first, answer_ok) as harness:
        harness.gateway.fleet.ejection.record_unreachable("u1", harness.gateway.clock.now())
        dialect = harness.gateway._dialect
        read_head = dialect.read_head

        def fail_for_u1(response):
            if dict(response.headers)[b"server-stamp"] == b"stamp-u1":
                raise ZeroDivisionError
            return read_head(response)

        dialect.read_head = fail_for_u1
        answer = await harness.call(path)
        assert answer.complete and answer.status == 200
        assert [len(upstream.arrivals) for upstream in harness.upstreams] == [1, 1]
