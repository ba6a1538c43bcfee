"""Embeds the reducer in a small event loop that simulates two engines."""

from __future__ import annotations

import sys
from collections import deque

from lentilwell import (
    Engine,
    Identity,
    Inventory,
    ManualClock,
    Model,
    Request,
    State,
    Team,
    make_inventory,
    reduce,
)
from lentilwell.effects import EndRequest, StartAttempt
from lentilwell.events import (
    AttemptFinished,
    Event,
    FirstTokenSeen,
    InventoryAccepted,
    RequestArrived,
)

ANSWER_TOKENS = 20


def build_inventory() -> Inventory:
    """Return an inventory with one model, two engines that serve it, and a team."""
    engines = [
        Engine(f"engine-{number}", "", "luzon-a", ("assistant",), 400_000, 8) for number in (1, 2)
    ]
    return make_inventory(1, engines, [Model("assistant", 400_000)], [Team("clerks", 1, ())])


def run_requests(requests: list[Request]) -> list[str]:
    """Process requests until all have ended and return a line for each start and failure."""
    clock = ManualClock()
    state = State(Identity("embedded", "1", "luzon-a"))
    events: deque[Event] = deque([InventoryAccepted(clock.now(), build_inventory())])
    events.extend(RequestArrived(clock.now(), request) for request in requests)
    lines: list[str] = []
    while events:
        state, effects = reduce(state, events.popleft())
        for effect in effects:
            if isinstance(effect, StartAttempt):
                engine = effect.placements[0].engine
                lines.append(f"{effect.request.request_id} runs on {engine}")
                at = clock.advance(10)
                events.append(FirstTokenSeen(at, effect.attempt_id))
                events.append(AttemptFinished(at, effect.attempt_id, ANSWER_TOKENS))
            elif isinstance(effect, EndRequest):
                lines.append(f"{effect.request_id} ends: {effect.failure.code}")
    return lines


def main() -> None:
    """Run a short request, a long one, and one that exceeds the memory of every engine."""
    lengths = (1_000, 300_000, 900_000)
    requests = [
        Request(f"request-{n}", "clerks", "assistant", tokens, ANSWER_TOKENS, 0, 60_000)
        for n, tokens in enumerate(lengths)
    ]
    sys.stdout.write("\n".join(run_requests(requests)) + "\n")


if __name__ == "__main__":
    main()
