"""Commands that read gateway logs: ``explain`` for one request, ``losses`` for lost requests."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from lentilwell._errors import EXIT_DONE, RefusedError, UsageError
from lentilwell.cli._commands import command
from lentilwell.cli._losses import GROUP_KEYS, LossCounter, render_losses
from lentilwell.cli._timeline import LoggedLine, build_timeline, parse_line, render_timeline

DEFAULT_ROWS = 20


def add_log_files_argument(parser: argparse.ArgumentParser) -> None:
    """Add the positional arguments for the log files."""
    parser.add_argument(
        "files", nargs="*", type=Path, help="logs of instances; standard input without any"
    )


def add_explain_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``explain``: the request id and the log files."""
    parser.add_argument("request", help="the id that the caller sent with the request")
    add_log_files_argument(parser)


@command(
    "explain",
    "tell what happened to a request, from the logs of all instances",
    "lentilwell explain 5e3a9c gateway-1.log gateway-2.log",
    add_explain_arguments,
)
def explain_request(options: argparse.Namespace) -> int:
    """Print the timeline of a request in the order of its events."""
    timeline = build_timeline(options.request, read_logs(options.files))
    if timeline is None:
        raise RefusedError(
            f"no log line names request {options.request}; pass the logs of all instances from "
            "the time of the request, and check the id: each retry by a caller has its own id"
        )
    for row in render_timeline(timeline):
        sys.stdout.write(f"{row}\n")
    return EXIT_DONE


def add_losses_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``losses``: the grouping, the number of rows and the log files."""
    parser.add_argument(
        "--by", choices=sorted(GROUP_KEYS), default="cause", help="what to add up by"
    )
    parser.add_argument("--most", type=int, default=DEFAULT_ROWS, help="rows to print")
    add_log_files_argument(parser)


@command(
    "losses",
    "add up why requests were late or not served, from the logs of all instances",
    "lentilwell losses --by cause gateway-*.log",
    add_losses_arguments,
)
def count_losses(options: argparse.Namespace) -> int:
    """Print the largest groups of lost requests."""
    counter = LossCounter(GROUP_KEYS[options.by])
    for text in read_lines(options.files):
        logged = parse_line(text)
        if logged is not None:
            counter.record_line(logged)
    for row in render_losses(counter, options.most):
        sys.stdout.write(f"{row}\n")
    return EXIT_DONE


def read_logs(files: Iterable[Path]) -> list[LoggedLine]:
    """Return the parsed gateway log lines of all files, and skip all other text."""
    return [logged for text in read_lines(files) if (logged := parse_line(text)) is not None]


def read_lines(files: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input if no file is given."""
    paths = list(files)
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise UsageError(f"cannot read {path}: {error.strerror}") from error
