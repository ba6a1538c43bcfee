"""Request headers common to completions and calls of plain services."""

from __future__ import annotations

from result import Err, Ok, Result
from werkzeug.wrappers import Request as HttpRequest

from lentilwell._failures import Failure, InvalidRequest
from lentilwell._inventory import Rules

DEADLINE_HEADER = "X-Deadline-Ms"
MAX_DEADLINE_DIGITS = 15


def read_deadline_ms(
    http_request: HttpRequest, rules: Rules, default_ms: int
) -> Result[int, Failure]:
    """Return the time limit of a call in milliseconds.

    It is the value of the deadline header, or ``default_ms`` without that header, and at most the
    maximum deadline of the rules.
    """
    value = http_request.headers.get(DEADLINE_HEADER)
    if value is None:
        return Ok(min(rules.maximum_deadline_ms, default_ms))
    if not value.isdecimal() or len(value) > MAX_DEADLINE_DIGITS or int(value) == 0:
        return Err(
            InvalidRequest(f"{DEADLINE_HEADER} must be an integer of at least 1 (milliseconds).")
        )
    return Ok(min(rules.maximum_deadline_ms, int(value)))
