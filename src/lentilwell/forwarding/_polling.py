"""Periodic reading of the engines' load reports and cache events."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from result import Err

from lentilwell._clock import Clock
from lentilwell._inventory import Engine
from lentilwell._ports import EngineControl
from lentilwell.decisions import last_sequence
from lentilwell.reducer import CacheChanged, LoadReported, LoadUnreadable, ReducerWorker

REPORT_INTERVAL_MS = 250
CACHE_INTERVAL_MS = 500
MAX_CONCURRENT_READS = 16


class EnginePoller:
    """Reads load reports and cache events from every engine of the inventory.

    An engine that hangs occupies at most one thread for reports and one for cache events.
    """

    def __init__(self, engines: EngineControl, clock: Clock, reducer: ReducerWorker) -> None:
        self._engines = engines
        self._clock = clock
        self._reducer = reducer
        self._reports = _ReaderPool("report")
        self._caches = _ReaderPool("cache")

    def poll_reports(self) -> None:
        """Start reading the load report of each engine that has no such read in progress."""
        for engine in self._list_engines():
            self._reports.read(engine, self._read_report)

    def poll_caches(self) -> None:
        """Start reading the cache events of each engine that has no such read in progress."""
        for engine in self._list_engines():
            self._caches.read(engine, self._read_cache)

    def close(self) -> None:
        """Cancel the queued reads and wait for the running ones."""
        self._reports.close()
        self._caches.close()

    def _list_engines(self) -> tuple[Engine, ...]:
        inventory = self._reducer.state.inventory
        return () if inventory is None else tuple(inventory.engines.values())

    def _read_report(self, engine: Engine) -> None:
        report = self._engines.read_load(engine.name, engine.url)
        now = self._clock.now()
        if isinstance(report, Err):
            self._reducer.post(LoadUnreadable(now, engine.name))
        else:
            self._reducer.post(LoadReported(now, report.ok_value))

    def _read_cache(self, engine: Engine) -> None:
        after = last_sequence(self._reducer.state, engine.name)
        answer = self._engines.read_cache_events(engine.name, engine.url, after)
        if answer.is_ok() and answer.unwrap().events:
            batch = answer.unwrap()
            now = self._clock.now()
            self._reducer.post(CacheChanged(now, engine.name, batch.incarnation, batch.events))


class _ReaderPool:
    """Runs at most one read per engine at a time, on at most MAX_CONCURRENT_READS threads."""

    def __init__(self, name: str) -> None:
        self._executor = ThreadPoolExecutor(MAX_CONCURRENT_READS, thread_name_prefix=name)
        self._pending: dict[str, Future[None]] = {}

    def read(self, engine: Engine, task: Callable[[Engine], None]) -> None:
        last = self._pending.get(engine.name)
        if last is None or last.done():
            self._pending[engine.name] = self._executor.submit(task, engine)

    def close(self) -> None:
        self._executor.shutdown(wait=True, cancel_futures=True)
