"""Forwarding through a running gateway: requests at upstreams and answers at callers."""

import asyncio

import pytest

from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import answer_ok, answer_twice, answer_with_error, in_loop, stay_silent


@in_loop
async def test_request_and_answer_pass_unchanged():
    async with run_gateway(answer_ok) as harness:
        answer = await harness.call(
            "/once/x?a=1", body=b"payload", X_Own="1", X_Drop="2", Connection="x-drop"
        )
        assert (answer.status, answer.body) == (200, b"hello")
        assert answer.headers["server-stamp"] == "stamp-u0"
        [arrival] = harness.arrivals
        assert arrival.line == b"POST /once/x?a=1 HTTP/1.1"
        assert arrival.body == b"payload"
        assert arrival.headers["request-id"] == "id1"
        assert arrival.headers["x-own"] == "1" and "x-drop" not in arrival.headers


@in_loop
async def test_headers_that_the_gateway_sets_cannot_be_forged():
    forged = {"Tenant": "green", "Expect_Instance": "u9", "Request_Priority": "0", "Helpers": "x:1"}
    async with run_gateway(answer_ok) as harness:
        await harness.call("/once/x", **forged)
        headers = harness.arrivals[0].headers
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
    async with run_gateway(answer_ok) as harness:
        assert (await harness.call(path, **headers)).status == status
        assert not harness.arrivals


@in_loop
async def test_public_route_needs_no_key():
    async with run_gateway(answer_ok, catalog=with_route("once", public=True)) as harness:
        assert (await harness.call("/once/x", Credential=None)).status == 200
        assert "tenant" not in harness.arrivals[0].headers


@in_loop
async def test_without_a_configuration_callers_get_a_retry_after():
    async with run_gateway(answer_ok, catalog=None) as harness:
        answer = await harness.call("/once/x")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        assert not harness.gateway.ready


@in_loop
async def test_error_of_an_upstream_is_forwarded_with_its_signature():
    async with run_gateway(answer_with_error, answer_with_error) as harness:
        for path in ("/once/x", "/whole/x"):
            answer = await harness.call(path)
            assert (answer.status, answer.body) == (500, b"oops")
            assert answer.headers["server-stamp"].startswith("stamp-")


@in_loop
async def test_bytes_after_an_answer_reach_no_caller():
    async with run_gateway(answer_twice) as harness:
        connection = await harness.connect()
        for _ in range(4):
            answer = await harness.call("/whole/x", method="GET", connection=connection)
            assert answer.status in (200, 502) and answer.body != b"hellohello"
            await asyncio.sleep(0.02)
        assert harness.upstreams[0].connections >= 4


@in_loop
async def test_connections_are_reused_on_both_sides():
    async with run_gateway(answer_ok) as harness:
        connection = await harness.connect()
        for _ in range(5):
            assert (await harness.call("/whole/x", connection=connection)).status == 200
        assert harness.upstreams[0].connections == 1


@in_loop
async def test_request_that_must_not_repeat_gets_a_fresh_connection():
    async with run_gateway(answer_ok) as harness:
        for _ in range(3):
            await harness.call("/once/x")
        assert harness.upstreams[0].connections == 3


@in_loop
async def test_route_timeout_ends_the_wait():
    async with run_gateway(stay_silent, catalog=with_route("once", timeout_ms=200)) as harness:
        begin = asyncio.get_running_loop().time()
        answer = await harness.call("/once/x")
        assert answer.status == 504
        assert asyncio.get_running_loop().time() - begin < 0.7
        assert int(harness.arrivals[0].headers["deadline-ms"]) <= 200


@in_loop
async def test_success_without_the_request_id_is_rejected():
    async def answer_without_id(arrival):
        await arrival.answer(body=b"hello", Request_Id="")

    async with run_gateway(answer_without_id) as harness:
        assert (await harness.call("/once/x")).status == 502
