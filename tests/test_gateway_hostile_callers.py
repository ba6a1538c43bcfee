"""Callers that are not controlled exhaust neither the memory nor the descriptors of a process.

Each test runs one real process. Run them one at a time, apart from other load.
"""

import asyncio
import contextlib
import json
import os
import socket
from pathlib import Path

import pytest

from standins.gateway_process import API_KEY, HOST, Instance
from tests.gateway_scripts import in_loop
from tests.test_platform_process import run_cluster

# The smallest machine, and a fifth of its memory: what hostile callers may add to a process.
MEMORY_MB = 152
MAX_FDS = 1_535
MAX_GROWTH_KB = 30_000
# Few enough that a process keeps descriptors for its own work, and fewer than the idle crowd.
FEW_FDS = 256
IDLE_CONNECTIONS = 400

CALLERS = 64
MAX_BODY_BYTES = 4_194_304
# The service answers with the body that it received; a longer answer is not accepted from it.
ANSWER_BYTES = 1_000_000
PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 4_096
HEADER_LINES = b"X-More: and more\r\n" * 512
MAX_SENT_BYTES = 8_388_608
# The crowd sends for so long, or until nothing more is accepted; no bound on the process.
LOAD_S = 8.0
SAMPLE_S = 0.02


def make_head(path="/w/x", length=None, request_id="hostile", complete=True):
    """Return the header section of a request, chunked if it has no length."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Credential: {API_KEY}",
        "Deadline-Ms: 10000",
        framing,
    )
    return ("\r\n".join(lines) + ("\r\n\r\n" if complete else "\r\n")).encode()


async def send_endlessly(writer, piece):
    for _ in range(MAX_SENT_BYTES // len(piece)):
        writer.write(piece)
        await writer.drain()


async def stop_short_of_the_last_chunk(writer):
    writer.write(make_head())
    for _ in range(MAX_BODY_BYTES // len(PIECE) - 1):
        writer.write(CHUNK)
        await writer.drain()
    writer.write(CHUNK[:-3])


async def stop_short_of_the_length(writer):
    writer.write(make_head(length=MAX_BODY_BYTES))
    for _ in range(MAX_BODY_BYTES // len(PIECE) - 1):
        writer.write(PIECE)
        await writer.drain()
    writer.write(PIECE[:-1])


async def send_a_length_far_over_the_limit(writer):
    writer.write(make_head(length=1_000_000_000))
    await send_endlessly(writer, PIECE)


async def send_chunks_without_end(writer):
    writer.write(make_head())
    await send_endlessly(writer, CHUNK)


async def send_chunks_of_one_byte(writer):
    writer.write(make_head())
    await send_endlessly(writer, TINY_CHUNKS)


async def send_headers_without_end(writer):
    writer.write(make_head(complete=False))
    await send_endlessly(writer, HEADER_LINES)


async def read_no_answer(writer):
    for number in range(3):
        request_id = f"unread-{id(writer)}-{number}"
        writer.write(make_head(length=ANSWER_BYTES, request_id=request_id))
        writer.write(b"x" * ANSWER_BYTES)
        await writer.drain()


async def pipeline_requests(writer):
    for number in range(200):
        request_id = f"piped-{id(writer)}-{number}"
        writer.write(make_head(length=1_024, request_id=request_id) + b"x" * 1_024)
    await writer.drain()


WORKLOADS = (
    stop_short_of_the_last_chunk,
    stop_short_of_the_length,
    send_a_length_far_over_the_limit,
    send_chunks_without_end,
    send_chunks_of_one_byte,
    send_headers_without_end,
    read_no_answer,
    pipeline_requests,
)


class Crowd:
    """Connections to a process that nothing is read from; they stay open until ``close``."""

    def __init__(self, instance):
        self._instance = instance
        self._writers = []
        self._tasks = []

    async def connect(self):
        """Open one connection with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self._instance.ip, self._instance.front_port))
        # Without a task that reads, asyncio's stream stops reading at its own small limit.
        _, writer = await asyncio.open_connection(sock=sock, limit=1_024)
        self._writers.append(writer)
        return writer

    async def begin(self, workloads):
        """Open a connection for each workload, and let all of them send at once."""
        writers = [await self.connect() for _ in workloads]
        for workload, writer in zip(workloads, writers, strict=True):
            self._tasks.append(asyncio.create_task(self._send(workload, writer)))

    async def wait(self):
        """Wait until all have sent what they can, or for ``LOAD_S``."""
        await asyncio.wait(self._tasks, timeout=LOAD_S)

    async def _send(self, workload, writer):
        with contextlib.suppress(ConnectionError):
            await workload(writer)

    def close(self):
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


