"""Simple placement policies, as baselines for comparison with ``least_cost``. Pure.

They suit any load, but do not model the effect of a choice on the requests already there. Prompts
are read in parts of a fixed length, by the engines with the shortest prefill backlog.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lentilwell.gateway._engine_timing import estimate_prefill_ms
from lentilwell.gateway._placement_policies import (
    Candidate,
    Choice,
    Helper,
    PlacementRequest,
    choose_least_outstanding,
    policy,
)

PART_TOKENS = 80_000
# The fixed split has separate engines for prompts longer than this multiple of a typical prompt.
LONG_PROMPT_FACTOR = 2
LONG_PROMPT_ENGINE_SHARE = 0.3


@policy("least_work")
def choose_least_work(request: PlacementRequest, candidates: Sequence[Candidate]) -> Choice | None:
    """Choose the engines with the shortest prefill backlog."""
    if request.engine is None or request.prompt is None:
        return choose_least_outstanding(request, candidates)
    if not candidates:
        return None
    tokens = request.prompt.prompt_tokens
    engine_count = min(len(candidates), math.ceil(tokens / PART_TOKENS))
    primary, *others = sorted(candidates, key=_get_load)[:engine_count]
    part_ms = estimate_prefill_ms(request.engine, tokens) / engine_count
    return Choice(
        upstream=primary.upstream,
        helpers=tuple(Helper(other.upstream) for other in others),
        read_ms=part_ms,
        first_event_ms=primary.load.backlog_ms + part_ms,
    )


@policy("fixed_split")
def choose_fixed_split(request: PlacementRequest, candidates: Sequence[Candidate]) -> Choice | None:
    """Use a fixed share of the engines for long prompts and the rest for other prompts."""
    if request.engine is None or request.prompt is None:
        return choose_least_outstanding(request, candidates)
    ordered = sorted(candidates, key=_get_name)
    long_count = math.ceil(LONG_PROMPT_ENGINE_SHARE * len(ordered))
    long = request.prompt.prompt_tokens > LONG_PROMPT_FACTOR * request.engine.typical_prompt_tokens
    pool = ordered[:long_count] if long else ordered[long_count:]
    return choose_least_work(request, pool or ordered)


def _get_load(candidate: Candidate) -> tuple[float, int]:
    return candidate.load.backlog_ms, candidate.load.slot_demand


def _get_name(candidate: Candidate) -> str:
    return candidate.upstream.name
