"""Runs the default deployment in the foreground until SIGINT or SIGTERM."""

from __future__ import annotations

import json
import signal
import sys
import threading

from standins.deployment import Deployment, DeploymentPlan, deploy


def describe(deployment: Deployment) -> dict[str, object]:
    """Return the URLs, keys and process ids of a deployment."""
    parts = [deployment.platform, *deployment.engines, *deployment.services]
    return {
        "callers": [entry.url("callers") for entry in deployment.entries],
        "operators": [entry.url("operators") for entry in deployment.entries],
        "operator_token": deployment.operator_token,
        "keys": deployment.keys,
        "models": ["assistant"],
        "services": [deployment.plan.service_name],
        "standins": {part.name: part.url() for part in parts},
        "pids": {process.name: process.popen.pid for process in deployment.processes()},
    }


def main() -> int:
    """Start the deployment, print its description as a line of JSON and wait for a signal."""
    stop = threading.Event()
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    with deploy(DeploymentPlan()) as deployment:
        sys.stdout.write(json.dumps(describe(deployment)) + "\n")
        sys.stdout.flush()
        while not stop.wait(0.2):
            pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
