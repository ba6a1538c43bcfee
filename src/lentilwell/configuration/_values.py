"""Parsers for single values of the inventory, by the type of a field or the name of its key."""

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

MAX_NUMBER = 1 << 40
MAX_PERCENT = 100
_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")
_FLAGS = {"yes": True, "no": False}


class InvalidValue(Exception):
    """A value is invalid; holds the problem type and its details until the location is known."""

    def __init__(self, problem_type: type[Problem], *details: object) -> None:
        self._problem_type = problem_type
        self._details = details

    def make_problem(self, section: str, key: str, line: int) -> Problem:
        """Return the problem with its section, key and line."""
        return self._problem_type(section, key, line, *self._details)


def _read_number(minimum: int, maximum: int = MAX_NUMBER) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not (text.isascii() and text.isdecimal() and len(text) < 16):
            raise InvalidValue(BadNumber, minimum, maximum)
        if not minimum <= int(text) <= maximum:
            raise InvalidValue(BadNumber, minimum, maximum)
        return int(text)

    return read


def _read_flag(text: str) -> bool:
    if text not in _FLAGS:
        raise InvalidValue(BadFlag)
    return _FLAGS[text]


def _read_text(text: str) -> str:
    if not text or "\n" in text:
        raise InvalidValue(BadText)
    return text


def _read_names(text: str) -> tuple[str, ...]:
    return tuple(text.split())


def _read_url(text: str) -> str:
    try:
        url_parts = urlsplit(text)
        is_complete = (
            url_parts.scheme in ("http", "https")
            and bool(url_parts.hostname)
            and bool(url_parts.port)
        )
    except ValueError:
        raise InvalidValue(BadUrl) from None
    has_extra_parts = (
        url_parts.path or url_parts.query or url_parts.fragment or url_parts.username is not None
    )
    if not is_complete or has_extra_parts or re.search(r"\s", text):
        raise InvalidValue(BadUrl)
    return text


def _read_key_digests(text: str) -> tuple[str, ...]:
    digests = _read_names(text)
    if not all(_KEY_DIGEST.fullmatch(digest) for digest in digests):
        raise InvalidValue(BadKeyDigest)
    return digests


def _read_policy(registry: Mapping[str, object]) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in registry:
            raise InvalidValue(UnknownPolicy, ", ".join(sorted(registry)))
        return text

    return read


READERS_BY_TYPE: dict[Any, Callable[[str], Any]] = {
    int: _read_number(1),
    bool: _read_flag,
    str: _read_text,
    tuple[str, ...]: _read_names,
}
READERS_BY_KEY: dict[str, Callable[[str], Any]] = {
    "url": _read_url,
    "key_sha256": _read_key_digests,
    "order": _read_policy(ORDERS),
    "placement": _read_policy(PLACEMENTS),
    "retry_budget_percent": _read_number(0, MAX_PERCENT),
    "deadline_ms_per_1k_tokens": _read_number(0),
}
