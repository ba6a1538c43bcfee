"""A client for demo and tests that sends a completion, times it and checks every byte."""

from __future__ import annotations

import http.client
import json
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

from standins.answers import answer_text

BYTES_PER_TOKEN = 4


@dataclass(frozen=True)
class CompletionResult:
    """The result of a completion; times are in ms since the request was sent.

    ``error`` is an error code or empty. ``done`` is true once the ``[DONE]`` event was received.
    """

    status: int
    text: str
    error: str
    first_token_ms: float
    total_ms: float
    done: bool


def make_prompt(tokens: int, name: str) -> str:
    """Return a prompt of ``tokens`` tokens that begins with ``name``."""
    return (name + " ").ljust(tokens * BYTES_PER_TOKEN, "x")


def send_completion(
    url: str,
    key: str,
    prompt: str,
    answer_tokens: int,
    deadline_ms: int | None = None,
    model: str = "assistant",
) -> CompletionResult:
    """Send a streaming completion request and read the response to its end."""
    target = urlsplit(url)
    connection = http.client.HTTPConnection(target.hostname or "", target.port, timeout=120)
    body = {"model": model, "prompt": prompt, "max_tokens": answer_tokens, "stream": True}
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    if deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    started = time.monotonic()
    try:
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        return read_result(connection.getresponse(), started)
    finally:
        connection.close()


def read_result(response: http.client.HTTPResponse, started: float) -> CompletionResult:
    """Read a stream of events, or the error code of a response that is not 200."""
    first_token_s = 0.0
    error = ""
    done = False
    texts: list[str] = []
    if response.status != 200:
        error = json.loads(response.read())["error"]["code"]
    for line in response if response.status == 200 else ():
        if line == b"data: [DONE]\n":
            done = True
        elif line.startswith(b"data: "):
            event = json.loads(line[6:])
            if "error" in event:
                error = event["error"]["code"]
                continue
            first_token_s = first_token_s or time.monotonic() - started
            texts.append(event["choices"][0]["text"])
    total_s = time.monotonic() - started
    return CompletionResult(
        response.status, "".join(texts), error, first_token_s * 1_000, total_s * 1_000, done
    )


def is_expected_answer(
    result: CompletionResult, prompt: str, answer_tokens: int, model: str = "assistant"
) -> bool:
    """Return whether the result is the complete and exact answer to this prompt."""
    return result.done and result.text == answer_text(model, prompt.encode(), answer_tokens)
