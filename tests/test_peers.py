"""Peers over loopback: delivery, lost peers, silent connections, forged and hostile frames."""

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
    PROTOCOLS,
    MessageError,
    decode,
    decode_digest,
    encode_digest,
    encode_identity,
)
from lentilwell.peers._link import _Session
from lentilwell.peers._membership import select_peers
from lentilwell.reducer import DigestReceived, GrantAnswered, GrantAsked, GrantUnanswered

PATIENCE_S = 10


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
    """A peer network with everything it posted."""

    def __init__(self, name, key="shared", seeds=""):
        self.identity = Identity(name, os.urandom(4).hex(), "caerdydd")
        self.events = []
        self.versions = []
        self.contents = {}
        context = PeersContext(
            post=self.events.append,
            version=lambda: 7,
            head=lambda: b"head",
            content=self.contents.get,
            heard_version=lambda *heard: self.versions.append(heard),
        )
        settings_ = PeersSettings(key=key, seeds=seeds)
        self.network = PeerNetwork(settings_, self.identity, SystemClock(), context)
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

    def seen(self, kind):
        return [event for event in self.events if isinstance(event, kind)]

    def close(self):
        self._stop.set()
        self.network.close()
        for thread in self._threads:
            thread.join()


def wait_for(condition):
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, "waited in vain"
        time.sleep(0.01)


@pytest.fixture
def nodes():
    made = []

    def make(*args, **kwargs):
        made.append(Node(*args, **kwargs))
        return made[-1]

    yield make
    for node in made:
        node.close()


def join(*nodes):
    members = tuple(node.member() for node in nodes)
    for node in nodes:
        node.network.note_members(members)
    for node in nodes:
        wait_for(lambda node=node: len(node.network.list_peers()) == len(nodes) - 1)


def test_digests_asks_and_answers_arrive(nodes):
    a, b = nodes("a"), nodes("b")
    join(a, b)
    digest = make_digest(a.identity, engines=14)
    a.network.send_digest(digest)
    ask = GrantAsk("g-1", a.identity, "caerdydd-1", 400_000, 1_000)
    a.network.ask_grant("b", ask)
    wait_for(lambda: b.seen(GrantAsked) and b.seen(DigestReceived))
    assert b.seen(DigestReceived)[0].digest == digest
    assert b.seen(GrantAsked)[0].ask == ask
    answer = GrantAnswer("g-1", "caerdydd-1", True, 5_000, 0)
    b.network.answer_grant("a", answer)
    b.network.answer_grant("a", answer)
    b.network.answer_grant("a", replace(answer, grant_id="never asked"))
    wait_for(lambda: a.seen(GrantAnswered))
    assert [event.answer for event in a.seen(GrantAnswered)] == [answer]
    assert ("b", 7, 0) in a.versions
    b.network.send_digest(make_digest(b.identity, configuration=9))
    wait_for(lambda: ("b", 9, 0) in a.versions and ("a", 7, 9) in b.versions)


def test_seeds_and_greetings_make_peers_without_the_list(nodes):
    a = nodes("a")
    b = nodes("b", seeds=a.network.address)
    wait_for(lambda: a.network.list_peers() == ("b",) and b.network.list_peers() == ("a",))
    a.contents["d"] = content = os.urandom(700_000)
    assert b.network.fetch_head("a") == b"head"
    assert b.network.fetch_content("a", "d") == content
    assert b.network.fetch_content("a", "unknown") is None


def test_asks_without_an_answer_are_told(nodes):
    a, b = nodes("a"), nodes("b")
    a.network.ask_grant("nobody", GrantAsk("g-0", a.identity, "e", 1, 1))
    join(a, b)
    a.network.ask_grant("b", GrantAsk("g-1", a.identity, "e", 1, 1))
    wait_for(lambda: b.seen(GrantAsked))
    b.network.close()
    a.network.ask_grant("b", GrantAsk("g-2", a.identity, "e", 1, 1))
    wait_for(lambda: len(a.seen(GrantUnanswered)) == 3)
    assert sorted(e.grant_id for e in a.seen(GrantUnanswered)) == ["g-0", "g-1", "g-2"]


class SilentProxy:
    """Passes bytes on, until told that the connections open now go silent for good."""

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
            near, _ = self._listener.accept()
            far = socket.create_connection((host, int(port)))
            self._sockets += [near, far]
            for pair in ((near, far), (far, near)):
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
    a.network.note_members((replace(b.member(), address=proxy.address),))
    wait_for(lambda: a.network.list_peers())
    for sequence in (1, 2):
        wait_for(lambda n=sequence: send_until_seen(a, b, n))
        proxy.go_silent()


def send_until_seen(a, b, sequence):
    a.network.send_digest(make_digest(a.identity, sequence))
    return any(event.digest.sequence == sequence for event in b.seen(DigestReceived))


