"""Grants: permission from the owner of an engine to start a large request on it.

An instance that wants to start a large request sends an ask (``GrantAsk``) to the owner first. It
counts the memory as its own use before it asks, so its own view is exact, but its digest shows the
memory only after the attempt has started. The owner counts all use that it knows of plus the grants
that have not expired. Grants only reduce refusals: the engine itself decides whether it accepts a
request, so a grant that is lost, late or given by two owners costs time and nothing else.

A request too large for one engine runs on several engines, a span. All engines of one data centre
that serve the same models form a group, which has an owner too. This owner grants one span at a
time, so that two spans cannot block each other by each using part of the engines that both need.
"""

from __future__ import annotations

from dataclasses import dataclass

from pyrsistent import PMap, pmap, pset

from lentilwell._inventory import Engine
from lentilwell._messages import GrantAnswer, GrantAsk
from lentilwell.decisions._deferrals import defer_request
from lentilwell.decisions._digests import DIGEST_INTERVAL_MS
from lentilwell.decisions._free_capacity import free_memory, needs_grant
from lentilwell.decisions._health import store_view
from lentilwell.decisions._ownership import find_owner, has_live_peers
from lentilwell.decisions._queues import enqueue
from lentilwell.decisions._termination import release_attempt
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

ASK_TIMEOUT_MS = 400
STALE_ASK_AFTER_MS = 1_000
GRANT_VALID_MS = 600
RETRY_MS = 300
MAX_GRANTS = 1_024


@dataclass(frozen=True)
class AskTimeout(Timer):
    """Timer for the timeout of an ask to the owner."""

    attempt_id: str


@dataclass(frozen=True)
class GrantExpiry(Timer):
    """Timer for the expiry of a grant that this instance has given."""

    key: str
    grant_id: str


def begin_attempt(state: State, attempt: Attempt) -> Step:
    """Start an attempt, or ask for its grant first if it is large and a peer owns its engine."""
    state = index_attempt(state, attempt)
    owner = find_grant_owner(state, attempt)
    if owner is None:
        return state, (make_start_effect(attempt),)
    primary = attempt.placements[0].engine
    memory = sum(share.memory_tokens for share in attempt.placements)
    wait_ms = state.now - attempt.request.arrived_at
    ask = GrantAsk(attempt.attempt_id, state.identity, primary, memory, wait_ms)
    pending = PendingAsk(attempt.attempt_id, owner, state.now)
    state = replace(state, asks=state.asks.set(attempt.attempt_id, pending))
    state = schedule_timer(state, state.now + ASK_TIMEOUT_MS, AskTimeout(attempt.attempt_id))
    return state, (AskGrant(owner, ask),)


def index_attempt(state: State, attempt: Attempt) -> State:
    """Add an attempt to the index of attempts by engine."""
    by_engine = state.by_engine
    for share in attempt.placements:
        by_engine = by_engine.set(
            share.engine, by_engine.get(share.engine, pset()).add(attempt.attempt_id)
        )
    return replace(state, by_engine=by_engine)


def find_grant_owner(state: State, attempt: Attempt) -> str | None:
    """Return the peer to ask for a grant, or None if the attempt needs no grant from a peer."""
    view = state.engines[attempt.placements[0].engine]
    memory = attempt.request.memory_tokens
    if not needs_grant(memory, view) or not has_live_peers(state):
        return None
    owner = find_owner(state, grant_key(view.spec, memory), view.spec.data_centre)
    return None if owner == state.identity.instance else owner


def grant_key(primary: Engine, memory_tokens: int) -> str:
    """Return the key of a grant: the engine's name, or for a span the key of its engine group."""
    if memory_tokens <= primary.memory_tokens:
        return primary.name
    return engine_group_key(primary)


def engine_group_key(primary: Engine) -> str:
    """Return the key of the engines in ``primary``'s data centre that serve the same models."""
    return f"{primary.data_centre}/{','.join(primary.models)}"


def make_start_effect(attempt: Attempt) -> StartAttempt:
    """Return the effect that opens the streams of an attempt."""
    return StartAttempt(
        attempt.attempt_id,
        attempt.request,
        attempt.placements,
        attempt.priority,
        attempt.first_index,
    )


@handles(GrantAnswered)
def handle_grant_answer(state: State, event: GrantAnswered) -> Step:
    """Start the attempt if the grant came in time; requeue its request if refused or too late."""
    answer = event.answer
    ask = state.asks.get(answer.grant_id)
    if ask is None:
        return state, ()
    elapsed_ms = state.now - ask.asked_at
    if answer.granted and elapsed_ms <= min(STALE_ASK_AFTER_MS, ASK_TIMEOUT_MS + answer.valid_ms):
        return start_pending_attempt(state, ask)
    return requeue(state, ask, answer.retry_ms if not answer.granted else 0), ()


@handles(GrantUnanswered)
def handle_unanswered_ask(state: State, event: GrantUnanswered) -> Step:
    """Decide without a grant, since the owner could not be reached."""
    ask = state.asks.get(event.grant_id)
    return (state, ()) if ask is None else decide_without_grant(state, ask)


@handles_timer(AskTimeout)
def handle_ask_timeout(state: State, timer: AskTimeout) -> Step:
    """Decide without a grant, since the owner did not answer in time."""
    ask = state.asks.get(timer.attempt_id)
    return (state, ()) if ask is None else decide_without_grant(state, ask)


