"""Plain services behind a real listener: forwarding, retries, limits, keys and their commands."""

import hashlib
import json
import socket
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from pyrsistent import pmap
from result import Err, Ok

from lentilwell import ManualClock, SystemClock
from lentilwell._errors import (
    AnswerLost,
    ConflictError,
    NotFound,
    OutcomeUnknownError,
    RefusedError,
    Unavailable,
    VersionConflict,
)
from lentilwell._failures import NotRun
from lentilwell._http import HttpAnswer, HttpFailure
from lentilwell._inventory import Inventory, Route, Service, Team
from lentilwell._ports import Row
from lentilwell.callers import (
    CallersApp,
    CallersContext,
    CallSlots,
    InstanceChooser,
    PooledServer,
    ServiceGateway,
)
from lentilwell.callers._service_routes import find_route
from lentilwell.cli import _keys as keys
from lentilwell.configuration import CallersSettings
from lentilwell.once_only import (
    CLAIM_PREFIX,
    SETTLE_MARGIN_MS,
    ClaimedCall,
    ClaimRunner,
    Settlement,
    decode_row,
    make_row_key,
)
from lentilwell.once_only._claims import MAX_PAUSE_MS
from lentilwell.once_only._messages import ClaimStatus

KEY = "team-key"
WORKERS = 8
ROUTES = (
    Route("records", "GET", "/", True),
    Route("records", "GET", "/refund", False),
    Route("records", "POST", "/", False),
    Route("records", "POST", "/search", True),
    Route("records", "POST", "/note", False, key_required=False),
    Route("records", "HEAD", "/", True),
)
ANSWER = b"HTTP/1.1 201 Made\r\nSet-Cookie: a=1\r\nX-Hop: 1\r\nSet-Cookie: b=2\r\nServer: s\r\n"
ANSWER += b"Date: d\r\nConnection: close, X-Hop\r\nContent-Length: 4\r\n\r\nmade"


class MemoryPlatform:
    """Rows and objects in memory; each row write consumes one entry of ``faults``."""

    def __init__(self):
        self.rows, self.objects, self.faults = {}, {}, []
        self.down = False

    def read_row(self, key):
        return Err(Unavailable()) if self.down else Ok(self.rows.get(key))

    def write_row(self, key, value, expected_version):
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == "unavailable":
            return Err(Unavailable())
        found = self.rows[key].version if key in self.rows else 0
        if found != expected_version:
            return Err(VersionConflict(found))
        if fault == "lost":
            return Err(AnswerLost())
        self.rows[key] = Row(key, value, found + 1)
        return Err(AnswerLost()) if fault == "lost_after" else Ok(self.rows[key])

    def scan_rows(self, prefix, after="", limit=100):
        names = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return Err(Unavailable()) if self.down else Ok(tuple(self.rows[n] for n in names[:limit]))

    def get_object(self, key):
        return Err(NotFound()) if self.down else Ok(self.objects[key])

    def put_object(self, key, value):
        self.objects[key] = value
        return Ok(None)


class RawService:
    """A service that records the bytes of every request and sends ``answer``.

    An empty ``answer`` closes the connection without a response. While ``released`` is not set, the
    service hangs before it answers.
    """

    def __init__(self, answer=ANSWER):
        self.answer, self.requests = answer, []
        self.released = threading.Event()
        self.released.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            data = b""
            while b"\r\n\r\n" not in data:
                data += connection.recv(65_536)
            head, _, body = data.partition(b"\r\n\r\n")
            length = [ln for ln in head.split(b"\r\n") if ln.lower().startswith(b"content-length")]
            while length and len(body) < int(length[0].split(b":")[1]):
                body += connection.recv(65_536)
            self.requests.append(head + b"\r\n\r\n" + body)
            self.released.wait(20)
            connection.sendall(self.answer)


