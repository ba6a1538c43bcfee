"""The public names of the package, for programs that embed it."""

from lentilwell._clock import Clock, ManualClock, SystemClock
from lentilwell._errors import LentilwellError
from lentilwell._failures import Failure
from lentilwell._inventory import (
    Engine,
    Inventory,
    Model,
    Route,
    Rules,
    Service,
    Team,
    make_inventory,
)
from lentilwell._messages import Identity, Placement, Request
from lentilwell._ports import EngineControl, Peers, Platform
from lentilwell.decisions import order, placement
from lentilwell.reducer import State, reduce

__all__ = [
    "Clock",
    "Engine",
    "EngineControl",
    "Failure",
    "Identity",
    "Inventory",
    "LentilwellError",
    "ManualClock",
    "Model",
    "Peers",
    "Placement",
    "Platform",
    "Request",
    "Route",
    "Rules",
    "Service",
    "State",
    "SystemClock",
    "Team",
    "make_inventory",
    "order",
    "placement",
    "reduce",
]
