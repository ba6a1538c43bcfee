"""Places a request where it costs all concerned the least time, by a model of the engines. Pure.

Load that this answers: short and long prompts on the same engines, in bursts of either. A long
reading on an engine stretches the pauses of the streams that are written there and delays the first
events behind it. Spread over several engines each part is short, but more engines are disturbed.
The cost of a choice is the chance that the request itself is late, plus what the choice adds to the
chances of the requests already there, each by its weight. Streams are written together on few
engines, as far as they stay on time there, so that long prompts find engines without any.
"""

from __future__ import annotations

import functools
from collections.abc import Sequence
from dataclasses import dataclass

from lentilwell.gateway._books import Job
from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._choice import (
    Candidate,
    Choice,
    Helper,
    Wish,
    choose_least_outstanding,
    policy,
)
from lentilwell.gateway._reading import read_ms, slot_wait_ms, write_pass_ms

# At most 16 helpers may be named beside the first engine.
READERS_TRIED = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Two chunks: smaller parts disturb more engines than they save time.
LEAST_PART_TOKENS = 4_096
# Shares of a limit from which on an estimate may turn out late; first events vary more.
FIRST_EVENT_SAFE = 0.45
PAUSE_SAFE = 0.8
LATE_SHARE = 1.05
BEYOND_LATE_SLOPE = 0.1
SLOWNESS_WEIGHT = 0.15
# The share of whole prompts' reading that is, on average, in the pass under way.
PASS_SHARE = 0.5
FULL_COST = 1.0
MEMORY_COST = 1.0
# What an engine without streams is worth to the long prompts to come, in requests that come late.
QUIET_ENGINE_COST = 0.1
# Other instances' latest requests may not be known yet.
MEMORY_SHARE = 0.95
# A stream from another data centre breaks when the two lose each other.
OTHER_DATA_CENTRE_COST = 0.1
LEAST_WEIGHT = 0.3
# The share of its weight that a request costs which is turned away: it is placed again, or lost.
PLACED_AGAIN_SHARE = 0.3
LOST_SHARE = 1.0


@dataclass(frozen=True)
class Option:
    """One way to place a request, and its cost in requests that come late."""

    lead: Candidate
    helpers: tuple[Helper, ...]
    part_ms: float
    first_event_ms: float
    cost: float


@dataclass(frozen=True)
class Reading:
    """A part of the prompt at one engine: its first event, and its cost.

    ``harm`` is what the part costs others, and what the engine's refusals cost.
    """

    first_event_ms: float
    harm: float
    cost: float


@policy("least_cost")
def choose_least_cost(wish: Wish, candidates: Sequence[Candidate]) -> Choice | None:
    """Take the engines, one or several, that make the fewest requests late."""
    engine, prompt = wish.engine, wish.prompt
    if engine is None or prompt is None:
        return choose_least_outstanding(wish, candidates)
    if not candidates:
        return None
    weight = find_weight(engine, prompt.prompt_tokens)
    leading = [lead_cost(wish, engine, candidate) for candidate in candidates]
    options = [
        plan(wish, engine, weight, candidates, leading, readers)
        for readers in READERS_TRIED
        if readers == 1
        or (readers <= len(candidates) and prompt.prompt_tokens >= readers * LEAST_PART_TOKENS)
    ]
    best = min((option for option in options if option), key=_cost, default=None)
    if best is None:
        return None
    return Choice(
        upstream=best.lead.upstream,
        helpers=best.helpers,
        read_ms=best.lead.pace * best.part_ms,
        first_event_ms=best.first_event_ms,
        weight=weight,
        pace=best.lead.pace,
    )


def plan(
    wish: Wish,
    engine: EngineSpec,
    weight: float,
    candidates: Sequence[Candidate],
    leading: Sequence[float],
    readers: int,
) -> Option | None:
    """Return the best way to read with this many engines, or None if they cannot hold it.

    ``leading`` is what each candidate costs as the first engine, beside its reading.
    """
    assert wish.prompt is not None
    part_ms = read_ms(engine, wish.prompt.prompt_tokens) / readers
    readings = [
        estimate_reading(wish, engine, weight, candidate, part_ms, readers > 1)
        for candidate in candidates
    ]
    places = sorted(range(len(candidates)), key=lambda place: readings[place].cost)
    first = min(places, key=lambda place: readings[place].cost + leading[place])
    others = [place for place in places if place != first][: readers - 1]
    helpers = share_memory(
        engine,
        wish.prompt.memory_tokens,
        candidates[first],
        [candidates[place] for place in others],
    )
    if helpers is None:
        return None
    chosen = [readings[place] for place in (first, *others)]
    first_ms = max(reading.first_event_ms for reading in chosen)
    first_ms += slot_wait_ms(engine, candidates[first].load.occupants)
    own = weight * lateness(wish.waited_ms + first_ms, wish.objective_ms, FIRST_EVENT_SAFE)
    harm = sum(reading.harm for reading in chosen)
    cost = own + harm + leading[first]
    return Option(candidates[first], helpers, part_ms, first_ms, cost)


def estimate_reading(
    wish: Wish,
    engine: EngineSpec,
    weight: float,
    candidate: Candidate,
    part_ms: float,
    spread: bool,
) -> Reading:
    """Return what reading a part of the prompt at one engine would mean."""
    first_ms = first_event_ms(engine, candidate, part_ms, spread)
    own = weight * lateness(wish.waited_ms + first_ms, wish.objective_ms, FIRST_EVENT_SAFE)
    harm = harm_of(wish.now, engine, candidate, part_ms, spread)
    harm += weight * candidate.refusing * (LOST_SHARE if wish.last_send else PLACED_AGAIN_SHARE)
    return Reading(first_ms, harm, own + harm)


