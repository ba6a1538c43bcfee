"""Checks of the gateway's guarantees against the observations of a run.

Each check is a pure function that yields a description of every violation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from soak.observations import Call, DeadlyArrival, Kind, LimitPeriod, Observations, PausedAnswer
from standins.deadly_requests import ALLOWED_CRASHES, MAX_LATE_ARRIVALS
from standins.limit_rule import GRACE_MS, count_worst_window, find_allowed

Check = Callable[[Observations], Iterator[str]]
CHECKS: dict[str, Check] = {}

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time for an announcement to reach the instance before new requests count as violations.
ANNOUNCEMENT_SLACK_MS = 500
DEADLINE_SLACK_MS = 1_000
# Statuses that stand-in upstreams do not send, except 503 with the word that nothing has run.
OWN_FAILURES = (502, 503, 504)
# Time for an answer to go on to its end after a pause.
ANSWER_REST_MS = 500
MAX_CONFIGURATION_DELAY_MS = 2_000
# Requests to an upstream that asked for a pause may be in flight when its answer arrives.
MAX_REQUESTS_IN_FLIGHT = 2
MIN_SERVED_SHARE = 0.8
MIN_FAULT_FREE_CALLS = 10
RETRY_BUDGET_RATIO = 0.2
EXTRA_RETRIES = 100
# Time for the instances to hear of the end of a server from each other.
CONTACT_MS = 3_000
RETRY_BUDGET_WINDOW_MS = 10_000

# A limit that follows another one at once binds the instances from this time on.
LIMIT_CHANGE_MS = 3_000


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under ``name``, which prefixes its violations."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def find_violations(observations: Observations) -> list[str]:
    """Run all checks and return their violations, each prefixed with the name of its check."""
    return [
        f"{name}: {violation}" for name, find in CHECKS.items() for violation in find(observations)
    ]


@check("at most once")
def check_at_most_once(observations: Observations) -> Iterator[str]:
    """Check that upstreams run each booking at most once."""
    bookings = {call.request for call in observations.calls if call.kind is Kind.BOOKING}
    runs = Counter(arrival.request for arrival in observations.arrivals if arrival.ran)
    for request, count in runs.items():
        if request in bookings and count > 1:
            yield f"{request} ran {count} times"


@check("not run is true")
def check_not_run(observations: Observations) -> Iterator[str]:
    """Check that no upstream ran a booking that was answered with a "not run" status."""
    ran = {arrival.request for arrival in observations.arrivals if arrival.ran}
    for call in observations.calls:
        if call.kind is Kind.BOOKING and call.status in NOT_RUN_STATUSES and call.request in ran:
            yield f"{call.request} was answered {call.status} and ran"


@check("whole and own answers")
def check_answers(observations: Observations) -> Iterator[str]:
    """Check that a complete success has the request's own id and body, or all events in order."""
    for call in observations.calls:
        if call.status == 200 and call.whole and call.missing:
            yield f"{call.request}: {call.missing}"


@check("ended in time")
def check_in_time(observations: Observations) -> Iterator[str]:
    """Check that every call ends within ``DEADLINE_SLACK_MS`` after its deadline."""
    for call in observations.calls:
        late_ms = call.ended_at - call.sent_at - call.deadline_ms
        if late_ms > DEADLINE_SLACK_MS and not _is_excused(observations, call):
            yield f"{call.request} at {call.instance} ended {late_ms} ms after its deadline"


@check("answered")
def check_answered(observations: Observations) -> Iterator[str]:
    """Check that every call that an instance has read gets an answer, also during a planned stop.

    A call sent while the instance closes the idle connection is never read. Such a call appears in
    no log and at no upstream, and is not counted.
    """
    received = observations.logged_requests | {arrival.request for arrival in observations.arrivals}
    for call in observations.calls:
        if call.status is None and call.request in received and not _is_excused(observations, call):
            yield f"{call.request} at {call.instance} got no answer"


