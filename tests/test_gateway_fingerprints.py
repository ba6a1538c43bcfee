"""A request sent again has the fingerprint that it had, and no other request has it."""

from dataclasses import replace

import pytest

from lentilwell.gateway._fingerprints import compute_fingerprint, is_fingerprint
from lentilwell.gateway._messages import InboundRequest

HEADERS = ((b"Host", b"a.example"), (b"Request-Id", b"r1"), (b"Deadline-Ms", b"900"))
REQUEST = InboundRequest(b"POST", b"/a/b?c=d", HEADERS, 1, b"body")


def test_request_sent_again_has_the_same_fingerprint():
    headers = ((b"host", b"A.example:80"), (b"Request-Id", b"r2"), (b"Deadline-Ms", b"400"))
    again = replace(REQUEST, headers=headers, arrived_at=7)
    fingerprint = compute_fingerprint(REQUEST, "blue")
    assert compute_fingerprint(again, "blue") == fingerprint and is_fingerprint(fingerprint)


@pytest.mark.parametrize(
    ("changes", "team"),
    [
        ({"method": b"PUT"}, "blue"),
        ({"target": b"/a/b"}, "blue"),
        ({"headers": ((b"Host", b"b.example"),)}, "blue"),
        ({"body": b"bodx"}, "blue"),
        ({"body": b""}, "blue"),
        ({"target": b"/a/b?c=", "body": b"dbody"}, "blue"),
        ({}, "green"),
        ({}, ""),
    ],
)
def test_another_request_or_team_has_another_fingerprint(changes, team):
    other = compute_fingerprint(replace(REQUEST, **changes), team)
    assert other != compute_fingerprint(REQUEST, "blue")


def test_id_of_a_part_of_a_prompt_is_no_fingerprint():
    assert not is_fingerprint("356be7056192")
