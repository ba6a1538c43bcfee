"""Tests of the claim protocol against a simulated table and service.

The table can lose answers, delay writes and refuse them; the service counts the runs of each key.
"""

from dataclasses import dataclass, field, replace
from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lentilwell._failures import (
    AlreadyRan,
    AttemptNotRun,
    IdempotencyKeyReused,
    NotRun,
    NotRunKeyHeld,
    OutcomePending,
    OutcomeUnknown,
)
from lentilwell.once_only import _claims as c
from lentilwell.once_only import _messages as m
from tests.searching import bounded_search_settings

KEYS = ("refund-1", "refund-2")
TIMEOUT_MS = 2_000
FAULTS = ("none", "none", "none", "unavailable", "lost", "lost_after", "lost_late", "repeated")


@dataclass
class Attempt:
    key: str
    state: m.AttemptState
    claimed_at: int = 0
    pending_actions: tuple = ()
    alive: bool = True
    deferred: bool = False
    transmitted: bool = False
    awaiting_answer: bool = False
    replies: list = field(default_factory=list)


class Simulation:
    """Attempts, table and service; the test chooses every step and every fault."""

    def __init__(self):
        self.now = 0
        self.wall = 0
        self.rows = {}
        self.delayed_writes = []
        self.attempts = []
        self.in_flight = []
        self.answers = {}
        self.runs = dict.fromkeys(KEYS, 0)
        self.settled = set()

    def start_attempt(self, key, digest):
        state = m.AttemptState(f"attempt-{len(self.attempts)}", digest, self.now + TIMEOUT_MS)
        attempt = Attempt(key, state)
        self.attempts.append(attempt)
        self.apply_input(attempt, m.CallReceived)
        return attempt

    def apply_input(self, attempt, kind, *values):
        attempt.state, actions = c.step(attempt.state, kind(self.now, self.wall, *values))
        for action in actions:
            if isinstance(action, m.ReplyAnswer | m.ReplyFailure):
                self.check_reply(attempt, action)
                attempt.replies.append(action)
        remaining_actions = [
            a for a in actions if not isinstance(a, m.ReplyAnswer | m.ReplyFailure)
        ]
        if isinstance(m.Transmit(), type(remaining_actions[0]) if remaining_actions else m.Input):
            self.transmit(attempt)
            remaining_actions = []
        attempt.deferred = m.Defer() in remaining_actions
        attempt.pending_actions = tuple(a for a in remaining_actions if a != m.Defer())

    def transmit(self, attempt):
        assert not attempt.replies, "sent after the caller had its reply"
        assert not attempt.transmitted
        attempt.transmitted = attempt.awaiting_answer = True
        self.in_flight.append(attempt)

    def check_reply(self, attempt, reply):
        assert not attempt.replies, "two replies"
        if isinstance(reply, m.ReplyAnswer):
            assert reply.answer == self.answers[attempt.key][1]
            assert attempt.state.request_digest == self.answers[attempt.key][0]
        elif isinstance(reply.failure, NotRun):
            assert not attempt.transmitted, "replied 'not run' to a call that was sent"
            if not isinstance(reply.failure, AttemptNotRun):
                others = [a for a in self.attempts if a.key == attempt.key and a.transmitted]
                settled_by_operator = (
                    isinstance(reply.failure, NotRunKeyHeld) and attempt.key in self.settled
                )
                assert not others or attempt.key in self.settled
                assert self.runs[attempt.key] == 0 or settled_by_operator

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
            patience_ms=TIMEOUT_MS,
            answer=action.answer,
        )
        write = (attempt.key, action.expected_version, claim)
        if fault == "unavailable":
            return self.apply_input(attempt, m.WriteUnavailable)
        if fault in ("lost", "lost_late"):
            self.delayed_writes += [write] if fault == "lost_late" else []
            return self.apply_input(attempt, m.WriteUnconfirmed)
        version = self.apply_write(*write)
        if fault == "repeated":
            version = self.apply_write(*write)
        if fault == "lost_after":
            return self.apply_input(attempt, m.WriteUnconfirmed)
        if version is None:
            return self.apply_input(attempt, m.WriteConflict)
        return self.apply_input(attempt, m.RowWritten, version)

    def apply_write(self, key, expected_version, claim):
        if self.rows.get(key, m.ClaimRow()).version != expected_version:
            return None
        self.rows[key] = m.ClaimRow(expected_version + 1, claim)
        return expected_version + 1

    def perform_action(self, attempt, fault):
        (action,) = attempt.pending_actions
        if isinstance(action, m.WriteRow):
            self.write(attempt, action, fault)
        elif isinstance(action, m.ReadRow) and fault == "none":
            self.apply_input(attempt, m.RowRead, self.rows.get(attempt.key, m.ClaimRow()))
        elif isinstance(action, m.ReadRow):
            self.apply_input(attempt, m.ReadFailed)
        elif isinstance(action, m.Connect):
            self.apply_input(attempt, m.Connected if fault == "none" else m.ConnectFailed)

    def serve(self, attempt, lose_answer):
        self.in_flight.remove(attempt)
        self.runs[attempt.key] += 1
        answer = m.RecordedAnswer(200, (), f"run {self.runs[attempt.key]}".encode())
        self.answers[attempt.key] = (attempt.state.request_digest, answer)
        self.end_call(attempt, None if lose_answer else answer)

    def end_call(self, attempt, answer):
        if attempt.alive and attempt.awaiting_answer:
            attempt.awaiting_answer = False
            self.apply_input(
                attempt, *((m.AnswerMissing,) if answer is None else (m.AnswerReceived, answer))
            )

    def expire_deadline(self, attempt, early_ms=0):
        self.now = max(self.now, attempt.state.deadline_at - early_ms)
        state, pending_actions, deferred = attempt.state, attempt.pending_actions, attempt.deferred
        self.apply_input(attempt, m.DeadlinePassed)
        if attempt.state.phase is state.phase:
            attempt.pending_actions, attempt.deferred = pending_actions, deferred

    def run_to_completion(self):
        """Run every live attempt to its end without further faults."""
        for _ in range(50 * len(self.attempts)):
            for attempt in [a for a in self.attempts if a.alive]:
                if attempt.pending_actions:
                    self.perform_action(attempt, "none")
                elif attempt.deferred:
                    self.apply_input(attempt, m.Resumed)
                elif attempt in self.in_flight:
                    self.serve(attempt, lose_answer=False)
                elif attempt.awaiting_answer:
                    self.end_call(attempt, None)
        for attempt in self.attempts:
            if attempt.alive:
                assert attempt.state.phase is m.Phase.DONE and attempt.replies


class ClaimMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.simulation = Simulation()
        self.allow_kills = self.allow_settlements = False

    @initialize(allow_kills=st.booleans(), allow_settlements=st.booleans())
    def choose_fault_kinds(self, allow_kills, allow_settlements):
        self.allow_kills = allow_kills
        self.allow_settlements = allow_settlements

    def draw_attempt(self, data, predicate):
        return data.draw(st.sampled_from([a for a in self.simulation.attempts if predicate(a)]))

    def any_attempt(self, predicate):
        return any(predicate(a) for a in self.simulation.attempts)

    @precondition(lambda self: len(self.simulation.attempts) < 4)
    @rule(key=st.sampled_from(KEYS), digest=st.sampled_from(("a", "a", "a", "b")))
    def call(self, key, digest):
        self.simulation.start_attempt(key, digest)

    @precondition(lambda self: self.any_attempt(can_perform_action))
    @rule(data=st.data(), fault=st.sampled_from(FAULTS))
    def perform_action(self, data, fault):
        self.simulation.perform_action(self.draw_attempt(data, can_perform_action), fault)

    @precondition(lambda self: self.any_attempt(can_perform_action))
    @rule(seed=st.integers(0, 2**32), steps=st.integers(4, 12))
    def perform_random_actions(self, seed, steps):
        """Perform several steps of random attempts; about one in three fails."""
        random = Random(seed)
        for _ in range(steps):
            ready = [
                a
                for a in self.simulation.attempts
                if can_perform_action(a) or a in self.simulation.in_flight
            ]
            if not ready:
                return
            attempt = random.choice(ready)
            if attempt in self.simulation.in_flight:
                self.simulation.serve(attempt, lose_answer=random.random() < 0.3)
            else:
                self.simulation.perform_action(attempt, random.choice((*["none"] * 10, *FAULTS)))

    @precondition(lambda self: self.any_attempt(can_resume))
    @rule(data=st.data())
    def resume(self, data):
        self.simulation.apply_input(self.draw_attempt(data, can_resume), m.Resumed)

    @precondition(lambda self: self.simulation.delayed_writes)
    @rule(data=st.data())
    def apply_delayed_write(self, data):
        write = data.draw(st.sampled_from(self.simulation.delayed_writes))
        self.simulation.delayed_writes.remove(write)
        self.simulation.apply_write(*write)

    @precondition(lambda self: self.simulation.in_flight)
    @rule(data=st.data(), lose_answer=st.booleans())
    def serve(self, data, lose_answer):
        self.simulation.serve(data.draw(st.sampled_from(self.simulation.in_flight)), lose_answer)

    @precondition(lambda self: self.any_attempt(lambda a: a.alive and a.awaiting_answer))
    @rule(data=st.data(), request_lost=st.booleans())
    def lose_connection(self, data, request_lost):
        attempt = self.draw_attempt(data, lambda a: a.alive and a.awaiting_answer)
        if request_lost and attempt in self.simulation.in_flight:
            self.simulation.in_flight.remove(attempt)
        self.simulation.end_call(attempt, None)

    @precondition(lambda self: self.any_attempt(lambda a: a.alive and not a.replies))
    @rule(data=st.data(), early_ms=st.integers(0, 1))
    def expire_deadline(self, data, early_ms):
        self.simulation.expire_deadline(
            self.draw_attempt(data, lambda a: a.alive and not a.replies), early_ms
        )

    @precondition(lambda self: self.allow_kills and self.any_attempt(lambda a: a.alive))
    @rule(data=st.data())
    def kill(self, data):
        self.draw_attempt(data, lambda a: a.alive).alive = False

    @rule(now_ms=st.sampled_from((0, 10, 900, 5_000)), wall_ms=st.sampled_from((10, 5_000)))
    def advance_clocks(self, now_ms, wall_ms):
        self.simulation.now += now_ms
        self.simulation.wall += max(now_ms, wall_ms)

    @precondition(lambda self: self.allow_settlements and self.simulation.rows)
    @rule(data=st.data())
    def settle(self, data):
        """Settle a key after its attempt's timeout, with the outcome that the service shows."""
        simulation = self.simulation
        key = data.draw(st.sampled_from(sorted(simulation.rows)))
        found = simulation.rows[key]
        simulation.wall += TIMEOUT_MS + c.SETTLE_MARGIN_MS
        if not c.may_settle(found.claim, simulation.wall) or any(
            a.key == key for a in simulation.in_flight
        ):
            return
        outcome = c.Settlement.RAN if simulation.runs[key] else c.Settlement.NOT_RUN
        simulation.rows[key] = m.ClaimRow(found.version + 1, c.settle(found.claim, outcome))
        simulation.settled.add(key)

    @invariant()
    def runs_at_most_once(self):
        assert all(runs <= 1 for runs in self.simulation.runs.values())

    @invariant()
    def sent_key_is_never_freed(self):
        for attempt in self.simulation.attempts:
            if attempt.transmitted and attempt.key not in self.simulation.settled:
                assert self.simulation.rows[attempt.key].claim.status is not m.ClaimStatus.FREE

    def teardown(self):
        """Stop all faults, run the live attempts to their end and call each key once more."""
        simulation = self.simulation
        simulation.run_to_completion()
        for write in simulation.delayed_writes:
            simulation.apply_write(*write)
        for key in KEYS:
            before = simulation.rows.get(key, m.ClaimRow())
            attempt = simulation.start_attempt(key, "a")
            simulation.run_to_completion()
            self.check_final_reply(key, before.claim, attempt)
        assert all(runs <= 1 for runs in simulation.runs.values())

    def check_final_reply(self, key, claim, attempt):
        dead = {a.state.attempt_id for a in self.simulation.attempts if not a.alive}
        sent = [a for a in self.simulation.attempts if a.key == key and a.transmitted]
        (reply,) = attempt.replies
        if claim is None or claim.status is m.ClaimStatus.FREE:
            assert reply == m.ReplyAnswer(self.simulation.answers[key][1], replayed=False)
        elif claim.status is m.ClaimStatus.HELD:
            assert claim.attempt_id in dead
        elif claim.status is m.ClaimStatus.FINISHED and claim.request_digest == "a":
            assert reply == m.ReplyAnswer(self.simulation.answers[key][1], replayed=True)
        elif claim.status is m.ClaimStatus.UNKNOWN:
            assert sent


