"""The configuration: settings of a process, the inventory and its rules, and their versions.

Here belong reading and checking of INI documents, the versions that operators accept, and the
following of the accepted one.
"""

from lentilwell.configuration._documents import Document, parse_document, render_document
from lentilwell.configuration._editor import ConfigurationEditor, Loaded
from lentilwell.configuration._follower import (
    CONFIGURATION_INTERVAL_MS,
    ConfigurationFollower,
    PeerSource,
)
from lentilwell.configuration._settings import (
    CallersSettings,
    PeersSettings,
    PlatformSettings,
    Settings,
    read_settings,
)
from lentilwell.configuration._versions import diff_documents

__all__ = [
    "CONFIGURATION_INTERVAL_MS",
    "CallersSettings",
    "ConfigurationEditor",
    "ConfigurationFollower",
    "Document",
    "Loaded",
    "PeerSource",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "diff_documents",
    "parse_document",
    "read_settings",
    "render_document",
]
