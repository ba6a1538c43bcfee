"""Commands that call a running instance: ``state`` and ``drain``."""

from __future__ import annotations

import argparse
import os
import sys

from lentilwell._errors import EXIT_DONE, OutcomeUnknownError, RefusedError, UsageError
from lentilwell._http import HttpAnswer, HttpCall, send
from lentilwell.cli._commands import command

TOKEN_VARIABLE = "LENTILWELL_OPERATOR_TOKEN"
CALL_TIMEOUT_MS = 10_000


def add_target_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments for the URL of an instance and the operators' token."""
    parser.add_argument("--url", required=True, help="base URL of the operators' listener")
    parser.add_argument(
        "--token-file", help=f"file with the operators' token; else the variable {TOKEN_VARIABLE}"
    )


@command(
    "state",
    "print the whole state of a running instance as JSON, without keys and prompts",
    "lentilwell state --url http://10.0.0.4:9000 --token-file operator.token\n"
    "  lentilwell state --url http://10.0.0.5:9464   (a gateway, which asks for no token)",
    add_target_arguments,
)
def print_state(options: argparse.Namespace) -> int:
    """Print the state dump of an instance."""
    answer = call_instance(options.url, read_token(options), "GET", "/state")
    sys.stdout.write(answer.body.decode() + "\n")
    return EXIT_DONE


@command(
    "drain",
    "begin a planned stop of a running instance: it finishes what it has, then exits",
    "lentilwell drain --url http://10.0.0.4:9000 --token-file operator.token",
    add_target_arguments,
)
def drain_instance(options: argparse.Namespace) -> int:
    """Start a planned stop of an instance."""
    token = read_token(options)
    if not token:
        raise UsageError(
            f"an operators' token is required; use --token-file or set {TOKEN_VARIABLE}"
        )
    call_instance(options.url, token, "POST", "/drain")
    sys.stdout.write("draining\n")
    return EXIT_DONE


def call_instance(base_url: str, token: str, method: str, path: str) -> HttpAnswer:
    """Call the operators' listener of an instance and return its answer.

    Raises an error with advice for the operator if the call fails or is refused.
    """
    headers = (("Authorization", f"Bearer {token}"),) if token else ()
    url = base_url.rstrip("/") + path
    result = send(HttpCall(method, url, headers, timeout_ms=CALL_TIMEOUT_MS))
    if result.is_err():
        if result.unwrap_err().sent and method != "GET":
            raise OutcomeUnknownError(
                "the instance did not answer; check its state before trying again"
            )
        raise RefusedError(
            f"{base_url} does not answer; check the address and whether the instance is running"
        )
    answer = result.unwrap()
    if answer.status == 401:
        raise RefusedError(
            f"the instance refused the token; use --token-file or set {TOKEN_VARIABLE}"
        )
    if answer.status >= 300:
        raise RefusedError(f"the instance refused the call with status {answer.status}")
    return answer


def read_token(options: argparse.Namespace) -> str:
    """Return the operators' token from the file or the environment variable.

    The token is empty if none is given; a gateway does not require one.
    """
    if options.token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
    else:
        try:
            with open(options.token_file, encoding="utf-8") as file:
                token = file.read()
        except OSError as error:
            raise UsageError(f"cannot read {options.token_file}: {error.strerror}") from error
    return token.strip()
