"""A serving layer for prompts of very unlike lengths, and its parts as a library.

The library is imported when one of its names is first used: a gateway needs none of it, and starts
sooner without.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lentilwell._library import *  # noqa: F403
else:

    def __getattr__(name: str) -> object:
        """Return a name of the library."""
        if name.startswith("_"):
            raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
        return getattr(import_module("lentilwell._library"), name)
