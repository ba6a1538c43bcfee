"""Real processes that die: whole answers go on elsewhere, and no engine keeps memory."""

import http.client
import json
import threading
import time

import pytest

from standins.client import complete, is_whole, make_prompt
from standins.deployment import DeploymentPlan, call, deploy

PLAN = DeploymentPlan(instances=3, engines=9, services=1, balancer_lag_ms=100, speed=10.0)
LONG = 300_000
SPAN = 1_000_000
# Tokens of answers that last some 10 s, so that all stand on the engines together.
LASTING = 2_400
WAIT_S = 60


@pytest.fixture
def deployment():
    with deploy(PLAN) as running:
        yield running


class Reader(threading.Thread):
    """A caller that reads one answer to its end."""

    def __init__(self, deployment, entry, tokens, answer):
        super().__init__(daemon=True)
        self.prompt = make_prompt(tokens, f"{entry.name}-{tokens}-{answer}")
        self.target = (entry.url("callers"), deployment.keys["counters"], self.prompt, answer)
        self.whole = False
        self.start()

    def run(self):
        try:
            self.whole = is_whole(complete(*self.target), self.prompt, self.target[-1])
        except (OSError, http.client.HTTPException):
            self.whole = False


def count_streams(deployment):
    found = {}
    for engine in deployment.engines:
        if engine.popen.poll() is None:
            held = json.loads(call("GET", engine.url() + "/invariants"))
            assert (held["streams"] == 0) == (held["memory_used"] == 0)
            found[engine.name] = held["streams"]
    return found


def wait_until(condition):
    for _ in range(WAIT_S * 10):
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError("the condition did not come true")


def test_killed_entry_instance_leaves_no_memory_and_disturbs_no_other(deployment):
    first, *others = deployment.entries
    lost = [Reader(deployment, first, tokens, 1_500) for tokens in (LONG, SPAN)]
    wait_until(lambda: sum(count_streams(deployment).values()) >= 4)
    kept = [Reader(deployment, entry, LONG, 600) for entry in others]
    first.popen.kill()
    for reader in (*lost, *kept):
        reader.join(WAIT_S)
    assert [r.whole for r in lost] == [False] * 2 and [r.whole for r in kept] == [True] * 2
    wait_until(lambda: not any(count_streams(deployment).values()))


def test_killed_engines_cost_no_caller_a_token(deployment):
    readers = [Reader(deployment, entry, LONG, LASTING) for entry in deployment.entries]
    readers.append(Reader(deployment, deployment.entries[0], SPAN, LASTING))
    wait_until(lambda: sum(count_streams(deployment).values()) >= 6)
    used = [name for name, streams in count_streams(deployment).items() if streams]
    for engine in deployment.engines:
        if engine.name in (used[0], used[-1]):
            engine.popen.kill()
    for reader in readers:
        reader.join(WAIT_S)
    assert [reader.whole for reader in readers] == [True] * 4
    wait_until(lambda: not any(count_streams(deployment).values()))
