"""Requests through a running gateway: what upstreams get and what callers get back."""

import asyncio
import functools
import json
from dataclasses import replace

import pytest

from lentilwell.gateway import Entry, Limits, ServiceSpec
from lentilwell.gateway._books import Job
from standins.batch import ENGINE
from tests.gateway_world import CATALOG, KEY, Arrival, read_answer, run_world, with_route


def in_loop(test):
    """Run an asynchronous test."""

    @functools.wraps(test)
    def run(*arguments, **named):
        asyncio.run(test(*arguments, **named))

    return run


async def answer_ok(arrival):
    await arrival.answer(body=b"hello")


async def say_not_run(arrival):
    await arrival.answer(503, signed=False, Not_Run=1)


async def say_misdirected(arrival):
    await arrival.answer(421, signed=False, Instance_Id="other")


async def reset(arrival):
    arrival.reset()


async def stay_silent(arrival):
    await arrival.reader.read()
    arrival.cut.set()


async def fail(arrival):
    await arrival.answer(500, b"oops")


async def truncate(arrival):
    await arrival.answer(framing="none", body=b"hel", Content_Length=5)
    arrival.reset()


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
    await arrival.write_events(1, 2, torn=b"id: 3\nda")
    arrival.reset()


def ids(body):
    return [int(row[4:]) for row in body.decode().split("\n") if row.startswith("id: ")]


@in_loop
async def test_request_and_answer_pass_unchanged():
    async with run_world(answer_ok) as world:
        answer = await world.call(
            "/once/x?a=1", body=b"payload", X_Own="1", X_Drop="2", Connection="x-drop"
        )
        assert (answer.status, answer.body) == (200, b"hello")
        assert answer.headers["server-stamp"] == "stamp-u0"
        [arrival] = world.arrivals
        assert arrival.line == b"POST /once/x?a=1 HTTP/1.1"
        assert arrival.body == b"payload"
        assert arrival.headers["request-id"] == "id1"
        assert arrival.headers["x-own"] == "1" and "x-drop" not in arrival.headers


@in_loop
async def test_headers_that_the_gateway_sets_cannot_be_forged():
    forged = {"Tenant": "green", "Expect_Instance": "u9", "Request_Priority": "0", "Helpers": "x:1"}
    async with run_world(answer_ok) as world:
        await world.call("/once/x", **forged)
        headers = world.arrivals[0].headers
        assert headers["tenant"] == "blue" and headers["expect-instance"] == "u0"
        assert headers["request-priority"] == "2"
        assert "helpers" not in headers and "credential" not in headers
        assert 0 < int(headers["deadline-ms"]) <= 3_000


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/once/x", {"Host": "b.example"}, 404),
        ("/once/x", {"Credential": "wrong"}, 401),
        ("/once/x", {"Credential": None}, 401),
        ("/once/x", {"Deadline_Ms": "soon"}, 400),
    ],
)
@in_loop
async def test_improper_requests_reach_no_upstream(path, headers, status):
    async with run_world(answer_ok) as world:
        assert (await world.call(path, **headers)).status == status
        assert not world.arrivals


@in_loop
async def test_public_route_needs_no_key():
    async with run_world(answer_ok, catalog=with_route("once", public=True)) as world:
        assert (await world.call("/once/x", Credential=None)).status == 200
        assert "tenant" not in world.arrivals[0].headers


@in_loop
async def test_without_a_configuration_callers_are_told_to_come_back():
    async with run_world(answer_ok, catalog=None) as world:
        answer = await world.call("/once/x")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        assert not world.gateway.ready


@pytest.mark.parametrize(
    "script", [reset, truncate, answer_unsigned, answer_encoded, answer_for_another, answer_garbage]
)
@in_loop
async def test_what_may_have_run_is_not_sent_again_unless_it_may_repeat(script):
    async with run_world(script, script) as world:
        assert (await world.call("/once/x")).status == 502
        assert len(world.arrivals) == 1
        answer = await world.call("/whole/x", method="GET")
        assert answer.status == 502 and answer.body != b"theirs"
        assert len(world.arrivals) == 3


@pytest.mark.parametrize("script", [reset, truncate, answer_unsigned, answer_garbage, fail])
@in_loop
async def test_idempotent_request_is_served_by_the_second_upstream(script):
    async with run_world(script, answer_ok) as world:
        for _ in range(3):
            answer = await world.call("/whole/x", method="GET")
            assert (answer.status, answer.body) == (200, b"hello")


