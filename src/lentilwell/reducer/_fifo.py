"""Persistent queue of names; append, prepend, pop and length take amortized O(1)."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class ListNode:
    """One name and the rest of an immutable singly linked list."""

    name: str
    rest: ListNode | None


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Fifo:
    """Queue of names as two linked lists.

    ``front`` contains the first names in order, ``back`` the others in reverse order. ``front`` is
    empty only if the whole queue is empty, so the first name is always at its head.
    """

    front: ListNode | None = None
    back: ListNode | None = None
    size: int = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[str]:
        """Yield the names, first to last."""
        yield from list_names(self.front)
        yield from reversed(list_names(self.back))

    @property
    def first(self) -> str:
        """Return the first name; raises IndexError if the queue is empty."""
        if self.front is None:
            raise IndexError("the queue is empty")
        return self.front.name

    def append(self, name: str) -> Fifo:
        """Return a queue with ``name`` added at the end."""
        if self.front is None:
            return Fifo(ListNode(name, None), None, 1)
        return Fifo(self.front, ListNode(name, self.back), self.size + 1)

    def prepend(self, name: str) -> Fifo:
        """Return a queue with ``name`` added at the start."""
        return Fifo(ListNode(name, self.front), self.back, self.size + 1)

    def pop(self) -> Fifo:
        """Return a queue without the first name; raises IndexError if the queue is empty."""
        if self.front is None:
            raise IndexError("the queue is empty")
        rest = self.front.rest
        if rest is not None:
            return Fifo(rest, self.back, self.size - 1)
        return make_fifo(reversed(list_names(self.back)))


def make_fifo(names: Iterable[str]) -> Fifo:
    """Return a queue of the given names, in their order."""
    front: ListNode | None = None
    ordered = list(names)
    for name in reversed(ordered):
        front = ListNode(name, front)
    return Fifo(front, None, len(ordered))


def list_names(node: ListNode | None) -> list[str]:
    """Return the names of a linked list, from ``node`` on."""
    names: list[str] = []
    while node is not None:
        names.append(node.name)
        node = node.rest
    return names
