"""Refusals of faulty servers, and the routes on which they are tried."""

import dataclasses

from lentilwell.gateway import Repeat
from tests.gateway_harness import CATALOG

# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def format_refusal(status, request_id, body):
    """Return the bytes of a refusal; ``request_id`` may be None, ``body`` is a kind of framing."""
    head = f"HTTP/1.1 {status} X\r\nNot-Run: 1\r\n"
    if request_id is not None:
        head += f"Request-Id: {request_id}\r\n"
    framing = {
        "empty": b"Content-Length: 0\r\n\r\n",
        "length": b"Content-Length: 4\r\n\r\nfull",
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
        "too short": b"Content-Length: 40\r\n\r\nfull",
        "too long": b"Content-Length: 1\r\n\r\nfull",
    }
    return head.encode() + framing[body]


def with_single_streams():
    """Return the configuration with a route ``/single/`` whose streams may not resume."""
    stream = CATALOG.routes[2]
    single = dataclasses.replace(stream, name="single", prefix="/single/", repeat=Repeat.NEVER)
    return dataclasses.replace(CATALOG, routes=(*CATALOG.routes, single))
