"""The state of one instance: the configuration, the upstreams, their load and their health."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from lentilwell._clock import Clock
from lentilwell._log_lines import ShardsAssigned, UpstreamRemoved, write_line
from lentilwell.gateway._answer_times import AnswerTimes
from lentilwell.gateway._availability import Availability
from lentilwell.gateway._backoff_waits import BackoffQueue
from lentilwell.gateway._budget import BudgetRules, RetryBudget
from lentilwell.gateway._catalog import Catalog, EngineSpec, Route
from lentilwell.gateway._configuration_choice import ConfigurationChoice
from lentilwell.gateway._crash_evidence import CrashEvidence
from lentilwell.gateway._ejection import Ejection
from lentilwell.gateway._latency_factors import LatencyFactors
from lentilwell.gateway._load_tracker import LoadTracker
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._placement_policies import POLICIES, Candidate, Choice, PlacementRequest
from lentilwell.gateway._rate_limits import RateLimits
from lentilwell.gateway._refusals import Refusals
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._stopping import PlannedStop, can_finish
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._upstreams import (
    Directory,
    Incarnation,
    ListingChange,
    Upstream,
    apply_changes,
    drop_missing,
)
from lentilwell.gateway.cold_start import NEVER_COLD, ColdRules, ColdWatch
from lentilwell.gateway.evacuation import (
    Closure,
    EvacuationTracker,
    Restriction,
    explain_closure,
)
from lentilwell.gateway.overload import AdmissionControl

# Waits for permits that differ by less than this count as equal.
SAME_WAIT_MS = 50


@dataclass
class Fleet:
    """The state of one instance. It must be used only from the thread of the event loop."""

    clock: Clock
    data_centre: str
    budget_rules: BudgetRules
    policy: str
    shards: ShardView
    configuration_choice: ConfigurationChoice = field(default_factory=ConfigurationChoice)
    directory: Directory = field(default_factory=Directory)
    listing_known: bool = False
    load_tracker: LoadTracker = field(default_factory=LoadTracker)
    availability: Availability = field(default_factory=Availability)
    ejection: Ejection = field(default_factory=Ejection)
    refusals: Refusals = field(default_factory=Refusals)
    rate_limits: RateLimits = field(default_factory=RateLimits)
    crash_evidence: CrashEvidence = field(default_factory=CrashEvidence)
    backoff_queue: BackoffQueue = field(default_factory=BackoffQueue)
    latency_factors: LatencyFactors = field(default_factory=LatencyFactors)
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    listing_point: StorePoint = field(default_factory=StorePoint)
    logged_shards: int = 1
    count_instances: Callable[[], int] = lambda: 1
    find_permit_wait_ms: Callable[[Upstream], int] = lambda upstream: 0
    find_stop: Callable[[], PlannedStop | None] = lambda: None
    find_digest_age: Callable[[], int | None] = lambda: None
    on_new_report: Callable[[], None] = lambda: None
    on_limit_change: Callable[[Upstream], None] = lambda upstream: None
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    random: random.Random = field(default_factory=random.Random)
    evacuations: EvacuationTracker = field(init=False)
    # The region of each data centre that has one.
    zones: Mapping[str, str] = field(default_factory=dict)
    on_evacuation_end: Callable[[str, int], None] = lambda data_centre, now: None
    admission: AdmissionControl = field(init=False)
    cold_watch: ColdWatch = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that share the clock, the random numbers and the directory."""
        self.evacuations = EvacuationTracker(self.clock)
        self.admission = AdmissionControl(self.clock, self.random)
        self.cold_watch = ColdWatch(self.clock, lambda name: self.directory.listed.get(name))
        self.cold_watch.cold_upstreams.find_rules = self._find_cold_rules
        self.rate_limits.find_temporary = self.cold_watch.find_limit

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return self.configuration_choice.in_force

    def find_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(self.budget_rules)
        return budget

    def change_budget(self, rules: BudgetRules) -> None:
        """Apply changed rules to all retry budgets; retries that were made still count."""
        self.budget_rules = rules
        for budget in self.budgets.values():
            budget.change_rules(rules)

    def choose(
        self,
        service: str,
        route: Route,
        prompt: Prompt | None,
        arrived_at: int,
        excluded: frozenset[str],
        last_send: bool = False,
        restriction: Restriction = None,
    ) -> Choice | None:
        """Let the policy choose an upstream that is not in ``excluded``.

        Left out are those that drain, have a backoff in effect, or are known to have no permit now.
        Upstreams of other shards are considered only if none of this instance's shard can be
        chosen. ``last_send`` means that the request cannot be placed again if it is refused.
        """
        now = self.clock.now()
        usable = [
            upstream
            for upstream in self._list_accepting(service, excluded, now, restriction)
            if not self.find_permit_wait_ms(upstream)
        ]
        self.shards.update_upstreams(self.directory.listed)
        own = [upstream for upstream in usable if self.shards.covers(upstream)]
        request = self._make_request(service, route, prompt, now - arrived_at, last_send)
        choice = self._choose_among(request, own)
        if choice is None and len(own) < len(usable):
            choice = self._choose_among(request, usable)
        return choice

    def choose_limited(
        self,
        service: str,
        route: Route,
        prompt: Prompt | None,
        arrived_at: int,
        excluded: frozenset[str],
        find_patience_ms: Callable[[Upstream], int],
        restriction: Restriction = None,
    ) -> Choice | None:
        """Let the policy choose a rate-limited upstream whose permit the request can wait for.

        ``find_patience_ms`` returns for an upstream how long that is.
        """
        now = self.clock.now()
        waits = {
            upstream: self.find_permit_wait_ms(upstream)
            for upstream in self._list_accepting(service, excluded, now, restriction)
        }
        in_time = {
            upstream: wait_ms
            for upstream, wait_ms in waits.items()
            if 0 < wait_ms <= find_patience_ms(upstream)
        }
        if not in_time:
            return None
        latest_ms = min(in_time.values()) + SAME_WAIT_MS
        soonest = [upstream for upstream, wait_ms in in_time.items() if wait_ms <= latest_ms]
        request = self._make_request(service, route, prompt, now - arrived_at, False)
        return self._choose_among(request, soonest)

    def has_unlimited(
        self, service: str, excluded: frozenset[str], restriction: Restriction = None
    ) -> bool:
        """Tell whether an upstream of a service takes requests without permits."""
        return any(
            not self.rate_limits.is_limited(upstream.incarnation)
            for upstream in self._list_accepting(service, excluded, self.clock.now(), restriction)
        )

    def list_limited(self, service: str) -> frozenset[str]:
        """Return the names of the rate-limited upstreams of a service."""
        return frozenset(
            upstream.name
            for upstream in self.directory.find_usable(service, self.clock.now())
            if self.rate_limits.is_limited(upstream.incarnation)
        )

    def find_least_permit_wait_ms(
        self, service: str, excluded: frozenset[str], restriction: Restriction = None
    ) -> int | None:
        """Return how long the first permit for a service takes, None if no limit delays it."""
        accepting = self._list_accepting(service, excluded, self.clock.now(), restriction)
        waits = map(self.find_permit_wait_ms, accepting)
        return min((wait_ms for wait_ms in waits if wait_ms), default=None)

    def _list_accepting(
        self, service: str, excluded: frozenset[str], now: int, restriction: Restriction
    ) -> list[Upstream]:
        return [
            upstream
            for upstream in self._list_open(service, now, restriction)
            if upstream.name not in excluded and self.availability.accepts_work(upstream, now)
        ]

    def _list_open(self, service: str, now: int, restriction: Restriction) -> Sequence[Upstream]:
        """Return the usable upstreams of a service in data centres that may be used."""
        usable = self.directory.find_usable(service, now)
        if restriction is None and not self.evacuations.evacuated:
            return usable
        return [upstream for upstream in usable if self._is_open(upstream, restriction)]

    def _is_open(self, upstream: Upstream, restriction: Restriction) -> bool:
        if self.is_evacuated(upstream):
            return False
        return restriction is None or self.zones.get(upstream.data_centre) in restriction

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Tell whether the data centre of an upstream is evacuated."""
        return upstream.data_centre in self.evacuations.evacuated

    def find_closure(self, service: str, restriction: Restriction = None) -> Closure | None:
        """Return why no usable upstream of a service is open, None if one is or none is usable."""
        if restriction is None and not self.evacuations.evacuated:
            return None
        usable = self.directory.find_usable(service, self.clock.now())
        if not usable or any(self._is_open(upstream, restriction) for upstream in usable):
            return None
        data_centres = {upstream.data_centre for upstream in usable}
        return explain_closure(data_centres, restriction, self.zones.get)

    def knows_data_centre(self, name: str) -> bool:
        """Tell whether the settings or a listed upstream name a data centre."""
        listed = self.directory.listed.values()
        return (
            name == self.data_centre
            or name in self.zones
            or any(one.data_centre == name for one in listed)
        )

    def _make_request(
        self, service: str, route: Route, prompt: Prompt | None, waited_ms: int, last_send: bool
    ) -> PlacementRequest:
        return PlacementRequest(
            prompt=prompt,
            engine=self.find_engine(service),
            objective_ms=route.objective_ms,
            pause_ms=route.pause_ms,
            waited_ms=waited_ms,
            now=self.clock.now(),
            random_point=self.random.random(),
            last_send=last_send,
            expects_ends=self.admission.enabled,
        )

    def _choose_among(self, request: PlacementRequest, usable: Sequence[Upstream]) -> Choice | None:
        admitted = self.ejection.admit(usable, request.now)
        suspect = self.ejection.find_suspect_data_centres(usable, request.now)
        trusted = [one for one in admitted if one.data_centre not in suspect] or admitted
        candidates = [self._make_candidate(upstream, request.now) for upstream in trusted]
        return POLICIES[self.policy](request, candidates)

    def can_finish(self, routed: RoutedRequest, delay_ms: int = 0) -> bool:
        """Tell whether a request that is sent after a delay is expected to end in a planned stop.

        Without a planned stop, every request is.
        """
        stop = self.find_stop()
        if stop is None:
            return True
        sent_at = self.clock.now() + delay_ms
        return can_finish(routed, self.answer_times, sent_at, stop.find_end(sent_at))

    def measure_time(self, routed: RoutedRequest) -> tuple[int, int]:
        """Return the time since a request's arrival and that until it must end, in ms."""
        now, stop = self.clock.now(), self.find_stop()
        ends_at = routed.deadline_at
        if stop is not None:
            ends_at = min(ends_at, stop.ends_at)
        return now - routed.request.arrived_at, ends_at - now

    def accepts_work(self, choice: Choice, restriction: Restriction = None) -> bool:
        """Tell whether all upstreams of a choice are open, and none drains or has a backoff."""
        now = self.clock.now()
        unrestricted = restriction is None and not self.evacuations.evacuated
        if not unrestricted and not all(
            self._is_open(one, restriction) for one in choice.upstreams
        ):
            return False
        return all(self.availability.accepts_work(one, now) for one in choice.upstreams)

    def find_backoff_end(
        self, service: str, excluded: frozenset[str], restriction: Restriction = None
    ) -> int | None:
        """Return when the first backoff in a service ends, None if none is in effect."""
        now = self.clock.now()
        usable = self._list_open(service, now, restriction)
        others = [upstream for upstream in usable if upstream.name not in excluded]
        return self.availability.find_earliest_backoff_end(others, now)

    def find_prefill_ahead_ms(self, choice: Choice) -> float:
        """Return the largest backlog of spread prompts at the chosen upstreams, in ms.

        A spread prompt is one that several engines read.
        """
        now = self.clock.now()
        return max(
            self.load_tracker.measure_load(name, now).spread_backlog_ms
            for name in choice.upstream_names
        )

    def find_engine(self, service: str) -> EngineSpec | None:
        """Return the engine specification of a service, None for a plain service."""
        return self.catalog.find_engine(service) if self.catalog is not None else None

    def _find_cold_rules(self, service: str) -> ColdRules | None:
        """Return the rules about cold upstreams of a service, None without a configuration."""
        if self.catalog is None:
            return None
        spec = self.catalog.services.get(service)
        return spec.cold if spec is not None else NEVER_COLD

    def remove_unlisted(self) -> None:
        """Remove upstreams that expired in a store outage and did not register again in time.

        The health, refusals, latency factors and rate limits of upstreams that are not listed are
        removed too.
        """
        before = self.directory.missing
        self.directory = drop_missing(self.directory, self.clock.now())
        for name in before.keys() - self.directory.missing.keys():
            write_line(UpstreamRemoved(name, "not listed again"))
        self.availability.remove_expired(self.directory.listed, self.clock.now())
        self.ejection.keep_only(self.directory.listed)
        self.refusals.keep_only(self.directory.listed)
        self.latency_factors.keep_only(self.directory.listed)
        self.rate_limits.keep_only(self.is_listed)

    def is_listed(self, incarnation: Incarnation) -> bool:
        """Tell whether this incarnation of an upstream is listed."""
        upstream = self.directory.listed.get(incarnation.name)
        return upstream is not None and upstream.incarnation == incarnation

    def is_listed_address(self, address: str) -> bool:
        """Tell whether an address is that of a listed upstream."""
        return any(one.address == address for one in self.directory.listed.values())

    def update_shards(self) -> None:
        """Update the shard of this instance to the current lists of instances and upstreams."""
        if self.listing_known:
            self.shards.update_upstreams(self.directory.listed)
        if self.shards.shards != self.logged_shards:
            self.logged_shards = self.shards.shards
            own = sum(map(self.shards.covers, self.directory.listed.values()))
            write_line(ShardsAssigned(self.shards.shards, len(self.shards.peers), own))

    def remove_upstream(self, upstream: Upstream) -> None:
        """Remove an upstream whose address now belongs to another upstream."""
        change = ListingChange(upstream.name, None)
        self.directory = apply_changes(self.directory, [change], self.clock.now())
        write_line(UpstreamRemoved(upstream.name, "address belongs to another"))

    def _make_candidate(self, upstream: Upstream, now: int) -> Candidate:
        limited = self.rate_limits.is_limited(upstream.incarnation)
        return Candidate(
            upstream=upstream,
            load=self.load_tracker.measure_load(upstream.name, now),
            is_local=upstream.data_centre == self.data_centre,
            latency_factor=self.latency_factors.find(upstream.name, now),
            refusal_share=self.refusals.estimate_share(upstream.name, now),
            limited=limited,
            cold=limited and self.cold_watch.is_cold(upstream),
        )
