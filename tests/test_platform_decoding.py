"""Decoding of the platform's rows, headers and settings, and rejection of invalid ones."""

import contextlib
import json

import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from wire_configuration import decode_catalog
from wire_headers import PlatformDialect
from wire_servers import decode_upstream
from wire_settings import read_settings

from lentilwell.gateway import (
    EngineSpec,
    Envelope,
    InboundRequest,
    Prompt,
    Repeat,
    UnreadableRow,
    Upstream,
)
from lentilwell.gateway._least_cost import choose_least_cost
from lentilwell.gateway._load_tracker import Load
from lentilwell.gateway._placement_policies import Candidate, PlacementRequest

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "born": 5,
    "more": {"fields": 1},
}
ROUTE = {"name": "r", "host": "h", "prefix": "/p/", "kind": "streaming", "timeout_ms": 1_000}
DIALECT = PlatformDialect()


def encode(value):
    return json.dumps(value).encode()


def make_entry_without(field):
    return {name: value for name, value in ENTRY.items() if name != field}


def test_server_entry_is_decoded():
    upstream = decode_upstream("i-1", encode(ENTRY))
    assert (upstream.name, upstream.service, upstream.data_centre) == ("i-1", "s", "z")
    assert not upstream.leaving and upstream.born_ms == 5
    assert decode_upstream("i-1", encode({**ENTRY, "state": "draining"})).leaving


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        encode(make_entry_without("address")),
        encode(make_entry_without("service")),
        encode({**ENTRY, "slots": "8"}),
        encode({**ENTRY, "state": "resting"}),
        encode({**ENTRY, "address": "10.0.0.1"}),
        encode({**ENTRY, "address": "10.0.0.1:99999"}),
        encode({**ENTRY, "address": 7}),
        encode({**ENTRY, "born": 1.5}),
    ],
)
def test_invalid_server_entries_are_unreadable(value):
    with pytest.raises(UnreadableRow):
        decode_upstream("i-1", value)


@given(st.binary(max_size=200))
def test_malformed_rows_raise_only_unreadable_row(data):
    for decode in (decode_catalog, lambda value: decode_upstream("i", value)):
        try:
            decode(data)
        except UnreadableRow:
            continue


@pytest.mark.parametrize(
    ("changes", "repeat", "streams"),
    [
        ({}, Repeat.NEVER, True),
        ({"resumable": True}, Repeat.RESUME, True),
        ({"kind": "idempotent"}, Repeat.WHOLE, False),
        ({"kind": "non_idempotent"}, Repeat.NEVER, False),
        ({"kind": "unheard_of", "resumable": True}, Repeat.NEVER, False),
    ],
)
def test_repeat_rule_follows_from_the_kind_of_route(changes, repeat, streams):
    [route] = decode_catalog(encode({"version": 1, "routes": [{**ROUTE, **changes}]})).routes
    assert (route.repeat, route.streams) == (repeat, streams)


def test_traffic_split_overrides_a_single_service():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = {**ROUTE, "service": "c", "traffic_split": split}
    [decoded] = decode_catalog(encode({"version": 1, "routes": [route]})).routes
    assert [(share.service, share.weight) for share in decoded.shares] == [("a", 90), ("b", 10)]


def make_request(*headers):
    return InboundRequest(b"POST", b"/", headers, 0)


def test_request_headers_are_parsed():
    facts = DIALECT.read_facts(
        make_request(
            (b"request-id", b"x"),
            (b"CREDENTIAL", b"k"),
            (b"Deadline-Ms", b"50"),
            (b"Token-Count", b"1460,80"),
            (b"Last-Event-Id", b"12"),
        )
    )
    assert (facts.request_id, facts.key, facts.timeout_ms) == ("x", "k", 50)
    assert facts.prompt == Prompt(1_460, 80) and facts.last_event_id == 12


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        (b"5c1e07A2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b" aa:1 , bb:2 ,cc:3", ("aa", "bb")),
        (b"aa:1,aa:1,cc:3", ("aa",)),
        (b"aa:1", ()),
        (b"", ()),
        (
            b"zz:1,aa:x,bb,:4," + b"f" * 65 + b":1,cc:2,=e:1,dd:3",
            ("7a7a", "aa", "bb", "f" * 65, "cc", "3d65"),
        ),
        (b",".join(b"%x:1" % number for number in range(900)), tuple(f"{n:x}" for n in range(899))),
    ],
)
def test_shared_parts_are_all_but_the_last_whatever_they_look_like(text, parts):
    """Guards against review case 5: a harmful part behind the 64th was never looked at."""
    facts = DIALECT.read_facts(make_request((b"prompt-prefix", text)))
    assert facts.shared_parts == parts


