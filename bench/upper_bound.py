"""Computes an upper bound on the number of requests that can be answered in time.

The peak-load measures divide their results by this bound. The model replaces all engines by a
single preemptive engine with their total prefill rate; except for rounding, no real placement can
do better. Jobs run earliest deadline first. When a job would be late, the job with the most work
among those released before and due by that deadline is dropped, as in the Moore-Hodgson algorithm.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from bench.workload import MS_PER_SECOND, Arrival, Fleet


@dataclass(frozen=True)
class Job:
    """The prefill of one request."""

    release_ms: float
    due_ms: float
    work_tokens: float


def make_job(arrival: Arrival, fleet: Fleet) -> Job:
    """Return the prefill job, due early enough for the answer to be decoded by the deadline."""
    decode_ms = arrival.answer_tokens * fleet.decode_ms
    due_ms = arrival.at_ms + arrival.deadline_ms - decode_ms
    return Job(arrival.at_ms, due_ms, arrival.prompt_tokens)


def count_max_in_time(arrivals: Sequence[Arrival], fleet: Fleet) -> int:
    """Return the maximum number of requests that can be answered within their deadlines."""
    tokens_per_ms = fleet.engines * fleet.tokens_per_second / MS_PER_SECOND
    jobs = sorted((make_job(a, fleet) for a in arrivals), key=lambda job: job.release_ms)
    while True:
        missed_due_ms = find_missed_due_ms(jobs, tokens_per_ms)
        if missed_due_ms is None:
            return len(jobs)
        candidates = [
            job for job in jobs if job.release_ms < missed_due_ms and job.due_ms <= missed_due_ms
        ]
        jobs.remove(max(candidates, key=lambda job: job.work_tokens))


def find_missed_due_ms(jobs: Sequence[Job], tokens_per_ms: float) -> float | None:
    """Run the jobs earliest deadline first; return the due time of the first late job, if any."""
    queue: list[tuple[float, float]] = []
    now_ms = 0.0
    position = 0
    while position < len(jobs) or queue:
        if not queue:
            now_ms = max(now_ms, jobs[position].release_ms)
        while position < len(jobs) and jobs[position].release_ms <= now_ms:
            heapq.heappush(queue, (jobs[position].due_ms, jobs[position].work_tokens))
            position += 1
        due_ms, work_tokens = heapq.heappop(queue)
        next_release_ms = jobs[position].release_ms if position < len(jobs) else float("inf")
        end_ms = now_ms + work_tokens / tokens_per_ms
        if min(end_ms, next_release_ms) > due_ms:
            return due_ms
        if end_ms > next_release_ms:
            heapq.heappush(
                queue, (due_ms, work_tokens - (next_release_ms - now_ms) * tokens_per_ms)
            )
        now_ms = min(end_ms, next_release_ms)
    return None
