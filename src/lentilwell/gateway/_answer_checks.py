"""Checks whether an answer can be passed on as the answer to a request. Pure.

A faulty upstream may write an earlier answer once more on a kept connection, or answer with a
status that it did not mean. Callers take some statuses as a promise that their request has not run
and never will, and send it again.
"""

from __future__ import annotations

from lentilwell.gateway._messages import AnswerHead, find_header

# Statuses that tell a caller that its request has not run. 421 is one too, but from an upstream it
# is always a refusal.
NOT_RUN_STATUSES = frozenset((408, 429, 503))


def find_answer_problem(head: AnswerHead, request_id: str, used_before: bool) -> str | None:
    """Return why an answer is not a valid one to a request, or None if it is.

    ``used_before`` tells whether the connection has carried another request. An answer with a
    problem says nothing about whether the request has run. A misdirected request needs no id in its
    answer, because the upstream that reuses an address may be of another kind.
    """
    if head.request_id and head.request_id != request_id:
        return f"the answer belongs to request {head.request_id}"
    if not head.request_id and used_before:
        return "an answer without a request id may be a copy of an earlier answer"
    if head.not_run and not head.request_id and request_id and not head.misdirected:
        return f"a refusal with status {head.status} and no request id"
    if head.status in NOT_RUN_STATUSES and not head.not_run:
        return f"status {head.status} without the statement that the request has not run"
    return None


def find_resume_problem(first: AnswerHead, head: AnswerHead) -> str | None:
    """Return why an answer cannot continue a stream that began with ``first``, or None if it can.

    The caller has the head of the first answer, so the rest must be what that head announced.
    """
    if head.status != first.status:
        return f"a stream cannot continue with status {head.status}"
    if _find_media_type(head) != _find_media_type(first):
        return f"a stream cannot continue with content of type {_find_media_type(head)!r}"
    return None


def _find_media_type(head: AnswerHead) -> str:
    """Return the content type in lower case, without its parameters."""
    value = find_header(head.headers, b"content-type") or b""
    return value.partition(b";")[0].strip().lower().decode("latin-1")
