"""The claim protocol: many attempts, a table that loses answers, a service that counts its runs."""

from dataclasses import dataclass, field, replace
from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lentilwell._failures import (
    AlreadyRan,
    AttemptNotRun,
    KeyReused,
    NotRun,
    NotRunKeyHeld,
    OutcomePending,
    OutcomeUnknown,
)
from lentilwell.once_only import _claims as c
from lentilwell.once_only import _messages as m
from tests.searching import bounded_search_settings

KEYS = ("refund-1", "refund-2")
PATIENCE_MS = 2_000
FAULTS = ("none", "none", "none", "unavailable", "lost", "lost_after", "lost_late", "repeated")


@dataclass
class Attempt:
    key: str
    state: m.ClaimState
    claimed_at: int = 0
    todo: tuple = ()
    alive: bool = True
    deferred: bool = False
    transmitted: bool = False
    waiting: bool = False
    replies: list = field(default_factory=list)


class World:
    """Attempts, table and service; every step and every fault is chosen from outside."""

    def __init__(self):
        self.now = 0
        self.wall = 0
        self.rows = {}
        self.late = []
        self.attempts = []
        self.network = []
        self.answers = {}
        self.runs = dict.fromkeys(KEYS, 0)
        self.settled = set()

    def begin(self, key, digest):
        state = m.ClaimState(f"attempt-{len(self.attempts)}", digest, self.now + PATIENCE_MS)
        attempt = Attempt(key, state)
        self.attempts.append(attempt)
        self.feed(attempt, m.Began)
        return attempt

    def feed(self, attempt, kind, *values):
        attempt.state, actions = c.step(attempt.state, kind(self.now, self.wall, *values))
        for action in actions:
            if isinstance(action, m.ReplyAnswer | m.ReplyFailure):
                self.check_reply(attempt, action)
                attempt.replies.append(action)
        rest = [a for a in actions if not isinstance(a, m.ReplyAnswer | m.ReplyFailure)]
        if isinstance(m.Transmit(), type(rest[0]) if rest else m.Input):
            self.transmit(attempt)
            rest = []
        attempt.deferred = m.Defer() in rest
        attempt.todo = tuple(a for a in rest if a != m.Defer())

    def transmit(self, attempt):
        assert not attempt.replies, "sent after the caller had its reply"
        assert not attempt.transmitted
        attempt.transmitted = attempt.waiting = True
        self.network.append(attempt)

    def check_reply(self, attempt, reply):
        assert not attempt.replies, "two replies"
        if isinstance(reply, m.ReplyAnswer):
            assert reply.answer == self.answers[attempt.key][1]
            assert attempt.state.request_digest == self.answers[attempt.key][0]
        elif isinstance(reply.failure, NotRun):
            assert not attempt.transmitted, "said 'not run' of what was sent"
            if not isinstance(reply.failure, AttemptNotRun):
                others = [a for a in self.attempts if a.key == attempt.key and a.transmitted]
                moved = isinstance(reply.failure, NotRunKeyHeld) and attempt.key in self.settled
                assert not others or attempt.key in self.settled
                assert self.runs[attempt.key] == 0 or moved

    def write(self, attempt, action, fault):
        if action.status is m.ClaimStatus.HELD:
            attempt.claimed_at = self.wall
        claim = m.Claim(
            status=action.status,
            team="counters",
            key=attempt.key,
            request_digest=attempt.state.request_digest,
            attempt_id=attempt.state.attempt_id,
            instance="entry-1",
            claimed_at=attempt.claimed_at,
            patience_ms=PATIENCE_MS,
            answer=action.answer,
        )
        write = (attempt.key, action.expected_version, claim)
        if fault == "unavailable":
            return self.feed(attempt, m.WriteUnavailable)
        if fault in ("lost", "lost_late"):
            self.late += [write] if fault == "lost_late" else []
            return self.feed(attempt, m.WriteLost)
        version = self.apply(*write)
        if fault == "repeated":
            version = self.apply(*write)
        if fault == "lost_after":
            return self.feed(attempt, m.WriteLost)
        if version is None:
            return self.feed(attempt, m.WriteRefused)
        return self.feed(attempt, m.RowWritten, version)

    def apply(self, key, expected_version, claim):
        if self.rows.get(key, m.FoundClaim()).version != expected_version:
            return None
        self.rows[key] = m.FoundClaim(expected_version + 1, claim)
        return expected_version + 1

    def perform(self, attempt, fault):
        (action,) = attempt.todo
        if isinstance(action, m.WriteRow):
            self.write(attempt, action, fault)
        elif isinstance(action, m.ReadRow) and fault == "none":
            self.feed(attempt, m.RowRead, self.rows.get(attempt.key, m.FoundClaim()))
        elif isinstance(action, m.ReadRow):
            self.feed(attempt, m.ReadFailed)
        elif isinstance(action, m.Connect):
            self.feed(attempt, m.Connected if fault == "none" else m.NotConnected)

    def serve(self, attempt, lose_answer):
        self.network.remove(attempt)
        self.runs[attempt.key] += 1
        answer = m.RecordedAnswer(200, (), f"run {self.runs[attempt.key]}".encode())
        self.answers[attempt.key] = (attempt.state.request_digest, answer)
        self.end_call(attempt, None if lose_answer else answer)

    def end_call(self, attempt, answer):
        if attempt.alive and attempt.waiting:
            attempt.waiting = False
            self.feed(attempt, *((m.Unanswered,) if answer is None else (m.Answered, answer)))

    def pass_deadline(self, attempt, early_ms=0):
        self.now = max(self.now, attempt.state.deadline_at - early_ms)
        state, todo, deferred = attempt.state, attempt.todo, attempt.deferred
        self.feed(attempt, m.DeadlinePassed)
        if attempt.state.phase is state.phase:
            attempt.todo, attempt.deferred = todo, deferred

    def run_out(self):
        """With no more faults, let every live attempt end."""
        for _ in range(50 * len(self.attempts)):
            for attempt in [a for a in self.attempts if a.alive]:
                if attempt.todo:
                    self.perform(attempt, "none")
                elif attempt.deferred:
                    self.feed(attempt, m.Resumed)
                elif attempt in self.network:
                    self.serve(attempt, lose_answer=False)
                elif attempt.waiting:
                    self.end_call(attempt, None)
        for attempt in self.attempts:
            if attempt.alive:
                assert attempt.state.phase is m.Phase.DONE and attempt.replies


class ClaimMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()
        self.kills = self.settles = False

    @initialize(kills=st.booleans(), settles=st.booleans())
    def choose_disasters(self, kills, settles):
        self.kills = kills
        self.settles = settles

    def pick(self, data, wanted):
        return data.draw(st.sampled_from([a for a in self.world.attempts if wanted(a)]))

    def has(self, wanted):
        return any(wanted(a) for a in self.world.attempts)

    @precondition(lambda self: len(self.world.attempts) < 4)
    @rule(key=st.sampled_from(KEYS), digest=st.sampled_from(("a", "a", "a", "b")))
    def call(self, key, digest):
        self.world.begin(key, digest)

    @precondition(lambda self: self.has(can_perform))
    @rule(data=st.data(), fault=st.sampled_from(FAULTS))
    def perform(self, data, fault):
        self.world.perform(self.pick(data, can_perform), fault)

    @precondition(lambda self: self.has(can_perform))
    @rule(seed=st.integers(0, 2**32), steps=st.integers(4, 12))
    def go_on(self, seed, steps):
        """Many steps of any attempt; each fails one time in three."""
        random = Random(seed)
        for _ in range(steps):
            ready = [a for a in self.world.attempts if can_perform(a) or a in self.world.network]
            if not ready:
                return
            attempt = random.choice(ready)
            if attempt in self.world.network:
                self.world.serve(attempt, lose_answer=random.random() < 0.3)
            else:
                self.world.perform(attempt, random.choice((*["none"] * 10, *FAULTS)))

    @precondition(lambda self: self.has(can_resume))
    @rule(data=st.data())
    def resume(self, data):
        self.world.feed(self.pick(data, can_resume), m.Resumed)

    @precondition(lambda self: self.world.late)
    @rule(data=st.data())
    def apply_late(self, data):
        write = data.draw(st.sampled_from(self.world.late))
        self.world.late.remove(write)
        self.world.apply(*write)

    @precondition(lambda self: self.world.network)
    @rule(data=st.data(), lose_answer=st.booleans())
    def serve(self, data, lose_answer):
        self.world.serve(data.draw(st.sampled_from(self.world.network)), lose_answer)

    @precondition(lambda self: self.has(lambda a: a.alive and a.waiting))
    @rule(data=st.data(), lost=st.booleans())
    def break_call(self, data, lost):
        attempt = self.pick(data, lambda a: a.alive and a.waiting)
        if lost and attempt in self.world.network:
            self.world.network.remove(attempt)
        self.world.end_call(attempt, None)

    @precondition(lambda self: self.has(lambda a: a.alive and not a.replies))
    @rule(data=st.data(), early_ms=st.integers(0, 1))
    def pass_deadline(self, data, early_ms):
        self.world.pass_deadline(self.pick(data, lambda a: a.alive and not a.replies), early_ms)

    @precondition(lambda self: self.kills and self.has(lambda a: a.alive))
    @rule(data=st.data())
    def kill(self, data):
        self.pick(data, lambda a: a.alive).alive = False

    @rule(now_ms=st.sampled_from((0, 10, 900, 5_000)), wall_ms=st.sampled_from((10, 5_000)))
    def let_time_pass(self, now_ms, wall_ms):
        self.world.now += now_ms
        self.world.wall += max(now_ms, wall_ms)

    @precondition(lambda self: self.settles and self.world.rows)
    @rule(data=st.data())
    def settle(self, data):
        """An operator waits out the patience, looks the record up and settles the key."""
        world = self.world
        key = data.draw(st.sampled_from(sorted(world.rows)))
        found = world.rows[key]
        world.wall += PATIENCE_MS + c.SETTLE_MARGIN_MS
        if not c.may_settle(found.claim, world.wall) or any(a.key == key for a in world.network):
            return
        outcome = c.Settlement.RAN if world.runs[key] else c.Settlement.NOT_RUN
        world.rows[key] = m.FoundClaim(found.version + 1, c.settle(found.claim, outcome))
        world.settled.add(key)

    @invariant()
    def runs_at_most_once(self):
        assert all(runs <= 1 for runs in self.world.runs.values())

    @invariant()
    def sent_key_stays_taken(self):
        for attempt in self.world.attempts:
            if attempt.transmitted and attempt.key not in self.world.settled:
                assert self.world.rows[attempt.key].claim.status is not m.ClaimStatus.FREE

    def teardown(self):
        """Heal everything, let what lives end, and call each key once more."""
        world = self.world
        world.run_out()
        for write in world.late:
            world.apply(*write)
        for key in KEYS:
            before = world.rows.get(key, m.FoundClaim())
            attempt = world.begin(key, "a")
            world.run_out()
            self.check_last(key, before.claim, attempt)
        assert all(runs <= 1 for runs in world.runs.values())

    def check_last(self, key, claim, attempt):
        dead = {a.state.attempt_id for a in self.world.attempts if not a.alive}
        sent = [a for a in self.world.attempts if a.key == key and a.transmitted]
        (reply,) = attempt.replies
        if claim is None or claim.status is m.ClaimStatus.FREE:
            assert reply == m.ReplyAnswer(self.world.answers[key][1], replayed=False)
        elif claim.status is m.ClaimStatus.HELD:
            assert claim.attempt_id in dead
        elif claim.status is m.ClaimStatus.FINISHED and claim.request_digest == "a":
            assert reply == m.ReplyAnswer(self.world.answers[key][1], replayed=True)
        elif claim.status is m.ClaimStatus.UNKNOWN:
            assert sent


