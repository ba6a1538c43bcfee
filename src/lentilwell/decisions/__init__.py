"""Decision logic of an entry instance: event handlers, and policies that the rules select.

Admission, queueing, placement, retries, recovery, health and fairness are pure functions from a
state to the next state and its effects. They do no I/O and read no clock.
"""

from lentilwell.decisions import (
    _admission,
    _deadlines,
    _dispatch,
    _grants,
    _prefixes,
    _priorities,
    _recovery,
    _reports,
    _ticks,
)
from lentilwell.decisions._cancellations import has_pending_cancels
from lentilwell.decisions._estimates import length_class
from lentilwell.decisions._leaving import is_leaving
from lentilwell.decisions._order import ORDERS, order
from lentilwell.decisions._placement import PLACEMENTS, placement
from lentilwell.decisions._prefixes import last_sequence

__all__ = [
    "ORDERS",
    "PLACEMENTS",
    "has_pending_cancels",
    "is_leaving",
    "last_sequence",
    "length_class",
    "order",
    "placement",
]

# Importing these modules registers their event handlers.
_HANDLER_MODULES = (
    _admission,
    _deadlines,
    _dispatch,
    _grants,
    _prefixes,
    _priorities,
    _recovery,
    _reports,
    _ticks,
)
