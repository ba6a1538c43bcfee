"""At-most-once calls through real processes that are killed, paused or made to fail.

Instances, table and services all fail. The services count the calls that they ran, and the tests
retry each call through any instance.
"""

import http.client
import json
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from urllib.parse import urlsplit

import pytest

from standins.client import is_expected_answer, make_prompt, send_completion
from standins.deployment import DeploymentPlan, call, deploy

PLAN = DeploymentPlan(instances=2, engines=1, services=2, balancer_lag_ms=100)
TIMEOUT_S = 30
LARGE_BYTES = 20_000
WRITE_TRIES = 2  # curl repeats a write by itself if its pooled connection was closed


@dataclass(frozen=True)
class CallReply:
    """The reply to a caller; status 0 if the connection broke."""

    status: int
    code: str = ""
    body: bytes = b""
    retry_after: str | None = None


@pytest.fixture
def deployment():
    with deploy(PLAN) as running:
        yield running


def send(entry, deployment, key, body=b"{}", method="POST", team="counters", deadline_ms=5_000):
    parts = urlsplit(entry.url("callers"))
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=TIMEOUT_S)
    headers = {"Authorization": f"Bearer {deployment.keys[team]}", "X-Deadline-Ms": deadline_ms}
    headers |= {"Idempotency-Key": key} if key else {}
    try:
        connection.request(method, "/services/bookings/refunds", body, headers)
        answer = connection.getresponse()
        data = answer.read()
    except (ConnectionError, http.client.HTTPException):
        return CallReply(0)
    finally:
        connection.close()
    if answer.status in (200, 201):
        return CallReply(answer.status, "", data)
    code = json.loads(data)["error"]["code"]
    return CallReply(answer.status, code, data, answer.getheader("Retry-After"))


def control(process, path="/control", **values):
    return json.loads(call("POST", process.url() + path, json.dumps(values).encode()))


def control_services(deployment, **values):
    for service in deployment.services:
        control(service, **values)


def sum_counts(deployment, path, key):
    counts = [json.loads(call("GET", f"{s.url()}/{path}")) for s in deployment.services]
    return sum(runs.get(key, 0) for runs in counts)


def wait_for(condition):
    timeout_at = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < timeout_at, "the condition was not met in time"
        time.sleep(0.02)


def run_keys_command(deployment, *arguments):
    settings = str(deployment.folder / "entry-2.ini")
    command = [sys.executable, "-m", "lentilwell", "keys", *arguments, "--settings", settings]
    done = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    return done.returncode, done.stdout


def retry_until(deployment, key, status, allowed):
    """Retry through all instances in turn until a reply has the status; check the other codes."""
    entries = [entry for entry in deployment.entries if entry.popen.poll() is None]
    for turn in range(TIMEOUT_S * 10):
        reply = send(entries[turn % len(entries)], deployment, key)
        if reply.status == status:
            return reply
        assert reply.code in allowed, reply
        time.sleep(0.1)
    raise AssertionError(f"{key} never gave {status}")


def test_paused_and_killed_instances(deployment):
    first, second = deployment.entries
    control_services(deployment, delay_ms=700)
    with ThreadPoolExecutor(2) as executor:
        paused = executor.submit(send, first, deployment, "pause", deadline_ms=20_000)
        wait_for(lambda: sum_counts(deployment, "arrivals", "pause") == 1)
        first.signal(signal.SIGSTOP)
        assert send(second, deployment, "pause").code == "outcome_pending"
        assert send(second, deployment, "pause", b"other").code == "idempotency_key_reused"
        wait_for(lambda: sum_counts(deployment, "runs", "pause") == 1)
        assert send(second, deployment, "pause").code == "outcome_pending"
        first.signal(signal.SIGCONT)
        answer = paused.result()
        assert answer.status == 200
        assert send(second, deployment, "pause") == answer == send(first, deployment, "pause")
        other_team = send(second, deployment, "pause", team="pricing")
        assert other_team.status == 200, "equal keys of two teams are separate"
        assert sum_counts(deployment, "runs", "pause") == 2

        killed = executor.submit(send, first, deployment, "kill")
        wait_for(lambda: sum_counts(deployment, "arrivals", "kill") == 1)
        first.signal(signal.SIGKILL)
        assert killed.result().status == 0
        wait_for(lambda: sum_counts(deployment, "runs", "kill") == 1)
        for _ in range(3):
            assert send(second, deployment, "kill").code == "outcome_pending"
        assert sum_counts(deployment, "arrivals", "kill") == 1

    code, listed = run_keys_command(deployment, "list")
    assert code == 0 and "kill" in listed and "pause" not in listed
    settle_arguments = ("settle", "kill", "--team", "counters", "--outcome", "ran")
    assert run_keys_command(deployment, *settle_arguments)[0] == 1, "its attempt may still send"


