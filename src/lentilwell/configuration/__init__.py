"""Configuration: the settings of a process, and the versioned inventory with its rules.

This package parses and validates INI files, stores the inventory versions that operators accept,
and adopts the accepted version in each instance.
"""

from lentilwell.configuration._documents import Document, parse_document, render_document
from lentilwell.configuration._editor import AcceptedVersion, ConfigurationEditor
from lentilwell.configuration._follower import (
    CONFIGURATION_INTERVAL_MS,
    ConfigurationFollower,
    PeerSource,
)
from lentilwell.configuration._problems import InventoryError
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
    "AcceptedVersion",
    "CallersSettings",
    "ConfigurationEditor",
    "ConfigurationFollower",
    "Document",
    "InventoryError",
    "PeerSource",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "diff_documents",
    "parse_document",
    "read_settings",
    "render_document",
]
