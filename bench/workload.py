"""Random request arrivals, reproducible by seed, with prompt lengths, teams and deadlines."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

MS_PER_SECOND = 1_000
ANSWER_TOKENS = 30
DEADLINE_BASE_MS = 1_500
DEADLINE_SERVICE_TIME_FACTOR = 4
TEAMS = tuple(f"team-{number}" for number in range(1, 11))
TEAM_WEIGHTS = (30, 20, 15, 5, 5, 5, 5, 5, 5, 5)
SHORT_LENGTHS = ((1_000, 100),)
MIXED_LENGTHS = ((1_000, 70), (4_000, 15), (16_000, 9), (64_000, 4), (128_000, 2))
LONG_LENGTHS = ((256_000, 9), (1_000_000, 1))


@dataclass(frozen=True)
class Arrival:
    """One request to send; ``at_ms`` is its scheduled send time from the start of the run."""

    name: str
    at_ms: float
    team: str
    prompt_tokens: int
    answer_tokens: int
    deadline_ms: int


@dataclass(frozen=True)
class Fleet:
    """The engines and the speed of each in wall-clock time.

    ``tokens_per_second`` is the prefill rate, ``decode_ms`` the time between answer tokens.
    """

    engines: int
    tokens_per_second: float
    decode_ms: float
    memory_tokens: int

    def capacity(self, mean_prompt_tokens: float) -> float:
        """Return the requests per second that the engines can prefill at a mean prompt length."""
        return self.engines * self.tokens_per_second / mean_prompt_tokens

    def service_ms(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Return the time of one request on idle engines.

        A prompt longer than the memory of one engine is split over several, which prefill their
        parts in parallel.
        """
        part_tokens = min(prompt_tokens, self.memory_tokens)
        prefill_ms = part_tokens * MS_PER_SECOND / self.tokens_per_second
        return prefill_ms + answer_tokens * self.decode_ms


def mean_prompt_tokens(mix: Sequence[tuple[int, float]]) -> float:
    """Return the mean prompt length of a mix of (length, weight) pairs."""
    return sum(length * weight for length, weight in mix) / sum(weight for _, weight in mix)


def draw_arrivals(
    seed: int,
    fleet: Fleet,
    mix: Sequence[tuple[int, float]],
    rate: Callable[[float], float],
    duration_ms: float,
    prefix: str = "r",
) -> list[Arrival]:
    """Draw Poisson arrivals; ``rate`` maps the time in ms to requests per second."""
    random = Random(f"{seed} {prefix}")
    peak = max(rate(ms) for ms in range(0, int(duration_ms), 10))
    lengths, weights = zip(*mix, strict=True)
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while True:
        at_ms += random.expovariate(peak) * MS_PER_SECOND
        if at_ms >= duration_ms:
            return arrivals
        length = random.choices(lengths, weights)[0]
        team = random.choices(TEAMS, TEAM_WEIGHTS)[0]
        if random.random() * peak > rate(at_ms):
            continue
        service_ms = fleet.service_ms(length, ANSWER_TOKENS)
        deadline_ms = int(DEADLINE_BASE_MS + DEADLINE_SERVICE_TIME_FACTOR * service_ms)
        name = f"{prefix}-{seed}-{len(arrivals)}"
        arrivals.append(Arrival(name, at_ms, team, length, ANSWER_TOKENS, deadline_ms))


def merge_arrivals(*streams: Sequence[Arrival]) -> list[Arrival]:
    """Merge several streams of arrivals in order of time."""
    return sorted((a for stream in streams for a in stream), key=lambda a: a.at_ms)


def rename_arrivals(arrivals: Sequence[Arrival], prefix: str) -> list[Arrival]:
    """Return the same arrivals under new names.

    The prompt depends on the name, so no prompt is already in a cache.
    """
    return [replace(arrival, name=f"{prefix}-{arrival.name}") for arrival in arrivals]


def make_peak_rate(
    low: float, high: float, start_ms: float, rise_ms: float, plateau_ms: float
) -> Callable[[float], float]:
    """Return a rate function with one peak.

    The rate rises linearly from ``low`` to ``high``, stays there for ``plateau_ms`` and drops back
    at once.
    """

    def rate(at_ms: float) -> float:
        if at_ms < start_ms or at_ms >= start_ms + rise_ms + plateau_ms:
            return low
        progress = min(1.0, (at_ms - start_ms) / rise_ms)
        return low + (high - low) * progress

    return rate
