"""The lines of an engine's stream: tokens in order, however the bytes are split."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._messages import Cause
from lentilwell.forwarding._stream_lines import MAX_LINE_BYTES, ReceivedLines, StreamLines

LINES = st.one_of(
    st.builds(
        lambda index: {"stream": "s", "index": index, "text": f"{index} "}, st.integers(0, 6)
    ),
    st.just({"stream": "other", "index": 0, "text": "not yours"}),
    st.builds(lambda tokens: {"stream": "s", "end": "stop", "tokens": tokens}, st.integers(-1, 6)),
)


def read_all(parts, is_primary=True, answer_tokens=5):
    """Return the texts, the finish reason and the failure after reading the parts in turn."""
    lines, texts = StreamLines("s", is_primary), []
    for part in parts:
        received = lines.read(part, len(texts), answer_tokens)
        texts += received.texts
        if received.finish_reason or received.failure is not None:
            return texts, received.finish_reason, received.failure
    return texts, "", None


def encode(lines):
    return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


@given(st.lists(LINES, max_size=12), st.data())
def test_tokens_are_in_order_and_whole_however_the_bytes_are_split(lines, data):
    whole = encode(lines)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=6)))
    parts = [whole[a:b] for a, b in zip([0, *cuts], [*cuts, len(whole)], strict=True)]
    texts, finish_reason, failure = read_all(parts)
    assert texts == [f"{index} " for index in range(len(texts))]
    one_by_one = read_all([encode([line]) for line in lines])
    assert (finish_reason, failure) == one_by_one[1:]
    if failure is None:
        assert texts == one_by_one[0]
    ends = [line["tokens"] for line in lines if "end" in line]
    if finish_reason and failure is None:
        assert len(texts) == (ends[0] if ends[0] >= 0 else 5)


@pytest.mark.parametrize(
    ("data", "received"),
    [
        (b"", ReceivedLines()),
        (b"\n\n", ReceivedLines()),
        (b"{nonsense\n", ReceivedLines(failure=Cause.BROKEN)),
        (encode([{"stream": "s", "index": 1, "text": "x"}]), ReceivedLines(failure=Cause.GAP)),
        (encode([{"stream": "s", "end": "stop"}]), ReceivedLines((), "stop", Cause.GAP)),
        (b"x" * (MAX_LINE_BYTES + 1), ReceivedLines(failure=Cause.BROKEN)),
        (b"x" * MAX_LINE_BYTES, ReceivedLines()),
    ],
)
def test_end_and_failures_of_a_stream(data, received):
    assert StreamLines("s", True).read(data, 0, 5) == received


def test_other_engines_of_an_attempt_send_no_tokens_and_no_end():
    lines = [{"stream": "s", "index": 0, "text": "x"}, {"stream": "s", "end": "stop", "tokens": 1}]
    assert read_all([encode(lines)], is_primary=False) == ([], "", None)
    assert read_all([b"{nonsense\n"], is_primary=False) == ([], "", Cause.BROKEN)
