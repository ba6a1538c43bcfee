"""How long a request will hold an engine, in milliseconds."""

from __future__ import annotations

from lentilwell._messages import Request

DEFAULT_PREFILL_TOKENS_PER_MS = 20.0
DEFAULT_DECODE_MS_PER_TOKEN = 20.0


def estimate_service_ms(request: Request) -> float:
    """Estimate prefill plus decode on an engine with nothing else to do; at least 1 ms."""
    prefill_ms = request.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_MS
    decode_ms = request.answer_tokens * DEFAULT_DECODE_MS_PER_TOKEN
    return max(1.0, prefill_ms + decode_ms)
