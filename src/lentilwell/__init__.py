"""A serving layer for prompts of very unlike lengths, and its parts as a library."""

from lentilwell import (
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
from lentilwell._clock import Clock, ManualClock, SystemClock
from lentilwell._errors import Failure, LentilwellError
from lentilwell._messages import Identity, Placement, Request
from lentilwell._reducer import reduce
from lentilwell._state import State

__all__ = [
    "Clock",
    "Failure",
    "Identity",
    "LentilwellError",
    "ManualClock",
    "Placement",
    "Request",
    "State",
    "SystemClock",
    "reduce",
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
