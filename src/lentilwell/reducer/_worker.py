"""The worker thread that owns the state, applies events and passes effects to their runners."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, TypeVar

from loguru import logger

from lentilwell.reducer._effects import Effect
from lentilwell.reducer._events import Event
from lentilwell.reducer._reducer import reduce
from lentilwell.reducer._state import State

_EffectT = TypeVar("_EffectT", bound=Effect)
EffectRunner = Callable[[State, Any], None]


class ReducerWorker:
    """Owns the state and applies events in one thread; effects go to runners by their type."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._runners: dict[type[Effect], EffectRunner] = {}
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="reducer")
        self.event_count = 0

    @property
    def state(self) -> State:
        """Return the current state; it is immutable, so any thread may read it."""
        return self._state

    def register_runner(
        self, effect_type: type[_EffectT]
    ) -> Callable[[Callable[[State, _EffectT], None]], Callable[[State, _EffectT], None]]:
        """Register the decorated function as the runner of an effect type.

        The runner is called in the worker thread, so it must not block.
        """

        def register(
            runner: Callable[[State, _EffectT], None],
        ) -> Callable[[State, _EffectT], None]:
            self._runners[effect_type] = runner
            return runner

        return register

    def post(self, event: Event) -> Future[None]:
        """Queue an event, to be applied after all events posted before it.

        May be called from any thread and never blocks.
        """
        return self._executor.submit(self._apply, event)

    def close(self) -> None:
        """Apply the queued events, then stop the worker thread."""
        self._executor.shutdown(wait=True)

    def _apply(self, event: Event) -> None:
        try:
            self._state, effects = reduce(self._state, event)
        except Exception:
            logger.exception("reducer failed", event=type(event).__name__)
            return
        self.event_count += 1
        for effect in effects:
            self._run_effect(effect)

    def _run_effect(self, effect: Effect) -> None:
        runner = self._runners.get(type(effect))
        if runner is None:
            return
        try:
            runner(self._state, effect)
        except Exception:
            logger.exception("effect failed", effect=type(effect).__name__)
