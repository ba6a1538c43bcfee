"""WSGI answers that more than one listener gives."""

from __future__ import annotations

from werkzeug.wrappers import Response

from lentilwell._failures import Failure, MethodNotAllowed
from lentilwell.forwarding import encode_error, retry_after_seconds


def respond_failure(failure: Failure) -> Response:
    """Return the HTTP answer for a failure."""
    response = Response(
        encode_error(failure), status=failure.status, content_type="application/json"
    )
    if isinstance(failure, MethodNotAllowed):
        response.headers["Allow"] = failure.allowed
    after = retry_after_seconds(failure)
    if after is not None:
        response.headers["Retry-After"] = after
    return response
