"""Works out the tables of ``docs/CAPACITY.md`` from the target's sizes and the measured slopes.

``python -m bench.capacity`` writes the tables into the page between their markers;
``--check`` only says, by exit code 1, that page and slopes disagree.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Mapping
from pathlib import Path

from bench.control_tables import (
    list_configuration,
    list_losses,
    list_owner,
    list_peer,
    list_platform,
)
from bench.node_tables import list_data_path, list_decisions, list_sizes
from bench.sheet import Table, render, show
from bench.slopes import Slope, read_slopes

PAGE = Path("docs/CAPACITY.md")
MARKER = re.compile(r"(<!-- table ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def make_tables() -> dict[str, Table]:
    """Return all tables by name."""
    tables = (
        list_sizes(),
        list_data_path(),
        list_decisions(),
        list_owner(),
        list_peer(),
        list_configuration(),
        list_platform(),
        list_losses(),
    )
    return {table.name: table for table in tables}


def render_slopes(slopes: Mapping[str, Slope]) -> str:
    """Return the table of slopes with the run that gave each."""
    rows = ["| slope | value | run | commit |", "|---|---|---|---|"]
    rows += [
        f"| {s.name} | {show(s.value)} {s.unit} | `{s.run}` | {s.commit} |"
        for s in sorted(slopes.values(), key=lambda slope: slope.name)
    ]
    return "\n".join(rows)


def fill_page(text: str, slopes: Mapping[str, Slope]) -> str:
    """Return the page with every table worked out anew."""
    tables = make_tables()

    def replace_table(match: re.Match[str]) -> str:
        name = match[2]
        body = render_slopes(slopes) if name == "slopes" else render(tables[name], slopes)
        return f"{match[1]}{body}\n{match[3]}"

    return MARKER.sub(replace_table, text)


def main() -> int:
    """Write or check the page."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity", description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = PAGE.read_text()
    filled = fill_page(text, read_slopes())
    if options.check:
        return 0 if filled == text else 1
    PAGE.write_text(filled)
    return 0


if __name__ == "__main__":
    sys.exit(main())
