"""The faults of one run, drawn from its seed alone. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_FAULT_MS = 2_500
MIN_FAULT_MS = 300
FAULTS_PER_S = 1.2

INSTANCE_FAULTS = ("stop", "kill", "pause")
SERVER_FAULTS = ("shed", "closed", "twice", "torn", "mute", "failing", "leave", "gone")
LINK_FAULTS = ("delay", "silence", "one way", "reset")
STORE_FAULTS = ("store away", "store silent", "store link", "answers lost", "history lost")
RESTORE_FAULTS = ("restore",)
FAULT_WEIGHTS = {
    **dict.fromkeys(INSTANCE_FAULTS, 2),
    **dict.fromkeys(SERVER_FAULTS, 2),
    **dict.fromkeys(LINK_FAULTS, 2),
    **dict.fromkeys(STORE_FAULTS, 1),
    **dict.fromkeys(RESTORE_FAULTS, 2),
    "configuration": 3,
}


@dataclass(frozen=True)
class Fault:
    """A fault from ``at_ms`` on for ``for_ms``; ``point`` picks its target, 0 up to 1."""

    at_ms: int
    for_ms: int
    kind: str
    point: float


def draw_plan(seed: int, length_ms: int) -> tuple[Fault, ...]:
    """Return the faults of a run; they overlap and come in series."""
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
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))
