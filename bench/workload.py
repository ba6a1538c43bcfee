"""What the callers ask: arrivals drawn from a seed, with lengths, teams and deadlines."""

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
    """One request: when it is meant to be sent, from the start of the run, and what it asks."""

    name: str
    at_ms: float
    team: str
    prompt_tokens: int
    answer_tokens: int
    deadline_ms: int


@dataclass(frozen=True)
class Fleet:
    """What the engines can do, in wall-clock terms: tokens a second each, ms between tokens."""

    engines: int
    tokens_per_second: float
    decode_ms: float
    memory_tokens: int

    def capacity(self, mean_prompt_tokens: float) -> float:
        """Return the requests a second that the engines can read, at this mean length."""
        return self.engines * self.tokens_per_second / mean_prompt_tokens

    def service_ms(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Return the time of one request on idle engines; a span reads its parts together."""
        own = min(prompt_tokens, self.memory_tokens)
        read_ms = own * MS_PER_SECOND / self.tokens_per_second
        return read_ms + answer_tokens * self.decode_ms


def mean_prompt_tokens(mix: Sequence[tuple[int, float]]) -> float:
    """Return the mean prompt length of a mix of lengths and weights."""
    return sum(length * weight for length, weight in mix) / sum(weight for _, weight in mix)


def draw_arrivals(
    seed: int,
    fleet: Fleet,
    mix: Sequence[tuple[int, float]],
    rate: Callable[[float], float],
    duration_ms: float,
    prefix: str = "r",
) -> list[Arrival]:
    """Draw a Poisson stream whose rate, in requests a second, depends on the time in ms."""
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
        service = fleet.service_ms(length, ANSWER_TOKENS)
        deadline = int(DEADLINE_BASE_MS + DEADLINE_SERVICE_TIME_FACTOR * service)
        name = f"{prefix}-{seed}-{len(arrivals)}"
        arrivals.append(Arrival(name, at_ms, team, length, ANSWER_TOKENS, deadline))


def merge_arrivals(*streams: Sequence[Arrival]) -> list[Arrival]:
    """Return the arrivals of several streams in order of time."""
    return sorted((a for stream in streams for a in stream), key=lambda a: a.at_ms)


def rename_arrivals(arrivals: Sequence[Arrival], prefix: str) -> list[Arrival]:
    """Return the same arrivals under other names, so that no prompt is in a cache already."""
    return [replace(arrival, name=f"{prefix}-{arrival.name}") for arrival in arrivals]


def make_peak_rate(
    low: float, high: float, start_ms: float, rise_ms: float, plateau_ms: float
) -> Callable[[float], float]:
    """Return a rate that rises from ``low`` to ``high``, holds, and falls back at once."""

    def rate(at_ms: float) -> float:
        if at_ms < start_ms or at_ms >= start_ms + rise_ms + plateau_ms:
            return low
        share = min(1.0, (at_ms - start_ms) / rise_ms)
        return low + (high - low) * share

    return rate
