"""Test of the distributed program: one executable file that runs as one process."""

import importlib.metadata
import os
import shutil
import signal
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

import lentilwell
from standins.deployment import DeploymentPlan, call, deploy

ROOT = Path(__file__).parent.parent
WAIT_S = 60


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    """Build the executable as ``make build`` does, with the packages of this environment."""
    folder = tmp_path_factory.mktemp("build")
    site_packages, executable = folder / "site", folder / "lentilwell"
    for line in (ROOT / "requirements.txt").read_text().split():
        copy_package(line.partition("==")[0], site_packages)
    installed = Path(sysconfig.get_path("purelib"))
    (metadata,) = installed.glob("lentilwell-*.dist-info")
    shutil.copytree(metadata, site_packages / metadata.name)
    shutil.copytree(Path(lentilwell.__file__).parent, site_packages / "lentilwell")
    command = [sys.executable, "-m", "shiv", "--site-packages", site_packages, "--console-script"]
    command += ["lentilwell", "--python", sys.executable, "--output-file", executable]
    subprocess.run(command, check=True, capture_output=True, timeout=WAIT_S)
    return executable


def copy_package(name, site_packages):
    for file in importlib.metadata.files(name) or ():
        if ".." not in file.parts and file.locate().is_file():
            target = site_packages / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(file.locate(), target)


def start_program(program, folder, *arguments):
    environment = {**os.environ, "SHIV_ROOT": str(folder / "unpacked"), "PYTHONPATH": ""}
    return subprocess.Popen([program, *arguments], stdout=subprocess.PIPE, env=environment)


def test_executable_runs_as_one_process(program, tmp_path):
    assert start_program(program, tmp_path, "version").communicate(timeout=WAIT_S)[0] == b"0.1.0\n"
    with deploy(DeploymentPlan(instances=0, engines=1, services=1)) as deployment:
        settings = tmp_path / "entry.ini"
        settings.write_text(deployment.make_settings_text("entry-1", "caerdydd"))
        process = start_program(program, tmp_path, "entry", "--settings", settings)
        try:
            ports = process.stdout.readline()
            assert b'"callers"' in ports
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
            assert children == ""
            port = ports.split(b'"operators": ')[1].split(b",")[0].strip(b"} \n").decode()
            assert call("GET", f"http://127.0.0.1:{port}/ready") == b"ready\n"
        finally:
            process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
