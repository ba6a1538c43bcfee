"""A model of an engine that reads prompts in chunks and writes answers in passes; no I/O, no clock.

Time is whatever the caller says, in milliseconds. ``run_pass`` does one pass and returns what it
produced and how long it took.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilwell.gateway import EngineSpec

TOKENS_PER_K = 1_000
PAIRS_PER_MILLION = 1_000_000


ENGINE = EngineSpec(
    slots=8,
    memory_tokens=315_000,
    step_ms=0.85,
    step_ms_per_decoding_request=0.0085,
    step_ms_per_1k_context=0.00285,
    prefill_tokens_per_ms=177.0,
    pairs_ms_per_million=0.184,
    chunk_tokens=2_048,
    steps_per_pass=51,
    typical_prompt_tokens=11_108,
    typical_answer_tokens=1_622,
)


@dataclass
class BatchJob:
    """A request, or a part of one that several engines read.

    ``prompt_tokens`` is the whole prompt, ``parts`` the number of engines that read it. A part that
    only helps (``writes`` false) is over once it is read.
    """

    name: str
    prompt_tokens: int
    answer_events: int
    parts: int = 1
    writes: bool = True
    read_tokens: float = 0.0
    events: int = 0
    released: bool = True

    @property
    def part_tokens(self) -> float:
        """Return the tokens that this engine reads."""
        return self.prompt_tokens / self.parts

    @property
    def reading(self) -> bool:
        """Tell whether the part is not read yet."""
        return self.read_tokens < self.part_tokens


@dataclass(frozen=True)
class PassResult:
    """What a pass did: its length, the jobs that wrote an event, the parts that were read."""

    length_ms: float
    wrote: tuple[str, ...] = ()
    read: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


def order_readers(readers: list[BatchJob]) -> list[BatchJob]:
    """Return jobs in the order of reading: parts first, the newest before the others."""
    parts = [job for job in readers if job.parts > 1]
    whole = [job for job in readers if job.parts == 1]
    return [*reversed(parts), *whole]


@dataclass
class Batch:
    """One engine's work. Jobs beyond its slots wait in order; a part that only helps takes none."""

    spec: EngineSpec = ENGINE
    jobs: list[BatchJob] = field(default_factory=list)

    def add(self, job: BatchJob) -> None:
        """Take a job."""
        self.jobs.append(job)

    def remove(self, name: str) -> None:
        """Drop a job."""
        self.jobs = [job for job in self.jobs if job.name != name]

    def run_pass(self) -> PassResult | None:
        """Do one pass; None where there is nothing to do."""
        running = [job for job in self.jobs if job.writes][: self.spec.slots]
        running += [job for job in self.jobs if not job.writes]
        writers = [job for job in running if job.writes and not job.reading and job.released]
        readers = order_readers([job for job in running if job.reading])
        if not writers and not readers:
            return None
        steps = self.spec.steps_per_pass if writers else 1
        length_ms = self._read(readers, steps)
        length_ms += steps * self._step_ms(writers)
        for job in writers:
            job.events += 1
        ended = [job.name for job in writers if job.events >= job.answer_events]
        read = [job.name for job in readers if not job.reading]
        ended += [job.name for job in readers if not job.reading and not job.writes]
        self.jobs = [job for job in self.jobs if job.name not in ended]
        return PassResult(length_ms, tuple(job.name for job in writers), tuple(read), tuple(ended))

    def _read(self, readers: list[BatchJob], steps: int) -> float:
        left = float(steps * self.spec.chunk_tokens)
        spent_ms = 0.0
        for job in readers:
            tokens = min(left, job.part_tokens - job.read_tokens)
            if tokens <= 0:
                continue
            left -= tokens
            spent_ms += self._read_ms(job, tokens)
            job.read_tokens += tokens
            if job.part_tokens - job.read_tokens < 1e-6:
                job.read_tokens = job.part_tokens
        return spent_ms

    def _read_ms(self, job: BatchJob, tokens: float) -> float:
        """Return the time for some tokens of a part, with their share of the prompt's pairs."""
        begin = job.read_tokens * job.parts
        end = begin + tokens * job.parts
        pairs = (end * end - begin * begin) / 2 / job.parts
        linear_ms = tokens / self.spec.prefill_tokens_per_ms
        return linear_ms + pairs / PAIRS_PER_MILLION * self.spec.pairs_ms_per_million

    def _step_ms(self, writers: list[BatchJob]) -> float:
        context = sum(job.prompt_tokens / job.parts for job in writers)
        context_ms = self.spec.step_ms_per_1k_context * context / TOKENS_PER_K
        return (
            self.spec.step_ms + self.spec.step_ms_per_decoding_request * len(writers) + context_ms
        )
