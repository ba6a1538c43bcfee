"""Runs the reducer: one worker owns the state; effects go to runners registered by type."""

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
    """Owns the state. ``post`` may be called from any thread and never blocks."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._runners: dict[type[Effect], EffectRunner] = {}
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="reducer")
        self.event_count = 0

    @property
    def state(self) -> State:
        """Return the newest state; it is frozen, so any thread may read it."""
        return self._state

    def register_runner(
        self, effect_type: type[_EffectT]
    ) -> Callable[[Callable[[State, _EffectT], None]], Callable[[State, _EffectT], None]]:
        """Register the decorated function to carry out an effect; it must not block."""

        def register(
            runner: Callable[[State, _EffectT], None],
        ) -> Callable[[State, _EffectT], None]:
            self._runners[effect_type] = runner
            return runner

        return register

    def post(self, event: Event) -> Future[None]:
        """Apply an event after those posted before it."""
        return self._executor.submit(self._apply, event)

    def close(self) -> None:
        """Apply what was posted, then stop."""
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
