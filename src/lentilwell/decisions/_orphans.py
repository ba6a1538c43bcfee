"""Streams in engines' reports that nobody will read any more.

A stream is suspect when this instance opened it and does not know it, when the life that opened it
is silent, or when that life's digest claims nothing on the engine. A suspect that stays in the
reports for its grace time is cancelled, by the instance that opened it or by the engine's owner, or
later by the next in turn, since an owner that has just started knows of no life before its own. A
new stream in a report is a sign that its opener lives. A wrong cancel costs its reader a retry.
"""

from __future__ import annotations

from pyrsistent import PMap, pmap

from lentilwell._messages import LoadReport, StreamReport
from lentilwell.decisions._cancels import cancel_stream
from lentilwell.decisions._digests import MAXIMUM_USES
from lentilwell.decisions._owners import DEAD_MS, find_turn
from lentilwell.reducer import Effect, State, Step, replace

OWN_GRACE_MS = 2_000
DEAD_GRACE_MS = 5_000
UNCLAIMED_GRACE_MS = 10_000
UNKNOWN_GRACE_MS = 30_000
TURN_MS = 5_000
MAXIMUM_SIGNS = 1_024


def watch_streams(state: State, previous: LoadReport | None, report: LoadReport) -> Step:
    """Compare an engine's streams with those that anybody claims; cancel ripe orphans."""
    state = _note_signs(state, previous, report)
    before = state.sightings.get(report.engine, pmap())
    seen: dict[str, int] = {}
    effects: tuple[Effect, ...] = ()
    for stream in report.streams:
        grace_ms = find_grace(state, report.engine, stream)
        if grace_ms is None:
            continue
        since = max(before.get(stream.stream, state.now), state.awake_at)
        seen[stream.stream] = since
        ripe_ms = state.now - since - grace_ms
        if ripe_ms >= 0 and ripe_ms >= find_delay(state, report.engine, stream):
            state, more = cancel_stream(state, report.engine, stream.stream)
            effects += more
    sightings = state.sightings
    if seen:
        sightings = sightings.set(report.engine, pmap(seen))
    else:
        sightings = sightings.discard(report.engine)
    return replace(state, sightings=sightings), effects


def find_grace(state: State, engine: str, stream: StreamReport) -> int | None:
    """Return after how long an unclaimed stream is cancelled, or None where it is claimed."""
    if stream.life == state.identity.life:
        return None if _is_own(state, engine, stream) else OWN_GRACE_MS
    peer = state.peers.get(stream.life)
    heard_at = peer.heard_at if peer is not None else 0
    heard_at = max(heard_at, state.signs.get(stream.life, 0), state.awake_at)
    if state.now - heard_at >= DEAD_MS:
        known = peer is not None or stream.owner == state.identity.instance
        return DEAD_GRACE_MS if known else UNKNOWN_GRACE_MS
    if peer is None:
        return None
    whole = len(peer.digest.uses) < MAXIMUM_USES
    return UNCLAIMED_GRACE_MS if whole and engine not in peer.uses else None


def _is_own(state: State, engine: str, stream: StreamReport) -> bool:
    attempt = state.attempts.get(stream.stream)
    if attempt is None:
        return False
    return any(share.engine == engine for share in attempt.placements)


def find_delay(state: State, engine: str, stream: StreamReport) -> int:
    """Return how much longer this instance waits: the owner not at all, the others in turn."""
    if stream.owner == state.identity.instance:
        return 0
    centre = state.engines[engine].spec.data_centre
    return find_turn(state, engine, centre) * TURN_MS


def _note_signs(state: State, previous: LoadReport | None, report: LoadReport) -> State:
    """Note which other lives have opened streams since the last report of this engine."""
    if previous is None or previous.incarnation != report.incarnation:
        return state
    old = {stream.stream for stream in previous.streams}
    signs = state.signs
    for stream in report.streams:
        if stream.stream not in old and stream.life != state.identity.life:
            signs = signs.set(stream.life, state.now)
    if len(signs) > MAXIMUM_SIGNS:
        signs = _keep_recent(signs, state.now)
    return replace(state, signs=signs)


def _keep_recent(signs: PMap[str, int], now: int) -> PMap[str, int]:
    return pmap({life: at for life, at in signs.items() if now - at < DEAD_MS})
