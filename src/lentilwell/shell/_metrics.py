"""Prometheus metrics of an entry instance, with standard names and base units.

Label values are models, outcomes, prompt length classes and failure codes. Keys of teams and ids of
requests are never labels, since their number is unbounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from lentilwell._clock import MS_PER_SECOND
from lentilwell._messages import Request
from lentilwell.decisions import length_class
from lentilwell.reducer import State

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.42, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)
REQUEST_BUCKETS_S = (0.1, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 1_800.0)
OUTCOME_WHOLE = "whole"
OUTCOME_CALLER_GONE = "caller_gone"


def get_length_label(prompt_tokens: int) -> str:
    """Return the label of a prompt length class: its upper bound in tokens, a power of two."""
    return f"lt_{1 << (length_class(prompt_tokens) + 1)}"


@dataclass(frozen=True)
class Counts:
    """Counts of reducer events, chunks and open exchanges, which other threads update."""

    events: int
    chunks: int
    exchanges: int


class Metrics:
    """Counts requests as they end, and reads gauges from the state when metrics are collected."""

    def __init__(self, read_state: Callable[[], State], read_counts: Callable[[], Counts]) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "lentilwell_requests",
            "Requests that ended, by how they ended.",
            ("model", "outcome"),
            registry=self.registry,
        )
        self._tokens = Counter(
            "lentilwell_answer_tokens",
            "Tokens of answers written for callers.",
            ("model",),
            registry=self.registry,
        )
        self._first_token = Histogram(
            "lentilwell_first_token_seconds",
            "Time from a request's arrival to the first token of its answer.",
            ("length",),
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self._duration = Histogram(
            "lentilwell_request_seconds",
            "Time from a request's arrival to its end.",
            ("length",),
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._refusals = Counter(
            "lentilwell_refusals",
            "Requests refused before they were admitted, by the code of the failure.",
            ("failure",),
            registry=self.registry,
        )
        self.registry.register(_StateCollector(read_state, read_counts))

    def count_end(
        self, request: Request, outcome: str, tokens: int, first_ms: int | None, total_ms: int
    ) -> None:
        """Count an admitted request that ended. Durations are in milliseconds since its arrival."""
        length = get_length_label(request.prompt_tokens)
        self._requests.labels(request.model, outcome).inc()
        self._tokens.labels(request.model).inc(tokens)
        self._duration.labels(length).observe(total_ms / MS_PER_SECOND)
        if first_ms is not None:
            self._first_token.labels(length).observe(first_ms / MS_PER_SECOND)

    def count_refusal(self, code: str) -> None:
        """Count a request that was refused before it was admitted."""
        self._refusals.labels(code).inc()


class _StateCollector(Collector):
    def __init__(self, read_state: Callable[[], State], read_counts: Callable[[], Counts]) -> None:
        self._read_state = read_state
        self._read_counts = read_counts

    def collect(self) -> Iterable[Metric]:
        """Yield the current gauges and counters."""
        state, counts = self._read_state(), self._read_counts()
        version = 0 if state.inventory is None else state.inventory.version
        usable = sum(
            not engine.leaving and engine.ejected_until <= state.now
            for engine in state.engines.values()
        )
        gauges = (
            ("configuration_version", "Version of the configuration in force.", version),
            ("waiting_requests", "Admitted requests that wait for an engine.", len(state.waiting)),
            ("running_attempts", "Attempts in hand at engines.", len(state.attempts)),
            ("engines", "Engines in the inventory.", len(state.engines)),
            ("usable_engines", "Engines neither leaving nor ejected.", usable),
            ("peers", "Peers heard of.", len(state.peers)),
            ("open_exchanges", "Callers with an answer on its way.", counts.exchanges),
        )
        for name, text, value in gauges:
            yield GaugeMetricFamily(f"lentilwell_{name}", text, value=value)
        for name, text, value in (
            ("reducer_events", "Events applied by the reducer.", counts.events),
            ("chunks", "Chunks taken from engines.", counts.chunks),
        ):
            yield CounterMetricFamily(f"lentilwell_{name}", text, value=value)
