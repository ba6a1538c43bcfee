"""Which team a caller's key belongs to, found by its digest."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._inventory import Inventory, Team


@dataclass(frozen=True)
class _Index:
    """The names of teams by digest, and the teams they were taken from."""

    teams: PMap[str, Team]
    names: dict[str, str]


class TeamKeys:
    """Finds teams by key; threads may share it. The index is rebuilt when the teams change."""

    def __init__(self) -> None:
        self._index = _Index(pmap(), {})

    def find_team(self, inventory: Inventory, authorization: str) -> Team | None:
        """Return the team whose key an ``Authorization`` header carries, or None."""
        kind, _, key = authorization.partition(" ")
        if kind.lower() != "bearer" or not key:
            return None
        index = self._index
        if index.teams is not inventory.teams:
            index = build_index(inventory.teams)
            self._index = index
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        name = index.names.get(digest)
        return None if name is None else inventory.teams[name]


def build_index(teams: PMap[str, Team]) -> _Index:
    """Return the names of the teams by the digests of their keys."""
    names = {digest: team.name for team in teams.values() for digest in team.key_digests}
    return _Index(teams, names)
