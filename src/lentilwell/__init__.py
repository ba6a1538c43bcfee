"""A serving layer for prompts of very different lengths, also usable as a library.

The library is imported when one of its names is first used. A gateway uses none of them, so it
starts faster.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lentilwell._library import *  # noqa: F403
else:

    def __getattr__(name: str) -> object:
        """Import the library and return one of its names."""
        if name.startswith("_"):
            raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
        return getattr(import_module("lentilwell._library"), name)
