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

from bench.data_path import measure_requests, measure_streams
from bench.reducer_cost import Session, fill_state, make_inventory, measure_cells
from bench.results import read_commit, write_line
from bench.runner import read_resident_bytes
from lentilwell import Identity, State, reduce
from lentilwell._clock import SystemClock
from lentilwell._messages import Digest, EngineUse
from lentilwell._wire import ttypes
from lentilwell.adapters import HttpEngineControl
from lentilwell.configuration._documents import parse_inventory
from lentilwell.gateway._permit_messages import PermitAsk, encode_permit_message
from lentilwell.gateway._permit_owners import OwnerRole, OwnerTable
from lentilwell.gateway._permits import Permits
from lentilwell.gateway._rate_limits import LimitReport, RateLimits
from lentilwell.gateway._upstreams import Upstream
from lentilwell.peers._auth import Handshake, open_channels
from lentilwell.peers._codec import decode, decode_digest, encode, encode_digest
from lentilwell.reducer import FirstTokenSeen, InventoryAccepted, ProgressSeen
from standins.deployment import launch, stop_processes

SLOPES_PATH = Path("bench/results/slopes.json")
ROUNDS = 5
US_PER_S = 1e6
DOCUMENT_ENGINES = (1_000, 4_000)
DIGEST_ENGINES = (10, 100)
REDUCER_ENGINES = (435, 10_000)
REDUCER_TEAMS = 4_900
REDUCER_ROUNDS = 60
# A limit that the measured owner issues permits for, in requests per second.
OWNER_RATE = 40.0

Group = Callable[[], dict[str, tuple[float, str]]]
GROUPS: dict[str, Group] = {}


@dataclass(frozen=True)
class Slope:
    """A measured slope, with the command that measured it and the commit it ran on."""

    name: str
    value: float
    unit: str
    run: str
    commit: str


def register_group(name: str) -> Callable[[Group], Group]:
    """Register a function that measures a group of slopes."""

    def register(function: Group) -> Group:
        GROUPS[name] = function
        return function

    return register


