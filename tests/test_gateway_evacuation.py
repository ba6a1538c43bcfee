"""A gateway between callers and scripted upstreams while a data centre is evacuated."""

import asyncio
import json
from dataclasses import replace

import pytest

from lentilwell.gateway import Entry
from lentilwell.gateway._leases import ReservationFailed
from lentilwell.gateway._permit_messages import PermitAsk
from lentilwell.gateway._permit_owners import OwnerRole
from lentilwell.gateway._permits import Permit
from lentilwell.gateway._placement_policies import Choice, Helper
from lentilwell.gateway._rate_limits import LimitReport
from lentilwell.gateway._upstreams import Incarnation, Upstream
from lentilwell.gateway.evacuation import CLOSED_RETRY_MS
from standins.simulated_time import run_in_simulated_time
from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import (
    answer_ok,
    in_loop,
    list_event_ids,
    stay_silent,
    stream_and_break,
    stream_whole,
    with_engines,
)
from tests.test_gateway_leases import make_engines

# Far longer than a request may take whose wait is ended by an evacuation.
LONG_S = 60
# Prompts that need the memory of two and of three engines.
TWO_ENGINES = {"Token_Count": "400000,100", "Deadline_Ms": "30000"}
THREE_ENGINES = {"Token_Count": "700000,100", "Deadline_Ms": "30000"}
PATIENT = with_route("whole", timeout_ms=LONG_S * 1_000)


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.002)


async def evacuate(harness, data_centre):
    """Evacuate a data centre, and wait until the gateway knows."""
    harness.evacuate(data_centre)
    evacuations = harness.gateway.fleet.evacuations
    await wait_until(lambda: data_centre in evacuations.evacuated)


async def end_evacuation(harness, data_centre):
    harness.end_evacuation(data_centre)
    evacuations = harness.gateway.fleet.evacuations
    await wait_until(lambda: data_centre not in evacuations.evacuated)


async def serve_engine(arrival):
    """Grant every order about memory, and answer every request."""
    if arrival.line.startswith(b"POST /order "):
        await arrival.write(b'HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\n{"free":1}')
    else:
        await stream_whole(arrival)


def count_arrivals(harness):
    return [len(upstream.arrivals) for upstream in harness.upstreams]


def limit(harness, name, rate=0.5):
    """Let the gateway believe that an upstream names a rate limit."""
    harness.gateway.fleet.rate_limits.record_named(Incarnation(name, 0), rate, 1)


def back_off(harness, name, wait_ms):
    fleet = harness.gateway.fleet
    fleet.availability.record_backoff(Incarnation(name, 0), wait_ms, fleet.clock.now())


def end_backoffs(harness):
    harness.gateway.fleet.availability._backoff_until.clear()


async def call_while_waiting(harness, ends_backoffs):
    """Send a request, evacuate data centre a once it waits, and return its answer."""
    pending = asyncio.create_task(harness.call("/whole/x", Deadline_Ms=str(LONG_S * 1_000)))
    [exchange] = await wait_for_exchange(harness)
    await wait_until(lambda: any(one.waits_for("a") for one in exchange._tasks))
    if ends_backoffs:
        end_backoffs(harness)
    await evacuate(harness, "a")
    return await pending


async def wait_for_exchange(harness):
    await wait_until(lambda: harness.gateway._exchanges)
    return harness.gateway._exchanges


@in_loop
async def test_evacuated_data_centre_gets_nothing_until_the_row_is_removed():
    async with run_gateway(answer_ok, answer_ok, data_centres=("a", "b")) as harness:
        fleet, ended = harness.gateway.fleet, []
        fleet.on_evacuation_end = lambda name, now: ended.append((name, now <= fleet.clock.now()))
        await evacuate(harness, "a")
        answers = [await harness.call("/once/x") for _ in range(12)]
        assert {one.status for one in answers} == {200} and count_arrivals(harness) == [0, 12]
        assert not ended
        await end_evacuation(harness, "a")
        for _ in range(12):
            await harness.call("/once/x")
        assert count_arrivals(harness)[0] > 0 and ended == [("a", True)]


