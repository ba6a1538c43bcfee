"""Forwards HTTP requests to upstreams that are listed in a store, and balances load over them."""

from lentilwell.gateway import _baselines, _least_cost
from lentilwell.gateway._addresses import is_ip_and_port
from lentilwell.gateway._budget import BudgetRules
from lentilwell.gateway._catalog import (
    Catalog,
    EngineSpec,
    Limits,
    Repeat,
    Route,
    ServiceSpec,
    Share,
    Team,
)
from lentilwell.gateway._connection import HttpConnection, open_http_connection
from lentilwell.gateway._eras import EraTracker
from lentilwell.gateway._failures import (
    AnswerUnfinished,
    HistoryGone,
    HttpConnectionError,
    StoreError,
    StoreRestored,
    StoreUnavailable,
    UnreadableRow,
)
from lentilwell.gateway._gateway import Gateway
from lentilwell.gateway._messages import (
    AnswerHead,
    Envelope,
    Headers,
    InboundRequest,
    Lease,
    MemoryOrder,
    PrefillHelper,
    Prompt,
    RequestFacts,
    drop_headers,
    find_header,
    find_headers,
)
from lentilwell.gateway._peers import Member, Membership
from lentilwell.gateway._ports import Dialect, Entry, Feed, Feeds, Listing, OperatorRow
from lentilwell.gateway._settings import GatewaySettings
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.caller_limits import ProcessLimits
from lentilwell.gateway.cold_start import (
    DEFAULT_COLD_BOUNDS,
    MAX_COLD_MS,
    NEVER_COLD,
    ColdBounds,
    ColdRules,
    parse_cold_ms,
)
from lentilwell.gateway.evacuation import EvacuationOrder, restrict

__all__ = [
    "DEFAULT_COLD_BOUNDS",
    "MAX_COLD_MS",
    "NEVER_COLD",
    "AnswerHead",
    "AnswerUnfinished",
    "BudgetRules",
    "Catalog",
    "ColdBounds",
    "ColdRules",
    "Dialect",
    "EngineSpec",
    "Entry",
    "Envelope",
    "EraTracker",
    "EvacuationOrder",
    "Feed",
    "Feeds",
    "Gateway",
    "GatewaySettings",
    "Headers",
    "HistoryGone",
    "HttpConnection",
    "HttpConnectionError",
    "InboundRequest",
    "Lease",
    "Limits",
    "Listing",
    "Member",
    "Membership",
    "MemoryOrder",
    "OperatorRow",
    "PrefillHelper",
    "ProcessLimits",
    "Prompt",
    "Repeat",
    "RequestFacts",
    "Route",
    "ServiceSpec",
    "Share",
    "StoreError",
    "StoreRestored",
    "StoreUnavailable",
    "Team",
    "UnreadableRow",
    "Upstream",
    "drop_headers",
    "find_header",
    "find_headers",
    "is_ip_and_port",
    "open_http_connection",
    "parse_cold_ms",
    "restrict",
]

_REGISTERED = (_baselines, _least_cost)
