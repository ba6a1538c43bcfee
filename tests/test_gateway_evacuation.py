"""A gateway between callers and scripted upstreams while a data centre is evacuated."""

import asyncio

import pytest

from lentilwell.gateway._leases import ReservationFailed
from lentilwell.gateway._permit_messages import PermitAsk
from lentilwell.gateway._permit_owners import OwnerRole
from lentilwell.gateway._permits import Permit
from lentilwell.gateway._rate_limits import LimitReport
from lentilwell.gateway._upstreams import Incarnation
from lentilwell.gateway.evacuation import CLOSED_RETRY_MS
from standins.simulated_time import run_in_simulated_time
from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import (
    answer_ok,
    in_loop,
    stay_silent,
    stream_and_break,
    stream_whole,
    with_engines,
)
from tests.test_gateway_leases import make_engines

# Far longer than a request may take whose wait is ended by an evacuation.
LONG_MS = 60_000
# Prompts that need the memory of two and of three engines.
TWO_ENGINES = {"Token_Count": "400000,100", "Deadline_Ms": "30000"}
THREE_ENGINES = {"Token_Count": "700000,100", "Deadline_Ms": "30000"}
PATIENT = with_route("whole", timeout_ms=LONG_MS)


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.002)


async def evacuate(harness, data_centre, ends=False):
    """Begin or end an evacuation, and wait until the gateway knows."""
    (harness.end_evacuation if ends else harness.evacuate)(data_centre)
    evacuations = harness.gateway.fleet.evacuations
    await wait_until(lambda: (data_centre in evacuations.evacuated) is not ends)


