"""What one instance records and hears of crashes, in simulated time."""

from lentilwell.gateway._crash_evidence import SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_messages import decode_crash_notice, encode_crash_notice
from lentilwell.gateway._crash_records import CutRequest
from lentilwell.gateway._crash_subjects import SAME_CAUSE_MS
from lentilwell.gateway._upstreams import Incarnation

STEP_MS = 2 * SAME_CAUSE_MS


class Observer:
    """Crash evidence of one instance, with a clock and names for what it records."""

    def __init__(self):
        self.evidence = CrashEvidence()
        self.now = 1_000
        self.number = 0

    def crash(self, *requests, step_ms=STEP_MS, name=None, settle_ms=SETTLE_MS):
        """End another upstream that cuts requests, each a name and its parts."""
        self.now += step_ms
        self.number += 1
        upstream = Incarnation(name or f"u{self.number}", 1)
        for request, *parts in requests:
            self.evidence.record_crash(upstream, self.now, CutRequest(request, tuple(parts)))
        self.settle(settle_ms)
        return upstream

    def settle(self, settle_ms=SETTLE_MS):
        """Let time pass and judge."""
        self.now += settle_ms
        self.evidence.judge(self.now)

    def answer(self, *parts):
        """Write an answer beyond its beginning."""
        self.now += 1
        return self.evidence.record_sound(parts, self.now)

    def refuses(self, *parts, request="new", rank=0):
        """Tell whether a request is refused."""
        return self.evidence.find_refusal(request, parts, rank, self.now) is not None

    def hear(self, other, late_ms=0):
        """Receive the notice of another observer, which takes this long."""
        notice = other.evidence.collect(other.now)
        data = encode_crash_notice(notice, other.now)
        self.now, other.now = self.now + late_ms, other.now + late_ms
        self.evidence.merge(decode_crash_notice(data, self.now), self.now)
