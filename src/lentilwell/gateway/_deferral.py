"""Decides whether a prompt is deferred until the spread prompts of its engines are read. Pure.

It is made for several long prompts within a second. Engines read the newest part first, so
that a very long prompt, sent at once, would hold up shorter ones that were nearly read.
"""

from __future__ import annotations

from lentilwell.gateway._placement_policies import Choice

# The limits on the total deferral of one request; the share is relative to its objective.
MAX_DEFERRAL_MS = 1_000
MAX_DEFERRAL_SHARE = 0.5
MIN_DEFERRAL_MS = 5
# A request is not deferred for a backlog that is read within this time.
MIN_PREFILL_AHEAD_MS = 20
# A part shorter than this share of the prefill in progress may overtake it.
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
