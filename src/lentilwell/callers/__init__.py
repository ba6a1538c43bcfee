"""HTTP listeners of an entry instance, for callers and for operators.

This package contains the HTTP server, the parsing and validation of requests, the authentication of
teams, the forwarding of calls to plain services, and the rendering of responses.
"""

from lentilwell.callers._completions import CallersApp, CallersContext
from lentilwell.callers._operators import OperatorsApp, OperatorsContext
from lentilwell.callers._server import PooledServer
from lentilwell.callers._service_instances import CallSlots, InstanceChooser
from lentilwell.callers._services import ServiceGateway

__all__ = [
    "CallSlots",
    "CallersApp",
    "CallersContext",
    "InstanceChooser",
    "OperatorsApp",
    "OperatorsContext",
    "PooledServer",
    "ServiceGateway",
]
