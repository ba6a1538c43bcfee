"""Log lines never block their writer, and are bounded."""

import json
import threading
import time

from lentilwell._log_writer import LogWriter


class Blocked:
    """A sink whose reader has stalled until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(10)
        self.text += text

    def flush(self):
        pass


def test_stalled_reader_blocks_nobody_and_lost_lines_are_counted():
    sink = Blocked()
    writer = LogWriter(sink, most_queued=10)
    begin = time.monotonic()
    for number in range(500):
        writer.write(f"{number}\n")
    assert time.monotonic() - begin < 1
    sink.released.set()
    writer.close()
    lines = sink.text.splitlines()
    lost = [json.loads(line)["count"] for line in lines if "dropped" in line]
    assert 10 <= len(lines) <= 30 and sum(lost) + len(lines) - len(lost) == 500


def test_rate_is_bounded():
    sink = Blocked()
    sink.released.set()
    writer = LogWriter(sink, most_per_s=50)
    for number in range(1_000):
        writer.write(f"{number}\n")
    writer.close()
    assert 50 <= len(sink.text.splitlines()) <= 103


def test_lines_are_written_in_order_at_the_close():
    sink = Blocked()
    sink.released.set()
    writer = LogWriter(sink)
    for number in range(100):
        writer.write(f"{number}\n")
    writer.close()
    assert sink.text.split() == [str(number) for number in range(100)]
