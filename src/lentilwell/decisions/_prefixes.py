"""Approximate index of the prompt blocks that each engine has cached, from its cache events.

Events arrive late and with gaps. After a gap, or in a new incarnation of the engine, the index
restarts empty. So it may lack blocks, but keeps none whose eviction was missed. The number of
indexed engines and of blocks per engine is bounded; blocks beyond the bounds are not indexed.
Hashes are salted with the cache group, so a block of another group is never found.
"""

from __future__ import annotations

from collections.abc import Sequence

from pyrsistent import PSet, pset

from lentilwell._messages import Request
from lentilwell.reducer import CacheChanged, EngineCache, State, Step, handles, replace

MAX_BLOCKS = 4_096
MAX_INDEXES = 64


@handles(CacheChanged)
def handle_cache_changed(state: State, event: CacheChanged) -> Step:
    """Update an engine's index with its cache events."""
    if event.engine not in state.engines:
        return replace(state, caches=state.caches.discard(event.engine)), ()
    cache = state.caches.get(event.engine)
    if cache is None and len(state.caches) >= MAX_INDEXES:
        return state, ()
    if cache is None or cache.incarnation != event.incarnation:
        cache = EngineCache(event.incarnation)
    cache = apply_cache_events(cache, event)
    return replace(state, caches=state.caches.set(event.engine, cache)), ()


def apply_cache_events(cache: EngineCache, event: CacheChanged) -> EngineCache:
    """Return the index after the events; events that were applied before are ignored."""
    blocks = cache.blocks
    sequence = cache.sequence
    for change in event.events:
        if change.sequence <= sequence:
            continue
        if change.sequence != sequence + 1:
            blocks = pset()
        sequence = change.sequence
        if not change.stored:
            blocks = blocks.discard(change.block)
        elif len(blocks) < MAX_BLOCKS:
            blocks = blocks.add(change.block)
    return replace(cache, sequence=sequence, blocks=blocks)


def last_sequence(state: State, engine: str) -> int:
    """Return the last applied sequence of an engine's cache events.

    It is 0 if no event of the engine's present incarnation is applied; the events are then read
    from the start.
    """
    cache = state.caches.get(engine)
    view = state.engines.get(engine)
    if cache is None or view is None or view.incarnation not in ("", cache.incarnation):
        return 0
    return cache.sequence


def count_cached_tokens(state: State, request: Request, engine: str) -> int:
    """Estimate how many tokens of the prompt an engine has cached and need not prefill."""
    cache = state.caches.get(engine)
    view = state.engines.get(engine)
    if cache is None or view is None or not request.prefix:
        return 0
    if view.incarnation not in ("", cache.incarnation):
        return 0
    blocks = count_cached_blocks(request.prefix, cache.blocks)
    return request.prompt_tokens * blocks // len(request.prefix)


def count_cached_blocks(hashes: Sequence[int], blocks: PSet[int]) -> int:
    """Return how many leading blocks are cached, by bisection.

    Each hash covers all blocks before it, so the cached blocks are always the first ones.
    """
    low, high = 0, len(hashes)
    while low < high:
        middle = (low + high) // 2
        if hashes[middle] in blocks:
            low = middle + 1
        else:
            high = middle
    return low
