"""Recovery after failures: cancels, ejection, restarted engines, leaving marks and retries."""

from dataclasses import replace
from itertools import pairwise

import pytest

from lentilwell import Identity, Request, State, reduce
from lentilwell._failures import UpstreamFailed
from lentilwell._messages import (
    Cause,
    Digest,
    EngineUse,
    LeavingMark,
    LoadReport,
    Member,
    MemberKind,
    StreamReport,
)
from lentilwell.decisions import has_pending_cancels
from lentilwell.reducer import _effects as fx
from lentilwell.reducer import _events as ev
from tests.fleet import MEMORY, SLOTS, make_inventory

OWN_IDENTITY = Identity("a", "1", "north")
PEER_IDENTITY = Identity("b", "1", "north")


class Session:
    """The reducer of one instance with its clock, recording each effect with its time."""

    def __init__(self, inventory=None):
        self.state = State(OWN_IDENTITY, random=7)
        self.effects = []
        self.now = 0
        self.sequence = 0
        self.send(ev.InventoryAccepted(0, inventory or make_inventory()))
        self.send(ev.TickPassed(0))

    def send(self, event):
        self.state, effects = reduce(self.state, replace(event, at=self.now))
        self.effects.extend((self.now, effect) for effect in effects)
        return effects

    def pass_time(self, ms):
        for _ in range(0, ms, 50):
            self.now += 50
            self.send(ev.TickPassed(0))

    def arrive(self, name="r", prompt=1_000, answer=10, team="open"):
        request = Request(name, team, "m", prompt, answer, self.now, self.now + 60_000)
        return find_effect(self.send(ev.RequestArrived(0, request)), fx.StartAttempt)

    def fail(self, start, cause, tokens=0, share=0):
        engine = start.placements[share].engine
        return self.send(ev.AttemptFailed(0, start.attempt_id, engine, cause, tokens))

    def report(self, engine, incarnation="x", streams=(), leaving=False, sequence=None):
        self.sequence += 1
        used = sum(stream.memory_tokens for stream in streams)
        report = LoadReport(
            engine,
            incarnation,
            sequence or self.sequence,
            leaving,
            MEMORY,
            used,
            SLOTS,
            tuple(streams),
            ("m",),
        )
        return self.send(ev.LoadReported(0, report))

    def receive_digest(self, sender=PEER_IDENTITY, sequence=None, uses=(), marks=()):
        self.sequence += 1
        digest = Digest(sender, sequence or self.sequence, 1, False, uses, marks, 0, 0)
        return self.send(ev.DigestReceived(0, digest))

    def effect_times(self, kind):
        return [at for at, effect in self.effects if isinstance(effect, kind)]


def find_effect(effects, kind):
    found = [effect for effect in effects if isinstance(effect, kind)]
    return found[-1] if found else None


def make_stream_report(stream, owner=OWN_IDENTITY, memory=1_010):
    return StreamReport(stream, owner.instance, owner.incarnation, memory, memory, 0, 0)


def test_cancel_is_repeated_with_growing_intervals_until_confirmed():
    session = Session()
    start = session.arrive()
    session.send(ev.CallerGone(0, "r"))
    session.pass_time(20_000)
    times = session.effect_times(fx.CancelStream)
    gaps = [after - before for before, after in pairwise(times)]
    assert gaps[:5] == [250, 500, 1_000, 2_000, 4_000] and max(gaps) == 5_000
    session.send(ev.CancelConfirmed(0, start.placements[0].engine, start.attempt_id))
    session.pass_time(10_000)
    assert session.effect_times(fx.CancelStream) == times and not session.state.cancels


def test_cancel_on_an_unreachable_engine_does_not_delay_a_stop():
    session = Session()
    engine = session.arrive().placements[0].engine
    session.send(ev.CallerGone(0, "r"))
    assert has_pending_cancels(session.state)
    for _ in range(3):
        session.send(ev.LoadUnreadable(0, engine))
    assert session.state.cancels and not has_pending_cancels(session.state)


def test_cancel_ends_after_two_reports_without_the_stream():
    session = Session()
    start = session.arrive()
    engine = start.placements[0].engine
    session.send(ev.CallerGone(0, "r"))
    session.report(engine, streams=[make_stream_report(start.attempt_id)])
    session.report(engine)
    assert session.state.cancels
    session.report(engine, incarnation="y")
    assert not session.state.cancels


def test_completed_span_cancels_its_segments():
    session = Session()
    start = session.arrive(prompt=150_000)
    effects = session.send(ev.AttemptFinished(0, start.attempt_id, 10))
    assert effects == (fx.CancelStream(start.placements[1].engine, start.attempt_id),)
    assert list(session.state.cancels) == [start.placements[1].engine]


