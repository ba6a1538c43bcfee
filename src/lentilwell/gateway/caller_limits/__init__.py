"""Bounds what callers make a process hold: bytes, requests being served and descriptors."""

from lentilwell.gateway.caller_limits._body import IncomingBody
from lentilwell.gateway.caller_limits._caller_limits import (
    HEADER_OBJECT_BYTES,
    REQUEST_BYTES,
    CallerLimits,
    GivenUp,
    LimitedCaller,
)
from lentilwell.gateway.caller_limits._input import (
    READ_BUFFER,
    UnparsedInput,
    bound_kernel_buffers,
)
from lentilwell.gateway.caller_limits._linger import LINGER_MS, Linger
from lentilwell.gateway.caller_limits._memory import (
    KERNEL_BUFFER_BYTES,
    Account,
    CallerMemory,
    Reason,
)
from lentilwell.gateway.caller_limits._process_limits import (
    MemoryBudget,
    ProcessLimits,
    find_descriptor_limit,
)
from lentilwell.gateway.caller_limits._slots import CallerSlots
from lentilwell.gateway.caller_limits._status_connections import StatusConnections
from lentilwell.gateway.caller_limits._timeout import (
    CallerTimeout,
    find_header_timeout_ms,
    find_idle_timeout_ms,
)

__all__ = [
    "HEADER_OBJECT_BYTES",
    "KERNEL_BUFFER_BYTES",
    "LINGER_MS",
    "READ_BUFFER",
    "REQUEST_BYTES",
    "Account",
    "CallerLimits",
    "CallerMemory",
    "CallerSlots",
    "CallerTimeout",
    "GivenUp",
    "IncomingBody",
    "LimitedCaller",
    "Linger",
    "MemoryBudget",
    "ProcessLimits",
    "Reason",
    "StatusConnections",
    "UnparsedInput",
    "bound_kernel_buffers",
    "find_descriptor_limit",
    "find_header_timeout_ms",
    "find_idle_timeout_ms",
]
