"""Upstreams that end under requests: what is logged and counted of the requests that they cut."""

import pytest

from lentilwell._log_lines import RequestCut
from lentilwell.gateway._fingerprints import compute_fingerprint
from lentilwell.gateway._messages import InboundRequest
from tests.gateway_harness import HOST, run_gateway
from tests.gateway_scripts import (
    answer_truncated,
    in_loop,
    reset_connection,
    stay_silent,
    stream_and_break,
)

PARTS = "aa:40,bb:300,cc:20"


async def begin_and_break(arrival):
    await arrival.begin_stream()
    arrival.writer.close()


@pytest.fixture
def cuts(monkeypatch):
    found = []
    monkeypatch.setattr(
        "lentilwell.gateway._request_recorder.write_line",
        lambda line: found.append(line) if isinstance(line, RequestCut) else None,
    )
    return found


@pytest.mark.parametrize(
    ("script", "path", "events"),
    [
        (reset_connection, "/stream/x", 0),
        (begin_and_break, "/stream/x", 0),
        (stream_and_break, "/stream/x", 2),
        (answer_truncated, "/whole/x", 0),
    ],
)
@in_loop
async def test_cut_request_is_logged_with_its_parts_and_events(cuts, script, path, events):
    async with run_gateway(script) as harness:
        await harness.call(path, Prompt_Prefix=PARTS)
        method, target = b"POST", path.encode()
        request = InboundRequest(method, target, ((b"Host", HOST.encode()),), 0)
        fingerprint = compute_fingerprint(request, "blue")
        assert cuts[0] == RequestCut("id1", "u0", 0, events, "aa bb", fingerprint)
        label = str(events) if events < 2 else "more"
        counted = f'lentilwell_gateway_cut_requests_total{{events="{label}",service="s"}} 1.0'
        assert counted in harness.gateway.metrics.render().decode()


@in_loop
async def test_silence_is_not_logged_as_a_cut(cuts):
    async with run_gateway(stay_silent) as harness:
        await harness.call("/stream/x", Prompt_Prefix=PARTS, Deadline_Ms="600")
        assert not cuts
