"""Every decoder of the platform's folder returns a valid value or fails as declared."""

import asyncio
import base64
import contextlib
import json

import h11
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from start import decode_operator_row
from wire_configuration import decode_catalog
from wire_headers import PlatformDialect
from wire_instances import decode_member
from wire_rows import decode_rows
from wire_servers import MAX_SLOTS, decode_upstream
from wire_settings import read_settings

from lentilwell.gateway import (
    Catalog,
    Envelope,
    InboundRequest,
    Member,
    PrefillHelper,
    StoreUnavailable,
    UnreadableRow,
    Upstream,
)
from lentilwell.gateway._addresses import is_ip_and_port
from lentilwell.gateway._upstreams import Directory, ListingChange, apply_changes, apply_listing
from standins.gateway_process import build_configuration, build_server_entry
from tests.odd_json import odd_json
from tests.searching import SEARCH_EXAMPLES
from tests.test_platform_odd_answers import SOUND, make_feed
from tests.test_platform_odd_settings import SETTINGS

ENTRY = build_server_entry("10.0.0.1:80", "desk")
ROW_LIST = {"rows": [SOUND, {**SOUND, "key": "b"}], "schema_version": 9, "has_more": False}
HEADER_NAMES = [b"Request-Id", b"Deadline-Ms", b"Token-Count", b"Last-Event-Id", b"Credential"]
HEADER_NAMES += [b"Keep-Alive", b"Retry-After", b"Server-Limit", b"Connection", b"At-Server"]
NUMBERS = st.text("0123456789\u00b2", min_size=1, max_size=4) | st.just("9" * 5_000)
HEADER_VALUES = st.one_of(
    st.builds("{}{}".format, st.sampled_from(["", "timeout=", "1,", "-"]), NUMBERS),
    st.text("0123456789,.= +-e", max_size=30).map(str.strip),
).map(lambda text: text.encode("latin-1")) | st.binary(max_size=30)
NAMES = st.just("i-1") | st.text(max_size=20)
search = settings(max_examples=SEARCH_EXAMPLES or 400, deadline=None, database=None)


@search
@given(NAMES, odd_json(ENTRY))
def test_server_entry_is_a_usable_upstream_or_unreadable(name, value):
    try:
        upstream = decode_upstream(name, value)
    except UnreadableRow:
        return
    assert isinstance(upstream, Upstream) and upstream.service
    assert is_ip_and_port(upstream.address) and 1 <= upstream.slots <= MAX_SLOTS
    assert 0 <= upstream.born_ms < 2**63
    directory = apply_listing(Directory(), [upstream], 0)
    apply_changes(directory, [ListingChange(name, None)], 1)
    assert directory.listed == {name: upstream}


@search
@given(odd_json({"address": "10.0.0.1:80", "data_centre": "z"}))
def test_row_of_an_instance_is_a_member_or_unreadable(value):
    with contextlib.suppress(UnreadableRow):
        member = decode_member("n", value)
        assert isinstance(member, Member) and is_ip_and_port(member.address)


@search
@given(st.sampled_from(["config", "odd"]), odd_json(build_configuration()))
def test_configuration_is_a_catalog_or_unreadable(key, value):
    with contextlib.suppress(UnreadableRow):
        catalog = decode_operator_row(key, value)
        assert isinstance(catalog, Catalog) and key == "config"
        assert catalog.is_same(decode_catalog(value))
        catalog.find_route("h.example", "/s/x")
        catalog.find_team("k-1")


@search
@given(odd_json(ROW_LIST))
def test_answer_of_the_store_is_a_list_of_rows_or_unreadable(body):
    with contextlib.suppress(UnreadableRow):
        rows = decode_rows(body)
        assert 0 <= rows.version < 2**63
    for read in (lambda feed: feed.read_all(), lambda feed: feed.read_changes(3, 0)):
        with contextlib.suppress(StoreUnavailable):
            listing = asyncio.run(read(make_feed(body, body.replace(b"true", b"false"))))
            assert all(isinstance(entry.key, str) for entry in listing.entries)


@search
@given(odd_json(ENTRY))
def test_odd_value_does_not_hide_the_other_rows_of_a_page(value):
    odd = {**SOUND, "key": "odd", "value": base64.b64encode(value).decode()}
    body = json.dumps({**ROW_LIST, "rows": [odd, SOUND, odd]}).encode()
    feed = make_feed(body)
    feed._decode = decode_upstream
    listing = asyncio.run(feed.read_all())
    assert [entry.key for entry in listing.entries] == ["odd", "sound", "odd"]


@search
@given(odd_json(SETTINGS))
def test_settings_are_valid_or_refused(tmp_path_factory, contents):
    path = tmp_path_factory.getbasetemp() / "settings.json"
    path.write_bytes(contents)
    with contextlib.suppress(msgspec.DecodeError):
        gateway = read_settings(path).gateway
        assert 0 <= gateway.max_stop_ms <= 10**12 and 0 <= gateway.budget.window_ms <= 10**12


@search
@given(st.lists(st.tuples(st.sampled_from(HEADER_NAMES), HEADER_VALUES), max_size=6))
def test_headers_of_callers_and_upstreams_are_parsed_or_refused(headers):
    dialect = PlatformDialect()
    request = InboundRequest(b"GET", b"/", tuple(headers), 0)
    with contextlib.suppress(ValueError):
        facts = dialect.read_facts(request)
        assert facts.timeout_ms is None or facts.timeout_ms >= 0
    helper = PrefillHelper("10.0.0.1:80", "t")
    dialect.write_headers(request, Envelope("u", 1, "t", 3, 1, (helper,)))
    with contextlib.suppress(h11.LocalProtocolError):
        response = h11.Response(status_code=200, headers=headers)
        head = dialect.read_head(response)
        assert head.idle_ms is None or 0 <= head.idle_ms <= 86_400_000
