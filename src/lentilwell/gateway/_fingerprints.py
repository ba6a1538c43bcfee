"""Recognises a request that is sent again, by what decides what an upstream does with it. Pure.

A caller that sends a request again gives it a new id. Its fingerprint stays the same as long as its
team, method, host, path, query and body do.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from lentilwell.gateway._messages import InboundRequest

# Ids of parts of prompts are hexadecimal, so that none of them begins with this mark.
MARK = "="
# Long enough that nobody finds a second body with the fingerprint of a known one.
DIGEST_BYTES = 12


def compute_fingerprint(request: InboundRequest, team: str) -> str:
    """Return the fingerprint of a request: ``MARK`` and a hexadecimal hash.

    The time grows with the body: about 1 ms for each MB.
    """
    digest = hashlib.sha256()
    for field in (team.encode(), request.method, request.host.encode(), request.target):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(request.body)
    return MARK + digest.digest()[:DIGEST_BYTES].hex()


def find_fingerprint(subjects: Iterable[str]) -> str:
    """Return the first fingerprint among subjects, empty if there is none."""
    return next(filter(is_fingerprint, subjects), "")


def is_fingerprint(text: str) -> bool:
    """Tell whether a text is a fingerprint, and not the id of a part of a prompt."""
    return text.startswith(MARK)
