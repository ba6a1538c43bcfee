"""The registry of commands; each module of commands fills it with the ``command`` decorator."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

Run = Callable[[argparse.Namespace], int]
Arrange = Callable[[argparse.ArgumentParser], None]


@dataclass(frozen=True)
class Command:
    """One command: its name, its one-line help, examples, its arguments and what it runs."""

    name: str
    summary: str
    examples: str
    arrange: Arrange
    run: Run


COMMANDS: dict[str, Command] = {}


def command(name: str, summary: str, examples: str, arrange: Arrange) -> Callable[[Run], Run]:
    """Register the decorated function as a command; it returns the exit code."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(name, summary, examples, arrange, run)
        return run

    return register


def add_nothing(_parser: argparse.ArgumentParser) -> None:
    """Arrange no arguments."""


def add_settings(parser: argparse.ArgumentParser) -> None:
    """Arrange the ``--settings`` argument."""
    parser.add_argument("--settings", type=Path, required=True, help="the INI file of settings")