@check("pauses are waited for")
def check_pauses(observations: Observations) -> Iterator[str]:
    """Check that no call fails, and no stream is cut, because a sound upstream pauses.

    A pause counts if the answer would have ended before the call's deadline, and neither the
    instance nor the connections of the upstream were in trouble meanwhile.
    """
    pauses: dict[str, list[PausedAnswer]] = {}
    for pause in observations.pauses:
        pauses.setdefault(pause.request, []).append(pause)
    for call in observations.calls:
        cut = call.status == 200 and not call.whole
        if not cut and call.status not in OWN_FAILURES:
            continue
        for pause in pauses.get(call.request, ()):
            if _was_answerable(observations, call, pause):
                yield (
                    f"{call.request} at {call.instance} {'was cut' if cut else call.status} after"
                    f" {call.ended_at - call.sent_at} ms, {pause.upstream} was silent from"
                    f" {pause.begin - call.sent_at} to {pause.until - call.sent_at} ms"
                )


def _was_answerable(observations: Observations, call: Call, pause: PausedAnswer) -> bool:
    """Return whether a paused answer would have reached its caller in time."""
    ends_at = pause.until + ANSWER_REST_MS
    return ends_at <= call.sent_at + call.deadline_ms and not any(
        observations.may_break(name, call.sent_at, ends_at)
        for name in (call.instance, pause.upstream)
    )


@check("nothing new after its word")
def check_announcements(observations: Observations) -> Iterator[str]:
    """Check that an instance sends no new requests to an upstream that is leaving or paused.

    Only the instance that received the announcement is checked, and only for the same incarnation
    of the upstream.
    """
    sent_at = {call.request: call.sent_at for call in observations.calls}
    for announcement in observations.announcements:
        later_requests = [
            arrival.request
            for arrival in observations.arrivals
            if (arrival.upstream, arrival.life, arrival.instance)
            == (announcement.upstream, announcement.incarnation, announcement.instance)
            and arrival.at > announcement.at + ANNOUNCEMENT_SLACK_MS
            and (announcement.leaving or arrival.at < announcement.until)
            and sent_at.get(arrival.request, 0) > announcement.at + ANNOUNCEMENT_SLACK_MS
            and not observations.in_trouble(announcement.instance, announcement.at, arrival.at)
            and not observations.in_trouble(announcement.upstream, announcement.at, arrival.at)
        ]
        if len(later_requests) > (0 if announcement.leaving else MAX_REQUESTS_IN_FLIGHT):
            yield (
                f"{announcement.upstream} told {announcement.instance} at {announcement.at}"
                f" and then got {later_requests[:5]}"
            )


@check("rate limit")
def check_rate_limits(observations: Observations) -> Iterator[str]:
    """Check that upstreams get no more than the rates that they named to the instances."""
    for period in observations.limit_periods:
        count = count_worst_window(_list_bound_arrivals(observations, period))
        allowed = find_allowed(period.rate)
        if count > allowed:
            yield (
                f"{period.upstream} named {period.rate} a second at {period.begin} and got"
                f" {count} requests in a window, allowed {allowed:g}"
            )


def _list_bound_arrivals(observations: Observations, period: LimitPeriod) -> Iterator[int]:
    """Yield the times of requests from instances that had been told of the limit before."""
    first_at = period.begin
    if any(
        other is not period
        and other.upstream == period.upstream
        and other.begin <= period.begin <= other.end
        for other in observations.limit_periods
    ):
        first_at += LIMIT_CHANGE_MS
    told_at: dict[str, int] = {}
    for naming in observations.namings:
        if (naming.upstream, naming.incarnation) == (period.upstream, period.incarnation) and (
            period.begin <= naming.at <= period.end
        ):
            told_at.setdefault(naming.instance, naming.at)
    for arrival in observations.arrivals:
        told = told_at.get(arrival.instance)
        if (
            told is not None
            and (arrival.upstream, arrival.life) == (period.upstream, period.incarnation)
            and max(first_at, told + GRACE_MS) <= arrival.at <= period.end
            and not observations.was_hit(arrival.instance, told, arrival.at)
            and not observations.was_hit(period.upstream, told, arrival.at)
        ):
            yield arrival.at


