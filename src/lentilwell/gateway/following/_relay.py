"""Passes changes of the store's tables on to other instances, or receives them from others.

The role follows from what is heard (``_sources``). ``run`` looks at it several times a second,
since a silent source must be noticed within about a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell._log_lines import (
    RelayUnreadable,
    StoreFed,
    StoreNotFed,
    StoreSourceBegun,
    StoreSourceEnded,
    write_line,
)
from lentilwell.gateway._failures import UnreadableRow
from lentilwell.gateway._store_waits import LONG_WAITS, SHORT_WAITS, InstanceRank
from lentilwell.gateway.following._follower import Follower
from lentilwell.gateway.following._messages import (
    MAX_MESSAGE_BYTES,
    MAX_ROWS_BYTES,
    SourceMessage,
    UnreadableMessage,
    decode_message,
    encode_message,
)
from lentilwell.gateway.following._send_budget import SendBudget
from lentilwell.gateway.following._sources import (
    MIN_INSTANCES,
    SOURCES_PER_CENTRE,
    SourceRole,
    Sources,
    SourceState,
    count_before,
    find_part,
)
from lentilwell.gateway.following._tables import TableChange, TableState

STEP_MS = 100
# A source repeats its message at this interval.
REPEAT_MS = 300
# Longer messages with rows are sent once to each instance, by one of the sources. If it is lost,
# the instance calls the store.
MAX_COPIED_BYTES = 1_024

ROLE_SOURCE = "source"
ROLE_FED = "fed"
ROLE_ALONE = "alone"


class Relay:
    """The role of one instance, and its messages to and from the instances of its data centre.

    ``list_members`` returns the other listed instances of the data centre, ``count_instances`` the
    number of instances in contact with this one. ``is_stopping`` tells whether a planned stop has
    begun.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        data_centre: str,
        clock: Clock,
        followers: Sequence[Follower[Any]],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._clock = clock
        self._followers = tuple(followers)
        self._sources = Sources(len(self._followers))
        self._role = SourceRole(instance)
        self._budget = SendBudget()
        self._sequence = 0
        self._sent_at = 0
        self._told: tuple[bool, ...] = ()
        self._fed = False
        self.list_members: Callable[[], Sequence[str]] = lambda: ()
        self.count_instances: Callable[[], int] = lambda: 1
        self.is_stopping: Callable[[], bool] = lambda: False
        self.send: Callable[[str, bytes], bool] = lambda peer, data: False
        for index, follower in enumerate(self._followers):
            follower.on_change = self._make_change_handler(index)

    @property
    def role(self) -> str:
        """Return ``source``, ``fed`` or ``alone``, the last for one that follows for itself."""
        if self._role.active:
            return ROLE_SOURCE
        return ROLE_FED if self._fed else ROLE_ALONE

    def find_rank(self, table: int, others: InstanceRank) -> InstanceRank:
        """Return the rank that decides how long a poll of a table waits.

        It is the one among the instances in contact, ``others``, unless this one is a source. A
        source that hears another one polls only one of the tables with short waits.
        """
        if not self._role.active:
            return others
        sources = self._sources.list_answered(self._clock.now())
        place = count_before(self._instance, sources)
        return LONG_WAITS if sources and (table + place) % SOURCES_PER_CENTRE else SHORT_WAITS

    async def run(self) -> None:
        """Update the role and repeat messages until cancelled."""
        while True:
            self.run_step()
            await asyncio.sleep(STEP_MS / MS_PER_SECOND)

    def run_step(self) -> None:
        """Update the role, and send a message if one is due."""
        now = self._clock.now()
        self._sources.remove_silent(now)
        states = self._list_states()
        self._sources.update_newest([state.changed for state in states], now)
        self._update_role(now, states)
        self._update_fed(now)
        if not self._role.active:
            return
        answered = tuple(state.answered for state in states)
        if not all(answered):
            self._check_tables()
        if now - self._sent_at >= REPEAT_MS or answered != self._told:
            self._send_message()

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle the message of a source: apply its rows, or call the store for what is missing."""
        try:
            message = decode_message(data, len(self._followers))
        except UnreadableMessage as error:
            write_line(RelayUnreadable(address[0], str(error)))
            return
        if message.data_centre != self._data_centre or message.instance == self._instance:
            return
        if message.ending:
            self._sources.remove(message.instance)
            return
        state = SourceState(
            message.incarnation, message.sequence, self._clock.now(), message.tables
        )
        self._sources.record(message.instance, state)
        # Late rows are of use too, since their versions tell whether they are missing.
        if not self._role.active:
            self._apply_changes(message, address)
        for follower, table in zip(self._followers, message.tables, strict=True):
            follower.handle_source(table)

    def close(self) -> None:
        """End the role, so that the others need not wait for this instance to be silent."""
        if self._role.active:
            self._role.active = False
            self._send_message(ending=True)
        self.send = lambda peer, data: False

    def _check_tables(self) -> None:
        """Check the store for all tables: one of them may wait for long, on a dead connection."""
        for follower in self._followers:
            follower.check("the store does not answer for another table")

    def _make_change_handler(self, index: int) -> Callable[[TableChange], None]:
        return lambda change: self._pass_on(index, change)

    def _list_states(self) -> list[TableState]:
        return [follower.state for follower in self._followers]

    def _update_role(self, now: int, states: Sequence[TableState]) -> None:
        answered = all(state.answered for state in states)
        able = self.count_instances() >= MIN_INSTANCES and not self.is_stopping()
        # A source whose calls fail stays one, so that its dependents hear of it.
        able = able and (answered or self._role.active)
        members = self.list_members()
        if not self._role.update(able, self._sources.list_answered(now), members, now):
            return
        if self._role.active:
            write_line(StoreSourceBegun(len(members)))
        else:
            reason = "others are before this instance" if able else "it must not be one now"
            write_line(StoreSourceEnded(reason))
            self._send_message(ending=True)

    def _update_fed(self, now: int) -> None:
        feeding = self._sources.find_feeding(now)
        enough = self.count_instances() >= MIN_INSTANCES
        fed = bool(feeding) and enough and not self._role.active
        if fed is self._fed:
            return
        self._fed = fed
        if fed:
            write_line(StoreFed(" ".join(sorted(feeding))))
        else:
            write_line(StoreNotFed(self._describe_absence(now, enough)))
        for follower in self._followers:
            follower.set_fed(fed)

    def _describe_absence(self, now: int, enough: bool) -> str:
        if self._role.active:
            return "this instance is a source"
        return self._sources.describe_absence(now) if enough else "too few instances in contact"

    def _apply_changes(self, message: SourceMessage, address: tuple[str, int]) -> None:
        for index, change in message.changes:
            try:
                self._followers[index].handle_change(change)
            except UnreadableRow as error:
                write_line(RelayUnreadable(address[0], str(error)))

    def _pass_on(self, index: int, change: TableChange) -> None:
        """Send rows that were just read, or only the new version if they are too many bytes."""
        if not self._role.active:
            return
        fits = 0 < len(change.raw) <= MAX_ROWS_BYTES and change.after < change.version
        self._send_message(changes=((index, change),) if fits else ())

    def _send_message(
        self, changes: tuple[tuple[int, TableChange], ...] = (), ending: bool = False
    ) -> None:
        now, members = self._clock.now(), self.list_members()
        self._sent_at = now
        self._sequence += 1
        states = tuple(self._list_states())
        self._told = tuple(state.answered for state in states)
        without = self._encode(states, (), ending)
        data = self._encode(states, changes, ending) if changes else without
        served = self._select_receivers(data, members, now) if changes else frozenset(members)
        for member in members:
            self.send(member, data if member in served else without)

    def _select_receivers(self, data: bytes, members: Sequence[str], now: int) -> frozenset[str]:
        """Return the instances that get a message with rows; the others get only the versions.

        Long rows go from each source to a part of the instances, so that its link is not taken up.
        """
        sources = self._sources.list_answered(now)
        served = frozenset(members)
        if len(data) > MAX_COPIED_BYTES and sources:
            place = count_before(self._instance, sources) % SOURCES_PER_CENTRE
            served = frozenset(one for one in members if find_part(one) == place)
        fits = len(data) <= MAX_MESSAGE_BYTES and self._budget.take(len(data) * len(served), now)
        return served if fits else frozenset()

    def _encode(
        self,
        states: tuple[TableState, ...],
        changes: tuple[tuple[int, TableChange], ...],
        ending: bool,
    ) -> bytes:
        return encode_message(
            SourceMessage(
                self._instance,
                self._incarnation,
                self._data_centre,
                self._sequence,
                states,
                changes,
                ending,
            )
        )
