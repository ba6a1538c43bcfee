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
    earliest_end = now + OVERDUE_PASSES * pass_ms

    def find_write_ms(job: Job) -> float:
        tokens = 0.0 if job.spread else find_answer_tokens(engine, job.weight, job.memory_tokens)
        return latency_factor * _estimate_answer_ms(engine, tokens)

    running = [job for job in load.jobs if job.writes and not job.reading]
    ends = [max(earliest_end, job.begun_at + find_write_ms(job)) for job in running]
    reading = [job for job in load.jobs if job.writes and job.reading]
    heapq.heapify(ends)
    for job in sorted(reading, key=_find_order):
        if job.late and len(ends) >= engine.slots:
            break
        started_at = float(job.begun_at)
        if len(ends) >= engine.slots:
            started_at = max(started_at, heapq.heappop(ends))
        ends_at = started_at + job.read_ms + pass_ms + find_write_ms(job)
        heapq.heappush(ends, max(earliest_end, ends_at))
    if len(ends) < engine.slots:
        return 0.0
    return max(0.0, heapq.nsmallest(len(ends) - engine.slots + 1, ends)[-1] - now)


def _estimate_answer_ms(engine: EngineSpec, stated_tokens: float) -> float:
    """Return how long an answer takes, by its stated length within bounds, in ms.

    Callers may state more than the answer will have. While a typical answer is written, each other
    slot is taken by a new request, whose prompt is read in the same passes.
    """
    typical = max(1, engine.typical_answer_tokens)
    share = stated_tokens / typical if stated_tokens > 0 else 1.0
    read_ms = estimate_prefill_ms(engine, engine.typical_prompt_tokens)
    write_ms = estimate_write_ms(engine) + engine.slots * read_ms
    return min(MAX_STATED_SHARE, max(MIN_STATED_SHARE, share)) * write_ms


def _find_order(job: Job) -> tuple[bool, int]:
    return job.late, job.begun_at
