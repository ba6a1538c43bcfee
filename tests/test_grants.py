"""Grants for long readings: asked of the owner, and never more than a matter of time."""

from dataclasses import replace

import pytest

from lentilwell import Identity
from lentilwell._messages import EngineUse, GrantAnswer, GrantAsk
from lentilwell.decisions._ownership import find_owner
from lentilwell.reducer import _effects as fx
from lentilwell.reducer import _events as ev
from tests.fleet import MEMORY, make_inventory
from tests.test_recovery import PEER, Session, find

LONG = 60_000


def make_session(**inventory):
    session = Session(make_inventory(**inventory))
    session.hear()
    session.pass_time(300)
    return session


def pass_time(session, ms, uses=()):
    """Let time pass while the peer goes on sending its digests."""
    for _ in range(0, ms, 200):
        session.pass_time(200)
        session.hear(uses=uses)


def ask_peer(session, prompt=LONG, team="open"):
    """Let a long reading arrive that asks the peer; return the ask and the attempt's id."""
    for number in range(20):
        session.arrive(f"r{session.now}.{number}", prompt, team=team)
        asked = [effect for _, effect in session.effects if isinstance(effect, fx.AskGrant)]
        if asked:
            return asked[-1]
    raise AssertionError("no engine is owned by the peer")


def answer(session, ask, granted, valid_ms=600):
    grant = GrantAnswer(ask.ask.grant_id, ask.ask.engine, granted, valid_ms, 300)
    return session.send(ev.GrantAnswered(0, grant))


def test_short_request_never_asks_and_long_one_asks_the_owner_first():
    session = make_session()
    assert session.arrive("s", 1_000) is not None
    ask = ask_peer(session)
    assert ask.owner == "b" == find_owner(session.state, ask.ask.engine, "north")
    digest = [e.digest for _, e in session.effects if isinstance(e, fx.SendDigest)][-1]
    assert all(use.memory_tokens < LONG for use in digest.uses)
    start = find(answer(session, ask, granted=True), fx.StartAttempt)
    assert start.attempt_id == ask.ask.grant_id and not session.state.asks
    session.pass_time(300)
    digest = [e.digest for _, e in session.effects if isinstance(e, fx.SendDigest)][-1]
    assert any(use.memory_tokens >= LONG for use in digest.uses)


def test_alone_nobody_is_asked():
    session = Session()
    assert session.arrive("r", LONG) is not None


@pytest.mark.parametrize("unanswered", ["event", "silence"])
def test_without_an_answer_the_own_view_decides(unanswered):
    session = make_session()
    ask = ask_peer(session)
    if unanswered == "event":
        effects = session.send(ev.GrantUnanswered(0, ask.ask.grant_id, ask.ask.engine))
        assert find(effects, fx.StartAttempt).attempt_id == ask.ask.grant_id
    session.pass_time(500)
    started = [e.attempt_id for _, e in session.effects if isinstance(e, fx.StartAttempt)]
    assert ask.ask.grant_id in started


def test_refused_reading_tries_another_engine():
    session = make_session()
    ask = ask_peer(session)
    effects = answer(session, ask, granted=False)
    again = find(effects, fx.AskGrant) or find(effects, fx.StartAttempt)
    engine = again.ask.engine if isinstance(again, fx.AskGrant) else again.placements[0].engine
    assert engine != ask.ask.engine


@pytest.mark.parametrize("late", ["answer", "timer", "unanswered"])
def test_stale_ask_after_a_pause_is_not_used(late):
    session = make_session()
    ask = ask_peer(session)
    session.now += 10_000
    if late == "answer":
        effects = answer(session, ask, granted=True)
    elif late == "unanswered":
        effects = session.send(ev.GrantUnanswered(0, ask.ask.grant_id, ask.ask.engine))
    else:
        effects = session.send(ev.TickPassed(0))
    started = [e.attempt_id for e in effects if isinstance(e, fx.StartAttempt)]
    assert ask.ask.grant_id not in started and ask.ask.grant_id not in session.state.attempts


def test_caller_gone_while_asking_leaves_nothing():
    session = make_session()
    ask = ask_peer(session)
    request_id = session.state.attempts[ask.ask.grant_id].request.request_id
    assert session.send(ev.CallerGone(0, request_id)) == ()
    view = session.state.engines[ask.ask.engine]
    assert (view.own_streams, view.own_memory, view.own_backlog) == (0, 0, 0)
    assert answer(session, ask, granted=True) == ()


def test_sharing_rule_changed_while_asking_is_kept():
    session = make_session()
    ask = ask_peer(session, team="bound")
    allowed = tuple(e for e in ("e0", "e1", "e3") if e != ask.ask.engine)
    changed = make_inventory(2, teams={"open": (), "bound": allowed})
    session.send(ev.InventoryAccepted(0, changed))
    answer(session, ask, granted=True)
    started = [e for _, e in session.effects if isinstance(e, fx.StartAttempt)]
    assert all(e.placements[0].engine != ask.ask.engine for e in started[-1:])
    assert ask.ask.grant_id not in session.state.attempts


def ask_owner(session, grant_id, engine="e0", memory=LONG, sender=PEER):
    """Ask this session as the owner; return whether it granted."""
    ask = GrantAsk(grant_id, sender, engine, memory, 0)
    effects = session.send(ev.GrantAsked(0, ask))
    return find(effects, fx.AnswerGrant).answer.granted


def test_owner_counts_grants_uses_and_its_own_readings():
    session = make_session()
    other = Identity("c", "1", "north")
    assert ask_owner(session, "b.1.1") and ask_owner(session, "b.1.1")
    assert not ask_owner(session, "c.1.1", sender=other)
    pass_time(session, 800, uses=(EngineUse("e0", 1, LONG, 0),))
    assert not session.state.grants
    assert not ask_owner(session, "c.1.2", sender=other)
    session.hear(uses=())
    assert ask_owner(session, "c.1.3", sender=other)


def test_owner_that_takes_over_waits_for_digests_first():
    session = Session()
    session.hear()
    assert not ask_owner(session, "b.1.1")
    session.pass_time(300)
    assert ask_owner(session, "b.1.2")
    session.pass_time(100)
    session.hear(replace(PEER, instance="c"))
    assert not ask_owner(session, "b.1.3", "e1")


def test_only_one_span_of_a_place_is_taken_at_a_time():
    session = make_session()
    assert ask_owner(session, "b.1.1", memory=2 * MEMORY)
    assert not ask_owner(session, "c.1.1", memory=2 * MEMORY, sender=Identity("c", "1", "north"))
    pass_time(session, 800)
    assert ask_owner(session, "c.1.2", memory=2 * MEMORY, sender=Identity("c", "1", "north"))


def test_no_grant_on_a_leaving_or_unknown_engine():
    session = make_session()
    session.report("e0", leaving=True)
    assert not ask_owner(session, "b.1.1") and not ask_owner(session, "b.1.2", "nowhere")
