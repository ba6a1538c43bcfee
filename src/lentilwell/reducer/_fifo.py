"""A persistent queue of names: amortized O(1) at both ends, also for asking whether it is empty."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Cell:
    """One name and the cells behind it."""

    name: str
    rest: Cell | None


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Fifo:
    """Names in order: ``front`` from the first on, then ``back`` from the last on."""

    front: Cell | None = None
    back: Cell | None = None
    size: int = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[str]:
        """Yield the names in order."""
        yield from list_cells(self.front)
        yield from reversed(list_cells(self.back))

    @property
    def first(self) -> str:
        """Return the first name; IndexError where there is none."""
        if self.front is None:
            raise IndexError("the queue is empty")
        return self.front.name

    def append(self, name: str) -> Fifo:
        """Return the queue with one more name at the end."""
        if self.front is None:
            return Fifo(Cell(name, None), None, 1)
        return Fifo(self.front, Cell(name, self.back), self.size + 1)

    def prepend(self, name: str) -> Fifo:
        """Return the queue with one more name at the start."""
        return Fifo(Cell(name, self.front), self.back, self.size + 1)

    def pop(self) -> Fifo:
        """Return the queue without its first name; the front is never empty before the back."""
        if self.front is None:
            raise IndexError("the queue is empty")
        rest = self.front.rest
        if rest is not None:
            return Fifo(rest, self.back, self.size - 1)
        return make_fifo(reversed(list_cells(self.back)))


def make_fifo(names: Iterable[str]) -> Fifo:
    """Return a queue of these names in their order."""
    front: Cell | None = None
    ordered = list(names)
    for name in reversed(ordered):
        front = Cell(name, front)
    return Fifo(front, None, len(ordered))


def list_cells(cell: Cell | None) -> list[str]:
    """Return the names of a chain of cells."""
    names: list[str] = []
    while cell is not None:
        names.append(cell.name)
        cell = cell.rest
    return names
