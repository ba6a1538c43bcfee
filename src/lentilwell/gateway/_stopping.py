"""Decides whether an instance that is being stopped can still finish a request. Pure."""

from __future__ import annotations

from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._engine_timing import estimate_decode_pass_ms, estimate_prefill_ms
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._routing import RoutedRequest

# The number of streams that a busy engine writes beside this one.
TYPICAL_DECODING_REQUESTS = 4
ESTIMATE_FACTOR = 1.2
SLACK_MS = 300
# A sound upstream may be silent for this long and go on.
PAUSE_MS = 1_500
PLAIN_SERVICE_OBJECTIVES = 2


def can_finish(routed: RoutedRequest, remaining_ms: int) -> bool:
    """Return whether a request is expected to end within ``remaining_ms``, also after a pause."""
    prompt, engine = routed.facts.prompt, routed.engine
    if engine is None or prompt is None:
        timeout_ms = routed.deadline_at - routed.request.arrived_at
        usual_ms = PLAIN_SERVICE_OBJECTIVES * routed.route.objective_ms
        return min(timeout_ms, usual_ms + PAUSE_MS) <= remaining_ms
    expected_ms = estimate_request_ms(engine, prompt, routed.route.objective_ms)
    return ESTIMATE_FACTOR * expected_ms + SLACK_MS + PAUSE_MS <= remaining_ms


def estimate_request_ms(engine: EngineSpec, prompt: Prompt, objective_ms: int) -> float:
    """Return the time for reading a prompt and writing its longest possible answer, in ms.

    The prefill counts for at most the objective: several engines read a prompt that one engine
    cannot read within it.
    """
    prefill_ms = min(estimate_prefill_ms(engine, prompt.prompt_tokens), objective_ms)
    passes = prompt.answer_tokens / engine.steps_per_pass + 1
    pass_ms = estimate_decode_pass_ms(
        engine,
        TYPICAL_DECODING_REQUESTS,
        TYPICAL_DECODING_REQUESTS * engine.typical_prompt_tokens,
    )
    return prefill_ms + passes * pass_ms
