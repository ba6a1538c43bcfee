"""How long an upstream may be silent before its request is taken elsewhere. Pure.

Load that this answers: upstreams that go dark while streams are on them. A caller leaves a silent
stream after some seconds; taken elsewhere in time, it goes on. An upstream that is merely busy is
waited for: the limit follows the estimate of its work.
"""

from __future__ import annotations

from lentilwell.gateway._admission import find_leaving_ms
from lentilwell.gateway._books import Load
from lentilwell.gateway._catalog import EngineSpec, Repeat, Route
from lentilwell.gateway._reading import slot_wait_ms, write_pass_ms

ESTIMATE_FACTOR = 3.0
STREAM_SLACK_MS = 450
# A stream taken elsewhere needs this long to its first event there.
RESCUE_MS = 800
PLAIN_OBJECTIVES = 2
# With less than this still to be read, an engine could have answered.
EXPLAINING_BACKLOG_MS = 200
EXPLAINING_MEMORY_SHARE = 0.9
LEAST_PLAIN_MS = 250


def find_patience(
    route: Route,
    engine: EngineSpec | None,
    load: Load,
    first_event_ms: float | None,
    pace: float = 1.0,
) -> int | None:
    """Return the longest silence to wait for in ms; None where only the deadline ends the wait.

    ``first_event_ms`` is the estimate while the first event is awaited, None after it; ``pace`` is
    how slow the upstream is. A stream is taken elsewhere while its caller can still be served, even
    if the upstream may only be slow; work that is known to wait there is always waited for.
    """
    if route.repeat is Repeat.NEVER:
        return None
    if engine is None or not route.streams:
        return max(LEAST_PLAIN_MS, PLAIN_OBJECTIVES * route.objective_ms)
    pass_ms = pace * write_pass_ms(engine, load.writers, load.context_tokens)
    expected_ms = pass_ms + load.backlog_ms
    if first_event_ms is not None:
        queue_ms = pace * slot_wait_ms(engine, load.occupants - 1)
        expected_ms = max(expected_ms + queue_ms, first_event_ms)
    generous_ms = ESTIMATE_FACTOR * expected_ms + STREAM_SLACK_MS
    rescue_ms = find_leaving_ms(route) - RESCUE_MS
    return round(max(min(generous_ms, rescue_ms), expected_ms + STREAM_SLACK_MS))


def explains_silence(engine: EngineSpec | None, load: Load) -> bool:
    """Tell whether the work known at an upstream may be why it said nothing for so long.

    An engine that reads, or whose slots or memory are taken, lets others wait without a word.
    """
    if engine is None:
        return False
    return (
        load.backlog_ms > EXPLAINING_BACKLOG_MS
        or load.occupants > engine.slots
        or load.memory_tokens > EXPLAINING_MEMORY_SHARE * engine.memory_tokens
    )
