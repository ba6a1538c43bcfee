"""Lines of the capacity page: sums of products of known numbers and measured slopes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bench.slopes import Slope

NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Number:
    """A number that is given or follows from given ones, with what it counts."""

    value: float
    label: str


@dataclass(frozen=True)
class Measured:
    """A slope, by its name in the slopes file."""

    name: str


Factor = Number | Measured
Product = Sequence[Factor]


@dataclass(frozen=True)
class Line:
    """One figure: a sum of products, its unit, and the limit that it has to stay under."""

    item: str
    products: Sequence[Product]
    unit: str
    limit: float | None = None


@dataclass(frozen=True)
class Table:
    """The lines of one part of the page, found there by its name."""

    name: str
    lines: Sequence[Line]


def show(value: float) -> str:
    """Return a number with three significant digits, and whole ones in full."""
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def evaluate(line: Line, slopes: Mapping[str, Slope]) -> float | None:
    """Return the line's value, or None where a slope is not measured."""
    total = 0.0
    for product in line.products:
        value = 1.0
        for factor in product:
            if isinstance(factor, Number):
                value *= factor.value
            elif factor.name in slopes:
                value *= slopes[factor.name].value
            else:
                return None
        total += value
    return total


def show_factor(factor: Factor, slopes: Mapping[str, Slope]) -> str:
    """Return a factor as it stands in the arithmetic."""
    if isinstance(factor, Number):
        return f"{show(factor.value)} {factor.label}".strip()
    slope = slopes.get(factor.name)
    if slope is None:
        return f"[{factor.name}: {NOT_MEASURED}]"
    return f"{show(slope.value)} {slope.unit} [{factor.name}]"


def judge(value: float | None, line: Line) -> str:
    """Return how the figure stands against its limit."""
    if value is None:
        return NOT_MEASURED
    if line.limit is None:
        return ""
    if value <= line.limit:
        return "within"
    return f"{show(value / line.limit)} times over"


def render(table: Table, slopes: Mapping[str, Slope]) -> str:
    """Return a table in Markdown, with the arithmetic of each line."""
    rows = ["| item | arithmetic | result | limit | |", "|---|---|---|---|---|"]
    for line in table.lines:
        value = evaluate(line, slopes)
        arithmetic = " + ".join(
            " x ".join(show_factor(factor, slopes) for factor in product)
            for product in line.products
        )
        result = NOT_MEASURED if value is None else f"{show(value)} {line.unit}"
        limit = "" if line.limit is None else f"{show(line.limit)} {line.unit}"
        rows.append(f"| {line.item} | {arithmetic} | {result} | {limit} | {judge(value, line)} |")
    return "\n".join(rows)