class Gateway:
    """A listener for callers in front of raw services, each in a data centre of its own."""

    def __init__(self, *services, down=()):
        self.platform, self.clock = MemoryPlatform(), SystemClock()
        self.leaving = set()
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        listed = [
            Service(f"s{number}", "records", service.url, f"dc-{number}")
            for number, service in enumerate(services)
        ]
        listed.append(Service("other", "stock", services[0].url, "dc-0"))
        listed.append(Service("foreign", "ledger", services[0].url, "dc-0"))
        allowed = tuple(service.name for service in listed[:-1])
        self.inventory = Inventory(
            1,
            services=pmap({service.name: service for service in listed}),
            routes=(*ROUTES, Route("stock", "GET", "/", True)),
            teams=pmap({"t": Team("t", 1, (digest,), services=allowed)}),
        )
        slots = CallSlots(WORKERS)
        self.claims = ClaimRunner(self.platform, self.clock, "entry-1", slots.max_open_calls)
        chooser = InstanceChooser(self.clock, "dc-0", lambda name: name in self.leaving)
        gateway = ServiceGateway(self.claims, chooser, slots, self.clock)
        context = CallersContext(lambda: self.inventory, None, gateway, None, None, lambda _: None)
        app = CallersApp(CallersSettings(), self.clock, context)
        self.server = PooledServer("127.0.0.1", 0, app, WORKERS, 30_000, self.clock)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def call(self, target, method="GET", body=b"", headers=()):
        lines = [f"{method} {target} HTTP/1.1", "Host: x", f"Authorization: Bearer {KEY}"]
        lines += [f"Content-Length: {len(body)}"] if body else []
        payload = "\r\n".join((*lines, *headers)).encode() + b"\r\n\r\n" + body
        with socket.create_connection(("127.0.0.1", self.server.port), timeout=20) as connection:
            connection.sendall(payload)
            data = b""
            while chunk := connection.recv(65_536):
                data += chunk
        head, _, answer = data.partition(b"\r\n\r\n")
        status, *header_lines = head.decode().split("\r\n")
        code = json.loads(answer)["error"]["code"] if b'"error"' in answer else ""
        return SimpleNamespace(
            status=int(status.split()[1]), headers=header_lines, body=answer, code=code
        )

    def post(self, key="k", target="/services/records/refund", body=b"{}", headers=()):
        return self.call(target, "POST", body, (f"Idempotency-Key: {key}", *headers))

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.claims.close(0)


@pytest.fixture
def make_gateway(request):
    def create(*services):
        gateway = Gateway(*services)
        request.addfinalizer(gateway.close)
        for service in services:
            request.addfinalizer(service.listener.close)
        return gateway

    return create


def make_closed_service():
    service = RawService()
    service.listener.shutdown(socket.SHUT_RDWR)
    service.listener.close()
    return service


def test_call_is_forwarded_byte_for_byte(make_gateway):
    service = RawService()
    gateway = make_gateway(service)
    headers = ("X-Twice: 1", "X-Twice: 2", "x-lower: \u00e9", "X-Drop: 1", "Connection: X-Drop")
    response = gateway.call(
        "/services/records/a%2Fb//c/../%7Ed?q=%20&q=+&r", "DELETE", b"\0\xff{}", headers
    )
    assert response.code == "idempotency_key_missing" and not service.requests
    response = gateway.call(
        "/services/records/a%2Fb//c/../%7Ed?q=%20&q=+&r",
        "DELETE",
        b"\0\xff{}",
        (*headers, "Idempotency-Key: k"),
    )
    head, _, body = service.requests[0].partition(b"\r\n\r\n")
    line, *sent = head.decode("utf-8").split("\r\n")
    assert (line, body) == ("DELETE /a%2Fb//c/../%7Ed?q=%20&q=+&r HTTP/1.1", b"\0\xff{}")
    expected = ["X-Twice: 1", "X-Twice: 2", "x-lower: \u00e9", "Idempotency-Key: k"]
    assert [h for h in sent if not h.startswith(("Host", "Content-Length"))] == expected
    assert (response.status, response.body) == (201, b"made")
    kept = ["Set-Cookie: a=1", "Set-Cookie: b=2", "Server: s", "Date: d"]
    received = [line for line in response.headers if line != "Connection: close"]
    assert sorted(received) == sorted([*kept, "Content-Length: 4"])


def test_head_response_keeps_its_content_length(make_gateway):
    gateway = make_gateway(RawService(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"))
    response = gateway.call("/services/records/x", "HEAD")
    assert response.status == 200 and "Content-Length: 99" in response.headers and not response.body


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("GET", "/tickets/7", True),
        ("GET", "/refund", False),
        ("GET", "/refund/7", False),
        ("GET", "/refunds", True),
        ("GET", "/%72efund", False),
        ("GET", "/x/../refund", False),
        ("GET", "/x/%2e%2e/refund", False),
        ("GET", "//refund", False),
        ("GET", "/x%2Frefund", False),
        ("GET", "/%2572efund", False),
        ("GET", "/refund;v=1", False),
        ("POST", "/search/a", True),
        ("POST", "/searches", False),
        ("DELETE", "/", False),
        ("get", "/", False),
    ],
)
def test_longest_prefix_wins_and_ambiguous_paths_are_not_idempotent(method, path, idempotent):
    inventory = Inventory(1, routes=ROUTES)
    assert find_route(inventory, "records", method, path).idempotent is idempotent


