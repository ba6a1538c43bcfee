"""The registry of commands. Modules that define commands fill it with the ``command`` decorator."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

RunCommand = Callable[[argparse.Namespace], int]
AddArguments = Callable[[argparse.ArgumentParser], None]


@dataclass(frozen=True)
class Command:
    """A command: its name, one-line help, examples, arguments, and the function that runs it."""

    name: str
    summary: str
    examples: str
    add_arguments: AddArguments
    run: RunCommand


COMMANDS: dict[str, Command] = {}


def command(
    name: str, summary: str, examples: str, add_arguments: AddArguments
) -> Callable[[RunCommand], RunCommand]:
    """Register the decorated function as a command. The function returns the exit code."""

    def register(run: RunCommand) -> RunCommand:
        COMMANDS[name] = Command(name, summary, examples, add_arguments, run)
        return run

    return register


def add_no_arguments(_parser: argparse.ArgumentParser) -> None:
    """Add no arguments, for a command that takes none."""


def add_settings_argument(parser: argparse.ArgumentParser) -> None:
    """Add the ``--settings`` argument."""
    parser.add_argument("--settings", type=Path, required=True, help="the INI file of settings")
