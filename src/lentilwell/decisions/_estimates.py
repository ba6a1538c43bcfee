"""How long a request holds engines and what engine time it costs, learned from finished prefills.

The constants are only the prior: ``learn_prefill`` and ``learn_decode`` replace them, per engine
and for all engines together, which serves where the engine is not chosen yet.
"""

from __future__ import annotations

from lentilwell._messages import Request
from lentilwell.reducer import Attempt, Capacity, EnginePace, Pace, State, find_capacity, replace

DEFAULT_PREFILL_TOKENS_PER_MS = 20.0
DEFAULT_DECODE_MS_PER_TOKEN = 20.0
PREFILL_BOUNDS = (0.01, 10_000.0)
DECODE_BOUNDS = (0.01, 10_000.0)
LEARNING_WEIGHT = 0.125
QUEUED_LEARNING_WEIGHT = 0.03
OUTLIER_FACTOR = 4.0
WARMUP_SAMPLES = 4
MIN_TRUSTED_SAMPLES = 8
MAX_SAMPLE_AGE_MS = 30_000
CLASSES_PER_BAND = 2
ALL_ENGINES = ""


def length_class(prompt_tokens: int) -> int:
    """Return the class of a prompt: the whole part of the base-2 logarithm of its tokens."""
    return max(1, prompt_tokens).bit_length() - 1


def length_band(prompt_tokens: int) -> int:
    """Return the band of a prompt, for which one prefill pace is learned."""
    return length_class(prompt_tokens) // CLASSES_PER_BAND


def find_prefill_rate(state: State, tokens: int, engine: str = ALL_ENGINES) -> Pace | None:
    """Return the learned prefill pace of an engine, else of all engines, else None."""
    band = length_band(tokens)
    for name in (engine, ALL_ENGINES):
        pace = state.paces.get(name)
        found = None if pace is None else pace.prefill.get(band)
        if found is not None:
            return found
    return None


def prefill_ms(state: State, tokens: int, engine: str = ALL_ENGINES) -> float:
    """Estimate the prefill of so many tokens on one engine with nothing else to do."""
    found = find_prefill_rate(state, tokens, engine)
    return tokens / (DEFAULT_PREFILL_TOKENS_PER_MS if found is None else found.value)


def decode_ms(state: State, tokens: int, engine: str = ALL_ENGINES) -> float:
    """Estimate the time to generate so many tokens."""
    for name in (engine, ALL_ENGINES):
        pace = state.paces.get(name)
        if pace is not None and pace.decode is not None:
            return tokens * pace.decode.value
    return tokens * DEFAULT_DECODE_MS_PER_TOKEN


