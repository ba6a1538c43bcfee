"""Peers over loopback: delivery, lost peers, silent connections, forged and malformed frames."""

import contextlib
import os
import random
import socket
import threading
import time
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from lentilwell import ManualClock, SystemClock
from lentilwell._messages import (
    Digest,
    EngineUse,
    GrantAnswer,
    GrantAsk,
    Identity,
    LeavingMark,
    Member,
    MemberKind,
)
from lentilwell._wire import Exchange, ttypes
from lentilwell.configuration import PeersSettings
from lentilwell.peers import PeerNetwork, PeersContext
from lentilwell.peers._auth import AuthenticationError, Handshake, open_channels
from lentilwell.peers._byte_budget import ByteBudget
from lentilwell.peers._codec import (
    PROTOCOL_FACTORY,
    MessageError,
    decode,
    decode_digest,
    encode_digest,
    encode_identity,
)
from lentilwell.peers._link import _Session
from lentilwell.peers._membership import select_peers
from lentilwell.reducer import DigestReceived, GrantAnswered, GrantAsked, GrantUnanswered

WAIT_TIMEOUT_S = 10


def make_digest(identity, sequence=1, engines=0, configuration=0):
    uses = tuple(EngineUse(f"caerdydd-{n}", n, 1_000 * n, 10 * n) for n in range(engines))
    return Digest(
        identity,
        sequence,
        configuration,
        False,
        uses,
        (LeavingMark("abertawe-1", "7f3a"),),
        3,
        4_000,
    )


class Node:
    """A peer network that records its events and the versions reported by peers."""

    def __init__(self, name, key="shared", seeds=""):
        self.identity = Identity(name, os.urandom(4).hex(), "caerdydd")
        self.events = []
        self.versions = []
        self.contents = {}
        context = PeersContext(
            post_event=self.events.append,
            current_version=lambda: 7,
            read_head=lambda: b"head",
            read_content=self.contents.get,
            record_peer_version=lambda *arguments: self.versions.append(arguments),
        )
        peers_settings = PeersSettings(key=key, seeds=seeds)
        self.network = PeerNetwork(peers_settings, self.identity, SystemClock(), context)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self.network.server.serve),
            threading.Thread(target=self._refresh),
        ]
        for thread in self._threads:
            thread.start()

    def _refresh(self):
        while not self._stop.wait(0.05):
            self.network.refresh()

    def member(self):
        identity = self.identity
        return Member(
            identity.instance, MemberKind.ENTRY, self.network.address, "caerdydd", "", False
        )

    def events_of(self, kind):
        return [event for event in self.events if isinstance(event, kind)]

    def close(self):
        self._stop.set()
        self.network.close()
        for thread in self._threads:
            thread.join()


def wait_for(condition):
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "timed out waiting for the condition"
        time.sleep(0.01)


@pytest.fixture
def nodes():
    created = []

    def make(*args, **kwargs):
        created.append(Node(*args, **kwargs))
        return created[-1]

    yield make
    for node in created:
        node.close()


def connect_all(*nodes):
    members = tuple(node.member() for node in nodes)
    for node in nodes:
        node.network.update_members(members)
    for node in nodes:
        wait_for(lambda node=node: len(node.network.list_peers()) == len(nodes) - 1)


def test_digests_grant_requests_and_answers_arrive(nodes):
    a, b = nodes("a"), nodes("b")
    connect_all(a, b)
    digest = make_digest(a.identity, engines=14)
    a.network.send_digest(digest)
    ask = GrantAsk("g-1", a.identity, "caerdydd-1", 400_000, 1_000)
    a.network.ask_grant("b", ask)
    wait_for(lambda: b.events_of(GrantAsked) and b.events_of(DigestReceived))
    assert b.events_of(DigestReceived)[0].digest == digest
    assert b.events_of(GrantAsked)[0].ask == ask
    answer = GrantAnswer("g-1", "caerdydd-1", True, 5_000, 0)
    b.network.answer_grant("a", answer)
    b.network.answer_grant("a", answer)
    b.network.answer_grant("a", replace(answer, grant_id="never asked"))
    wait_for(lambda: a.events_of(GrantAnswered))
    assert [event.answer for event in a.events_of(GrantAnswered)] == [answer]
    assert ("b", 7, 0) in a.versions
    b.network.send_digest(make_digest(b.identity, configuration=9))
    wait_for(lambda: ("b", 9, 0) in a.versions and ("a", 7, 9) in b.versions)


def test_peers_are_found_through_seeds_and_incoming_connections(nodes):
    a = nodes("a")
    b = nodes("b", seeds=a.network.address)
    wait_for(lambda: a.network.list_peers() == ("b",) and b.network.list_peers() == ("a",))
    a.contents["d"] = content = os.urandom(700_000)
    assert b.network.fetch_head("a") == b"head"
    assert b.network.fetch_content("a", "d") == content
    assert b.network.fetch_content("a", "unknown") is None


