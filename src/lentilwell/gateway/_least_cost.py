"""Placement policy that minimises the expected number of late requests. Pure.

The load consists of short and long prompts on the same engines, in bursts of either. A long prefill
on an engine lengthens the pauses of the streams that are written there and delays the first events
of the prompts queued behind it. If several engines share the prefill, each part is short but more
engines are disturbed.

The cost of an option is the probability that the request itself is late, plus the increase in that
probability for the requests already there, each multiplied by the weight of its request. Streams
are gathered on few engines as long as they stay on time there, which leaves engines without streams
for long prompts.
"""

from __future__ import annotations

import functools
from collections.abc import Sequence
from dataclasses import dataclass

from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._engine_timing import (
    compute_weight,
    estimate_decode_pass_ms,
    estimate_prefill_ms,
    estimate_slot_wait_ms,
    estimate_write_ms,
)
from lentilwell.gateway._load_tracker import Job
from lentilwell.gateway._placement_policies import (
    Candidate,
    Choice,
    Helper,
    PlacementRequest,
    choose_least_outstanding,
    policy,
)
from lentilwell.gateway.overload import are_slots_scarce, estimate_next_slot_ms

# Numbers of engines that are considered for the prefill of one prompt. A request can name at most
# 16 helpers beside the primary engine.
ENGINE_COUNTS_TRIED = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# The shortest part that an engine reads: two chunks. Shorter parts disturb other requests more than
# they save time.
MIN_PART_TOKENS = 4_096
# The shares of a limit above which an estimate may turn out late. Estimates of first events vary
# more than those of pauses.
FIRST_EVENT_SAFE_SHARE = 0.45
PAUSE_SAFE_SHARE = 0.8
# The share of a limit from which an estimate counts as certainly late, and the cost for each
# further multiple of the limit.
CERTAINLY_LATE_SHARE = 1.05
OVERRUN_COST = 0.1
# The cost of an expected time as long as its limit, beside the risk of being late.
DELAY_COST = 0.15
# The average share of the prefill of whole prompts that belongs to the pass in progress.
CURRENT_PASS_SHARE = 0.5
# The cost of an engine without a free slot, for each request in excess.
NO_FREE_SLOT_COST = 1.0
# Where the ends of requests are expected by their age, this share of the cost remains for an engine
# whose next slot should be free by now: the expectation may be wrong.
UNSURE_SLOT_SHARE = 0.25
# When slots are scarce, instances that choose within the same few ms would all choose the same
# slot. A random cost of up to this for each engine spreads them.
SPREAD_COST = 1.0
# Multiples of this number are evenly spread over the numbers from 0 up to 1.
GOLDEN_RATIO = 0.6180339887
# The cost of lacking as much memory as an engine has.
MEMORY_SHORTAGE_COST = 1.0
# The cost of using an engine without streams, in late requests: it is then no longer available to
# long prompts that arrive later.
IDLE_ENGINE_COST = 0.1
# The latest requests of other instances may not be known yet, so not all memory counts as free.
USABLE_MEMORY_SHARE = 0.95
# A stream from another data centre breaks when the connection between the two is lost.
OTHER_DATA_CENTRE_COST = 0.1
# The cost of a cold engine for a prompt that several engines could share, above any other cost of
# an engine: what follows a long prompt waits behind it, and a cold engine gets few requests anyway.
COLD_ENGINE_COST = 1e6
# The cost of a refused request, as a share of its weight: the request is either sent to another
# engine or, on the last permitted send, lost.
RETRY_COST_SHARE = 0.3
LOST_REQUEST_COST_SHARE = 1.0


@dataclass(frozen=True)
class Option:
    """One way to place a request, with its cost in late requests.

    ``primary`` is the engine that writes the answer. ``part_ms`` is the specified prefill time of
    the part that each engine reads.
    """

    primary: Candidate
    helpers: tuple[Helper, ...]
    part_ms: float
    first_event_ms: float
    slot_wait_ms: float
    cost: float


