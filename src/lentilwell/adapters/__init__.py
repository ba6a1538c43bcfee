"""Adapters of the outside systems that an entry instance reaches by HTTP: platform and engines.

Here belongs what turns the ports' typed messages into calls. Nothing here decides.
"""

from lentilwell.adapters._engines import HttpEngineControl, OpenStream, StreamLine
from lentilwell.adapters._platform import DIALECTS

__all__ = ["DIALECTS", "HttpEngineControl", "OpenStream", "StreamLine"]