def test_table_outage_lost_answers_and_late_writes(deployment):
    first, second = deployment.entries
    table = deployment.platform
    control(table, down=True)
    reply = send(first, deployment, "down")
    assert (reply.status, reply.code) == (503, "attempt_not_run") and int(reply.retry_after) >= 1
    assert send(second, deployment, "", method="GET").status == 200
    prompt = make_prompt(1_000, "while the table is down")
    outcome = send_completion(second.url("callers"), deployment.keys["counters"], prompt, 10)
    assert is_expected_answer(outcome, prompt, 10)
    control(table, down=False)
    allowed = ("attempt_not_run", "not_run_key_held", "outcome_pending")
    answer = retry_until(deployment, "down", 200, allowed)
    for entry in deployment.entries:
        wait_for(lambda at=entry: send(at, deployment, "down").code != "attempt_not_run")
        assert send(entry, deployment, "down") == answer

    control(table, lose_answers=3)
    answer = send(first, deployment, "lost")
    assert answer.status == 200, "the claim is read back and its attempt continues"
    assert retry_until(deployment, "lost", 200, allowed) == answer

    control(table, late_writes=WRITE_TRIES)
    assert send(first, deployment, "late").code == "attempt_not_run"
    control(table, late_writes=0)
    wait_for(lambda: send(second, deployment, "late").status == 200)
    assert control(table, "/late") == {"applied": 0}, "the late claim is refused"

    control(table, late_writes=WRITE_TRIES)
    assert send(first, deployment, "later").code == "attempt_not_run"
    control(table, late_writes=0)
    control(table, "/late")
    retry_until(deployment, "later", 200, allowed)
    control(table, "/silence")
    assert retry_until(deployment, "silent", 200, allowed).status == 200
    control(table, refuse_percent=40)
    for number in range(10):
        key = f"refused-{number}"
        retry_until(deployment, key, 200, allowed)
        assert sum_counts(deployment, "runs", key) == 1
    control(table, refuse_percent=0)
    for key in ("down", "lost", "late", "later", "silent"):
        assert sum_counts(deployment, "runs", key) == 1, key


def test_service_silence_lost_answers_and_outage(deployment):
    first, second = deployment.entries
    control_services(deployment, lose_answers=1)
    assert send(first, deployment, "lost").code == "outcome_unknown"
    wait_for(lambda: send(second, deployment, "lost").code == "outcome_unknown")
    assert sum_counts(deployment, "runs", "lost") == 1
    control_services(deployment, lose_answers=0, answer_bytes=LARGE_BYTES)

    for service in deployment.services:
        service.signal(signal.SIGSTOP)
    assert send(first, deployment, "late", deadline_ms=300).code == "outcome_unknown"
    assert send(second, deployment, "late").code == "outcome_pending"
    for service in deployment.services:
        service.signal(signal.SIGCONT)
    answer = retry_until(deployment, "late", 200, ("outcome_pending",))
    assert len(answer.body) > LARGE_BYTES and send(first, deployment, "late") == answer
    assert sum_counts(deployment, "runs", "late") == 1

    deployment.services[0].signal(signal.SIGKILL)
    deployment.services[0].popen.wait()
    remaining = deployment.services.pop()
    for number in range(4):
        assert send(first, deployment, f"one-left-{number}").status == 200
        assert send(second, deployment, "", method="GET").status == 200
    remaining.signal(signal.SIGKILL)
    remaining.popen.wait()
    assert send(first, deployment, "gone").code == "not_run"
    assert send(first, deployment, "gone").code == "not_run", "the key is free again"
    assert send(second, deployment, "", method="GET").code == "service_failed"


