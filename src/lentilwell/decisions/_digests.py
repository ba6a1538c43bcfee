"""Digests: summaries of engine use that the entry instances send each other every 250 ms.

The digests of each incarnation of a peer are stored separately, so a late digest of an old
incarnation does not affect the new one. The use by all peers is kept as a running sum per engine.
"""

from __future__ import annotations

from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._messages import Digest, EngineUse
from lentilwell.decisions._leaving import list_leaving_marks, update_peer_marks
from lentilwell.decisions._ownership import DEAD_AFTER_MS, SUSPECT_AFTER_MS, is_live, silence_ms
from lentilwell.reducer import (
    DigestReceived,
    PeerView,
    SendDigest,
    State,
    Step,
    Timer,
    handles,
    handles_timer,
    replace,
    schedule_timer,
)

DIGEST_INTERVAL_MS = 250
MAX_USES = 2_048
CLEAR_USES_AFTER_MS = DEAD_AFTER_MS + 5_000
REMOVE_PEER_AFTER_MS = 60_000


@dataclass(frozen=True)
class PeerCheckDue(Timer):
    """Timer that checks whether an incarnation of a peer has gone silent.

    ``life`` is the id of the incarnation: its instance name and incarnation, joined by a dot.
    """

    life: str


def send_digest(state: State) -> Step:
    """Send a digest if the next one is due."""
    if state.now < state.digest_due_at:
        return state, ()
    state = replace(
        state,
        digest_sequence=state.digest_sequence + 1,
        digest_due_at=state.now + DIGEST_INTERVAL_MS,
    )
    return state, (SendDigest(make_digest(state)),)


def make_digest(state: State) -> Digest:
    """Return the digest of this instance, with the ``MAX_USES`` engines that it uses most."""
    uses = sorted(list_engine_uses(state), key=lambda use: (-use.memory_tokens, use.engine))
    return Digest(
        sender=state.identity,
        sequence=state.digest_sequence,
        configuration=0 if state.inventory is None else state.inventory.version,
        leaving=state.draining,
        uses=tuple(uses[:MAX_USES]),
        leaving_upstreams=list_leaving_marks(state),
        waiting=len(state.waiting),
        waiting_tokens=sum(w.request.memory_tokens for w in state.waiting.values()),
    )


def list_engine_uses(state: State) -> list[EngineUse]:
    """Return this instance's use of each engine, without attempts that still wait for a grant."""
    unstarted: dict[str, EngineUse] = {}
    for attempt_id in state.asks:
        for share in state.attempts[attempt_id].placements:
            use = EngineUse(share.engine, 1, share.memory_tokens, share.memory_tokens)
            unstarted[share.engine] = add_use(unstarted.get(share.engine), use, 1)
    uses: list[EngineUse] = []
    for engine in state.by_engine:
        view = state.engines.get(engine)
        if view is None:
            continue
        own = EngineUse(engine, view.own_streams, view.own_memory, view.own_backlog)
        if engine in unstarted:
            own = add_use(own, unstarted[engine], -1)
        if own.streams > 0:
            uses.append(own)
    return uses


def add_use(total: EngineUse | None, use: EngineUse, sign: int) -> EngineUse:
    """Return the sum of two uses of an engine, or their difference if ``sign`` is -1."""
    if total is None:
        total = EngineUse(use.engine, 0, 0, 0)
    return EngineUse(
        use.engine,
        total.streams + sign * use.streams,
        total.memory_tokens + sign * use.memory_tokens,
        total.backlog_tokens + sign * use.backlog_tokens,
    )


@handles(DigestReceived)
def record_digest(state: State, event: DigestReceived) -> Step:
    """Store the latest digest of a peer's incarnation; ignore late and repeated digests."""
    digest = event.digest
    incarnation_id = digest.sender.incarnation_id
    known = state.peers.get(incarnation_id)
    if incarnation_id == state.identity.incarnation_id:
        return state, ()
    if known is not None and digest.sequence <= known.digest.sequence:
        return state, ()
    if known is None or not is_live(state, known) or known.digest.leaving != digest.leaving:
        state = replace(state, members_changed_at=state.now)
    if known is None:
        state = schedule_timer(state, state.now + SUSPECT_AFTER_MS, PeerCheckDue(incarnation_id))
    uses = pmap({use.engine: use for use in digest.uses})
    before = known.uses if known is not None else pmap()
    state = _update_peer_use(state, before, uses)
    marks = known.digest.leaving_upstreams if known is not None else ()
    state = update_peer_marks(state, incarnation_id, marks, digest.leaving_upstreams)
    peer = PeerView(digest, state.now, uses)
    return replace(state, peers=state.peers.set(incarnation_id, peer)), ()


@handles_timer(PeerCheckDue)
def check_peer(state: State, timer: PeerCheckDue) -> Step:
    """Clear the use of a peer incarnation that is dead, and remove it after a longer silence."""
    peer = state.peers.get(timer.life)
    if peer is None:
        return state, ()
    silent_ms = silence_ms(state, peer)
    if SUSPECT_AFTER_MS <= silent_ms < 3 * SUSPECT_AFTER_MS:
        state = replace(state, members_changed_at=state.now)
    if silent_ms >= REMOVE_PEER_AFTER_MS:
        state = _clear_use(state, timer.life, peer)
        return replace(state, peers=state.peers.remove(timer.life)), ()
    if silent_ms >= CLEAR_USES_AFTER_MS and not peer.forgotten:
        state = _clear_use(state, timer.life, peer)
    return schedule_timer(state, state.now + SUSPECT_AFTER_MS, timer), ()


def _clear_use(state: State, incarnation_id: str, peer: PeerView) -> State:
    state = _update_peer_use(state, peer.uses, pmap())
    state = update_peer_marks(state, incarnation_id, peer.digest.leaving_upstreams, ())
    digest = replace(peer.digest, uses=(), leaving_upstreams=(), waiting=0, waiting_tokens=0)
    forgotten = PeerView(digest, peer.heard_at, forgotten=True)
    return replace(state, peers=state.peers.set(incarnation_id, forgotten))


def _update_peer_use(
    state: State, before: PMap[str, EngineUse], now: PMap[str, EngineUse]
) -> State:
    """Update the sums per engine by the difference between two digests of a peer."""
    sums = state.peer_use.evolver()
    for engine in {*before, *now}:
        old, new = before.get(engine), now.get(engine)
        if old == new:
            continue
        total = state.peer_use.get(engine)
        total = add_use(total, old, -1) if old is not None else total
        total = add_use(total, new, 1) if new is not None else total
        if total is not None and total.streams > 0:
            sums[engine] = total
        elif engine in state.peer_use:
            sums.remove(engine)
    return replace(state, peer_use=sums.persistent())