def share_memory(
    engine: EngineSpec, needed: int, lead: Candidate, others: Sequence[Candidate]
) -> tuple[Helper, ...] | None:
    """Return the helpers, each with the memory that it keeps for a prompt too large for the lead.

    As few as possible keep some: the stream breaks with any of them. None means that these engines
    together do not have the memory now. A prompt that fits one engine may also wait for memory
    there, so it needs nobody else's.
    """
    missing = needed - free_memory(engine, lead)
    if missing <= 0 or (not others and needed <= engine.memory_tokens * MEMORY_SHARE):
        return tuple(Helper(other.upstream) for other in others)
    kept: dict[str, int] = {}
    for other in sorted(others, key=functools.partial(free_memory, engine), reverse=True):
        kept[other.upstream.name] = min(missing, free_memory(engine, other))
        missing -= kept[other.upstream.name]
    if missing > 0:
        return None
    return tuple(Helper(other.upstream, kept[other.upstream.name]) for other in others)


def free_memory(engine: EngineSpec, candidate: Candidate) -> int:
    """Return the memory that an engine can give to one more prompt, in tokens."""
    usable = int(engine.memory_tokens * MEMORY_SHARE)
    return max(0, usable - candidate.load.memory_tokens)


def _cost(option: Option) -> float:
    return option.cost


def lead_cost(wish: Wish, engine: EngineSpec, candidate: Candidate) -> float:
    """Return what makes an engine a bad place to hold the prompt and to write the answer."""
    assert wish.prompt is not None
    load = candidate.load
    cost = 0.0 if candidate.near else OTHER_DATA_CENTRE_COST
    if load.occupants >= engine.slots:
        cost += FULL_COST * (1 + load.occupants - engine.slots)
    if not load.occupants:
        cost += QUIET_ENGINE_COST
    lacking = wish.prompt.memory_tokens - free_memory(engine, candidate)
    return cost + MEMORY_COST * max(0, lacking) / engine.memory_tokens


def first_event_ms(engine: EngineSpec, candidate: Candidate, part_ms: float, spread: bool) -> float:
    """Return the time until an engine has read a part and finished the pass after it, in ms.

    Parts of spread prompts go before whole ones, but not before those in the pass under way.
    Earlier parts count as ahead although engines read the newest first: what is gained by passing
    them is lost by their requests.
    """
    load = candidate.load
    pass_ms = write_pass_ms(engine, load.writers + 1, load.context_tokens)
    begun_ms = pass_ms / 2 if load.writers else 0.0
    ahead_ms = load.backlog_ms
    if spread:
        under_way = PASS_SHARE if load.writers else 0.0
        ahead_ms = load.spread_backlog_ms + under_way * (ahead_ms - load.spread_backlog_ms)
    return ahead_ms + candidate.pace * (part_ms + pass_ms + begun_ms)


def harm_of(
    now: int, engine: EngineSpec, candidate: Candidate, part_ms: float, spread: bool
) -> float:
    """Return how many more requests of one engine come late if it reads ``part_ms`` more.

    A part of a spread prompt also delays the whole prompts that wait to be read there. An engine
    that only keeps memory for a stream does not hold it up.
    """
    load = candidate.load
    part_ms *= candidate.pace
    pass_ms = candidate.pace * write_pass_ms(engine, load.writers, load.context_tokens)
    pass_ms += load.backlog_ms
    harm = 0.0
    for job in load.jobs:
        if not job.reading and job.writes:
            harm += job.weight * added(pass_ms, part_ms, job.pause_ms, PAUSE_SAFE)
        elif job.reading and spread and not job.spread:
            harm += harm_reading(now, job, load.backlog_ms + pass_ms, part_ms)
    return harm


def harm_reading(now: int, job: Job, expected_ms: float, part_ms: float) -> float:
    """Return how much more likely a request that waits for its first event comes late."""
    objective_ms = max(1, job.due_at - job.begun_at)
    return job.weight * added(
        now - job.begun_at + expected_ms, part_ms, objective_ms, FIRST_EVENT_SAFE
    )


def added(before_ms: float, more_ms: float, limit_ms: int, safe: float) -> float:
    """Return what ``more_ms`` adds to the lateness against a limit."""
    return lateness(before_ms + more_ms, limit_ms, safe) - lateness(before_ms, limit_ms, safe)


def lateness(expected_ms: float, limit_ms: int, safe: float) -> float:
    """Return the chance of being late from an estimate, with a little for the time itself.

    Estimates err, so the chance rises from the share ``safe`` of the limit on. A small part grows
    with the time up to the limit, so that of two safe choices the quicker is taken. What is late
    already loses little more by being later still.
    """
    share = expected_ms / max(1, limit_ms)
    chance = min(1.0, max(0.0, (share - safe) / (LATE_SHARE - safe)))
    beyond = BEYOND_LATE_SLOPE * max(0.0, share - LATE_SHARE)
    return chance + beyond + SLOWNESS_WEIGHT * share


def find_weight(engine: EngineSpec, prompt_tokens: int) -> float:
    """Return what a request counts: more for a longer prompt than the usual one."""
    usual = max(1, engine.usual_prompt_tokens)
    return LEAST_WEIGHT + (1 - LEAST_WEIGHT) * prompt_tokens / usual
