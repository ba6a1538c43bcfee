"""JSON nested beyond the recursion limit fails as declared in the entry instance."""

import pytest
from result import Err, Ok

from lentilwell._errors import Unavailable
from lentilwell._http import HttpAnswer
from lentilwell._ports import Row
from lentilwell.adapters import _engines
from lentilwell.adapters._platform import _decode, _MembersBody, _RowBody, _RowsBody
from lentilwell.callers._completions import parse_chat, parse_completion
from lentilwell.configuration._versions import ChainError, decode_delta, decode_head
from lentilwell.forwarding._stream_lines import _parse_line
from lentilwell.once_only._runner import decode_row

DEEP = b'{"more": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"


@pytest.mark.parametrize("body_type", [_RowBody, _RowsBody, _MembersBody])
def test_deeply_nested_answer_of_the_platform_is_unavailable(body_type):
    assert _decode(HttpAnswer(200, (), DEEP), body_type) == Err(Unavailable())


def test_deeply_nested_report_of_an_engine_is_unreadable(monkeypatch):
    monkeypatch.setattr(_engines, "_call", lambda *_: Ok(HttpAnswer(200, (), DEEP)))
    control = _engines.HttpEngineControl()
    assert control.read_load("e", "http://e").is_err()
    assert control.read_cache_events("e", "http://e", 0).is_err()


def test_deeply_nested_line_of_a_stream_is_no_line():
    assert _parse_line(DEEP) is None


def test_deeply_nested_row_of_a_version_or_claim_is_invalid():
    assert decode_head(DEEP) is None
    assert decode_row(Row("k", DEEP, 1)) is None


def test_deeply_nested_delta_is_a_broken_chain():
    with pytest.raises(ChainError):
        decode_delta(DEEP)


@pytest.mark.parametrize("parse", [parse_completion, parse_chat])
def test_deeply_nested_request_is_rejected(parse):
    assert parse(DEEP).is_err()
