"""Decides whether an instance that is being stopped can still finish a request. Pure.

A request is expected to end within the time that nearly all of the latest requests of its kind took
from their first send to their end. While little is known of its kind, an answer of a plain service
is expected within twice the objective, and one of an engine within its estimate.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._answer_times import AnswerTimes, RequestKind
from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._engine_timing import estimate_decode_pass_ms, estimate_prefill_ms
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._routing import RoutedRequest

# The number of streams that a busy engine writes beside this one.
TYPICAL_DECODING_REQUESTS = 4
ESTIMATE_FACTOR = 1.2
STREAM_SLACK_MS = 300
PLAIN_SERVICE_SLACK_MS = 100
# A sound upstream may be silent for this long and go on.
PAUSE_MS = 1_500
PLAIN_SERVICE_OBJECTIVES = 2
# Assumed where the objective says nothing of the end of an answer: none is given, or it is one for
# the first event of a stream.
UNKNOWN_ANSWER_MS = 2_000


@dataclass(frozen=True)
class PlannedStop:
    """When the requests of an instance must have ended, and when refused callers may retry.

    From ``late_from`` on the load balancer sends callers elsewhere, so that few come any more.
    """

    ends_at: int
    late_from: int
    retry_after_ms: int

    def find_end(self, sent_at: int) -> int:
        """Return by when a request must be expected to end that is sent at ``sent_at``.

        A late one must leave time for a pause of its upstream.
        """
        return self.ends_at - PAUSE_MS if sent_at >= self.late_from else self.ends_at


def can_finish(routed: RoutedRequest, times: AnswerTimes, sent_at: int, ends_at: int) -> bool:
    """Return whether a request that is sent at ``sent_at`` is expected to end by ``ends_at``.

    One whose deadline is earlier certainly ends by then.
    """
    if routed.deadline_at <= ends_at:
        return True
    return sent_at + estimate_bound_ms(routed, times) <= ends_at


def estimate_bound_ms(routed: RoutedRequest, times: AnswerTimes) -> float:
    """Return how long after its first send nearly every request of this kind has ended, in ms."""
    kind, expected_ms = _find_kind(routed), _estimate_ms(routed)
    if expected_ms is None:
        assumed_ms = _assume_ms(routed) - PLAIN_SERVICE_SLACK_MS
        return times.find_bound(kind, assumed_ms) + PLAIN_SERVICE_SLACK_MS
    return times.find_bound(kind, ESTIMATE_FACTOR) * expected_ms + STREAM_SLACK_MS


def record_time(routed: RoutedRequest, times: AnswerTimes, took_ms: int) -> None:
    """Record that a request ended ``took_ms`` after its first send."""
    expected_ms = _estimate_ms(routed)
    if expected_ms is None:
        times.record(_find_kind(routed), took_ms)
    else:
        times.record(_find_kind(routed), max(0, took_ms - STREAM_SLACK_MS) / expected_ms)


def _find_kind(routed: RoutedRequest) -> RequestKind:
    estimated = routed.engine is not None and routed.facts.prompt is not None
    return RequestKind(routed.route.name, routed.service, estimated)


def _estimate_ms(routed: RoutedRequest) -> float | None:
    """Return the estimate from the engine's specification, None without one."""
    if routed.engine is None or routed.facts.prompt is None:
        return None
    objective_ms = routed.route.objective_ms
    return max(1.0, estimate_request_ms(routed.engine, routed.facts.prompt, objective_ms))


def _assume_ms(routed: RoutedRequest) -> float:
    """Return what is assumed of an answer without an estimate while little is known, in ms."""
    objectives_ms = PLAIN_SERVICE_OBJECTIVES * routed.route.objective_ms
    if routed.route.streams or not objectives_ms:
        return max(objectives_ms, UNKNOWN_ANSWER_MS)
    return objectives_ms


def estimate_request_ms(engine: EngineSpec, prompt: Prompt, objective_ms: int) -> float:
    """Return the time for reading a prompt and writing its longest possible answer, in ms.

    The prefill counts for at most the objective, if there is one: several engines read a prompt
    that one engine cannot read within it.
    """
    prefill_ms = estimate_prefill_ms(engine, prompt.prompt_tokens)
    if objective_ms:
        prefill_ms = min(prefill_ms, objective_ms)
    passes = prompt.answer_tokens / engine.steps_per_pass + 1
    pass_ms = estimate_decode_pass_ms(
        engine,
        TYPICAL_DECODING_REQUESTS,
        TYPICAL_DECODING_REQUESTS * engine.typical_prompt_tokens,
    )
    return prefill_ms + passes * pass_ms
