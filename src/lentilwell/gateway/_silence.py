"""Whether a silent upstream is given up: one in doubt is probed, one that lives waited for. Pure.

Load that this answers: more long prompts than were expected. Engines read the newest part first, so
that an old one may wait far beyond its estimate; given up, all of its reading would be done again
elsewhere. An upstream that has died or cannot be reached does not answer the probe.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._admission import find_leaving_ms
from lentilwell.gateway._catalog import Route
from lentilwell.gateway._patience import RESCUE_MS

# The share of the patience after which an upstream is probed.
DOUBT_SHARE = 0.5
# A probe that has no answer by then has failed.
PROBE_MS = 300
# For so long an answer on another connection shows that an upstream lives.
PROOF_MS = 1_000


@dataclass(frozen=True)
class Silence:
    """What is known of a silent upstream; all in ms of the silence.

    ``limit_ms`` is the patience by the work that is known there, ``longest_ms`` that with one which
    lives. ``proof_age_ms`` is the time since it was heard on another connection, None for never,
    ``probed_at_ms`` when a probe was last asked for.
    """

    silent_ms: int
    limit_ms: int
    longest_ms: int
    proof_age_ms: int | None
    probed_at_ms: int | None


@dataclass(frozen=True)
class Verdict:
    """Wait until the silence has lasted ``until_ms``; ``probe`` asks for a probe now."""

    until_ms: int
    probe: bool = False


def find_longest_ms(route: Route, limit_ms: int) -> int:
    """Return how long an upstream that lives may be silent: until a rescue would come too late."""
    return max(limit_ms, find_leaving_ms(route) - RESCUE_MS)


def judge_silence(silence: Silence) -> Verdict:
    """Return how long to go on waiting; a time that has passed already means to give up."""
    silent_ms, limit_ms = silence.silent_ms, silence.limit_ms
    doubt_ms = round(limit_ms * DOUBT_SHARE)
    if silent_ms < doubt_ms:
        return Verdict(doubt_ms)
    if silence.proof_age_ms is not None and silence.proof_age_ms < PROOF_MS:
        return Verdict(min(silence.longest_ms, silent_ms + PROOF_MS - silence.proof_age_ms))
    probed_at_ms = silence.probed_at_ms
    if probed_at_ms is None or silent_ms - probed_at_ms >= PROOF_MS:
        until_ms = max(limit_ms, silent_ms + PROBE_MS)
        return Verdict(min(silence.longest_ms, until_ms), probe=True)
    return Verdict(min(silence.longest_ms, max(limit_ms, probed_at_ms + PROBE_MS)))