class Watch:
    """Samples the resident memory and the open descriptors of a process."""

    def __init__(self, instance):
        self._process = instance.process
        self._folder = Path(f"/proc/{instance.process.pid}")
        self._begin_kb = self._read_memory_kb()
        self.growth_kb = self.descriptors = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self):
        self.growth_kb = max(self.growth_kb, self._read_memory_kb() - self._begin_kb)
        self.descriptors = max(self.descriptors, len(os.listdir(self._folder / "fd")))

    def _read_memory_kb(self):
        lines = (self._folder / "status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))

    def check(self, max_fds):
        """Check that the process is alive and stayed within its bounds."""
        self.sample()
        self._task.cancel()
        print(f"growth {self.growth_kb} kB, {self.descriptors} descriptors")
        assert self._process.returncode is None
        assert self.growth_kb < MAX_GROWTH_KB
        assert self.descriptors < max_fds


@contextlib.asynccontextmanager
async def run_process(folder, max_fds=MAX_FDS):
    """Run one process with the limits of a small machine, which has served some requests."""
    async with run_cluster(folder, instances=0) as cluster:
        instance = Instance(folder, "small", cluster.address)
        settings = json.loads(instance.settings_path.read_text())
        settings["limits"] = {"memory_mb": MEMORY_MB, "max_fds": max_fds}
        instance.settings_path.write_text(json.dumps(settings))
        cluster.instances.append(instance)
        await instance.start()
        # A full pipe would keep the test from seeing the end of the process.
        log = asyncio.create_task(instance.process.stdout.read())
        await instance.wait_ready()
        for number in range(8):
            assert (await instance.call("/w/x", f"calm-{number}", body=b"look")).status == 200
        yield instance
        instance.process.kill()
        await log


async def check_load(folder, workloads):
    async with run_process(folder) as instance:
        watch, crowd = Watch(instance), Crowd(instance)
        try:
            await crowd.begin(workloads)
            await crowd.wait()
            answer = await instance.call("/w/x", "ordinary", body=b"look")
            assert (answer.status, answer.body) == (200, b"look")
        finally:
            crowd.close()
        watch.check(MAX_FDS)


@pytest.mark.parametrize("workload", WORKLOADS, ids=lambda workload: workload.__name__)
@in_loop
async def test_memory_is_bounded_under_one_kind_of_hostile_callers(tmp_path, workload):
    """150 of the first kind once added 604 MB to a process, and it ran out of memory."""
    await check_load(tmp_path, [workload] * CALLERS)


@in_loop
async def test_memory_is_bounded_under_all_kinds_of_hostile_callers_at_once(tmp_path):
    """A bound for each kind alone would not hold for their sum."""
    await check_load(tmp_path, WORKLOADS * (CALLERS // len(WORKLOADS)))


@in_loop
async def test_idle_connections_leave_descriptors_for_an_ordinary_request(tmp_path):
    """Connections were once accepted until no descriptor was left for upstreams and the store."""
    async with run_process(tmp_path, max_fds=FEW_FDS) as instance:
        watch, crowd = Watch(instance), Crowd(instance)
        try:
            for _ in range(IDLE_CONNECTIONS):
                await crowd.connect()
            assert (await instance.call("/w/x", "ordinary", body=b"look")).status == 200
            assert await instance.query_readiness() == 200
        finally:
            crowd.close()
        watch.check(FEW_FDS)


@in_loop
async def test_idle_connections_of_probes_leave_descriptors_for_an_ordinary_request(tmp_path):
    """The listener for readiness probes accepts connections of anyone who reaches it."""
    async with run_process(tmp_path, max_fds=FEW_FDS) as instance:
        watch, crowd = Watch(instance), Crowd(instance)
        try:
            instance.front_port, front_port = instance.ready_port, instance.front_port
            for _ in range(IDLE_CONNECTIONS):
                await crowd.connect()
            instance.front_port = front_port
            assert (await instance.call("/w/x", "ordinary", body=b"look")).status == 200
            assert await instance.query_readiness() == 200
        finally:
            crowd.close()
        watch.check(FEW_FDS)


@in_loop
async def test_single_request_of_the_greatest_size_is_served_by_a_calm_process(tmp_path):
    """A budget smaller than one body of the permitted size would refuse ordinary work."""
    async with run_process(tmp_path) as instance:
        watch = Watch(instance)
        body = b"x" * MAX_BODY_BYTES
        answer = await instance.call("/s/x", "large", body=body, Token_Count="4000,100")
        assert answer.status == 200 and answer.complete
        watch.check(MAX_FDS)
