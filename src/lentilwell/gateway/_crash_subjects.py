"""What may be to blame for crashes of upstreams, and how much evidence each kind needs. Pure.

A subject is named by a text: a whole request by its fingerprint, a part of a prompt by its id.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._fingerprints import is_fingerprint


@dataclass(frozen=True)
class BlameRules:
    """The least evidence for which a subject of one kind is blamed.

    ``min_crashes`` crashes must have come one after the other, each under a request that was sent
    after the crash before was known, and at least ``min_gap_ms`` apart. ``min_own_crashes`` of them
    must not be explained otherwise. ``min_requests`` requests must be needed to explain them
    without the subject. The doubtful numbers hold for a subject on which answers were written
    before. The subject must occur in ``min_share`` of the crashes since its first one.
    """

    min_crashes: int
    min_doubtful_crashes: int
    min_own_crashes: int
    min_requests: int
    min_doubtful_requests: int
    min_gap_ms: int
    min_share: float


# Crashes closer together may have one cause, such as the power of a rack.
SAME_CAUSE_MS = 100
# Many requests share a part, so some of them stand wherever upstreams crash for other reasons.
# Parts that explain the same crashes wait for the doubtful number of them.
PART_RULES = BlameRules(3, 5, 1, 2, 3, SAME_CAUSE_MS, 0.5)
# To refuse a request wrongly costs only that request, and the users allow three more sends after
# its third crash. Any number of others may crash upstreams beside it, so its share says nothing.
REQUEST_RULES = BlameRules(3, 4, 2, 2, 2, 0, 0.0)


def find_rules(subject: str) -> BlameRules:
    """Return the rules for the kind of a subject."""
    return REQUEST_RULES if is_fingerprint(subject) else PART_RULES