def test_unanswered_grant_requests_are_reported(nodes):
    a, b = nodes("a"), nodes("b")
    a.network.ask_grant("nobody", GrantAsk("g-0", a.identity, "e", 1, 1))
    connect_all(a, b)
    a.network.ask_grant("b", GrantAsk("g-1", a.identity, "e", 1, 1))
    wait_for(lambda: b.events_of(GrantAsked))
    b.network.close()
    a.network.ask_grant("b", GrantAsk("g-2", a.identity, "e", 1, 1))
    wait_for(lambda: len(a.events_of(GrantUnanswered)) == 3)
    assert sorted(e.grant_id for e in a.events_of(GrantUnanswered)) == ["g-0", "g-1", "g-2"]


class SilentProxy:
    """A proxy that stops forwarding on the connections that are open when ``go_silent`` is called.

    Newer connections still forward. No connection is closed, as if its peer had vanished.
    """

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._sockets = []
        self._silent = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def go_silent(self):
        self._silent.update(self._sockets)

    def _accept(self):
        host, _, port = self._target.rpartition(":")
        while True:
            local, _ = self._listener.accept()
            remote = socket.create_connection((host, int(port)))
            self._sockets += [local, remote]
            for pair in ((local, remote), (remote, local)):
                threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def _pump(self, source, sink):
        try:
            while data := source.recv(65_536):
                if source not in self._silent:
                    sink.sendall(data)
        except OSError:
            pass


def test_silent_connection_is_replaced(nodes):
    a, b = nodes("a"), nodes("b")
    proxy = SilentProxy(b.network.address)
    a.network.update_members((replace(b.member(), address=proxy.address),))
    wait_for(lambda: a.network.list_peers())
    for sequence in (1, 2):
        wait_for(lambda n=sequence: send_and_check_received(a, b, n))
        proxy.go_silent()


def send_and_check_received(a, b, sequence):
    a.network.send_digest(make_digest(a.identity, sequence))
    return any(event.digest.sequence == sequence for event in b.events_of(DigestReceived))


class CuttingProxy:
    """A proxy that passes on so many bytes of one direction, then closes both connections.

    ``passed`` counts the bytes of each direction: "asked" to the server, "answered" to the client.
    """

    def __init__(self, target, cut_direction="", cut=0):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._limits = {cut_direction: cut}
        self.passed = {"asked": 0, "answered": 0}
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._server = threading.Thread(target=self._serve)
        self._server.start()

    def _serve(self):
        local, _ = self._listener.accept()
        with local, socket.create_connection(self._target) as remote, self._listener:
            back = threading.Thread(target=self._pump, args=(remote, local, "answered"))
            back.start()
            self._pump(local, remote, "asked")
            back.join()

    def _pump(self, source, sink, direction):
        limit = self._limits.get(direction)
        with contextlib.suppress(OSError):
            while limit != self.passed[direction] and (data := source.recv(65_536)):
                data = data if limit is None else data[: limit - self.passed[direction]]
                sink.sendall(data)
                self.passed[direction] += len(data)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def join(self):
        """Wait until both connections are closed."""
        self._server.join()


def exchange_digest(proxy):
    """Send a digest over a new connection and return the reply."""
    identity = Identity("b", "1", "dc")
    session = _Session(proxy.address, b"shared", identity, "127.0.0.1:1")
    try:
        return session.call(encode_digest(make_digest(identity)))
    finally:
        session.close()


def test_message_or_reply_cut_anywhere_is_not_taken(nodes):
    a = nodes("a")
    whole = CuttingProxy(a.network.address)
    assert exchange_digest(whole).configuration == 7
    whole.join()
    assert len(a.events) == 1
    for direction, size in whole.passed.items():
        for cut in range(size):
            a.events.clear()
            proxy = CuttingProxy(a.network.address, direction, cut)
            with pytest.raises(TTransportException):
                exchange_digest(proxy)
            proxy.join()
            assert direction == "answered" or not a.events, (direction, cut)


def test_wrong_key_gets_no_message_through(nodes):
    a, intruder = nodes("a"), nodes("thief", key="guessed")
    intruder.network.update_members((a.member(),))
    a.network.update_members((intruder.member(),))
    for node in (intruder, a):
        node.network.send_digest(make_digest(node.identity))
    time.sleep(0.5)
    assert not a.events and not intruder.events
    assert a.network.list_peers() == intruder.network.list_peers() == ()


def open_session(node, name="b", key=b"shared"):
    return _Session(node.network.address, key, Identity(name, "1", "dc"), "127.0.0.1:1")


