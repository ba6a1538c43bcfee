"""Refusals that cannot be told to belong to the request, or do not state that it has not run."""

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.refusal_scripts import with_single_streams

SEND_ONCE_PATHS = ("/once/x", "/single/x")


@pytest.mark.parametrize("status", [503, 429, 408])
@pytest.mark.parametrize("path", [*SEND_ONCE_PATHS, "/whole/x", "/stream/x"])
@in_loop
async def test_status_that_promises_not_run_is_not_forwarded_without_that_statement(path, status):
    """A server that ran a request answers with such a status, but does not say "not run"."""

    async def run_and_answer(arrival):
        await arrival.answer(status, b"busy", Retry_After=1)

    async with run_gateway(*[run_and_answer] * 2, catalog=with_single_streams()) as harness:
        answer = await harness.call(path)
        assert answer.status == 502 and "server-stamp" not in answer.headers
        assert len(harness.arrivals) == (1 if path in SEND_ONCE_PATHS else 2)
