"""Addresses of instances and upstreams. Pure logic, no I/O."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65_535
_PORT = re.compile(r"[1-9][0-9]{0,4}")


def is_ip_and_port(text: str) -> bool:
    """Tell whether a text has the form ``IP:PORT``, with an IPv4 address and a port in range.

    Host names are not accepted, because a name lookup can block the event loop.
    """
    host, _, port = text.rpartition(":")
    if _PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
