"""The decisions of an entry instance: handlers of events, and the policies that rules select. Pure.

Here belong queueing, placing, refusing, retrying, recovery, health and fairness, each as functions
from a state to the next one and its effects. Nothing here does I/O or reads a clock.
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
from lentilwell.decisions._cancellations import has_open_cancels
from lentilwell.decisions._estimates import length_class
from lentilwell.decisions._leaving import is_leaving
from lentilwell.decisions._order import ORDERS, order
from lentilwell.decisions._placement import PLACEMENTS, placement
from lentilwell.decisions._prefixes import last_sequence

__all__ = [
    "ORDERS",
    "PLACEMENTS",
    "has_open_cancels",
    "is_leaving",
    "last_sequence",
    "length_class",
    "order",
    "placement",
]

_REGISTERED = (
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
