"""Faster ``dataclasses.replace`` for frozen data classes, which does not call ``__init__``.

``dataclasses.replace`` costs a call per field, and the state has dozens of fields and is copied
several times per event. Type checkers see ``dataclasses.replace``, so they check field names and
types.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from dataclasses import replace as replace
else:
    _T = TypeVar("_T")

    def replace(record: _T, **changes: Any) -> _T:
        """Return a copy of a record with some fields changed; its class must not use slots."""
        fields = record.__dict__
        if not changes.keys() <= fields.keys():
            raise TypeError(f"{type(record).__name__} lacks some of the fields {sorted(changes)}")
        copy = object.__new__(type(record))
        copy.__dict__.update(fields, **changes)
        return copy
