"""Tests of the capacity page, the upper bound on requests in time, and the answer checks."""

import pytest

from bench.capacity import MARKER, PAGE, build_tables, update_tables
from bench.capacity_model import (
    NOT_MEASURED,
    Constant,
    SlopeReference,
    Table,
    TableRow,
    evaluate_row,
    render_table,
)
from bench.load import RequestRecord, classify_answer
from bench.slopes import Slope, read_slopes
from bench.upper_bound import count_max_in_time
from bench.workload import Arrival, Fleet
from standins.answers import answer_text
from standins.client import make_prompt

FLEET = Fleet(engines=2, tokens_per_second=1_000, decode_ms=1, memory_tokens=10**6)


def test_page_matches_the_slopes_file_and_has_every_table():
    text = PAGE.read_text()
    assert {match[2] for match in MARKER.finditer(text)} == {*build_tables(), "slopes"}
    assert update_tables(text, read_slopes()) == text


def test_outdated_page_is_detected():
    slopes = read_slopes()
    name = "digest bytes"
    slopes[name] = Slope(name, slopes[name].value * 2, "bytes", "", "")
    assert update_tables(PAGE.read_text(), slopes) != PAGE.read_text()


@pytest.mark.parametrize(
    ("slopes", "value", "shown"),
    [
        ({"a": Slope("a", 5.0, "us", "run", "c")}, 17.0, "1.7 times over"),
        ({}, None, NOT_MEASURED),
    ],
)
def test_line_is_a_sum_of_products_or_not_measured(slopes, value, shown):
    line = TableRow("x", ((Constant(3, ""), SlopeReference("a")), (Constant(2, ""),)), "us", 10)
    assert evaluate_row(line, slopes) == value
    assert shown in render_table(Table("t", (line,)), slopes)


def arrival(number, at_ms=0.0, tokens=1_000, deadline_ms=1_001, answer=1):
    return Arrival(str(number), at_ms, "t", tokens, answer, deadline_ms)


@pytest.mark.parametrize(
    ("arrivals", "best"),
    [
        ([arrival(n) for n in range(2)], 2),
        ([arrival(n) for n in range(3)], 2),
        ([arrival(n, tokens=500) for n in range(4)] + [arrival(9, tokens=2_000)], 4),
        ([arrival(n, at_ms=n * 500.0) for n in range(10)], 10),
        ([arrival(0, tokens=2_000, deadline_ms=2_001), arrival(1, 500.0)], 2),
    ],
)
def test_upper_bound_counts_requests_that_pooled_engines_answer_in_time(arrivals, best):
    assert count_max_in_time(arrivals, FLEET) == best


def encode(parts, last=True):
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"HTTP/1.1 200 OK\r\n\r\n" + b"".join(chunks) + (b"0\r\n\r\n" if last else b"")


def event(text):
    return b'data: {"choices":[{"text":"' + text.encode() + b'"}]}\n\n'


ASKED = arrival("a", tokens=10, answer=3)
TEXT = answer_text("assistant", make_prompt(10, "a").encode(), 3)
TOKENS = [event(token + " ") for token in TEXT.split()]
DONE = b"data: [DONE]\n\n"
ERROR = b'data: {"error":{"code":"deadline_exceeded"}}\n\n'
REFUSAL = b'HTTP/1.1 429 Failed\r\n\r\n{"error":{"code":"overloaded"}}'


@pytest.mark.parametrize(
    ("data", "verdict"),
    [
        (encode([*TOKENS, DONE]), "in_time"),
        (encode([b"".join(TOKENS) + DONE]), "in_time"),
        (encode([*TOKENS, DONE], last=False), "incomplete"),
        (encode(TOKENS), "incomplete"),
        (encode([TOKENS[0], TOKENS[2], DONE]), "wrong"),
        (encode([TOKENS[0], *TOKENS, DONE]), "wrong"),
        (encode([*TOKENS, TOKENS[0], DONE]), "wrong"),
        (encode([TOKENS[0], ERROR]), "failed"),
        (REFUSAL, "refused"),
        (REFUSAL.replace(b"overloaded", b"deadline_exceeded"), "expired"),
        (b"", "incomplete"),
    ],
)
def test_verdict_on_an_answer(data, verdict):
    record = RequestRecord(ASKED, first_byte_ms=1.0, last_byte_ms=2.0, data=bytearray(data))
    assert classify_answer(record)[0] == verdict
