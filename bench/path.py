"""The data path of one entry instance: chunks a second and core, and memory a stream.

Fourteen engines with more slots than streams send the chunks, and two load processes read them, so
that neither is what is measured; the busiest one's share of a core is in the table.
"""

from __future__ import annotations

import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

from bench.demand import TEAMS, Arrival
from bench.load import Outcome
from bench.results import Row, write_line
from bench.running import (
    BENCH_PLAN,
    FAULTY,
    START_S,
    cpu_seconds,
    read_invariants,
    read_outcomes,
    resident_bytes,
    start_loaders,
)
from standins.deployment import Deployment, deploy

STREAMS = (500, 1_200)
REQUESTS = 480
TOKEN_MS = 75.0
OPEN_S = 6.0
SETTLE_S = 2.0
WINDOW_S = 4.0
STREAM_S = 13.0
PROMPT_TOKENS = 1_000
DEADLINE_MS = 60_000
MS_PER_SECOND = 1_000
KIB = 1_024
PERCENT = 100
PATH_PLAN = replace(
    BENCH_PLAN,
    instances=1,
    services=1,
    speed=1.0,
    decode_ms=TOKEN_MS,
    prefill_rate=200_000.0,
    slots=160,
    engine_options=("--batch-slowdown", "0", "--prefill-slowdown", "0"),
)


@dataclass(frozen=True)
class Reading:
    """Counters at one moment: tokens that the engines wrote, and seconds of processor."""

    at_s: float
    chunks: int
    entry_s: float
    engines_s: tuple[float, ...]
    loaders_s: tuple[float, ...]
    resident: int


def read_counters(deployment: Deployment, loaders: list[subprocess.Popen[bytes]]) -> Reading:
    """Return the counters now."""
    pid = deployment.entries[0].popen.pid
    written = [read_invariants(engine)["tokens_written"] for engine in deployment.engines]
    return Reading(
        time.monotonic(),
        sum(written),
        cpu_seconds(pid),
        tuple(cpu_seconds(engine.popen.pid) for engine in deployment.engines),
        tuple(cpu_seconds(loader.pid) for loader in loaders),
        resident_bytes(pid),
    )


def list_arrivals(streams: int) -> list[Arrival]:
    """Return so many requests, spread over ``OPEN_S``."""
    tokens = int(STREAM_S * MS_PER_SECOND / TOKEN_MS)
    return [
        Arrival(
            f"path-{streams}-{number}",
            number * OPEN_S * MS_PER_SECOND / streams,
            TEAMS[number % len(TEAMS)],
            PROMPT_TOKENS,
            tokens,
            DEADLINE_MS,
        )
        for number in range(streams)
    ]


def measure_streams(streams: int) -> dict[str, float]:
    """Hold so many streams open on a fresh instance, and measure over one window."""
    with deploy(PATH_PLAN) as deployment:
        return hold_streams(deployment, streams)


def hold_streams(deployment: Deployment, streams: int) -> dict[str, float]:
    """Open the streams, wait until they are settled, and measure."""
    idle = resident_bytes(deployment.entries[0].popen.pid)
    loaders = start_loaders(deployment, list_arrivals(streams))
    time.sleep(START_S + OPEN_S + SETTLE_S)
    before = read_counters(deployment, loaders)
    time.sleep(WINDOW_S)
    after = read_counters(deployment, loaders)
    open_streams = sum(int(read_invariants(e)["streams"]) for e in deployment.engines)
    return summarize(before, after, open_streams, idle, read_outcomes(loaders))


def summarize(
    before: Reading, after: Reading, streams: int, idle: int, outcomes: Sequence[Outcome]
) -> dict[str, float]:
    """Return the figures of one window."""
    seconds = after.at_s - before.at_s
    chunks = after.chunks - before.chunks
    entry_s = after.entry_s - before.entry_s
    engines = max(b - a for a, b in zip(before.engines_s, after.engines_s, strict=True))
    loaders = max(b - a for a, b in zip(before.loaders_s, after.loaders_s, strict=True))
    return {
        "streams open": streams,
        "chunks a second offered": streams * MS_PER_SECOND / TOKEN_MS,
        "chunks a second": chunks / seconds,
        "entry core share %": entry_s / seconds * PERCENT,
        "chunks a second and core": chunks / entry_s,
        "microseconds a chunk": entry_s / chunks * 1e6,
        "KiB a stream": (after.resident - idle) / max(1, streams) / KIB,
        "resident MiB idle": idle / KIB / KIB,
        "busiest engine core share %": engines / seconds * PERCENT,
        "busiest loader core share %": loaders / seconds * PERCENT,
        "answers in time": sum(o.verdict == "in_time" for o in outcomes),
        "refused": sum(o.verdict == "refused" for o in outcomes),
        "wrong, incomplete or silent": sum(o.verdict in FAULTY for o in outcomes),
    }


def measure_requests() -> dict[str, float]:
    """Return the processor time of a request with one token, and of an instance at rest."""
    plan = replace(PATH_PLAN, decode_ms=1.0)
    with deploy(plan) as deployment:
        pid = deployment.entries[0].popen.pid
        time.sleep(SETTLE_S)
        began, at = cpu_seconds(pid), time.monotonic()
        time.sleep(WINDOW_S)
        idle = (cpu_seconds(pid) - began) / (time.monotonic() - at)
        began, at = cpu_seconds(pid), time.monotonic()
        requests = [replace(arrival, answer_tokens=1) for arrival in list_arrivals(REQUESTS)]
        outcomes = read_outcomes(start_loaders(deployment, requests))
        spent = cpu_seconds(pid) - began - idle * (time.monotonic() - at)
        answered = sum(outcome.verdict == "in_time" for outcome in outcomes)
    return {"ms a request": spent / answered * MS_PER_SECOND, "idle core share %": idle * PERCENT}


def measure_path(quick: bool) -> list[Row]:
    """Measure one instance at each number of streams, once; each on a fresh deployment."""
    rows: list[Row] = []
    for streams in STREAMS[:1] if quick else STREAMS:
        figures = measure_streams(streams)
        write_line(f"# path, {streams} streams: done")
        targets = {"streams open": str(streams), "wrong, incomplete or silent": "0"}
        rows += [
            Row("path", f"{streams} streams", name, (value,), targets.get(name, ""))
            for name, value in figures.items()
        ]
    return rows
