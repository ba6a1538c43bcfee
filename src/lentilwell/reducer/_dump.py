"""Dump of the whole state as JSON-compatible values, without API keys and prompts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from pyrsistent import PMap, PSet, PVector

from lentilwell.reducer._fifo import Fifo
from lentilwell.reducer._heap import Heap
from lentilwell.reducer._state import State

# Left out: digests of API keys, hashes of prompts, the random seed, and a copy of the engines.
_HIDDEN_FIELDS = frozenset(("key_digests", "prefix", "random", "scanned"))


def dump_state(state: State) -> Any:
    """Return the state as dicts, lists and scalar values."""
    return _to_plain(state)


def _to_plain(value: object) -> Any:
    if isinstance(value, Fifo | Heap):
        return list(value)
    if is_dataclass(value):
        names = [field.name for field in fields(value) if field.name not in _HIDDEN_FIELDS]
        return {name: _to_plain(getattr(value, name)) for name in names}
    if isinstance(value, Mapping | PMap):
        return {str(key): _to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | frozenset | PSet | PVector):
        return [_to_plain(item) for item in value]
    if isinstance(value, Enum):
        return value.value
    return value
