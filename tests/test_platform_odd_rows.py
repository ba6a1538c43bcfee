"""Rows that another writer left in a table of the store: they are skipped, and the others hold."""

import json

import pytest
from wire_configuration import decode_catalog
from wire_instances import decode_member
from wire_servers import decode_upstream

from lentilwell.gateway import UnreadableRow
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
