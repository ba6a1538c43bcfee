"""Checks a configuration before it is sent: contradictions, entries without effect, changes."""

from lentilwell.gateway.config_check._changes import Change, list_changes
from lentilwell.gateway.config_check._findings import RULES, Finding, find_contradictions

__all__ = ["RULES", "Change", "Finding", "find_contradictions", "list_changes"]
