"""A demo that sends prompts of six lengths and service calls to a complete deployment."""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from statistics import median

from standins.client import is_expected_answer, make_prompt, send_completion
from standins.deployment import Deployment, DeploymentPlan, call, deploy

LENGTHS = (1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000)
REPEATS = {1_000: 24, 4_000: 16, 16_000: 8, 64_000: 4, 256_000: 2, 1_000_000: 1}
ANSWER_TOKENS = 50
LOOKUPS = 20


@dataclass(frozen=True)
class PromptResult:
    """The result of one prompt; ``tokens`` is the prompt length."""

    tokens: int
    correct: bool
    first_token_ms: float
    error: str


def send_prompt(deployment: Deployment, number: int, tokens: int) -> PromptResult:
    """Send a prompt through an entry instance and as a team, both picked by number."""
    entry = deployment.entries[number % len(deployment.entries)]
    team = list(deployment.keys)[number % len(deployment.keys)]
    prompt = make_prompt(tokens, f"prompt-{number}")
    result = send_completion(entry.url("callers"), deployment.keys[team], prompt, ANSWER_TOKENS)
    correct = is_expected_answer(result, prompt, ANSWER_TOKENS)
    return PromptResult(tokens, correct, result.first_token_ms, result.error)


def call_service(deployment: Deployment, number: int) -> bool:
    """Send one GET request to a plain service and return whether it was answered."""
    entry = deployment.entries[number % len(deployment.entries)]
    key = next(iter(deployment.keys.values()))
    url = f"{entry.url('callers')}/services/{deployment.plan.service_name}/tickets/{number}?full=1"
    return f'"tickets/{number}"' in call(
        "GET", url, headers={"Authorization": f"Bearer {key}"}
    ).decode().replace('"path": ', "")


def run_demo(deployment: Deployment) -> bool:
    """Send all requests concurrently, print a table and return whether all were answered."""
    lengths = [tokens for tokens in LENGTHS for _ in range(REPEATS[tokens])]
    with ThreadPoolExecutor(len(lengths) + 1) as executor:
        prompts = [executor.submit(send_prompt, deployment, n, t) for n, t in enumerate(lengths)]
        lookups = [executor.submit(call_service, deployment, n) for n in range(LOOKUPS)]
        results = [future.result() for future in prompts]
        answered = sum(future.result() for future in lookups)
    write_line(f"{'prompt tokens':>14} {'asked':>6} {'whole':>6} {'first token ms (median)':>24}")
    for tokens in LENGTHS:
        group = [result for result in results if result.tokens == tokens]
        correct = sum(result.correct for result in group)
        median_first_ms = median(result.first_token_ms for result in group)
        write_line(f"{tokens:>14} {len(group):>6} {correct:>6} {median_first_ms:>24.0f}")
    write_line(f"service look-ups: {answered} of {LOOKUPS} answered")
    for result in results:
        if not result.correct:
            write_line(f"not whole: {result.tokens} tokens, error {result.error or 'none'}")
    return answered == LOOKUPS and all(result.correct for result in results)


def write_line(line: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(line + "\n")


def main() -> int:
    """Run the demo and return 0 if every request was answered correctly, otherwise 1."""
    with deploy(DeploymentPlan()) as deployment:
        return 0 if run_demo(deployment) else 1


if __name__ == "__main__":
    sys.exit(main())
