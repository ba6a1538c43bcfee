"""Tests of the stand-in engine: speed, prefill order, memory, cache, spans and faults."""

import http.client
import json
import threading
import time
from ipaddress import ip_address
from urllib.parse import urlsplit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.answers import answer_text
from standins.cache import BLOCK_TOKENS, PrefixCache, hash_blocks
from standins.deployment import call, launch, stop_processes
from standins.gateway_process import find_free_ip
from standins.model import EngineModel
from standins.stream import EngineOptions, Stream

STREAM = {
    "owner": "entry-1",
    "incarnation": "1",
    "role": "lead",
    "model": "assistant",
    "prompt": "abc",
    "first_index": 0,
    "answer_tokens": 10,
    "prefill_tokens": 1,
    "memory_tokens": 100,
    "priority": 1,
}


def make_engine(**options):
    return EngineModel.make(EngineOptions("e", **options))


def add(engine, name, priority=1, prefill=1_000, memory=2_000, block_hashes=(), answer=10):
    stream = Stream(
        name, "o", "i", "lead", "s", priority, 0, memory, prefill, 0, answer, block_hashes
    )
    engine.add(stream)
    return stream


@pytest.fixture
def engines(tmp_path):
    started = []

    def start(*arguments):
        name = f"engine-{len(started)}"
        options = ["-m", "standins.engine", "--name", name, "--speed", "20", *arguments]
        started.append(launch(name, options, tmp_path))
        return started[-1]

    yield start
    stop_processes(started)


def read(process, name, start=None, **body):
    """Open a stream, or resume it from index ``start``; return its status and lines.

    Keep-alive newlines are left out.
    """
    parts = urlsplit(process.url())
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=10)
    if start is None:
        body = json.dumps({**STREAM, "stream": name, **body})
        connection.request("POST", "/v1/streams", body)
    else:
        connection.request("GET", f"/v1/streams/{name}?from={start}")
    with connection.getresponse() as answer:
        return answer.status, [json.loads(line) for line in answer if line.strip()]


def control(process, **faults):
    call("POST", f"{process.url()}/control", json.dumps(faults).encode())


def invariants(process):
    return json.loads(call("GET", f"{process.url()}/invariants"))


def test_prefill_order_is_priority_then_arrival():
    engine = make_engine(prefill_rate=1_000.0)
    first, second, urgent = add(engine, "a", 2), add(engine, "b", 2), add(engine, "c", 1)
    engine.step(1.5)
    assert (urgent.prefilled, first.prefilled, second.prefilled) == (1_000, 500, 0)


def test_decode_slows_with_batch_and_with_prefill():
    decode_rates = []
    for others, prefilling in ((0, 0), (50, 0), (0, 1)):
        engine = make_engine(decode_ms=10.0, batch_slowdown=0.01, prefill_slowdown=0.5)
        streams = [add(engine, f"s{n}", 1, 0, 10, (), 1_000) for n in range(1 + others)]
        for number in range(prefilling):
            add(engine, f"r{number}", 9, 1e9, 10)
        engine.step(0.0)
        engine.step(1.0)
        decode_rates.append(streams[0].generated - 1)
    assert decode_rates == pytest.approx([100, 100 / 1.5, 100 / 1.5])


def test_cached_prefix_is_reused_and_evicted_for_new_streams():
    engine = make_engine(memory_tokens=10 * BLOCK_TOKENS, prefill_rate=1e6)
    block_hashes = tuple(range(1, 5))
    add(engine, "a", 1, 4 * BLOCK_TOKENS, 4 * BLOCK_TOKENS, block_hashes)
    engine.step(1.0)
    assert engine.remove("a") and engine.cache.tokens == 4 * BLOCK_TOKENS
    again = add(engine, "b", 1, 5 * BLOCK_TOKENS, 5 * BLOCK_TOKENS, (*block_hashes, 9))
    assert again.prefilled == 4 * BLOCK_TOKENS
    add(engine, "c", 1, 1, 5 * BLOCK_TOKENS)
    assert engine.cache.tokens == 0 and not engine.violations
    assert [e.stored for e in engine.cache.list_events_after(0)] == [True] * 4 + [False] * 4


