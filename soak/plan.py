"""Draws the faults of a run; the same seed and length always give the same faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_FAULT_MS = 2_500
MIN_FAULT_MS = 300
FAULTS_PER_S = 1.2

INSTANCE_FAULTS = ("stop", "kill", "pause")
SERVER_FAULTS = ("shed", "closed", "twice", "torn", "mute", "failing", "leave", "gone")
PAUSE_FAULTS = ("pausing",)
LIMIT_FAULTS = ("limit",)
LINK_FAULTS = ("delay", "silence", "one way", "reset")
STORE_FAULTS = ("store away", "store silent", "store link", "answers lost", "history lost")
RESTORE_FAULTS = ("restore",)
DEADLY_FAULT = "deadly"
FAULT_WEIGHTS = {
    **dict.fromkeys(INSTANCE_FAULTS, 2),
    **dict.fromkeys(SERVER_FAULTS, 2),
    **dict.fromkeys(PAUSE_FAULTS, 4),
    **dict.fromkeys(LIMIT_FAULTS, 4),
    **dict.fromkeys(LINK_FAULTS, 2),
    **dict.fromkeys(STORE_FAULTS, 1),
    **dict.fromkeys(RESTORE_FAULTS, 2),
    "configuration": 3,
}


@dataclass(frozen=True)
class Fault:
    """A fault that starts ``at_ms`` after the start of the run and lasts ``for_ms``.

    ``point``, at least 0 and below 1, selects the target from the list of candidates.
    """

    at_ms: int
    for_ms: int
    kind: str
    point: float


def draw_plan(seed: int, length_ms: int, deadly: bool = False) -> tuple[Fault, ...]:
    """Return the faults of a run, ordered by start time; faults may overlap.

    With ``deadly``, a request that ends the servers that run it comes beside the same faults.
    """
    rng = random.Random(seed)
    count = max(1, round(FAULTS_PER_S * length_ms / 1_000))
    faults = [
        Fault(
            at_ms=rng.randrange(length_ms),
            for_ms=rng.randrange(MIN_FAULT_MS, MAX_FAULT_MS),
            kind=rng.choices(tuple(FAULT_WEIGHTS), tuple(FAULT_WEIGHTS.values()))[0],
            point=rng.random(),
        )
        for _ in range(count)
    ]
    if deadly:
        faults.append(Fault(rng.randrange(length_ms), MAX_FAULT_MS, DEADLY_FAULT, rng.random()))
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))
