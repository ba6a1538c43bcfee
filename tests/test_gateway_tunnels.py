"""Tunnels: their frames, when they are used, and what becomes of requests on them."""

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway._connection import HttpConnection
from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway.tunnels import TunnelClient, TunnelPeer, UpstreamPath, _client
from lentilwell.gateway.tunnels._client import TunnelRefused, open_tunnel
from lentilwell.gateway.tunnels._frames import (
    FrameDecoder,
    FrameKind,
    UnreadableFrame,
    decode_request,
    encode_frame,
    encode_request,
)
from lentilwell.gateway.tunnels._path import ASK_INTERVAL_MS, FAILURE_WINDOW_MS
from lentilwell.gateway.tunnels._server import REQUEST_TIMEOUT_MS
from tests.gateway_pair import run_pair
from tests.gateway_scripts import answer_ok, in_loop, stay_silent
from tests.stream_scripts import reset_connection

TIMEOUT_S = 3
FRAMES = st.lists(st.tuples(st.sampled_from(FrameKind), st.binary(max_size=300)), max_size=10)


def open_a_tunnel(pair, address):
    peers = pair.b.gateway.settings.peers_address
    return open_tunnel(peers, address, pair.a.gateway.clock)


@given(FRAMES, st.integers(1, 40))
def test_frames_are_the_same_however_the_bytes_arrive(frames, size):
    data = b"".join(encode_frame(kind, payload) for kind, payload in frames)
    decoder = FrameDecoder()
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    found = [frame for piece in pieces for frame in decoder.decode(piece)]
    assert [(frame.kind, frame.data) for frame in found] == frames


@pytest.mark.parametrize("data", [b"\x09\0\0\0\0", b"\x03\xff\xff\xff\xff"])
def test_unknown_or_oversized_frame_is_unreadable(data):
    with pytest.raises(UnreadableFrame):
        list(FrameDecoder().decode(data))


def test_request_line_names_an_address():
    line = encode_request("10.0.0.1:80")
    assert decode_request(line) == "10.0.0.1:80"
    assert all(decode_request(line[:size]) is None for size in range(len(line)))


@pytest.mark.parametrize(
    "line", [b"tunnel name:80\n", b"GET / HTTP/1.1\r\n", b"tunnel 10.0.0.1:80\nx", b"x" * 65]
)
def test_odd_request_line_is_unreadable(line):
    with pytest.raises(UnreadableFrame):
        decode_request(line)


def test_path_is_suspect_once_several_upstreams_failed_and_none_was_reached_since():
    path = UpstreamPath()
    path.record_failure("u1", 0)
    path.record_failure("u1", 10)
    assert not path.is_suspect(10)
    path.record_failure("u2", 20)
    assert path.is_suspect(20)
    path.record_connection()
    assert not path.is_suspect(20)


def test_old_failures_leave_the_path_unsuspected():
    path = UpstreamPath()
    path.record_failure("u1", 0)
    path.record_failure("u2", FAILURE_WINDOW_MS + 1)
    assert not path.is_suspect(FAILURE_WINDOW_MS + 1)


def test_others_that_reach_no_upstream_either_are_not_asked_again_at_once():
    path = UpstreamPath()
    path.record_failure("u1", 0)
    path.record_failure("u2", 0)
    path.record_no_tunnel(0)
    assert not path.is_suspect(ASK_INTERVAL_MS - 1)
    assert path.is_suspect(ASK_INTERVAL_MS)


@pytest.mark.parametrize("ends_regularly", [True, False])
@in_loop
async def test_answer_without_length_is_complete_only_if_the_upstream_closes_it(ends_regularly):
    async def answer(arrival):
        await arrival.answer(body=b"hel", framing="none", Connection="close")
        if ends_regularly:
            arrival.writer.close()
        else:
            await asyncio.sleep(0.05)
            reset_connection(arrival.writer)

    async with run_pair(answer, answer) as pair:
        await pair.cut_off_a_until_noticed()
        answered = await pair.a.call("/whole/x")
    assert (answered.status == 200) is ends_regularly


@in_loop
async def test_upstream_of_a_request_whose_caller_has_left_is_told():
    async with run_pair(answer_ok, answer_ok) as pair:
        await pair.cut_off_a_until_noticed()
        for upstream in pair.upstreams:
            upstream.script = stay_silent
        earlier = len(pair.a.arrivals)
        _, writer = await pair.a.connect()
        writer.write(pair.a.format("/once/x"))
        async with asyncio.timeout(TIMEOUT_S):
            await pair.wait_for_arrivals(earlier + 1)
            writer.close()
            await pair.a.arrivals[-1].disconnected.wait()


@in_loop
async def test_connections_are_direct_again_after_the_cut():
    async with run_pair(answer_ok, answer_ok) as pair:
        await pair.cut_off_a_until_noticed()
        pair.mend()
        async with asyncio.timeout(TIMEOUT_S):
            while pair.a.gateway.connections.path_cut:
                await asyncio.sleep(0.02)
        direct = pair.network.direct
        assert (await pair.a.call("/once/x")).status == 200
        assert pair.network.direct > direct
        assert pair.b.gateway.tunnels.tunnels == 0


