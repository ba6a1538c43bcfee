"""Grants for large requests: the owner of the engine is asked first.

Guards against memory granted twice and against requests or memory lost with an unanswered ask.
"""

from dataclasses import replace

import pytest

from lentilwell import Identity
from lentilwell._messages import EngineUse, GrantAnswer, GrantAsk
from lentilwell.decisions._ownership import find_owner
from lentilwell.reducer import _effects as fx
from lentilwell.reducer import _events as ev
from tests.fleet import MEMORY, make_inventory
from tests.test_recovery import PEER_IDENTITY, Session, find_effect

LARGE_PROMPT = 60_000


def make_session(**inventory):
    session = Session(make_inventory(**inventory))
    session.receive_digest()
    session.pass_time(300)
    return session


def pass_time(session, ms, uses=()):
    """Advance the time while the peer sends a digest every 200 ms."""
    for _ in range(0, ms, 200):
        session.pass_time(200)
        session.receive_digest(uses=uses)


def make_peer_ask(session, prompt=LARGE_PROMPT, team="open"):
    """Send large requests until one asks the peer for a grant; return that ask."""
    for number in range(20):
        session.arrive(f"r{session.now}.{number}", prompt, team=team)
        asked = [effect for _, effect in session.effects if isinstance(effect, fx.AskGrant)]
        if asked:
            return asked[-1]
    raise AssertionError("no engine is owned by the peer")


def answer_peer_ask(session, ask, granted, valid_ms=600):
    grant = GrantAnswer(ask.ask.grant_id, ask.ask.engine, granted, valid_ms, 300)
    return session.send(ev.GrantAnswered(0, grant))


def test_small_request_needs_no_grant_and_large_one_asks_the_owner():
    session = make_session()
    assert session.arrive("s", 1_000) is not None
    ask = make_peer_ask(session)
    assert ask.owner == "b" == find_owner(session.state, ask.ask.engine, "north")
    digest = [e.digest for _, e in session.effects if isinstance(e, fx.SendDigest)][-1]
    assert all(use.memory_tokens < LARGE_PROMPT for use in digest.uses)
    start = find_effect(answer_peer_ask(session, ask, granted=True), fx.StartAttempt)
    assert start.attempt_id == ask.ask.grant_id and not session.state.asks
    session.pass_time(300)
    digest = [e.digest for _, e in session.effects if isinstance(e, fx.SendDigest)][-1]
    assert any(use.memory_tokens >= LARGE_PROMPT for use in digest.uses)


def test_single_instance_asks_nobody():
    session = Session()
    assert session.arrive("r", LARGE_PROMPT) is not None


@pytest.mark.parametrize("unanswered", ["event", "silence"])
def test_attempt_without_an_answer_starts_by_the_own_view(unanswered):
    session = make_session()
    ask = make_peer_ask(session)
    if unanswered == "event":
        effects = session.send(ev.GrantUnanswered(0, ask.ask.grant_id, ask.ask.engine))
        assert find_effect(effects, fx.StartAttempt).attempt_id == ask.ask.grant_id
    session.pass_time(500)
    started = [e.attempt_id for _, e in session.effects if isinstance(e, fx.StartAttempt)]
    assert ask.ask.grant_id in started


def test_refused_grant_tries_another_engine():
    session = make_session()
    ask = make_peer_ask(session)
    effects = answer_peer_ask(session, ask, granted=False)
    again = find_effect(effects, fx.AskGrant) or find_effect(effects, fx.StartAttempt)
    engine = again.ask.engine if isinstance(again, fx.AskGrant) else again.placements[0].engine
    assert engine != ask.ask.engine


@pytest.mark.parametrize("late", ["answer", "timer", "unanswered"])
def test_stale_ask_after_a_pause_is_not_used(late):
    session = make_session()
    ask = make_peer_ask(session)
    session.now += 10_000
    if late == "answer":
        effects = answer_peer_ask(session, ask, granted=True)
    elif late == "unanswered":
        effects = session.send(ev.GrantUnanswered(0, ask.ask.grant_id, ask.ask.engine))
    else:
        effects = session.send(ev.TickPassed(0))
    started = [e.attempt_id for e in effects if isinstance(e, fx.StartAttempt)]
    assert ask.ask.grant_id not in started and ask.ask.grant_id not in session.state.attempts


def test_caller_gone_while_asking_releases_everything():
    session = make_session()
    ask = make_peer_ask(session)
    request_id = session.state.attempts[ask.ask.grant_id].request.request_id
    assert session.send(ev.CallerGone(0, request_id)) == ()
    view = session.state.engines[ask.ask.engine]
    assert (view.own_streams, view.own_memory, view.own_backlog) == (0, 0, 0)
    assert answer_peer_ask(session, ask, granted=True) == ()


def test_sharing_rule_changed_while_asking_is_respected():
    session = make_session()
    ask = make_peer_ask(session, team="bound")
    allowed = tuple(e for e in ("e0", "e1", "e3") if e != ask.ask.engine)
    changed = make_inventory(2, teams={"open": (), "bound": allowed})
    session.send(ev.InventoryAccepted(0, changed))
    answer_peer_ask(session, ask, granted=True)
    started = [e for _, e in session.effects if isinstance(e, fx.StartAttempt)]
    assert all(e.placements[0].engine != ask.ask.engine for e in started[-1:])
    assert ask.ask.grant_id not in session.state.attempts


def ask_session(session, grant_id, engine="e0", memory=LARGE_PROMPT, sender=PEER_IDENTITY):
    """Ask the session as owner of the engine for a grant; return whether it was granted."""
    ask = GrantAsk(grant_id, sender, engine, memory, 0)
    effects = session.send(ev.GrantAsked(0, ask))
    return find_effect(effects, fx.AnswerGrant).answer.granted


def test_owner_counts_grants_and_reported_use():
    session = make_session()
    other = Identity("c", "1", "north")
    assert ask_session(session, "b.1.1") and ask_session(session, "b.1.1")
    assert not ask_session(session, "c.1.1", sender=other)
    pass_time(session, 800, uses=(EngineUse("e0", 1, LARGE_PROMPT, 0),))
    assert not session.state.grants
    assert not ask_session(session, "c.1.2", sender=other)
    session.receive_digest(uses=())
    assert ask_session(session, "c.1.3", sender=other)


def test_new_owner_waits_for_digests_before_granting():
    session = Session()
    session.receive_digest()
    assert not ask_session(session, "b.1.1")
    session.pass_time(300)
    assert ask_session(session, "b.1.2")
    session.pass_time(100)
    session.receive_digest(replace(PEER_IDENTITY, instance="c"))
    assert not ask_session(session, "b.1.3", "e1")


def test_one_span_per_engine_group_is_granted_at_a_time():
    session = make_session()
    assert ask_session(session, "b.1.1", memory=2 * MEMORY)
    assert not ask_session(session, "c.1.1", memory=2 * MEMORY, sender=Identity("c", "1", "north"))
    pass_time(session, 800)
    assert ask_session(session, "c.1.2", memory=2 * MEMORY, sender=Identity("c", "1", "north"))


def test_no_grant_on_a_leaving_or_unknown_engine():
    session = make_session()
    session.report("e0", leaving=True)
    assert not ask_session(session, "b.1.1") and not ask_session(session, "b.1.2", "nowhere")
