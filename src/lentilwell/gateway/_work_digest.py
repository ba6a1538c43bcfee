"""Encodes the jobs in progress of an instance as one Thrift datagram, and decodes it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lentilwell._wire.ttypes import RefusalTally as WireTally
from lentilwell._wire.ttypes import UpstreamLife as WireIncarnation
from lentilwell._wire.ttypes import UpstreamLimit as WireLimit
from lentilwell._wire.ttypes import WorkDigest as WireDigest
from lentilwell._wire.ttypes import WorkItem as WireItem
from lentilwell.gateway._addresses import is_ip_and_port
from lentilwell.gateway._load_tracker import Job
from lentilwell.gateway._rate_limits import MAX_AGE_MS, MAX_RATE, MAX_TEMPORARY_MS, LimitReport
from lentilwell.gateway._refusals import ReportedTally, Tally
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_report import NO_STORE_REPORT, StoreReport
from lentilwell.gateway._upstreams import Incarnation

MAX_DIGEST_BYTES = 16_384
# Bound on decayed counts in a digest: no instance gets as many answers from one upstream within a
# few half-lives.
MAX_COUNT = 1e6
# Bound on the characters of the reason why a datagram is unreadable, which is logged.
MAX_REASON_LENGTH = 200
MAX_I32 = 2**31 - 1
# Ages from here up to below ``MAX_AGE_MS`` mark a temporary limit: what is missing from
# ``MAX_AGE_MS`` is its remaining time. Reports of named limits never have such an age.
FIRST_TEMPORARY_AGE_MS = MAX_AGE_MS - MAX_TEMPORARY_MS
# These limits keep a malformed datagram from allocating more memory than the largest digest.
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_DIGEST_BYTES, container_length_limit=MAX_DIGEST_BYTES
)


class UnreadableDigest(ValueError):
    """A datagram does not contain a valid digest."""


@dataclass(frozen=True)
class UpstreamReports:
    """What an instance observed in the answers of upstreams.

    It is which ones drain, which refuse requests and which name a rate limit.
    """

    leaving: tuple[Incarnation, ...] = ()
    refusals: tuple[ReportedTally, ...] = ()
    limits: tuple[LimitReport, ...] = ()


NO_UPSTREAM_REPORTS = UpstreamReports()


@dataclass(frozen=True)
class WorkDigest:
    """The jobs of one incarnation of an instance; ``address`` is where it receives digests.

    ``stopping`` is set if it accepts no new callers. ``store_report`` is its view of the store,
    ``reports`` are its observations of upstreams.
    """

    instance: str
    incarnation: str
    address: str
    sequence: int
    jobs: tuple[Job, ...]
    stopping: bool = False
    store_report: StoreReport = NO_STORE_REPORT
    reports: UpstreamReports = NO_UPSTREAM_REPORTS


def encode_digest(digest: WorkDigest, now: int) -> bytes:
    """Return a digest's bytes; times are encoded as ages, since the instances' clocks differ."""
    items = [_encode_job(job, now) for job in digest.jobs]
    wire = WireDigest(
        digest.instance,
        digest.incarnation,
        digest.address,
        digest.sequence,
        items,
        digest.stopping,
        digest.store_report.configuration.version,
        digest.store_report.listing.version,
        digest.store_report.unavailable,
        [WireIncarnation(one.name, one.born_ms) for one in digest.reports.leaving],
        [_encode_tally(reported) for reported in digest.reports.refusals],
        digest.store_report.configuration.era,
        digest.store_report.listing.era,
        [encode_limit(report, now) for report in digest.reports.limits],
    )
    data: bytes = serialize(wire, _FACTORY)
    return data


def decode_digest(data: bytes, now: int) -> WorkDigest:
    """Return the digest in a datagram, with its times converted to this instance's clock."""
    wire = WireDigest()
    try:
        deserialize(wire, data, _FACTORY)
        wire.validate()
        _check_address(wire.address)
        jobs = tuple(
            _decode_job(item, f"{wire.instance}/{index}", now)
            for index, item in enumerate(wire.items)
        )
        leaving = tuple(_decode_incarnation(one) for one in wire.leaving or ())
        refusals = tuple(_decode_tally(tally, now) for tally in wire.refusals or ())
        limits = tuple(decode_limit(limit, now) for limit in wire.limits or ())
    except Exception as error:  # the library raises many types of errors for malformed bytes
        raise UnreadableDigest(repr(error)[:MAX_REASON_LENGTH]) from error
    store_report = StoreReport(
        StorePoint(wire.configuration_era or 0, wire.configuration or 0),
        StorePoint(wire.listing_era or 0, wire.listing or 0),
        bool(wire.store_away),
    )
    return WorkDigest(
        wire.instance,
        wire.life,
        wire.address,
        wire.sequence,
        jobs,
        bool(wire.stopping),
        store_report,
        UpstreamReports(leaving, refusals, limits),
    )


