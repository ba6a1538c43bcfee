"""Tests of the capacity page, of the best possible count and of the verdicts on answers."""

import pytest

from bench.best import count_best
from bench.capacity import MARKER, PAGE, fill_page, make_tables
from bench.demand import Arrival, Fleet
from bench.load import Exchange, judge
from bench.sheet import NOT_MEASURED, Line, Measured, Number, Table, evaluate, render
from bench.slopes import Slope, read_slopes
from standins.answers import answer_text
from standins.client import make_prompt

FLEET = Fleet(engines=2, tokens_per_second=1_000, decode_ms=1, memory_tokens=10**6)


def test_page_matches_the_slopes_file_and_has_every_table():
    text = PAGE.read_text()
    assert {match[2] for match in MARKER.finditer(text)} == {*make_tables(), "slopes"}
    assert fill_page(text, read_slopes()) == text


def test_page_that_differs_from_the_slopes_file_is_detected():
    slopes = read_slopes()
    name = "digest bytes"
    slopes[name] = Slope(name, slopes[name].value * 2, "bytes", "", "")
    assert fill_page(PAGE.read_text(), slopes) != PAGE.read_text()


@pytest.mark.parametrize(
    ("slopes", "value", "shown"),
    [
        ({"a": Slope("a", 5.0, "us", "run", "c")}, 17.0, "1.7 times over"),
        ({}, None, NOT_MEASURED),
    ],
)
def test_line_is_a_sum_of_products_or_not_measured(slopes, value, shown):
    line = Line("x", ((Number(3, ""), Measured("a")), (Number(2, ""),)), "us", 10)
    assert evaluate(line, slopes) == value
    assert shown in render(Table("t", (line,)), slopes)


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
def test_best_possible_count_is_what_pooled_engines_can_prefill_in_time(arrivals, best):
    assert count_best(arrivals, FLEET) == best


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
    exchange = Exchange(ASKED, first_ms=1.0, last_ms=2.0, data=bytearray(data))
    assert judge(exchange)[0] == verdict
