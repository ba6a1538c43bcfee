"""Writing log lines never blocks, and the queue and the rate are bounded."""

import json
import threading
import time

from lentilwell._log_writer import LogWriter


class BlockedSink:
    """A sink that blocks until it is released, like a stalled reader."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(10)
        self.text += text

    def flush(self):
        pass


def test_stalled_reader_does_not_block_writers_and_dropped_lines_are_counted():
    sink = BlockedSink()
    writer = LogWriter(sink, max_queued=10)
    started_at = time.monotonic()
    for number in range(500):
        writer.write(f"{number}\n")
    assert time.monotonic() - started_at < 1
    sink.released.set()
    writer.close()
    lines = sink.text.splitlines()
    dropped = [json.loads(line)["count"] for line in lines if "dropped" in line]
    assert 10 <= len(lines) <= 30 and sum(dropped) + len(lines) - len(dropped) == 500


def test_rate_is_bounded():
    sink = BlockedSink()
    sink.released.set()
    writer = LogWriter(sink, max_per_s=50)
    for number in range(1_000):
        writer.write(f"{number}\n")
    writer.close()
    assert 50 <= len(sink.text.splitlines()) <= 103


def test_close_writes_queued_lines_in_order():
    sink = BlockedSink()
    sink.released.set()
    writer = LogWriter(sink)
    for number in range(100):
        writer.write(f"{number}\n")
    writer.close()
    assert sink.text.split() == [str(number) for number in range(100)]