@pytest.mark.parametrize("path", ["/once/x", "/whole/x", "/stream/x"])
@in_loop
async def test_request_is_refused_at_once_if_all_data_centres_are_evacuated(path):
    """Guards against requests that are held until their deadline, and against useless retries."""
    async with run_gateway(answer_ok, answer_ok, data_centres=("a", "b")) as harness:
        await evacuate(harness, "a")
        await evacuate(harness, "b")
        answer = await harness.call(path)
        assert answer.status == 503 and count_arrivals(harness) == [0, 0]
        assert float(answer.headers["retry-after"]) >= CLOSED_RETRY_MS / 1_000
        metrics = harness.gateway.metrics.render().decode()
        assert "lentilwell_gateway_data_centres_evacuated 2.0" in metrics
        assert (
            'lentilwell_gateway_closed_refusals_total{reason="evacuated",service="s"} 1.0'
            in metrics
        )


@in_loop
async def test_unknown_data_centre_and_odd_rows_leave_everything_else_as_it_is():
    async with run_gateway(answer_ok, data_centres=("a",)) as harness:
        await evacuate(harness, "nowhere")
        rows = [Entry(key, None) for key in ("evacuate/", "evacuate", "odd")]
        catalog = replace(PATIENT, version=2)
        harness.catalog.put(*rows, Entry("config", catalog))
        await wait_until(lambda: harness.gateway.fleet.catalog is catalog)
        assert (await harness.call("/once/x")).status == 200
        assert harness.gateway.fleet.evacuations.evacuated == {"nowhere"}


@in_loop
async def test_evacuation_counts_as_a_change_of_the_table_for_other_instances():
    """Guards against instances that are behind and do not check the store."""
    async with run_gateway(answer_ok, data_centres="a") as harness:
        follower = harness.gateway._catalog_follower
        for change in (evacuate, end_evacuation):
            await change(harness, "a")
            await wait_until(lambda: follower.report.changed.version == harness.catalog.version)


@in_loop
async def test_request_in_progress_may_finish_and_is_not_repeated():
    released = asyncio.Event()

    async def answer_later(arrival):
        await released.wait()
        await arrival.answer(body=b"hello")

    async with run_gateway(answer_later, data_centres=("a",)) as harness:
        pending = asyncio.create_task(harness.call("/once/x"))
        await wait_until(lambda: harness.arrivals)
        await evacuate(harness, "a")
        released.set()
        assert (await pending).status == 200 and count_arrivals(harness) == [1]


@in_loop
async def test_request_beside_a_silent_upstream_goes_to_another_data_centre():
    """Guards against hedged attempts in an evacuated data centre."""
    async with run_gateway(stay_silent, answer_ok, answer_ok, data_centres="aab") as harness:
        back_off(harness, "u1", LONG_S * 1_000)
        back_off(harness, "u2", LONG_S * 1_000)
        pending = asyncio.create_task(harness.call("/whole/x", method="GET"))
        await wait_until(lambda: harness.arrivals)
        await evacuate(harness, "a")
        end_backoffs(harness)
        assert (await pending).status == 200
        assert count_arrivals(harness) == [1, 0, 1]


@in_loop
async def test_broken_stream_is_resumed_in_another_data_centre():
    first_read = asyncio.Event()

    async def break_when_evacuated(arrival):
        await first_read.wait()
        await stream_and_break(arrival)

    async with run_gateway(
        break_when_evacuated, stream_whole, stream_whole, data_centres="bac"
    ) as harness:
        back_off(harness, "u1", LONG_S * 1_000)
        back_off(harness, "u2", LONG_S * 1_000)
        pending = asyncio.create_task(harness.call("/stream/x"))
        await wait_until(lambda: harness.arrivals)
        await evacuate(harness, "a")
        end_backoffs(harness)
        first_read.set()
        answer = await pending
        assert list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert count_arrivals(harness) == [1, 0, 1]


