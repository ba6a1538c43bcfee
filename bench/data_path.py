"""Measures the data path of one entry instance: chunks per core second and memory per stream.

Fourteen engines, which together have more slots than there are streams, send the chunks and two
load processes read them, so that neither limits the result. The table includes the core share of
the busiest engine and of the busiest load process to confirm this.
"""

from __future__ import annotations

import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

from bench.load import Outcome
from bench.results import Row, write_line
from bench.runner import (
    BENCH_PLAN,
    FAULTY_VERDICTS,
    START_DELAY_S,
    read_cpu_seconds,
    read_invariants,
    read_outcomes,
    read_resident_bytes,
    start_loaders,
)
from bench.workload import TEAMS, Arrival
from standins.deployment import Deployment, deploy

STREAM_COUNTS = (500, 1_200)
REQUEST_COUNT = 480
TOKEN_GAP_MS = 75.0
RAMP_S = 6.0
SETTLE_S = 2.0
MEASURE_WINDOW_S = 4.0
STREAM_DURATION_S = 13.0
PROMPT_TOKENS = 1_000
DEADLINE_MS = 60_000
MS_PER_SECOND = 1_000
KIB = 1_024
PERCENT = 100
DATA_PATH_PLAN = replace(
    BENCH_PLAN,
    instances=1,
    services=1,
    speed=1.0,
    decode_ms=TOKEN_GAP_MS,
    prefill_rate=200_000.0,
    slots=160,
    engine_options=("--batch-slowdown", "0", "--prefill-slowdown", "0"),
)


@dataclass(frozen=True)
class Counters:
    """Counters of the running deployment at one point in time.

    They are the tokens that the engines have written, the processor time of each process in
    seconds, and the resident memory of the entry instance in bytes.
    """

    at_s: float
    chunks: int
    entry_cpu_s: float
    engine_cpu_s: tuple[float, ...]
    loader_cpu_s: tuple[float, ...]
    resident_bytes: int


def read_counters(deployment: Deployment, loaders: list[subprocess.Popen[bytes]]) -> Counters:
    """Read the current counters."""
    pid = deployment.entries[0].popen.pid
    written = [read_invariants(engine)["tokens_written"] for engine in deployment.engines]
    return Counters(
        time.monotonic(),
        sum(written),
        read_cpu_seconds(pid),
        tuple(read_cpu_seconds(engine.popen.pid) for engine in deployment.engines),
        tuple(read_cpu_seconds(loader.pid) for loader in loaders),
        read_resident_bytes(pid),
    )


def build_arrivals(streams: int) -> list[Arrival]:
    """Return this number of arrivals, spread evenly over ``RAMP_S``."""
    tokens = int(STREAM_DURATION_S * MS_PER_SECOND / TOKEN_GAP_MS)
    return [
        Arrival(
            f"path-{streams}-{index}",
            index * RAMP_S * MS_PER_SECOND / streams,
            TEAMS[index % len(TEAMS)],
            PROMPT_TOKENS,
            tokens,
            DEADLINE_MS,
        )
        for index in range(streams)
    ]


def measure_streams(streams: int) -> dict[str, float]:
    """Measure this number of open streams on a new deployment."""
    with deploy(DATA_PATH_PLAN) as deployment:
        return measure_open_streams(deployment, streams)


def measure_open_streams(deployment: Deployment, streams: int) -> dict[str, float]:
    """Open the streams, wait until the load is steady, and measure one window."""
    idle_bytes = read_resident_bytes(deployment.entries[0].popen.pid)
    loaders = start_loaders(deployment, build_arrivals(streams))
    time.sleep(START_DELAY_S + RAMP_S + SETTLE_S)
    before = read_counters(deployment, loaders)
    time.sleep(MEASURE_WINDOW_S)
    after = read_counters(deployment, loaders)
    open_streams = sum(int(read_invariants(e)["streams"]) for e in deployment.engines)
    return summarize(before, after, open_streams, idle_bytes, read_outcomes(loaders))


def summarize(
    before: Counters, after: Counters, streams: int, idle_bytes: int, outcomes: Sequence[Outcome]
) -> dict[str, float]:
    """Return the figures of one measurement window."""
    seconds = after.at_s - before.at_s
    chunks = after.chunks - before.chunks
    entry_cpu_s = after.entry_cpu_s - before.entry_cpu_s
    max_engine_s = max(b - a for a, b in zip(before.engine_cpu_s, after.engine_cpu_s, strict=True))
    max_loader_s = max(b - a for a, b in zip(before.loader_cpu_s, after.loader_cpu_s, strict=True))
    return {
        "streams open": streams,
        "chunks a second offered": streams * MS_PER_SECOND / TOKEN_GAP_MS,
        "chunks a second": chunks / seconds,
        "entry core share %": entry_cpu_s / seconds * PERCENT,
        "chunks a second and core": chunks / entry_cpu_s,
        "microseconds a chunk": entry_cpu_s / chunks * 1e6,
        "KiB a stream": (after.resident_bytes - idle_bytes) / max(1, streams) / KIB,
        "resident MiB idle": idle_bytes / KIB / KIB,
        "busiest engine core share %": max_engine_s / seconds * PERCENT,
        "busiest loader core share %": max_loader_s / seconds * PERCENT,
        "answers in time": sum(o.verdict == "in_time" for o in outcomes),
        "refused": sum(o.verdict == "refused" for o in outcomes),
        "wrong, incomplete or silent": sum(o.verdict in FAULTY_VERDICTS for o in outcomes),
    }


def measure_requests() -> dict[str, float]:
    """Measure the processor time of a request with a one-token answer and of an idle instance."""
    plan = replace(DATA_PATH_PLAN, decode_ms=1.0)
    with deploy(plan) as deployment:
        pid = deployment.entries[0].popen.pid
        time.sleep(SETTLE_S)
        cpu_before_s, started_at = read_cpu_seconds(pid), time.monotonic()
        time.sleep(MEASURE_WINDOW_S)
        idle_share = (read_cpu_seconds(pid) - cpu_before_s) / (time.monotonic() - started_at)
        cpu_before_s, started_at = read_cpu_seconds(pid), time.monotonic()
        requests = [replace(arrival, answer_tokens=1) for arrival in build_arrivals(REQUEST_COUNT)]
        outcomes = read_outcomes(start_loaders(deployment, requests))
        cpu_s = read_cpu_seconds(pid) - cpu_before_s - idle_share * (time.monotonic() - started_at)
        answered = sum(outcome.verdict == "in_time" for outcome in outcomes)
    return {
        "ms a request": cpu_s / answered * MS_PER_SECOND,
        "idle core share %": idle_share * PERCENT,
    }


def measure_data_path(quick: bool) -> list[Row]:
    """Measure one instance once at each number of streams, each time on a new deployment."""
    rows: list[Row] = []
    for streams in STREAM_COUNTS[:1] if quick else STREAM_COUNTS:
        figures = measure_streams(streams)
        write_line(f"# path, {streams} streams: done")
        targets = {"streams open": str(streams), "wrong, incomplete or silent": "0"}
        rows += [
            Row("path", f"{streams} streams", name, (value,), targets.get(name, ""))
            for name, value in figures.items()
        ]
    return rows
