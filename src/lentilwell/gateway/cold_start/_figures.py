"""Parses the remaining cold times that upstreams state. Pure logic, no I/O."""

from __future__ import annotations

import re

# Longer remaining times are taken for errors; upstreams are cold for a few seconds.
MAX_COLD_MS = 600_000
_DECIMAL = re.compile(r"\d{1,20}(\.\d{1,20})?", re.ASCII)


def parse_cold_ms(text: str) -> int | None:
    """Return the remaining cold time in ms, from 0 to ``MAX_COLD_MS``; None if it is invalid.

    Of several values, separated by commas, the largest counts.
    """
    values = [_parse_value(part.strip()) for part in text.split(",")]
    valid = [value for value in values if value is not None]
    return max(valid) if len(valid) == len(values) else None


def _parse_value(text: str) -> int | None:
    if _DECIMAL.fullmatch(text) is None:
        return None
    value = float(text)
    return round(value) if value <= MAX_COLD_MS else None
