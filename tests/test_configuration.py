"""Tests of configuration with real processes: commands, races and an outage of the platform."""

import json
import subprocess
import sys
import time
import urllib.error
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.deployment import DeploymentPlan, call, deploy

TIMEOUT_S = 30
PLAN = DeploymentPlan(instances=2, engines=2, services=1, balancer_lag_ms=100, log_level="WARNING")


@pytest.fixture(scope="module")
def deployment():
    with deploy(PLAN) as running:
        yield running


def run_command(*arguments):
    command = [sys.executable, "-m", "lentilwell", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


def set_platform_faults(deployment, **faults):
    body = json.dumps(faults).encode()
    call("POST", f"{deployment.platform.url()}/control", body)


def read_version(deployment, entry):
    token = {"Authorization": f"Bearer {deployment.operator_token}"}
    state = json.loads(call("GET", f"{entry.url('operators')}/state", headers=token))
    inventory = state.get("inventory")
    return inventory["version"] if inventory else 0


def wait_for_version(deployment, version, entries):
    deadline = time.monotonic() + TIMEOUT_S
    while [read_version(deployment, entry) for entry in entries] != [version] * len(entries):
        assert time.monotonic() < deadline, f"version {version} is not active everywhere"
        time.sleep(0.05)


def get_inventory(deployment, path):
    completed = run_command("inventory", "get", "--settings", deployment.folder / "entry-1.ini")
    assert completed.returncode == 0, completed.stderr
    path.write_text(completed.stdout)
    return int(completed.stdout.split()[2].rstrip(","))


def put_file(deployment, path, *options):
    settings = deployment.folder / "entry-1.ini"
    return run_command("inventory", "put", "--settings", settings, path, *options)


def test_edit_takes_effect_and_races_are_refused(deployment, tmp_path):
    first_path, second_path = tmp_path / "mine.ini", tmp_path / "theirs.ini"
    base = get_inventory(deployment, first_path)
    text = first_path.read_text()
    first_path.write_text(text.replace("weight = 1", "weight = 5", 1))
    second_path.write_text(text.replace("weight = 1", "weight = 7", 1))
    with ThreadPoolExecutor(2) as pool:
        results = list(pool.map(lambda path: put_file(deployment, path), (first_path, second_path)))
    assert sorted(result.returncode for result in results) == [0, 1]
    (rejected,) = (result for result in results if result.returncode == 1)
    assert f"version {base + 1} is accepted, not {base}" in rejected.stderr
    assert "weight = " in rejected.stderr
    wait_for_version(deployment, base + 1, deployment.entries)


def test_wrong_inventory_is_refused_and_changes_nothing(deployment, tmp_path):
    path = tmp_path / "inventory.ini"
    base = get_inventory(deployment, path)
    path.write_text(path.read_text().replace("models = assistant", "models = clerk"))
    for refused in (put_file(deployment, path), run_command("check", "--inventory", path)):
        assert refused.returncode == 1
        assert "refers to model clerk" in refused.stderr
    settings = deployment.folder / "entry-1.ini"
    shown = run_command("inventory", "diff", "--settings", settings, path)
    assert shown.returncode == 1
    assert run_command("check", "--settings", settings).returncode == 0
    assert run_command("check").returncode == 2
    assert get_inventory(deployment, path) == base


def test_lost_answer_is_settled(deployment, tmp_path):
    path = tmp_path / "inventory.ini"
    base = get_inventory(deployment, path)
    path.write_text(path.read_text().replace("weight = ", "weight = 1", 1))
    set_platform_faults(deployment, lose_answers=2)
    completed = put_file(deployment, path)
    assert (completed.returncode, completed.stdout) == (0, f"version {base + 1} is accepted\n")
    assert put_file(deployment, path).returncode == 1
    wait_for_version(deployment, base + 1, deployment.entries)


def test_unreachable_platform_is_reported_and_instances_keep_their_version(deployment, tmp_path):
    path = tmp_path / "inventory.ini"
    base = get_inventory(deployment, path)
    set_platform_faults(deployment, down=True)
    refused = put_file(deployment, path)
    set_platform_faults(deployment, down=False)
    assert refused.returncode == 1 and "does not answer" in refused.stderr
    wait_for_version(deployment, base, deployment.entries)


def test_instance_that_starts_without_the_platform_adopts_the_version_of_a_peer(
    deployment, tmp_path
):
    base = get_inventory(deployment, tmp_path / "inventory.ini")
    wait_for_version(deployment, base, deployment.entries)
    set_platform_faults(deployment, down=True)
    seeds = f"127.0.0.1:{deployment.entries[0].ports['peers']}"
    alone = deployment.start_entry("entry-alone", "wrecsam")
    third = deployment.start_entry("entry-3", "wrecsam", f"seeds = {seeds}")
    wait_for_version(deployment, base, [third])
    call("GET", f"{third.url('operators')}/ready")
    with pytest.raises(urllib.error.HTTPError) as refused:
        call("GET", f"{alone.url('operators')}/ready")
    assert refused.value.code == 503
    set_platform_faults(deployment, down=False)
    wait_for_version(deployment, base, [alone])