def can_perform_action(attempt):
    return attempt.alive and bool(attempt.pending_actions)


def can_resume(attempt):
    return attempt.alive and attempt.deferred


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = bounded_search_settings(max_examples=300, stateful_step_count=40)


def make_claim_row(status, digest="a", answer=None):
    claim = m.Claim(status, "counters", "k", digest, "other", "entry-2", 0, 1, answer)
    return m.ClaimRow(1, claim)


ANSWER = m.RecordedAnswer(201, (("X", "1"),), b"done")


@pytest.mark.parametrize(
    ("row", "reply"),
    [
        (make_claim_row(m.ClaimStatus.HELD), m.ReplyFailure(OutcomePending())),
        (make_claim_row(m.ClaimStatus.UNKNOWN), m.ReplyFailure(OutcomeUnknown())),
        (make_claim_row(m.ClaimStatus.RAN), m.ReplyFailure(AlreadyRan())),
        (make_claim_row(m.ClaimStatus.HELD, "b"), m.ReplyFailure(IdempotencyKeyReused())),
        (
            make_claim_row(m.ClaimStatus.FINISHED, "b", ANSWER),
            m.ReplyFailure(IdempotencyKeyReused()),
        ),
        (make_claim_row(m.ClaimStatus.FINISHED, "a", ANSWER), m.ReplyAnswer(ANSWER, replayed=True)),
    ],
)
def test_claimed_key_gets_a_reply_and_is_never_sent(row, reply):
    simulation = Simulation()
    simulation.rows[KEYS[0]] = row
    attempt = simulation.start_attempt(KEYS[0], "a")
    for _ in range(2):
        attempt.state, actions = (
            c.step(attempt.state, m.WriteConflict(0, 0))
            if attempt.state.phase is m.Phase.CLAIMING
            else c.step(attempt.state, m.RowRead(0, 0, row))
        )
    assert actions == (reply,) and attempt.state.phase is m.Phase.DONE


