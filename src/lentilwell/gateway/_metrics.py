"""Prometheus metrics of a gateway, and a JSON dump of its state.

Labels are services, outcomes and prompt length classes. Teams, keys and request ids are no labels,
since each distinct value would add a time series.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell.gateway._crash_evidence import CrashEvidence
from lentilwell.gateway._crash_records import Explanation
from lentilwell.gateway._fingerprints import is_fingerprint
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway.following import CallReason, TableStatus

FIRST_EVENT_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0, 15.0)
REQUEST_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
LAG_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
PAUSE_BUCKETS_S = (0.05, 0.1, 0.25, 0.6, 1.0, 2.0, 5.0)
# The ends of a hold after which the request is sent; after all others it is not.
HOLD_OUTCOMES = ("sent", "sent late")
LENGTH_BOUNDS = (1_000, 10_000, 50_000, 100_000, 300_000)


def get_length_label(prompt: Prompt | None) -> str:
    """Return the length class of a prompt in tokens, or ``none`` for a request without one."""
    if prompt is None:
        return "none"
    for bound in LENGTH_BOUNDS:
        if prompt.prompt_tokens < bound:
            return f"lt_{bound}"
    return f"ge_{LENGTH_BOUNDS[-1]}"


class Metrics:
    """Counts requests as they end, and reads gauges from the fleet when metrics are rendered."""

    def __init__(
        self,
        fleet: Fleet,
        count_callers: Callable[[], int],
        list_tables: Callable[[], Sequence[TableStatus]],
        find_role: Callable[[], str] = lambda: "alone",
    ) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "lentilwell_gateway_requests",
            "Requests that ended, by service and how they ended.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self._rejections = Counter(
            "lentilwell_gateway_rejections",
            "Requests answered without being forwarded, by status.",
            ("status",),
            registry=self.registry,
        )
        self._sends = Counter(
            "lentilwell_gateway_sends",
            "Requests sent to upstreams, the first of each and those after it.",
            ("service", "again"),
            registry=self.registry,
        )
        self._limited_sends = Counter(
            "lentilwell_gateway_limited_sends",
            "Requests sent to upstreams that name a rate limit, by service.",
            ("service",),
            registry=self.registry,
        )
        self._cuts = Counter(
            "lentilwell_gateway_cut_requests",
            "Requests whose upstream ended the connection, by how far the answer was.",
            ("service", "events"),
            registry=self.registry,
        )
        self._refused = Counter(
            "lentilwell_gateway_refused_prompts",
            "Requests not sent because they or parts of their prompts crash upstreams, by service.",
            ("service",),
            registry=self.registry,
        )
        self._closures = Counter(
            "lentilwell_gateway_closed_refusals",
            "Requests refused because none of the ready upstreams may be used, by the reason.",
            ("service", "reason"),
            registry=self.registry,
        )
        self._holds = Histogram(
            "lentilwell_gateway_hold_seconds",
            "Time that requests were held under overload, by service, rank and how it ended.",
            ("service", "rank", "sent"),
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._overload = Counter(
            "lentilwell_gateway_overload_refusals",
            "Requests refused because there is no room before their callers leave.",
            ("service", "rank"),
            registry=self.registry,
        )
        self._permits = Counter(
            "lentilwell_gateway_permits",
            "Asks for permits of upstreams that name a rate limit, by the answer.",
            ("verdict",),
            registry=self.registry,
        )
        self._first_event = Histogram(
            "lentilwell_gateway_first_event_seconds",
            "Time from a request's arrival to the first event of its stream.",
            ("length",),
            buckets=FIRST_EVENT_BUCKETS_S,
            registry=self.registry,
        )
        self._pause = Histogram(
            "lentilwell_gateway_longest_pause_seconds",
            "Longest pause between two events of a stream.",
            ("length",),
            buckets=PAUSE_BUCKETS_S,
            registry=self.registry,
        )
        self._duration = Histogram(
            "lentilwell_gateway_request_seconds",
            "Time from a request's arrival to its end.",
            ("service",),
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._lag = Histogram(
            "lentilwell_gateway_loop_lag_seconds",
            "How late the process came to its housekeeping: what a stream may have waited for it.",
            buckets=LAG_BUCKETS_S,
            registry=self.registry,
        )
        self._restores = Counter(
            "lentilwell_gateway_store_restores",
            "Times that the store was seen to come back from an older copy.",
            registry=self.registry,
        )
        self._given_up = Counter(
            "lentilwell_gateway_callers_given_up",
            "Connections of callers given up to keep the limits of the process, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.count_caller_bytes: Callable[[], int] = lambda: 0
        Gauge(
            "lentilwell_gateway_caller_bytes",
            "Bytes that callers make the process hold.",
            registry=self.registry,
        ).set_function(lambda: self.count_caller_bytes())
        self.is_path_cut: Callable[[], bool] = lambda: False
        Gauge(
            "lentilwell_gateway_upstream_path_cut",
            "1 while connections to upstreams go through other instances.",
            registry=self.registry,
        ).set_function(lambda: self.is_path_cut())
        self.count_tunnels: Callable[[], int] = lambda: 0
        Gauge(
            "lentilwell_gateway_tunnels_served",
            "Connections of other instances to upstreams that are passed on.",
            registry=self.registry,
        ).set_function(lambda: self.count_tunnels())
        self._tunnels_opened = Counter(
            "lentilwell_gateway_tunnels_opened",
            "Connections to upstreams through other instances.",
            registry=self.registry,
        )
        self._store_calls = Counter(
            "lentilwell_gateway_store_calls",
            "Calls to the store for a table, by why they were made.",
            ("table", "reason"),
            registry=self.registry,
        )
        self.registry.register(_FleetCollector(fleet, count_callers))
        self.registry.register(_TableCollector(fleet.clock, list_tables))
        self.registry.register(_RoleCollector(find_role))

    def count_tunnel(self) -> None:
        """Count a connection through another instance."""
        self._tunnels_opened.inc()

    def count_request(self, service: str, outcome: str, total_ms: int) -> None:
        """Count a request that ended ``total_ms`` after its arrival."""
        self._requests.labels(service, outcome).inc()
        self._duration.labels(service).observe(total_ms / MS_PER_SECOND)

    def count_stream(self, prompt: Prompt | None, first_ms: int, pause_ms: int) -> None:
        """Record a stream's time from arrival to its first event, and its longest pause."""
        length = get_length_label(prompt)
        self._first_event.labels(length).observe(first_ms / MS_PER_SECOND)
        self._pause.labels(length).observe(pause_ms / MS_PER_SECOND)

    def count_send(self, service: str, again: bool) -> None:
        """Count a send to an upstream; ``again`` is true for a retry."""
        self._sends.labels(service, "yes" if again else "no").inc()

    def count_limited_send(self, service: str) -> None:
        """Count a send to an upstream that names a rate limit."""
        self._limited_sends.labels(service).inc()

    def count_cut(self, service: str, events: int) -> None:
        """Count a request that its upstream cut after ``events`` events of the answer."""
        self._cuts.labels(service, str(events) if events < 2 else "more").inc()

    def count_refused(self, service: str) -> None:
        """Count a request that was not sent because of a part of its prompt."""
        self._refused.labels(service).inc()

    def count_closure(self, service: str, reason: str) -> None:
        """Count a request that was refused because no ready upstream may be used."""
        self._closures.labels(service, reason).inc()

    def count_hold(self, service: str, rank: int, outcome: str, held_ms: int) -> None:
        """Count a request that was held for ``held_ms``; ``outcome`` tells how that ended."""
        sent = outcome if outcome in HOLD_OUTCOMES else "no"
        self._holds.labels(service, str(rank), sent).observe(held_ms / MS_PER_SECOND)

    def count_overload(self, service: str, rank: int) -> None:
        """Count a request that was refused for lack of room."""
        self._overload.labels(service, str(rank)).inc()

    def count_permit(self, verdict: str) -> None:
        """Count an ask for a permit: ``granted``, ``denied`` or ``no_owner``."""
        self._permits.labels(verdict).inc()

    def count_restore(self) -> None:
        """Count a restore of the store from an older copy."""
        self._restores.inc()

    def count_store_call(self, table: str, reason: CallReason) -> None:
        """Count a call to the store for a table."""
        self._store_calls.labels(table, reason.value).inc()

    def record_lag(self, lag_s: float) -> None:
        """Record how late the event loop ran the periodic maintenance, in seconds."""
        self._lag.observe(max(0.0, lag_s))

    def count_rejection(self, status: int) -> None:
        """Count a request that was answered with an error without being forwarded."""
        self._rejections.labels(str(status)).inc()

    def count_given_up(self, reason: str) -> None:
        """Count a connection that was given up to keep the limits of the process."""
        self._given_up.labels(reason).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class _FleetCollector(Collector):
    def __init__(self, fleet: Fleet, count_callers: Callable[[], int]) -> None:
        self._fleet = fleet
        self._count_callers = count_callers

    def collect(self) -> Iterable[Metric]:
        """Yield gauges with the current values."""
        fleet = self._fleet
        listed = fleet.directory.listed.values()
        unreachable = sum(fleet.ejection.is_unreachable(upstream.name) for upstream in listed)
        now = fleet.clock.now()
        announced_leaving = sum(
            fleet.availability.is_leaving(upstream.incarnation) for upstream in listed
        )
        limited = sum(fleet.rate_limits.find_named(one.incarnation) is not None for one in listed)
        cold = sum(map(fleet.cold_watch.is_cold, listed))
        backing_off = sum(
            fleet.availability.find_backoff_end(upstream, now) is not None for upstream in listed
        )
        quarantined = sum(until > now for until in fleet.directory.quarantined.values())
        gauges = (
            ("configuration_version", "Version in force, 0 for none.", _get_version(fleet)),
            ("upstreams", "Upstreams listed.", len(listed)),
            ("upstreams_leaving", "Upstreams that leave.", sum(one.leaving for one in listed)),
            ("upstreams_unreachable", "Upstreams that wait for a probe.", unreachable),
            (
                "upstreams_left",
                "Upstreams that said in an answer that they leave.",
                announced_leaving,
            ),
            ("upstreams_doubted", "Upstreams that a restored list holds again.", quarantined),
            ("upstreams_closed", "Upstreams that want no work for a while.", backing_off),
            ("upstreams_limited", "Upstreams that name a rate limit.", limited),
            (
                "data_centres_evacuated",
                "Data centres that the operator evacuates.",
                len(fleet.evacuations.evacuated),
            ),
            ("upstreams_cold", "Upstreams that are cold.", cold),
            *_list_crash_gauges(fleet.crash_evidence),
            ("jobs", "Requests in hand at upstreams.", len(fleet.load_tracker.list_own_jobs())),
            ("instances", "Instances that may be there.", fleet.count_instances()),
            ("callers", "Open connections of callers.", self._count_callers()),
        )
        for name, text, value in gauges:
            yield GaugeMetricFamily(f"lentilwell_gateway_{name}", text, value=value)
        held = GaugeMetricFamily(
            "lentilwell_gateway_held_requests",
            "Requests held at this instance under overload, by service and rank.",
            labels=("service", "rank"),
        )
        for service, rank, count in fleet.admission.count_held():
            held.add_metric((service, str(rank)), count)
        yield held


