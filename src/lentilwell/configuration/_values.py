"""Reading single values of the inventory, each by the type or the name of its key."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import urlsplit

from lentilwell.configuration._problems import (
    BadFlag,
    BadKeyDigest,
    BadNumber,
    BadText,
    BadUrl,
    Problem,
    UnknownPolicy,
)
from lentilwell.decisions import ORDERS, PLACEMENTS

MAXIMUM_NUMBER = 1 << 40
MAXIMUM_PERCENT = 100
_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")
_FLAGS = {"yes": True, "no": False}


class ValueRefused(Exception):
    """A value is wrong; makes the problem for its place."""

    def __init__(self, kind: type[Problem], *details: object) -> None:
        self._kind = kind
        self._details = details

    def make(self, section: str, key: str, line: int) -> Problem:
        """Return the problem at a place."""
        return self._kind(section, key, line, *self._details)


def _read_number(least: int, most: int = MAXIMUM_NUMBER) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not (text.isascii() and text.isdecimal() and len(text) < 16):
            raise ValueRefused(BadNumber, least, most)
        if not least <= int(text) <= most:
            raise ValueRefused(BadNumber, least, most)
        return int(text)

    return read


def _read_flag(text: str) -> bool:
    if text not in _FLAGS:
        raise ValueRefused(BadFlag)
    return _FLAGS[text]


def _read_text(text: str) -> str:
    if not text or "\n" in text:
        raise ValueRefused(BadText)
    return text


def _read_names(text: str) -> tuple[str, ...]:
    return tuple(text.split())


def _read_url(text: str) -> str:
    try:
        parts = urlsplit(text)
        whole = parts.scheme in ("http", "https") and bool(parts.hostname) and bool(parts.port)
    except ValueError:
        raise ValueRefused(BadUrl) from None
    extra = parts.path or parts.query or parts.fragment or parts.username is not None
    if not whole or extra or re.search(r"\s", text):
        raise ValueRefused(BadUrl)
    return text


def _read_key_digests(text: str) -> tuple[str, ...]:
    digests = _read_names(text)
    if not all(_KEY_DIGEST.fullmatch(digest) for digest in digests):
        raise ValueRefused(BadKeyDigest)
    return digests


def _read_policy(registry: Mapping[str, object]) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in registry:
            raise ValueRefused(UnknownPolicy, ", ".join(sorted(registry)))
        return text

    return read


BY_TYPE: dict[Any, Callable[[str], Any]] = {
    int: _read_number(1),
    bool: _read_flag,
    str: _read_text,
    tuple[str, ...]: _read_names,
}
BY_KEY: dict[str, Callable[[str], Any]] = {
    "url": _read_url,
    "key_sha256": _read_key_digests,
    "order": _read_policy(ORDERS),
    "placement": _read_policy(PLACEMENTS),
    "retry_budget_percent": _read_number(0, MAXIMUM_PERCENT),
    "deadline_ms_per_1k_tokens": _read_number(0),
}
