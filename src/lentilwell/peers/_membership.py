"""Peer discovery: polls the platform's list of instances and selects peers from it."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from lentilwell._clock import Clock
from lentilwell._messages import Identity, Member, MemberKind
from lentilwell._ports import Platform
from lentilwell.reducer import Event, MembersListed

MEMBERS_POLL_INTERVAL_MS = 1_000
MAX_PEERS = 32


def select_peers(
    identity: Identity, members: tuple[Member, ...], limit: int = MAX_PEERS
) -> tuple[Member, ...]:
    """Select up to ``limit`` peers, those in the data centre of ``identity`` first.

    Peers in that data centre and the others are each ordered by rendezvous hash. If there are more
    than ``limit``, the selection is therefore stable, and the connections are spread evenly over
    the instances.
    """

    def sort_key(member: Member) -> tuple[bool, int]:
        remote = member.data_centre != identity.data_centre
        return remote, xxhash.xxh64_intdigest(f"{identity.instance}\0{member.name}".encode())

    candidates = (m for m in members if m.kind is MemberKind.ENTRY and m.name != identity.instance)
    return tuple(sorted(candidates, key=sort_key)[:limit])


class MembersPoller:
    """Polls the platform's list of instances. The last list stays in use while polls fail."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        post: Callable[[Event], object],
        on_members: Callable[[tuple[Member, ...]], None],
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._post = post
        self._on_members = on_members

    def poll(self) -> None:
        """Read the list once and publish it. If it cannot be read, do nothing."""
        result = self._platform.list_members()
        if result.is_err():
            return
        members = result.unwrap()
        self._on_members(members)
        self._post(MembersListed(self._clock.now(), members))
