"""Tests of entry instances as processes: OpenAI client, operators, commands, planned stop."""

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.error
from pathlib import Path

import openai
import pytest

from standins.answers import answer_text
from standins.client import is_expected_answer, make_prompt, send_completion
from standins.deployment import DeploymentPlan, call, deploy

PLAN = DeploymentPlan(
    instances=2, engines=3, services=1, data_centres=("luzon-a",), balancer_lag_ms=1_500, speed=4.0
)
WAIT_S = 60


@pytest.fixture(scope="module")
def deployment():
    with deploy(PLAN) as running:
        yield running


def call_operators(deployment, entry, path, method="GET", token=None):
    headers = {"Authorization": f"Bearer {token or deployment.operator_token}"}
    return call(method, entry.url("operators") + path, headers=headers)


def run_command(*arguments, **variables):
    command = [sys.executable, "-m", "lentilwell", *arguments]
    done = subprocess.run(
        command, capture_output=True, text=True, env={**os.environ, **variables}, timeout=WAIT_S
    )
    return done.returncode, done.stdout, done.stderr


@pytest.mark.parametrize("stream", [True, False])
def test_openai_client_works_unmodified(deployment, stream):
    url = deployment.entries[0].url("callers") + "/v1"
    client = openai.OpenAI(base_url=url, api_key=deployment.keys["counters"], max_retries=0)
    assert [model.id for model in client.models.list()] == ["assistant"]
    prompt = "is the zip in stock?"
    completion = client.completions.create(
        model="assistant", prompt=prompt, max_tokens=12, stream=stream
    )
    text = (
        "".join(part.choices[0].text for part in completion)
        if stream
        else completion.choices[0].text
    )
    assert text == answer_text("assistant", prompt.encode(), 12)
    messages = [{"role": "user", "content": prompt}]
    chat = client.chat.completions.create(
        model="assistant", messages=messages, max_tokens=12, stream=stream
    )
    if stream:
        text = "".join(part.choices[0].delta.content or "" for part in chat)
    else:
        text = chat.choices[0].message.content
    assert text == answer_text("assistant", f"user: {prompt}\n".encode(), 12)
    with pytest.raises(openai.NotFoundError):
        client.completions.create(model="absent", prompt=prompt)
    with pytest.raises(openai.AuthenticationError):
        openai.OpenAI(base_url=url, api_key="wrong", max_retries=0).models.list()


def test_operators_listener_requires_the_token_and_serves_the_state(deployment):
    entry = deployment.entries[0]
    assert call("GET", entry.url("operators") + "/live") == b"live\n"
    assert call("GET", entry.url("operators") + "/ready") == b"ready\n"
    for path in ("/state", "/metrics", "/drain"):
        with pytest.raises(urllib.error.HTTPError, match="401"):
            call_operators(deployment, entry, path, token="wrong")
    state = call_operators(deployment, entry, "/state")
    assert json.loads(state)["inventory"]["version"] == 1
    key = deployment.keys["counters"]
    assert key.encode() not in state and b"key_digests" not in state
    assert send_completion(entry.url("callers"), key, "counted", 3).done
    metrics = call_operators(deployment, entry, "/metrics").decode()
    assert "lentilwell_configuration_version 1.0" in metrics
    assert 'lentilwell_requests_total{model="assistant",outcome="whole"}' in metrics


def test_commands_return_exit_codes(deployment, tmp_path):
    entry = deployment.entries[0]
    token = {"LENTILWELL_OPERATOR_TOKEN": deployment.operator_token}
    code, out, _ = run_command("state", "--url", entry.url("operators"), **token)
    assert code == 0 and json.loads(out)["identity"]["instance"] == "entry-1"
    wrong = {"LENTILWELL_OPERATOR_TOKEN": "wrong"}
    assert run_command("state", "--url", entry.url("operators"), **wrong)[0] == 1
    assert run_command("drain", "--url", entry.url("operators"))[0] == 2
    assert run_command("entry", "--settings", str(tmp_path / "absent.ini"))[0] == 2
    bad = tmp_path / "bad.ini"
    bad.write_text("[callers]\nprot = 1\n")
    code, _, error = run_command("entry", "--settings", str(bad))
    assert code == 2 and "[callers] prot" in error


def test_no_process_starts_a_child_process(deployment):
    for process in deployment.processes():
        children = Path(f"/proc/{process.popen.pid}/task/{process.popen.pid}/children")
        assert children.read_text() == ""


def test_planned_stop_cuts_off_no_request_and_the_balancer_may_go_on_sending(deployment):
    entry = deployment.entries[1]
    prompt = make_prompt(300_000, "bundle")
    outcomes = []

    def read():
        outcomes.append(
            send_completion(entry.url("callers"), deployment.keys["counters"], prompt, 100)
        )

    reader = threading.Thread(target=read)
    reader.start()
    while not json.loads(call_operators(deployment, entry, "/state"))["attempts"]:
        pass
    entry.signal(signal.SIGTERM)
    entry.signal(signal.SIGTERM)
    short = make_prompt(500, "still sent by the balancer")
    late = send_completion(entry.url("callers"), deployment.keys["counters"], short, 5)
    with pytest.raises(urllib.error.HTTPError, match="503"):
        call("GET", entry.url("operators") + "/ready")
    reader.join(WAIT_S)
    assert is_expected_answer(late, short, 5) and is_expected_answer(outcomes[0], prompt, 100)
    assert entry.popen.wait(WAIT_S) == 0
    log = (deployment.folder / "entry-2.log").read_text().splitlines()
    ended = [json.loads(line) for line in log if "request ended" in line]
    assert [line["outcome"] for line in ended] == ["whole", "whole"]
    assert deployment.keys["counters"] not in "".join(log)


def book(entry, key, number, endings):
    """Make one booking on a new connection and record how it ended: a status, or an exception."""
    connection = http.client.HTTPConnection("127.0.0.1", entry.ports["callers"], timeout=WAIT_S)
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": f"key-{number}"}
    try:
        connection.request("POST", "/services/bookings/", b"seat", headers)
        answer = connection.getresponse()
        answer.read()
        endings[f"key-{number}"] = answer.status
    except (OSError, http.client.HTTPException) as error:
        endings[f"key-{number}"] = type(error).__name__
    finally:
        connection.close()


def test_calls_that_come_all_through_a_planned_stop_are_answered_or_never_reach_a_service():
    plan = DeploymentPlan(instances=1, engines=1, services=1, balancer_lag_ms=1_000)
    with deploy(plan) as running:
        [entry], [service] = running.entries, running.services
        call("POST", service.url() + "/control", json.dumps({"delay_ms": 200}).encode())
        endings = {}
        threads = []
        for number in range(200):
            if number == 20:
                entry.signal(signal.SIGTERM)
            if entry.popen.poll() is not None:
                break
            arguments = (entry, running.keys["counters"], number, endings)
            threads.append(threading.Thread(target=book, args=arguments))
            threads[-1].start()
            time.sleep(0.05)
        for thread in threads:
            thread.join(WAIT_S)
        assert entry.popen.wait(WAIT_S) == 0
        runs = json.loads(call("GET", service.url() + "/runs"))
        assert {ending for key, ending in endings.items() if key in runs} == {200}
        unserved = {ending for key, ending in endings.items() if key not in runs}
        assert unserved <= {429, 503, "ConnectionRefusedError", "ConnectionResetError"}
        assert len(endings) == len(threads)
