"""Killed processes: no engine may keep memory that no request uses.

The tests run a real deployment and kill an entry instance or engines while large requests run.
Answers of killed engines must be completed by other engines without a gap.
"""

import http.client
import json
import threading
import time

import pytest

from standins.client import is_expected_answer, make_prompt, send_completion
from standins.deployment import DeploymentPlan, call, deploy

PLAN = DeploymentPlan(instances=3, engines=9, services=1, balancer_lag_ms=100, speed=10.0)
LARGE_PROMPT = 300_000
SPAN_PROMPT = 1_000_000
# Answers of this many tokens take about 10 s, so all of them run on the engines at the same time.
LONG_ANSWER = 2_400
TIMEOUT_S = 60


@pytest.fixture
def deployment():
    with deploy(PLAN) as running:
        yield running


class CallerThread(threading.Thread):
    """A caller that sends one request and reads its answer to the end."""

    def __init__(self, deployment, entry, tokens, answer):
        super().__init__(daemon=True)
        self.prompt = make_prompt(tokens, f"{entry.name}-{tokens}-{answer}")
        self.target = (entry.url("callers"), deployment.keys["counters"], self.prompt, answer)
        self.succeeded = False
        self.start()

    def run(self):
        try:
            self.succeeded = is_expected_answer(
                send_completion(*self.target), self.prompt, self.target[-1]
            )
        except (OSError, http.client.HTTPException):
            self.succeeded = False


def count_streams(deployment):
    stream_counts = {}
    for engine in deployment.engines:
        if engine.popen.poll() is None:
            invariants = json.loads(call("GET", engine.url() + "/invariants"))
            assert (invariants["streams"] == 0) == (invariants["memory_used"] == 0)
            stream_counts[engine.name] = invariants["streams"]
    return stream_counts


def wait_until(condition):
    for _ in range(TIMEOUT_S * 10):
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError("the condition was not met in time")


def test_killed_entry_instance_leaves_no_engine_memory_and_no_other_request_fails(deployment):
    first, *others = deployment.entries
    lost = [
        CallerThread(deployment, first, tokens, 1_500) for tokens in (LARGE_PROMPT, SPAN_PROMPT)
    ]
    wait_until(lambda: sum(count_streams(deployment).values()) >= 4)
    rest = [CallerThread(deployment, entry, LARGE_PROMPT, 600) for entry in others]
    first.popen.kill()
    for caller in (*lost, *rest):
        caller.join(TIMEOUT_S)
    assert [r.succeeded for r in lost] == [False] * 2 and [r.succeeded for r in rest] == [True] * 2
    wait_until(lambda: not any(count_streams(deployment).values()))


def test_killed_engines_lose_no_tokens_of_any_answer(deployment):
    callers = [
        CallerThread(deployment, entry, LARGE_PROMPT, LONG_ANSWER) for entry in deployment.entries
    ]
    callers.append(CallerThread(deployment, deployment.entries[0], SPAN_PROMPT, LONG_ANSWER))
    wait_until(lambda: sum(count_streams(deployment).values()) >= 6)
    used = [name for name, streams in count_streams(deployment).items() if streams]
    for engine in deployment.engines:
        if engine.name in (used[0], used[-1]):
            engine.popen.kill()
    for caller in callers:
        caller.join(TIMEOUT_S)
    assert [caller.succeeded for caller in callers] == [True] * 4
    wait_until(lambda: not any(count_streams(deployment).values()))