FAULT_CASES = [
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


@pytest.mark.parametrize(("faults", "failure", "status"), FAULT_CASES)
def test_each_fault_gets_its_reply_and_final_status(faults, failure, status):
    simulation = Simulation()
    attempt = simulation.start_attempt(KEYS[0], "a")
    for fault in faults:
        if attempt in simulation.in_flight:
            simulation.serve(attempt, lose_answer=fault == "lost")
        elif attempt.pending_actions:
            simulation.perform_action(attempt, fault)
    simulation.run_to_completion()
    delayed_writes = list(simulation.delayed_writes)
    assert all(
        simulation.apply_write(*write) is None for write in delayed_writes
    ), "a delayed write took effect after its attempt had ended"
    (reply,) = attempt.replies
    assert (type(reply.failure) if failure else None) is failure
    found = simulation.rows.get(KEYS[0])
    assert (found.claim.status if found else None) is status


def test_holder_settled_while_paused_replies_for_its_own_attempt_only():
    simulation = Simulation()
    paused = simulation.start_attempt(KEYS[0], "a")
    simulation.perform_action(paused, "none")
    found = simulation.rows[KEYS[0]]
    settled = c.settle(found.claim, c.Settlement.NOT_RUN)
    simulation.rows[KEYS[0]] = m.ClaimRow(found.version + 1, settled)
    paused.alive = False
    simulation.start_attempt(KEYS[0], "a")
    simulation.run_to_completion()
    paused.alive = True
    simulation.now += 5_000
    simulation.run_to_completion()
    assert simulation.runs[KEYS[0]] == 1
    assert paused.replies == [m.ReplyFailure(AttemptNotRun())]


def test_settled_claim_no_longer_belongs_to_its_attempt():
    simulation = Simulation()
    paused = simulation.start_attempt(KEYS[0], "a")
    simulation.perform_action(paused, "lost_after")
    found = simulation.rows[KEYS[0]]
    settled = c.settle(found.claim, c.Settlement.NOT_RUN)
    simulation.rows[KEYS[0]] = m.ClaimRow(found.version + 1, settled)
    other = simulation.start_attempt(KEYS[0], "a")
    simulation.run_to_completion()
    assert [paused.transmitted, other.transmitted].count(True) == 1


@pytest.mark.parametrize(("now_ms", "wall_ms"), [(5_000, 5_000), (0, 5_000), (TIMEOUT_MS, 0)])
def test_paused_holder_does_not_send(now_ms, wall_ms):
    simulation = Simulation()
    attempt = simulation.start_attempt(KEYS[0], "a")
    simulation.perform_action(attempt, "none")
    simulation.now, simulation.wall = now_ms, wall_ms
    simulation.run_to_completion()
    assert not attempt.transmitted and attempt.replies == [m.ReplyFailure(NotRun())]
    assert replace(simulation.rows[KEYS[0]], claim=None).version == 2
