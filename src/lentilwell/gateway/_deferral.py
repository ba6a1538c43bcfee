"""Decides whether a prompt is deferred until the spread prompts of its engines are read. Pure.

A spread prompt is one that several engines read. Deferral matters when several long prompts arrive
within a second. Engines read the newest part first, so a very long prompt that is sent at once
would delay shorter prompts whose prefill is nearly done.
"""

from __future__ import annotations

from lentilwell.gateway._placement_policies import Choice

# The limits on the total deferral of one request, in ms and as a share of its objective.
MAX_DEFERRAL_MS = 1_000
MAX_DEFERRAL_SHARE = 0.5
MIN_DEFERRAL_MS = 5
# A request is not deferred if its engines need at most this time to finish their spread prompts.
MIN_PREFILL_AHEAD_MS = 20
# A part is not deferred if its prefill takes at most this share of the prefill in progress: it may
# overtake that prefill.
MAX_OVERTAKING_SHARE = 0.5


def find_deferral_ms(
    choice: Choice, objective_ms: int, prefill_ahead_ms: float, deferred_ms: int
) -> int:
    """Return how long to wait before choosing again, 0 for sending now.

    ``objective_ms`` is the time to a first event that is on time, ``prefill_ahead_ms`` what is
    left to read of spread prompts at the chosen engines (the maximum over them, in ms), and
    ``deferred_ms`` the previous deferral of the request.
    """
    if not choice.helpers or prefill_ahead_ms <= MIN_PREFILL_AHEAD_MS:
        return 0
    if choice.read_ms <= MAX_OVERTAKING_SHARE * prefill_ahead_ms:
        return 0
    max_deferral_ms = min(MAX_DEFERRAL_MS, round(objective_ms * MAX_DEFERRAL_SHARE))
    return max(0, min(max_deferral_ms - deferred_ms, max(MIN_DEFERRAL_MS, round(prefill_ahead_ms))))
