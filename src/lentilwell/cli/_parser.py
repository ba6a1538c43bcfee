"""The parser of the command line, with every registered command, and the entry point."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib.metadata import version

from lentilwell._errors import EXIT_DONE, LentilwellError
from lentilwell._logs import set_up_logs
from lentilwell.cli import _config, _explain, _inventory, _keys, _operators
from lentilwell.cli._commands import COMMANDS, add_no_arguments, add_settings_argument, command
from lentilwell.configuration import read_settings
from lentilwell.shell import Application

# These modules register their commands when they are imported.
_COMMAND_MODULES = (_config, _explain, _inventory, _keys, _operators)
EXIT_CODES = "exit codes: 0 done, 1 refused or conflict, 2 usage, 3 outcome unknown"


@command(
    "entry",
    "run an entry instance until it is told to stop",
    "lentilwell entry --settings entry.ini",
    add_settings_argument,
)
def run_entry(options: argparse.Namespace) -> int:
    """Run an entry instance until a planned stop is complete."""
    settings = read_settings(options.settings)
    set_up_logs(settings.logs.level, settings.instance.name)
    Application(settings).run()
    return EXIT_DONE


@command("version", "print the version", "lentilwell version", add_no_arguments)
def print_version(_options: argparse.Namespace) -> int:
    """Print the version of the package."""
    sys.stdout.write(version("lentilwell") + "\n")
    return EXIT_DONE


def build_parser() -> argparse.ArgumentParser:
    """Return a parser with one subcommand for each registered command."""
    parser = argparse.ArgumentParser(
        prog="lentilwell", description="Serve prompts of very unlike lengths.", epilog=EXIT_CODES
    )
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for registered in COMMANDS.values():
        sub = subparsers.add_parser(
            registered.name,
            help=registered.summary,
            description=registered.summary,
            epilog=f"examples:\n  {registered.examples}\n\n{EXIT_CODES}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        registered.add_arguments(sub)
        sub.set_defaults(run=registered.run)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command given by the arguments and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        code: int = options.run(options)
    except LentilwellError as error:
        sys.stderr.write(f"lentilwell: {error}\n")
        return error.exit_code
    return code
