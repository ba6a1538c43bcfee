"""Request headers that every kind of call understands."""

from __future__ import annotations

from result import Err, Ok, Result
from werkzeug.wrappers import Request as HttpRequest

from lentilwell._failures import Failure, InvalidRequest
from lentilwell._inventory import Rules

DEADLINE_HEADER = "X-Deadline-Ms"
MAXIMUM_DIGITS = 15


def read_deadline_ms(http: HttpRequest, rules: Rules, otherwise_ms: int) -> Result[int, Failure]:
    """Return the milliseconds a call may take: the header's or ``otherwise_ms``, capped by rule."""
    given = http.headers.get(DEADLINE_HEADER)
    if given is None:
        return Ok(min(rules.maximum_deadline_ms, otherwise_ms))
    if not given.isdecimal() or len(given) > MAXIMUM_DIGITS or int(given) == 0:
        return Err(InvalidRequest(f"{DEADLINE_HEADER} must be a whole number of ms, 1 or more."))
    return Ok(min(rules.maximum_deadline_ms, int(given)))
