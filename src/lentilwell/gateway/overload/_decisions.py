"""Decides whether a request is sent, held at this instance or refused under overload. Pure.

A request that is expected to be on time is sent. One that would be late must not delay others: it
is held until more slots are free than those that arrive meanwhile need, or refused at once if that
is expected to take longer than its caller waits.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway.overload._admission import MAX_RETRY_AFTER_SHARE, MIN_RETRY_AFTER_MS

# Late requests leave this share of all slots free, for requests that arrive and can be on time.
# Without it nearly every slot that is free for a moment would go to a late request.
RESERVED_SHARE = 0.05
MAX_RESERVED_SHARE = 0.25
# The rank of a late request is its own rank plus this, so that an engine takes it after all that
# can be on time, in the order of their ranks.
LATE_RANKS = 5
MAX_RANK = 9
# The reason to hold a request that could be sent: there is room, but others get it first.
OTHERS_FIRST = "others that can be on time came first"
# A request that can still be on time is refused only after this time: a slot that is free by then
# is not left to callers that return at once.
GRACE_MS = 30
# A refusal for lack of room must come within this time from the arrival.
MAX_REFUSAL_MS = 50
# When this little time is left to serve a held request, it is sent if a slot is about to be free.
# Otherwise it is refused: its caller can return, while one that leaves gets nothing.
LAST_CHANCE_MS = 100
# Requests that can be on time go first, so that a late one gets its slot later than in its turn.
PASSED_FACTOR = 2.0
# A refused caller returns once the shortage is expected to have ended, at the earliest after this.
MIN_RETURN_MS = 2_000


@dataclass(frozen=True)
class WaitingRequest:
    """A request that could be sent now. Times are in ms.

    ``patience_ms`` is the time from its arrival in which it must be answered: until its caller
    leaves or its deadline passes. ``remaining_ms`` is the time until its deadline. ``held`` is true
    if it has been held before.
    """

    objective_ms: int
    patience_ms: int
    waited_ms: int
    remaining_ms: int
    held: bool = False


@dataclass(frozen=True)
class Room:
    """What this instance knows about the capacity of a service.

    ``slot_use_ms`` is how long a typical request uses a slot, ``instances`` how many instances use
    these slots. ``short_ms`` is how long requests have lacked room, ``late_ahead`` the number of
    late requests that this instance would release before this one, and ``on_time_ahead`` that of
    those that can still be on time. ``yields`` is true if a more urgent class lacks room here.
    ``queues`` is false if the upstreams refuse what exceeds their slots.
    """

    slots: int
    free_slots: int
    slot_use_ms: float
    instances: int = 1
    short_ms: int = 0
    late_ahead: int = 0
    on_time_ahead: int = 0
    yields: bool = False
    queues: bool = True

    @property
    def release_interval_ms(self) -> float:
        """Return the mean time between two slots that this instance can fill."""
        return self.slot_use_ms * self.instances / max(1, self.slots)

    @property
    def spare_slots(self) -> int:
        """Return the free slots beyond those that are kept for requests that can be on time."""
        return self.free_slots - find_reserve(self.slots)


@dataclass(frozen=True)
class Send:
    """The request is sent now; ``late`` if that is after all that can be on time."""

    late: bool = False


@dataclass(frozen=True)
class Hold:
    """The request is held at this instance; ``reason`` is for the log."""

    reason: str


@dataclass(frozen=True)
class Refuse:
    """The request is refused; its caller may retry after ``retry_after_ms``."""

    retry_after_ms: int
    expected_ms: int


Verdict = Send | Hold | Refuse


def find_reserve(slots: int) -> int:
    """Return how many of the slots of a service late requests leave free."""
    return min(math.ceil(RESERVED_SHARE * slots), int(MAX_RESERVED_SHARE * slots))


def find_late_rank(rank: int) -> int:
    """Return the rank at its engine of a request that is late; late ones keep their order."""
    return min(MAX_RANK, max(0, rank) + LATE_RANKS)


def is_short(request: WaitingRequest, choice: Choice) -> bool:
    """Tell whether the request lacks room: it would be late because it has to wait for a slot."""
    expected_ms = request.waited_ms + choice.first_event_ms
    return choice.slot_wait_ms > 0 and expected_ms > request.objective_ms


def decide(
    request: WaitingRequest, choice: Choice, room: Room, random_point: float = 0.0
) -> Verdict:
    """Return what happens to a request now.

    ``random_point`` is a random number from 0 up to 1. It spreads the releases of many instances,
    which see the same free slots, and the returns of refused callers.
    """
    if not room.queues and choice.slot_wait_ms:
        return _wait_for_slot(request, choice, room, random_point)
    if request.waited_ms + choice.first_event_ms <= request.objective_ms:
        if room.on_time_ahead and not request.held and not room.queues:
            return Hold(OTHERS_FIRST)
        if room.yields and room.spare_slots <= 0:
            return _hold(request, choice, room, "a more urgent class lacks room", random_point)
        return Send()
    if not choice.slot_wait_ms and not request.held:
        return Send(late=bool(room.short_ms) and request.waited_ms > request.objective_ms)
    if not choice.slot_wait_ms and random_point * room.instances < room.spare_slots:
        return Send(late=True)
    if request.held and request.waited_ms > MAX_REFUSAL_MS:
        return _hold(request, choice, room, "no free slot in time", random_point)
    return _hold_or_refuse(request, choice, room, random_point)


def _wait_for_slot(
    request: WaitingRequest, choice: Choice, room: Room, random_point: float
) -> Verdict:
    """Hold a request while the upstreams, which do not queue requests, have no free slot.

    It is not certain to be late: a slot may be free before that.
    """
    ahead = room.on_time_ahead * room.release_interval_ms
    if request.held:
        return _hold(request, choice, room, "no free slot", random_point)
    limit_ms = min(request.objective_ms, request.patience_ms)
    if request.waited_ms + ahead + choice.first_event_ms <= limit_ms:
        return Hold("no free slot")
    return _hold_or_refuse(request, choice, room, random_point)


def _hold_or_refuse(
    request: WaitingRequest, choice: Choice, room: Room, random_point: float
) -> Verdict:
    """Hold a request that will be late, unless it cannot be served before its caller leaves."""
    expected_ms = estimate_hold_ms(room) + choice.first_event_ms
    serving_ms = choice.first_event_ms - choice.slot_wait_ms
    on_time = request.waited_ms + serving_ms <= request.objective_ms
    if on_time and request.waited_ms < GRACE_MS:
        return Hold("no free slot yet")
    if request.waited_ms + expected_ms > request.patience_ms:
        retry_ms = find_return_ms(request, room, random_point)
        return Refuse(retry_ms, round(expected_ms))
    return Hold("no free slot in time")


def estimate_hold_ms(room: Room) -> float:
    """Return how long a late request is expected to be held, in ms.

    A shortage is expected to last as long again as it has lasted: its end is not known, and most
    of the shortages that have lasted long go on.
    """
    queue_ms = (room.late_ahead + 1) * room.release_interval_ms
    return room.short_ms + PASSED_FACTOR * queue_ms


def find_return_ms(request: WaitingRequest, room: Room, random_point: float) -> int:
    """Return when a refused caller may return, in ms: spread, so that not all return at once."""
    queue_ms = room.late_ahead * room.release_interval_ms
    base_ms = max(MIN_RETURN_MS, room.short_ms + queue_ms)
    latest_ms = min(2 * base_ms, request.remaining_ms * MAX_RETRY_AFTER_SHARE)
    return max(MIN_RETRY_AFTER_MS, round(latest_ms * (1 + random_point) / 2))


def _hold(
    request: WaitingRequest, choice: Choice, room: Room, reason: str, random_point: float
) -> Verdict:
    """Hold a request while it can still be served in time if it gets a slot at once."""
    left_ms = request.patience_ms - request.waited_ms
    serving_ms = choice.first_event_ms - choice.slot_wait_ms
    if left_ms - serving_ms > LAST_CHANCE_MS:
        return Hold(reason)
    if room.queues and choice.slot_wait_ms <= LAST_CHANCE_MS:
        return Send(late=True)
    return Refuse(find_return_ms(request, room, random_point), round(choice.first_event_ms))