def test_only_idempotent_calls_are_retried_on_another_instance(make_gateway):
    near, far = RawService(b""), RawService()
    gateway = make_gateway(near, far)
    assert gateway.call("/services/records/x").body == b"made"
    assert (len(near.requests), len(far.requests)) == (1, 1)
    assert gateway.call("/services/records/x").body == b"made"
    assert len(near.requests) == 1, "an instance that failed recently must be tried last"
    far.answer = b""
    assert gateway.call("/services/records/x").code == "service_failed"
    assert gateway.call("/services/records/note", "POST", b"1").code == "outcome_unknown"
    assert gateway.post("k").code == "outcome_unknown"
    sent = [r for s in (near, far) for r in s.requests if r.startswith(b"POST")]
    assert len(sent) == 2
    gateway.leaving |= {"s0", "s1"}
    assert gateway.post("l").code == "not_run"
    assert gateway.call("/services/ledger/x").code == "not_found", "a service of another team"


def test_unreachable_instance_is_skipped_before_a_byte_is_sent(make_gateway):
    reachable = RawService()
    gateway = make_gateway(make_closed_service(), reachable)
    assert gateway.post("k").status == 201
    assert gateway.call("/services/records/note", "POST", b"1").status == 201
    assert len(reachable.requests) == 2


