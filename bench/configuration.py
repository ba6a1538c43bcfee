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
    decode_delta,
    digest_of,
    encode_head,
    load,
    prepare_edit,
)
from lentilwell.reducer import InventoryAccepted
from standins.deployment import Deployment, DeploymentPlan, call, deploy

CHANGES = 50
CHANGE_PAUSE_S = 0.3
SETTLE_S = 60
CLOCK = SystemClock()
PLATFORM_RETRY_S = 0.5
FLAP_PERIOD_S = 2.0
SLOW_MS = 400
FLEETS = (14, 400, 10_000)
COST_CHANGES = 50
TEAMS_PER_ENGINE = 0.5

_ResultT = TypeVar("_ResultT")


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(values: list[float]) -> dict[str, float]:
    """Return median, 95th and 99th of 100, and the largest."""
    return {
        "count": len(values),
        "median": percentile(values, 0.5),
        "p95": percentile(values, 0.95),
        "p99": percentile(values, 0.99),
        "largest": max(values),
    }


def read_logged(deployment: Deployment, name: str) -> dict[int, float]:
    """Return when each version came into force on an instance, in seconds of the wall clock."""
    found: dict[int, float] = {}
    for line in (deployment.folder / f"{name}.log").read_text().splitlines():
        record = json.loads(line) if line.startswith("{") else {}
        if record.get("event") == "version in force":
            found[record["version"]] = datetime.fromisoformat(record["at"]).timestamp()
    return found


def find_delays(
    deployment: Deployment, accepted: dict[int, float]
) -> tuple[list[float], list[str]]:
    """Return ms from acceptance to force on the last instance, and instances left behind.

    An instance that skips a version has it in force with the next higher one.
    """
    logged = {entry.name: read_logged(deployment, entry.name) for entry in deployment.entries}
    delays, behind = [], []
    for version, at in accepted.items():
        last = 0.0
        for name, versions in logged.items():
            reached = [when for found, when in versions.items() if found >= version]
            if not reached:
                behind.append(f"{name} has not {version}")
                continue
            last = max(last, min(reached) - at)
        delays.append(max(0.0, last * 1_000))
    return delays, behind


def change_weight(document: Document, number: int) -> Document:
    """Return the document with another weight for its first team."""
    title = min(title for title in document if title.startswith("team "))
    items = {**dict(document[title].items), "weight": str(number + 1)}
    return document.set(title, Section(title, tuple(items.items())))


def make_changes(deployment: Deployment, count: int) -> tuple[dict[int, float], int]:
    """Put changes one after the other; return when each was accepted, and how many were refused."""
    platform = DIALECTS["http"](PlatformSettings(deployment.platform.url()))
    editor = ConfigurationEditor(platform, lambda ms: time.sleep(ms / 1_000))
    accepted: dict[int, float] = {}
    failures = 0
    while len(accepted) < count:
        try:
            loaded = editor.get()
            assert loaded.configuration is not None
            document = change_weight(loaded.configuration.document, 2 + len(accepted))
            version = editor.put(document, loaded.version, f"bench-{len(accepted)}-{failures}")
            accepted[version] = CLOCK.wall() / MS_PER_SECOND
        except Exception as error:
            failures += 1
            sys.stderr.write(f"put failed: {type(error).__name__}\n")
            time.sleep(PLATFORM_RETRY_S)
        time.sleep(CHANGE_PAUSE_S)
    return accepted, failures


def control(deployment: Deployment, **faults: object) -> None:
    """Tell the platform stand-in its faults."""
    call("POST", f"{deployment.platform.url()}/control", json.dumps(faults).encode())


@contextmanager
def keep_flapping(deployment: Deployment, seed: int) -> Iterator[None]:
    """Take the platform down, make it slow and lose answers, by turns, until the end."""
    stop = threading.Event()
    chance = random.Random(seed)
    turns: list[dict[str, object]] = [
        {"down": True, "delay_ms": 0},
        {"down": False, "delay_ms": SLOW_MS},
        {"down": False, "delay_ms": 0, "lose_answers": 1},
        {"down": False, "delay_ms": 0},
    ]

    def flap() -> None:
        while not stop.wait(chance.uniform(0.5, 1.5) * FLAP_PERIOD_S):
            control(deployment, **chance.choice(turns))

    thread = threading.Thread(target=flap)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
        control(deployment, down=False, delay_ms=0, lose_answers=0)


