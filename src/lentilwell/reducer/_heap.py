"""Persistent priority queue: a leftist heap with push, pop and merge in O(log n)."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Node:
    """One entry and its two subtrees; ``rank`` is the number of nodes on the rightmost path."""

    key: float
    item: str
    rank: int
    left: Node | None
    right: Node | None


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Heap:
    """Heap of items, popped in ascending order of key, then of item; copies share nodes."""

    root: Node | None = None
    size: int = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[str]:
        """Yield the items in no particular order."""
        pending = [self.root]
        while pending:
            node = pending.pop()
            if node is not None:
                yield node.item
                pending += (node.left, node.right)

    @property
    def key(self) -> float:
        """Return the lowest key, or infinity if the heap is empty."""
        return float("inf") if self.root is None else self.root.key

    def push(self, key: float, item: str) -> Heap:
        """Return a heap with ``item`` added under ``key``."""
        return Heap(merge_nodes(self.root, Node(key, item, 1, None, None)), self.size + 1)

    def pop(self) -> tuple[str, Heap]:
        """Return the item with the lowest key, and a heap without it."""
        if self.root is None:
            raise IndexError("the heap is empty")
        rest = merge_nodes(self.root.left, self.root.right)
        return self.root.item, Heap(rest, self.size - 1)


def merge_nodes(first: Node | None, second: Node | None) -> Node | None:
    """Return one tree with the entries of both trees."""
    if first is None or second is None:
        return first or second
    if (second.key, second.item) < (first.key, first.item):
        first, second = second, first
    right = merge_nodes(first.right, second)
    left = first.left
    if left is None or (right is not None and left.rank < right.rank):
        left, right = right, left
    return Node(first.key, first.item, (right.rank if right else 0) + 1, left, right)
