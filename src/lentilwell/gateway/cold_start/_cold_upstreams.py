"""Tracks until when upstreams are cold. Pure logic, no I/O; times are in ms of the clock.

Several sources tell that an upstream is cold: its entry, its answers, its first listing, the end of
an evacuation, other instances. The latest end counts, so the order in which they arrive, their
repetition and the loss of some of them make no difference to the rest.

What another instance told is not told on in digests. A remaining time grows by the delay of each
message, so an end that went round between instances would never be reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from lentilwell.gateway._rate_limits import TemporaryLimit
from lentilwell.gateway._upstreams import Incarnation, Upstream
from lentilwell.gateway.cold_start._figures import MAX_COLD_MS
from lentilwell.gateway.cold_start._rules import (
    DEFAULT_COLD_BOUNDS,
    ColdBounds,
    ColdRules,
    find_permit_rate,
)

# Bound on the remembered upstreams and starts; those heard of least recently are dropped first.
MAX_REMEMBERED = 8_192
# Bound on the cold upstreams that are reported to peers in one digest, the newest first.
MAX_REPORTED = 32
# The rate of a listed start of which a later one is known. The owners of the later start issue the
# whole rate of the upstream; those of the earlier one, which are others, issue no permits.
LATER_START_RATE = 0.0
_KeyT = TypeVar("_KeyT")
_ValueT = TypeVar("_ValueT")


@dataclass(frozen=True)
class _Start:
    """The first listing of an incarnation.

    ``age_ms`` is how old the incarnation was, 0 if it was listed while this process was running.
    """

    listed_at: int
    age_ms: int


@dataclass(frozen=True)
class _Word:
    """What was said about the newest incarnation of a name: that it is cold until then.

    ``own_until`` is the end by its entry and its answers to this instance, ``told_until`` the one
    by peers. ``rate`` is the rate that a peer told. All of them are 0 if nobody said so.
    """

    born_ms: int
    own_until: int = 0
    told_until: int = 0
    rate: float = 0.0


class ColdUpstreams:
    """Until when each upstream is cold, as this instance knows it.

    ``find_rules`` returns the rules of a service, None while no configuration is known.
    """

    def __init__(self, bounds: ColdBounds = DEFAULT_COLD_BOUNDS) -> None:
        self.bounds = bounds
        self.find_rules: Callable[[str], ColdRules | None] = lambda service: None
        self._starts: dict[Incarnation, _Start] = {}
        self._words: dict[str, _Word] = {}
        self._marked_at: dict[str, int] = {}
        self._recent: dict[str, Upstream] = {}

    def find(self, upstream: Upstream, now: int) -> TemporaryLimit | None:
        """Return the limit of an upstream that is cold, None if it is warm."""
        rules = self.find_rules(upstream.service)
        if rules is not None and rules.per_s <= 0:
            return None
        word = self._find_word(upstream)
        until = max(word.told_until, self._find_own_end(upstream, rules, word))
        if until <= now:
            return None
        if word.born_ms > upstream.born_ms:
            return TemporaryLimit(LATER_START_RATE, until)
        if rules is None:
            return TemporaryLimit(word.rate, until) if word.rate else None
        return TemporaryLimit(find_permit_rate(rules, self.bounds), until)

    def applies_to(self, service: str) -> bool:
        """Tell whether upstreams of a service can be cold by the configuration that is known."""
        rules = self.find_rules(service)
        return rules is not None and rules.per_s > 0

    def may_apply_to(self, service: str) -> bool:
        """Tell whether upstreams of a service can be cold, also while no configuration is known."""
        rules = self.find_rules(service)
        return rules is None or rules.per_s > 0

    def find_start_ms(self, service: str) -> int:
        """Return how long an upstream of a service is cold after its start, 0 if it never is."""
        rules = self.find_rules(service)
        return rules.start_ms if rules is not None and rules.per_s > 0 else 0

    def record_listed(self, upstream: Upstream, age_ms: int, now: int) -> bool:
        """Record the entry of an upstream; return whether the upstream has become cold by it.

        ``age_ms`` is the time since its start, which counts if this is its first listing: 0 while
        this process is running.
        """
        was_cold = self.find(upstream, now) is not None
        start = self._starts.pop(upstream.incarnation, None)
        self._starts[upstream.incarnation] = start or _Start(now, age_ms)
        _drop_oldest(self._starts)
        if upstream.cold_ms > 0:
            self._add_word(_Word(upstream.born_ms, now + upstream.cold_ms), upstream.name)
        return self._note(upstream, was_cold, now)

    def record_answer(self, upstream: Upstream, until: int, now: int) -> bool:
        """Record that an upstream is cold until then; return whether it has become cold by it."""
        was_cold = self.find(upstream, now) is not None
        self._add_word(_Word(upstream.born_ms, min(until, now + MAX_COLD_MS)), upstream.name)
        return self._note(upstream, was_cold, now)

    def record_told(
        self, incarnation: Incarnation, until: int, rate: float, listed: Upstream | None, now: int
    ) -> bool:
        """Record what a peer told; return whether the ``listed`` upstream has become cold by it.

        ``rate`` counts while no configuration is known. The incarnation may be a later start of the
        listed upstream: requests to its address reach the later one.
        """
        was_cold = listed is not None and self.find(listed, now) is not None
        until = min(until, now + MAX_COLD_MS)
        self._add_word(_Word(incarnation.born_ms, 0, until, rate), incarnation.name)
        return listed is not None and self._note(listed, was_cold, now)

    def mark_cold(self, data_centre: str, now: int) -> None:
        """Record that all upstreams of a data centre may be cold, as after an evacuation."""
        self._marked_at[data_centre] = max(now, self._marked_at.get(data_centre, now))
        _drop_oldest(self._marked_at)

    def list_reportable(self, now: int) -> tuple[tuple[Upstream, TemporaryLimit], ...]:
        """Return the upstreams that are cold by what this instance saw itself, the newest first."""
        found = []
        for upstream in reversed(self._recent.values()):
            limit, rules = self.find(upstream, now), self.find_rules(upstream.service)
            until = self._find_own_end(upstream, rules, self._find_word(upstream))
            if limit is not None and until > now:
                found.append((upstream, TemporaryLimit(limit.rate, until)))
            if len(found) == MAX_REPORTED:
                break
        return tuple(found)

    def pop_warm(self, now: int) -> list[Upstream]:
        """Remove the upstreams that were cold and are no longer, and return them."""
        warm = [one for one in self._recent.values() if self.find(one, now) is None]
        for upstream in warm:
            del self._recent[upstream.name]
        return warm

    def _note(self, upstream: Upstream, was_cold: bool, now: int) -> bool:
        """Remember an upstream that is cold; return whether it was not before."""
        if self.find(upstream, now) is None:
            return False
        if was_cold and upstream.name in self._recent:
            self._recent[upstream.name] = upstream
            return False
        self._recent.pop(upstream.name, None)
        self._recent[upstream.name] = upstream
        _drop_oldest(self._recent)
        return not was_cold

    def _add_word(self, word: _Word, name: str) -> None:
        known = self._words.pop(name, None)
        self._words[name] = word if known is None else _merge(known, word)
        _drop_oldest(self._words)

    def _find_word(self, upstream: Upstream) -> _Word:
        """Return what was said of this incarnation, or of a later one at the same name."""
        word = self._words.get(upstream.name)
        if word is None or word.born_ms < upstream.born_ms:
            return _Word(upstream.born_ms)
        return word

    def _find_own_end(self, upstream: Upstream, rules: ColdRules | None, word: _Word) -> int:
        """Return the end by what this instance saw: words, a start, the end of an evacuation."""
        if rules is None:
            return word.own_until
        ends = [word.own_until]
        if upstream.data_centre in self._marked_at:
            ends.append(self._marked_at[upstream.data_centre] + rules.start_ms)
        start = self._starts.get(upstream.incarnation)
        if start is not None and start.age_ms < rules.start_ms:
            ends.append(start.listed_at + rules.start_ms)
        return max(ends)


def _merge(one: _Word, other: _Word) -> _Word:
    """Return the word about the later incarnation, of one and the same the latest ends."""
    if one.born_ms != other.born_ms:
        return max(one, other, key=lambda word: word.born_ms)
    return _Word(
        one.born_ms,
        max(one.own_until, other.own_until),
        max(one.told_until, other.told_until),
        max(one.rate, other.rate),
    )


def _drop_oldest(remembered: dict[_KeyT, _ValueT]) -> None:
    if len(remembered) > MAX_REMEMBERED:
        del remembered[next(iter(remembered))]
