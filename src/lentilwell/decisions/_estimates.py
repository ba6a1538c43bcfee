"""Estimates of the service time and the engine time of requests.

The default prefill and decode rates are priors: ``learn_prefill`` and ``learn_decode`` replace them
by rates learned from finished prefills and answers, per engine and for all engines together. The
rates for all engines are used while no engine is chosen, or if the engine has no learned rate.
"""

from __future__ import annotations

from lentilwell._messages import Request
from lentilwell.reducer import (
    Attempt,
    Capacity,
    EngineRates,
    LearnedRate,
    State,
    find_capacity,
    replace,
)

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
    """Return the length class of a prompt: the integer part of log2 of its tokens."""
    return max(1, prompt_tokens).bit_length() - 1


def length_band(prompt_tokens: int) -> int:
    """Return the length band of a prompt; one prefill rate is learned per band."""
    return length_class(prompt_tokens) // CLASSES_PER_BAND


def find_prefill_rate(state: State, tokens: int, engine: str = ALL_ENGINES) -> LearnedRate | None:
    """Return the learned prefill rate of an engine, else of all engines, else None."""
    band = length_band(tokens)
    for name in (engine, ALL_ENGINES):
        rates = state.paces.get(name)
        found = None if rates is None else rates.prefill.get(band)
        if found is not None:
            return found
    return None


def prefill_ms(state: State, tokens: int, engine: str = ALL_ENGINES) -> float:
    """Estimate the time to prefill a number of tokens on one engine that is otherwise idle."""
    found = find_prefill_rate(state, tokens, engine)
    return tokens / (DEFAULT_PREFILL_TOKENS_PER_MS if found is None else found.value)


def decode_ms(state: State, tokens: int, engine: str = ALL_ENGINES) -> float:
    """Estimate the time to generate a number of tokens."""
    for name in (engine, ALL_ENGINES):
        rates = state.paces.get(name)
        if rates is not None and rates.decode is not None:
            return tokens * rates.decode.value
    return tokens * DEFAULT_DECODE_MS_PER_TOKEN


def min_span_size(request: Request, capacity: Capacity | None) -> int:
    """Return the least number of engines whose memory can hold a request."""
    if capacity is None or capacity.largest_tokens <= 0:
        return 1
    return max(1, -(-request.memory_tokens // capacity.largest_tokens))


def estimate_prefill_ms(
    state: State, request: Request, delivered: int = 0, engine: str = ALL_ENGINES
) -> float:
    """Estimate the prefill time of a request on engines that are otherwise idle.

    ``delivered`` tokens of the answer were already sent, so they are prefilled with the prompt. The
    engines of a span prefill their shares in parallel.
    """
    capacity = find_capacity(state.capacities, request.team, request.model)
    share = (request.prompt_tokens + delivered) // min_span_size(request, capacity)
    return prefill_ms(state, max(1, share), engine)


def estimate_service_ms(
    state: State, request: Request, delivered: int = 0, engine: str = ALL_ENGINES
) -> float:
    """Estimate prefill plus decode time on engines that are otherwise idle; at least 1 ms."""
    decode = decode_ms(state, max(0, request.answer_tokens - delivered), engine)
    return max(1.0, estimate_prefill_ms(state, request, delivered, engine) + decode)


def estimate_cost_ms(state: State, request: Request, delivered: int = 0) -> float:
    """Estimate the engine time that a request takes from other requests; at least 1 ms.

    It is the largest of three values: the prefill, since an engine prefills one prompt after
    another, and the shares of the slots and of the memory, which are both in use from start to end.
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
    """Return whether enough recent samples support the estimate for a request.

    Both the prefill of prompts of this length and the decoding need samples. Without recent samples
    no request is refused: an estimate that is too long would otherwise keep away the very requests
    that could correct it.
    """
    capacity = find_capacity(state.capacities, request.team, request.model)
    share = request.prompt_tokens // min_span_size(request, capacity)
    rates = state.paces.get(ALL_ENGINES)
    if rates is None:
        return False
    parts = (rates.prefill.get(length_band(share)), rates.decode)
    return all(part is not None and is_fresh(state, part) for part in parts)


def is_fresh(state: State, rate: LearnedRate) -> bool:
    """Return whether a rate has enough samples and a recent one."""
    recent = state.now - rate.learned_at <= MAX_SAMPLE_AGE_MS
    return rate.samples >= MIN_TRUSTED_SAMPLES and recent


def learn_prefill(state: State, attempt: Attempt) -> State:
    """Update the prefill rates from an attempt that has just produced its first token.

    A prefill that waits behind others makes an engine look slow. So a sample has full weight only
    if this instance had nothing else to prefill on that engine. Other samples have less weight and
    can only raise the rate.
    """
    primary = attempt.placements[0]
    tokens = min(attempt.request.prompt_tokens + attempt.first_index, primary.memory_tokens)
    sample = tokens / max(1, state.now - attempt.started_at)
    view = state.engines.get(primary.engine)
    alone = attempt.alone and view is not None and view.own_backlog <= 0
    weight = LEARNING_WEIGHT if alone else QUEUED_LEARNING_WEIGHT
    by_engine = state.paces
    for name in (primary.engine, ALL_ENGINES):
        rates = by_engine.get(name, EngineRates())
        band = length_band(tokens)
        known = rates.prefill.get(band)
        if known is not None and not alone and sample < known.value:
            learned = replace(known, samples=known.samples + 1, learned_at=state.now)
        else:
            prior = DEFAULT_PREFILL_TOKENS_PER_MS
            learned = update_rate(known, sample, prior, weight, PREFILL_BOUNDS, state.now)
        by_engine = by_engine.set(name, replace(rates, prefill=rates.prefill.set(band, learned)))
    return replace(state, paces=by_engine)


def learn_decode(state: State, attempt: Attempt, tokens: int) -> State:
    """Update the decode times from an attempt that has ended with ``tokens`` in its answer."""
    steps = tokens - attempt.first_index - 1
    if attempt.first_token_at is None or steps <= 0:
        return state
    sample = (state.now - attempt.first_token_at) / steps
    by_engine = state.paces
    for name in (attempt.placements[0].engine, ALL_ENGINES):
        rates = by_engine.get(name, EngineRates())
        prior = DEFAULT_DECODE_MS_PER_TOKEN
        learned = update_rate(
            rates.decode, sample, prior, LEARNING_WEIGHT, DECODE_BOUNDS, state.now
        )
        by_engine = by_engine.set(name, replace(rates, decode=learned))
    return replace(state, paces=by_engine)


def update_rate(
    known: LearnedRate | None,
    sample: float,
    prior: float,
    weight: float,
    bounds: tuple[float, float],
    now: int,
) -> LearnedRate:
    """Return the rate after one more sample, as a weighted mean.

    The first ``WARMUP_SAMPLES`` samples have more weight, so that a wrong prior is corrected soon.
    After them one sample moves the mean by a bounded factor only, however far it is off.
    """
    mean = prior if known is None else known.value
    samples = 0 if known is None else known.samples
    if samples < WARMUP_SAMPLES:
        weight = max(weight, 1.0 / (samples + 1))
    else:
        sample = min(max(sample, mean / OUTLIER_FACTOR), mean * OUTLIER_FACTOR)
    mixed = mean + (sample - mean) * weight
    return LearnedRate(min(max(mixed, bounds[0]), bounds[1]), samples + 1, now)