@in_loop
async def test_nobody_waits_for_an_instance_that_is_cut_off_itself():
    async with run_pair(answer_ok, answer_ok) as pair:
        await pair.cut_off_a_until_noticed()
        pair.network.cut = {"a", "b"}
        assert (await pair.a.call("/once/x")).status == 503
        pair.network.cut = {"a"}
        async with asyncio.timeout(TIMEOUT_S):
            while (await pair.a.call("/once/x")).status != 200:
                await asyncio.sleep(0.05)


@in_loop
async def test_tunnel_leads_only_to_listed_upstreams():
    async with run_pair(answer_ok) as pair:
        with pytest.raises(TunnelRefused):
            await open_a_tunnel(pair, pair.b.gateway.settings.peers_address)


@in_loop
async def test_tunnels_beyond_the_limit_are_refused():
    async with run_pair(answer_ok) as pair:
        [upstream] = pair.b.gateway.fleet.directory.listed.values()
        pair.b.gateway.tunnels._max_tunnels = 1
        first = await open_a_tunnel(pair, upstream.address)
        assert isinstance(first, HttpConnection)
        with pytest.raises(TunnelRefused):
            await open_a_tunnel(pair, upstream.address)
        first.close()


class ScriptedPeers:
    """Instances that refuse, do not reach the upstream, or open a tunnel."""

    def __init__(self, monkeypatch, **answers):
        self.answers, self.asked = answers, []
        monkeypatch.setattr(_client, "open_tunnel", self.open)

    def list(self):
        return [TunnelPeer(name, name) for name in self.answers]

    async def open(self, peer, address, clock, memory):
        self.asked.append(peer)
        if isinstance(self.answers[peer], Exception):
            raise self.answers[peer]
        return peer


@pytest.mark.parametrize("seed", range(5))
@in_loop
async def test_tunnel_is_opened_beside_many_instances_that_are_cut_off_too(monkeypatch, seed):
    refusing = {f"r{number}": _client.TunnelRefused() for number in range(_client.MAX_REFUSED - 1)}
    peers = ScriptedPeers(monkeypatch, **refusing, good="tunnel")
    client = TunnelClient(ManualClock(), peers.list)
    client._random.seed(seed)
    assert await client.open("10.0.0.1:80", None) == "good"
    assert await client.open("10.0.0.1:80", None) == "good"
    assert len(peers.asked) == len(set(peers.asked)) + 1, "one that refused was asked again at once"


@in_loop
async def test_instances_that_do_not_reach_an_upstream_are_not_asked_without_end(monkeypatch):
    peers = ScriptedPeers(monkeypatch, **{f"u{number}": Unreachable() for number in range(9)})
    with pytest.raises(Unreachable):
        await TunnelClient(ManualClock(), peers.list).open("10.0.0.1:80", None)
    assert len(peers.asked) == _client.MAX_FAILED


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\n\r\n", b"x" * 100_000])
@in_loop
async def test_connection_without_a_valid_request_is_closed_in_time(data):
    async with run_pair(answer_ok) as pair:
        host, _, port = pair.b.gateway.settings.peers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(2 * REQUEST_TIMEOUT_MS / 1_000):
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
        assert pair.b.gateway.tunnels.tunnels == 0


@in_loop
async def test_end_of_the_other_instance_is_no_crash_of_the_upstream():
    async with run_pair(answer_ok, answer_ok) as pair:
        await pair.cut_off_a_until_noticed()
        for upstream in pair.upstreams:
            upstream.script = stay_silent
        cuts = []
        pair.a.gateway.crash_watch.record_cut = lambda *facts: cuts.append(facts)
        earlier = len(pair.a.arrivals)
        calling = asyncio.ensure_future(pair.a.call("/once/x"))
        await pair.wait_for_arrivals(earlier + 1)
        pair.b.gateway.tunnels.close()
        assert (await calling).status == 502
        assert not cuts


@in_loop
async def test_stream_that_falls_silent_with_the_path_goes_on_through_another_instance():
    async def begin(arrival):
        await arrival.begin_stream()
        if "last-event-id" in arrival.headers:
            await arrival.write_events(2)
            await arrival.end_stream()
        else:
            await arrival.write_events(1)
            await stay_silent(arrival)

    async with run_pair(begin, begin, begin) as pair:
        calling = asyncio.ensure_future(pair.a.call("/stream/x"))
        await pair.wait_for_arrivals(1)
        await asyncio.sleep(0.2)
        pair.cut_off_a()
        for _ in range(2):
            await pair.a.call("/once/x", Deadline_Ms="300")
        assert (await calling).status == 200
        assert sum("last-event-id" in one.headers for one in pair.a.arrivals) == 1


@in_loop
async def test_tunnel_counts_as_opened_when_the_upstream_was_reached():
    """Else a connection to an upstream that has restarted meanwhile would refute its crash."""
    async with run_pair(answer_ok) as pair:
        [upstream] = pair.b.gateway.fleet.directory.listed.values()
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        reached_at = 0

        async def connect_late(factory, host=None, port=None, **options):
            nonlocal reached_at
            if (host, port) in pair.network.upstreams:
                await asyncio.sleep(0.1)
                reached_at = pair.a.gateway.clock.now()
            return await connect(factory, host, port, **options)

        loop.create_connection = connect_late
        connection = await open_a_tunnel(pair, upstream.address)
        loop.create_connection = connect
        assert connection.opened_at >= reached_at > 0
        connection.close()
