"""The prefix cache of the stand-in engine: an LRU cache of blocks with numbered events."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

BLOCK_TOKENS = 1_024
BLOCK_BYTES = 4_096
MAX_EVENTS = 8_192


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of the prompt's complete blocks, each chained to the previous one."""
    block_hashes: list[int] = []
    previous = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        previous = xxhash.xxh64_intdigest(prompt[start : start + BLOCK_BYTES], seed=previous)
        block_hashes.append(previous)
    return tuple(block_hashes)


@dataclass(frozen=True)
class BlockEvent:
    """Reports that a block was stored (``stored``) or evicted."""

    sequence: int
    stored: bool
    block: int


@dataclass
class PrefixCache:
    """Cached blocks, least recently used first, and the events of their changes.

    The next ``events_to_drop`` events get a number but are not published, which leaves a gap.
    """

    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: deque[BlockEvent] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    sequence: int = 0
    events_to_drop: int = 0

    @property
    def tokens(self) -> int:
        """Return the memory used by the cached blocks, in tokens."""
        return len(self.blocks) * BLOCK_TOKENS

    def match_prefix(self, block_hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark these as recently used."""
        count = 0
        while count < len(block_hashes) and block_hashes[count] in self.blocks:
            count += 1
        for block in reversed(block_hashes[:count]):
            self.blocks.move_to_end(block)
        return count

    def store(self, block_hashes: Sequence[int], capacity_tokens: int) -> None:
        """Store the leading blocks that fit into the capacity; evict least recently used ones."""
        max_blocks = max(0, capacity_tokens) // BLOCK_TOKENS
        for block in reversed(block_hashes[:max_blocks]):
            if block not in self.blocks:
                self.publish(True, block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        self.shrink(capacity_tokens)

    def shrink(self, capacity_tokens: int) -> None:
        """Evict least recently used blocks until the others fit into the capacity."""
        while self.blocks and self.tokens > capacity_tokens:
            block, _ = self.blocks.popitem(last=False)
            self.publish(False, block)

    def publish(self, stored: bool, block: int) -> None:
        """Number an event and publish it, unless it is one of ``events_to_drop``."""
        self.sequence += 1
        if self.events_to_drop > 0:
            self.events_to_drop -= 1
            return
        self.events.append(BlockEvent(self.sequence, stored, block))

    def list_events_after(self, sequence: int) -> list[BlockEvent]:
        """Return the retained events with a higher sequence number than this one."""
        return [event for event in self.events if event.sequence > sequence]