@check("configuration")
def check_configuration(observations: Observations) -> Iterator[str]:
    """Check that new configuration versions are applied in time and never reverted by a process."""
    known_versions: set[tuple[str, int, int]] = set()
    for probe in sorted(observations.probes, key=lambda probe: probe.sent_at):
        key = (probe.instance, probe.incarnation, probe.version)
        if probe.status != 404:
            known_versions.add(key)
            continue
        due_at = observations.version_times[probe.version] + MAX_CONFIGURATION_DELAY_MS
        is_late = probe.sent_at > due_at and not observations.in_trouble(
            probe.instance, probe.sent_at - MAX_CONFIGURATION_DELAY_MS, probe.sent_at
        )
        if is_late or key in known_versions:
            yield f"{probe.instance} does not know version {probe.version} at {probe.sent_at}"


@check("retry budget")
def check_budget(observations: Observations) -> Iterator[str]:
    """Check that the requests sent again within any time window stay within the retry budget."""
    seen_requests: set[str] = set()
    resent_at: list[int] = []
    for arrival in sorted(observations.arrivals, key=lambda arrival: arrival.at):
        if arrival.request in seen_requests:
            resent_at.append(arrival.at)
        seen_requests.add(arrival.request)
    sent_times = [
        call.sent_at for call in observations.calls if call.kind in (Kind.LOOKUP, Kind.BOOKING)
    ]
    for window_start in resent_at:
        resent = sum(window_start <= at < window_start + RETRY_BUDGET_WINDOW_MS for at in resent_at)
        requests = sum(
            window_start - RETRY_BUDGET_WINDOW_MS <= at < window_start + RETRY_BUDGET_WINDOW_MS
            for at in sent_times
        )
        if resent > RETRY_BUDGET_RATIO * requests + EXTRA_RETRIES:
            yield f"{resent} sent again for {requests} requests from {window_start} on"
            return


@check("deadly requests reach few servers")
def check_deadly(observations: Observations) -> Iterator[str]:
    """Check that few instances in touch send a request on that is known to end servers.

    They know of an end if neither the instance that saw it nor the connections of the server were
    in trouble.
    """
    by_path: dict[str, list[DeadlyArrival]] = {}
    for arrival in sorted(observations.deadly_arrivals, key=lambda arrival: arrival.at):
        by_path.setdefault(arrival.path, []).append(arrival)
    for path, arrivals in by_path.items():
        seen = [one.at for one in arrivals if not _was_crash_hidden(observations, one)]
        if len(seen) < ALLOWED_CRASHES:
            continue
        third = seen[ALLOWED_CRASHES - 1]
        late = sum(
            one.at > third + CONTACT_MS and not observations.was_hit(one.instance, third, one.at)
            for one in arrivals
        )
        if late > MAX_LATE_ARRIVALS:
            yield f"{path} reached servers {late} times later than known to end them"


def _was_crash_hidden(observations: Observations, arrival: DeadlyArrival) -> bool:
    return any(
        observations.was_hit(name, arrival.at, arrival.at + CONTACT_MS)
        for name in (arrival.instance, arrival.upstream)
    )


@check("memory is given back")
def check_memory(observations: Observations) -> Iterator[str]:
    """Check that no engine memory stays reserved after the run."""
    for ticket in observations.unreleased_tickets:
        yield f"{ticket} is still held"


@check("recovery")
def check_recovery(observations: Observations) -> Iterator[str]:
    """Check that enough calls succeed after the last fault and the recovery time."""
    calls = [call for call in observations.calls if call.sent_at >= observations.fault_free_since]
    unserved = Counter(
        f"{call.kind.value} {call.status}" for call in calls if call.status != 200 or not call.whole
    )
    served = len(calls) - unserved.total()
    if len(calls) < MIN_FAULT_FREE_CALLS or served < MIN_SERVED_SHARE * len(calls):
        yield f"{served} of {len(calls)} calls were served at the end, not: {dict(unserved)}"


def _is_excused(observations: Observations, call: Call) -> bool:
    return observations.in_trouble(call.instance, call.sent_at, call.ended_at)
