"""Encodes what an instance has in hand for its peers, as one datagram of thrift."""

from __future__ import annotations

from dataclasses import dataclass

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lentilwell._wire.ttypes import RefusalTally as WireTally
from lentilwell._wire.ttypes import UpstreamLife as WireLife
from lentilwell._wire.ttypes import WorkDigest as WireDigest
from lentilwell._wire.ttypes import WorkItem as WireItem
from lentilwell.gateway._load_tracker import Job
from lentilwell.gateway._refusals import Tally, ToldTally
from lentilwell.gateway._store_news import NO_NEWS, StoreNews
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._upstreams import Life

LONGEST_DIGEST_BYTES = 16_384
# No instance sees so many answers of one upstream within a few half-lives.
MOST_COUNTED = 1e6
# A datagram of hostile bytes may not ask for more memory than a whole digest takes.
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=LONGEST_DIGEST_BYTES, container_length_limit=LONGEST_DIGEST_BYTES
)


class UnreadableDigest(ValueError):
    """A datagram holds no digest."""


@dataclass(frozen=True)
class Reports:
    """What an instance has learned of upstreams from their answers: who leaves, who refuses."""

    leaving: tuple[Life, ...] = ()
    refusals: tuple[ToldTally, ...] = ()


NO_REPORTS = Reports()


@dataclass(frozen=True)
class WorkDigest:
    """The jobs of one life of an instance; ``address`` is where it listens for digests.

    ``stopping`` tells that it takes no new callers, ``news`` what it knows of the store,
    ``reports`` what upstreams told it of themselves.
    """

    instance: str
    life: str
    address: str
    sequence: int
    jobs: tuple[Job, ...]
    stopping: bool = False
    news: StoreNews = NO_NEWS
    reports: Reports = NO_REPORTS


def encode_digest(digest: WorkDigest, now: int) -> bytes:
    """Return a digest's bytes; times are told as ages, since clocks differ."""
    items = [_encode_job(job, now) for job in digest.jobs]
    wire = WireDigest(
        digest.instance,
        digest.life,
        digest.address,
        digest.sequence,
        items,
        digest.stopping,
        digest.news.configuration.version,
        digest.news.listing.version,
        digest.news.away,
        [WireLife(life.name, life.born_ms) for life in digest.reports.leaving],
        [_encode_tally(told) for told in digest.reports.refusals],
        digest.news.configuration.era,
        digest.news.listing.era,
    )
    data: bytes = serialize(wire, _FACTORY)
    return data


def decode_digest(data: bytes, now: int) -> WorkDigest:
    """Return the digest in a datagram, its times by the own clock."""
    wire = WireDigest()
    try:
        deserialize(wire, data, _FACTORY)
        wire.validate()
        jobs = tuple(
            _decode_job(item, f"{wire.instance}/{place}", now)
            for place, item in enumerate(wire.items)
        )
        leaving = tuple(_decode_life(life) for life in wire.leaving or ())
        refusals = tuple(_decode_tally(tally, now) for tally in wire.refusals or ())
    except Exception as error:  # the library raises errors of many types on hostile bytes
        raise UnreadableDigest(repr(error)) from error
    news = StoreNews(
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
        news,
        Reports(leaving, refusals),
    )


def _decode_life(life: WireLife) -> Life:
    life.validate()
    return Life(life.upstream, life.born_ms)


def _encode_tally(told: ToldTally) -> WireTally:
    return WireTally(told.upstream, told.tally.refused, told.tally.answered)


def _decode_tally(tally: WireTally, now: int) -> ToldTally:
    tally.validate()
    if not (0 <= tally.refused < MOST_COUNTED and 0 <= tally.answered < MOST_COUNTED):
        raise ValueError(f"impossible counts for {tally.upstream}")
    return ToldTally(tally.upstream, Tally(tally.refused, tally.answered, now))


def _encode_job(job: Job, now: int) -> WireItem:
    return WireItem(
        upstream=job.upstream,
        age_ms=now - job.begun_at,
        read_ms=round(job.read_ms),
        memory_tokens=job.memory_tokens,
        reading=job.reading,
        writes=job.writes,
        due_in_ms=job.due_at - now,
        pause_ms=job.pause_ms,
        weight=job.weight,
        spread=job.spread,
    )


def _decode_job(item: WireItem, name: str, now: int) -> Job:
    item.validate()
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
