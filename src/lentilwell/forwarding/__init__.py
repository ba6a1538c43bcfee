"""Forwarding between engines and callers' sockets, by the orders of the reducer.

Here belong the transfer thread, the exchanges of callers, the runners of effects, and the reading
of the engines' reports.
"""

from lentilwell.forwarding._polling import CACHE_INTERVAL_MS, REPORT_INTERVAL_MS, EnginePoller
from lentilwell.forwarding._runners import RunnerContext, register_runners
from lentilwell.forwarding._streams import (
    AnswerForm,
    Exchange,
    StreamedForm,
    encode_failure,
    render_failure,
    retry_after_seconds,
)
from lentilwell.forwarding._transfer import TransferLoop

__all__ = [
    "CACHE_INTERVAL_MS",
    "REPORT_INTERVAL_MS",
    "AnswerForm",
    "EnginePoller",
    "Exchange",
    "RunnerContext",
    "StreamedForm",
    "TransferLoop",
    "encode_failure",
    "register_runners",
    "render_failure",
    "retry_after_seconds",
]