@pytest.mark.parametrize("script", [say_not_run, say_misdirected])
@in_loop
async def test_refused_request_goes_elsewhere_whatever_its_kind(script):
    async with run_world(script, answer_ok) as world:
        for _ in range(3):
            assert (await world.call("/once/x")).status == 200


@pytest.mark.parametrize("script", [say_not_run, say_misdirected])
@in_loop
async def test_request_refused_everywhere_is_said_not_to_have_run(script):
    async with run_world(script, script) as world:
        answer = await world.call("/once/x")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        assert "server-stamp" not in answer.headers


@in_loop
async def test_one_upstream_at_most_where_the_route_says_so():
    catalog = with_route("once", most_upstreams=1)
    async with run_world(say_not_run, say_not_run, catalog=catalog) as world:
        assert (await world.call("/once/x")).status == 503
        assert len(world.arrivals) == 1


@in_loop
async def test_upstream_that_refuses_connections_is_passed_over():
    async with run_world(None, None, answer_ok) as world:
        for _ in range(4):
            assert (await world.call("/once/x")).status == 200


@in_loop
async def test_no_upstream_at_all_is_said_at_once():
    async with run_world() as world:
        answer = await world.call("/once/x")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0


@in_loop
async def test_failure_of_an_upstream_passes_with_its_signature():
    async with run_world(fail, fail) as world:
        for path in ("/once/x", "/whole/x"):
            answer = await world.call(path)
            assert (answer.status, answer.body) == (500, b"oops")
            assert answer.headers["server-stamp"].startswith("stamp-")


@in_loop
async def test_bytes_after_an_answer_belong_to_nobody():
    async with run_world(answer_twice) as world:
        connection = await world.connect()
        for _ in range(4):
            answer = await world.call("/whole/x", method="GET", connection=connection)
            assert answer.status in (200, 502) and answer.body != b"hellohello"
            await asyncio.sleep(0.02)
        assert world.upstreams[0].connections >= 4


@in_loop
async def test_connections_are_kept_on_both_sides():
    async with run_world(answer_ok) as world:
        connection = await world.connect()
        for _ in range(5):
            assert (await world.call("/whole/x", connection=connection)).status == 200
        assert world.upstreams[0].connections == 1


@in_loop
async def test_call_that_may_not_repeat_gets_a_fresh_connection():
    async with run_world(answer_ok) as world:
        for _ in range(3):
            await world.call("/once/x")
        assert world.upstreams[0].connections == 3


@in_loop
async def test_route_timeout_ends_the_wait():
    async with run_world(stay_silent, catalog=with_route("once", timeout_ms=200)) as world:
        begin = asyncio.get_running_loop().time()
        answer = await world.call("/once/x")
        assert answer.status == 504
        assert asyncio.get_running_loop().time() - begin < 0.7
        assert int(world.arrivals[0].headers["deadline-ms"]) <= 200


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@in_loop
async def test_caller_that_leaves_ends_the_work_at_the_upstream(path):
    async with run_world(stay_silent) as world:
        _, writer = await world.connect()
        writer.write(world.format(path))
        while not world.arrivals:
            await asyncio.sleep(0.005)
        writer.close()
        await asyncio.wait_for(world.arrivals[0].cut.wait(), 0.5)


@in_loop
async def test_broken_stream_goes_on_elsewhere_without_a_seam():
    async with run_world(stream_and_break, stream_and_break, stream_whole) as world:
        world.upstreams[1].script = stream_whole
        seen = []
        for _ in range(4):
            answer = await world.call("/stream/x")
            seen.append(answer)
            assert answer.whole and ids(answer.body) == [1, 2, 3, 4, 5]
        resumed = [a for a in world.arrivals if "last-event-id" in a.headers]
        assert resumed and all(a.headers["last-event-id"] == "2" for a in resumed)
        stamps = {answer.headers["server-stamp"] for answer in seen}
        assert "stamp-u0" in stamps


@in_loop
async def test_stream_that_cannot_go_on_does_not_look_complete():
    async with run_world(stream_and_break) as world:
        answer = await world.call("/stream/x")
        assert not answer.whole and ids(answer.body) == [1, 2]


@in_loop
async def test_callers_own_resume_is_passed_on():
    async with run_world(stream_whole) as world:
        answer = await world.call("/stream/x", Last_Event_Id="3")
        assert ids(answer.body) == [4, 5]
        assert world.arrivals[0].headers["last-event-id"] == "3"


@in_loop
async def test_stream_that_may_not_resume_is_sent_once():
    async with run_world(
        stream_and_break,
        stream_and_break,
        catalog=with_route("stream", repeat=CATALOG.routes[0].repeat),
    ) as world:
        assert not (await world.call("/stream/x")).whole
        assert len(world.arrivals) == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/y HTTP/1.1\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n"
        b"Content-Length: 6\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nBad Name: 1\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