@dataclass(frozen=True)
class PartEstimate:
    """The estimated effect of reading a part of the prompt at one engine.

    ``side_cost`` is the cost for other requests plus the cost of refusals by the engine. ``cost``
    adds the cost of being late itself.
    """

    first_event_ms: float
    side_cost: float
    cost: float


@policy("least_cost")
def choose_least_cost(request: PlacementRequest, candidates: Sequence[Candidate]) -> Choice | None:
    """Choose the engine, or the group of engines, with the lowest cost in late requests."""
    engine, prompt = request.engine, request.prompt
    if engine is None or prompt is None:
        return choose_least_outstanding(request, candidates)
    if not candidates:
        return None
    weight = compute_weight(engine, prompt.prompt_tokens)
    slots = engine.slots * len(candidates)
    free_slots = sum(max(0, engine.slots - one.load.slot_demand) for one in candidates)
    slot_waits = [find_slot_wait_ms(request, engine, candidate) for candidate in candidates]
    primary_costs = [
        estimate_primary_cost(request, engine, candidate, slot_wait_ms)
        for candidate, slot_wait_ms in zip(candidates, slot_waits, strict=True)
    ]
    if request.expects_ends and are_slots_scarce(free_slots, slots):
        for index in range(len(candidates)):
            point = (request.random_point + index * GOLDEN_RATIO) % 1
            primary_costs[index] += SPREAD_COST * point
    primaries = (primary_costs, slot_waits)
    options = [
        find_best_option(request, engine, weight, candidates, primaries, engine_count)
        for engine_count in ENGINE_COUNTS_TRIED
        if engine_count == 1
        or (
            engine_count <= len(candidates)
            and prompt.prompt_tokens >= engine_count * MIN_PART_TOKENS
        )
    ]
    best = min((option for option in options if option), key=_get_cost, default=None)
    if best is None:
        return None
    return Choice(
        upstream=best.primary.upstream,
        helpers=best.helpers,
        read_ms=best.primary.latency_factor * best.part_ms,
        first_event_ms=best.first_event_ms,
        weight=weight,
        latency_factor=best.primary.latency_factor,
        slot_wait_ms=best.slot_wait_ms,
        slots=slots,
        free_slots=free_slots,
    )


def find_slot_wait_ms(request: PlacementRequest, engine: EngineSpec, candidate: Candidate) -> float:
    """Return how long the request would wait for a slot of an engine, in ms."""
    load = candidate.load
    if load.slot_demand < engine.slots:
        return 0.0
    if request.expects_ends:
        return estimate_next_slot_ms(engine, load, request.now, candidate.latency_factor)
    return estimate_slot_wait_ms(engine, load.slot_demand)


def find_best_option(
    request: PlacementRequest,
    engine: EngineSpec,
    weight: float,
    candidates: Sequence[Candidate],
    primaries: tuple[Sequence[float], Sequence[float]],
    engine_count: int,
) -> Option | None:
    """Return the best option with this number of engines, or None if there is none.

    There is none if their memory is too small, or if too few of them may help.

    ``primaries`` holds the costs of each candidate as the primary engine, without the cost of its
    prefill, and how long the request waits for a slot there, in ms.
    """
    assert request.prompt is not None
    primary_costs, slot_waits = primaries
    part_ms = estimate_prefill_ms(engine, request.prompt.prompt_tokens) / engine_count
    estimates = [
        estimate_part(request, engine, weight, candidate, part_ms, engine_count > 1)
        for candidate in candidates
    ]
    ranked = sorted(range(len(candidates)), key=lambda index: estimates[index].cost)
    primary = min(ranked, key=lambda index: estimates[index].cost + primary_costs[index])
    others = [index for index in ranked if index != primary and not candidates[index].limited][
        : engine_count - 1
    ]
    if len(others) < engine_count - 1:
        return None
    helpers = plan_reservations(
        engine,
        request.prompt.memory_tokens,
        candidates[primary],
        [candidates[index] for index in others],
    )
    if helpers is None:
        return None
    chosen = [estimates[index] for index in (primary, *others)]
    first_event_ms = max(estimate.first_event_ms for estimate in chosen)
    first_event_ms += slot_waits[primary]
    own_cost = weight * estimate_lateness(
        request.waited_ms + first_event_ms, request.objective_ms, FIRST_EVENT_SAFE_SHARE
    )
    side_cost = sum(estimate.side_cost for estimate in chosen)
    cost = own_cost + side_cost + primary_costs[primary]
    return Option(candidates[primary], helpers, part_ms, first_event_ms, slot_waits[primary], cost)