def test_partly_refused_span_is_cancelled_and_deferred():
    session = Session()
    start = session.arrive(prompt=150_000)
    effects = session.fail(start, Cause.REFUSED, share=1)
    freed = {effect.engine for effect in effects if isinstance(effect, fx.CancelStream)}
    assert freed == {share.engine for share in start.placements}
    assert find_effect(effects, fx.StartAttempt) is None and "r" in session.state.waiting
    session.pass_time(1_000)
    assert len(session.effect_times(fx.StartAttempt)) == 2


def test_stalled_attempt_resumes_twice_and_then_moves_to_another_engine():
    session = Session()
    start = session.arrive()
    for _ in range(2):
        assert session.fail(start, Cause.STALLED, 3) == (fx.ResumeAttempt(start.attempt_id),)
    again = find_effect(session.fail(start, Cause.STALLED, 5), fx.StartAttempt)
    assert again.first_index == 5 and again.placements[0].engine != start.placements[0].engine


def test_request_fails_after_its_last_attempt_or_without_retry_budget():
    session = Session()
    start = session.arrive()
    for _ in range(2):
        start = find_effect(session.fail(start, Cause.BROKEN), fx.StartAttempt)
    assert fx.EndRequest("r", UpstreamFailed()) in session.fail(start, Cause.BROKEN)
    session.state = replace(session.state, retry_percents=0)
    start = session.arrive("s")
    assert fx.EndRequest("s", UpstreamFailed()) in session.fail(start, Cause.BROKEN)


@pytest.mark.parametrize("cause", [Cause.REFUSED, Cause.CONNECT, Cause.LEAVING])
def test_attempt_that_did_not_run_uses_no_retry_budget(cause):
    session = Session()
    session.state = replace(session.state, retry_percents=0)
    start = session.arrive()
    for _ in range(4):
        again = find_effect(session.fail(start, cause), fx.StartAttempt)
        assert again.placements[0].engine != start.placements[0].engine
        start = again


def fail_engine(session, engine, times=3):
    """Fail the given number of attempts on one engine; attempts elsewhere succeed."""
    for number in range(times):
        session.now += 300
        start = session.arrive(f"{engine}-{session.now}-{number}")
        while start.placements[0].engine != engine:
            session.send(ev.AttemptFinished(0, start.attempt_id, 10))
            session.now += 300
            start = session.arrive(f"{engine}-{session.now}-{number}")
        again = find_effect(session.fail(start, Cause.BROKEN), fx.StartAttempt)
        session.send(ev.AttemptFinished(0, again.attempt_id, 10))


def test_ejection_time_doubles_and_half_of_the_engines_stay():
    session = Session()
    fail_engine(session, "e0")
    first = session.state.engines["e0"].ejected_until - session.now
    assert 1_000 <= first < 1_500
    session.now = session.state.engines["e0"].ejected_until
    fail_engine(session, "e0", times=1)
    again = session.state.engines["e0"].ejected_until - session.now
    assert 2_000 <= again < 3_000
    for engine in ("e1", "e2", "e3") * 3:
        session.send(ev.LoadUnreadable(0, engine))
    ejected = {n for n, v in session.state.engines.items() if v.ejected_until > session.now}
    assert ejected == {"e0", "e1"}


def test_ejected_engine_gets_one_probe_and_is_readmitted_on_success():
    session = Session(make_inventory(data_centres={"e0": "north", "e1": "north"}))
    fail_engine(session, "e0")
    session.now = session.state.engines["e0"].ejected_until
    starts = [session.arrive(f"p{n}") for n in range(6)]
    probes = [start for start in starts if start.placements[0].engine == "e0"]
    assert len(probes) == 1
    session.send(ev.FirstTokenSeen(0, probes[0].attempt_id))
    view = session.state.engines["e0"]
    assert (view.ejected_until, view.failures, view.ejections) == (0, 0, 0)


def test_unreadable_reports_eject_and_a_readable_report_readmits():
    session = Session()
    for _ in range(3):
        session.send(ev.LoadUnreadable(0, "e0"))
    until = session.state.engines["e0"].ejected_until
    assert until > session.now
    session.report("e0")
    assert session.state.engines["e0"].ejected_until == until
    session.now = until
    session.report("e0")
    assert session.state.engines["e0"].ejected_until == 0


