"""The recorder of slow rounds of event loops, and its hold-ups."""

import asyncio
import time

from tests.schedule import RECORDER, SLOW_MS, ScheduleRecorder


def test_slow_callback_is_recorded_with_its_name():
    def block():
        time.sleep(2 * SLOW_MS / 1_000)

    async def call_block():
        asyncio.get_running_loop().call_soon(block)
        await asyncio.sleep(0)

    RECORDER.rounds.clear()
    asyncio.run(call_block())
    slow = max(RECORDER.rounds, key=lambda one: one.took_ms)
    assert slow.took_ms >= 2 * SLOW_MS
    assert "block" in slow.slowest
    assert "rounds of" in RECORDER.describe()


def test_time_in_which_a_loop_waits_is_no_slow_round():
    RECORDER.rounds.clear()
    asyncio.run(asyncio.sleep(3 * SLOW_MS / 1_000))
    assert all(one.took_ms < 2 * SLOW_MS for one in RECORDER.rounds)


def test_recorder_may_be_installed_twice():
    RECORDER.install()
    asyncio.run(asyncio.sleep(0))


def test_hold_ups_depend_on_their_seed_alone():
    first, second = (ScheduleRecorder("7:0.5:1") for _ in range(2))
    assert [first._hold_up() for _ in range(20)] == [second._hold_up() for _ in range(20)]
