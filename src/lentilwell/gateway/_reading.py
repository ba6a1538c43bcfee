"""How long engines take to read prompts and to write events, by their specification. Pure."""

from __future__ import annotations

from lentilwell.gateway._catalog import EngineSpec

TOKENS_PER_MILLION_PAIRS = 1_000_000
TOKENS_PER_K = 1_000


def read_ms(engine: EngineSpec, tokens: int) -> float:
    """Return the time that one idle engine needs to read a prompt of ``tokens``, in ms."""
    pairs_million = tokens * tokens / 2 / TOKENS_PER_MILLION_PAIRS
    steps = tokens / engine.chunk_tokens
    linear_ms = tokens / engine.read_tokens_per_ms
    return linear_ms + pairs_million * engine.pairs_ms_per_million + steps * engine.step_ms


def write_pass_ms(engine: EngineSpec, writers: int, context_tokens: int) -> float:
    """Return how long a pass without reading takes: the pause between two events of a stream."""
    context_ms = engine.step_ms_per_1k_context * context_tokens / TOKENS_PER_K
    step_ms = engine.step_ms + engine.step_ms_per_writer * writers + context_ms
    return engine.pass_steps * step_ms


def slot_wait_ms(engine: EngineSpec, occupants: int) -> float:
    """Return how long one more request waits for a slot, by how long the usual answer takes."""
    waiting = occupants - engine.slots + 1
    if waiting <= 0:
        return 0.0
    passes = engine.usual_answer_tokens / engine.pass_steps
    pass_ms = write_pass_ms(engine, engine.slots, engine.slots * engine.usual_prompt_tokens)
    return waiting * passes * pass_ms / engine.slots
