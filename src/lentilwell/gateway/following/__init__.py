"""Follows the tables of the store, with a few instances that pass changes on to the others."""

from lentilwell.gateway.following._call_plan import CallReason
from lentilwell.gateway.following._follower import Follower
from lentilwell.gateway.following._messages import PREFIX as SOURCE_MESSAGE_PREFIX
from lentilwell.gateway.following._relay import Relay
from lentilwell.gateway.following._tables import (
    Listener,
    TableChange,
    TableReport,
    TableState,
    TableStatus,
)

__all__ = [
    "SOURCE_MESSAGE_PREFIX",
    "CallReason",
    "Follower",
    "Listener",
    "Relay",
    "TableChange",
    "TableReport",
    "TableState",
    "TableStatus",
]
