"""Measures the slopes that ``bench.capacity`` needs, and keeps them in one file.

``python -m bench.slopes [GROUP ...]`` measures the named groups, or all, and leaves the others'
slopes in the file as they are. Each slope names the command and the commit that gave it.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

from bench.path import measure_requests, measure_streams
from bench.reducer_cost import Session, fill, make_inventory, measure_cells
from bench.results import read_commit, write_line
from bench.running import resident_bytes
from lentilwell import Identity, State, reduce
from lentilwell._messages import Digest, EngineUse
from lentilwell._wire import ttypes
from lentilwell.adapters import HttpEngineControl
from lentilwell.configuration._documents import parse_inventory
from lentilwell.peers._auth import Handshake, open_channels
from lentilwell.peers._codec import decode, decode_digest, encode, encode_digest
from lentilwell.reducer import FirstTokenSeen, InventoryAccepted, ProgressSeen
from standins.deployment import launch, stop_processes

SLOPES = Path("bench/results/slopes.json")
REPEATS = 5
US_PER_S = 1e6
ENGINES = (1_000, 4_000)
USES = (10, 100)
REDUCER_ENGINES = (435, 10_000)
REDUCER_TEAMS = 4_900
REDUCER_ROUNDS = 60

Group = Callable[[], dict[str, tuple[float, str]]]
GROUPS: dict[str, Group] = {}


@dataclass(frozen=True)
class Slope:
    """One measured slope; ``run`` is the command, ``commit`` the tree it ran on."""

    name: str
    value: float
    unit: str
    run: str
    commit: str


def group(name: str) -> Callable[[Group], Group]:
    """Register a group of slopes that are measured together."""

    def register(function: Group) -> Group:
        GROUPS[name] = function
        return function

    return register


def cpu_us(function: Callable[[], object], repeats: int) -> float:
    """Return the processor microseconds of one call: the median over rounds of ``repeats``."""
    rounds = []
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(repeats):
            function()
        rounds.append((time.process_time() - began) / repeats * US_PER_S)
    return median(rounds)


def make_digest(uses: int) -> Digest:
    """Return a digest with so many engines in hand."""
    sender = Identity("entry-cymru-17", "8f3a2b1c", "caerdydd-2")
    listed = tuple(EngineUse(f"caerdydd-2-{n:05d}", 7, 310_000, 42_000) for n in range(uses))
    return Digest(sender, 123_456, 51_234, False, listed, (), 12, 480_000)


@group("digest")
def measure_digest() -> dict[str, tuple[float, str]]:
    """Bytes of a digest by engines in hand, and what sending and reading one costs."""
    few, many = (encode_digest(make_digest(uses)) for uses in USES)
    by_use = (len(many) - len(few)) / (USES[1] - USES[0])
    digest = make_digest(USES[1])
    handshake = Handshake(digest.sender, "", b"1", Identity("e", "1", "dc"), b"2")
    channel = open_channels(b"shared-peer-key", handshake)[0]
    encode_us = cpu_us(lambda: encode_digest(digest), 200)
    seal_us = cpu_us(lambda: channel.seal(many), 200)
    read_us = cpu_us(lambda: decode_digest(decode(ttypes.Message, many).digest), 200)
    beat = encode(ttypes.Message(heartbeat=ttypes.Heartbeat()))
    number, proof = channel.seal(beat)
    reply = encode(ttypes.Sealed(number, encode(ttypes.Reply(51_234)), proof))
    both = len(encode(ttypes.Sealed(number, beat, proof))) + len(reply)
    return {
        "heartbeat bytes, both ways": (both, "bytes"),
        "digest bytes": (len(few) - USES[0] * by_use, "bytes"),
        "digest bytes an engine in hand": (by_use, "bytes"),
        "encode digest of 100": (encode_us, "us"),
        "seal or check digest of 100": (seal_us, "us"),
        "read digest of 100": (read_us, "us"),
    }


def make_document(engines: int, teams: int) -> str:
    """Return an inventory document of this size."""
    lines = ["[data_centre dc]", "", "[model m]", "context_tokens = 1100000", ""]
    for number in range(engines):
        lines += [f"[engine engine-{number:05d}]", f"url = http://10.0.{number // 250}.9:8000"]
        lines += ["data_centre = dc", "models = m", "memory_tokens = 450000", "slots = 64", ""]
    for number in range(teams):
        lines += [f"[team team-{number:04d}]", "weight = 1", f"key_sha256 = {number:064x}", ""]
    return "\n".join(lines)


def measure_document(engines: int, teams: int) -> tuple[float, float, float]:
    """Return bytes, resident bytes and parse microseconds of a document."""
    text = make_document(engines, teams)
    gc.collect()
    before = resident_bytes_here()
    began = time.process_time()
    inventory = parse_inventory(text, 1)
    spent = (time.process_time() - began) * US_PER_S
    gc.collect()
    held = resident_bytes_here() - before
    assert len(inventory.engines) == engines
    return len(text), held, spent


def resident_bytes_here() -> int:
    """Return this process's resident memory."""
    return resident_bytes(os.getpid())


