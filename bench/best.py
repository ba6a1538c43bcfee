"""The most requests that pooled engines could answer in time: the denominator of the crest.

The engines count as one that reads with their joint rate and may be interrupted, which no real
placement can beat by more than rounding. Requests run by earliest deadline; when one would be
late, the one with the most work among those already taken is left out (after Moore and Hodgson).
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from bench.demand import MS_PER_SECOND, Arrival, Fleet


@dataclass(frozen=True)
class Job:
    """The reading of one request: times in ms, work in tokens."""

    released: float
    due: float
    work: float


def make_job(arrival: Arrival, fleet: Fleet) -> Job:
    """Return the reading that must be over early enough for the answer to be decoded."""
    decode_ms = arrival.answer_tokens * fleet.decode_ms
    due = arrival.at_ms + arrival.deadline_ms - decode_ms
    return Job(arrival.at_ms, due, arrival.prompt_tokens)


def count_best(arrivals: Sequence[Arrival], fleet: Fleet) -> int:
    """Return how many requests could be answered within their deadlines."""
    rate = fleet.engines * fleet.tokens_per_second / MS_PER_SECOND
    jobs = sorted((make_job(a, fleet) for a in arrivals), key=lambda job: job.released)
    while True:
        late_at = find_late(jobs, rate)
        if late_at is None:
            return len(jobs)
        late = [job for job in jobs if job.released < late_at and job.due <= late_at]
        jobs.remove(max(late, key=lambda job: job.work))


def find_late(jobs: Sequence[Job], rate: float) -> float | None:
    """Run the jobs by earliest deadline; return the due time of the first that is late."""
    queue: list[tuple[float, float]] = []
    now = 0.0
    position = 0
    while position < len(jobs) or queue:
        if not queue:
            now = max(now, jobs[position].released)
        while position < len(jobs) and jobs[position].released <= now:
            heapq.heappush(queue, (jobs[position].due, jobs[position].work))
            position += 1
        due, work = heapq.heappop(queue)
        until = jobs[position].released if position < len(jobs) else float("inf")
        end = now + work / rate
        if min(end, until) > due:
            return due
        if end > until:
            heapq.heappush(queue, (due, work - (until - now) * rate))
        now = min(end, until)
    return None
