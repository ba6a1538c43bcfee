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

from bench.capacity_model import Table, format_number, render_table
from bench.control_tables import (
    build_configuration_table,
    build_losses_table,
    build_owner_table,
    build_peer_table,
    build_platform_table,
)
from bench.node_tables import build_data_path_table, build_decisions_table, build_sizes_table
from bench.slopes import Slope, read_slopes

PAGE = Path("docs/CAPACITY.md")
MARKER = re.compile(r"(<!-- table ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def build_tables() -> dict[str, Table]:
    """Build all tables of the capacity page, by name."""
    tables = (
        build_sizes_table(),
        build_data_path_table(),
        build_decisions_table(),
        build_owner_table(),
        build_peer_table(),
        build_configuration_table(),
        build_platform_table(),
        build_losses_table(),
    )
    return {table.name: table for table in tables}


def render_slopes(slopes: Mapping[str, Slope]) -> str:
    """Render the table of slopes with the command and commit that measured each."""
    rows = ["| slope | value | run | commit |", "|---|---|---|---|"]
    rows += [
        f"| {s.name} | {format_number(s.value)} {s.unit} | `{s.run}` | {s.commit} |"
        for s in sorted(slopes.values(), key=lambda slope: slope.name)
    ]
    return "\n".join(rows)


def update_tables(text: str, slopes: Mapping[str, Slope]) -> str:
    """Return the page text with all its tables regenerated."""
    tables = build_tables()

    def render_match(match: re.Match[str]) -> str:
        name = match[2]
        body = render_slopes(slopes) if name == "slopes" else render_table(tables[name], slopes)
        return f"{match[1]}{body}\n{match[3]}"

    return MARKER.sub(render_match, text)


def main() -> int:
    """Update the page, or check that it is up to date."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity", description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = PAGE.read_text()
    updated = update_tables(text, read_slopes())
    if options.check:
        return 0 if updated == text else 1
    PAGE.write_text(updated)
    return 0


if __name__ == "__main__":
    sys.exit(main())
