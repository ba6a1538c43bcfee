"""Records when the event loops of a test run stood still, and holds them up on request.

A test that fails then reports the longest pauses and the callbacks that caused them. ``HOLD_UPS``
in the environment, ``SEED:SHARE:MS``, sleeps for up to ``MS`` in that share of the loops' rounds.
"""

from __future__ import annotations

import os
import random
import time
from asyncio import base_events, events
from collections import deque
from dataclasses import dataclass

HOLD_UPS = "LENTILWELL_HOLD_UPS"
# Rounds that take less are not recorded.
SLOW_MS = 20.0
MAX_RECORDED = 200
REPORTED = 8


@dataclass(frozen=True)
class SlowRound:
    """One slow round of an event loop: when it began, how long it took, its slowest callback."""

    began_at: float
    took_ms: float
    held_up_ms: float
    slowest_ms: float
    slowest: str


class ScheduleRecorder:
    """Measures the rounds of all event loops in this process."""

    def __init__(self, hold_ups: str = "") -> None:
        self.rounds: deque[SlowRound] = deque(maxlen=MAX_RECORDED)
        self._installed = False
        self._slowest = (0.0, "")
        self._share, self._max_ms = 0.0, 0.0
        self._random = random.Random()
        if hold_ups:
            seed, share, max_ms = hold_ups.split(":")
            self._random.seed(int(seed))
            self._share, self._max_ms = float(share), float(max_ms)

    def install(self) -> None:
        """Measure every round and callback from now on; a second call has no effect.

        The configuration of the tests is imported twice where a test module imports it too.
        """
        if self._installed:
            return
        self._installed = True
        run_handle, run_once = events.Handle._run, base_events.BaseEventLoop._run_once

        def measured_run(handle):
            began = time.perf_counter()
            run_handle(handle)
            took_ms = (time.perf_counter() - began) * 1_000
            if took_ms > self._slowest[0]:
                self._slowest = (took_ms, repr(handle)[:200])

        def measured_run_once(loop):
            self._slowest = (0.0, "")
            held_up_ms = self._hold_up()
            selecting = loop._selector.select
            waited_s = 0.0

            def select(timeout=None):
                nonlocal waited_s
                began = time.perf_counter()
                found = selecting(timeout)
                waited_s += time.perf_counter() - began
                return found

            loop._selector.select = select
            began = time.perf_counter()
            try:
                run_once(loop)
            finally:
                del loop._selector.select
                took_ms = (time.perf_counter() - began - waited_s) * 1_000 + held_up_ms
                if took_ms >= SLOW_MS:
                    self.rounds.append(SlowRound(began, took_ms, held_up_ms, *self._slowest))

        events.Handle._run = measured_run
        base_events.BaseEventLoop._run_once = measured_run_once

    def _hold_up(self) -> float:
        if not self._share or self._random.random() >= self._share:
            return 0.0
        held_up_ms = self._random.random() * self._max_ms
        time.sleep(held_up_ms / 1_000)
        return held_up_ms

    def describe(self) -> str:
        """Return the longest rounds as text, and the seed of the hold-ups."""
        longest = sorted(self.rounds, key=lambda one: one.took_ms, reverse=True)[:REPORTED]
        rows = [
            f"{one.began_at:.3f} s: {one.took_ms:.0f} ms, held up for {one.held_up_ms:.0f} ms,"
            f" slowest callback {one.slowest_ms:.0f} ms {one.slowest}"
            for one in sorted(longest, key=lambda one: one.began_at)
        ]
        head = f"{len(self.rounds)} rounds of {SLOW_MS:.0f} ms or more;"
        return "\n".join([f"{head} {HOLD_UPS}={os.environ.get(HOLD_UPS, '')}", *rows])


RECORDER = ScheduleRecorder(os.environ.get(HOLD_UPS, ""))
