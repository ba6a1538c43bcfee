"""Documents and instance lists with odd contents in the entry instance."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from lentilwell._http import HttpAnswer
from lentilwell.adapters import _platform
from lentilwell.configuration import PlatformSettings, parse_document
from lentilwell.configuration._problems import InventoryError
from tests.searching import SEARCH_EXAMPLES

EXAMPLE = (Path(__file__).parent.parent / "examples/cwmni-sipiau.ini").read_text()
MEMBER = {
    "name": "n",
    "kind": "entry",
    "address": "10.0.0.1:1",
    "data_centre": "d",
    "incarnation": "i",
}
PIECES = (
    st.text(max_size=8)
    | st.sampled_from(["[", "]", "=", "\n", "\r", " ", "[]", "[\0]", "%(x)s", "\x85", "\u2028"])
    | st.sampled_from(["[team x]", "[rules]", "\n[engine e]\nurl = http://[::1", "\ufeff"])
    | st.sampled_from(["weight = \u0663", "slots = " + "9" * 5_000])
)


@settings(max_examples=SEARCH_EXAMPLES or 300, deadline=None, database=None)
@given(st.lists(PIECES, max_size=8).map("".join), st.integers(0, len(EXAMPLE)), st.booleans())
def test_odd_document_is_parsed_or_refused(odd, position, within):
    text = EXAMPLE[:position] + odd + EXAMPLE[position:] if within else odd
    try:
        parse_document(text, 1)
    except InventoryError as error:
        assert error.problems


@pytest.mark.parametrize(
    "odd", [{}, None, 5, {**MEMBER, "kind": "odd"}, {**MEMBER, "name": 7}], ids=str
)
def test_odd_member_does_not_hide_the_others(monkeypatch, odd):
    body = json.dumps({"instances": [odd, MEMBER, odd]}).encode()
    monkeypatch.setattr(_platform, "send", lambda call: Ok(HttpAnswer(200, (), body)))
    members = _platform.HttpPlatform(PlatformSettings("http://p", timeout_ms=100)).list_members()
    assert [member.name for member in members.unwrap()] == ["n"]