def back_off(harness, *names):
    fleet = harness.gateway.fleet
    for name in names:
        fleet.availability.record_backoff(Incarnation(name, 0), LONG_MS // 3, fleet.clock.now())


async def evacuate_while_waiting(
    harness, *names, path="/whole/x", until=None, released=None, **headers
):
    """Send a request, evacuate a once it waits there, and return its answer.

    The upstreams ``names`` have a backoff until then. If ``released`` is given, the evacuation
    begins once the request has arrived at an upstream, and the event is set after that.
    """
    back_off(harness, *names)
    headers.setdefault("Deadline_Ms", str(LONG_MS))
    pending = asyncio.create_task(harness.call(path, **headers))
    await wait_until(lambda: harness.gateway._exchanges)
    [exchange] = harness.gateway._exchanges
    if released is None:
        await wait_until(until or (lambda: any(one.waits_for("a") for one in exchange._tasks)))
    else:
        await wait_until(lambda: harness.arrivals)
    if names:
        harness.gateway.fleet.availability._backoff_until.clear()
    await evacuate(harness, "a")
    if released is not None:
        released.set()
    return await pending


async def serve_engine(arrival):
    """Grant every order about memory, and answer every request."""
    if arrival.line.startswith(b"POST /order "):
        await arrival.write(b'HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\n{"free":1}')
    else:
        await stream_whole(arrival)


def count_arrivals(harness):
    return [len(upstream.arrivals) for upstream in harness.upstreams]


@in_loop
async def test_evacuated_data_centre_gets_nothing_until_the_row_is_removed():
    async with run_gateway(answer_ok, answer_ok, data_centres="ab") as harness:
        fleet, ended = harness.gateway.fleet, []
        fleet.on_evacuation_end = lambda name, now: ended.append((name, now <= fleet.clock.now()))
        await evacuate(harness, "a")
        answers = [await harness.call("/once/x") for _ in range(12)]
        assert {one.status for one in answers} == {200} and count_arrivals(harness) == [0, 12]
        # Instances that are behind check the store, since the change of the table is reported.
        follower = harness.gateway.tables.catalog
        await wait_until(lambda: follower.report.changed.version == harness.catalog.version)
        assert not ended
        await evacuate(harness, "a", ends=True)
        answers = [await harness.call("/once/x") for _ in range(12)]
        assert count_arrivals(harness)[0] > 0 and ended == [("a", True)]


@pytest.mark.parametrize("path", ["/once/x", "/whole/x", "/stream/x"])
@in_loop
async def test_request_is_refused_at_once_if_all_data_centres_are_evacuated(path):
    """Guards against requests that are held until their deadline, and against useless retries."""
    async with run_gateway(answer_ok, answer_ok, data_centres="ab") as harness:
        await evacuate(harness, "a")
        await evacuate(harness, "b")
        answer = await harness.call(path)
        assert answer.status == 503 and count_arrivals(harness) == [0, 0]
        assert float(answer.headers["retry-after"]) >= CLOSED_RETRY_MS / 1_000
        metrics = harness.gateway.metrics.render().decode()
        assert "lentilwell_gateway_data_centres_evacuated 2.0" in metrics
        assert 'closed_refusals_total{reason="evacuated",service="s"} 1.0' in metrics


def begin_after(released, script):
    async def run(arrival):
        await released.wait()
        await script(arrival)

    return run


@pytest.mark.parametrize(
    ("path", "first", "other"),
    [("/whole/x", stay_silent, answer_ok), ("/stream/x", stream_and_break, stream_whole)],
    ids=["silent", "broken"],
)
@in_loop
async def test_request_in_progress_there_is_continued_only_in_another_data_centre(
    path, first, other
):
    """Guards against hedged attempts and resumed streams in an evacuated data centre."""
    scripts = [begin_after(released := asyncio.Event(), first), other, other]
    async with run_gateway(*scripts, data_centres="aab") as harness:
        answer = await evacuate_while_waiting(harness, "u1", "u2", path=path, released=released)
        assert answer.complete and count_arrivals(harness) == [1, 0, 1]


@in_loop
async def test_request_in_progress_may_finish_and_is_not_repeated():
    released = asyncio.Event()
    async with run_gateway(begin_after(released, answer_ok), data_centres="a") as harness:
        answer = await evacuate_while_waiting(harness, path="/once/x", released=released)
        assert answer.status == 200 and count_arrivals(harness) == [1]


@in_loop
async def test_deferred_request_is_placed_again_at_once(monkeypatch):
    def defer_in_a(choice, *_):
        return LONG_MS if choice.upstream.data_centre == "a" else 0

    monkeypatch.setattr("lentilwell.gateway._placer.find_deferral_ms", defer_in_a)
    scripts, catalog = [serve_engine] * 4, with_engines(9_000)
    async with run_gateway(*scripts, catalog=catalog, data_centres="aabb") as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await evacuate_while_waiting(harness, "u2", "u3", path="/stream/x", **TWO_ENGINES)
        assert answer.status == 200 and count_arrivals(harness)[:2] == [0, 0]


@pytest.mark.parametrize("asked", [False, True], ids=["asking", "waiting"])
@in_loop
async def test_request_that_waits_for_a_permit_is_placed_again_at_once(asked):
    async with run_gateway(answer_ok, answer_ok, data_centres="ab", catalog=PATIENT) as harness:

        async def acquire(*_):
            if not asked:
                await asyncio.sleep(LONG_MS / 1_000)
            return Permit(0.5, harness.gateway.clock.now() + LONG_MS)

        harness.gateway.permits.acquire = acquire
        harness.gateway.fleet.rate_limits.record_named(Incarnation("u0", 0), 0.5, 1)
        answer = await evacuate_while_waiting(harness, "u1")
        assert answer.status == 200 and count_arrivals(harness) == [0, 1]


@in_loop
async def test_request_that_waits_for_a_backoff_is_refused_once_nothing_is_left_to_wait_for():
    """Guards against a wait that runs out although its upstream may not be used at its end."""
    async with run_gateway(answer_ok, data_centres="a", catalog=PATIENT) as harness:
        back_off(harness, "u0")
        answer = await evacuate_while_waiting(harness)
        assert answer.status == 503 and count_arrivals(harness) == [0]


@in_loop
async def test_request_that_waits_for_a_lease_is_placed_again_and_its_leases_are_released():
    """Guards against parts of prompts that are sent to an evacuated data centre."""

    async def grant_in_b(arrival):
        in_a = arrival.upstream in ("u0", "u1")
        await (stay_silent if in_a and b"reserve" in arrival.body else serve_engine)(arrival)

    def count_orders(operation):
        return [
            sum(operation in one.body for one in upstream.arrivals)
            for upstream in harness.upstreams[:2]
        ]

    scripts, catalog = [grant_in_b] * 5, with_engines(9_000)
    async with run_gateway(*scripts, catalog=catalog, data_centres="aabbb") as harness:
        harness.gateway.fleet.policy = "least_cost"
        answer = await evacuate_while_waiting(
            harness,
            "u3",
            "u4",
            path="/stream/x",
            until=lambda: any(count_orders(b"reserve")),
            **THREE_ENGINES,
        )
        await harness.gateway.leases.wait_for_releases()
        [request] = [one for one in harness.arrivals if one.line.startswith(b"POST /stream")]
        listed = harness.gateway.fleet.directory.listed
        assert answer.status == 200 and request.upstream not in ("u0", "u1")
        assert all(listed[name].address not in request.headers["helpers"] for name in ("u0", "u1"))
        reserved, released = count_orders(b"reserve"), count_orders(b"release")
        assert all(done or not begun for begun, done in zip(reserved, released, strict=True))


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
async def test_unreachable_upstream_is_probed_only_after_the_evacuation():
    async with run_gateway(answer_ok, answer_ok, data_centres="ab") as harness:
        await evacuate(harness, "a")
        ejection = harness.gateway.fleet.ejection
        for name in ("u0", "u1"):
            ejection.record_unreachable(name, harness.gateway.clock.now())
        await wait_until(lambda: not ejection.is_unreachable("u1"))
        assert ejection.is_unreachable("u0") and not harness.upstreams[0].connections
        await evacuate(harness, "a", ends=True)
        await wait_until(lambda: not ejection.is_unreachable("u0"))


@in_loop
async def test_owner_grants_no_permit_for_an_evacuated_upstream():
    """Guards against an instance that does not know of the evacuation yet."""
    async with run_gateway(answer_ok, data_centres="a") as harness:
        limit = LimitReport(Incarnation("u0", 0), 0.5, 1)
        harness.gateway.fleet.rate_limits.update(limit)
        ask = PermitAsk(1, limit, OwnerRole.PRIMARY, 5_000)
        upstream = harness.gateway.fleet.directory.listed["u0"]
        for evacuated in (True, False):
            await evacuate(harness, "a", ends=not evacuated)
            assert harness.gateway.permits._decide(ask, upstream).granted is not evacuated