@settings(database=None, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.integers(1, 12), st.integers(0, 3), st.booleans()), max_size=30))
def test_memory_stays_within_its_limit_and_events_reproduce_the_cache(steps):
    engine = make_engine(memory_tokens=20 * BLOCK_TOKENS, prefill_rate=1e7)
    for number, (blocks, family, finish) in enumerate(steps):
        memory = blocks * BLOCK_TOKENS
        if engine.memory_used() + memory <= engine.options.memory_tokens:
            block_hashes = tuple(family * 100 + n for n in range(blocks))
            add(engine, str(number), 1, memory, memory, block_hashes)
        engine.step(1.0)
        if finish and engine.streams:
            engine.remove(next(iter(engine.streams)))
    assert not engine.violations and engine.peak_memory <= engine.options.memory_tokens
    seen = set()
    for event in engine.cache.list_events_after(0):
        (seen.add if event.stored else seen.discard)(event.block)
    assert seen == set(engine.cache.blocks)


def test_lost_cache_events_leave_a_gap():
    cache = PrefixCache(events_to_drop=2)
    cache.store(hash_blocks(b"x" * 4 * 4_096), 4 * BLOCK_TOKENS)
    assert [event.sequence for event in cache.list_events_after(0)] == [3, 4]


def test_64_concurrent_streams_are_complete(engines):
    process = engines("--decode-ms", "400", "--batch-slowdown", "0")
    results = []

    def run(number):
        results.append(read(process, f"s{number}", answer_tokens=101))

    threads = [threading.Thread(target=run, args=(n,)) for n in range(64)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    text = answer_text("assistant", b"abc", 101)
    assert all("".join(x.get("text", "") for x in lines) == text for _, lines in results)
    assert invariants(process)["memory_used"] == 0


@pytest.mark.parametrize(
    ("fault", "indexes"),
    [
        ("repeat", [0, 0, 1, 2, 3]),
        ("skip", [1, 2, 3]),
        ("reorder", [1, 0, 2, 3]),
        ("cross", [0, 0, 1, 2, 3]),
    ],
)
def test_line_faults(engines, fault, indexes):
    process = engines()
    control(process, **{fault: 1})
    _, lines = read(process, "s", answer_tokens=4)
    assert [line["index"] for line in lines if "index" in line] == indexes
    assert len({line["stream"] for line in lines}) == (2 if fault == "cross" else 1)


def test_disconnected_stream_is_resumed_at_the_next_index(engines):
    process = engines("--decode-ms", "400")
    timer = threading.Timer(0.3, control, (process,), {"cut": True})
    timer.start()
    _, before = read(process, "s", answer_tokens=60)
    _, after = read(process, "s", start=len(before))
    assert 0 < len(before) < 60
    assert [line["index"] for line in before + after[:-1]] == list(range(60))


def test_primary_of_a_span_waits_for_its_segments(engines):
    primary, segment = engines(), engines("--prefill-rate", "1000")
    urls = [segment.url()]
    part = {"role": "segment", "prompt": "", "prefill_tokens": 10_000, "memory_tokens": 10_000}
    reader = threading.Thread(target=read, args=(segment, "s"), kwargs=part, daemon=True)
    reader.start()
    status, lines = read(primary, "s", segments=urls)
    state = json.loads(call("GET", f"{segment.url()}/v1/streams/s/status"))
    assert status == 200 and lines[-1]["end"] == "length" and state["prefilled"]
    call("DELETE", f"{segment.url()}/v1/streams/s")
    reader.join()
    assert invariants(segment)["memory_used"] == 0


def test_old_fence_is_refused_only_if_the_engine_checks_it(engines):
    order = json.dumps({"fence": 5, "models": ["assistant", "other"]}).encode()
    old = json.dumps({"fence": 4, "models": []}).encode()
    for process, checks in ((engines("--checks-fencing"), True), (engines(), False)):
        call("POST", f"{process.url()}/v1/orders", order)
        time.sleep(0.1)
        try:
            call("POST", f"{process.url()}/v1/orders", old)
        except OSError:
            assert checks
        time.sleep(0.1)
        models = json.loads(call("GET", f"{process.url()}/v1/load"))["models"]
        control(process, report_lag_ms=0)
        models = json.loads(call("GET", f"{process.url()}/v1/load"))["models"]
        assert models == (["assistant", "other"] if checks else [])


def test_leaving_engine_finishes_its_streams_and_refuses_others(engines):
    process = engines("--decode-ms", "400")
    timer = threading.Timer(0.1, control, (process,), {"leaving": True})
    timer.start()
    _, lines = read(process, "s", answer_tokens=20)
    assert lines[-1]["end"] == "length"
    assert read(process, "t")[0] == 503


def test_instances_get_valid_addresses_of_their_own_however_many_a_process_starts():
    addresses = [find_free_ip() for _ in range(600)]
    assert len(set(addresses)) == 600
    assert all(ip_address(address).is_loopback for address in addresses)
