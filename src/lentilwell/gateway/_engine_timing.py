"""Estimates of prefill, decode and slot waiting times from an engine's specification. Pure."""

from __future__ import annotations

from lentilwell.gateway._catalog import EngineSpec

TOKENS_PER_MILLION_PAIRS = 1_000_000
TOKENS_PER_K = 1_000
# The weight of the shortest prompts; a prompt of typical length has weight 1.
MIN_WEIGHT = 0.3


def estimate_prefill_ms(engine: EngineSpec, tokens: int) -> float:
    """Return the time that one idle engine needs to read a prompt of ``tokens``, in ms."""
    pairs_million = tokens * tokens / 2 / TOKENS_PER_MILLION_PAIRS
    steps = tokens / engine.chunk_tokens
    linear_ms = tokens / engine.prefill_tokens_per_ms
    return linear_ms + pairs_million * engine.pairs_ms_per_million + steps * engine.step_ms


def estimate_decode_pass_ms(
    engine: EngineSpec, decoding_requests: int, context_tokens: int
) -> float:
    """Return the duration of a pass without prefill, in ms.

    This is the pause between two events of a stream.
    """
    context_ms = engine.step_ms_per_1k_context * context_tokens / TOKENS_PER_K
    step_ms = engine.step_ms + engine.step_ms_per_decoding_request * decoding_requests + context_ms
    return engine.steps_per_pass * step_ms


def estimate_slot_wait_ms(engine: EngineSpec, slot_demand: int) -> float:
    """Return how long one more request waits for a slot, in ms.

    ``slot_demand`` is the number of requests that already use a slot or wait for one. The estimate
    assumes that each of them writes an answer of typical length.
    """
    waiting = slot_demand - engine.slots + 1
    if waiting <= 0:
        return 0.0
    return waiting * estimate_write_ms(engine) / engine.slots


def estimate_write_ms(engine: EngineSpec) -> float:
    """Return how long a busy engine writes an answer of typical length, in ms."""
    passes = engine.typical_answer_tokens / engine.steps_per_pass
    pass_ms = estimate_decode_pass_ms(
        engine, engine.slots, engine.slots * engine.typical_prompt_tokens
    )
    return passes * pass_ms


def compute_weight(engine: EngineSpec, prompt_tokens: int) -> float:
    """Return the weight of a request, which grows with the length of its prompt."""
    typical = max(1, engine.typical_prompt_tokens)
    return MIN_WEIGHT + (1 - MIN_WEIGHT) * prompt_tokens / typical


def find_answer_tokens(engine: EngineSpec, weight: float, memory_tokens: int) -> float:
    """Return the stated length of an answer in tokens, 0 if it is not known.

    It is the memory of the request without its prompt, whose length follows from the weight.
    """
    typical = max(1, engine.typical_prompt_tokens)
    prompt_tokens = (weight - MIN_WEIGHT) / (1 - MIN_WEIGHT) * typical
    return max(0.0, memory_tokens - prompt_tokens)
