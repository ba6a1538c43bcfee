"""What one instance believes: the configuration, the upstreams, their load and their health."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lentilwell._clock import Clock
from lentilwell._log_lines import ShardsDealt, UpstreamGone, write_line
from lentilwell.gateway._availability import Availability
from lentilwell.gateway._budget import BudgetRules, RetryBudget
from lentilwell.gateway._catalog import Catalog, EngineSpec, Route
from lentilwell.gateway._configuration_choice import ConfigurationChoice
from lentilwell.gateway._ejection import Ejection
from lentilwell.gateway._latency_factors import LatencyFactors
from lentilwell.gateway._load_tracker import LoadTracker
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._placement_policies import POLICIES, Candidate, Choice, PlacementRequest
from lentilwell.gateway._refusals import Refusals
from lentilwell.gateway._reopening import Waiters
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._upstreams import (
    Change,
    Directory,
    Upstream,
    drop_missing,
    take_changes,
)


@dataclass
class Fleet:
    """The beliefs of one instance. Only the event loop's thread touches it."""

    clock: Clock
    data_centre: str
    budget_rules: BudgetRules
    policy: str
    shards: ShardView
    configurations: ConfigurationChoice = field(default_factory=ConfigurationChoice)
    directory: Directory = field(default_factory=Directory)
    listed: bool = False
    load_tracker: LoadTracker = field(default_factory=LoadTracker)
    availability: Availability = field(default_factory=Availability)
    ejection: Ejection = field(default_factory=Ejection)
    refusals: Refusals = field(default_factory=Refusals)
    waiters: Waiters = field(default_factory=Waiters)
    latency_factors: LatencyFactors = field(default_factory=LatencyFactors)
    listing_at: StorePoint = field(default_factory=StorePoint)
    shards_logged: int = 1
    count_instances: Callable[[], int] = lambda: 1
    find_digest_age: Callable[[], int | None] = lambda: None
    on_report: Callable[[], None] = lambda: None
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    random: random.Random = field(default_factory=random.Random)

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return self.configurations.in_force

    def find_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(self.budget_rules)
        return budget

    def change_budget(self, rules: BudgetRules) -> None:
        """Take changed rules for retries into force; what was spent stays spent."""
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
    ) -> Choice | None:
        """Ask the policy for an upstream; those in ``excluded`` are not asked again.

        Upstreams of other shards are looked at only where none of the own one can be chosen.
        ``last_send`` tells that the request cannot be placed again if it is turned away.
        """
        now = self.clock.now()
        usable = [
            upstream
            for upstream in self.directory.find_usable(service, now)
            if upstream.name not in excluded and self.availability.takes_work(upstream, now)
        ]
        self.shards.take_upstreams(self.directory.listed)
        own = [upstream for upstream in usable if self.shards.covers(upstream)]
        request = PlacementRequest(
            prompt=prompt,
            engine=self.find_engine(service),
            objective_ms=route.objective_ms,
            pause_ms=route.pause_ms,
            waited_ms=now - arrived_at,
            now=now,
            random_point=self.random.random(),
            last_send=last_send,
        )
        choice = self._choose_among(request, own)
        if choice is None and len(own) < len(usable):
            choice = self._choose_among(request, usable)
        return choice

    def _choose_among(self, request: PlacementRequest, usable: Sequence[Upstream]) -> Choice | None:
        admitted = self.ejection.admit(usable, request.now)
        doubtful = self.ejection.find_doubtful_centres(usable, request.now)
        trusted = [one for one in admitted if one.data_centre not in doubtful] or admitted
        candidates = [self._describe(upstream, request.now) for upstream in trusted]
        return POLICIES[self.policy](request, candidates)

    def takes_work(self, choice: Choice) -> bool:
        """Tell whether all upstreams of a choice still want new work."""
        now = self.clock.now()
        concerned = (choice.upstream, *(helper.upstream for helper in choice.helpers))
        return all(self.availability.takes_work(upstream, now) for upstream in concerned)

    def find_reopening(self, service: str, excluded: frozenset[str]) -> int | None:
        """Return when the first upstream that now wants nothing may be asked, None if none is."""
        now = self.clock.now()
        usable = self.directory.find_usable(service, now)
        others = [upstream for upstream in usable if upstream.name not in excluded]
        return self.availability.find_first_reopening(others, now)

    def find_reading_ahead(self, choice: Choice) -> float:
        """Return what the chosen upstreams still read of prompts read together: the most, in ms."""
        now = self.clock.now()
        return max(
            self.load_tracker.measure_load(name, now).spread_backlog_ms
            for name in choice.upstream_names
        )

    def find_engine(self, service: str) -> EngineSpec | None:
        """Return how the engines of a service work, None for a plain service."""
        spec = self.catalog.services.get(service) if self.catalog is not None else None
        return spec.engine if spec is not None else None

    def forget_gone(self) -> None:
        """Forget upstreams that lapsed in an outage of the store and did not return in time.

        What was learned of upstreams that are no longer listed is forgotten too.
        """
        before = self.directory.missing
        self.directory = drop_missing(self.directory, self.clock.now())
        for name in before.keys() - self.directory.missing.keys():
            write_line(UpstreamGone(name, "not listed again"))
        self.availability.forget_past(self.directory.listed, self.clock.now())
        self.ejection.keep_only(self.directory.listed)
        self.refusals.keep_only(self.directory.listed)
        self.latency_factors.keep_only(self.directory.listed)

    def deal_shards(self) -> None:
        """Follow the lists of instances and upstreams with the own shard."""
        if self.listed:
            self.shards.take_upstreams(self.directory.listed)
        if self.shards.shards != self.shards_logged:
            self.shards_logged = self.shards.shards
            own = sum(map(self.shards.covers, self.directory.listed.values()))
            write_line(ShardsDealt(self.shards.shards, len(self.shards.peers), own))

    def forget(self, upstream: Upstream) -> None:
        """Take an upstream off the list whose address belongs to another one by now."""
        change = Change(upstream.name, None)
        self.directory = take_changes(self.directory, [change], self.clock.now())
        write_line(UpstreamGone(upstream.name, "address belongs to another"))

    def _describe(self, upstream: Upstream, now: int) -> Candidate:
        return Candidate(
            upstream=upstream,
            load=self.load_tracker.measure_load(upstream.name, now),
            is_local=upstream.data_centre == self.data_centre,
            latency_factor=self.latency_factors.find(upstream.name, now),
            refusal_rate=self.refusals.find_share(upstream.name, now),
        )