class _TableCollector(Collector):
    def __init__(self, clock: Clock, list_tables: Callable[[], Sequence[TableStatus]]) -> None:
        self._clock = clock
        self._list_tables = list_tables

    def collect(self) -> Iterable[Metric]:
        """Yield for each table its era, the age of its data and its failed reads."""
        age = GaugeMetricFamily(
            "lentilwell_gateway_table_age_seconds",
            "Time since the store last answered for a table.",
            labels=("table",),
        )
        failures = GaugeMetricFamily(
            "lentilwell_gateway_table_failures",
            "Tries to read a table that failed since the store last answered.",
            labels=("table",),
        )
        era = GaugeMetricFamily(
            "lentilwell_gateway_table_era",
            "The store's era of what is known of a table.",
            labels=("table",),
        )
        for table in self._list_tables():
            if table.at is not None:
                era.add_metric((table.name,), table.at.era)
            failures.add_metric((table.name,), table.failures)
            if table.answered_at is not None:
                age_ms = self._clock.now() - table.answered_at
                age.add_metric((table.name,), age_ms / MS_PER_SECOND)
        yield age
        yield failures
        yield era


class _RoleCollector(Collector):
    def __init__(self, find_role: Callable[[], str]) -> None:
        self._find_role = find_role

    def collect(self) -> Iterable[Metric]:
        """Yield the role in following the store, as a label."""
        role = GaugeMetricFamily(
            "lentilwell_gateway_following",
            "1 with the instance's role in following the store: source, fed or alone.",
            labels=("role",),
        )
        role.add_metric((self._find_role(),), 1)
        yield role


