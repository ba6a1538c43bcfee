"""Orphaned streams: streams in engines' load reports that no instance reads any more.

A stream is unclaimed in three cases: this instance opened it but has no attempt for it; the
incarnation that opened it is silent; or that incarnation's digest lists no use of the engine. An
unclaimed stream that remains in the reports for its grace period is cancelled by the instance that
opened it or by the owner of the engine. The other instances follow one after another, since an
owner that has just started does not know of earlier incarnations. A new stream in a report shows
that the incarnation that opened it is alive. A wrong cancel costs the reading instance one retry.
"""

from __future__ import annotations

from pyrsistent import PMap, pmap

from lentilwell._messages import LoadReport, StreamReport
from lentilwell.decisions._cancellations import cancel_stream
from lentilwell.decisions._digests import MAX_USES
from lentilwell.decisions._ownership import DEAD_AFTER_MS, find_ownership_rank
from lentilwell.reducer import Effect, State, Step, replace

OWN_GRACE_MS = 2_000
DEAD_GRACE_MS = 5_000
UNCLAIMED_GRACE_MS = 10_000
UNKNOWN_GRACE_MS = 30_000
TURN_MS = 5_000
MAX_SIGNS = 1_024


def cancel_orphans(state: State, previous: LoadReport | None, report: LoadReport) -> Step:
    """Cancel the streams of a report whose grace period without a claim is over."""
    state = _record_signs(state, previous, report)
    previously_unclaimed = state.sightings.get(report.engine, pmap())
    unclaimed_since: dict[str, int] = {}
    effects: tuple[Effect, ...] = ()
    for stream in report.streams:
        grace_ms = find_grace_ms(state, report.engine, stream)
        if grace_ms is None:
            continue
        since = max(previously_unclaimed.get(stream.stream, state.now), state.awake_at)
        unclaimed_since[stream.stream] = since
        overdue_ms = state.now - since - grace_ms
        if overdue_ms >= 0 and overdue_ms >= find_turn_delay_ms(state, report.engine, stream):
            state, cancels = cancel_stream(state, report.engine, stream.stream)
            effects += cancels
    sightings = state.sightings
    if unclaimed_since:
        sightings = sightings.set(report.engine, pmap(unclaimed_since))
    else:
        sightings = sightings.discard(report.engine)
    return replace(state, sightings=sightings), effects


def find_grace_ms(state: State, engine: str, stream: StreamReport) -> int | None:
    """Return the grace period of an unclaimed stream in ms, or None if the stream is claimed.

    The stream of a silent incarnation has a longer grace period if the incarnation is neither a
    known peer nor an earlier one of this instance. A digest that lists ``MAX_USES`` engines may be
    truncated, so an engine missing from it does not show that the stream is unclaimed.
    """
    if stream.incarnation_id == state.identity.incarnation_id:
        return None if _is_own(state, engine, stream) else OWN_GRACE_MS
    peer = state.peers.get(stream.incarnation_id)
    heard_at = peer.heard_at if peer is not None else 0
    heard_at = max(heard_at, state.signs.get(stream.incarnation_id, 0), state.awake_at)
    if state.now - heard_at >= DEAD_AFTER_MS:
        known = peer is not None or stream.owner == state.identity.instance
        return DEAD_GRACE_MS if known else UNKNOWN_GRACE_MS
    if peer is None:
        return None
    is_complete = len(peer.digest.uses) < MAX_USES
    return UNCLAIMED_GRACE_MS if is_complete and engine not in peer.uses else None


def _is_own(state: State, engine: str, stream: StreamReport) -> bool:
    attempt = state.attempts.get(stream.stream)
    if attempt is None:
        return False
    return any(share.engine == engine for share in attempt.placements)


def find_turn_delay_ms(state: State, engine: str, stream: StreamReport) -> int:
    """Return for how many ms the cancel is left to instances of a better ownership rank.

    This is 0 for the instance that opened the stream and for the owner of the engine.
    """
    if stream.owner == state.identity.instance:
        return 0
    centre = state.engines[engine].spec.data_centre
    return find_ownership_rank(state, engine, centre) * TURN_MS


def _record_signs(state: State, previous: LoadReport | None, report: LoadReport) -> State:
    """Record when each incarnation last opened a new stream, which shows that it is alive."""
    if previous is None or previous.incarnation != report.incarnation:
        return state
    previous_streams = {stream.stream for stream in previous.streams}
    signs = state.signs
    for stream in report.streams:
        if (
            stream.stream not in previous_streams
            and stream.incarnation_id != state.identity.incarnation_id
        ):
            signs = signs.set(stream.incarnation_id, state.now)
    if len(signs) > MAX_SIGNS:
        signs = _keep_recent(signs, state.now)
    return replace(state, signs=signs)


def _keep_recent(signs: PMap[str, int], now: int) -> PMap[str, int]:
    return pmap({key: at for key, at in signs.items() if now - at < DEAD_AFTER_MS})