def estimate_part(
    request: PlacementRequest,
    engine: EngineSpec,
    weight: float,
    candidate: Candidate,
    part_ms: float,
    spread: bool,
) -> PartEstimate:
    """Return the estimated effect of reading a part of the prompt at one engine."""
    first_event_ms = estimate_first_event_ms(engine, candidate, part_ms, spread)
    own_cost = weight * estimate_lateness(
        request.waited_ms + first_event_ms, request.objective_ms, FIRST_EVENT_SAFE_SHARE
    )
    side_cost = estimate_cost_to_others(request.now, engine, candidate, part_ms, spread)
    side_cost += (
        weight
        * candidate.refusal_share
        * (LOST_REQUEST_COST_SHARE if request.last_send else RETRY_COST_SHARE)
    )
    return PartEstimate(first_event_ms, side_cost, own_cost + side_cost)


def plan_reservations(
    engine: EngineSpec, needed: int, primary: Candidate, others: Sequence[Candidate]
) -> tuple[Helper, ...] | None:
    """Return the helpers, each with the memory that it is to reserve for the prompt.

    Helpers reserve only what the primary engine lacks, and as few of them as possible do so,
    because the stream breaks if any of them fails. None means that these engines together do not
    have enough free memory. A prompt that fits into one engine and is read there alone may wait for
    memory instead.
    """
    missing = needed - find_free_memory(engine, primary)
    if missing <= 0 or (not others and needed <= engine.memory_tokens * USABLE_MEMORY_SHARE):
        return tuple(Helper(other.upstream) for other in others)
    reserved: dict[str, int] = {}
    for other in sorted(others, key=functools.partial(find_free_memory, engine), reverse=True):
        reserved[other.upstream.name] = min(missing, find_free_memory(engine, other))
        missing -= reserved[other.upstream.name]
    if missing > 0:
        return None
    return tuple(Helper(other.upstream, reserved[other.upstream.name]) for other in others)


def find_free_memory(engine: EngineSpec, candidate: Candidate) -> int:
    """Return the memory that an engine can give to one more prompt, in tokens."""
    usable = int(engine.memory_tokens * USABLE_MEMORY_SHARE)
    return max(0, usable - candidate.load.memory_tokens)


def _get_cost(option: Option) -> float:
    return option.cost


def estimate_primary_cost(
    request: PlacementRequest, engine: EngineSpec, candidate: Candidate, slot_wait_ms: float
) -> float:
    """Return the cost of using an engine as the primary one, without the cost of its prefill.

    It covers another data centre, a lack of free slots or memory, the use of an idle engine, and a
    long prompt at a cold one.
    """
    assert request.prompt is not None
    load = candidate.load
    cost = 0.0 if candidate.is_local else OTHER_DATA_CENTRE_COST
    if load.slot_demand >= engine.slots and request.expects_ends:
        interval_ms = max(1.0, estimate_write_ms(engine) / engine.slots)
        cost += NO_FREE_SLOT_COST * (UNSURE_SLOT_SHARE + slot_wait_ms / interval_ms)
    elif load.slot_demand >= engine.slots:
        cost += NO_FREE_SLOT_COST * (1 + load.slot_demand - engine.slots)
    if not load.slot_demand:
        cost += IDLE_ENGINE_COST
    if candidate.cold and request.prompt.prompt_tokens >= 2 * MIN_PART_TOKENS:
        cost += COLD_ENGINE_COST
    missing = request.prompt.memory_tokens - find_free_memory(engine, candidate)
    return cost + MEMORY_SHORTAGE_COST * max(0, missing) / engine.memory_tokens


