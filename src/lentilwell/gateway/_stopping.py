"""Whether an instance that is being stopped can still finish a request. Pure."""

from __future__ import annotations

from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._reading import read_ms, write_pass_ms
from lentilwell.gateway._routing import Subject

# Streams written beside this one on a busy engine.
USUAL_WRITERS = 4
ESTIMATE_FACTOR = 1.2
SLACK_MS = 300
PLAIN_OBJECTIVES = 2


def can_finish(subject: Subject, engine: EngineSpec | None, left_ms: int) -> bool:
    """Tell whether a request can be expected to end within ``left_ms``."""
    prompt = subject.facts.prompt
    if engine is None or prompt is None:
        longest_ms = subject.deadline_at - subject.request.arrived_at
        return longest_ms <= left_ms or PLAIN_OBJECTIVES * subject.route.objective_ms <= left_ms
    expected_ms = estimate_ms(engine, prompt, subject.route.objective_ms)
    return ESTIMATE_FACTOR * expected_ms + SLACK_MS <= left_ms


def estimate_ms(engine: EngineSpec, prompt: Prompt, objective_ms: int) -> float:
    """Return how long a prompt and its longest answer take, in ms.

    A prompt that one engine cannot read within its objective is read by several.
    """
    reading_ms = min(read_ms(engine, prompt.prompt_tokens), objective_ms)
    passes = prompt.answer_tokens / engine.pass_steps + 1
    pass_ms = write_pass_ms(engine, USUAL_WRITERS, USUAL_WRITERS * engine.usual_prompt_tokens)
    return reading_ms + passes * pass_ms
