"""WSGI responses common to the listeners for callers and for operators."""

from __future__ import annotations

from werkzeug.wrappers import Response

from lentilwell._failures import Failure, MethodNotAllowed
from lentilwell.forwarding import encode_error, retry_after_seconds


def make_failure_response(failure: Failure) -> Response:
    """Return the HTTP response for a failure."""
    response = Response(
        encode_error(failure), status=failure.status, content_type="application/json"
    )
    if isinstance(failure, MethodNotAllowed):
        response.headers["Allow"] = failure.allowed
    retry_after = retry_after_seconds(failure)
    if retry_after is not None:
        response.headers["Retry-After"] = retry_after
    return response
