"""Copies of frozen records with some fields changed, without running ``__init__`` again.

``dataclasses.replace`` costs a call per field; the state has dozens and is copied several times an
event. Type checkers see ``dataclasses.replace`` itself, so that names and types stay checked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from dataclasses import replace as replace
else:
    _T = TypeVar("_T")

    def replace(record: _T, **changes: Any) -> _T:
        """Return a copy of a frozen data class without slots, with these fields changed."""
        fields = record.__dict__
        if not changes.keys() <= fields.keys():
            raise TypeError(f"{type(record).__name__} has no such field: {sorted(changes)}")
        copy = object.__new__(type(record))
        copy.__dict__.update(fields, **changes)
        return copy
