"""Exceptions for failures of upstream connections and of the store."""

from __future__ import annotations


class HttpConnectionError(Exception):
    """Base class of the failures of a connection to an upstream."""


class Unreachable(HttpConnectionError):
    """No byte of a request was written: no connection, or an invalid request."""


class ConnectionBroken(HttpConnectionError):
    """The connection ended, or its bytes are not a valid answer to the request."""


class StoreError(Exception):
    """Base class of the failures of the store."""


class StoreUnavailable(StoreError):
    """The store rejected the request or could not be reached."""


class AnswerUnfinished(StoreUnavailable):
    """The store began to answer, but the answer did not arrive whole within the timeout."""


class HistoryGone(StoreError):
    """The store no longer has the requested changes; the whole table must be read again."""


class StoreRestored(StoreError):
    """The store was restored from an older copy; data read before may be inconsistent with it."""


class UnreadableRow(StoreError):
    """The value of a row cannot be decoded."""
