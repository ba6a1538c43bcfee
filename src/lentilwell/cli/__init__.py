"""The command line: the commands, each registered with a decorator, and their common parser."""

from lentilwell.cli._parser import main

__all__ = ["main"]