def dump_fleet(fleet: Fleet, tables: Sequence[TableStatus]) -> bytes:
    """Return the state of the instance as JSON, for operators."""
    now = fleet.clock.now()
    upstreams = [
        {
            "name": upstream.name,
            "service": upstream.service,
            "address": upstream.address,
            "data_centre": upstream.data_centre,
            "evacuated": fleet.is_evacuated(upstream),
            "leaving": upstream.leaving,
            "missing_until": fleet.directory.missing.get(upstream.name),
            "doubted_until": fleet.directory.quarantined.get(upstream.name),
            "left": fleet.availability.is_leaving(upstream.incarnation),
            "closed_until": fleet.availability.find_backoff_end(upstream, now),
            "rate_limit": fleet.rate_limits.find_named(upstream.incarnation),
            "cold": fleet.cold_watch.find_limit(upstream.incarnation),
            "refusing": fleet.refusals.estimate_share(upstream.name, now),
            "standing": fleet.ejection.get_health(upstream.name),
            "load": fleet.load_tracker.measure_load(upstream.name, now),
        }
        for upstream in fleet.directory.listed.values()
    ]
    return msgspec.json.encode(
        {
            "now": now,
            "configuration": _get_version(fleet),
            "tables": tables,
            "evacuated": sorted(fleet.evacuations.evacuated),
            "instances": fleet.count_instances(),
            "upstreams": upstreams,
            **_list_by_kind(fleet.crash_evidence),
        }
    )


