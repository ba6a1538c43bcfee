"""Tests of requests from callers through entry instances to engines and services, as processes."""

import json

import pytest

from standins.client import is_expected_answer, make_prompt, send_completion
from standins.deployment import DeploymentPlan, call, deploy

PLAN = DeploymentPlan(instances=2, engines=9, services=1, balancer_lag_ms=100)


@pytest.fixture(scope="module")
def deployment():
    with deploy(PLAN) as running:
        yield running


@pytest.mark.parametrize("tokens", [1, 1_000, 300_000, 1_000_000])
def test_streamed_completion_is_complete(deployment, tokens):
    prompt = make_prompt(tokens, f"prompt-{tokens}")
    for entry in deployment.entries:
        outcome = send_completion(entry.url("callers"), deployment.keys["counters"], prompt, 40)
        assert is_expected_answer(outcome, prompt, 40), outcome.error


def test_lookup_is_forwarded_unchanged(deployment):
    url = f"{deployment.entries[0].url('callers')}/services/bookings/a%20b/c?x=1&y=%2F"
    key = deployment.keys["counters"]
    answer = json.loads(call("GET", url, headers={"Authorization": f"Bearer {key}"}))
    assert (answer["path"], answer["query"]) == ("a%20b/c", {"x": "1", "y": "/"})
