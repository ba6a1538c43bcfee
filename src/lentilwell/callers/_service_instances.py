"""Selection of service instances, and limits on open calls and on retries."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from threading import Lock

from lentilwell._clock import Clock
from lentilwell._inventory import Inventory, Rules, Service, Team

EJECTION_MS = 2_000
SERVICE_SHARE_PERCENT = 50
ALL_SERVICES_SHARE_PERCENT = 75
RETRY_BURST = 10.0


class InstanceChooser:
    """Orders the instances of a service for a call.

    Instances that failed recently come last. Among the others and among the failed ones, those in
    the data centre of this entry instance come first.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        is_leaving: Callable[[str], bool] = lambda _name: False,
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._is_leaving = is_leaving
        self._rotations = count()
        self._ejected_until: dict[str, int] = {}

    def order(self, inventory: Inventory, team: Team, service: str) -> list[Service]:
        """Return the instances that the team may use, best first, without the leaving ones.

        Each call starts at the next instance, so that equally good instances share the load.
        """
        allowed = find_instances(inventory, team, service)
        available = [instance for instance in allowed if not self._is_leaving(instance.name)]
        offset = next(self._rotations)
        rotated = [available[(offset + n) % len(available)] for n in range(len(available))]
        now = self._clock.now()
        return sorted(rotated, key=lambda instance: self._sort_key(instance, now))

    def record_failure(self, instance: Service) -> None:
        """Eject an instance: ``order`` returns it last for ``EJECTION_MS``."""
        self._ejected_until[instance.name] = self._clock.now() + EJECTION_MS

    def record_answer(self, instance: Service) -> None:
        """End the ejection of an instance that has answered."""
        self._ejected_until.pop(instance.name, None)

    def _sort_key(self, instance: Service, now: int) -> tuple[bool, bool]:
        ejected = self._ejected_until.get(instance.name, now) > now
        return ejected, instance.data_centre != self._data_centre


class CallSlots:
    """Limits the open calls of each service and of all services together.

    A service that hangs therefore cannot occupy all workers.
    """

    def __init__(self, workers: int) -> None:
        self._max_per_service = max(1, workers * SERVICE_SHARE_PERCENT // 100)
        self._max_total = max(1, workers * ALL_SERVICES_SHARE_PERCENT // 100)
        self._open: dict[str, int] = {}
        self._lock = Lock()

    @property
    def max_open_calls(self) -> int:
        """Return the maximum number of open calls of all services together."""
        return self._max_total

    def try_acquire(self, service: str) -> bool:
        """Acquire a slot, or return False immediately if none is free."""
        with self._lock:
            open_calls = self._open.get(service, 0)
            if open_calls >= self._max_per_service or sum(self._open.values()) >= self._max_total:
                return False
            self._open[service] = open_calls + 1
            return True

    def release(self, service: str) -> None:
        """Release a slot of a service."""
        with self._lock:
            remaining = self._open.pop(service) - 1
            if remaining:
                self._open[service] = remaining


class RetryBudget:
    """Token bucket that limits retries to a percentage of the idempotent calls, plus a burst."""

    def __init__(self) -> None:
        self._tokens = RETRY_BURST
        self._lock = Lock()

    def record_call(self, rules: Rules) -> None:
        """Add the fraction of a retry that one idempotent call allows."""
        with self._lock:
            self._tokens = min(RETRY_BURST, self._tokens + rules.retry_budget_percent / 100)

    def try_acquire(self) -> bool:
        """Take one retry from the budget, or return False if it is exhausted."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


def find_instances(inventory: Inventory, team: Team, service: str) -> list[Service]:
    """Return the instances of a service that a team may use."""
    return [
        instance
        for instance in inventory.services.values()
        if instance.service == service and (not team.services or instance.name in team.services)
    ]