def measure_cpu_us(function: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call in microseconds.

    It is the median over ``ROUNDS`` rounds of ``repeats`` calls each.
    """
    rounds = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        for _ in range(repeats):
            function()
        rounds.append((time.process_time() - started_at) / repeats * US_PER_S)
    return median(rounds)


def make_digest(engines: int) -> Digest:
    """Return a digest that lists the use of this number of engines."""
    sender = Identity("entry-cymru-17", "8f3a2b1c", "caerdydd-2")
    engine_uses = tuple(
        EngineUse(f"caerdydd-2-{n:05d}", 7, 310_000, 42_000) for n in range(engines)
    )
    return Digest(sender, 123_456, 51_234, False, engine_uses, (), 12, 480_000)


@register_group("digest")
def measure_digest() -> dict[str, tuple[float, str]]:
    """Measure the size of digests and heartbeats, and the time to handle a digest."""
    small, large = (encode_digest(make_digest(engines)) for engines in DIGEST_ENGINES)
    bytes_per_engine = (len(large) - len(small)) / (DIGEST_ENGINES[1] - DIGEST_ENGINES[0])
    digest = make_digest(DIGEST_ENGINES[1])
    handshake = Handshake(digest.sender, "", b"1", Identity("e", "1", "dc"), b"2")
    channel = open_channels(b"shared-peer-key", handshake)[0]
    encode_us = measure_cpu_us(lambda: encode_digest(digest), 200)
    seal_us = measure_cpu_us(lambda: channel.seal(large), 200)
    read_us = measure_cpu_us(lambda: decode_digest(decode(ttypes.Message, large).digest), 200)
    heartbeat_bytes = encode(ttypes.Message(heartbeat=ttypes.Heartbeat()))
    sequence, proof = channel.seal(heartbeat_bytes)
    reply = encode(ttypes.Sealed(sequence, encode(ttypes.Reply(51_234)), proof))
    exchange_bytes = len(encode(ttypes.Sealed(sequence, heartbeat_bytes, proof))) + len(reply)
    return {
        "heartbeat bytes, both ways": (exchange_bytes, "bytes"),
        "digest bytes": (len(small) - DIGEST_ENGINES[0] * bytes_per_engine, "bytes"),
        "digest bytes an engine in hand": (bytes_per_engine, "bytes"),
        "encode digest of 100": (encode_us, "us"),
        "seal or check digest of 100": (seal_us, "us"),
        "read digest of 100": (read_us, "us"),
    }


@register_group("permits")
def measure_permits() -> dict[str, tuple[float, str]]:
    """Measure the size of an ask and its answer, and the time that an owner takes to answer."""
    upstream = Upstream("i-57bb6029c4", "chat", "10.2.64.39:8022", "caerdydd-2", 8, False, 7)
    limits, owners, clock = RateLimits(), OwnerTable("entry-cymru-17"), SystemClock()
    owners.update_members({"entry-cymru-17": "caerdydd-2"}, 0, 0)
    limits.record_named(upstream.incarnation, OWNER_RATE, clock.now())
    permits = Permits("entry-cymru-17", clock, limits, owners, lambda name: upstream)
    answers: list[bytes] = []
    permits.reply = lambda address, data: answers.append(data)
    report = LimitReport(upstream.incarnation, OWNER_RATE, clock.now())
    ask = PermitAsk(2**40, report, OwnerRole.PRIMARY, 200, settled=True)
    data = encode_permit_message(ask, clock.now())
    answer_us = measure_cpu_us(lambda: permits.handle_datagram(data, ("10.2.0.24", 7260)), 500)
    return {
        "permit bytes, ask and answer": (len(data) + len(answers[0]), "bytes"),
        "answer an ask for a permit": (answer_us, "us"),
    }


def make_document(engines: int, teams: int) -> str:
    """Return an inventory document with these numbers of engines and teams."""
    lines = ["[data_centre dc]", "", "[model m]", "context_tokens = 1100000", ""]
    for index in range(engines):
        lines += [f"[engine engine-{index:05d}]", f"url = http://10.0.{index // 250}.9:8000"]
        lines += ["data_centre = dc", "models = m", "memory_tokens = 450000", "slots = 64", ""]
    for index in range(teams):
        lines += [f"[team team-{index:04d}]", "weight = 1", f"key_sha256 = {index:064x}", ""]
    return "\n".join(lines)


def measure_document(engines: int, teams: int) -> tuple[float, float, float]:
    """Return the length of a document, the growth of resident memory, and the parse time in us."""
    text = make_document(engines, teams)
    gc.collect()
    before = read_own_resident_bytes()
    started_at = time.process_time()
    inventory = parse_inventory(text, 1)
    parse_us = (time.process_time() - started_at) * US_PER_S
    gc.collect()
    resident_growth = read_own_resident_bytes() - before
    assert len(inventory.engines) == engines
    return len(text), resident_growth, parse_us


def read_own_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    return read_resident_bytes(os.getpid())


@register_group("inventory")
def measure_inventory() -> dict[str, tuple[float, str]]:
    """Measure the text size, memory and parse time of an inventory per engine and per team."""
    small = measure_document(DOCUMENT_ENGINES[0], 1)
    large = measure_document(DOCUMENT_ENGINES[1], 1)
    many_teams = measure_document(DOCUMENT_ENGINES[0], 4_900)
    engines = DOCUMENT_ENGINES[1] - DOCUMENT_ENGINES[0]
    return {
        "inventory text an engine": ((large[0] - small[0]) / engines, "bytes"),
        "inventory memory an engine": (large[1] / DOCUMENT_ENGINES[1], "bytes"),
        "inventory parse an engine": ((large[2] - small[2]) / engines, "us"),
        "inventory text a team": ((many_teams[0] - small[0]) / 4_899, "bytes"),
        "inventory parse a team": ((many_teams[2] - small[2]) / 4_899, "us"),
    }


@register_group("report")
def measure_report() -> dict[str, tuple[float, str]]:
    """Measure the time to read the load report of an idle engine.

    A report that lists streams takes longer.
    """
    with tempfile.TemporaryDirectory() as folder:
        engine = launch("e", ["-m", "standins.engine", "--name", "e"], Path(folder))
        try:
            control = HttpEngineControl()
            read_us = measure_cpu_us(lambda: control.read_load("e", engine.url()).unwrap(), 100)
        finally:
            stop_processes([engine])
    return {"read load report of an idle engine": (read_us, "us")}


@register_group("reducer")
def measure_reducer() -> dict[str, tuple[float, str]]:
    """Measure the reducer's time by type of event.

    The fleet sizes are the engines of one data centre and those of the whole fleet.
    """
    cells = measure_cells(REDUCER_ENGINES, (REDUCER_TEAMS,), (0,), REDUCER_ROUNDS, write_line)
    values: dict[str, tuple[float, str]] = {}
    for cell in cells:
        suffix = f"with {cell.engines} engines"
        values[f"arrival {suffix}"] = (cell.arrived_us, "us")
        values[f"first token {suffix}"] = (cell.first_token_us, "us")
        values[f"finish {suffix}"] = (cell.finished_us, "us")
        values[f"tick {suffix}"] = (cell.tick_us, "us")
        values[f"event {suffix}, mean"] = (US_PER_S / cell.events_per_second, "us")
    engines = REDUCER_ENGINES[0]
    values[f"progress with {engines} engines"] = (measure_progress(engines), "us")
    return values


def measure_progress(engines: int) -> float:
    """Return the median time of a progress event in us while every engine has a stream."""
    state = State(Identity("i", "1", "dc"))
    inventory = make_inventory(engines, REDUCER_TEAMS)
    session = Session(reduce(state, InventoryAccepted(0, inventory))[0], REDUCER_TEAMS)
    fill_state(session, engines, 0)
    for attempt_id in tuple(session.attempts):
        session.apply(FirstTokenSeen(1, attempt_id))
    for index, attempt_id in enumerate(tuple(session.attempts)):
        session.apply(ProgressSeen(2 + index, attempt_id, 7))
    return median(session.durations_us[ProgressSeen])


@register_group("path")
def measure_data_path() -> dict[str, tuple[float, str]]:
    """Measure the processor time per chunk and request, and memory per stream, of one instance."""
    values: dict[str, tuple[float, str]] = {}
    for streams in (500, 1_200):
        figures = measure_streams(streams)
        suffix = f"with {streams} streams"
        values[f"chunk {suffix}"] = (figures["microseconds a chunk"], "us")
        values[f"chunks a second {suffix}"] = (figures["chunks a second"], "1/s")
        values[f"chunks a second and core {suffix}"] = (figures["chunks a second and core"], "1/s")
        values[f"memory a stream {suffix}"] = (figures["KiB a stream"], "KiB")
        values["resident memory idle"] = (figures["resident MiB idle"], "MiB")
    figures = measure_requests()
    values["request of 1,000 tokens and one token"] = (figures["ms a request"], "ms")
    values["idle entry, 14 engines"] = (figures["idle core share %"], "% of a core")
    return values


def read_slopes(path: Path = SLOPES_PATH) -> dict[str, Slope]:
    """Return the slopes in the file, by name; there are none if the file does not exist."""
    if not path.exists():
        return {}
    return {entry["name"]: Slope(**entry) for entry in json.loads(path.read_text())}


def main() -> int:
    """Measure the selected groups, print their slopes and save them in the file."""
    parser = argparse.ArgumentParser(prog="python -m bench.slopes", description=__doc__)
    parser.add_argument("groups", nargs="*", choices=list(GROUPS))
    options = parser.parse_args()
    SLOPES_PATH.parent.mkdir(parents=True, exist_ok=True)
    for name in options.groups or GROUPS:
        commit = read_commit()
        values = GROUPS[name]()
        slopes = read_slopes()
        for label, (value, unit) in values.items():
            run = f"python -m bench.slopes {name}"
            slopes[label] = Slope(label, float(f"{value:.4g}"), unit, run, commit)
            write_line(f"{label}: {value:.4g} {unit}")
        SLOPES_PATH.write_text(json.dumps([asdict(s) for s in slopes.values()], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
