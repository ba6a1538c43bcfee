"""The commands that explain requests from the logs of gateways: one request, and what was lost."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from lentilwell._errors import EXIT_DONE, RefusedError, UsageError
from lentilwell.cli._commands import command
from lentilwell.cli._losses import KEYS, LossCount, render_losses
from lentilwell.cli._story import LoggedLine, find_story, parse_line, render_story

DEFAULT_ROWS = 20


def add_files(parser: argparse.ArgumentParser) -> None:
    """Arrange the files of logs."""
    parser.add_argument(
        "files", nargs="*", type=Path, help="logs of instances; standard input without any"
    )


def add_logs(parser: argparse.ArgumentParser) -> None:
    """Arrange the request's id and the files of logs."""
    parser.add_argument("request", help="the id that the caller sent with the request")
    add_files(parser)


@command(
    "explain",
    "tell what happened to a request, from the logs of all instances",
    "lentilwell explain 5e3a9c gateway-1.log gateway-2.log",
    add_logs,
)
def explain_request(options: argparse.Namespace) -> int:
    """Print the story of a request, in the order of its events."""
    story = find_story(options.request, read_logs(options.files))
    if story is None:
        raise RefusedError(
            f"no line is about {options.request}; give the logs of all instances for its time, "
            "and the id of this very attempt: a caller's retry has another one"
        )
    for row in render_story(story):
        sys.stdout.write(f"{row}\n")
    return EXIT_DONE


def add_losses(parser: argparse.ArgumentParser) -> None:
    """Arrange what to add up by, how much to print, and the files of logs."""
    parser.add_argument("--by", choices=sorted(KEYS), default="cause", help="what to add up by")
    parser.add_argument("--most", type=int, default=DEFAULT_ROWS, help="rows to print")
    add_files(parser)


@command(
    "losses",
    "add up why requests were late or not served, from the logs of all instances",
    "lentilwell losses --by cause gateway-*.log",
    add_losses,
)
def add_up_losses(options: argparse.Namespace) -> int:
    """Print the greatest losses and their causes."""
    count = LossCount(KEYS[options.by])
    for text in read_texts(options.files):
        logged = parse_line(text)
        if logged is not None:
            count.take(logged)
    for row in render_losses(count, options.most):
        sys.stdout.write(f"{row}\n")
    return EXIT_DONE


def read_logs(files: Iterable[Path]) -> list[LoggedLine]:
    """Return the lines of gateways in all files; other texts in them are passed over."""
    return [logged for text in read_texts(files) if (logged := parse_line(text)) is not None]


def read_texts(files: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input where none is named."""
    paths = list(files)
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise UsageError(f"cannot read {path}: {error.strerror}") from error
