"""How long an accepted version takes to be in force everywhere, and what a change costs.

``python -m bench.configuration --out FILE`` writes all figures as JSON. Times are milliseconds of
the wall clock on one machine, from the end of the put to the instance's own log line.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import TypeVar

from lentilwell import Identity, State, reduce
from lentilwell._clock import MS_PER_SECOND, SystemClock
from lentilwell.adapters import DIALECTS
from lentilwell.configuration import ConfigurationEditor, Document, PlatformSettings, parse_document
from lentilwell.configuration._documents import Section
from lentilwell.configuration._versions import (
    compute_digest,
    decode_delta,
    encode_head,
    load_configuration,
    prepare_edit,
)
from lentilwell.reducer import InventoryAccepted
from standins.deployment import Deployment, DeploymentPlan, call, deploy

DEFAULT_CHANGES = 50
CHANGE_PAUSE_S = 0.3
SETTLE_TIMEOUT_S = 60
CLOCK = SystemClock()
PLATFORM_RETRY_S = 0.5
FAULT_PERIOD_S = 2.0
SLOW_ANSWER_MS = 400
FLEET_SIZES = (14, 400, 10_000)
COST_CHANGES = 50
TEAMS_PER_ENGINE = 0.5

_ResultT = TypeVar("_ResultT")


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def summarize(values: list[float]) -> dict[str, float]:
    """Return the count, the median, the 95th and 99th percentiles, and the maximum."""
    return {
        "count": len(values),
        "median": percentile(values, 0.5),
        "p95": percentile(values, 0.95),
        "p99": percentile(values, 0.99),
        "largest": max(values),
    }


def read_activation_times(deployment: Deployment, name: str) -> dict[int, float]:
    """Return the activation time of each version on an instance, in Unix seconds, from its log."""
    activation_times: dict[int, float] = {}
    for line in (deployment.folder / f"{name}.log").read_text().splitlines():
        record = json.loads(line) if line.startswith("{") else {}
        if record.get("event") == "version in force":
            activation_times[record["version"]] = datetime.fromisoformat(record["at"]).timestamp()
    return activation_times


def compute_delays(
    deployment: Deployment, accepted: dict[int, float]
) -> tuple[list[float], list[str]]:
    """Return the delays from acceptance to activation on the last instance, in milliseconds.

    The second list names each instance that has not reached a version. An instance that skips a
    version reaches it with the activation of the next higher one.
    """
    activation_times = {
        entry.name: read_activation_times(deployment, entry.name) for entry in deployment.entries
    }
    delays, left_behind = [], []
    for version, accepted_at in accepted.items():
        last_delay_s = 0.0
        for name, versions in activation_times.items():
            later_activations = [
                activated_at
                for active_version, activated_at in versions.items()
                if active_version >= version
            ]
            if not later_activations:
                left_behind.append(f"{name} has not {version}")
                continue
            last_delay_s = max(last_delay_s, min(later_activations) - accepted_at)
        delays.append(max(0.0, last_delay_s * 1_000))
    return delays, left_behind


def change_weight(document: Document, number: int) -> Document:
    """Return the document with a changed weight for its first team."""
    title = min(title for title in document if title.startswith("team "))
    items = {**dict(document[title].items), "weight": str(number + 1)}
    return document.set(title, Section(title, tuple(items.items())))


def make_changes(deployment: Deployment, count: int) -> tuple[dict[int, float], int]:
    """Put changes one by one; return the acceptance time of each version and the failure count."""
    platform = DIALECTS["http"](PlatformSettings(deployment.platform.url()))
    editor = ConfigurationEditor(platform, lambda ms: time.sleep(ms / 1_000))
    accepted: dict[int, float] = {}
    failures = 0
    while len(accepted) < count:
        try:
            accepted_version = editor.get()
            assert accepted_version.configuration is not None
            document = change_weight(accepted_version.configuration.document, 2 + len(accepted))
            version = editor.put(
                document, accepted_version.version, f"bench-{len(accepted)}-{failures}"
            )
            accepted[version] = CLOCK.wall() / MS_PER_SECOND
        except Exception as error:
            failures += 1
            sys.stderr.write(f"put failed: {type(error).__name__}\n")
            time.sleep(PLATFORM_RETRY_S)
        time.sleep(CHANGE_PAUSE_S)
    return accepted, failures


def set_platform_faults(deployment: Deployment, **faults: object) -> None:
    """Set the faults of the platform stand-in."""
    call("POST", f"{deployment.platform.url()}/control", json.dumps(faults).encode())


@contextmanager
def inject_platform_faults(deployment: Deployment, seed: int) -> Iterator[None]:
    """Inject random platform faults during the block: outages, slow answers and lost answers."""
    stop = threading.Event()
    rng = random.Random(seed)
    fault_states: list[dict[str, object]] = [
        {"down": True, "delay_ms": 0},
        {"down": False, "delay_ms": SLOW_ANSWER_MS},
        {"down": False, "delay_ms": 0, "lose_answers": 1},
        {"down": False, "delay_ms": 0},
    ]

    def change_faults() -> None:
        while not stop.wait(rng.uniform(0.5, 1.5) * FAULT_PERIOD_S):
            set_platform_faults(deployment, **rng.choice(fault_states))

    thread = threading.Thread(target=change_faults)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
        set_platform_faults(deployment, down=False, delay_ms=0, lose_answers=0)


def measure_propagation(faults: bool, changes: int, seed: int) -> dict[str, object]:
    """Measure the delay from acceptance to activation on the last instance of a deployment.

    The deployment has the default size of ``DeploymentPlan``.
    """
    plan = DeploymentPlan(balancer_lag_ms=100)
    with deploy(plan) as deployment:
        time.sleep(2)
        if faults:
            with inject_platform_faults(deployment, seed):
                accepted, failures = make_changes(deployment, changes)
        else:
            accepted, failures = make_changes(deployment, changes)
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while compute_delays(deployment, accepted)[1] and time.monotonic() < end:
            time.sleep(0.2)
        delays, left_behind = compute_delays(deployment, accepted)
    result: dict[str, object] = {"delay_ms": summarize(delays), "failed_puts": failures}
    return {**result, "left_behind": left_behind, "instances": plan.instances}


def make_inventory_text(engines: int) -> str:
    """Return an inventory in INI form with this number of engines, and teams in proportion."""
    lines = ["[data_centre dc]", "", "[model assistant]", "context_tokens = 1100000", ""]
    for number in range(engines):
        lines += [f"[engine engine-{number}]", f"url = http://10.0.{number // 250}.1:8000"]
        lines += ["data_centre = dc", "models = assistant", "memory_tokens = 450000"]
        lines += ["slots = 64", ""]
    for number in range(max(2, int(engines * TEAMS_PER_ENGINE))):
        lines += [f"[team team-{number}]", "weight = 1", f"key_sha256 = {number:064x}", ""]
    return "\n".join(lines)


def time_us(task: Callable[[], _ResultT]) -> tuple[float, _ResultT]:
    """Return the CPU time of a call in microseconds, and its result."""
    started = time.process_time_ns()
    result = task()
    return (time.process_time_ns() - started) / 1_000, result


def change_engine(document: Document, number: int) -> Document:
    """Return the document with a changed number of slots for one engine."""
    title = f"engine engine-{number}"
    items = {**dict(document[title].items), "slots": str(65 + number)}
    return document.set(title, Section(title, tuple(items.items())))


def measure_cost(engines: int) -> dict[str, float]:
    """Measure the CPU time and record sizes of changes to one engine, for a fleet size."""
    text = make_inventory_text(engines)
    objects: dict[str, bytes] = {}
    edit = prepare_edit(None, 0, parse_document(text, 1)[0], "first")
    objects.update(edit.objects)
    first = edit.head
    full_load_us, current = time_us(lambda: load_configuration(first, None, objects.get))
    state = State(Identity("a", "1", "dc"))
    state = reduce(state, InventoryAccepted(0, current.inventory))[0]
    load_us, reduce_us, delta_bytes = 0.0, 0.0, 0
    for number in range(COST_CHANGES):
        document = change_engine(current.document, number % engines)
        edit = prepare_edit(current, number + 1, document, f"{number:032x}")
        objects.update(edit.objects)
        elapsed_us, current = time_us(partial(load_configuration, edit.head, current, objects.get))
        load_us += elapsed_us
        event = InventoryAccepted(
            0, current.inventory, current.base_version, current.changed_engines
        )
        elapsed_us, (state, _) = time_us(partial(reduce, state, event))
        reduce_us += elapsed_us
        record = objects[edit.head.digest]
        assert decode_delta(record) is not None and compute_digest(record) == edit.head.digest
        delta_bytes += len(record)
    return {
        "engines": engines,
        "load_us_per_change": load_us / COST_CHANGES,
        "reduce_us_per_change": reduce_us / COST_CHANGES,
        "delta_bytes_per_change": delta_bytes / COST_CHANGES,
        "head_bytes": len(encode_head(current.head)),
        "snapshot_bytes": len(text.encode()),
        "whole_load_us": full_load_us,
    }


def main() -> int:
    """Run all measurements and write the results to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--changes", type=int, default=DEFAULT_CHANGES)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    results = {
        "seed": options.seed,
        "cost": [measure_cost(engines) for engines in FLEET_SIZES],
        "quiet": measure_propagation(False, options.changes, options.seed),
        "faults": measure_propagation(True, options.changes, options.seed),
    }
    options.out.write_text(json.dumps(results, indent=2) + "\n")
    sys.stdout.write(options.out.read_text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
