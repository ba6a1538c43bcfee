"""Estimates when an engine has a free slot, from the ages of the requests that it serves. Pure.

Peers report the end of a request up to 800 ms late. The age of a request tells earlier that its
slot is about to be free, or already is.
"""

from __future__ import annotations

import heapq

from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._engine_timing import (
    estimate_decode_pass_ms,
    estimate_prefill_ms,
    estimate_write_ms,
    find_answer_tokens,
)
from lentilwell.gateway._load_tracker import Job, Load

# A request that should have ended is expected to end within this many passes of its engine.
OVERDUE_PASSES = 1.0
# Slots are scarce if at most this share of them is free.
SCARCE_SHARE = 0.1
# Bounds on the stated length of an answer, as a share of the typical length.
MIN_STATED_SHARE = 0.1
MAX_STATED_SHARE = 1.5


def are_slots_scarce(free_slots: int, slots: int) -> bool:
    """Tell whether so few slots are free that instances may choose the same one."""
    return free_slots <= SCARCE_SHARE * slots


def estimate_next_slot_ms(
    engine: EngineSpec,
    load: Load,
    now: int,
    latency_factor: float = 1.0,
) -> float:
    """Return how long one more request that is on time waits for a slot of an engine, in ms.

    Requests that were sent when they were already late do not count until they have a slot: the
    engine takes them last.
    """
    if load.slot_demand < engine.slots:
        return 0.0
    pass_ms = latency_factor * estimate_decode_pass_ms(
        engine, min(engine.slots, load.decoding_requests + 1), load.context_tokens
    )
    typical_ms = latency_factor * _estimate_use_ms(engine)
    earliest_end = now + OVERDUE_PASSES * pass_ms
    ends: list[float] = []
    reading: list[tuple[bool, int, float, float]] = []
    for job in load.jobs:
        if not job.writes:
            continue
        write_ms = typical_ms * _find_share(engine, job)
        if job.reading:
            reading.append((job.late, job.begun_at, job.read_ms, write_ms))
        else:
            ends.append(max(earliest_end, job.begun_at + write_ms))
    heapq.heapify(ends)
    for late, begun_at, read_ms, write_ms in sorted(reading):
        if late and len(ends) >= engine.slots:
            break
        started_at = float(begun_at)
        if len(ends) >= engine.slots:
            started_at = max(started_at, heapq.heappop(ends))
        heapq.heappush(ends, max(earliest_end, started_at + read_ms + pass_ms + write_ms))
    if len(ends) < engine.slots:
        return 0.0
    return max(0.0, heapq.nsmallest(len(ends) - engine.slots + 1, ends)[-1] - now)


def _estimate_use_ms(engine: EngineSpec) -> float:
    """Return how long an answer of typical length takes at an engine without a free slot, in ms.

    Meanwhile each other slot is taken by a new request, whose prompt is read in the same passes.
    """
    read_ms = estimate_prefill_ms(engine, engine.typical_prompt_tokens)
    return estimate_write_ms(engine) + engine.slots * read_ms


def _find_share(engine: EngineSpec, job: Job) -> float:
    """Return the stated length of a job's answer as a share of the typical one, within bounds.

    Callers may state more than the answer will have.
    """
    tokens = 0.0 if job.spread else find_answer_tokens(engine, job.weight, job.memory_tokens)
    share = tokens / max(1, engine.typical_answer_tokens) if tokens > 0 else 1.0
    return min(MAX_STATED_SHARE, max(MIN_STATED_SHARE, share))
