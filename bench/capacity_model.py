"""Tables of the capacity page, whose values are sums of products of constants and slopes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bench.slopes import Slope

NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Constant:
    """A given or derived number with a label that states its unit or origin."""

    value: float
    label: str


@dataclass(frozen=True)
class SlopeReference:
    """Refers to a measured slope by its name in the slopes file."""

    name: str


Factor = Constant | SlopeReference
Product = Sequence[Factor]


@dataclass(frozen=True)
class TableRow:
    """One value of a table: a sum of products, its unit, and the upper limit, if there is one."""

    item: str
    products: Sequence[Product]
    unit: str
    limit: float | None = None


@dataclass(frozen=True)
class Table:
    """A table of the capacity page; a marker on the page refers to it by name."""

    name: str
    rows: Sequence[TableRow]


def format_number(value: float) -> str:
    """Format a number with three significant digits, or as a whole number from 1,000 up."""
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def evaluate_row(row: TableRow, slopes: Mapping[str, Slope]) -> float | None:
    """Return the value of the row, or None if a slope has not been measured."""
    total = 0.0
    for product in row.products:
        value = 1.0
        for factor in product:
            if isinstance(factor, Constant):
                value *= factor.value
            elif factor.name in slopes:
                value *= slopes[factor.name].value
            else:
                return None
        total += value
    return total


def format_factor(factor: Factor, slopes: Mapping[str, Slope]) -> str:
    """Format a factor for the arithmetic column."""
    if isinstance(factor, Constant):
        return f"{format_number(factor.value)} {factor.label}".strip()
    slope = slopes.get(factor.name)
    if slope is None:
        return f"[{factor.name}: {NOT_MEASURED}]"
    return f"{format_number(slope.value)} {slope.unit} [{factor.name}]"


def compare_with_limit(value: float | None, row: TableRow) -> str:
    """Return whether the value is within its limit, or by what factor it exceeds the limit."""
    if value is None:
        return NOT_MEASURED
    if row.limit is None:
        return ""
    if value <= row.limit:
        return "within"
    return f"{format_number(value / row.limit)} times over"


def render_table(table: Table, slopes: Mapping[str, Slope]) -> str:
    """Render a table in Markdown, with the arithmetic of each row."""
    lines = ["| item | arithmetic | result | limit | |", "|---|---|---|---|---|"]
    for row in table.rows:
        value = evaluate_row(row, slopes)
        arithmetic = " + ".join(
            " x ".join(format_factor(factor, slopes) for factor in product)
            for product in row.products
        )
        result = NOT_MEASURED if value is None else f"{format_number(value)} {row.unit}"
        limit = "" if row.limit is None else f"{format_number(row.limit)} {row.unit}"
        lines.append(
            f"| {row.item} | {arithmetic} | {result} | {limit} | {compare_with_limit(value, row)} |"
        )
    return "\n".join(lines)
