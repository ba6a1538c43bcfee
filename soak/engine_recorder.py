"""Records the requests, pauses and named limits of stand-in engines."""

from __future__ import annotations

from lentilwell._clock import Clock
from soak.faulty_server import INSTANCE_HEADER
from soak.observations import Arrival, LimitNaming, Observations, PausedAnswer
from standins.batch_server import BatchServer
from standins.pauses import Pause
from standins.received_request import ReceivedRequest


def record_engine(engine: BatchServer, observations: Observations, clock: Clock) -> None:
    """Let an engine record its requests, its pauses and its answers that name a rate limit."""

    def record_arrival(request: ReceivedRequest) -> None:
        instance, now = request.headers.get(INSTANCE_HEADER, ""), clock.now()
        arrival = Arrival(request.request_id, engine.name, 1, instance, now, ran=True)
        observations.arrivals.append(arrival)

    def record_naming(headers: dict[str, str]) -> None:
        instance, now = headers.get(INSTANCE_HEADER, ""), clock.now()
        observations.namings.append(LimitNaming(engine.name, 1, instance, now))

    def record_pause(headers: dict[str, str], pause: Pause) -> None:
        request, now = headers["request-id"], clock.now()
        observations.pauses.append(PausedAnswer(request, engine.name, now, now + pause.duration_ms))

    engine.on_request, engine.on_naming = record_arrival, record_naming
    engine.on_pause = record_pause
