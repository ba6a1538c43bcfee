"""Digests: what an instance tells its peers a few times a second, and what it keeps of theirs.

Each life of a peer counts on its own, so that a late digest of an old life changes nothing about
the new one. The use of all peers is kept as a running sum by engine.
"""

from __future__ import annotations

from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._messages import Digest, EngineUse
from lentilwell.decisions._leaving import compare_marks, list_marks
from lentilwell.decisions._owners import DEAD_MS, SUSPECT_MS, is_live, silence_ms
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
MAXIMUM_USES = 2_048
FORGET_USES_MS = DEAD_MS + 5_000
REMOVE_MS = 60_000


@dataclass(frozen=True)
class PeerDue(Timer):
    """Time to look whether a life of a peer has gone silent."""

    life: str


def send_digest(state: State) -> Step:
    """Send a digest when its time has come."""
    if state.now < state.digest_due_at:
        return state, ()
    state = replace(
        state,
        digest_sequence=state.digest_sequence + 1,
        digest_due_at=state.now + DIGEST_INTERVAL_MS,
    )
    return state, (SendDigest(make_digest(state)),)


def make_digest(state: State) -> Digest:
    """Return what there is to tell: only engines in use, the most used where there are many."""
    uses = sorted(list_uses(state), key=lambda use: (-use.memory_tokens, use.engine))
    return Digest(
        sender=state.identity,
        sequence=state.digest_sequence,
        configuration=0 if state.inventory is None else state.inventory.version,
        leaving=state.draining,
        uses=tuple(uses[:MAXIMUM_USES]),
        leaving_upstreams=list_marks(state),
        waiting=len(state.waiting),
        waiting_tokens=sum(w.request.memory_tokens for w in state.waiting.values()),
    )


def list_uses(state: State) -> list[EngineUse]:
    """Return the use of each engine; an attempt that still asks for its grant uses nothing."""
    asking: dict[str, EngineUse] = {}
    for attempt_id in state.asks:
        for share in state.attempts[attempt_id].placements:
            use = EngineUse(share.engine, 1, share.memory_tokens, share.memory_tokens)
            asking[share.engine] = add_use(asking.get(share.engine), use, 1)
    uses: list[EngineUse] = []
    for engine in state.by_engine:
        view = state.engines.get(engine)
        if view is None:
            continue
        own = EngineUse(engine, view.own_streams, view.own_memory, view.own_backlog)
        if engine in asking:
            own = add_use(own, asking[engine], -1)
        if own.streams > 0:
            uses.append(own)
    return uses


def add_use(total: EngineUse | None, use: EngineUse, sign: int) -> EngineUse:
    """Return the sum, or with a negative sign the difference, of two uses of an engine."""
    if total is None:
        total = EngineUse(use.engine, 0, 0, 0)
    return EngineUse(
        use.engine,
        total.streams + sign * use.streams,
        total.memory_tokens + sign * use.memory_tokens,
        total.backlog_tokens + sign * use.backlog_tokens,
    )


@handles(DigestReceived)
def note_digest(state: State, event: DigestReceived) -> Step:
    """Keep the newest digest of each life of a peer; late and repeated ones change nothing."""
    digest = event.digest
    life = digest.sender.life
    known = state.peers.get(life)
    if life == state.identity.life:
        return state, ()
    if known is not None and digest.sequence <= known.digest.sequence:
        return state, ()
    if known is None or not is_live(state, known) or known.digest.leaving != digest.leaving:
        state = replace(state, members_changed_at=state.now)
    if known is None:
        state = schedule_timer(state, state.now + SUSPECT_MS, PeerDue(life))
    uses = pmap({use.engine: use for use in digest.uses})
    before = known.uses if known is not None else pmap()
    state = _count_uses(state, before, uses)
    marks = known.digest.leaving_upstreams if known is not None else ()
    state = compare_marks(state, life, marks, digest.leaving_upstreams)
    peer = PeerView(digest, state.now, uses)
    return replace(state, peers=state.peers.set(life, peer)), ()


@handles_timer(PeerDue)
def check_peer(state: State, timer: PeerDue) -> Step:
    """Forget the use of a peer that is dead, and later the peer."""
    peer = state.peers.get(timer.life)
    if peer is None:
        return state, ()
    silent_ms = silence_ms(state, peer)
    if SUSPECT_MS <= silent_ms < 3 * SUSPECT_MS:
        state = replace(state, members_changed_at=state.now)
    if silent_ms >= REMOVE_MS:
        state = _forget(state, timer.life, peer)
        return replace(state, peers=state.peers.remove(timer.life)), ()
    if silent_ms >= FORGET_USES_MS and not peer.forgotten:
        state = _forget(state, timer.life, peer)
    return schedule_timer(state, state.now + SUSPECT_MS, timer), ()


def _forget(state: State, life: str, peer: PeerView) -> State:
    state = _count_uses(state, peer.uses, pmap())
    state = compare_marks(state, life, peer.digest.leaving_upstreams, ())
    digest = replace(peer.digest, uses=(), leaving_upstreams=(), waiting=0, waiting_tokens=0)
    forgotten = PeerView(digest, peer.heard_at, forgotten=True)
    return replace(state, peers=state.peers.set(life, forgotten))


def _count_uses(state: State, before: PMap[str, EngineUse], now: PMap[str, EngineUse]) -> State:
    """Change the sums by what differs between two digests of a peer."""
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
