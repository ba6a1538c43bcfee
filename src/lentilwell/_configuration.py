"""Fetching the accepted configuration from the platform."""

from __future__ import annotations

import msgspec

from lentilwell._documents import parse_inventory
from lentilwell._inventory import Inventory
from lentilwell._ports import Platform

HEAD_KEY = "configuration.head"


class Head(msgspec.Struct, frozen=True):
    """The accepted version: its number, the digest that names its content, the edit's id."""

    version: int
    digest: str
    edit_id: str


def fetch_inventory(platform: Platform, above: int) -> Inventory | None:
    """Return the accepted configuration if its version is higher, or None."""
    row = platform.read_row(HEAD_KEY)
    if row.is_err():
        return None
    found = row.unwrap()
    if found is None:
        return None
    head = msgspec.json.decode(found.value, type=Head)
    if head.version <= above:
        return None
    content = platform.get_object(f"configuration/{head.digest}")
    if content.is_err():
        return None
    return parse_inventory(content.unwrap().decode(), head.version)
