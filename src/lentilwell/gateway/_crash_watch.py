"""Observes crashes of upstreams, exchanges them with other instances and checks requests.

Every new fact goes to all known instances at once. Then it is repeated to a few of them, drawn anew
each time, so that lost datagrams, cuts and restarted instances are made up for while the traffic
does not grow with the number of instances.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from lentilwell._clock import Clock
from lentilwell._log_lines import (
    CrashNoticeUnreadable,
    PartsCleared,
    PartsCondemned,
    RequestsCleared,
    RequestsCondemned,
    UpstreamNotCrashed,
    write_line,
)
from lentilwell.gateway._condemned_subjects import Refusal
from lentilwell.gateway._crash_evidence import ALIVE_MARGIN_MS, SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_messages import (
    UnreadableCrashNotice,
    decode_crash_notice,
    encode_crash_notice,
)
from lentilwell.gateway._crash_notice import CrashNotice
from lentilwell.gateway._crash_records import CutRequest
from lentilwell.gateway._fingerprints import is_fingerprint
from lentilwell.gateway._life_signs import PROVED_BY_CONNECTION, PROVED_BY_LISTING, LifeSigns
from lentilwell.gateway._messages import RequestFacts
from lentilwell.gateway._upstreams import Incarnation, Upstream

# An answer with this many events is beyond its beginning.
SOUND_EVENTS = 2
# Facts within this time are sent in one datagram.
COALESCE_MS = 4
REPEAT_MS = 500
# Facts are repeated this often once no crash was seen for ``FRESH_MS``.
STALE_REPEAT_MS = 5_000
FRESH_MS = 10_000
REPEAT_PEERS = 8
# Longer ids are replaced by a hash, which bounds messages and memory.
MAX_ID_LENGTH = 16
OWN_EVIDENCE = "own"


class Work(Protocol):
    """A request, as far as it may be to blame for crashes."""

    @property
    def facts(self) -> RequestFacts:
        """Return the contents of the caller's headers."""

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint, whose computation takes as long as the body is."""


class CrashWatch:
    """Records what one instance sees of crashes, and exchanges it with the others."""

    def __init__(self, clock: Clock, evidence: CrashEvidence) -> None:
        self._clock = clock
        self._evidence = evidence
        self._pending_send: asyncio.TimerHandle | None = None
        self._pending_judgement: asyncio.TimerHandle | None = None
        self._life_signs = LifeSigns()
        self._sent_at = 0
        self.is_listed: Callable[[Incarnation], bool] = lambda incarnation: False
        self.find_rank: Callable[[], int] = lambda: 0
        self.list_peers: Callable[[], Sequence[str]] = lambda: ()
        self.send: Callable[[str, bytes], bool] = lambda peer, data: False

    @property
    def known_ends(self) -> frozenset[int]:
        """Return the marks of the crashes that are known now."""
        return self._evidence.known_ends

    def find_refusal(self, work: Work) -> Refusal | None:
        """Return why a request must not be sent now, None if it may be."""
        if not self._evidence.condemned:
            return None
        subjects = _shorten(work.facts.shared_parts)
        if self._evidence.may_refuse_requests():
            subjects = (*subjects, work.fingerprint)
        now, rank = self._clock.now(), self.find_rank()
        return self._evidence.find_refusal(_hash(work.facts.request_id), subjects, rank, now)

    def record_cut(
        self, upstream: Upstream, work: Work, events: int, known_ends: frozenset[int]
    ) -> None:
        """Record that an upstream ended a connection after ``events`` of the answer.

        ``known_ends`` are the marks of the crashes that were known when the request was sent. An
        upstream that has announced its end did not crash.
        """
        if upstream.leaving:
            return
        cut = None
        if events < SOUND_EVENTS:
            parts = _shorten(work.facts.shared_parts)
            cut = CutRequest(_hash(work.facts.request_id), parts, work.fingerprint, known_ends)
        before = self._name_condemned()
        if self._evidence.record_crash(upstream.incarnation, self._clock.now(), cut):
            self._log_changes(before, OWN_EVIDENCE)
            self._schedule_send()
            self._schedule_judgement()

    def record_events(self, work: Work, events: int) -> None:
        """Record that an answer has ``events`` events so far."""
        if events == SOUND_EVENTS:
            self.record_sound(work)

    def record_sound(self, work: Work) -> None:
        """Record an answer beyond its beginning: the request and its parts are sound."""
        subjects = _shorten(work.facts.shared_parts)
        if self._evidence.needs_answers():
            subjects = (*subjects, work.fingerprint)
        before = self._name_condemned()
        if self._evidence.record_sound(subjects, self._clock.now()):
            self._log_changes(before, OWN_EVIDENCE)
            self._schedule_send()

    def record_alive(self, upstream: Upstream, connected_at: int) -> None:
        """Record that an upstream answered a request that named it, on a connection of that time.

        This refutes an earlier crash of the incarnation, if it is proved to be the same.
        """
        now, crashed_at = self._clock.now(), self._evidence.find_crash(upstream.incarnation)
        if crashed_at is None:
            return
        if connected_at < crashed_at:
            self._refute_crash(upstream.incarnation, now, PROVED_BY_CONNECTION)
        elif now >= crashed_at + ALIVE_MARGIN_MS:
            self._life_signs.add(upstream.incarnation, now)

    def _refute_crash(self, upstream: Incarnation, at: int, proof: str) -> None:
        before = self._name_condemned()
        if self._evidence.record_alive(upstream, at):
            write_line(UpstreamNotCrashed(upstream.name, upstream.born_ms, proof))
            self._log_changes(before, OWN_EVIDENCE)
            self._schedule_send()

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Merge the notice of another instance."""
        now, before = self._clock.now(), self._name_condemned()
        try:
            notice = decode_crash_notice(data, now)
        except UnreadableCrashNotice as error:
            write_line(CrashNoticeUnreadable(address[0], str(error)))
            return
        if self._evidence.merge(notice, now):
            self._log_changes(before, address[0])
            self._schedule_judgement()

    def greet(self, peer: str) -> None:
        """Tell an instance that was just heard of for the first time what is known."""
        notice = self._evidence.collect(self._clock.now())
        if notice != CrashNotice():
            self.send(peer, encode_crash_notice(notice, self._clock.now()))

    def run_maintenance(self) -> None:
        """Confirm signs of life, forget old evidence and repeat the rest to a few instances."""
        now = self._clock.now()
        for upstream, at in self._life_signs.take_confirmed(now, self.is_listed):
            self._refute_crash(upstream, at, PROVED_BY_LISTING)
        self._evidence.forget(now)
        latest = self._evidence.latest_crash_at
        fresh = latest is not None and now - latest < FRESH_MS
        if now - self._sent_at >= (REPEAT_MS if fresh else STALE_REPEAT_MS):
            peers = list(self.list_peers())
            self._send(random.sample(peers, min(REPEAT_PEERS, len(peers))))

    def close(self) -> None:
        """Send nothing any more."""
        for timer in (self._pending_send, self._pending_judgement):
            if timer is not None:
                timer.cancel()
        self.send = lambda peer, data: False

    def _schedule_send(self) -> None:
        if self._pending_send is None:
            loop = asyncio.get_running_loop()
            self._pending_send = loop.call_later(COALESCE_MS / 1_000, self._send_to_all)

    def _schedule_judgement(self) -> None:
        if self._pending_judgement is None:
            loop = asyncio.get_running_loop()
            self._pending_judgement = loop.call_later(SETTLE_MS / 1_000, self._judge)

    def _judge(self) -> None:
        self._pending_judgement = None
        before = self._name_condemned()
        now, latest = self._clock.now(), self._evidence.latest_crash_at
        self._evidence.judge(now)
        self._log_changes(before, OWN_EVIDENCE)
        if latest is not None and now - latest < SETTLE_MS:
            self._schedule_judgement()
        if self._name_condemned() != before:
            self._schedule_send()

    def _send_to_all(self) -> None:
        self._pending_send = None
        self._send(self.list_peers())

    def _send(self, peers: Sequence[str]) -> None:
        now = self._clock.now()
        notice = self._evidence.collect(now)
        self._sent_at = now
        if notice == CrashNotice():
            return
        data = encode_crash_notice(notice, now)
        for peer in peers:
            self.send(peer, data)

    def _name_condemned(self) -> set[str]:
        return {" ".join(sorted(one.parts)) for one in self._evidence.condemned}

    def _log_changes(self, before: set[str], source: str) -> None:
        after = self._name_condemned()
        for subjects in sorted(after - before):
            condemned = RequestsCondemned if is_fingerprint(subjects) else PartsCondemned
            write_line(condemned(subjects, source))
        for subjects in sorted(before - after):
            cleared = RequestsCleared if is_fingerprint(subjects) else PartsCleared
            write_line(cleared(subjects, source))


def _shorten(parts: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(part if len(part) <= MAX_ID_LENGTH else _hash(part) for part in parts)


def _hash(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=MAX_ID_LENGTH // 2).hexdigest()