def can_perform(attempt):
    return attempt.alive and bool(attempt.todo)


def can_resume(attempt):
    return attempt.alive and attempt.deferred


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = bounded_search_settings(max_examples=300, stateful_step_count=40)


def held_row(status, digest="a", answer=None):
    claim = m.Claim(status, "counters", "k", digest, "other", "entry-2", 0, 1, answer)
    return m.FoundClaim(1, claim)


ANSWER = m.RecordedAnswer(201, (("X", "1"),), b"done")


@pytest.mark.parametrize(
    ("row", "reply"),
    [
        (held_row(m.ClaimStatus.HELD), m.ReplyFailure(OutcomePending())),
        (held_row(m.ClaimStatus.UNKNOWN), m.ReplyFailure(OutcomeUnknown())),
        (held_row(m.ClaimStatus.RAN), m.ReplyFailure(AlreadyRan())),
        (held_row(m.ClaimStatus.HELD, "b"), m.ReplyFailure(KeyReused())),
        (held_row(m.ClaimStatus.FINISHED, "b", ANSWER), m.ReplyFailure(KeyReused())),
        (held_row(m.ClaimStatus.FINISHED, "a", ANSWER), m.ReplyAnswer(ANSWER, replayed=True)),
    ],
)
def test_taken_key_is_told_and_never_sent(row, reply):
    world = World()
    world.rows[KEYS[0]] = row
    attempt = world.begin(KEYS[0], "a")
    for _ in range(2):
        attempt.state, actions = (
            c.step(attempt.state, m.WriteRefused(0, 0))
            if attempt.state.phase is m.Phase.CLAIMING
            else c.step(attempt.state, m.RowRead(0, 0, row))
        )
    assert actions == (reply,) and attempt.state.phase is m.Phase.DONE


