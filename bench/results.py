"""Results of a benchmark run, and their output as a table and as a data file."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from math import isnan
from pathlib import Path
from statistics import median

PERCENT = 100


@dataclass(frozen=True)
class Row:
    """One figure of one case with a value for each seed; ``target`` is empty if there is none."""

    measure: str
    case: str
    figure: str
    values: tuple[float, ...]
    target: str = ""

    @property
    def median(self) -> float:
        """Return the median over the seeds."""
        return median(self.values)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the percentile by the nearest-rank method, or NaN if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * percent // PERCENT))
    return ordered[int(rank) - 1]


def write_line(line: str) -> None:
    """Write one line to standard output and flush it."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def write_table(rows: Sequence[Row]) -> None:
    """Write the figures as a table with the median, minimum and maximum over the seeds."""
    headers = ("measure", "case", "figure", "median", "least", "greatest", "target")
    cells = [
        (
            row.measure,
            row.case,
            row.figure,
            f"{row.median:.3g}" if row.median < 1_000 else f"{row.median:.0f}",
            f"{min(row.values):.4g}",
            f"{max(row.values):.4g}",
            row.target,
        )
        for row in rows
    ]
    widths = [max(len(line[n]) for line in (headers, *cells)) for n in range(len(headers))]
    for line in (headers, *cells):
        pairs = zip(line, widths, strict=True)
        write_line("  ".join(cell.ljust(width) for cell, width in pairs).rstrip())


def read_commit() -> str:
    """Return the current commit, marked as dirty if the working tree differs from it."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    described = subprocess.run(command, capture_output=True, text=True, check=False)
    return described.stdout.strip() or "unknown"


def encode_row(row: Row) -> dict[str, object]:
    """Return a row for the data file; a figure that a run did not produce (NaN) becomes null."""
    values = [None if isnan(value) else value for value in row.values]
    return {**asdict(row), "values": values, "median": None if None in values else row.median}


def write_data(path: Path, command: str, commit: str, rows: Sequence[Row], details: object) -> None:
    """Write the figures and the details of their runs as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    data = {
        "command": command,
        "commit": commit,
        "rows": [encode_row(row) for row in rows],
        "details": details,
    }
    path.write_text(json.dumps(data, indent=1) + "\n")