@in_loop
async def test_ambiguous_requests_are_rejected_and_closed(raw):
    async with run_world(answer_ok) as world:
        reader, writer = await world.connect()
        writer.write(raw)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        assert 400 <= answer.status < 500
        assert await asyncio.wait_for(reader.read(), 2) == b""
        assert not world.arrivals
        writer.close()


@in_loop
async def test_body_in_chunks_arrives_whole():
    async with run_world(answer_ok) as world:
        reader, writer = await world.connect()
        head = world.format("/once/x", Transfer_Encoding="chunked")
        writer.write(head + b"3\r\nabc\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        assert (await read_answer(reader)).status == 200
        assert world.arrivals[0].body == b"abcde"
        writer.close()


@pytest.mark.parametrize(
    ("limits", "raw", "status"),
    [
        (Limits(body_bytes=10), b"Content-Length: 11\r\n\r\nhello hello", 413),
        (Limits(header_bytes=200), b"X-Long: " + b"x" * 500 + b"\r\n\r\n", 431),
        (Limits(header_timeout_ms=100), b"X-Slow: ", 408),
    ],
)
@in_loop
async def test_limits_have_their_own_status(limits, raw, status):
    async with run_world(answer_ok, catalog=replace(CATALOG, limits=limits)) as world:
        reader, writer = await world.connect()
        head = f"POST /once/x HTTP/1.1\r\nHost: a.example\r\nCredential: {KEY}\r\n"
        writer.write(head.encode() + raw)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        assert answer.status == status and not world.arrivals
        writer.close()


@in_loop
async def test_pipelined_requests_are_answered_in_order():
    async with run_world(answer_ok) as world:
        reader, writer = await world.connect()
        writer.write(world.format("/whole/a") + world.format("/whole/b") + world.format("/none/"))
        statuses = [(await asyncio.wait_for(read_answer(reader), 2)).status for _ in range(3)]
        assert statuses == [200, 200, 404]
        writer.close()


@in_loop
async def test_early_answer_is_passed_on_and_its_connection_dropped():
    async def answer_early(arrival):
        await arrival.answer(413, b"too long")

    async with run_world(answer_early) as world:
        upstream = world.upstreams[0]

        async def read_head_only(reader, writer, number):
            head = await reader.readuntil(b"\r\n\r\n")
            rows = head[:-4].decode().split("\r\n")[1:]
            headers = {n.lower(): v.strip() for n, _, v in (r.partition(":") for r in rows)}
            if len(upstream.arrivals) == number:
                await asyncio.sleep(10)
            return Arrival("u0", b"", headers, b"", writer, reader, number)

        upstream._read = read_head_only
        for _ in range(2):
            answer = await world.call("/whole/x", body=b"x" * 3_000_000)
            assert answer.status == 413


@in_loop
async def test_planned_stop_serves_what_is_open_and_closes_between_requests():
    async def answer_slowly(arrival):
        await asyncio.sleep(0.3)
        await arrival.answer(body=b"hello")

    async with run_world(answer_slowly) as world:
        connection = await world.connect()
        pending = asyncio.ensure_future(world.call("/once/x", connection=connection))
        await asyncio.sleep(0.1)
        world.gateway.drain()
        assert not world.gateway.ready
        answer = await pending
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert (await world.call("/once/x")).status == 200


@in_loop
async def test_newer_configuration_is_in_force_and_an_older_one_never_again():
    async with run_world(answer_ok) as world:
        newer = replace(CATALOG, version=5, routes=CATALOG.routes[1:])
        for catalog in (newer, CATALOG):
            world.catalog.put(Entry("config", catalog))
            await asyncio.sleep(0.05)
            assert (await world.call("/once/x")).status == 404
            assert (await world.call("/whole/x")).status == 200


async def stream_and_fall_silent(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await stay_silent(arrival)


@pytest.mark.parametrize("script", [stay_silent, stream_and_fall_silent])
@in_loop
async def test_silent_stream_goes_on_elsewhere_before_its_caller_gives_up(script):
    async with run_world(script, stream_whole) as world:
        for _ in range(2):
            answer = await asyncio.wait_for(world.call("/stream/x"), 2)
            assert answer.whole and ids(answer.body) == [1, 2, 3, 4, 5]


@in_loop
async def test_silent_look_up_is_taken_elsewhere():
    async with run_world(stay_silent, answer_ok) as world:
        for _ in range(2):
            assert (await asyncio.wait_for(world.call("/whole/x"), 2)).status == 200


@in_loop
async def test_silence_is_no_reason_to_repeat_what_may_run_once():
    async with run_world(
        stay_silent, stay_silent, catalog=with_route("once", timeout_ms=1_500)
    ) as world:
        assert (await world.call("/once/x")).status == 504
        assert len(world.arrivals) == 1


@in_loop
async def test_misdirected_upstream_is_taken_off_the_list():
    async with run_world(say_misdirected, answer_ok) as world:
        for _ in range(4):
            assert (await world.call("/once/x")).status == 200
        assert len(world.upstreams[0].arrivals) <= 1


@in_loop
async def test_unreachable_upstream_is_let_back_by_a_probe():
    async with run_world(answer_ok) as world:
        upstream = world.upstreams[0]
        port = upstream.server.sockets[0].getsockname()[1]
        upstream.server.close()
        await upstream.server.wait_closed()
        assert (await world.call("/once/x")).status == 503
        assert world.gateway.fleet.ejection.is_unreachable("u0")
        upstream.server = await asyncio.start_server(upstream._serve, "127.0.0.1", port)
        await asyncio.sleep(0.7)
        assert not world.gateway.fleet.ejection.is_unreachable("u0")
        assert (await world.call("/once/x")).status == 200


def with_engines(objective_ms=400):
    """Return a configuration whose streams are spread over engines."""
    spec = ServiceSpec("s", "/health", 100, ENGINE)
    stream = replace(CATALOG.routes[2], objective_ms=objective_ms, timeout_ms=30_000)
    routes = (*CATALOG.routes[:2], stream)
    return replace(CATALOG, services={"s": spec}, routes=routes)


@in_loop
async def test_helper_at_fault_is_left_out_and_the_first_upstream_asked_again():
    async def blame_first_helper(arrival):
        helpers = arrival.headers.get("helpers", "").split(",")
        if dead in helpers:
            await arrival.answer(503, signed=False, Not_Run=1, At_Server=dead)
        else:
            await stream_whole(arrival)

    async with run_world(*[blame_first_helper] * 4, catalog=with_engines()) as world:
        world.gateway.fleet.policy = "least_cost"
        dead = world.gateway.fleet.directory.listed["u3"].address
        answer = await world.call("/stream/x", Token_Count="200000,100")
        assert answer.whole and ids(answer.body) == [1, 2, 3, 4, 5]
        sent = [arrival.headers.get("helpers", "").split(",") for arrival in world.arrivals]
        assert dead in sent[0] and len(sent) == 2
        assert dead not in sent[1]
        assert world.arrivals[0].upstream == world.arrivals[1].upstream


@in_loop
async def test_memory_is_set_aside_and_given_back_for_a_prompt_larger_than_one_engine():
    orders = []

    async def serve(arrival):
        if not arrival.line.startswith(b"POST /order "):
            await asyncio.sleep(1.3)
            await stream_whole(arrival)
            return
        order = json.loads(arrival.body)
        orders.append((order["operation"], order["id"], order.get("tokens")))
        await arrival.answer(200, b"{}")

    async with run_world(*[serve] * 4, catalog=with_engines(9_000)) as world:
        world.gateway.fleet.policy = "least_cost"
        answer = await world.call("/stream/x", Token_Count="700000,100", Deadline_Ms="30000")
        assert answer.status == 200 and answer.whole
        await world.gateway.leases.settle()
        [request] = [a for a in world.arrivals if not a.line.startswith(b"POST /order")]
        helpers = request.headers["helpers"].split(",")
        tickets = [entry.split("/")[1] for entry in helpers if "/" in entry]
        assert len(helpers) == 3 and len(set(tickets)) == len(tickets) == 2
        kept = {name: tokens for operation, name, tokens in orders if operation == "reserve"}
        assert set(kept) == set(tickets)
        assert sum(kept.values()) >= 700_100 - ENGINE.memory_tokens
        for ticket in tickets:
            operations = [operation for operation, name, _ in orders if name == ticket]
            assert operations[0] == "reserve" and operations[-1] == "release"
            assert operations.count("reserve") >= 2 and operations.count("release") == 1


@in_loop
async def test_memory_that_is_not_granted_everywhere_is_given_back_at_once():
    orders = []

    async def refuse_one(arrival):
        order = json.loads(arrival.body)
        orders.append((order["operation"], order["id"]))
        full = arrival.upstream == "u2" and order["operation"] == "reserve"
        await arrival.answer(409 if full else 200, b"{}")

    async with run_world(*[refuse_one] * 3, catalog=with_engines(9_000)) as world:
        world.gateway.fleet.policy = "least_cost"
        answer = await world.call("/stream/x", Token_Count="800000,100", Deadline_Ms="30000")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        await world.gateway.leases.settle()
        reserved = {name for operation, name in orders if operation == "reserve"}
        assert {name for operation, name in orders if operation == "release"} == reserved


@in_loop
async def test_upstream_that_turns_busy_while_it_is_waited_for_is_not_left():
    """A long reading that is placed there later explains the silence."""

    async def answer_late(arrival):
        await asyncio.sleep(1.2)
        await stream_whole(arrival)

    async with run_world(answer_late, answer_late, catalog=with_engines()) as world:
        pending = asyncio.ensure_future(world.call("/stream/x", Token_Count="1000,100"))
        await asyncio.sleep(0.1)
        now = world.gateway.clock.now()
        for name in ("u0", "u1"):
            world.gateway.fleet.books.add(Job("long", name, now, 2_000.0, 100_000))
        assert (await pending).whole
        assert len(world.arrivals) == 1


@in_loop
async def test_release_is_repeated_until_it_is_answered():
    """Orders whose answers are lost may be carried out late, or never."""
    releases = []

    async def lose_releases(arrival):
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

    async with run_world(*[lose_releases] * 4, catalog=with_engines(9_000)) as world:
        world.gateway.fleet.policy = "least_cost"
        assert (await world.call("/stream/x", Token_Count="700000,100", Deadline_Ms="30000")).whole
        await world.gateway.leases.settle()
        assert {releases.count(ticket) for ticket in releases} == {6}


@pytest.mark.parametrize(
    ("stopping_for_ms", "path", "tokens", "status"),
    [
        (1_000, "/stream/x", "1000,1500", 200),
        (6_500, "/stream/x", "1000,1500", 503),
        (7_400, "/once/x", None, 503),
        (3_000, "/once/x", None, 200),
    ],
)
@in_loop
async def test_stopping_instance_takes_only_what_it_can_finish(
    stopping_for_ms, path, tokens, status
):
    """A hunt of kalye (mix 287565574239) cut streams that came 6.4 s after SIGTERM."""

    async def serve(arrival):
        await (stream_whole(arrival) if "stream" in str(arrival.line) else answer_ok(arrival))

    async with run_world(serve, catalog=with_engines()) as world:
        world.gateway.drain()
        world.gateway._stopping_since -= stopping_for_ms
        answer = await world.call(path, Token_Count=tokens)
        assert answer.status == status and answer.headers["connection"] == "close"
        assert len(world.arrivals) == (1 if status == 200 else 0)
        if status == 503:
            assert float(answer.headers["retry-after"]) >= 0


@pytest.mark.parametrize("status", [404, 500])
@in_loop
async def test_failure_on_a_resume_never_becomes_a_second_answer(status):
    async def break_then_fail(arrival):
        if "last-event-id" in arrival.headers:
            await arrival.answer(status, b"no")
        else:
            await stream_and_break(arrival)

    async with run_world(break_then_fail, break_then_fail) as world:
        answer = await world.call("/stream/x")
        assert answer.status == 200 and not answer.whole and ids(answer.body) == [1, 2]


@in_loop
async def test_success_without_the_requests_id_is_not_believed():
    async def answer_nameless(arrival):
        await arrival.answer(body=b"hello", Request_Id="")

    async with run_world(answer_nameless) as world:
        assert (await world.call("/once/x")).status == 502


@in_loop
async def test_fault_in_a_background_task_does_not_end_the_service():
    async with run_world(answer_ok) as world:

        async def fail_once(after):
            world.catalog.read_changes = type(world.catalog).read_changes.__get__(world.catalog)
            raise ZeroDivisionError

        world.catalog.read_changes = fail_once
        world.catalog.put(Entry("config", replace(CATALOG, version=2)))
        await asyncio.sleep(0.05)
        assert (await world.call("/once/x")).status == 200
        world.catalog.put(Entry("config", replace(CATALOG, version=3)))
        async with asyncio.timeout(3):
            while world.gateway.fleet.catalog.version != 3:
                await asyncio.sleep(0.02)


@in_loop
async def test_caller_is_sent_on_at_once_where_every_upstream_is_known_to_be_out_of_reach():
    async with run_world(None, None) as world:
        await world.call("/once/x")
        for _ in range(2):
            begin = asyncio.get_running_loop().time()
            answer = await world.call("/once/x")
            assert answer.status == 503 and float(answer.headers["retry-after"]) <= 0.1
            assert asyncio.get_running_loop().time() - begin < 0.1
        assert world.gateway.links.opened <= 2 + 2 * 2
