"""How long an upstream may be silent before its request is also sent to another one. Pure.

An upstream can fail silently while it serves streams. Callers abandon a silent stream after some
seconds, so the gateway resumes the stream at another upstream before that. A busy upstream is given
more time: the timeout grows with the estimate of its work. A sound upstream may be silent for a
second and go on, so the timeout does not end the wait for it.
"""

from __future__ import annotations

from lentilwell.gateway._catalog import EngineSpec, Repeat, Route
from lentilwell.gateway._engine_timing import estimate_decode_pass_ms, estimate_slot_wait_ms
from lentilwell.gateway._load_tracker import Load
from lentilwell.gateway.overload import find_caller_silence_timeout_ms

ESTIMATE_FACTOR = 3.0
STREAM_SLACK_MS = 450
# The time from sending a request to another upstream until the first event from there.
FAILOVER_MS = 800
PLAIN_SERVICE_OBJECTIVES = 2
# An engine with a prefill backlog up to this could have answered, so that its backlog does not
# explain its silence.
BUSY_BACKLOG_MS = 200
BUSY_MEMORY_SHARE = 0.9
MIN_PLAIN_SERVICE_TIMEOUT_MS = 250


def find_silence_timeout_ms(
    route: Route,
    engine: EngineSpec | None,
    load: Load,
    first_event_ms: float | None,
    latency_factor: float = 1.0,
) -> int | None:
    """Return the silence in ms after which another upstream is tried; None for never.

    ``first_event_ms`` is the estimated time to the first event, None after that event.
    ``latency_factor`` is the ratio of actual to specified latency of the upstream. A stream is
    tried at another upstream while that can still serve its caller in time, even if the upstream
    may only be slow. The timeout is never shorter than the work known to wait at the upstream.
    """
    if route.repeat is Repeat.NEVER:
        return None
    if engine is None or not route.streams:
        return max(MIN_PLAIN_SERVICE_TIMEOUT_MS, PLAIN_SERVICE_OBJECTIVES * route.objective_ms)
    pass_ms = latency_factor * estimate_decode_pass_ms(
        engine, load.decoding_requests, load.context_tokens
    )
    expected_ms = pass_ms + load.backlog_ms
    if first_event_ms is not None:
        queue_ms = latency_factor * estimate_slot_wait_ms(engine, load.slot_demand - 1)
        expected_ms = max(expected_ms + queue_ms, first_event_ms)
    tolerant_ms = ESTIMATE_FACTOR * expected_ms + STREAM_SLACK_MS
    failover_ms = find_caller_silence_timeout_ms(route) - FAILOVER_MS
    return round(max(min(tolerant_ms, failover_ms), expected_ms + STREAM_SLACK_MS))


def explains_silence(engine: EngineSpec | None, load: Load) -> bool:
    """Return whether the known work at an upstream may explain its silence.

    An engine sends nothing to waiting requests while it reads prompts or has no free slots or
    memory.
    """
    if engine is None:
        return False
    return (
        load.backlog_ms > BUSY_BACKLOG_MS
        or load.slot_demand > engine.slots
        or load.memory_tokens > BUSY_MEMORY_SHARE * engine.memory_tokens
    )
