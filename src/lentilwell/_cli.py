"""The command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from importlib.metadata import version
from pathlib import Path

from lentilwell._application import Application
from lentilwell._errors import EXIT_DONE, LentilwellError
from lentilwell._logs import set_up_logs
from lentilwell._settings import read_settings

Command = Callable[[argparse.Namespace], int]


def run_entry(options: argparse.Namespace) -> int:
    """Run an entry instance until it is told to stop."""
    settings = read_settings(options.settings)
    set_up_logs(settings.logs.level, settings.instance.name)
    Application(settings).run()
    return EXIT_DONE


def print_version(_options: argparse.Namespace) -> int:
    """Print the version."""
    sys.stdout.write(version("lentilwell") + "\n")
    return EXIT_DONE


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="lentilwell", description="Serve prompts of any length.")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    entry = commands.add_parser("entry", help="run an entry instance")
    entry.add_argument("--settings", type=Path, required=True, help="the INI file of settings")
    entry.set_defaults(command=run_entry)
    shown = commands.add_parser("version", help="print the version")
    shown.set_defaults(command=print_version)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        command: Command = options.command
        return command(options)
    except LentilwellError as error:
        sys.stderr.write(f"lentilwell: {error}\n")
        return error.exit_code