@group("inventory")
def measure_inventory() -> dict[str, tuple[float, str]]:
    """Bytes, memory and parse time by engine and by team."""
    small = measure_document(ENGINES[0], 1)
    large = measure_document(ENGINES[1], 1)
    teams = measure_document(ENGINES[0], 4_900)
    engines = ENGINES[1] - ENGINES[0]
    return {
        "inventory text an engine": ((large[0] - small[0]) / engines, "bytes"),
        "inventory memory an engine": (large[1] / ENGINES[1], "bytes"),
        "inventory parse an engine": ((large[2] - small[2]) / engines, "us"),
        "inventory text a team": ((teams[0] - small[0]) / 4_899, "bytes"),
        "inventory parse a team": ((teams[2] - small[2]) / 4_899, "us"),
    }


@group("report")
def measure_report() -> dict[str, tuple[float, str]]:
    """What reading one load report of an idle engine costs; streams in it cost more."""
    with tempfile.TemporaryDirectory() as name:
        engine = launch("e", ["-m", "standins.engine", "--name", "e"], Path(name))
        try:
            control = HttpEngineControl()
            empty = cpu_us(lambda: control.read_load("e", engine.url()).unwrap(), 100)
        finally:
            stop_processes([engine])
    return {"read load report of an idle engine": (empty, "us")}


@group("reducer")
def measure_reducer() -> dict[str, tuple[float, str]]:
    """Microseconds by kind of event, with a data centre's engines and with the whole fleet's."""
    cells = measure_cells(REDUCER_ENGINES, (REDUCER_TEAMS,), (0,), REDUCER_ROUNDS, write_line)
    found: dict[str, tuple[float, str]] = {}
    for cell in cells:
        at = f"with {cell.engines} engines"
        found[f"arrival {at}"] = (cell.arrived_us, "us")
        found[f"first token {at}"] = (cell.first_token_us, "us")
        found[f"finish {at}"] = (cell.finished_us, "us")
        found[f"tick {at}"] = (cell.tick_us, "us")
        found[f"event {at}, mean"] = (US_PER_S / cell.events_per_second, "us")
    engines = REDUCER_ENGINES[0]
    found[f"progress with {engines} engines"] = (measure_progress(engines), "us")
    return found


def measure_progress(engines: int) -> float:
    """Return the median microseconds of a progress event while every engine has a stream."""
    state = State(Identity("i", "1", "dc"))
    inventory = make_inventory(engines, REDUCER_TEAMS)
    session = Session(reduce(state, InventoryAccepted(0, inventory))[0], REDUCER_TEAMS)
    fill(session, engines, 0)
    for attempt_id in tuple(session.attempts):
        session.apply(FirstTokenSeen(1, attempt_id))
    for number, attempt_id in enumerate(tuple(session.attempts)):
        session.apply(ProgressSeen(2 + number, attempt_id, 7))
    return median(session.spent_us[ProgressSeen])


@group("path")
def measure_data_path() -> dict[str, tuple[float, str]]:
    """Processor time a chunk and a request, and memory a stream, of one entry instance."""
    found: dict[str, tuple[float, str]] = {}
    for streams in (500, 1_200):
        figures = measure_streams(streams)
        at = f"with {streams} streams"
        found[f"chunk {at}"] = (figures["microseconds a chunk"], "us")
        found[f"chunks a second {at}"] = (figures["chunks a second"], "1/s")
        found[f"chunks a second and core {at}"] = (figures["chunks a second and core"], "1/s")
        found[f"memory a stream {at}"] = (figures["KiB a stream"], "KiB")
        found["resident memory idle"] = (figures["resident MiB idle"], "MiB")
    figures = measure_requests()
    found["request of 1,000 tokens and one token"] = (figures["ms a request"], "ms")
    found["idle entry, 14 engines"] = (figures["idle core share %"], "% of a core")
    return found


def read_slopes(path: Path = SLOPES) -> dict[str, Slope]:
    """Return the slopes measured so far, by name."""
    if not path.exists():
        return {}
    return {entry["name"]: Slope(**entry) for entry in json.loads(path.read_text())}


def main() -> int:
    """Measure, print and keep."""
    parser = argparse.ArgumentParser(prog="python -m bench.slopes", description=__doc__)
    parser.add_argument("groups", nargs="*", choices=list(GROUPS))
    options = parser.parse_args()
    SLOPES.parent.mkdir(parents=True, exist_ok=True)
    for name in options.groups or GROUPS:
        commit = read_commit()
        found = GROUPS[name]()
        slopes = read_slopes()
        for label, (value, unit) in found.items():
            run = f"python -m bench.slopes {name}"
            slopes[label] = Slope(label, float(f"{value:.4g}"), unit, run, commit)
            write_line(f"{label}: {value:.4g} {unit}")
        SLOPES.write_text(json.dumps([asdict(s) for s in slopes.values()], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