def test_refusal_avoids_the_engine_only_until_its_next_report():
    session = Session(make_inventory(data_centres={"e0": "north"}))
    start = session.arrive()
    assert find_effect(session.fail(start, Cause.REFUSED), fx.StartAttempt) is None
    assert session.state.engines["e0"].failures == 0
    session.now += 100
    assert find_effect(session.report("e0"), fx.StartAttempt) is not None


def test_new_incarnation_of_an_engine_retries_its_attempts_at_once():
    session = Session()
    old = session.arrive("old")
    engine = old.placements[0].engine
    session.report(engine, "x", [make_stream_report(old.attempt_id)])
    session.now += 2_000
    again = find_effect(session.report(engine, "y"), fx.StartAttempt)
    assert again.request.request_id == "old" and old.attempt_id not in session.state.attempts
    before = session.state
    session.report(engine, "x")
    assert session.state.engines[engine].incarnation == "y"
    assert session.state.attempts == before.attempts


def test_old_incarnation_that_keeps_reporting_is_accepted_again():
    session = Session()
    session.report("e0", "x")
    session.report("e0", "y")
    for _ in range(4):
        session.report("e0", "x")
    assert session.state.engines["e0"].incarnation == "x"


def make_engine_member(incarnation, leaving):
    return Member("e0", MemberKind.ENGINE, "", "north", incarnation, leaving)


def mark_by_report(session):
    session.report("e0", "x", leaving=True)


def mark_by_refusal(session):
    session.report("e0", "x")
    start = session.arrive()
    failed = ev.AttemptFailed(0, start.attempt_id, "e0", Cause.LEAVING, 0)
    session.send(failed)


def mark_by_list(session):
    session.send(ev.MembersListed(0, (make_engine_member("x", True),)))


def mark_by_peer(session):
    session.report("e0", "x")
    session.receive_digest(marks=(LeavingMark("e0", "x"),))


@pytest.mark.parametrize("mark", [mark_by_report, mark_by_refusal, mark_by_list, mark_by_peer])
def test_leaving_mark_lasts_until_a_newer_incarnation_is_not_leaving(mark):
    session = Session()
    mark(session)
    assert session.state.engines["e0"].leaving
    session.report("e0", "x", leaving=False)
    session.send(ev.MembersListed(0, (make_engine_member("x", False),)))
    session.receive_digest(marks=())
    assert session.state.engines["e0"].leaving
    assert LeavingMark("e0", "x") in last_digest(session).leaving_upstreams
    session.report("e0", "y")
    session.receive_digest(marks=(LeavingMark("e0", "x"),))
    session.send(ev.MembersListed(0, (make_engine_member("x", True),)))
    assert not session.state.engines["e0"].leaving


def last_digest(session):
    session.pass_time(300)
    return [e.digest for _, e in session.effects if isinstance(e, fx.SendDigest)][-1]


def test_peer_mark_of_an_unknown_incarnation_expires_with_the_peer():
    session = Session()
    session.receive_digest(marks=(LeavingMark("e0", "z"),))
    assert session.state.engines["e0"].leaving
    session.pass_time(12_000)
    assert not session.state.engines["e0"].leaving


def test_late_and_repeated_digests_are_ignored_per_incarnation():
    session = Session()
    session.receive_digest(sequence=5)
    session.receive_digest(sequence=4, marks=(LeavingMark("e0", "z"),))
    session.receive_digest(sequence=5, marks=(LeavingMark("e0", "z"),))
    assert not session.state.engines["e0"].leaving
    session.receive_digest(replace(PEER_IDENTITY, incarnation="2"), sequence=1)
    assert set(session.state.peers) == {"b.1", "b.2"}


def test_stream_of_an_unknown_own_attempt_is_cancelled_after_its_grace_period():
    session = Session()
    stream = make_stream_report("a.1.99")
    for _ in range(12):
        session.pass_time(250)
        session.report("e0", streams=[stream])
    assert session.effect_times(fx.CancelStream)[0] in range(2_000, 3_000)


def test_streams_claimed_by_a_live_peer_are_not_cancelled():
    session = Session()
    for _ in range(100):
        session.pass_time(250)
        session.receive_digest(uses=(EngineUse("e0", 1, 1_010, 0),))
        session.report("e0", streams=[make_stream_report("b.1.1", PEER_IDENTITY)])
    assert not session.effect_times(fx.CancelStream)


def test_streams_of_an_active_incarnation_without_digests_are_not_cancelled():
    session = Session()
    for number in range(400):
        session.pass_time(250)
        session.report(
            "e0",
            streams=[
                make_stream_report(f"b.1.{number}", PEER_IDENTITY),
                make_stream_report("b.1.x", PEER_IDENTITY),
            ],
        )
    assert not session.effect_times(fx.CancelStream)
