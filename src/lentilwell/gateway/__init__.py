"""Forwarding of HTTP requests to upstreams that a store lists, and the decisions behind it."""

from lentilwell.gateway import _baselines, _least_cost
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
from lentilwell.gateway._eras import EraTracker
from lentilwell.gateway._failures import (
    HistoryGone,
    LinkError,
    StoreAway,
    StoreError,
    StoreRestored,
    UnreadableRow,
)
from lentilwell.gateway._gateway import Gateway
from lentilwell.gateway._link import Link, open_link
from lentilwell.gateway._messages import (
    AnswerHead,
    Envelope,
    Facts,
    Headers,
    InboundRequest,
    Lease,
    Order,
    Prompt,
    Reader,
    drop_headers,
    find_header,
)
from lentilwell.gateway._peers import Member, Membership
from lentilwell.gateway._ports import Dialect, Entry, Feed, Feeds, Listing
from lentilwell.gateway._settings import GatewaySettings
from lentilwell.gateway._upstreams import Upstream

__all__ = [
    "AnswerHead",
    "BudgetRules",
    "Catalog",
    "Dialect",
    "EngineSpec",
    "Entry",
    "Envelope",
    "EraTracker",
    "Facts",
    "Feed",
    "Feeds",
    "Gateway",
    "GatewaySettings",
    "Headers",
    "HistoryGone",
    "InboundRequest",
    "Lease",
    "Limits",
    "Link",
    "LinkError",
    "Listing",
    "Member",
    "Membership",
    "Order",
    "Prompt",
    "Reader",
    "Repeat",
    "Route",
    "ServiceSpec",
    "Share",
    "StoreAway",
    "StoreError",
    "StoreRestored",
    "Team",
    "UnreadableRow",
    "Upstream",
    "drop_headers",
    "find_header",
    "open_link",
]

_REGISTERED = (_baselines, _least_cost)
