"""The listeners of an entry instance: completions, plain services and operators.

Here belong servers, the parsing and checking of requests, keys of teams, and the form of answers.
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
