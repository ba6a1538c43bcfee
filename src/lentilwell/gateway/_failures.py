"""What can go wrong between the gateway and others, each a type."""

from __future__ import annotations


class HttpConnectionError(Exception):
    """Base of the failures of a connection to an upstream."""


class Unreachable(HttpConnectionError):
    """No connection came about; nothing was written."""


class ConnectionBroken(HttpConnectionError):
    """The connection ended, or the upstream sent bytes that are no answer to this request."""


class SilenceTimeout(ConnectionBroken):
    """The upstream sent nothing for too long."""


class StoreError(Exception):
    """Base of the failures of the store."""


class StoreUnavailable(StoreError):
    """The store refused the call or could not be reached."""


class HistoryGone(StoreError):
    """The changes asked for are no longer kept; read the whole table again."""


class StoreRestored(StoreError):
    """The store came back from an older copy: what was read before may not fit together."""


class UnreadableRow(StoreError):
    """A row does not hold what it should."""