def estimate_first_event_ms(
    engine: EngineSpec, candidate: Candidate, part_ms: float, spread: bool
) -> float:
    """Return the time until an engine has read a part and finished the pass after it, in ms.

    Engines read parts of spread prompts before whole prompts, but not before those in the pass in
    progress. Parts that were sent earlier are counted as read first, although engines read the
    newest part first: what a part gains by overtaking them, their requests lose.
    """
    load = candidate.load
    pass_ms = estimate_decode_pass_ms(engine, load.decoding_requests + 1, load.context_tokens)
    current_pass_ms = pass_ms / 2 if load.decoding_requests else 0.0
    backlog_ms = load.backlog_ms
    if spread:
        current_share = CURRENT_PASS_SHARE if load.decoding_requests else 0.0
        backlog_ms = load.spread_backlog_ms + current_share * (backlog_ms - load.spread_backlog_ms)
    return backlog_ms + candidate.latency_factor * (part_ms + pass_ms + current_pass_ms)


def estimate_cost_to_others(
    now: int, engine: EngineSpec, candidate: Candidate, part_ms: float, spread: bool
) -> float:
    """Return how many more requests of one engine are late if it reads ``part_ms`` more.

    A part of a spread prompt also delays the whole prompts that wait to be read there. Jobs that
    only reserve memory at the engine are not delayed.
    """
    load = candidate.load
    part_ms *= candidate.latency_factor
    pass_ms = candidate.latency_factor * estimate_decode_pass_ms(
        engine, load.decoding_requests, load.context_tokens
    )
    pass_ms += load.backlog_ms
    cost = 0.0
    for job in load.jobs:
        if not job.reading and job.writes:
            cost += job.weight * estimate_added_lateness(
                pass_ms, part_ms, job.pause_ms, PAUSE_SAFE_SHARE
            )
        elif job.reading and spread and not job.spread:
            cost += estimate_cost_to_prefill(now, job, load.backlog_ms + pass_ms, part_ms)
    return cost


def estimate_cost_to_prefill(now: int, job: Job, expected_ms: float, part_ms: float) -> float:
    """Return the added cost of a late first event for a job whose prompt is still to be read."""
    if job.late:
        return 0.0
    objective_ms = max(1, job.due_at - job.begun_at)
    return job.weight * estimate_added_lateness(
        now - job.begun_at + expected_ms, part_ms, objective_ms, FIRST_EVENT_SAFE_SHARE
    )


def estimate_added_lateness(
    before_ms: float, more_ms: float, limit_ms: int, safe_share: float
) -> float:
    """Return the increase in lateness cost if an expected time grows by ``more_ms``."""
    return estimate_lateness(before_ms + more_ms, limit_ms, safe_share) - estimate_lateness(
        before_ms, limit_ms, safe_share
    )


def estimate_lateness(expected_ms: float, limit_ms: int, safe_share: float) -> float:
    """Return the cost of an expected time: the probability of being late plus a cost of the time.

    Estimates err, so the probability rises from ``safe_share`` of the limit on. The cost of the
    time itself is small; it makes the quicker one of two safe options win. Beyond the limit the
    cost rises slowly, because a late request loses little more by being later still.
    """
    share = expected_ms / max(1, limit_ms)
    probability = min(1.0, max(0.0, (share - safe_share) / (CERTAINLY_LATE_SHARE - safe_share)))
    overrun = OVERRUN_COST * max(0.0, share - CERTAINLY_LATE_SHARE)
    return probability + overrun + DELAY_COST * share
