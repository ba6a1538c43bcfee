"""Datagrams with odd contents: they change nothing, and the exchange with the others goes on."""

import asyncio

import pytest

from lentilwell.gateway._load_tracker import Job
from lentilwell.gateway._peers import COALESCE_MS
from lentilwell.gateway._refusals import ReportedTally, Tally
from lentilwell.gateway._work_digest import (
    UnreadableDigest,
    UpstreamReports,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from standins.simulated_time import LoopClock
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.test_gateway_addresses import NOT_ADDRESSES
from tests.test_gateway_peers import make_peers

SENDER = ("127.0.0.1", 2)


@pytest.mark.parametrize("address", NOT_ADDRESSES)
def test_digest_with_an_odd_address_is_unreadable(address):
    with pytest.raises(UnreadableDigest):
        decode_digest(encode_digest(WorkDigest("i", "l", address, 7, ()), 0), 0)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:65536", "127.0.0.1\0:80"])
@in_loop
async def test_digest_with_an_odd_address_neither_closes_the_socket_nor_fails_a_send(address):
    """Sending to such an address ended the process, or closed its socket for datagrams."""
    loop = asyncio.get_running_loop()
    failures = []
    loop.set_exception_handler(lambda loop, context: failures.append(context))
    peers = make_peers(LoopClock())
    transport, _ = await loop.create_datagram_endpoint(lambda: peers, ("127.0.0.1", 0))
    digest = WorkDigest("odd", "l", address, 1, ())
    peers.datagram_received(encode_digest(digest, LoopClock().now()), SENDER)
    peers.schedule_send()
    await asyncio.sleep(5 * COALESCE_MS / 1_000)
    assert not failures and not transport.is_closing()
    peers.close()


@pytest.mark.parametrize(
    "values",
    [
        {"memory_tokens": 10**10},
        {"memory_tokens": 10**400},
        {"memory_tokens": -(10**10)},
        {"read_ms": 1e12},
        {"read_ms": float("inf")},
        {"read_ms": float("nan")},
        {"begun_at": -(10**12)},
        {"due_at": 10**12},
        {"pause_ms": 10**12},
    ],
    ids=str,
)
def test_job_with_values_out_of_range_is_told_with_the_nearest_ones(values):
    job = Job(
        **{"name": "j", "upstream": "u", "begun_at": 0, "read_ms": 0, "memory_tokens": 1, **values}
    )
    [received] = decode_digest(
        encode_digest(WorkDigest("i", "l", "127.0.0.1:1", 7, (job,)), 0), 0
    ).jobs
    assert received.upstream == "u"


@in_loop
async def test_request_with_a_huge_token_count_does_not_fail_the_digests():
    """Maintenance failed when it sent the digest with such a job, which ended the process."""

    async def answer_late(arrival):
        await asyncio.sleep(0.6)
        await arrival.answer(body=b"x")

    async with run_gateway(answer_late) as harness:
        pending = asyncio.ensure_future(harness.call("/once/x", Token_Count="9999999999,1"))
        await asyncio.sleep(0.5)
        harness.gateway.peers.run_maintenance()
        assert (await pending).status == 200


def test_reason_of_an_unreadable_digest_is_bounded():
    reports = UpstreamReports(refusals=(ReportedTally("w" * 10_000, Tally(-1.0, 0.0, 0)),))
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    with pytest.raises(UnreadableDigest) as raised:
        decode_digest(encode_digest(digest, 0), 0)
    assert len(str(raised.value)) <= 200


@pytest.mark.parametrize("weight", [float("nan"), float("inf"), -1.0])
def test_digest_with_an_odd_weight_of_a_job_is_unreadable(weight):
    """The cost of each choice that includes such a job would be no number to compare."""
    job = Job("j", "u", 0, 1.0, 1, weight=weight)
    with pytest.raises(UnreadableDigest):
        decode_digest(encode_digest(WorkDigest("i", "l", "127.0.0.1:1", 7, (job,)), 0), 0)
