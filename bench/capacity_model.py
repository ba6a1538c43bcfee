"""Lines of the capacity page: sums of products of known numbers and measured slopes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bench.slopes import Slope

NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Constant:
    """A number that is given or follows from given ones, with what it counts."""

    value: float
    label: str


@dataclass(frozen=True)
class SlopeReference:
    """A slope, by its name in the slopes file."""

    name: str


Factor = Constant | SlopeReference
Product = Sequence[Factor]


@dataclass(frozen=True)
class TableRow:
    """One figure: a sum of products, its unit, and the limit that it has to stay under."""

    item: str
    products: Sequence[Product]
    unit: str
    limit: float | None = None


@dataclass(frozen=True)
class Table:
    """The lines of one part of the page, found there by its name."""

    name: str
    rows: Sequence[TableRow]


def format_number(value: float) -> str:
    """Return a number with three significant digits, and whole ones in full."""
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def evaluate_row(row: TableRow, slopes: Mapping[str, Slope]) -> float | None:
    """Return the line's value, or None where a slope is not measured."""
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
    """Return a factor as it stands in the arithmetic."""
    if isinstance(factor, Constant):
        return f"{format_number(factor.value)} {factor.label}".strip()
    slope = slopes.get(factor.name)
    if slope is None:
        return f"[{factor.name}: {NOT_MEASURED}]"
    return f"{format_number(slope.value)} {slope.unit} [{factor.name}]"


def compare_with_limit(value: float | None, row: TableRow) -> str:
    """Return how the figure stands against its limit."""
    if value is None:
        return NOT_MEASURED
    if row.limit is None:
        return ""
    if value <= row.limit:
        return "within"
    return f"{format_number(value / row.limit)} times over"


def render_table(table: Table, slopes: Mapping[str, Slope]) -> str:
    """Return a table in Markdown, with the arithmetic of each line."""
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