def encode_limit(report: LimitReport, now: int) -> WireLimit:
    """Return the wire form of a limit report, with its time as an age in ms."""
    incarnation = report.incarnation
    if report.until is not None:
        age_ms = MAX_AGE_MS - min(max(1, report.until - now), MAX_TEMPORARY_MS)
    else:
        max_age_ms = MAX_AGE_MS if report.rate is None else FIRST_TEMPORARY_AGE_MS - 1
        age_ms = min(max(0, now - report.heard_at), max_age_ms)
    return WireLimit(incarnation.name, incarnation.born_ms, age_ms, report.rate)


def decode_limit(wire: WireLimit, now: int) -> LimitReport:
    """Return a limit report with its time by this instance's clock.

    Raise ``ValueError`` or an error of the library for a malformed one.
    """
    wire.validate()
    if not 0 <= wire.age_ms <= MAX_AGE_MS:
        raise ValueError(f"age of a limit out of range for {wire.upstream}")
    if wire.rate is not None and not 0 <= wire.rate <= MAX_RATE:
        raise ValueError(f"limit out of range for {wire.upstream}")
    is_temporary = wire.rate is not None and FIRST_TEMPORARY_AGE_MS <= wire.age_ms < MAX_AGE_MS
    until = now + MAX_AGE_MS - wire.age_ms if is_temporary else None
    incarnation = Incarnation(wire.upstream, wire.born_ms)
    return LimitReport(incarnation, wire.rate, now - wire.age_ms, until)


def _check_address(address: str) -> None:
    if not is_ip_and_port(address):
        raise ValueError("the address is not of the form IP:PORT")


def _decode_incarnation(wire: WireIncarnation) -> Incarnation:
    wire.validate()
    return Incarnation(wire.upstream, wire.born_ms)


def _encode_tally(reported: ReportedTally) -> WireTally:
    return WireTally(reported.upstream, reported.tally.refused, reported.tally.answered)


def _decode_tally(tally: WireTally, now: int) -> ReportedTally:
    tally.validate()
    if not (0 <= tally.refused < MAX_COUNT and 0 <= tally.answered < MAX_COUNT):
        raise ValueError(f"refusal counts out of range for {tally.upstream}")
    return ReportedTally(tally.upstream, Tally(tally.refused, tally.answered, now))


def _encode_job(job: Job, now: int) -> WireItem:
    return WireItem(
        upstream=job.upstream,
        age_ms=_limit_to_i32(now - job.begun_at),
        read_ms=_limit_to_i32(job.read_ms),
        memory_tokens=_limit_to_i32(job.memory_tokens),
        reading=job.reading,
        writes=job.writes,
        due_in_ms=_limit_to_i32(job.due_at - now),
        pause_ms=_limit_to_i32(job.pause_ms),
        weight=job.weight,
        spread=job.spread,
    )


def _limit_to_i32(value: float) -> int:
    """Return the nearest integer that a 32-bit field can hold; callers state numbers of any size.

    NaN becomes the least one.
    """
    return round(min(MAX_I32, max(-MAX_I32, value)))


def _decode_job(item: WireItem, name: str, now: int) -> Job:
    item.validate()
    if not 0 <= item.weight < math.inf:
        raise ValueError(f"weight of a job out of range for {item.upstream}")
    return Job(
        name=name,
        upstream=item.upstream,
        begun_at=now - item.age_ms,
        read_ms=float(item.read_ms),
        memory_tokens=item.memory_tokens,
        reading=item.reading,
        writes=item.writes,
        due_at=now + item.due_in_ms,
        pause_ms=item.pause_ms,
        weight=item.weight,
        spread=item.spread,
    )