@pytest.mark.parametrize("seed", [1, 2])
def test_combined_faults(deployment, seed):
    """Retry calls through any instance while the table, services and instances fail at random."""
    random = Random(seed)
    control_services(deployment, delay_ms=30)

    def call_repeatedly(key):
        replies = []
        for turn in range(12):
            reply = send(deployment.entries[turn % 2], deployment, key, deadline_ms=1_500)
            replies.append(reply)
            time.sleep(0.05)
        return replies

    def inject_faults():
        table, entries = deployment.platform, deployment.entries
        faults = [
            lambda: control(table, lose_answers=2),
            lambda: control(table, late_writes=2),
            lambda: control(table, "/silence"),
            lambda: control(table, refuse_percent=random.choice((0, 30))),
            lambda: control(table, down=True) or time.sleep(0.3) or control(table, down=False),
            lambda: control_services(deployment, lose_answers=1),
            lambda: control_services(deployment, drop_requests=1),
            lambda: pause_process(random.choice([*entries, *deployment.services])),
            lambda: control(table, "/late"),
        ]
        for _ in range(20):
            random.choice(faults)()
            time.sleep(0.1)

    def pause_process(process):
        process.signal(signal.SIGSTOP)
        time.sleep(random.choice((0.2, 1.2)))
        process.signal(signal.SIGCONT)

    keys = [f"{seed}-{number}" for number in range(12)]
    with ThreadPoolExecutor(len(keys) + 1) as executor:
        injecting = executor.submit(inject_faults)
        replies = dict(zip(keys, executor.map(call_repeatedly, keys), strict=True))
        injecting.result()
    control(deployment.platform, refuse_percent=0, lose_answers=0, late_writes=0)
    control(deployment.platform, "/late")
    for key in keys:
        last = send(deployment.entries[0], deployment, key)
        runs = sum_counts(deployment, "runs", key)
        answers = {reply.body for reply in (*replies[key], last) if reply.status == 200}
        assert runs <= 1 and len(answers) <= 1, key
        assert runs == 1 or not answers, key
        unknown = [reply.code == "outcome_unknown" for reply in replies[key]]
        assert last.code != "not_run" or not any(unknown), key


def test_leaving_service_gets_no_new_call(deployment):
    leaving, staying = deployment.services
    member = {"name": leaving.name, "kind": "service", "address": leaving.url()}
    member |= {"data_centre": "caerdydd", "incarnation": "1", "leaving": True}
    call(
        "PUT", f"{deployment.platform.url()}/instances/{leaving.name}", json.dumps(member).encode()
    )

    def gets_no_new_call():
        before = json.loads(call("GET", f"{leaving.url()}/arrivals"))["lookups"]
        for turn in range(4):
            assert send(deployment.entries[turn % 2], deployment, "", method="GET").status == 200
        return json.loads(call("GET", f"{leaving.url()}/arrivals"))["lookups"] == before

    wait_for(gets_no_new_call)
    for number in range(4):
        assert send(deployment.entries[number % 2], deployment, f"leave-{number}").status == 200
        assert sum_counts(deployment, "runs", f"leave-{number}") == 1
    assert not set(json.loads(call("GET", f"{leaving.url()}/runs")))
    assert len(json.loads(call("GET", f"{staying.url()}/runs"))) == 4
