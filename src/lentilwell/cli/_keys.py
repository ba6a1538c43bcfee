"""The ``keys`` command: list and settle claimed idempotency keys whose outcome is unknown."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

import msgspec
from result import Ok

from lentilwell._clock import MS_PER_SECOND, Clock, SystemClock
from lentilwell._errors import (
    EXIT_DONE,
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    Unavailable,
    VersionConflict,
)
from lentilwell._ports import Platform
from lentilwell.adapters import DIALECTS
from lentilwell.cli._commands import add_settings_argument, command
from lentilwell.configuration import read_settings
from lentilwell.once_only import (
    CLAIM_PREFIX,
    SETTLE_MARGIN_MS,
    Claim,
    ClaimRow,
    Settlement,
    decode_row,
    is_unsettled,
    make_row_key,
    may_settle,
    settle,
)

PAGE_ROWS = 100
EXAMPLES = (
    "lentilwell keys list --settings entry.ini\n"
    "  lentilwell keys settle refund-17 --team counters --outcome not-run --settings entry.ini"
)
ADVICE = (
    "Before settling a key, look its record up at the service with an idempotent look-up, such as\n"
    "the booking or refund of that caller. Settle 'ran' if the record is there. Settle 'not-run'\n"
    "only if it is not, and the service has no call in progress: the key can then run again."
)
_ROW_FORMAT = "{:<8} {:>9} {:<10} {:<16} {:<24} {:<32} {}\n"


def add_keys_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands ``list`` and ``settle`` with their arguments."""
    parser.epilog = f"{parser.epilog}\n\n{ADVICE}"
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    listing = actions.add_parser("list", help="list the keys that stay taken")
    add_settings_argument(listing)
    settling = actions.add_parser("settle", help="say what became of one key's call")
    settling.add_argument("key", metavar="KEY", help="the Idempotency-Key")
    settling.add_argument("--team", required=True, help="the team whose key it is")
    outcomes = [outcome.value for outcome in Settlement]
    settling.add_argument("--outcome", required=True, choices=outcomes)
    add_settings_argument(settling)


@command("keys", "list or settle idempotency keys that stay taken", EXAMPLES, add_keys_arguments)
def run_keys(options: argparse.Namespace) -> int:
    """Run ``keys list`` or ``keys settle``."""
    settings = read_settings(options.settings).platform
    platform = DIALECTS[settings.dialect](settings)
    if options.action == "list":
        return list_keys(platform, SystemClock())
    outcome = Settlement(options.outcome)
    return settle_key(platform, SystemClock(), options.team, options.key, outcome)


def list_keys(platform: Platform, clock: Clock) -> int:
    """Print every unsettled key without request bodies, and the advice on how to settle it."""
    header = ("status", "age s", "settle", "team", "key", "attempt", "instance and call")
    sys.stdout.write(_ROW_FORMAT.format(*header))
    now = clock.wall()
    for claim in scan_claims(platform):
        if is_unsettled(claim):
            sys.stdout.write(format_claim(claim, now))
    sys.stdout.write(f"\n{ADVICE}\n")
    return EXIT_DONE


def scan_claims(platform: Platform) -> Iterator[Claim]:
    """Yield all claims of the table, page by page; report and skip rows that cannot be decoded."""
    after = ""
    while True:
        page = platform.scan_rows(CLAIM_PREFIX, after, PAGE_ROWS)
        if page.is_err():
            raise RefusedError("the platform's table is unavailable; try again later")
        rows = page.unwrap()
        for row in rows:
            found = decode_row(row)
            if found is None:
                sys.stderr.write(f"lentilwell: row {row.key} is no claim and is skipped\n")
            elif found.claim is not None:
                yield found.claim
        if len(rows) < PAGE_ROWS:
            return
        after = rows[-1].key


def format_claim(claim: Claim, now: int) -> str:
    """Return one row of the list of unsettled keys."""
    wait_s = -(-_compute_settle_wait_ms(claim, now) // MS_PER_SECOND)
    ready = "now" if wait_s <= 0 else f"in {wait_s} s"
    return _ROW_FORMAT.format(
        claim.status.value,
        (now - claim.claimed_at) // MS_PER_SECOND,
        ready,
        claim.team,
        claim.key,
        claim.attempt_id,
        f"{claim.instance} {claim.call}",
    )


def settle_key(platform: Platform, clock: Clock, team: str, key: str, outcome: Settlement) -> int:
    """Settle one key by a conditional write.

    Raises an error with the reason if the key cannot be settled.
    """
    found = read_claim(platform, team, key)
    claim = found.claim
    if claim is None:
        raise RefusedError(f"team {team} has no key {key}; 'keys list' shows all unsettled keys")
    if not is_unsettled(claim):
        raise RefusedError(f"the key is {claim.status.value}; there is nothing to settle")
    if not may_settle(claim, clock.wall()):
        wait_s = -(-_compute_settle_wait_ms(claim, clock.wall()) // MS_PER_SECOND)
        raise RefusedError(f"its attempt may still send or record an answer; retry in {wait_s} s")
    write_settlement(platform, team, key, found.version, settle(claim, outcome))
    sys.stdout.write(f"settled: {outcome.value}\n")
    return EXIT_DONE


def read_claim(platform: Platform, team: str, key: str) -> ClaimRow:
    """Return the row of a key, with its claim and its version."""
    row = platform.read_row(make_row_key(team, key))
    if row.is_err():
        raise RefusedError("the platform's table is unavailable; nothing was changed")
    found = decode_row(row.unwrap())
    if found is None:
        raise RefusedError("the key's row is not a claim; nothing was changed")
    return found


def write_settlement(platform: Platform, team: str, key: str, version: int, claim: Claim) -> None:
    """Write a settled claim. If the answer to the write is lost, read the row to check it."""
    value = msgspec.json.encode(claim)
    write_result = platform.write_row(make_row_key(team, key), value, version)
    if isinstance(write_result, Ok):
        return
    if write_result.err_value == Unavailable():
        raise RefusedError("the platform's table is unavailable; nothing was changed")
    row = platform.read_row(make_row_key(team, key))
    if row.is_err():
        raise OutcomeUnknownError("the platform did not answer; check 'keys list' before a retry")
    current = row.unwrap()
    if current is not None and current.version == version + 1 and current.value == value:
        return
    if isinstance(write_result.err_value, VersionConflict):
        raise ConflictError("the key was changed by another writer; check it with 'keys list'")
    raise OutcomeUnknownError("the platform did not answer; check 'keys list' before a retry")


def _compute_settle_wait_ms(claim: Claim, now: int) -> int:
    return claim.claimed_at + claim.patience_ms + SETTLE_MARGIN_MS - now
