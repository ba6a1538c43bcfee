"""Addresses from entries of other writers: only an IP address with a port in range is accepted."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import BootClock
from lentilwell.gateway import open_http_connection
from lentilwell.gateway._addresses import MAX_PORT, is_ip_and_port, split_address
from lentilwell.gateway._failures import Unreachable
from tests.gateway_scripts import in_loop

NOT_ADDRESSES = [
    "",
    ":",
    ":80",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * 30,
    "10.0.0.1:" + "1" * 5_000,
    "10.0.0.1: 80",
    "10.0.0.1:80 ",
    "10.0.0.1:80\n",
    "10.0.0.1:080",
    "10.0.0.1:8_0",
    "10.0.0.1:\u00b2",
    "10.0.0.1:\u0663",
    "\u0661\u0660.0.0.1:80",
    "10.0.0.1:80:90",
    "10.0.1:80",
    "10.0.0.256:80",
    "10.0.0.1/8:80",
    "0x7f.1:80",
    "::1:80",
    "[::1]:80",
    "name.example:80",
    "..:80",
    "a" * 70 + ".example:80",
    "10.0.0.1\0:80",
    "10.0.0.1\r\nX-Header: 1\r\n:80",
]


@pytest.mark.parametrize("text", NOT_ADDRESSES)
def test_odd_text_is_no_address(text):
    assert not is_ip_and_port(text)


@given(st.ip_addresses(v=4), st.integers(1, MAX_PORT))
def test_ip_address_with_a_port_in_range_is_accepted(address, port):
    assert is_ip_and_port(f"{address}:{port}")


@given(st.text(st.sampled_from("0123456789.:\u00b2\u0663-+ abx[]\0"), max_size=24))
def test_accepted_text_can_be_split_into_ip_address_and_port(text):
    if is_ip_and_port(text):
        host, port = split_address(text)
        assert str(ipaddress.IPv4Address(host)) == host and 0 < port <= MAX_PORT


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1",
        "10.0.0.1:-1",
        "10.0.0.1:65536",
        "10.0.0.1:" + "9" * 30,
        "10.0.0.1:" + "1" * 5_000,
        "10.0.0.1:\u00b2",
        "10.0.0.1\0:80",
        "..:80",
        "a" * 70 + ".example:80",
        "\ud800:80",
    ],
)
@in_loop
async def test_connection_to_an_odd_address_is_reported_as_unreachable(address):
    """Callers of this function handle no other error."""
    with pytest.raises(Unreachable):
        await open_http_connection(address, BootClock())
