"""Rows that another writer left in a table of the store: they are skipped, and the others hold."""

import json

import pytest
from wire_servers import decode_upstream

from lentilwell.gateway import UnreadableRow
from tests.test_gateway_addresses import NOT_ADDRESSES

ENTRY = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 8, "state": "ready"}


def encode_entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


@pytest.mark.parametrize("address", NOT_ADDRESSES)
def test_server_entry_with_an_odd_address_is_unreadable(address):
    """A port such as "²" once ended the follower of the servers again and again."""
    with pytest.raises(UnreadableRow):
        decode_upstream("i-1", encode_entry(address=address))
