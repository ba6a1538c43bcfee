"""Upstreams of one service that end under the deadly requests of a case."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence

from standins.batch_server import BatchServer
from standins.crashing_server import CrashingServer
from standins.deadly_load import Case
from standins.deadly_requests import DeadlyRecord
from standins.received_request import ReceivedRequest
from standins.restarting_fleet import EXPIRY_S, RESTART_S, ListedServer, OnCrash, RestartingFleet

UPSTREAMS = 12
# This upstream comes back under a new name, the others under their old one.
RENAMED_END = 2

DeadlyServer = CrashingServer | BatchServer
Publish = Callable[[Sequence[ListedServer[DeadlyServer]]], Awaitable[None]]


def make_fleet(
    case: Case,
    record: DeadlyRecord,
    draw: random.Random,
    publish: Publish,
    upstreams: int = UPSTREAMS,
    expiry_s: float = EXPIRY_S,
    restart_s: float = RESTART_S,
    service_s: tuple[float, float] | None = None,
) -> RestartingFleet[DeadlyServer]:
    """Return the upstreams of a case, not started yet.

    Plain upstreams take between the two times ``service_s`` for a sound request, those of the
    case's pace by default.
    """
    by_address: dict[str, BatchServer] = {}

    def build(name: str, on_crash: OnCrash) -> DeadlyServer:
        if case.streams:
            return BatchServer(
                name,
                by_address,
                is_deadly=record.is_deadly,
                on_request=record.record_request,
                on_crash=on_crash,
            )
        return CrashingServer(
            name,
            record.is_deadly,
            case.point,
            lambda: draw.uniform(*(service_s or case.pace.service_s)),
            record.record_request,
            on_crash,
        )

    def record_end(server: DeadlyServer, cause: ReceivedRequest | None) -> None:
        record.record_crash(cause, count_running(server) - (cause is not None))

    return RestartingFleet(
        "u",
        upstreams,
        build,
        publish,
        is_renamed=lambda end: end == RENAMED_END,
        on_end=record_end,
        expiry_s=expiry_s,
        restart_s=restart_s,
    )


def count_running(server: DeadlyServer) -> int:
    """Return the number of requests that an upstream is working on."""
    return len(server.batch.jobs) if isinstance(server, BatchServer) else server.running