def test_hanging_service_leaves_workers_for_other_services(make_gateway):
    service = RawService()
    gateway = make_gateway(service)
    service.released.clear()
    deadline_header = ("X-Deadline-Ms: 400",)
    codes = {}

    def post(key):
        codes[key] = gateway.post(key, headers=deadline_header).code

    threads = [threading.Thread(target=post, args=(f"k{n}",)) for n in range(WORKERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    limit = WORKERS // 2
    assert sorted(codes.values()) == ["outcome_unknown"] * limit + ["overloaded"] * limit
    assert gateway.call("/services/records/x", headers=deadline_header).code == "overloaded"
    service.released.set()
    assert gateway.call("/services/stock/x").status == 201
    for key in codes:
        wait_for(lambda key=key: gateway.post(key).status == 201)
    posts = [r for r in service.requests if r.startswith(b"POST")]
    assert len(posts) == WORKERS, "each key must be sent once, even if its answer arrives late"


def wait_for(condition):
    deadline = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.02)


def test_answer_is_replayed_for_the_same_key_and_call(make_gateway):
    service = RawService(b"HTTP/1.1 200 OK\r\nX-A: 1\r\nX-A: 2\r\n\r\n" + b"y" * 9_000)
    gateway = make_gateway(service)
    first = gateway.post("k")
    assert gateway.post("k").body == first.body == b"y" * 9_000
    assert sorted(gateway.post("k").headers) == sorted(first.headers)
    row = gateway.platform.rows[make_row_key("t", "k")]
    assert len(row.value) < 1_000 and len(gateway.platform.objects) == 1
    for other in ({"body": b"{1}"}, {"target": "/services/records/refund?x"}):
        assert gateway.post("k", **other).code == "idempotency_key_reused"
    gateway.platform.objects.clear()
    gateway.platform.get_object = lambda _key: Err(NotFound())
    assert gateway.post("k").code == "answer_unavailable"
    assert len(service.requests) == 1
    assert gateway.post("k" * 256).code == "invalid_request"
    assert gateway.post("j", headers=("X-Deadline-Ms: 0",)).code == "invalid_request"


def test_table_outage_fails_calls_immediately_and_defers_writes(make_gateway):
    service = RawService()
    gateway = make_gateway(service)
    gateway.platform.faults = [None, "unavailable"]
    assert gateway.post("unrecorded").status == 201
    gateway.platform.down = True
    assert [gateway.post(f"k{n}").code for n in range(5)] == ["attempt_not_run"] * 5
    assert gateway.call("/services/records/x").status == 201
    assert gateway.claims.deferred == 1
    gateway.platform.down = False
    wait_for(lambda: gateway.post("k0").status == 201)
    gateway.claims.retry_deferred()
    assert gateway.claims.deferred == 0
    assert gateway.post("unrecorded").status == 201
    statuses = [decode_row(row).claim.status for row in gateway.platform.rows.values()]
    assert statuses == [ClaimStatus.FINISHED] * 2
    assert len(service.requests) == 3


def test_claimed_call_needs_two_writes(make_gateway):
    gateway = make_gateway(RawService())
    operations = []
    for name in ("read_row", "write_row", "get_object", "put_object", "scan_rows"):
        original = getattr(gateway.platform, name)
        setattr(
            gateway.platform,
            name,
            lambda *arguments, original=original, name=name: operations.append(name)
            or original(*arguments),
        )
    gateway.post("k")
    assert operations == ["write_row", "write_row"]
    gateway.call("/services/records/x")
    assert len(operations) == 2


def test_close_records_deferred_answers(make_gateway):
    gateway = make_gateway(RawService())
    gateway.platform.faults = [None, "unavailable", "unavailable"]
    assert gateway.post("k").status == 201
    assert gateway.claims.close(5_000) == 0
    (row,) = gateway.platform.rows.values()
    assert decode_row(row).claim.status is ClaimStatus.FINISHED


@pytest.mark.parametrize(("pause_ms", "sent"), [(MAX_PAUSE_MS, 1), (MAX_PAUSE_MS + 1, 0)])
def test_claim_holder_does_not_send_after_a_long_pause(pause_ms, sent):
    platform, clock, sent_calls, freed = MemoryPlatform(), ManualClock(), [], []
    runner = ClaimRunner(platform, clock, "entry-1", 1)

    def send_request(guard):
        clock.advance(pause_ms)
        if not guard():
            return Err(HttpFailure(sent=False, refused=True))
        sent_calls.append(1)
        return Ok(HttpAnswer(200, (), b""))

    call = ClaimedCall("t", "k", "POST /", "digest", 10_000, send_request, lambda: freed.append(1))
    result = runner.run(call)
    runner.close(0)
    assert len(sent_calls) == sent and freed == [1]
    assert result.is_ok() if sent else result == Err(NotRun())
    expected_status = ClaimStatus.FINISHED if sent else ClaimStatus.FREE
    assert decode_row(platform.rows[make_row_key("t", "k")]).claim.status is expected_status


def make_unsettled_key(gateway):
    gateway.platform.faults = []
    assert gateway.post("k").code == "outcome_unknown"
    wait_for(lambda: gateway.claims.deferred == 1)
    gateway.claims.retry_deferred()
    name = make_row_key("t", "k")
    return ManualClock(gateway.clock.wall()), decode_row(gateway.platform.rows[name]).claim


@pytest.mark.parametrize(
    ("outcome", "code", "runs"),
    [(Settlement.RAN, "already_ran", 1), (Settlement.NOT_RUN, "", 2)],
)
def test_operator_lists_and_settles_a_key(make_gateway, capsys, outcome, code, runs):
    service = RawService(b"")
    gateway = make_gateway(service)
    clock, claim = make_unsettled_key(gateway)
    platform = gateway.platform
    assert keys.list_keys(platform, clock) == 0
    listed = capsys.readouterr().out
    assert "unknown          0 in " in listed and "POST /services/records/refund" in listed
    assert "look its record up" in listed
    with pytest.raises(RefusedError, match="may still send"):
        keys.settle_key(platform, clock, "t", "k", outcome)
    clock.advance(claim.patience_ms + SETTLE_MARGIN_MS)
    for fault, error in (("unavailable", RefusedError), ("lost", OutcomeUnknownError)):
        platform.faults = [fault]
        with pytest.raises(error):
            keys.settle_key(platform, clock, "t", "k", outcome)
    platform.faults = ["lost_after"]
    assert keys.settle_key(platform, clock, "t", "k", outcome) == 0
    with pytest.raises(RefusedError, match="nothing to settle"):
        keys.settle_key(platform, clock, "t", "k", outcome)
    with pytest.raises(RefusedError, match="no key"):
        keys.settle_key(platform, clock, "another", "k", outcome)
    service.answer = ANSWER
    assert gateway.post("k").code == code
    assert len(service.requests) == runs


def test_only_one_concurrent_settlement_succeeds_and_all_pages_are_read(make_gateway, capsys):
    gateway = make_gateway(RawService(b""))
    clock, claim = make_unsettled_key(gateway)
    platform, name = gateway.platform, make_row_key("t", "k")
    version, value = platform.rows[name].version, platform.rows[name].value
    platform.rows[name] = Row(name, value + b" ", version + 1)
    with pytest.raises(ConflictError):
        keys.write_settlement(platform, "t", "k", version, replace(claim, status=ClaimStatus.RAN))
    for number in range(keys.PAGE_ROWS * 2):
        other = f"{CLAIM_PREFIX}{number:04}"
        platform.rows[other] = Row(other, value, 1)
    platform.rows[f"{CLAIM_PREFIX}bad"] = Row(f"{CLAIM_PREFIX}bad", b"?", 1)
    assert len(list(keys.scan_claims(platform))) == keys.PAGE_ROWS * 2 + 1
    assert "is no claim" in capsys.readouterr().err
