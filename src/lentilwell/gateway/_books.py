"""The work in hand at each upstream: what this instance sent there and what its peers tell.

``Books`` is plain bookkeeping without I/O. ``on_change`` is called when the own jobs change, with
whether that is urgent: others choose wrongly until they know of work that was added, while work
that is over may be told later.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

# What a reading that should be over by now still counts for.
OVERDUE_SHARE = 0.25


@dataclass(frozen=True)
class Job:
    """One request's work at one upstream.

    ``read_ms`` is the estimate of its reading there, ``reading`` tells whether that still goes on.
    ``writes`` is false for an upstream that only helps to read or to hold. ``due_at`` is when the
    first event is due, ``pause_ms`` the longest pause that the stream bears; ``weight`` is what
    being on time counts for it against other jobs. ``spread`` tells that several engines read the
    prompt: such parts are read ahead of whole prompts.
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


@dataclass(frozen=True)
class Load:
    """The work at one upstream at one moment. ``backlog_ms`` is the reading still to be done.

    ``spread_backlog_ms`` is the share of it that belongs to prompts which several engines read,
    ``context_tokens`` the memory of the requests that write.
    """

    jobs: tuple[Job, ...] = ()
    backlog_ms: float = 0.0
    spread_backlog_ms: float = 0.0
    memory_tokens: int = 0
    context_tokens: int = 0

    @property
    def writers(self) -> int:
        """Return the number of requests that write."""
        return sum(not job.reading for job in self.jobs)

    @property
    def occupants(self) -> int:
        """Return the number of requests that take a slot or wait for one; helping takes none."""
        return sum(job.writes for job in self.jobs)


IDLE = Load()


class Books:
    """Jobs by upstream, the own ones by name and those of each peer as it last told them."""

    def __init__(self) -> None:
        self.on_change: Callable[[bool], None] = lambda urgent: None
        self._own: dict[str, dict[str, Job]] = {}
        # By upstream, then by peer: a choice looks at many upstreams, each with few peers' jobs.
        self._told: dict[str, dict[str, tuple[Job, ...]]] = {}
        self._upstreams_of: dict[str, frozenset[str]] = {}

    def add(self, job: Job) -> None:
        """Note a job that is being sent."""
        self._own.setdefault(job.upstream, {})[job.name] = job
        self.on_change(True)

    def note_read(self, name: str, upstreams: Iterable[str]) -> None:
        """The first event came: the reading is over everywhere."""
        for upstream in upstreams:
            job = self._own.get(upstream, {}).get(name)
            if job is None or not job.reading:
                continue
            self.on_change(False)
            if job.writes or job.memory_tokens:
                self._own[upstream][name] = replace(job, reading=False)
            else:
                self.remove(name, (upstream,))

    def remove(self, name: str, upstreams: Iterable[str]) -> None:
        """Note that a job has ended."""
        for upstream in upstreams:
            jobs = self._own.get(upstream, {})
            if jobs.pop(name, None) is not None:
                self.on_change(False)
            if not jobs:
                self._own.pop(upstream, None)

    def list_own(self) -> tuple[Job, ...]:
        """Return this instance's jobs, to be told to its peers."""
        return tuple(job for jobs in self._own.values() for job in jobs.values())

    def take_peer(self, peer: str, jobs: Iterable[Job]) -> None:
        """Replace what a peer has in hand; no jobs forget it."""
        found: dict[str, list[Job]] = {}
        for job in jobs:
            found.setdefault(job.upstream, []).append(job)
        for upstream in self._upstreams_of.pop(peer, frozenset()) - found.keys():
            self._drop_told(upstream, peer)
        for upstream, listed in found.items():
            self._told.setdefault(upstream, {})[peer] = tuple(listed)
        if found:
            self._upstreams_of[peer] = frozenset(found)

    def measure(self, upstream: str, now: int) -> Load:
        """Return the load of an upstream."""
        jobs = list(self._own.get(upstream, {}).values())
        for told in self._told.get(upstream, {}).values():
            jobs.extend(told)
        return measure_jobs(jobs, now) if jobs else IDLE

    def _drop_told(self, upstream: str, peer: str) -> None:
        told = self._told[upstream]
        del told[peer]
        if not told:
            del self._told[upstream]


def measure_jobs(jobs: list[Job], now: int) -> Load:
    """Return the load that these jobs make together."""
    writing = [job for job in jobs if not job.reading]
    reading = [job for job in jobs if job.reading]
    return Load(
        jobs=tuple(jobs),
        backlog_ms=sum_backlog(reading, now),
        spread_backlog_ms=sum_backlog([job for job in reading if job.spread], now),
        memory_tokens=sum(job.memory_tokens for job in jobs),
        context_tokens=sum(job.memory_tokens for job in writing),
    )


def sum_backlog(reading: list[Job], now: int) -> float:
    """Return how long the reading of these jobs goes on, one after another, in ms.

    A job that should have been read by now still counts with a share of its reading.
    """
    finish = 0.0
    overdue = 0.0
    for job in sorted(reading, key=lambda job: job.begun_at):
        finish = max(finish, float(job.begun_at)) + job.read_ms
        if finish < now:
            overdue += job.read_ms * OVERDUE_SHARE
    return max(0.0, finish - now, overdue)