def min_span_size(request: Request, capacity: Capacity | None) -> int:
    """Return on how many engines a request needs memory at least."""
    if capacity is None or capacity.largest_tokens <= 0:
        return 1
    return max(1, -(-request.memory_tokens // capacity.largest_tokens))


def estimate_prefill_ms(
    state: State, request: Request, delivered: int = 0, engine: str = ALL_ENGINES
) -> float:
    """Estimate the prefill with nothing else to do.

    ``delivered`` tokens of the answer are part of the prompt by now. Engines of a span prefill
    their shares side by side.
    """
    capacity = find_capacity(state.capacities, request.team, request.model)
    share = (request.prompt_tokens + delivered) // min_span_size(request, capacity)
    return prefill_ms(state, max(1, share), engine)


def estimate_service_ms(
    state: State, request: Request, delivered: int = 0, engine: str = ALL_ENGINES
) -> float:
    """Estimate prefill plus decode with nothing else to do; at least 1 ms."""
    decode = decode_ms(state, max(0, request.answer_tokens - delivered), engine)
    return max(1.0, estimate_prefill_ms(state, request, delivered, engine) + decode)


def estimate_cost_ms(state: State, request: Request, delivered: int = 0) -> float:
    """Estimate the engine time that a request takes from others, at least 1 ms.

    It is the largest of three shares: the prefill, which engines do one after another, the slot
    and the memory, both held from start to end.
    """
    capacity = find_capacity(state.capacities, request.team, request.model)
    prefill = prefill_ms(state, request.prompt_tokens + delivered)
    if capacity is None:
        return max(1.0, prefill)
    service_ms = estimate_service_ms(state, request, delivered)
    slot = service_ms * capacity.engines / max(1, capacity.slots)
    memory = service_ms * request.memory_tokens / max(1, capacity.largest_tokens)
    return max(1.0, prefill, slot, memory)


def is_trusted(state: State, request: Request) -> bool:
    """Tell whether enough fresh samples of this length and of decoding back the estimate.

    An estimate that nothing confirms any more refuses nobody; otherwise one that is too long
    would keep away the very requests that could correct it.
    """
    capacity = find_capacity(state.capacities, request.team, request.model)
    share = request.prompt_tokens // min_span_size(request, capacity)
    pace = state.paces.get(ALL_ENGINES)
    if pace is None:
        return False
    parts = (pace.prefill.get(length_band(share)), pace.decode)
    return all(part is not None and is_fresh(state, part) for part in parts)


def is_fresh(state: State, pace: Pace) -> bool:
    """Tell whether a pace has enough samples and a recent one."""
    recent = state.now - pace.learned_at <= MAX_SAMPLE_AGE_MS
    return pace.samples >= MIN_TRUSTED_SAMPLES and recent


def learn_prefill(state: State, attempt: Attempt) -> State:
    """Learn from an attempt whose first token has come just now.

    Time spent behind other prefills makes an engine look slow, so a sample counts in full only if
    this instance had nothing else there; others can only raise the pace, and weigh less.
    """
    primary = attempt.placements[0]
    tokens = min(attempt.request.prompt_tokens + attempt.first_index, primary.memory_tokens)
    sample = tokens / max(1, state.now - attempt.started_at)
    view = state.engines.get(primary.engine)
    alone = attempt.alone and view is not None and view.own_backlog <= 0
    weight = LEARNING_WEIGHT if alone else QUEUED_LEARNING_WEIGHT
    paces = state.paces
    for name in (primary.engine, ALL_ENGINES):
        pace = paces.get(name, EnginePace())
        band = length_band(tokens)
        known = pace.prefill.get(band)
        if known is not None and not alone and sample < known.value:
            learned = replace(known, samples=known.samples + 1, learned_at=state.now)
        else:
            prior = DEFAULT_PREFILL_TOKENS_PER_MS
            learned = update_estimate(known, sample, prior, weight, PREFILL_BOUNDS, state.now)
        paces = paces.set(name, replace(pace, prefill=pace.prefill.set(band, learned)))
    return replace(state, paces=paces)


def learn_decode(state: State, attempt: Attempt, tokens: int) -> State:
    """Learn from an attempt that has just ended whole with ``tokens`` in its answer."""
    steps = tokens - attempt.first_index - 1
    if attempt.first_token_at is None or steps <= 0:
        return state
    sample = (state.now - attempt.first_token_at) / steps
    paces = state.paces
    for name in (attempt.placements[0].engine, ALL_ENGINES):
        pace = paces.get(name, EnginePace())
        prior = DEFAULT_DECODE_MS_PER_TOKEN
        learned = update_estimate(
            pace.decode, sample, prior, LEARNING_WEIGHT, DECODE_BOUNDS, state.now
        )
        paces = paces.set(name, replace(pace, decode=learned))
    return replace(state, paces=paces)


def update_estimate(
    known: Pace | None,
    sample: float,
    prior: float,
    weight: float,
    bounds: tuple[float, float],
    now: int,
) -> Pace:
    """Mix a sample into a mean. One sample moves it by a bounded factor, however far it is off.

    The first samples weigh more, so that a wrong prior is left behind soon.
    """
    mean = prior if known is None else known.value
    samples = 0 if known is None else known.samples
    if samples < WARMUP_SAMPLES:
        weight = max(weight, 1.0 / (samples + 1))
    else:
        sample = min(max(sample, mean / OUTLIER_FACTOR), mean * OUTLIER_FACTOR)
    mixed = mean + (sample - mean) * weight
    return Pace(min(max(mixed, bounds[0]), bounds[1]), samples + 1, now)