def measure_spread(faults: bool, changes: int, seed: int) -> dict[str, object]:
    """Run a deployment of today's size and measure acceptance to force on the last instance."""
    plan = DeploymentPlan(balancer_lag_ms=100)
    with deploy(plan) as deployment:
        time.sleep(2)
        if faults:
            with keep_flapping(deployment, seed):
                accepted, failures = make_changes(deployment, changes)
        else:
            accepted, failures = make_changes(deployment, changes)
        end = time.monotonic() + SETTLE_S
        while find_delays(deployment, accepted)[1] and time.monotonic() < end:
            time.sleep(0.2)
        delays, behind = find_delays(deployment, accepted)
    found: dict[str, object] = {"delay_ms": summarize(delays), "failed_puts": failures}
    return {**found, "left_behind": behind, "instances": plan.instances}


def make_inventory_text(engines: int) -> str:
    """Return an inventory with that many engines, and teams in proportion."""
    lines = ["[data_centre dc]", "", "[model assistant]", "context_tokens = 1100000", ""]
    for number in range(engines):
        lines += [f"[engine engine-{number}]", f"url = http://10.0.{number // 250}.1:8000"]
        lines += ["data_centre = dc", "models = assistant", "memory_tokens = 450000"]
        lines += ["slots = 64", ""]
    for number in range(max(2, int(engines * TEAMS_PER_ENGINE))):
        lines += [f"[team team-{number}]", "weight = 1", f"key_sha256 = {number:064x}", ""]
    return "\n".join(lines)


def time_us(task: Callable[[], _ResultT]) -> tuple[float, _ResultT]:
    """Return the processor time of one run, in microseconds, and its result."""
    started = time.process_time_ns()
    result = task()
    return (time.process_time_ns() - started) / 1_000, result


def change_engine(document: Document, number: int) -> Document:
    """Return the document with other slots for one engine."""
    title = f"engine engine-{number}"
    items = {**dict(document[title].items), "slots": str(65 + number)}
    return document.set(title, Section(title, tuple(items.items())))


def measure_cost(engines: int) -> dict[str, float]:
    """Measure what one changed engine costs an instance and the wire, at a size of fleet."""
    text = make_inventory_text(engines)
    objects: dict[str, bytes] = {}
    edit = prepare_edit(None, 0, parse_document(text, 1)[0], "first")
    objects.update(edit.objects)
    first = edit.head
    whole_us, current = time_us(lambda: load(first, None, objects.get))
    state = State(Identity("a", "1", "dc"))
    state = reduce(state, InventoryAccepted(0, current.inventory))[0]
    load_us, reduce_us, delta_bytes = 0.0, 0.0, 0
    for number in range(COST_CHANGES):
        document = change_engine(current.document, number % engines)
        edit = prepare_edit(current, number + 1, document, f"{number:032x}")
        objects.update(edit.objects)
        spent_us, current = time_us(partial(load, edit.head, current, objects.get))
        load_us += spent_us
        event = InventoryAccepted(0, current.inventory, current.base, current.changed_engines)
        spent_us, (state, _) = time_us(partial(reduce, state, event))
        reduce_us += spent_us
        record = objects[edit.head.digest]
        assert decode_delta(record) is not None and digest_of(record) == edit.head.digest
        delta_bytes += len(record)
    return {
        "engines": engines,
        "load_us_per_change": load_us / COST_CHANGES,
        "reduce_us_per_change": reduce_us / COST_CHANGES,
        "delta_bytes_per_change": delta_bytes / COST_CHANGES,
        "head_bytes": len(encode_head(current.head)),
        "snapshot_bytes": len(text.encode()),
        "whole_load_us": whole_us,
    }


def main() -> int:
    """Measure everything and write it to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--changes", type=int, default=CHANGES)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    found = {
        "seed": options.seed,
        "cost": [measure_cost(engines) for engines in FLEETS],
        "quiet": measure_spread(False, options.changes, options.seed),
        "faults": measure_spread(True, options.changes, options.seed),
    }
    options.out.write_text(json.dumps(found, indent=2) + "\n")
    sys.stdout.write(options.out.read_text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