def decide_without_grant(state: State, ask: PendingAsk) -> Step:
    """Start the attempt by this instance's own view of the engines, without the owner's grant.

    The request is requeued instead if the placement is older than ``STALE_ASK_AFTER_MS``, for
    example after the process was paused.
    """
    if state.now - ask.asked_at > STALE_ASK_AFTER_MS:
        return requeue(state, ask, 0), ()
    return start_pending_attempt(state, ask)


def start_pending_attempt(state: State, ask: PendingAsk) -> Step:
    """Start an attempt that waited for a grant, or requeue it if an engine is not eligible now."""
    attempt = state.attempts[ask.attempt_id]
    if not all(is_still_eligible(state, attempt, share.engine) for share in attempt.placements):
        return requeue(state, ask, 0), ()
    delay_ms = state.now - attempt.started_at
    attempt = replace(attempt, started_at=state.now, ends_at=attempt.ends_at + delay_ms)
    state = replace(
        state,
        asks=state.asks.remove(ask.attempt_id),
        attempts=state.attempts.set(ask.attempt_id, attempt),
    )
    return state, (make_start_effect(attempt),)


def is_still_eligible(state: State, attempt: Attempt, engine: str) -> bool:
    """Return whether the current inventory and the engine's state still allow an attempt."""
    inventory = state.inventory
    view = state.engines.get(engine)
    if inventory is None or view is None or engine not in inventory.engines:
        return False
    team = inventory.teams.get(attempt.request.team)
    if team is None or (team.engines and engine not in team.engines):
        return False
    return not view.leaving and attempt.request.model in view.spec.models


def requeue(state: State, ask: PendingAsk, retry_ms: int) -> State:
    """Release the attempt and put its request back at the front of the queue.

    ``retry_ms`` is positive if the owner refused the grant. A request for a span is then deferred;
    for any other request, its engine counts as crowded for ``retry_ms``.
    """
    attempt = state.attempts[ask.attempt_id]
    request = attempt.request
    state = release_attempt(state, ask.attempt_id)
    view = state.engines.get(attempt.placements[0].engine)
    if retry_ms > 0 and len(attempt.placements) > 1:
        state = defer_request(state, request.request_id, retry_ms)
    elif retry_ms > 0 and view is not None:
        state = store_view(state, replace(view, crowded_until=state.now + retry_ms))
    waiting = WaitingRequest(request, attempt.tokens, attempt.failures)
    return enqueue(state, waiting, at_front=True)


@handles(GrantAsked)
def answer_ask(state: State, event: GrantAsked) -> Step:
    """Answer a peer's ask as the owner of the engine.

    A grant that is given is counted as used memory until it expires; by then the peer's digest
    shows the memory. A repeated ask for a grant that has not expired is granted again.
    """
    ask = event.ask
    view = state.engines.get(ask.engine)
    peer = ask.sender.instance
    if view is None:
        return state, (_make_answer(ask, peer, granted=False),)
    key = grant_key(view.spec, ask.memory_tokens)
    valid_grants = _find_valid_grants(state, key)
    granted = ask.grant_id in valid_grants or (
        is_membership_settled(state) and can_grant(state, view, ask, valid_grants)
    )
    if granted and ask.grant_id not in valid_grants:
        expires_at = state.now + GRANT_VALID_MS
        grant = IssuedGrant(ask, expires_at)
        grants = state.grants.set(key, valid_grants.set(ask.grant_id, grant))
        state = replace(state, grants=grants)
        state = schedule_timer(state, expires_at, GrantExpiry(key, ask.grant_id))
    return state, (_make_answer(ask, peer, granted),)


@handles_timer(GrantExpiry)
def expire_grant(state: State, timer: GrantExpiry) -> Step:
    """Remove an expired grant: the peer's digest shows its use by now, or it was not used."""
    valid_grants = state.grants.get(timer.key, pmap()).discard(timer.grant_id)
    grants = state.grants
    grants = grants.set(timer.key, valid_grants) if valid_grants else grants.discard(timer.key)
    return replace(state, grants=grants), ()


def is_membership_settled(state: State) -> bool:
    """Return whether all live peers had time to send a digest since the last membership change."""
    return state.now - state.members_changed_at > DIGEST_INTERVAL_MS


def can_grant(
    state: State, view: EngineView, ask: GrantAsk, valid_grants: PMap[str, IssuedGrant]
) -> bool:
    """Return whether an ask can be granted in addition to the unexpired grants.

    An ask for more memory than the engine has is for a span; one span is granted at a time.
    """
    if view.leaving or len(valid_grants) >= MAX_GRANTS:
        return False
    if ask.memory_tokens > view.spec.memory_tokens:
        return not valid_grants
    return free_memory(state, view) >= ask.memory_tokens


def _find_valid_grants(state: State, key: str) -> PMap[str, IssuedGrant]:
    valid_grants = state.grants.get(key, pmap())
    for grant_id, grant in valid_grants.items():
        if grant.expires_at <= state.now:
            valid_grants = valid_grants.remove(grant_id)
    return valid_grants


def _make_answer(ask: GrantAsk, peer: str, granted: bool) -> Effect:
    answer = GrantAnswer(ask.grant_id, ask.engine, granted, GRANT_VALID_MS, RETRY_MS)
    return AnswerGrant(peer, answer)
