"""The command line: every registered command under one parser."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib.metadata import version

from lentilwell._errors import EXIT_DONE, LentilwellError
from lentilwell._logs import set_up_logs
from lentilwell.cli import _explain, _inventory, _keys, _operators
from lentilwell.cli._commands import COMMANDS, add_nothing, add_settings, command
from lentilwell.configuration import read_settings
from lentilwell.shell import Application

_REGISTERED = (_explain, _inventory, _keys, _operators)
EXIT_CODES = "exit codes: 0 done, 1 refused or conflict, 2 usage, 3 outcome unknown"


@command(
    "entry",
    "run an entry instance until it is told to stop",
    "lentilwell entry --settings entry.ini",
    add_settings,
)
def run_entry(options: argparse.Namespace) -> int:
    """Run an entry instance until it is told to stop."""
    settings = read_settings(options.settings)
    set_up_logs(settings.logs.level, settings.instance.name)
    Application(settings).run()
    return EXIT_DONE


@command("version", "print the version", "lentilwell version", add_nothing)
def print_version(_options: argparse.Namespace) -> int:
    """Print the version."""
    sys.stdout.write(version("lentilwell") + "\n")
    return EXIT_DONE


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="lentilwell", description="Serve prompts of very unlike lengths.", epilog=EXIT_CODES
    )
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for found in COMMANDS.values():
        sub = subparsers.add_parser(
            found.name,
            help=found.summary,
            description=found.summary,
            epilog=f"examples:\n  {found.examples}\n\n{EXIT_CODES}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        found.arrange(sub)
        sub.set_defaults(run=found.run)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        code: int = options.run(options)
    except LentilwellError as error:
        sys.stderr.write(f"lentilwell: {error}\n")
        return error.exit_code
    return code