def _list_by_kind(evidence: CrashEvidence) -> dict[str, list[str] | list[Explanation]]:
    """Return what is condemned and suspected, whole requests apart from parts of prompts."""
    suspects = sorted(evidence.suspected)
    return {
        "condemned_parts": [one for one in evidence.condemned if not one.fingerprint],
        "condemned_requests": [one for one in evidence.condemned if one.fingerprint],
        "suspected_parts": [one for one in suspects if not is_fingerprint(one)],
        "suspected_requests": [one for one in suspects if is_fingerprint(one)],
    }


def _list_crash_gauges(evidence: CrashEvidence) -> Iterable[tuple[str, str, int]]:
    """Return the name, the text and the value of each gauge about crashes of upstreams."""
    texts = {
        "suspected_parts": ("prompt_parts_suspected", "Parts of prompts that may crash upstreams."),
        "condemned_parts": (
            "prompt_parts_condemned",
            "Parts of prompts that are not sent to upstreams.",
        ),
        "suspected_requests": (
            "requests_suspected",
            "Requests that may crash upstreams, by fingerprint.",
        ),
        "condemned_requests": (
            "requests_condemned",
            "Requests that are not sent to upstreams, by fingerprint.",
        ),
    }
    found = _list_by_kind(evidence)
    return [(name, text, len(found[kind])) for kind, (name, text) in texts.items()]


def _get_version(fleet: Fleet) -> int:
    return fleet.catalog.version if fleet.catalog is not None else 0