TOLD = [
    (("unavailable",), AttemptNotRun, None),
    (("lost", "lost"), AttemptNotRun, m.ClaimStatus.FREE),
    (("lost_late", "none"), AttemptNotRun, m.ClaimStatus.FREE),
    (("lost_after", "lost"), AttemptNotRun, m.ClaimStatus.FREE),
    (("none", "lost"), NotRun, m.ClaimStatus.FREE),
    (("none", "lost", "lost"), NotRunKeyHeld, m.ClaimStatus.FREE),
    (("repeated", "lost"), OutcomePending, m.ClaimStatus.FREE),
    (("none", "none", "lost"), OutcomeUnknown, m.ClaimStatus.UNKNOWN),
    (("none", "none", "none", "lost"), None, m.ClaimStatus.FINISHED),
    (("repeated", "none", "none"), None, m.ClaimStatus.FINISHED),
    (("lost_after", "none", "none"), None, m.ClaimStatus.FINISHED),
]


@pytest.mark.parametrize(("faults", "failure", "status"), TOLD)
def test_each_fault_has_its_reply_and_the_row_ends_settled(faults, failure, status):
    world = World()
    attempt = world.begin(KEYS[0], "a")
    for fault in faults:
        if attempt in world.network:
            world.serve(attempt, lose_answer=fault == "lost")
        elif attempt.todo:
            world.perform(attempt, fault)
    world.run_out()
    late = list(world.late)
    assert all(world.apply(*write) is None for write in late), "a lost write came back to life"
    (reply,) = attempt.replies
    assert (type(reply.failure) if failure else None) is failure
    found = world.rows.get(KEYS[0])
    assert (found.claim.status if found else None) is status


def test_holder_settled_while_it_was_paused_speaks_for_itself_only():
    world = World()
    paused = world.begin(KEYS[0], "a")
    world.perform(paused, "none")
    found = world.rows[KEYS[0]]
    settled = c.settle(found.claim, c.Settlement.NOT_RUN)
    world.rows[KEYS[0]] = m.FoundClaim(found.version + 1, settled)
    paused.alive = False
    world.begin(KEYS[0], "a")
    world.run_out()
    paused.alive = True
    world.now += 5_000
    world.run_out()
    assert world.runs[KEYS[0]] == 1
    assert paused.replies == [m.ReplyFailure(AttemptNotRun())]


def test_settled_claim_is_no_longer_its_attempts_own():
    world = World()
    paused = world.begin(KEYS[0], "a")
    world.perform(paused, "lost_after")
    found = world.rows[KEYS[0]]
    settled = c.settle(found.claim, c.Settlement.NOT_RUN)
    world.rows[KEYS[0]] = m.FoundClaim(found.version + 1, settled)
    other = world.begin(KEYS[0], "a")
    world.run_out()
    assert [paused.transmitted, other.transmitted].count(True) == 1


@pytest.mark.parametrize(("now_ms", "wall_ms"), [(5_000, 5_000), (0, 5_000), (PATIENCE_MS, 0)])
def test_paused_holder_does_not_send(now_ms, wall_ms):
    world = World()
    attempt = world.begin(KEYS[0], "a")
    world.perform(attempt, "none")
    world.now, world.wall = now_ms, wall_ms
    world.run_out()
    assert not attempt.transmitted and attempt.replies == [m.ReplyFailure(NotRun())]
    assert replace(world.rows[KEYS[0]], claim=None).version == 2
