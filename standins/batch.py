"""A model of an engine with chunked prefill and batched decoding, without I/O or a clock.

``Batch.run_pass`` runs one pass and returns its results and its simulated duration in
milliseconds. The caller decides when the next pass starts.
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
    """The work of one engine on a request.

    ``prompt_tokens`` is the length of the whole prompt, which ``parts`` engines prefill in equal
    parts. ``decodes`` is false on an engine that only helps to prefill: its job finishes with the
    prefill. ``may_decode`` is false while any engine still prefills a part. The answer has
    ``answer_events`` events, of which ``events`` have been produced. ``rank`` is its priority, 0
    being the highest.
    """

    name: str
    prompt_tokens: int
    answer_events: int
    parts: int = 1
    decodes: bool = True
    prefilled_tokens: float = 0.0
    events: int = 0
    may_decode: bool = True
    rank: int = 0

    @property
    def part_tokens(self) -> float:
        """Return the number of prompt tokens that this engine prefills."""
        return self.prompt_tokens / self.parts

    @property
    def needs_prefill(self) -> bool:
        """Return whether part of this engine's share of the prompt still needs prefill."""
        return self.prefilled_tokens < self.part_tokens


@dataclass(frozen=True)
class PassResult:
    """The duration of a pass and the names of the jobs that made progress in it.

    ``decoded`` jobs produced an event each, ``prefilled`` jobs completed their prefill, and
    ``finished`` jobs left the batch.
    """

    duration_ms: float
    decoded: tuple[str, ...] = ()
    prefilled: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()


def order_prefill_jobs(prefill_jobs: list[BatchJob]) -> list[BatchJob]:
    """Return jobs in prefill order: split prompts from the newest on, then whole prompts by age."""
    parts = [job for job in prefill_jobs if job.parts > 1]
    whole = [job for job in prefill_jobs if job.parts == 1]
    return [*reversed(parts), *whole]


@dataclass
class Batch:
    """The jobs of one engine.

    Jobs that decode occupy a slot each, and those beyond ``spec.slots`` wait in order. Jobs that
    only help to prefill need no slot.
    """

    spec: EngineSpec = ENGINE
    jobs: list[BatchJob] = field(default_factory=list)

    def add(self, job: BatchJob) -> None:
        """Add a job; it waits for a slot behind those of its rank and of higher ones."""
        decoding = [index for index, one in enumerate(self.jobs) if one.decodes]
        waiting = decoding[self.spec.slots :] if job.decodes else []
        lower = (index for index in waiting if self.jobs[index].rank > job.rank)
        self.jobs.insert(next(lower, len(self.jobs)), job)

    def remove(self, name: str) -> None:
        """Remove a job by name, if present."""
        self.jobs = [job for job in self.jobs if job.name != name]

    def run_pass(self) -> PassResult | None:
        """Run one pass and return its result, or None if no job can make progress."""
        running = [job for job in self.jobs if job.decodes][: self.spec.slots]
        running += [job for job in self.jobs if not job.decodes]
        decode_jobs = [
            job for job in running if job.decodes and not job.needs_prefill and job.may_decode
        ]
        prefill_jobs = order_prefill_jobs([job for job in running if job.needs_prefill])
        if not decode_jobs and not prefill_jobs:
            return None
        steps = self.spec.steps_per_pass if decode_jobs else 1
        duration_ms = self._prefill(prefill_jobs, steps)
        duration_ms += steps * self._find_step_ms(decode_jobs)
        for job in decode_jobs:
            job.events += 1
        finished = [job.name for job in decode_jobs if job.events >= job.answer_events]
        prefilled = [job.name for job in prefill_jobs if not job.needs_prefill]
        finished += [job.name for job in prefill_jobs if not job.needs_prefill and not job.decodes]
        self.jobs = [job for job in self.jobs if job.name not in finished]
        return PassResult(
            duration_ms, tuple(job.name for job in decode_jobs), tuple(prefilled), tuple(finished)
        )

    def _prefill(self, prefill_jobs: list[BatchJob], steps: int) -> float:
        remaining_tokens = float(steps * self.spec.chunk_tokens)
        spent_ms = 0.0
        for job in prefill_jobs:
            tokens = min(remaining_tokens, job.part_tokens - job.prefilled_tokens)
            if tokens <= 0:
                continue
            remaining_tokens -= tokens
            spent_ms += self._find_prefill_ms(job, tokens)
            job.prefilled_tokens += tokens
            if job.part_tokens - job.prefilled_tokens < 1e-6:
                job.prefilled_tokens = job.part_tokens
        return spent_ms

    def _find_prefill_ms(self, job: BatchJob, tokens: float) -> float:
        """Return the time to prefill ``tokens`` more tokens of a job, with their attention cost.

        Attention takes time for each token pair; engines that split a prompt share its pairs.
        """
        begin = job.prefilled_tokens * job.parts
        end = begin + tokens * job.parts
        pairs = (end * end - begin * begin) / 2 / job.parts
        linear_ms = tokens / self.spec.prefill_tokens_per_ms
        return linear_ms + pairs / PAIRS_PER_MILLION * self.spec.pairs_ms_per_million

    def _find_step_ms(self, decode_jobs: list[BatchJob]) -> float:
        context = sum(job.prompt_tokens / job.parts for job in decode_jobs)
        context_ms = self.spec.step_ms_per_1k_context * context / TOKENS_PER_K
        return (
            self.spec.step_ms
            + self.spec.step_ms_per_decoding_request * len(decode_jobs)
            + context_ms
        )
