"""Which connection of a caller is given up, and what its caller gets."""

import asyncio

from lentilwell._clock import ManualClock
from lentilwell.gateway.caller_limits import Account, CallerMemory, MemoryBudget, ProcessLimits
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import answer_ok, in_loop

BUDGET = MemoryBudget(total_bytes=1_000_000, large_bytes=750_000)


class Accounts:
    """Accounts of a memory, and the order in which they are given up."""

    def __init__(self):
        self.clock = ManualClock()
        self.memory = CallerMemory(BUDGET, self.clock.now)
        self.given_up = []

    def open(self, name, reading=0, serving=0):
        account = Account(lambda reason: self.given_up.append((name, reason)), self.clock.now())
        self.memory.update(account, reading, serving, 0)
        return account


def test_body_without_progress_is_given_up_before_a_larger_one_that_arrives():
    """Callers that stop short would otherwise push out those that are about to end."""
    accounts = Accounts()
    accounts.open("stalled", 200_000)
    accounts.clock.advance(2_000)
    accounts.open("large", 400_000)
    accounts.open("new", 200_000)
    assert accounts.given_up == [("stalled", "stalled")]


def test_share_of_a_connection_shrinks_as_the_crowd_grows():
    """A fixed share would be too small for one body or too large for a crowd."""
    accounts = Accounts()
    accounts.open("alone", 700_000)
    assert not accounts.given_up
    accounts.open("second", 100_000)
    assert accounts.given_up == [("alone", "largest")]


def test_reserve_is_left_to_small_requests_and_a_request_being_served_is_kept():
    """Large bodies once could take all memory; a request that may run must not get a 503."""
    accounts = Accounts()
    accounts.open("served", 0, serving=700_000)
    accounts.open("refused", 100_000)
    for number in range(8):
        accounts.open(f"small {number}", 30_000)
    assert accounts.given_up == [("refused", "largest")]


def test_limits_of_the_process_leave_room_for_one_large_body_and_for_other_descriptors():
    """A derived limit of zero or below would refuse everyone."""
    for memory_mb, max_fds in ((1, 1), (152, 1_535), (10**9, 10**9)):
        limits = ProcessLimits(memory_mb, max_fds)
        assert limits.budget.large_bytes > 4_194_304 + 32_768 + 16_384
        assert limits.max_requests > 0 and limits.max_connections > 0
        assert limits.max_requests + limits.max_connections < limits.descriptors


@in_loop
async def test_declared_length_over_the_limit_is_refused_before_the_body_is_sent():
    """The refusal was once sent only after 4 MiB, and lost as the connection was reset."""
    async with run_gateway(answer_ok) as harness:
        reader, writer = await harness.connect()
        writer.write(harness.format("/whole/x", Content_Length="1000000000", Expect="100-continue"))
        assert (await reader.readline()).split()[1] == b"413"
        writer.write(b"x" * 100_000)
        await writer.drain()
        rest = await asyncio.wait_for(reader.read(), 5)
        assert rest.endswith(b"}") and not harness.arrivals
        writer.close()


@in_loop
async def test_large_body_reaches_the_upstream_whole():
    """A body is written in pieces, as the upstream takes them."""
    async with run_gateway(answer_ok) as harness:
        body = bytes(range(256)) * 16_384
        assert (await harness.call("/whole/x", body=body)).status == 200
        assert harness.arrivals[0].body == body
