"""HTTP adapters through which an entry instance calls the platform and the engines.

They convert the ports' typed messages to HTTP calls and contain no decisions.
"""

from lentilwell.adapters._engines import HttpEngineControl, OpenStream, StreamLine
from lentilwell.adapters._platform import DIALECTS

__all__ = ["DIALECTS", "HttpEngineControl", "OpenStream", "StreamLine"]
