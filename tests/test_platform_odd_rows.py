"""Rows that another writer left in a table of the store: they are skipped, and the others hold."""

import contextlib
import json

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from wire_configuration import decode_catalog
from wire_headers import PlatformDialect
from wire_instances import decode_member
from wire_servers import decode_upstream

from lentilwell.gateway import Envelope, InboundRequest, UnreadableRow
from lentilwell.gateway._work_digest import (
    UpstreamReports,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from tests.test_gateway_addresses import NOT_ADDRESSES

DECODERS = {
    "configuration": decode_catalog,
    "instance": lambda value: decode_member("i-1", value),
    "server": lambda value: decode_upstream("i-1", value),
}
ENTRY = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 8, "state": "ready"}


def encode_entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


@pytest.mark.parametrize("address", NOT_ADDRESSES)
def test_server_entry_with_an_odd_address_is_unreadable(address):
    """A port such as "²" once ended the follower of the servers again and again."""
    with pytest.raises(UnreadableRow):
        decode_upstream("i-1", encode_entry(address=address))


@pytest.mark.parametrize("depth", [1_000, 30_000, 2_000_000])
@pytest.mark.parametrize(("opening", "closing"), [(b"[", b"]"), (b'{"a":', b"}")])
@pytest.mark.parametrize("decode", DECODERS.values(), ids=DECODERS)
def test_nesting_beyond_the_recursion_limit_makes_a_row_unreadable(decode, opening, closing, depth):
    """A deeply nested field that nobody reads once ended the follower of its table."""
    for value in (opening * depth, opening * depth + b"1" + closing * depth):
        with pytest.raises(UnreadableRow):
            decode(value)
        with pytest.raises(UnreadableRow):
            decode(b'{"ignored": ' + value + b"}")


@pytest.mark.parametrize("address", NOT_ADDRESSES)
def test_row_of_an_instance_with_an_odd_address_is_unreadable(address):
    """Such an address ended the process, or closed its socket for datagrams, when it was used."""
    with pytest.raises(UnreadableRow):
        decode_member("i-1", json.dumps({"address": address, "data_centre": "z"}).encode())


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 0},
        {"slots": -1},
        {"slots": 10**18},
        {"slots": 10**400},
        {"slots": True},
        {"slots": 8.0},
        {"born": -1},
        {"born": 2**63},
        {"born": 10**400},
        {"born": None},
        {"service": ""},
    ],
    ids=str,
)
def test_server_entry_with_values_out_of_range_is_unreadable(changes):
    with pytest.raises(UnreadableRow):
        decode_upstream("i-1", encode_entry(**changes))


def test_upstream_that_leaves_is_told_whatever_its_entry_says_of_its_start():
    """A start beyond 64 bits once failed each digest that told of its incarnation."""
    for born in (0, 1, 2**62, 2**63, 10**30):
        with contextlib.suppress(UnreadableRow):
            upstream = decode_upstream("i-1", encode_entry(born=born))
            reports = UpstreamReports(leaving=(upstream.incarnation,))
            digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
            assert decode_digest(encode_digest(digest, 0), 0).reports == reports


@pytest.mark.parametrize(
    "name", ["", " i-1", "i-1 ", "i\r\nX-Header: 1", "i\0", "i\t1", "i\x7f", "i\u2028", "i\u00a0"]
)
def test_server_entry_with_a_name_that_no_header_can_carry_is_unreadable(name):
    """Such an upstream was chosen for requests, none of which could be sent to it."""
    with pytest.raises(UnreadableRow):
        decode_upstream(name, encode_entry())


@given(st.text(max_size=20))
def test_name_of_a_decoded_entry_arrives_unchanged_in_the_request_header(name):
    with contextlib.suppress(UnreadableRow):
        upstream = decode_upstream(name, encode_entry())
        envelope = Envelope(upstream.name, 1_000, None, None, None)
        request = InboundRequest(b"GET", b"/", ((b"Host", b"h"),), 0)
        headers = PlatformDialect().write_headers(request, envelope)
        connection = h11.Connection(h11.CLIENT)
        sent = connection.send(h11.Request(method="GET", target="/", headers=list(headers)))
        assert f"expect-instance: {name}\r\n".encode() in sent.replace(b"Expect-I", b"expect-i")


def find_decodable_depth():
    """Return the depth at which a nested field still decodes."""
    depth = 0
    with contextlib.suppress(UnreadableRow):
        for depth in range(0, 2_000, 10):
            value = b"[" * depth + b"]" * depth if depth else b"0"
            decode_upstream("i-1", encode_entry()[:-1] + b', "more": ' + value + b"}")
    return depth


def test_deeply_nested_rows_use_up_nothing_of_the_recursion_limit():
    before = find_decodable_depth()
    for value in (b"[" * 30_000, b'{"a":' * 30_000, b"[" * 500 + b"?"):
        for _ in range(500):
            with pytest.raises(UnreadableRow):
                decode_upstream("i-1", b'{"more": ' + value)
    assert find_decodable_depth() == before > 100
