"""The ``check`` command for files, and ``inventory`` to get, compare or change the inventory."""

from __future__ import annotations

import argparse
import re
import sys
import time
import uuid
from pathlib import Path

from pyrsistent import pmap

from lentilwell._clock import MS_PER_SECOND
from lentilwell._errors import EXIT_DONE, UsageError
from lentilwell.adapters import DIALECTS
from lentilwell.cli._commands import add_settings_argument, command
from lentilwell.configuration import (
    AcceptedVersion,
    ConfigurationEditor,
    Document,
    diff_documents,
    parse_document,
    read_settings,
    render_document,
)

_VERSION_LINE = re.compile(r"# version (\d{1,15})\b")


def add_check_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``check``."""
    parser.add_argument("--settings", type=Path, action="append", default=[], help="settings file")
    parser.add_argument(
        "--inventory", type=Path, action="append", default=[], help="inventory file"
    )


@command(
    "check",
    "check settings and inventory files without reaching anything",
    "lentilwell check --settings entry.ini --inventory inventory.ini",
    add_check_arguments,
)
def check_files(options: argparse.Namespace) -> int:
    """Check settings and inventory files, and report every error with its line number."""
    if not options.settings and not options.inventory:
        raise UsageError("no file to check; pass --settings FILE or --inventory FILE")
    for path in options.settings:
        read_settings(path)
        print_line(f"{path}: settings are right")
    for path in options.inventory:
        document, _ = parse_document(read_text(path), 1)
        print_line(f"{path}: inventory is right, {len(document)} sections")
    return EXIT_DONE


def add_inventory_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands ``get``, ``diff`` and ``put`` with their arguments."""
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    get = actions.add_parser("get", help="print the accepted inventory, its version first")
    add_settings_argument(get)
    get.set_defaults(run_action=get_inventory)
    diff = actions.add_parser("diff", help="print how a file differs from the accepted inventory")
    add_settings_argument(diff)
    diff.add_argument("file", type=Path)
    diff.set_defaults(run_action=diff_inventory)
    put = actions.add_parser("put", help="make a file the next accepted inventory")
    add_settings_argument(put)
    put.add_argument("file", type=Path)
    put.add_argument(
        "--base",
        type=int,
        help="the version the file was edited from; by default the one its first line names",
    )
    put.set_defaults(run_action=put_inventory)


@command(
    "inventory",
    "get, compare or change the accepted inventory",
    "lentilwell inventory get --settings entry.ini > inventory.ini\n"
    "  lentilwell inventory diff --settings entry.ini inventory.ini\n"
    "  lentilwell inventory put --settings entry.ini inventory.ini\n"
    "  lentilwell inventory put --settings entry.ini --base 0 first.ini",
    add_inventory_arguments,
)
def run_inventory(options: argparse.Namespace) -> int:
    """Run the chosen subcommand of ``inventory``."""
    code: int = options.run_action(options)
    return code


def get_inventory(options: argparse.Namespace) -> int:
    """Print the accepted inventory. The first line gives its version."""
    loaded = open_editor(options).get()
    edit_id = loaded.configuration.head.edit_id if loaded.configuration is not None else "none"
    print_line(f"# version {loaded.version}, edit {edit_id}")
    print_line(render_document(get_accepted_document(loaded)))
    return EXIT_DONE


def diff_inventory(options: argparse.Namespace) -> int:
    """Print the differences between the accepted inventory and a file."""
    document, _ = parse_document(read_text(options.file), 1)
    loaded = open_editor(options).get()
    print_line(f"accepted version {loaded.version} (-) against {options.file} (+):")
    for line in diff_documents(get_accepted_document(loaded), document):
        print_line(line)
    return EXIT_DONE


def put_inventory(options: argparse.Namespace) -> int:
    """Store a file as the successor of the version that it was edited from."""
    text = read_text(options.file)
    base = options.base if options.base is not None else parse_base_version(text)
    document, _ = parse_document(text, 1)
    edit_id = uuid.uuid4().hex
    version = open_editor(options).put(document, base, edit_id)
    print_line(f"version {version} is accepted" + (", nothing changed" if version == base else ""))
    return EXIT_DONE


def parse_base_version(text: str) -> int:
    """Return the version given in the first line, or raise ``UsageError`` if there is none."""
    match = _VERSION_LINE.match(text)
    if match is None:
        raise UsageError(
            "the file does not name the version it was edited from; keep the first line printed by "
            "'inventory get', or pass --base VERSION (0 for the first inventory)"
        )
    return int(match[1])


def get_accepted_document(loaded: AcceptedVersion) -> Document:
    """Return the sections of the accepted inventory, empty if none has been accepted."""
    return pmap() if loaded.configuration is None else loaded.configuration.document


def open_editor(options: argparse.Namespace) -> ConfigurationEditor:
    """Return an editor that uses the platform from the settings."""
    platform = read_settings(options.settings).platform
    return ConfigurationEditor(
        DIALECTS[platform.dialect](platform), lambda ms: time.sleep(ms / MS_PER_SECOND)
    )


def read_text(path: Path) -> str:
    """Return the text of a file, or raise ``UsageError`` if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"cannot read {path}: {error}; check the path") from error


def print_line(line: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(line + "\n")
