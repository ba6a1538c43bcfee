"""The ``config`` command, which checks an inventory in INI form before it is sent."""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lentilwell._errors import EXIT_DONE
from lentilwell.cli._commands import command
from lentilwell.configuration import InventoryError, diff_documents, parse_document

EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
# The version under which the inventory is checked; it has none before it is accepted.
CHECKED_VERSION = 1


@dataclass(frozen=True)
class Report:
    """What is wrong with an inventory, and what it changes; both are lines of text."""

    findings: list[str]
    changes: list[str]


class UnreadableFile(Exception):
    """A file cannot be read, or the inventory in force is invalid."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("action", choices=("check",), help="check a file; nothing is sent")
    parser.add_argument("new", type=Path, help="the inventory that is to be sent")
    parser.add_argument("--against", type=Path, help="the inventory in force")
    parser.add_argument("--format", choices=("text", "json"), default="text")


@command(
    "config",
    "check an inventory before it is sent: exit code 0 for no finding, 1 for findings, 2 for a"
    " file that cannot be read",
    "lentilwell config check new.ini --against in-force.ini --format json",
    add_arguments,
)
def run_config(options: argparse.Namespace) -> int:
    """Print what is wrong with an inventory and what it changes; return the exit code."""
    try:
        report = check_inventory(options.new, options.against)
    except UnreadableFile as error:
        sys.stderr.write(f"lentilwell: {error}\n")
        return EXIT_UNREADABLE
    if options.format == "json":
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    else:
        sys.stdout.write("\n".join([*report.findings, *report.changes] or ["right"]) + "\n")
    return EXIT_FINDINGS if report.findings else EXIT_DONE


def check_inventory(new: Path, in_force: Path | None) -> Report:
    """Return the report; raise ``UnreadableFile`` if a file cannot be read."""
    text = _read(new)
    old_text = _read(in_force) if in_force is not None else None
    try:
        document, _ = parse_document(text, CHECKED_VERSION)
    except InventoryError as error:
        return Report([str(problem) for problem in error.problems], [])
    if old_text is None:
        return Report([], [])
    try:
        old_document, _ = parse_document(old_text, CHECKED_VERSION)
    except InventoryError as error:
        raise UnreadableFile(f"{in_force}: {error}") from error
    return Report([], diff_documents(old_document, document))


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UnreadableFile(f"{path}: {error}") from error
