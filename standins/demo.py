"""The demonstration: a whole deployment, prompts of six lengths, service calls, one table."""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from statistics import median

from standins.client import complete, is_whole, make_prompt
from standins.deployment import Deployment, DeploymentPlan, call, deploy

LENGTHS = (1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000)
REPEATS = {1_000: 24, 4_000: 16, 16_000: 8, 64_000: 4, 256_000: 2, 1_000_000: 1}
ANSWER_TOKENS = 50
LOOKUPS = 20


@dataclass(frozen=True)
class Row:
    """One completion of the demonstration."""

    tokens: int
    whole: bool
    first_token_ms: float
    error: str


def ask(deployment: Deployment, number: int, tokens: int) -> Row:
    """Send one prompt through one of the entry instances."""
    entry = deployment.entries[number % len(deployment.entries)]
    team = list(deployment.keys)[number % len(deployment.keys)]
    prompt = make_prompt(tokens, f"prompt-{number}")
    outcome = complete(entry.url("callers"), deployment.keys[team], prompt, ANSWER_TOKENS)
    whole = is_whole(outcome, prompt, ANSWER_TOKENS)
    return Row(tokens, whole, outcome.first_token_ms, outcome.error)


def look_up(deployment: Deployment, number: int) -> bool:
    """Make one look-up at a plain service."""
    entry = deployment.entries[number % len(deployment.entries)]
    key = next(iter(deployment.keys.values()))
    url = f"{entry.url('callers')}/services/{deployment.plan.service_name}/tickets/{number}?full=1"
    return f'"tickets/{number}"' in call(
        "GET", url, headers={"Authorization": f"Bearer {key}"}
    ).decode().replace('"path": ', "")


def run(deployment: Deployment) -> bool:
    """Send everything together, print the table, and tell whether every answer was whole."""
    lengths = [tokens for tokens in LENGTHS for _ in range(REPEATS[tokens])]
    with ThreadPoolExecutor(len(lengths) + 1) as executor:
        asked = [executor.submit(ask, deployment, n, t) for n, t in enumerate(lengths)]
        lookups = [executor.submit(look_up, deployment, n) for n in range(LOOKUPS)]
        rows = [future.result() for future in asked]
        found = sum(future.result() for future in lookups)
    write(f"{'prompt tokens':>14} {'asked':>6} {'whole':>6} {'first token ms (median)':>24}")
    for tokens in LENGTHS:
        group = [row for row in rows if row.tokens == tokens]
        whole = sum(row.whole for row in group)
        first = median(row.first_token_ms for row in group)
        write(f"{tokens:>14} {len(group):>6} {whole:>6} {first:>24.0f}")
    write(f"service look-ups: {found} of {LOOKUPS} answered")
    for row in rows:
        if not row.whole:
            write(f"not whole: {row.tokens} tokens, error {row.error or 'none'}")
    return found == LOOKUPS and all(row.whole for row in rows)


def write(line: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(line + "\n")


def main() -> int:
    """Run the demonstration; exit 0 only when everything came back whole."""
    with deploy(DeploymentPlan()) as deployment:
        return 0 if run(deployment) else 1


if __name__ == "__main__":
    sys.exit(main())
