"""Lookup of teams by the digest of the API key in a request."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._inventory import Inventory, Team


@dataclass(frozen=True)
class _KeyIndex:
    """Team names by the digests of their keys, and the teams that the index was built from."""

    teams: PMap[str, Team]
    names_by_digest: dict[str, str]


class TeamKeys:
    """Finds teams by API key. It is thread-safe and rebuilds its index when the teams change."""

    def __init__(self) -> None:
        self._index = _KeyIndex(pmap(), {})

    def find_team(self, inventory: Inventory, authorization: str) -> Team | None:
        """Return the team whose key is in an ``Authorization`` header, or None."""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        index = self._index
        if index.teams is not inventory.teams:
            index = build_index(inventory.teams)
            self._index = index
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        name = index.names_by_digest.get(digest)
        return None if name is None else inventory.teams[name]


def build_index(teams: PMap[str, Team]) -> _KeyIndex:
    """Return an index of team names by the digests of their keys."""
    names_by_digest = {digest: team.name for team in teams.values() for digest in team.key_digests}
    return _KeyIndex(teams, names_by_digest)
