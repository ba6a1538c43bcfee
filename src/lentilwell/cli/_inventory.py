"""Commands on settings and on the inventory: offline checks, and get, diff and put."""

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
from lentilwell.cli._commands import add_settings, command
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


def add_check(parser: argparse.ArgumentParser) -> None:
    """Arrange the arguments of ``check``."""
    parser.add_argument("--settings", type=Path, action="append", default=[], help="settings file")
    parser.add_argument(
        "--inventory", type=Path, action="append", default=[], help="inventory file"
    )


@command(
    "check",
    "check settings and inventory files without reaching anything",
    "lentilwell check --settings entry.ini --inventory inventory.ini",
    add_check,
)
def check_files(options: argparse.Namespace) -> int:
    """Check files; every fault is printed with its line."""
    if not options.settings and not options.inventory:
        raise UsageError("name a file to check: --settings FILE or --inventory FILE")
    for path in options.settings:
        read_settings(path)
        write(f"{path}: settings are right")
    for path in options.inventory:
        document, _ = parse_document(read_text(path), 1)
        write(f"{path}: inventory is right, {len(document)} sections")
    return EXIT_DONE


def add_inventory(parser: argparse.ArgumentParser) -> None:
    """Arrange the arguments of ``inventory get``, ``diff`` and ``put``."""
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    get = actions.add_parser("get", help="print the accepted inventory, its version first")
    add_settings(get)
    get.set_defaults(act=get_inventory)
    diff = actions.add_parser("diff", help="print how a file differs from the accepted inventory")
    add_settings(diff)
    diff.add_argument("file", type=Path)
    diff.set_defaults(act=diff_inventory)
    put = actions.add_parser("put", help="make a file the next accepted inventory")
    add_settings(put)
    put.add_argument("file", type=Path)
    put.add_argument(
        "--base",
        type=int,
        help="the version the file was edited from; by default the one its first line names",
    )
    put.set_defaults(act=put_inventory)


@command(
    "inventory",
    "get, compare or change the accepted inventory",
    "lentilwell inventory get --settings entry.ini > inventory.ini\n"
    "  lentilwell inventory diff --settings entry.ini inventory.ini\n"
    "  lentilwell inventory put --settings entry.ini inventory.ini\n"
    "  lentilwell inventory put --settings entry.ini --base 0 first.ini",
    add_inventory,
)
def run_inventory(options: argparse.Namespace) -> int:
    """Run one action on the inventory."""
    code: int = options.act(options)
    return code


def get_inventory(options: argparse.Namespace) -> int:
    """Print the accepted inventory; its first line names the version."""
    loaded = open_editor(options).get()
    edit_id = loaded.configuration.head.edit_id if loaded.configuration is not None else "none"
    write(f"# version {loaded.version}, edit {edit_id}")
    write(render_document(accepted_document(loaded)))
    return EXIT_DONE


def diff_inventory(options: argparse.Namespace) -> int:
    """Print the lines by which a file differs from the accepted inventory."""
    document, _ = parse_document(read_text(options.file), 1)
    loaded = open_editor(options).get()
    write(f"accepted version {loaded.version} (-) against {options.file} (+):")
    for line in diff_documents(accepted_document(loaded), document):
        write(line)
    return EXIT_DONE


def put_inventory(options: argparse.Namespace) -> int:
    """Put a file as the version after the one it was edited from."""
    text = read_text(options.file)
    base = options.base if options.base is not None else find_base(text)
    document, _ = parse_document(text, 1)
    edit_id = uuid.uuid4().hex
    version = open_editor(options).put(document, base, edit_id)
    write(f"version {version} is accepted" + (", nothing changed" if version == base else ""))
    return EXIT_DONE


def find_base(text: str) -> int:
    """Return the version that the first line names, or raise UsageError."""
    found = _VERSION_LINE.match(text)
    if found is None:
        raise UsageError(
            "the file does not say which version it was edited from; keep the first line of "
            "'inventory get' or give --base VERSION (0 for the first inventory)"
        )
    return int(found[1])


def accepted_document(loaded: AcceptedVersion) -> Document:
    """Return the accepted sections, or none."""
    return pmap() if loaded.configuration is None else loaded.configuration.document


def open_editor(options: argparse.Namespace) -> ConfigurationEditor:
    """Return an editor on the platform that the settings name."""
    platform = read_settings(options.settings).platform
    return ConfigurationEditor(
        DIALECTS[platform.dialect](platform), lambda ms: time.sleep(ms / MS_PER_SECOND)
    )


def read_text(path: Path) -> str:
    """Read a file, or raise UsageError."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"cannot read {path}: {error}; check the path") from error


def write(line: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(line + "\n")
