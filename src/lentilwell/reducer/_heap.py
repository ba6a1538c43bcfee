"""A persistent priority queue: a leftist heap, O(log n) to push, pop and merge."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Node:
    """One entry and its two subtrees; ``rank`` is the length of the right spine."""

    key: float
    item: str
    rank: int
    left: Node | None
    right: Node | None


@dataclass(frozen=True, eq=False, repr=False, slots=True)
class Heap:
    """Items by rising key; equal keys come out by item. Versions share their nodes."""

    root: Node | None = None
    size: int = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[str]:
        """Yield the items in no particular order."""
        left = [self.root]
        while left:
            node = left.pop()
            if node is not None:
                yield node.item
                left += (node.left, node.right)

    @property
    def key(self) -> float:
        """Return the lowest key, or infinity where there is none."""
        return float("inf") if self.root is None else self.root.key

    def push(self, key: float, item: str) -> Heap:
        """Return the heap with one more entry."""
        return Heap(merge_nodes(self.root, Node(key, item, 1, None, None)), self.size + 1)

    def pop(self) -> tuple[str, Heap]:
        """Return the item of the lowest key and the heap without it."""
        if self.root is None:
            raise IndexError("the heap is empty")
        rest = merge_nodes(self.root.left, self.root.right)
        return self.root.item, Heap(rest, self.size - 1)


def merge_nodes(one: Node | None, other: Node | None) -> Node | None:
    """Return one tree with the entries of both."""
    if one is None or other is None:
        return one or other
    if (other.key, other.item) < (one.key, one.item):
        one, other = other, one
    right = merge_nodes(one.right, other)
    left = one.left
    if left is None or (right is not None and left.rank < right.rank):
        left, right = right, left
    return Node(one.key, one.item, (right.rank if right else 0) + 1, left, right)
