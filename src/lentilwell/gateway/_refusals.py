"""How much of what an upstream gets it turns away, learned from every answer. Pure.

Load that this answers: upstreams that shed part of their requests while their health is good. They
have the fewest jobs of all, so that a choice by load alone sends them the most.

The share is an estimate from answers that count less and less with their age, so that an upstream
which turned everything away is tried again some seconds later. Peers' counts are added.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

HALF_LIFE_MS = 4_000
# Answers that an upstream of which nothing is known is taken to have given.
ASSUMED_ANSWERS = 1.0
# Below it a count says nothing that a choice would heed.
LEAST_REFUSED = 0.1
MOST_TOLD = 32


@dataclass(frozen=True)
class Tally:
    """Refusals and answers of an upstream, each weighed by its age at ``at``."""

    refused: float = 0.0
    answered: float = 0.0
    at: int = 0

    def age(self, now: int) -> Tally:
        """Return the same counts as they weigh at a later moment."""
        kept: float = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
        return Tally(self.refused * kept, self.answered * kept, now)


@dataclass(frozen=True)
class ToldTally:
    """The tally of an upstream, by its name, as one instance tells it to others."""

    upstream: str
    tally: Tally


class Refusals:
    """The tallies of all upstreams: the own ones, and those of each peer as it last told them."""

    def __init__(self) -> None:
        self._own: dict[str, Tally] = {}
        self._told: dict[str, dict[str, Tally]] = {}

    def note(self, upstream: str, refused: bool, now: int) -> None:
        """Count an answer, or a refusal."""
        tally = self._own.get(upstream, Tally(at=now)).age(now)
        self._own[upstream] = Tally(
            tally.refused + int(refused), tally.answered + int(not refused), now
        )

    def take_peer(self, peer: str, tallies: Iterable[ToldTally]) -> None:
        """Replace what a peer has counted; nothing forgets it."""
        told = {one.upstream: one.tally for one in tallies}
        if told:
            self._told[peer] = told
        else:
            self._told.pop(peer, None)

    def find_share(self, upstream: str, now: int) -> float:
        """Return the chance that a request is turned away, from 0 up to 1."""
        tallies = [told[upstream] for told in self._told.values() if upstream in told]
        if upstream in self._own:
            tallies.append(self._own[upstream])
        aged = [tally.age(now) for tally in tallies]
        refused = sum(tally.refused for tally in aged)
        if refused < LEAST_REFUSED:
            return 0.0
        return refused / (refused + sum(tally.answered for tally in aged) + ASSUMED_ANSWERS)

    def list_own(self, now: int) -> tuple[ToldTally, ...]:
        """Return the own counts that matter to peers, those with the most refusals first."""
        # Age only takes away: most upstreams need no look at all, and digests are sent often.
        aged = [
            ToldTally(name, tally.age(now))
            for name, tally in self._own.items()
            if tally.refused >= LEAST_REFUSED
        ]
        worth_telling = [one for one in aged if one.tally.refused >= LEAST_REFUSED]
        worth_telling.sort(key=_count_refused, reverse=True)
        return tuple(worth_telling[:MOST_TOLD])

    def keep_only(self, listed: Container[str]) -> None:
        """Forget all upstreams but those listed."""
        self._own = {name: tally for name, tally in self._own.items() if name in listed}


def _count_refused(told: ToldTally) -> float:
    return told.tally.refused