@in_loop
async def test_deferred_request_is_placed_again_at_once(monkeypatch):
    def defer_in_a(choice, *_):
        return LONG_S * 1_000 if choice.upstream.data_centre == "a" else 0

    monkeypatch.setattr("lentilwell.gateway._placer.find_deferral_ms", defer_in_a)
    scripts = [serve_engine] * 4
    async with run_gateway(*scripts, catalog=with_engines(9_000), data_centres="aabb") as harness:
        harness.gateway.fleet.policy = "least_cost"
        back_off(harness, "u2", LONG_S * 1_000)
        back_off(harness, "u3", LONG_S * 1_000)
        pending = asyncio.create_task(harness.call("/stream/x", **TWO_ENGINES))
        [exchange] = await wait_for_exchange(harness)
        await wait_until(lambda: exchange.placer.waits_for("a"))
        assert not exchange.placer.waits_for("b")
        end_backoffs(harness)
        await evacuate(harness, "a")
        assert list_event_ids((await pending).body) == [1, 2, 3, 4, 5]
        assert count_arrivals(harness)[:2] == [0, 0]


@pytest.mark.parametrize("asked", [False, True], ids=["asking", "waiting"])
@in_loop
async def test_request_that_waits_for_a_permit_is_placed_again_at_once(asked):
    async with run_gateway(answer_ok, answer_ok, data_centres="ab", catalog=PATIENT) as harness:
        permits = harness.gateway.permits

        async def acquire(upstream, *_):
            if not asked:
                await asyncio.sleep(LONG_S)
            return Permit(0.5, harness.gateway.clock.now() + LONG_S * 1_000)

        permits.acquire = acquire
        limit(harness, "u0")
        back_off(harness, "u1", LONG_S * 1_000)
        answer = await call_while_waiting(harness, ends_backoffs=True)
        assert answer.status == 200 and count_arrivals(harness) == [0, 1]


@in_loop
async def test_request_that_waits_for_a_backoff_is_refused_once_nothing_is_left_to_wait_for():
    """Guards against a wait that runs out although its upstream may not be used at its end."""
    async with run_gateway(answer_ok, data_centres="a", catalog=PATIENT) as harness:
        back_off(harness, "u0", 20_000)
        answer = await call_while_waiting(harness, ends_backoffs=False)
        assert answer.status == 503 and count_arrivals(harness) == [0]


def count_orders(upstream, operation):
    bodies = [one.body for one in upstream.arrivals if one.line.startswith(b"POST /order ")]
    return sum(json.loads(body)["operation"] == operation for body in bodies)


@in_loop
async def test_request_that_waits_for_a_lease_is_placed_again_and_its_leases_are_released():
    """Guards against parts of prompts that are sent to an evacuated data centre."""

    async def grant_in_b(arrival):
        if arrival.upstream in ("u0", "u1") and b"reserve" in arrival.body:
            await stay_silent(arrival)
        else:
            await serve_engine(arrival)

    scripts = [grant_in_b] * 5
    async with run_gateway(*scripts, catalog=with_engines(9_000), data_centres="aabbb") as harness:
        harness.gateway.fleet.policy = "least_cost"
        back_off(harness, "u3", LONG_S * 1_000)
        back_off(harness, "u4", LONG_S * 1_000)
        pending = asyncio.create_task(harness.call("/stream/x", **THREE_ENGINES))
        silent = harness.upstreams[:2]
        await wait_until(lambda: sum(count_orders(one, "reserve") for one in silent))
        end_backoffs(harness)
        await evacuate(harness, "a")
        reserved = [count_orders(one, "reserve") for one in silent]
        assert list_event_ids((await pending).body) == [1, 2, 3, 4, 5]
        await harness.gateway.leases.wait_for_releases()
        assert [count_orders(one, "reserve") for one in silent] == reserved
        assert all(
            count_orders(one, "release") > 0 for one in silent if count_orders(one, "reserve")
        )
        [request] = [one for one in harness.arrivals if one.line.startswith(b"POST /stream")]
        assert request.upstream in ("u2", "u3", "u4")
        helpers = request.headers["helpers"]
        addresses = harness.gateway.fleet.directory.listed
        assert all(addresses[name].address not in helpers for name in ("u0", "u1"))