def test_repeated_reordered_altered_and_misattributed_messages_close_the_connection(nodes):
    a = nodes("a")
    body = encode_digest(make_digest(Identity("b", "1", "dc")))

    def repeat(session):
        sequence, proof = session._to_server.seal(body)
        session._client.pass_on(ttypes.Sealed(sequence, body, proof))
        session._client.pass_on(ttypes.Sealed(sequence, body, proof))

    def skip(session):
        session._to_server.seal(body)
        session.call(body)

    def tamper(session):
        sequence, proof = session._to_server.seal(body)
        session._client.pass_on(ttypes.Sealed(sequence, body + b"\0", proof))

    def replay_from_other_connection(session):
        sequence, proof = open_session(a)._to_server.seal(body)
        session._client.pass_on(ttypes.Sealed(sequence, body, proof))

    def misattribute(session):
        session.call(encode_digest(make_digest(Identity("c", "1", "dc"))))

    def repeat_handshake(session):
        hello = ttypes.Hello(encode_identity(Identity("b", "1", "dc")), "127.0.0.1:1", b"n" * 16)
        session._client.greet(hello)

    for violate, expected_events in (
        (repeat, 1),
        (skip, 0),
        (tamper, 0),
        (replay_from_other_connection, 0),
        (misattribute, 0),
        (repeat_handshake, 0),
    ):
        a.events.clear()
        with pytest.raises(TTransportException):
            violate(open_session(a))
        assert len(a.events) == expected_events, violate.__name__


def test_instance_refuses_a_connection_to_itself():
    same = Identity("a", "1", "dc")
    network = PeerNetwork(
        PeersSettings(key="shared"),
        same,
        SystemClock(),
        PeersContext(lambda _: None, int, lambda: None, lambda _: None, lambda *_: None),
    )
    serving = threading.Thread(target=network.server.serve)
    serving.start()
    with pytest.raises((AuthenticationError, TTransportException)):
        _Session(network.address, b"shared", same, "127.0.0.1:1")
    network.close()
    serving.join()


def test_directions_and_connections_have_different_keys():
    first = Handshake(Identity("a", "1", "x"), "h:1", b"1" * 16, Identity("b", "1", "x"), b"2" * 16)
    reconnected = replace(first, server_nonce=b"3" * 16)
    proofs = {
        c.seal(b"m")[1]
        for handshake in (first, reconnected)
        for c in open_channels(b"k", handshake)
    }
    assert len(proofs) == 4


def test_malformed_bytes_neither_stop_the_server_nor_leave_connections_open(nodes):
    a = nodes("a")
    rng = random.Random(5)
    host, _, port = a.network.address.rpartition(":")
    oversized_length = (0x7FFFFFFF).to_bytes(4, "big")
    deeply_nested = b"\x82\x21\x01\x05greet" + b"\x1c" * 500_000
    frames = [
        oversized_length + b"x" * 10_000,
        len(deeply_nested).to_bytes(4, "big") + deeply_nested,
        b"\xff\xff\xff\xff",
    ]
    frames += [rng.randbytes(rng.randrange(1, 400)) for _ in range(200)]
    frames += [b"\0\0\0" + bytes([n]) + rng.randbytes(n) for n in range(1, 200)]
    for data in frames:
        with socket.create_connection((host, int(port)), 5) as connection:
            try:
                connection.sendall(data)
            except OSError:
                continue
    wait_for(lambda: a.network.server.open_connections == 0)
    session = open_session(a)
    assert session.call(encode_digest(make_digest(Identity("b", "1", "dc")))).configuration == 7


def test_unauthenticated_connections_are_closed(nodes):
    a = nodes("a")
    host, _, port = a.network.address.rpartition(":")
    idle = [socket.create_connection((host, int(port)), 5) for _ in range(150)]
    wait_for(lambda: a.network.server.open_connections == 0)
    for connection in idle:
        connection.close()
    open_session(a).close()


def test_handshake_without_required_fields_is_rejected(nodes):
    framed = TFramedTransport(TSocket(*nodes("a").network.address.rsplit(":", 1)))
    framed.open()
    client = Exchange.Client(PROTOCOL_FACTORY.getProtocol(framed))
    with pytest.raises(TTransportException):
        client.greet(ttypes.Hello())


@settings(database=None, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_message_error(data):
    with contextlib.suppress(MessageError):
        decode(ttypes.Message, data)


def test_digest_round_trip_and_size():
    digest = make_digest(Identity("entry-1", "0123abcd", "caerdydd"), engines=14)
    body = encode_digest(digest)
    assert decode_digest(decode(ttypes.Message, body).digest) == digest
    peers, digests_per_second = 3, 4
    assert len(body) * peers * digests_per_second <= 10_000


def test_number_of_peers_is_bounded_and_own_data_centre_comes_first():
    identity = Identity("e-0", "1", "dc-0")
    members = tuple(
        Member(f"e-{n}", MemberKind.ENTRY, f"10.0.0.{n}:1", f"dc-{n % 23}", "", False)
        for n in range(340)
    )
    selected = select_peers(identity, members, 32)
    local = {m.name for m in members if m.data_centre == "dc-0" and m.name != "e-0"}
    assert len(selected) == 32 and local <= {m.name for m in selected}
    assert select_peers(identity, members[1:], 32) == selected


def test_byte_budget_bounds_the_bytes_sent():
    clock = ManualClock()
    budget = ByteBudget(clock, 1_000)
    sent = 0
    for _ in range(100):
        clock.advance(100)
        sent += sum(300 for _ in range(5) if budget.try_acquire(300))
    assert sent <= 11_000
