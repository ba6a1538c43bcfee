"""Which instance of a plain service takes a call, and how many calls a service may have open."""

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
    """Orders a service's instances: own data centre first, those that failed recently last."""

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        is_leaving: Callable[[str], bool] = lambda _name: False,
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._is_leaving = is_leaving
        self._turns = count()
        self._ejected_until: dict[str, int] = {}

    def order(self, inventory: Inventory, team: Team, service: str) -> list[Service]:
        """Return the instances that the team may use, best first; leaving ones are left out."""
        found = find_instances(inventory, team, service)
        staying = [instance for instance in found if not self._is_leaving(instance.name)]
        turn = next(self._turns)
        turned = [staying[(turn + n) % len(staying)] for n in range(len(staying))]
        now = self._clock.now()
        return sorted(turned, key=lambda instance: self._rank(instance, now))

    def note_failure(self, instance: Service) -> None:
        """Put an instance last for a while."""
        self._ejected_until[instance.name] = self._clock.now() + EJECTION_MS

    def note_answer(self, instance: Service) -> None:
        """An instance that answers is in use again."""
        self._ejected_until.pop(instance.name, None)

    def _rank(self, instance: Service, now: int) -> tuple[bool, bool]:
        ejected = self._ejected_until.get(instance.name, now) > now
        return ejected, instance.data_centre != self._data_centre


class CallSlots:
    """Bounds the open calls of each service and of all, so that a hung one leaves workers free."""

    def __init__(self, workers: int) -> None:
        self._each = max(1, workers * SERVICE_SHARE_PERCENT // 100)
        self._all = max(1, workers * ALL_SERVICES_SHARE_PERCENT // 100)
        self._open: dict[str, int] = {}
        self._lock = Lock()

    @property
    def limit(self) -> int:
        """Return how many calls may be open in all."""
        return self._all

    def take(self, service: str) -> bool:
        """Take a slot, or return False at once where there is none."""
        with self._lock:
            mine = self._open.get(service, 0)
            if mine >= self._each or sum(self._open.values()) >= self._all:
                return False
            self._open[service] = mine + 1
            return True

    def give_back(self, service: str) -> None:
        """Give a slot back."""
        with self._lock:
            left = self._open.pop(service) - 1
            if left:
                self._open[service] = left


class RetryBudget:
    """Allows retries as a share of fresh look-ups, with a small burst."""

    def __init__(self) -> None:
        self._tokens = RETRY_BURST
        self._lock = Lock()

    def note_fresh(self, rules: Rules) -> None:
        """A fresh look-up earns its share of a retry."""
        with self._lock:
            self._tokens = min(RETRY_BURST, self._tokens + rules.retry_budget_percent / 100)

    def take(self) -> bool:
        """Take one retry, or return False where the budget is spent."""
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
