"""Who else is there: polling the platform's list, and which of the listed are peers."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from lentilwell._clock import Clock
from lentilwell._messages import Identity, Member, MemberKind
from lentilwell._ports import Platform
from lentilwell.reducer import Event, MembersListed

MEMBERS_INTERVAL_MS = 1_000
MAXIMUM_PEERS = 32


def select_peers(
    identity: Identity, members: tuple[Member, ...], limit: int = MAXIMUM_PEERS
) -> tuple[Member, ...]:
    """Return the listed peers to talk to: own data centre first, then others, up to ``limit``.

    Beyond the limit the choice is by rendezvous hash, so that it is stable and spread evenly.
    """

    def rank(member: Member) -> tuple[bool, int]:
        far = member.data_centre != identity.data_centre
        return far, xxhash.xxh64_intdigest(f"{identity.instance}\0{member.name}".encode())

    others = (m for m in members if m.kind is MemberKind.ENTRY and m.name != identity.instance)
    return tuple(sorted(others, key=rank)[:limit])


class MembersPoller:
    """Reads the platform's list and keeps the last known one while the platform is down."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        post: Callable[[Event], object],
        listed: Callable[[tuple[Member, ...]], None],
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._post = post
        self._listed = listed

    def poll(self) -> None:
        """Read the list once; an outage changes nothing."""
        found = self._platform.list_members()
        if found.is_err():
            return
        members = found.unwrap()
        self._listed(members)
        self._post(MembersListed(self._clock.now(), members))
