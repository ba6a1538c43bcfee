"""The promises that are checked against what was seen. Pure: each check returns what broke it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from soak.observations import Call, Kind, Observations

Check = Callable[[Observations], Iterator[str]]
CHECKS: dict[str, Check] = {}

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Between an upstream's word and the moment from which nothing new may come.
SAID_SLACK_MS = 500
LATE_SLACK_MS = 1_000
CONFIGURATION_MS = 2_000
# A few requests may cross an upstream's word on the way.
MOST_CROSSING = 2
LEAST_SERVED_SHARE = 0.8
LEAST_CALM_CALLS = 10
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 100
BUDGET_WINDOW_MS = 10_000


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under the promise that it stands for."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def find_violations(seen: Observations) -> list[str]:
    """Return all broken promises, each with the name of its check."""
    return [f"{name}: {what}" for name, run in CHECKS.items() for what in run(seen)]


@check("at most once")
def check_once(seen: Observations) -> Iterator[str]:
    """A booking runs at most once."""
    bookings = {call.request for call in seen.calls if call.kind is Kind.BOOKING}
    runs = Counter(one.request for one in seen.arrivals if one.ran)
    for request, count in runs.items():
        if request in bookings and count > 1:
            yield f"{request} ran {count} times"


@check("not run is true")
def check_not_run(seen: Observations) -> Iterator[str]:
    """A booking whose caller was told that it has not run did not run."""
    ran = {one.request for one in seen.arrivals if one.ran}
    for call in seen.calls:
        if call.kind is Kind.BOOKING and call.status in NOT_RUN_STATUSES and call.request in ran:
            yield f"{call.request} was answered {call.status} and ran"


@check("whole and own answers")
def check_whole(seen: Observations) -> Iterator[str]:
    """A success that looks complete is the caller's own, whole and in order."""
    for call in seen.calls:
        if call.status == 200 and call.whole and call.missing:
            yield f"{call.request}: {call.missing}"


@check("ended in time")
def check_in_time(seen: Observations) -> Iterator[str]:
    """Every call ends soon after its deadline at the latest."""
    for call in seen.calls:
        late_ms = call.ended_at - call.sent_at - call.deadline_ms
        if late_ms > LATE_SLACK_MS and not _excused(seen, call):
            yield f"{call.request} at {call.instance} ended {late_ms} ms after its deadline"


@check("answered")
def check_answered(seen: Observations) -> Iterator[str]:
    """A sound instance, also one that is being stopped, closes on no call without an answer.

    A call may cross the close of an idle connection: no instance has read it, so none logged it.
    """
    read = seen.logged | {one.request for one in seen.arrivals}
    for call in seen.calls:
        if call.status is None and call.request in read and not _excused(seen, call):
            yield f"{call.request} at {call.instance} got no answer"


@check("nothing new after its word")
def check_said(seen: Observations) -> Iterator[str]:
    """An upstream that leaves, or named a time to come back, is left alone by whom it told."""
    sent_at = {call.request: call.sent_at for call in seen.calls}
    for said in seen.said:
        after = [
            one.request
            for one in seen.arrivals
            if (one.upstream, one.life, one.instance) == (said.upstream, said.life, said.instance)
            and one.at > said.at + SAID_SLACK_MS
            and (said.leaving or one.at < said.until)
            and sent_at.get(one.request, 0) > said.at + SAID_SLACK_MS
            and not seen.in_trouble(said.instance, said.at, one.at)
            and not seen.in_trouble(said.upstream, said.at, one.at)
        ]
        if len(after) > (0 if said.leaving else MOST_CROSSING):
            yield f"{said.upstream} told {said.instance} at {said.at} and then got {after[:5]}"


@check("configuration")
def check_configuration(seen: Observations) -> Iterator[str]:
    """A version is in force soon after it was written, and never given up by a process."""
    known: set[tuple[str, int, int]] = set()
    for look in sorted(seen.looks, key=lambda one: one.sent_at):
        key = (look.instance, look.life, look.version)
        if look.status != 404:
            known.add(key)
            continue
        due_at = seen.versions[look.version] + CONFIGURATION_MS
        late = look.sent_at > due_at and not seen.in_trouble(
            look.instance, look.sent_at - CONFIGURATION_MS, look.sent_at
        )
        if late or key in known:
            yield f"{look.instance} does not know version {look.version} at {look.sent_at}"


@check("retry budget")
def check_budget(seen: Observations) -> Iterator[str]:
    """In every window the sends beyond the first of each request stay within the budget."""
    first: set[str] = set()
    again: list[int] = []
    for one in sorted(seen.arrivals, key=lambda arrival: arrival.at):
        if one.request in first:
            again.append(one.at)
        first.add(one.request)
    sent = [call.sent_at for call in seen.calls if call.kind in (Kind.LOOKUP, Kind.BOOKING)]
    for begin in again:
        spent = sum(begin <= at < begin + BUDGET_WINDOW_MS for at in again)
        requests = sum(begin - BUDGET_WINDOW_MS <= at < begin + BUDGET_WINDOW_MS for at in sent)
        if spent > BUDGET_RATIO * requests + BUDGET_EXTRA:
            yield f"{spent} sent again for {requests} requests from {begin} on"
            return


@check("memory is given back")
def check_memory(seen: Observations) -> Iterator[str]:
    """No memory stays set aside once all is over."""
    for ticket in seen.held_tickets:
        yield f"{ticket} is still held"


@check("recovery")
def check_recovery(seen: Observations) -> Iterator[str]:
    """Once the faults are over, callers are served as before."""
    calm = [call for call in seen.calls if call.sent_at >= seen.calm_since]
    unserved = Counter(
        f"{call.kind.value} {call.status}" for call in calm if call.status != 200 or not call.whole
    )
    served = len(calm) - unserved.total()
    if len(calm) < LEAST_CALM_CALLS or served < LEAST_SERVED_SHARE * len(calm):
        yield f"{served} of {len(calm)} calls were served at the end, not: {dict(unserved)}"


def _excused(seen: Observations, call: Call) -> bool:
    return seen.in_trouble(call.instance, call.sent_at, call.ended_at)
