"""The command line.

Here belong the commands, each registered with a decorator, and the parser that they share.
"""

from lentilwell.cli._parser import main

__all__ = ["main"]
