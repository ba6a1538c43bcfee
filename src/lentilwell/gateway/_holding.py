"""Whether a prompt waits for those that its engines read together now. Pure.

Load that this answers: several long prompts within a second. Engines read the newest part first, so
that a very long prompt, sent at once, would hold up shorter ones that were nearly read.
"""

from __future__ import annotations

from lentilwell.gateway._choice import Choice

# In all, for one request; the share is one of its objective.
LONGEST_HOLD_MS = 1_000
LONGEST_HOLD_SHARE = 0.5
LEAST_HOLD_MS = 5
# Reading that is nearly over is not waited for.
NEARLY_READ_MS = 20
# A part shorter than this share of the reading under way may pass it.
PASSING_SHARE = 0.5


def find_hold_ms(choice: Choice, objective_ms: int, ahead_ms: float, held_ms: int) -> int:
    """Return how long to wait before choosing again, 0 for sending now.

    ``objective_ms`` is the time to a first event that is on time, ``ahead_ms`` what is
    left of the parts at the chosen engines, the most of any of them; ``held_ms`` is how long the
    request has waited so already.
    """
    if not choice.helpers or ahead_ms <= NEARLY_READ_MS:
        return 0
    if choice.read_ms <= PASSING_SHARE * ahead_ms:
        return 0
    longest_ms = min(LONGEST_HOLD_MS, round(objective_ms * LONGEST_HOLD_SHARE))
    return max(0, min(longest_ms - held_ms, max(LEAST_HOLD_MS, round(ahead_ms))))