def test_parts_of_a_prompt_in_several_headers_are_one_list():
    headers = [(b"Prompt-Prefix", b"aa:1,bb:2"), (b"prompt-prefix", b"cc:3,dd:4")]
    assert DIALECT.read_facts(make_request(*headers)).shared_parts == ("aa", "bb", "cc")


def test_parts_of_a_prompt_pass_on_unchanged():
    header = (b"Prompt-Prefix", b"zz:1,AA:x")
    envelope = Envelope("u", 50, None, None, None)
    assert header in DIALECT.write_headers(make_request(header), envelope)


@pytest.mark.parametrize(
    "header",
    [
        (b"Deadline-Ms", b"-1"),
        (b"Token-Count", b"5"),
        (b"Last-Event-Id", b"a"),
        (b"Deadline-Ms", b""),
    ],
)
def test_invalid_numbers_in_headers_are_rejected(header):
    with pytest.raises(ValueError, match=header[0].decode()):
        DIALECT.read_facts(make_request(header))


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [], False),
        (503, [("Not-Run", "1")], True),
        (421, [], True),
        (429, [("Not-Run", "1")], True),
        (500, [("Server-Stamp", "s")], False),
    ],
)
def test_only_a_not_run_header_or_status_421_means_not_run(status, headers, not_run):
    head = DIALECT.read_head(h11.Response(status_code=status, headers=headers))
    assert head.not_run == not_run


@pytest.mark.parametrize(
    ("text", "idle_ms"), [("timeout=5", 5_000), ("max=3, timeout=2", 2_000), ("x", None)]
)
def test_idle_timeout_of_an_upstream_is_parsed(text, idle_ms):
    head = DIALECT.read_head(h11.Response(status_code=200, headers=[("Keep-Alive", text)]))
    assert head.idle_ms == idle_ms


ODD_NUMBERS = ["\u00b2", "1" * 5_000, "9" * 400, "-1", "+1", "x", "1e3", "1_0", "\u0663", "0x1"]


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_odd_idle_timeout_of_an_upstream_neither_fails_nor_overflows(number):
    """A digit that int() refuses once failed the request whose answer named it."""
    text = f"timeout={number}".encode("utf-8" if number == "\u0663" else "latin-1")
    head = DIALECT.read_head(h11.Response(status_code=200, headers=[("Keep-Alive", text)]))
    assert head.idle_ms is None or 0 <= head.idle_ms <= 86_400_000


@given(st.integers(0, 10**1_200), st.integers(0, 10**1_200))
def test_prompt_of_any_stated_length_can_be_estimated(prompt_tokens, answer_tokens):
    """Placement once failed with OverflowError for a count that no float can hold."""
    text = f"{prompt_tokens},{answer_tokens}".encode()
    prompt = None
    with contextlib.suppress(ValueError):
        prompt = DIALECT.read_facts(make_request((b"Token-Count", text))).prompt
    if prompt is None:
        return
    engine = EngineSpec(8, 10**5, 1.0, 0.1, 0.1, 10.0, 0.1, 2_048, 50)
    upstream = Upstream("u", "s", "10.0.0.1:1", "z", 8, False)
    request = PlacementRequest(prompt, engine, 300, 250, 0, 0, 0.5)
    choose_least_cost(request, [Candidate(upstream, Load(), True)])


def test_error_names_a_missing_setting(tmp_path):
    path = tmp_path / "local.json"
    path.write_text('{"node_name": "n", "ip": "10.0.0.1", "zone": "z"}')
    with pytest.raises(msgspec.ValidationError, match="listen"):
        read_settings(path)
