"""Tests of configuration versions with racing edits, lost answers, partitions and restarts."""

from contextlib import suppress

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from pyrsistent import pmap
from result import Err, Ok

from lentilwell import ManualClock
from lentilwell._errors import (
    AnswerLost,
    ConflictError,
    NotFound,
    OutcomeUnknownError,
    RefusedError,
    Unavailable,
    VersionConflict,
)
from lentilwell._ports import Platform, Row
from lentilwell.configuration import (
    ConfigurationEditor,
    ConfigurationFollower,
    PeerSource,
    _versions,
)
from lentilwell.configuration._documents import Section
from lentilwell.configuration._versions import (
    HEAD_KEY,
    ChainError,
    Delta,
    Head,
    decode_head,
    load_configuration,
)
from tests.searching import bounded_search_settings

NAMES = ("a", "b", "c")
ROUNDS = 2 * len(NAMES) + 2
WRITE_FAULTS = st.sampled_from(["none", "refused", "lost before", "lost after", "lost in flight"])
READ_FAULTS = st.sampled_from(["none", "down"])


class Store(Platform):
    """An in-memory platform; ``write_faults`` and ``read_faults`` apply to its next calls."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.heads = []
        self.in_flight = []
        self.write_faults = []
        self.read_faults = []
        self.down = False
        self.before_write = None

    def _next_fault(self, faults):
        return faults.pop(0) if faults else "none"

    def read_row(self, key):
        if self.down or self._next_fault(self.read_faults) == "down":
            return Err(Unavailable())
        return Ok(self.rows.get(key))

    def _apply(self, key, value, expected):
        version = self.rows[key].version if key in self.rows else 0
        if version != expected:
            return Err(VersionConflict(version))
        self.rows[key] = Row(key, value, version + 1)
        self.heads.append(decode_head(value))
        return Ok(self.rows[key])

    def write_row(self, key, value, expected_version):
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook()
        fault = self._next_fault(self.write_faults)
        if self.down or fault == "refused":
            return Err(Unavailable())
        if fault == "lost in flight":
            self.in_flight.append((key, value, expected_version))
        if fault == "lost after":
            self._apply(key, value, expected_version)
        if fault.startswith("lost"):
            return Err(AnswerLost())
        return self._apply(key, value, expected_version)

    def deliver_late_writes(self):
        while self.in_flight:
            self._apply(*self.in_flight.pop(0))

    def get_object(self, key):
        if self.down or self._next_fault(self.read_faults) == "down":
            return Err(Unavailable())
        return Ok(self.objects[key]) if key in self.objects else Err(NotFound())

    def put_object(self, key, value):
        if self.down:
            return Err(Unavailable())
        self.objects[key] = value
        return Ok(None)

    def delete_row(self, key, expected_version):
        raise NotImplementedError

    def scan_rows(self, prefix, after="", limit=100):
        raise NotImplementedError

    def list_members(self):
        raise NotImplementedError


class PlatformConnection(Store):
    """The connection of an instance to the platform, which ``cut_off`` interrupts."""

    def __init__(self, world, name):
        self._world, self._name = world, name

    def read_row(self, key):
        if self._name in self._world.cut_off:
            return Err(Unavailable())
        return self._world.store.read_row(key)

    def get_object(self, key):
        if self._name in self._world.cut_off:
            return Err(Unavailable())
        return self._world.store.get_object(key)


class World:
    """A platform and instances that can be partitioned, paused and restarted."""

    def __init__(self):
        self.store = Store()
        self.clock = ManualClock()
        self.cut_off = set()
        self.partitions = set()
        self.paused = set()
        self.reported = {name: {} for name in NAMES}
        self.applied = {}
        self.followers = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.applied[name] = []
        self.reported[name] = {}
        source = PeerSource(
            read_head=lambda peer: (
                self.followers[peer].read_head() if self.can_connect(name, peer) else None
            ),
            read_record=lambda peer, digest: (
                self.followers[peer].read_record(digest) if self.can_connect(name, peer) else None
            ),
        )
        self.followers[name] = ConfigurationFollower(
            PlatformConnection(self, name),
            source,
            self.clock,
            lambda event: self.applied[name].append(event.inventory),
        )

    def can_connect(self, one, other):
        return frozenset((one, other)) not in self.partitions and other not in self.paused

    def digest(self, sender, receiver):
        if sender in self.paused or not self.can_connect(sender, receiver):
            return
        version = self.followers[sender].version
        reported = self.reported[receiver]
        reported[sender] = max(version, reported.get(sender, 0))
        if self.followers[receiver].record_offer(
            sender, version, self.reported[sender].get(receiver, 0)
        ):
            self.followers[receiver].fetch(sender)

    def poll(self, name):
        if name not in self.paused:
            self.followers[name].poll()

    def run_round(self):
        self.clock.advance(1_000)
        for name in NAMES:
            self.poll(name)
            for other in NAMES:
                if other != name:
                    self.digest(name, other)

    def find_reachable(self):
        """Return the instances that reach the platform directly or through peers."""
        reachable = {n for n in NAMES if n not in self.cut_off and n not in self.paused}
        for _ in NAMES:
            reachable |= {
                n
                for n in NAMES
                for r in reachable
                if n not in self.paused and n != r and self.can_connect(n, r)
            }
        return reachable if not self.store.down else set()


def make_document(centres, number):
    titles = {f"data_centre {name}": () for name in centres}
    titles["rules"] = (("default_deadline_ms", str(number)),)
    return pmap({title: Section(title, items) for title, items in titles.items()})


def read_object(store):
    return lambda digest: store.objects.get(f"configuration/{digest}")


NUMBERS = st.one_of(st.integers(1, 9), st.just(1 << 50))
DOCUMENTS = st.builds(make_document, st.sets(st.sampled_from("pqrs"), max_size=3), NUMBERS)


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()
        self.accepted = {}
        self.refused = set()
        self.edits = 0

    def put(self, document, base):
        self.edits += 1
        edit_id = f"edit-{self.edits}"
        editor = ConfigurationEditor(self.world.store, sleep_ms=lambda _ms: None)
        try:
            version = editor.put(document, base, edit_id)
        except OutcomeUnknownError:
            return
        except RefusedError:
            self.refused.add(edit_id)
            return
        if version == base:
            return
        assert base not in self.accepted, "two edits with the same base were accepted"
        self.accepted[base] = (edit_id, document)

    @property
    def version(self):
        return self.world.store.heads[-1].version if self.world.store.heads else 0

    @rule(
        document=DOCUMENTS,
        back=st.integers(0, 1),
        writes=st.lists(WRITE_FAULTS, max_size=6),
        reads=st.lists(READ_FAULTS, max_size=4),
    )
    def edit(self, document, back, writes, reads):
        store = self.world.store
        store.write_faults, store.read_faults = list(writes), list(reads)
        self.put(document, max(0, self.version - back))
        store.write_faults, store.read_faults = [], []

    @rule(first=DOCUMENTS, second=DOCUMENTS, writes=st.lists(WRITE_FAULTS, max_size=3))
    def race(self, first, second, writes):
        base = self.version
        self.world.store.before_write = lambda: self.put(second, base)
        self.world.store.write_faults = list(writes)
        self.put(first, base)
        self.world.store.write_faults, self.world.store.before_write = [], None

    @rule()
    def land_late_writes(self):
        self.world.store.deliver_late_writes()

    @rule(name=st.sampled_from(NAMES))
    def poll(self, name):
        self.world.poll(name)

    @rule(sender=st.sampled_from(NAMES), receiver=st.sampled_from(NAMES))
    def digest(self, sender, receiver):
        if sender != receiver:
            self.world.digest(sender, receiver)

    @rule(name=st.sampled_from(NAMES), flip=st.sampled_from(["cut_off", "paused"]))
    def toggle_fault(self, name, flip):
        getattr(self.world, flip).symmetric_difference_update({name})

    @rule(pair=st.sampled_from([frozenset("ab"), frozenset("bc"), frozenset("ac")]))
    def toggle_partition(self, pair):
        self.world.partitions.symmetric_difference_update({pair})

    @rule()
    def toggle_platform(self):
        self.world.store.down = not self.world.store.down

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.world.start(name)

    @precondition(lambda self: self.world.store.heads)
    @rule(name=st.sampled_from(NAMES), back=st.integers(0, 5))
    def offer_old_head(self, name, back):
        store = self.world.store
        head = store.heads[max(0, len(store.heads) - 1 - back)]
        self.world.followers[name]._adopt(head, read_object(store))

    @rule()
    def check_propagation(self):
        store = self.world.store
        reachable = self.world.find_reachable()
        for _ in range(ROUNDS):
            self.world.run_round()
        if store.heads:
            assert {self.world.followers[name].version for name in reachable} <= {self.version}

    @invariant()
    def versions_increase(self):
        for applied in self.world.applied.values():
            versions = [inventory.version for inventory in applied]
            assert versions == sorted(set(versions))

    @invariant()
    def heads_form_one_chain_of_accepted_edits(self):
        store = self.world.store
        assert [head.version for head in store.heads] == list(range(1, len(store.heads) + 1))
        by_base = {head.version - 1: head.edit_id for head in store.heads}
        assert not self.refused & set(by_base.values()), "a refused edit took effect"
        for base, (edit_id, _) in self.accepted.items():
            assert by_base[base] == edit_id

    @invariant()
    def active_documents_match_accepted_edits(self):
        for follower in self.world.followers.values():
            found = follower.configuration
            if found is not None and found.head.version - 1 in self.accepted:
                assert found.document == self.accepted[found.head.version - 1][1]

    def teardown(self):
        self.world.store.deliver_late_writes()
        self.world.cut_off, self.world.partitions, self.world.paused = set(), set(), set()
        self.world.store.down = False
        self.check_propagation()
        self.heads_form_one_chain_of_accepted_edits()
        self.active_documents_match_accepted_edits()


@pytest.fixture(autouse=True)
def short_chains(monkeypatch):
    monkeypatch.setattr(_versions, "MAX_CHAIN_LENGTH", 4)


class TestConfiguration(ConfigurationMachine.TestCase):
    settings = bounded_search_settings(max_examples=200, stateful_step_count=40)


def put(world, number, base):
    editor = ConfigurationEditor(world.store, sleep_ms=lambda _ms: None)
    return editor.put(make_document("p", number), base, f"edit-{number}")


def test_restarted_instance_does_not_go_below_its_last_version():
    world = World()
    put(world, 1, 0)
    world.run_round()
    put(world, 2, 1)
    world.partitions = {frozenset("ab"), frozenset("ac")}
    world.poll("a")
    world.store.down, world.partitions = True, set()
    world.reported["b"]["a"] = world.reported["c"]["a"] = 2
    world.start("a")
    for _ in range(ROUNDS):
        world.run_round()
    assert [world.followers[name].version for name in NAMES] == [0, 1, 1]
    world.store.down = False
    world.run_round()
    assert [world.followers[name].version for name in NAMES] == [2, 2, 2]


def test_starting_without_the_platform_adopts_the_highest_version_of_the_peers():
    world = World()
    put(world, 1, 0)
    world.run_round()
    put(world, 2, 1)
    world.poll("c")
    world.store.down = True
    world.partitions = {frozenset("bc")}
    world.start("a")
    world.digest("b", "a")
    world.poll("a")
    assert world.followers["a"].version == 0
    world.digest("c", "a")
    world.clock.advance(1_000)
    world.poll("a")
    assert world.followers["a"].version == 2


def test_conflict_error_lists_the_changes_of_others():
    world = World()
    put(world, 1, 0)
    put(world, 2, 1)
    with pytest.raises(ConflictError) as caught:
        put(world, 3, 1)
    assert "version 2 changed [rules]" in str(caught.value)
    assert "- default_deadline_ms = 2" in str(caught.value)
    assert "+ default_deadline_ms = 3" in str(caught.value)


def test_unknown_outcome_names_the_edit_and_exits_with_3():
    world = World()
    world.store.write_faults = ["lost in flight"] * 9
    with pytest.raises(OutcomeUnknownError) as caught:
        put(world, 1, 0)
    assert "edit-1" in str(caught.value) and caught.value.exit_code == 3


def test_records_with_a_wrong_digest_or_version_are_rejected():
    world = World()
    put(world, 1, 0)
    put(world, 2, 1)
    first, second = world.store.heads
    read_stored = read_object(world.store)
    current = load_configuration(first, None, read_stored)
    forged = b'{"version":9,"base":"x","edit_id":"e","changed":{},"removed":[]}'
    for read in (
        lambda _digest: None,
        lambda digest: read_stored(digest) + b" ",
        lambda _digest: forged,
        lambda _digest: b"{",
    ):
        with pytest.raises(ChainError):
            load_configuration(second, current, read)
    wrong_version = Head(5, second.digest, "e", first.snapshot, first.snapshot_base, 1)
    with pytest.raises(ChainError):
        load_configuration(wrong_version, current, read_stored)
    assert load_configuration(second, current, read_stored).head == second


def test_delta_contains_only_changed_sections():
    world = World()
    editor = ConfigurationEditor(world.store, sleep_ms=lambda _ms: None)
    editor.put(make_document("pqrs", 1), 0, "one")
    editor.put(make_document("pqs", 2), 1, "two")
    (delta,) = _versions.list_deltas(world.store.heads[-1], 1, read_object(world.store))
    assert delta == Delta(
        2,
        world.store.heads[0].digest,
        "two",
        {"rules": {"default_deadline_ms": "2"}},
        ["data_centre r"],
    )


def test_invalid_head_row_is_rejected():
    world = World()
    world.store.rows[HEAD_KEY] = Row(HEAD_KEY, b"not ours", 1)
    world.run_round()
    assert all(follower.version == 0 for follower in world.followers.values())
    with pytest.raises(RefusedError), suppress(ConflictError):
        put(world, 1, 0)


def test_peers_serve_everything_since_the_snapshot_while_the_platform_is_down():
    world = World()
    for base in range(11):
        put(world, base + 1, base)
        world.run_round()
    assert world.store.heads[-1].snapshot_version > 1
    world.store.down = True
    world.start("a")
    for _ in range(ROUNDS):
        world.run_round()
    assert world.followers["a"].version == 11
    assert world.followers["a"].configuration.document == make_document("p", 11)


def test_equal_first_inventories_are_not_both_accepted_after_a_lost_answer():
    """Version 1 is stored without an edit id, so that two equal first edits have the same digest.

    The editor whose answer is lost then takes the accepted edit of the other one for its own.
    """
    first, second = make_document(set(), 1), make_document(set(), 1)
    ConfigurationMachine().race(first=first, second=second, writes=["none", "lost before"])