def test_wrong_key_gets_no_message_through(nodes):
    a, thief = nodes("a"), nodes("thief", key="guessed")
    thief.network.note_members((a.member(),))
    a.network.note_members((thief.member(),))
    for node in (thief, a):
        node.network.send_digest(make_digest(node.identity))
    time.sleep(0.5)
    assert not a.events and not thief.events
    assert a.network.list_peers() == thief.network.list_peers() == ()


def open_raw(node, name="b", key=b"shared"):
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

    def alter(session):
        sequence, proof = session._to_server.seal(body)
        session._client.pass_on(ttypes.Sealed(sequence, body + b"\0", proof))

    def carry_over(session):
        sequence, proof = open_raw(a)._to_server.seal(body)
        session._client.pass_on(ttypes.Sealed(sequence, body, proof))

    def misattribute(session):
        session.call(encode_digest(make_digest(Identity("c", "1", "dc"))))

    def greet_again(session):
        hello = ttypes.Hello(encode_identity(Identity("b", "1", "dc")), "127.0.0.1:1", b"n" * 16)
        session._client.greet(hello)

    for fault, arrived in (
        (repeat, 1),
        (skip, 0),
        (alter, 0),
        (carry_over, 0),
        (misattribute, 0),
        (greet_again, 0),
    ):
        a.events.clear()
        with pytest.raises(TTransportException):
            fault(open_raw(a))
        assert len(a.events) == arrived, fault.__name__


def test_instance_that_is_reflected_to_itself_refuses():
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
    again = replace(first, server_nonce=b"3" * 16)
    proofs = {c.seal(b"m")[1] for made in (first, again) for c in open_channels(b"k", made)}
    assert len(proofs) == 4


def test_hostile_bytes_neither_stop_the_listener_nor_keep_connections(nodes):
    a = nodes("a")
    chance = random.Random(5)
    host, _, port = a.network.address.rpartition(":")
    huge = (0x7FFFFFFF).to_bytes(4, "big")
    deep = b"\x82\x21\x01\x05greet" + b"\x1c" * 500_000
    frames = [huge + b"x" * 10_000, len(deep).to_bytes(4, "big") + deep, b"\xff\xff\xff\xff"]
    frames += [chance.randbytes(chance.randrange(1, 400)) for _ in range(200)]
    frames += [b"\0\0\0" + bytes([n]) + chance.randbytes(n) for n in range(1, 200)]
    for data in frames:
        with socket.create_connection((host, int(port)), 5) as connection:
            try:
                connection.sendall(data)
            except OSError:
                continue
    wait_for(lambda: a.network.server.connections == 0)
    session = open_raw(a)
    assert session.call(encode_digest(make_digest(Identity("b", "1", "dc")))).configuration == 7


def test_connections_that_prove_nothing_are_closed(nodes):
    a = nodes("a")
    host, _, port = a.network.address.rpartition(":")
    idle = [socket.create_connection((host, int(port)), 5) for _ in range(150)]
    wait_for(lambda: a.network.server.connections == 0)
    for connection in idle:
        connection.close()
    open_raw(a).close()


def test_content_of_a_hello_needs_every_field(nodes):
    framed = TFramedTransport(TSocket(*nodes("a").network.address.rsplit(":", 1)))
    framed.open()
    client = Exchange.Client(PROTOCOLS.getProtocol(framed))
    with pytest.raises(TTransportException):
        client.greet(ttypes.Hello())


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_one_error(data):
    with contextlib.suppress(MessageError):
        decode(ttypes.Message, data)


def test_digest_round_trip_and_size():
    digest = make_digest(Identity("entry-1", "0123abcd", "caerdydd"), engines=14)
    body = encode_digest(digest)
    assert decode_digest(decode(ttypes.Message, body).digest) == digest
    peers, digests_a_second = 3, 4
    assert len(body) * peers * digests_a_second <= 10_000


def test_peers_are_bounded_and_near_ones_come_first():
    own = Identity("e-0", "1", "dc-0")
    members = tuple(
        Member(f"e-{n}", MemberKind.ENTRY, f"10.0.0.{n}:1", f"dc-{n % 23}", "", False)
        for n in range(340)
    )
    chosen = select_peers(own, members, 32)
    near = {m.name for m in members if m.data_centre == "dc-0" and m.name != "e-0"}
    assert len(chosen) == 32 and near <= {m.name for m in chosen}
    assert select_peers(own, members[1:], 32) == chosen


def test_byte_budget_bounds_what_passes():
    clock = ManualClock()
    budget = ByteBudget(clock, 1_000)
    passed = 0
    for _ in range(100):
        clock.advance(100)
        passed += sum(300 for _ in range(5) if budget.take(300))
    assert passed <= 11_000
