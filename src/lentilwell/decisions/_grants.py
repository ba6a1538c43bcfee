"""Grants: a long reading asks the owner of its engine for memory before it starts.

The asker books the memory first, so its own view is exact, but its digest shows the booking only
once the attempt has started. The owner counts all that it knows is in use, and the grants that are
still on their way into use. Grants save refusals; the engine's refusal is the final word, so a
grant that is lost, late or given by two owners costs time only. A span asks the owner of its place
for the right to take its engines, which one reading has at a time, and so two never hold halves.
"""

from __future__ import annotations

from dataclasses import dataclass

from pyrsistent import PMap, pmap, pset

from lentilwell._inventory import Engine
from lentilwell._messages import GrantAnswer, GrantAsk
from lentilwell.decisions._digests import DIGEST_INTERVAL_MS
from lentilwell.decisions._ending import release
from lentilwell.decisions._free_capacity import free_memory, needs_grant
from lentilwell.decisions._health import store_view
from lentilwell.decisions._holds import hold_request
from lentilwell.decisions._owners import find_owner, has_live_peers
from lentilwell.decisions._queues import enqueue
from lentilwell.reducer import (
    AnswerGrant,
    AskGrant,
    Attempt,
    Effect,
    EngineView,
    GrantAnswered,
    GrantAsked,
    GrantUnanswered,
    IssuedGrant,
    PendingAsk,
    StartAttempt,
    State,
    Step,
    Timer,
    WaitingRequest,
    handles,
    handles_timer,
    replace,
    schedule_timer,
)

ASK_PATIENCE_MS = 400
STALE_ASK_MS = 1_000
GRANT_VALID_MS = 600
RETRY_MS = 300
MAXIMUM_GRANTS = 1_024


@dataclass(frozen=True)
class AskDue(Timer):
    """The owner's answer should have come by now."""

    attempt_id: str


@dataclass(frozen=True)
class GrantDue(Timer):
    """A grant that was given runs out."""

    key: str
    grant_id: str


def begin_attempt(state: State, attempt: Attempt) -> Step:
    """Start a booked attempt, or ask for its grant first where it is a long reading."""
    state = index_attempt(state, attempt)
    owner = find_granter(state, attempt)
    if owner is None:
        return state, (start_effect(attempt),)
    lead = attempt.placements[0].engine
    memory = sum(share.memory_tokens for share in attempt.placements)
    wait_ms = state.now - attempt.request.arrived_at
    ask = GrantAsk(attempt.attempt_id, state.identity, lead, memory, wait_ms)
    pending = PendingAsk(attempt.attempt_id, owner, state.now)
    state = replace(state, asks=state.asks.set(attempt.attempt_id, pending))
    state = schedule_timer(state, state.now + ASK_PATIENCE_MS, AskDue(attempt.attempt_id))
    return state, (AskGrant(owner, ask),)


def index_attempt(state: State, attempt: Attempt) -> State:
    """Note on which engines an attempt is."""
    by_engine = state.by_engine
    for share in attempt.placements:
        by_engine = by_engine.set(
            share.engine, by_engine.get(share.engine, pset()).add(attempt.attempt_id)
        )
    return replace(state, by_engine=by_engine)


def find_granter(state: State, attempt: Attempt) -> str | None:
    """Return the peer to ask, or None where the attempt may start by this instance's own view."""
    view = state.engines[attempt.placements[0].engine]
    memory = attempt.request.memory_tokens
    if not needs_grant(memory, view) or not has_live_peers(state):
        return None
    owner = find_owner(state, grant_key(view.spec, memory), view.spec.data_centre)
    return None if owner == state.identity.instance else owner


def grant_key(lead: Engine, memory_tokens: int) -> str:
    """Return what an ask is for: one engine, or the place where a span is taken."""
    if memory_tokens <= lead.memory_tokens:
        return lead.name
    return place_key(lead)


def place_key(lead: Engine) -> str:
    """Return the key of the engines of one data centre that serve the same models."""
    return f"{lead.data_centre}/{','.join(lead.models)}"


def start_effect(attempt: Attempt) -> StartAttempt:
    """Return the effect that opens the streams of an attempt."""
    return StartAttempt(
        attempt.attempt_id,
        attempt.request,
        attempt.placements,
        attempt.priority,
        attempt.first_index,
    )


@handles(GrantAnswered)
def take_answer(state: State, event: GrantAnswered) -> Step:
    """Start with a grant; go back to the queue with a refusal or one that came too late."""
    answer = event.answer
    ask = state.asks.get(answer.grant_id)
    if ask is None:
        return state, ()
    late_ms = state.now - ask.asked_at
    if answer.granted and late_ms <= min(STALE_ASK_MS, ASK_PATIENCE_MS + answer.valid_ms):
        return start_asked(state, ask)
    return put_back(state, ask, answer.retry_ms if not answer.granted else 0), ()


