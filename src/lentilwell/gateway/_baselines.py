"""Placement policies to measure others against. Pure.

Load that these answer: any, without a model of what a choice does to the requests already there.
Prompts are read in parts of a fixed length, by the engines with the least left to read.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lentilwell.gateway._choice import (
    Candidate,
    Choice,
    Helper,
    Wish,
    choose_least_outstanding,
    policy,
)
from lentilwell.gateway._reading import read_ms

PART_TOKENS = 80_000
# Longer prompts than this many usual ones have engines of their own in a fixed split.
LONG_PROMPTS = 2
LONG_SHARE = 0.3


@policy("least_work")
def choose_least_work(wish: Wish, candidates: Sequence[Candidate]) -> Choice | None:
    """Take the engines that have the least left to read."""
    if wish.engine is None or wish.prompt is None:
        return choose_least_outstanding(wish, candidates)
    if not candidates:
        return None
    tokens = wish.prompt.prompt_tokens
    readers = min(len(candidates), math.ceil(tokens / PART_TOKENS))
    first, *others = sorted(candidates, key=_rank)[:readers]
    part_ms = read_ms(wish.engine, tokens) / readers
    return Choice(
        upstream=first.upstream,
        helpers=tuple(Helper(other.upstream) for other in others),
        read_ms=part_ms,
        first_event_ms=first.load.backlog_ms + part_ms,
    )


@policy("fixed_split")
def choose_fixed_split(wish: Wish, candidates: Sequence[Candidate]) -> Choice | None:
    """Keep a fixed share of the engines for long prompts, the rest for the others."""
    if wish.engine is None or wish.prompt is None:
        return choose_least_outstanding(wish, candidates)
    ordered = sorted(candidates, key=_name)
    border = math.ceil(LONG_SHARE * len(ordered))
    long = wish.prompt.prompt_tokens > LONG_PROMPTS * wish.engine.usual_prompt_tokens
    pool = ordered[:border] if long else ordered[border:]
    return choose_least_work(wish, pool or ordered)


def _rank(candidate: Candidate) -> tuple[float, int]:
    return candidate.load.backlog_ms, candidate.load.occupants


def _name(candidate: Candidate) -> str:
    return candidate.upstream.name
