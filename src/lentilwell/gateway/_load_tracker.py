"""The work at each upstream: this instance's own jobs and those that its peers reported.

``LoadTracker`` does no I/O. It calls ``on_change`` when this instance's jobs change, and passes
whether the change is urgent. Added work is urgent, because peers choose wrongly until they know of
it. The end of a job is not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

# The share of its estimated prefill time that a job still counts for when its prefill is overdue.
OVERDUE_SHARE = 0.25


@dataclass(frozen=True)
class Job:
    """The work of one request at one upstream.

    ``read_ms`` is the estimated prefill time at this upstream, ``reading`` is true until the
    prefill is done. ``writes`` is false for an upstream that only reads part of the prompt or
    reserves memory for it. ``begun_at`` is when the work started, or when its first event came, and
    ``due_at`` when the first event is due. ``pause_ms`` is the longest pause between two events of
    the stream that is still on time. ``weight`` is how much being on time counts for this job
    compared with other jobs. ``spread`` is true if several engines read the prompt: engines read
    the parts of such prompts before whole prompts.
    """

    name: str
    upstream: str
    begun_at: int
    read_ms: float
    memory_tokens: int
    reading: bool = True
    writes: bool = True
    due_at: int = 0
    pause_ms: int = 0
    weight: float = 1.0
    spread: bool = False

    @property
    def late(self) -> bool:
        """Return whether the request was already late when it was sent: others go before it."""
        return 0 < self.due_at <= self.begun_at


@dataclass(frozen=True)
class Load:
    """The work at one upstream at one point in time.

    ``backlog_ms`` is the estimated time until all prompts are read. ``spread_backlog_ms`` is the
    same for prompts that several engines read. ``memory_tokens`` is the memory of all jobs,
    ``context_tokens`` that of the jobs whose prompts have been read.
    """

    jobs: tuple[Job, ...] = ()
    backlog_ms: float = 0.0
    spread_backlog_ms: float = 0.0
    memory_tokens: int = 0
    context_tokens: int = 0

    @property
    def decoding_requests(self) -> int:
        """Return the number of requests whose prompts have been read."""
        return sum(not job.reading for job in self.jobs)

    @property
    def slot_demand(self) -> int:
        """Return the number of requests that use a slot or wait for one.

        An upstream needs no slot for a request that it only helps to read.
        """
        return sum(job.writes for job in self.jobs)


IDLE_LOAD = Load()


class LoadTracker:
    """Tracks the jobs at each upstream: own jobs by name, other jobs as each peer reported them."""

    def __init__(self) -> None:
        self.on_change: Callable[[bool], None] = lambda urgent: None
        self._own: dict[str, dict[str, Job]] = {}
        # Keyed by upstream, then by peer: placement looks at many upstreams, and few peers have
        # jobs at each of them.
        self._reported: dict[str, dict[str, tuple[Job, ...]]] = {}
        self._upstreams_by_peer: dict[str, frozenset[str]] = {}

    def add(self, job: Job) -> None:
        """Add a job that is about to be sent."""
        self._own.setdefault(job.upstream, {})[job.name] = job
        self.on_change(True)

    def record_first_event(self, name: str, upstreams: Iterable[str], now: int) -> None:
        """Mark the prefill of a job as done at all its upstreams, since its first event came."""
        for upstream in upstreams:
            job = self._own.get(upstream, {}).get(name)
            if job is None or not job.reading:
                continue
            self.on_change(False)
            if job.writes or job.memory_tokens:
                self._own[upstream][name] = replace(job, reading=False, begun_at=now)
            else:
                self.remove(name, (upstream,))

    def remove(self, name: str, upstreams: Iterable[str]) -> None:
        """Remove a job that has ended."""
        for upstream in upstreams:
            jobs = self._own.get(upstream, {})
            if jobs.pop(name, None) is not None:
                self.on_change(False)
            if not jobs:
                self._own.pop(upstream, None)

    def list_own_jobs(self) -> tuple[Job, ...]:
        """Return this instance's jobs, which are reported to its peers."""
        return tuple(job for jobs in self._own.values() for job in jobs.values())

    def update_peer(self, peer: str, jobs: Iterable[Job]) -> None:
        """Replace the jobs of a peer; an empty list removes the peer."""
        jobs_by_upstream: dict[str, list[Job]] = {}
        for job in jobs:
            jobs_by_upstream.setdefault(job.upstream, []).append(job)
        for upstream in self._upstreams_by_peer.pop(peer, frozenset()) - jobs_by_upstream.keys():
            self._drop_reported(upstream, peer)
        for upstream, reported in jobs_by_upstream.items():
            self._reported.setdefault(upstream, {})[peer] = tuple(reported)
        if jobs_by_upstream:
            self._upstreams_by_peer[peer] = frozenset(jobs_by_upstream)

    def measure_load(self, upstream: str, now: int) -> Load:
        """Return the load of an upstream."""
        jobs = list(self._own.get(upstream, {}).values())
        for reported in self._reported.get(upstream, {}).values():
            jobs.extend(reported)
        return combine_jobs(jobs, now) if jobs else IDLE_LOAD

    def _drop_reported(self, upstream: str, peer: str) -> None:
        reported = self._reported[upstream]
        del reported[peer]
        if not reported:
            del self._reported[upstream]


def combine_jobs(jobs: list[Job], now: int) -> Load:
    """Return the load that the jobs of one upstream add up to."""
    decoding = [job for job in jobs if not job.reading]
    reading = [job for job in jobs if job.reading]
    return Load(
        jobs=tuple(jobs),
        backlog_ms=estimate_backlog_ms(reading, now),
        spread_backlog_ms=estimate_backlog_ms([job for job in reading if job.spread], now),
        memory_tokens=sum(job.memory_tokens for job in jobs),
        context_tokens=sum(job.memory_tokens for job in decoding),
    )


def estimate_backlog_ms(reading: list[Job], now: int) -> float:
    """Return the time until the prompts of these jobs are read one after another, in ms.

    A job whose prefill should be done by now still counts for a share of its prefill time.
    """
    finish = 0.0
    overdue = 0.0
    for job in sorted(reading, key=lambda job: job.begun_at):
        finish = max(finish, float(job.begun_at)) + job.read_ms
        if finish < now:
            overdue += job.read_ms * OVERDUE_SHARE
    return max(0.0, finish - now, overdue)
