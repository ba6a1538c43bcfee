"""The checks of the deploy file and of settings files by ``platform/check.py``."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from check import find_deploy_problems, find_settings_problems

ROOT = Path(__file__).parent.parent
ROLE = """
[roles.gateway]
run = "python3 platform/start.py"
share = 1.0
metrics = "9464/metrics"
"""


def test_own_deploy_file_is_valid():
    program = [sys.executable, str(ROOT / "platform/check.py")]
    completed = subprocess.run(program, capture_output=True, text=True, timeout=60)
    assert completed.returncode == 0, completed.stdout
    assert "system.toml: right" in completed.stdout


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("platform/start.py", "platform/none.py", "names no program"),
        ("share = 1.0", "share = 0.0", "share must be"),
        ("9464/metrics", "9465/metrics", "metrics must be"),
        ("[roles.gateway]", "[other]", "has no role"),
        ("run =", "run", "not TOML"),
    ],
)
def test_each_problem_of_a_deploy_file_is_reported(old, new, message):
    assert find_deploy_problems(ROLE) == []
    [problem] = find_deploy_problems(ROLE.replace(old, new))
    assert message in problem


def test_problems_of_settings_are_reported(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({"node_name": "a"}))
    [problem] = find_settings_problems(path)
    assert "ip" in problem
    assert find_settings_problems(tmp_path / "none.json")
