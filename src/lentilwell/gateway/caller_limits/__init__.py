"""Bounds what callers make a process hold: bytes, requests being served and descriptors."""

from lentilwell.gateway.caller_limits._caller_limits import CallerLimits, GivenUp, LimitedCaller
from lentilwell.gateway.caller_limits._connection_account import ConnectionAccount
from lentilwell.gateway.caller_limits._input import (
    READ_BUFFER,
    bound_kernel_buffers,
)
from lentilwell.gateway.caller_limits._linger import LINGER_MS, Linger
from lentilwell.gateway.caller_limits._memory import (
    Account,
    CallerMemory,
    Reason,
)
from lentilwell.gateway.caller_limits._process_limits import (
    MemoryBudget,
    ProcessLimits,
)
from lentilwell.gateway.caller_limits._request_reader import (
    ReadStep,
    RequestInvalid,
    RequestReader,
)
from lentilwell.gateway.caller_limits._slots import CallerSlots
from lentilwell.gateway.caller_limits._status_connections import StatusConnections
from lentilwell.gateway.caller_limits._timeout import (
    CallerTimeout,
    find_header_timeout_ms,
    find_idle_timeout_ms,
)

__all__ = [
    "LINGER_MS",
    "READ_BUFFER",
    "Account",
    "CallerLimits",
    "CallerMemory",
    "CallerSlots",
    "CallerTimeout",
    "ConnectionAccount",
    "GivenUp",
    "LimitedCaller",
    "Linger",
    "MemoryBudget",
    "ProcessLimits",
    "ReadStep",
    "Reason",
    "RequestInvalid",
    "RequestReader",
    "StatusConnections",
    "bound_kernel_buffers",
    "find_header_timeout_ms",
    "find_idle_timeout_ms",
]