@handles(GrantUnanswered)
def miss_answer(state: State, event: GrantUnanswered) -> Step:
    """The owner cannot be reached: decide alone."""
    ask = state.asks.get(event.grant_id)
    return (state, ()) if ask is None else decide_alone(state, ask)


@handles_timer(AskDue)
def end_patience(state: State, timer: AskDue) -> Step:
    """No answer came in time: decide alone."""
    ask = state.asks.get(timer.attempt_id)
    return (state, ()) if ask is None else decide_alone(state, ask)


def decide_alone(state: State, ask: PendingAsk) -> Step:
    """Start by this instance's own view, if that is still the view it was booked by."""
    if state.now - ask.asked_at > STALE_ASK_MS:
        return put_back(state, ask, 0), ()
    return start_asked(state, ask)


def start_asked(state: State, ask: PendingAsk) -> Step:
    """Start an attempt that asked, if its engines may still take it."""
    attempt = state.attempts[ask.attempt_id]
    if not all(may_still_take(state, attempt, share.engine) for share in attempt.placements):
        return put_back(state, ask, 0), ()
    waited_ms = state.now - attempt.started_at
    attempt = replace(attempt, started_at=state.now, ends_at=attempt.ends_at + waited_ms)
    state = replace(
        state,
        asks=state.asks.remove(ask.attempt_id),
        attempts=state.attempts.set(ask.attempt_id, attempt),
    )
    return state, (start_effect(attempt),)


def may_still_take(state: State, attempt: Attempt, engine: str) -> bool:
    """Tell whether the configuration in force and the engine still allow an attempt."""
    inventory = state.inventory
    view = state.engines.get(engine)
    if inventory is None or view is None or engine not in inventory.engines:
        return False
    team = inventory.teams.get(attempt.request.team)
    if team is None or (team.engines and engine not in team.engines):
        return False
    return not view.leaving and attempt.request.model in view.spec.models


def put_back(state: State, ask: PendingAsk, retry_ms: int) -> State:
    """Give back what was booked; the request goes on waiting, and shuns the engine shortly."""
    attempt = state.attempts[ask.attempt_id]
    request = attempt.request
    state = release(state, ask.attempt_id)
    view = state.engines.get(attempt.placements[0].engine)
    if retry_ms > 0 and len(attempt.placements) > 1:
        state = hold_request(state, request.request_id, retry_ms)
    elif retry_ms > 0 and view is not None:
        state = store_view(state, replace(view, crowded_until=state.now + retry_ms))
    again = WaitingRequest(request, attempt.tokens, attempt.failures)
    return enqueue(state, again, at_front=True)


@handles(GrantAsked)
def answer_ask(state: State, event: GrantAsked) -> Step:
    """Grant what fits by this owner's view, and remember it until it must be in use."""
    ask = event.ask
    view = state.engines.get(ask.engine)
    peer = ask.sender.instance
    if view is None:
        return state, (_answer(ask, peer, granted=False),)
    key = grant_key(view.spec, ask.memory_tokens)
    given = _unexpired(state, key)
    granted = ask.grant_id in given or (is_settled(state) and fits(state, view, ask, given))
    if granted and ask.grant_id not in given:
        expires_at = state.now + GRANT_VALID_MS
        grant = IssuedGrant(ask, expires_at)
        grants = state.grants.set(key, given.set(ask.grant_id, grant))
        state = replace(state, grants=grants)
        state = schedule_timer(state, expires_at, GrantDue(key, ask.grant_id))
    return state, (_answer(ask, peer, granted),)


@handles_timer(GrantDue)
def expire_grant(state: State, timer: GrantDue) -> Step:
    """Forget a grant: its asker's digest shows the use by now, or it was not used."""
    given = state.grants.get(timer.key, pmap()).discard(timer.grant_id)
    grants = state.grants
    grants = grants.set(timer.key, given) if given else grants.discard(timer.key)
    return replace(state, grants=grants), ()


def is_settled(state: State) -> bool:
    """Tell whether digests of all live peers had time to come since the members changed."""
    return state.now - state.members_changed_at > DIGEST_INTERVAL_MS


def fits(state: State, view: EngineView, ask: GrantAsk, given: PMap[str, IssuedGrant]) -> bool:
    """Tell whether an ask can be granted beside the grants that were given already."""
    if view.leaving or len(given) >= MAXIMUM_GRANTS:
        return False
    if ask.memory_tokens > view.spec.memory_tokens:
        return not given
    return free_memory(state, view) >= ask.memory_tokens


def _unexpired(state: State, key: str) -> PMap[str, IssuedGrant]:
    given = state.grants.get(key, pmap())
    for grant_id, grant in given.items():
        if grant.expires_at <= state.now:
            given = given.remove(grant_id)
    return given


def _answer(ask: GrantAsk, peer: str, granted: bool) -> Effect:
    answer = GrantAnswer(ask.grant_id, ask.engine, granted, GRANT_VALID_MS, RETRY_MS)
    return AnswerGrant(peer, answer)
