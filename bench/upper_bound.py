"""The most requests that pooled engines could answer in time: the denominator of the crest.

The engines count as one that reads with their joint rate and may be interrupted, which no real
placement can beat by more than rounding. Requests run by earliest deadline; when one would be
late, the one with the most work among those already taken is left out (after Moore and Hodgson).
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from bench.workload import MS_PER_SECOND, Arrival, Fleet


@dataclass(frozen=True)
class Job:
    """The reading of one request: times in ms, work in tokens."""

    release_ms: float
    due_ms: float
    work_tokens: float


def make_job(arrival: Arrival, fleet: Fleet) -> Job:
    """Return the reading that must be over early enough for the answer to be decoded."""
    decode_ms = arrival.answer_tokens * fleet.decode_ms
    due_ms = arrival.at_ms + arrival.deadline_ms - decode_ms
    return Job(arrival.at_ms, due_ms, arrival.prompt_tokens)


def count_max_in_time(arrivals: Sequence[Arrival], fleet: Fleet) -> int:
    """Return how many requests could be answered within their deadlines."""
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
    """Run the jobs by earliest deadline; return the due time of the first that is late."""
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
