"""Which prompt blocks each engine has cached: an approximate index from the engines' cache events.

Events come late and with gaps. After a gap, or in a new life of the engine, the index begins anew
with what follows, so it may lack blocks but keeps none whose eviction was lost. The engines indexed
and the blocks of each are bounded; what is beyond the bounds is not noted. Hashes are salted with
the cache group, so a block of another group is never found.
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
    """Bring an engine's index up to date."""
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
    """Return the index after the events; those that were seen before change nothing."""
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
    """Return the last sequence known of an engine's events; 0 reads them from the beginning."""
    cache = state.caches.get(engine)
    view = state.engines.get(engine)
    if cache is None or view is None or view.incarnation not in ("", cache.incarnation):
        return 0
    return cache.sequence


def count_cached_tokens(state: State, request: Request, engine: str) -> int:
    """Return about how many tokens of the prompt an engine need not prefill again."""
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

    A chain is cached from its beginning, since each hash covers all before it.
    """
    low, high = 0, len(hashes)
    while low < high:
        middle = (low + high) // 2
        if hashes[middle] in blocks:
            low = middle + 1
        else:
            high = middle
    return low
