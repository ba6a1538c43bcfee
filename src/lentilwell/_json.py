"""Decodes JSON of other programs, whose nesting has no bound."""

from __future__ import annotations

from typing import TypeVar

import msgspec

_ValueT = TypeVar("_ValueT")


def decode_json(data: bytes, value_type: type[_ValueT]) -> _ValueT:
    """Decode JSON; raise ``msgspec.DecodeError`` if it is invalid or nested too deeply.

    msgspec raises RecursionError for the latter, also in fields that it skips.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except RecursionError as error:
        raise msgspec.DecodeError("the JSON is nested too deeply") from error