async def reserve_in_an_evacuated_data_centre():
    engines, helpers, leases = make_engines([[], [], []])
    used = await leases.reserve(helpers)
    leases.may_reserve = lambda upstream: upstream.name != "u1"
    with pytest.raises(ReservationFailed) as caught:
        await leases.reserve(helpers)
    await leases.wait_for_releases()
    await asyncio.sleep(10)
    renewed = [len(engine.list_live()) for engine in engines]
    used.release()
    await leases.wait_for_releases()
    return caught.value.upstream, renewed, [engine.list_live() for engine in engines]


def test_no_new_lease_is_made_there_while_renewals_and_releases_go_on():
    found = run_in_simulated_time(reserve_in_an_evacuated_data_centre())
    assert found == ("u1", [1, 1, 1], [[], [], []])


@in_loop
async def test_choice_is_not_used_once_its_upstream_or_a_helper_is_evacuated():
    async with run_gateway(answer_ok, data_centres="a") as harness:
        fleet = harness.gateway.fleet
        one, other = (Upstream(name, "s", "x:1", name, 8, False) for name in "ab")
        choices = [Choice(one), Choice(other, (Helper(one),)), Choice(other)]
        await evacuate(harness, "a")
        assert [fleet.accepts_work(choice) for choice in choices] == [False, False, True]


@in_loop
async def test_request_that_connects_meanwhile_is_not_sent():
    """Guards against a first send after the choice was made."""
    async with run_gateway(answer_ok, answer_ok, data_centres="ab") as harness:
        pool, blocked = harness.gateway.connections, asyncio.Event()
        acquire = pool.acquire
        back_off(harness, "u1", LONG_S * 1_000)

        async def acquire_slowly(address, fresh):
            blocked.set()
            connection = await acquire(address, fresh)
            await asyncio.sleep(0.05)
            return connection

        pool.acquire = acquire_slowly
        pending = asyncio.create_task(harness.call("/once/x"))
        await blocked.wait()
        end_backoffs(harness)
        await evacuate(harness, "a")
        assert (await pending).status == 200 and count_arrivals(harness) == [0, 1]


@in_loop
async def test_unreachable_upstream_is_probed_only_after_the_evacuation():
    async with run_gateway(answer_ok, answer_ok, data_centres="ab") as harness:
        await evacuate(harness, "a")
        fleet = harness.gateway.fleet
        fleet.ejection.record_unreachable("u0", fleet.clock.now())
        fleet.ejection.record_unreachable("u1", fleet.clock.now())
        await wait_until(lambda: not fleet.ejection.is_unreachable("u1"))
        assert fleet.ejection.is_unreachable("u0") and not harness.upstreams[0].connections
        await end_evacuation(harness, "a")
        await wait_until(lambda: not fleet.ejection.is_unreachable("u0"))


@in_loop
async def test_owner_grants_no_permit_for_an_evacuated_upstream():
    """Guards against an instance that does not know of the evacuation yet."""
    async with run_gateway(answer_ok, data_centres="a") as harness:
        limit(harness, "u0")
        permits = harness.gateway.permits
        ask = PermitAsk(1, LimitReport(Incarnation("u0", 0), 0.5, 1), OwnerRole.PRIMARY, 5_000)
        await evacuate(harness, "a")
        upstream = harness.gateway.fleet.directory.listed["u0"]
        assert not permits._decide(ask, upstream).granted
        await end_evacuation(harness, "a")
        assert permits._decide(ask, upstream).granted
