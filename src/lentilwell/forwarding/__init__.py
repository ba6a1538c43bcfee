"""Forwarding of answers from engines to callers' sockets, as the reducer's effects direct.

The package contains the transfer thread, the callers' exchanges, the effect runners and the
polling of the engines' reports.
"""

from lentilwell.forwarding._exchange import (
    AnswerFormat,
    EventStreamEncoder,
    Exchange,
    encode_error,
    render_error_response,
    retry_after_seconds,
)
from lentilwell.forwarding._polling import CACHE_INTERVAL_MS, REPORT_INTERVAL_MS, EnginePoller
from lentilwell.forwarding._runners import RunnerContext, register_runners
from lentilwell.forwarding._transfer import TransferLoop

__all__ = [
    "CACHE_INTERVAL_MS",
    "REPORT_INTERVAL_MS",
    "AnswerFormat",
    "EnginePoller",
    "EventStreamEncoder",
    "Exchange",
    "RunnerContext",
    "TransferLoop",
    "encode_error",
    "register_runners",
    "render_error_response",
    "retry_after_seconds",
]
