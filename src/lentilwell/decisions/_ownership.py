"""Ownership of engines and engine groups, by a rendezvous hash over the live entry instances.

The silence of a peer counts from its last digest, or from the time at which this instance resumed
after a pause if that is later. Otherwise an instance that was paused would consider all others
dead.
"""

from __future__ import annotations

import xxhash

from lentilwell.reducer import PeerView, State

SUSPECT_AFTER_MS = 1_000
DEAD_AFTER_MS = 5_000


def silence_ms(state: State, peer: PeerView) -> int:
    """Return a peer's silence in ms, counted from this instance's last resume at the earliest."""
    return state.now - max(peer.heard_at, state.awake_at)


def is_live(state: State, peer: PeerView) -> bool:
    """Return whether a peer was heard recently enough to own engines."""
    return not peer.forgotten and silence_ms(state, peer) < SUSPECT_AFTER_MS


def has_live_peers(state: State) -> bool:
    """Return whether there is any other live instance."""
    own = state.identity.instance
    return any(
        is_live(state, peer) and peer.digest.sender.instance != own for peer in state.peers.values()
    )


def find_owner(state: State, key: str, data_centre: str) -> str:
    """Return the instance that owns ``key``, preferably one of the data centre."""
    names = list_candidates(state, data_centre)
    return max(names, key=lambda name: _rank_candidate(key, name), default=state.identity.instance)


def find_ownership_rank(state: State, key: str, data_centre: str) -> int:
    """Return this instance's rank among the candidates to own ``key``; the owner has rank 0."""
    own = _rank_candidate(key, state.identity.instance)
    names = list_candidates(state, data_centre)
    return sum(1 for name in names if _rank_candidate(key, name) > own)


def list_candidates(state: State, data_centre: str) -> list[str]:
    """Return the live instances of a data centre that are not leaving.

    If the data centre has none, the live instances of all data centres are returned.
    """
    candidates = {} if state.draining else {state.identity.instance: state.identity.data_centre}
    for peer in state.peers.values():
        if is_live(state, peer) and not peer.digest.leaving:
            sender = peer.digest.sender
            candidates[sender.instance] = sender.data_centre
    local = [name for name, centre in candidates.items() if centre == data_centre]
    return local or list(candidates)


def _rank_candidate(key: str, name: str) -> tuple[int, str]:
    return _score(key, name), name


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
