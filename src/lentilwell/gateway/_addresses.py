"""Addresses of instances and upstreams. Pure logic, no I/O."""

from __future__ import annotations

import re

MAX_PORT = 65_535
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IP_AND_PORT = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:([1-9][0-9]{{0,4}})")


def is_ip_and_port(text: str) -> bool:
    """Tell whether a text has the form ``IP:PORT``, with an IPv4 address and a port in range.

    Host names are not accepted, because a name lookup can block the event loop.
    """
    match = _IP_AND_PORT.fullmatch(text)
    return match is not None and int(match[1]) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
