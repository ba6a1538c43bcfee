"""Strategies for JSON that another writer may leave: deep, with huge numbers, or almost sound."""

from __future__ import annotations

import json

from hypothesis import strategies as st

# Texts that are numbers in JSON, or almost: out of any range, and in forms that decoders differ on.
ODD_NUMBERS = st.sampled_from(
    ["1e400", "-1e400", "1e308", "1e-400", "NaN", "Infinity", "00", "1E5", "0.1", "true", "1.0"]
) | st.sampled_from([-1, 0, 10**18, 2**63, 2**64, -(2**63) - 1, 10**4_000 - 1]).map(str)
ODD_TEXTS = (
    st.text(max_size=20)
    | st.sampled_from(
        ["", "\0", " 80", "\u0663", "\u00b2", "\ufeff", "ready", "\r\nX: 1", "x" * 5_000]
    )
    | st.sampled_from(["80", "0", "-1", "65536", " 80", "\u00b2", "1" * 5_000]).map(
        "10.0.0.1:".__add__
    )
    | st.sampled_from(["10.0.0.1", "::1:80", "[::1]:80", "name.example:80", ":", "..:80"])
)
_LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    ODD_TEXTS,
)
VALUES = st.recursive(
    _LEAVES,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(ODD_TEXTS, inner, max_size=4),
    max_leaves=12,
)


def _nest(opening: bytes, depth: int, closed: bool, inner: bytes) -> bytes:
    closing = b"]" if opening == b"[" else b"}"
    return opening * depth + inner + (closing * depth if closed else b"")


# The decoders' limit is about a thousand; a row can hold 65,536 bytes.
DEEP = st.builds(
    _nest,
    st.sampled_from([b"[", b'{"a":']),
    st.sampled_from([1, 900, 1_000, 1_100, 10_000, 60_000]),
    st.booleans(),
    st.sampled_from([b"1", b'"x"', b"[]"]),
)
RAW_NUMBERS = ODD_NUMBERS.map(str.encode)
RAW_TEXTS = ODD_TEXTS.map(lambda text: json.dumps(text).encode())
RAW_VALUES = st.one_of(
    RAW_NUMBERS,
    RAW_TEXTS,
    VALUES.map(lambda value: json.dumps(value).encode()),
    DEEP,
    st.binary(max_size=12),
)


def _join(fields: list[tuple[str, bytes]]) -> bytes:
    parts = (json.dumps(name).encode() + b":" + value for name, value in fields)
    return b"{" + b",".join(parts) + b"}"


def list_values(value: object, path: tuple[object, ...] = ()) -> dict[tuple[object, ...], object]:
    """Return a value and all values within it by their paths."""
    values = {path: value}
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, inner in items:
        values.update(list_values(inner, (*path, key)))
    return values


def _oddities_of(value: object) -> st.SearchStrategy[bytes | None]:
    """Return a strategy for what may stand in place of a value, mostly of the same type."""
    if isinstance(value, str):
        return RAW_TEXTS | RAW_VALUES | st.none()
    if isinstance(value, int | float):
        return RAW_NUMBERS | RAW_VALUES | st.none()
    return RAW_VALUES | st.none()


@st.composite
def almost(draw: st.DrawFn, sound: object) -> bytes:
    """Return JSON like ``sound``, in which some values are odd or missing, or fields are added."""
    values = list_values(sound)
    paths = draw(st.lists(st.sampled_from(list(values)), max_size=2, unique=True))
    changes = {path: draw(_oddities_of(values[path])) for path in paths}
    added = draw(st.lists(st.tuples(ODD_TEXTS, RAW_VALUES), max_size=0 if changes else 2))
    return _write(sound, (), changes, added)


def _write(
    value: object,
    path: tuple[object, ...],
    changes: dict[tuple[object, ...], bytes | None],
    added: list[tuple[str, bytes]],
) -> bytes:
    """Encode a value with its changes; None removes a field, or makes another value null."""
    if path in changes:
        return changes[path] or b"null"
    if isinstance(value, dict):
        fields = [
            (name, _write(inner, (*path, name), changes, []))
            for name, inner in value.items()
            if changes.get((*path, name), b"kept") is not None
        ]
        return _join([*fields, *added])
    if isinstance(value, list):
        items = (_write(inner, (*path, at), changes, []) for at, inner in enumerate(value))
        return b"[" + b",".join(items) + b"]"
    return json.dumps(value).encode()


def odd_json(sound: object) -> st.SearchStrategy[bytes]:
    """Return a strategy for bytes of any kind and for JSON that resembles ``sound``."""
    return st.one_of(almost(sound), almost(sound), almost(sound), RAW_VALUES)
