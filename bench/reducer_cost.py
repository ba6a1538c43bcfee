"""Measures what one event costs the reducer: by engines, teams and waiting requests.

``python -m bench.reducer_cost [--output FILE]`` prints one line a cell, in microseconds an event.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import median

from pyrsistent import pmap

from lentilwell import Identity, Placement, Request, State, reduce
from lentilwell._inventory import Engine, Inventory, Model, Team
from lentilwell.decisions._dispatch import start_attempt
from lentilwell.decisions._queues import enqueue
from lentilwell.reducer import (
    AttemptFinished,
    Effect,
    EndRequest,
    Event,
    FirstTokenSeen,
    InventoryAccepted,
    RequestArrived,
    StartAttempt,
    TickPassed,
    WaitingRequest,
)

ENGINES = (14, 400, 10_000)
TEAMS = (10, 500, 4_900)
WAITING = (0, 1_000, 10_000)
LENGTHS = (1_000, 4_000, 16_000, 64_000, 256_000)
MEMORY_TOKENS = 450_000
ANSWER_TOKENS = 50
DEADLINE_MS = 1_000_000_000
TICK_MS = 50
NS_PER_US = 1_000


@dataclass(frozen=True)
class Cell:
    """The event costs at one fleet size: the median in microseconds by type of event."""

    engines: int
    teams: int
    waiting: int
    events: int
    arrived_us: float
    first_token_us: float
    finished_us: float
    tick_us: float
    events_per_second: float


@dataclass
class Session:
    """A reducer state under load, its attempts in start order, and the event durations by type."""

    state: State
    teams: int
    request_count: int = 0
    attempts: deque[str] = field(default_factory=deque)
    durations_us: dict[type[Event], list[float]] = field(default_factory=dict)

    def make_request(self) -> Request:
        """Return a new request; teams and lengths rotate, and no deadline expires during a run."""
        self.request_count += 1
        length = LENGTHS[(self.request_count // self.teams) % len(LENGTHS)]
        team = f"team-{self.request_count % self.teams}"
        now = self.state.now
        name = f"request-{self.request_count}"
        return Request(name, team, "m", length, ANSWER_TOKENS, now, now + DEADLINE_MS)

    def apply(self, event: Event) -> None:
        """Apply one event and record its duration."""
        started_ns = time.perf_counter_ns()
        self.state, effects = reduce(self.state, event)
        duration_us = (time.perf_counter_ns() - started_ns) / NS_PER_US
        self.durations_us.setdefault(type(event), []).append(duration_us)
        self._record_attempts(effects)

    def _record_attempts(self, effects: tuple[Effect, ...]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.attempts.append(effect.attempt_id)
            elif isinstance(effect, EndRequest):
                raise RuntimeError(f"request refused: {effect.failure}")


def make_inventory(engines: int, teams: int) -> Inventory:
    """Return an inventory with one model and engines that accept one stream each."""
    specs = {
        f"engine-{n}": Engine(f"engine-{n}", "", "dc", ("m",), MEMORY_TOKENS, 1)
        for n in range(engines)
    }
    team_specs = {f"team-{n}": Team(f"team-{n}", 1, ()) for n in range(teams)}
    models = pmap({"m": Model("m", MEMORY_TOKENS)})
    return Inventory(1, pmap(specs), models=models, teams=pmap(team_specs))


def fill_state(session: Session, engines: int, waiting: int) -> None:
    """Start a stream on every engine, then queue ``waiting`` requests without dispatching them."""
    for number in range(engines):
        request = session.make_request()
        waiting_request = WaitingRequest(request)
        placement = Placement(f"engine-{number}", request.memory_tokens)
        state, _ = start_attempt(
            enqueue(session.state, waiting_request), waiting_request, (placement,)
        )
        session.state = state
        session.attempts.append(state.in_hand[request.request_id])
    for _ in range(waiting):
        session.state = enqueue(session.state, WaitingRequest(session.make_request()))


def measure_cell(engines: int, teams: int, waiting: int, rounds: int) -> Cell:
    """Measure one fleet size.

    Each round consists of a first token, the end of an attempt, an arrival and a tick.
    """
    state = State(Identity("i", "1", "dc"))
    inventory = make_inventory(engines, teams)
    session = Session(reduce(state, InventoryAccepted(0, inventory))[0], teams)
    fill_state(session, engines, waiting)
    for number in range(rounds):
        now = number * TICK_MS
        attempt_id = session.attempts.popleft()
        session.apply(FirstTokenSeen(now, attempt_id))
        session.apply(AttemptFinished(now, attempt_id, ANSWER_TOKENS))
        session.apply(RequestArrived(now, session.make_request()))
        session.apply(TickPassed(now))
    durations = session.durations_us
    total_us = sum(sum(values) for values in durations.values())
    return Cell(
        engines,
        teams,
        waiting,
        sum(len(values) for values in durations.values()),
        median(durations[RequestArrived]),
        median(durations[FirstTokenSeen]),
        median(durations[AttemptFinished]),
        median(durations[TickPassed]),
        sum(len(values) for values in durations.values()) / total_us * 1e6,
    )


def measure_cells(
    engines: tuple[int, ...],
    teams: tuple[int, ...],
    waiting: tuple[int, ...],
    rounds: int,
    write_line: Callable[[str], None],
) -> list[Cell]:
    """Measure every combination and pass a line about each to ``write_line``."""
    write_line(
        "engines  teams waiting | arrived first_token finished  tick (us, median) | events/s"
    )
    cells = []
    for count in engines:
        for number in teams:
            for queued in waiting:
                cell = measure_cell(count, number, queued, rounds)
                cells.append(cell)
                write_line(
                    f"{count:>7} {number:>6} {queued:>7} | {cell.arrived_us:>7.0f} "
                    f"{cell.first_token_us:>11.0f} {cell.finished_us:>8.0f} {cell.tick_us:>5.0f}"
                    f"                 | {cell.events_per_second:>8.0f}"
                )
    return cells


def parse_counts(text: str) -> tuple[int, ...]:
    """Parse a comma-separated list of integers."""
    return tuple(int(part) for part in text.split(","))


def main() -> int:
    """Measure and print the cells; with ``--output``, also write them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=parse_counts, default=ENGINES)
    parser.add_argument("--teams", type=parse_counts, default=TEAMS)
    parser.add_argument("--waiting", type=parse_counts, default=WAITING)
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--output", type=Path)
    options = parser.parse_args()
    cells = measure_cells(
        options.engines,
        options.teams,
        options.waiting,
        options.rounds,
        lambda line: print(line, flush=True),
    )
    if options.output is not None:
        options.output.write_text(json.dumps([asdict(cell) for cell in cells], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
