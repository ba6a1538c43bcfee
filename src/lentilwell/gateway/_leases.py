"""Memory set aside at engines for prompts larger than one of them, by leases that are renewed.

A lease is short, so that memory comes free by itself where this process dies or an order is carried
out late; it is renewed while the request lasts, and released at its end.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass

from lentilwell._log_lines import LeaseNotReleased, LeaseNotRenewed, write_line
from lentilwell.gateway._failures import LinkBroken, LinkError
from lentilwell.gateway._links import Links
from lentilwell.gateway._messages import AnswerHead, Lease, MemoryOrder
from lentilwell.gateway._placement_policies import Helper
from lentilwell.gateway._ports import Dialect
from lentilwell.gateway._upstreams import Upstream

# Short, so that an order carried out late cannot stretch a lease for long after its request.
HOLD_MS = 2_400
# Leaves time for several tries before a lease runs out.
RENEW_MS = 800
ORDER_TIMEOUT_MS = 250
ORDER_TRIES = 3
RELEASE_TRIES = 12
DONE = 200


@dataclass(frozen=True)
class Held:
    """A lease that its upstream has granted."""

    lease: Lease
    upstream: Upstream


class NoMemory(Exception):
    """An upstream did not grant a lease; ``upstream`` names it."""

    def __init__(self, upstream: str, reason: str) -> None:
        super().__init__(f"{upstream} sets no memory aside: {reason}")
        self.upstream = upstream


class Leases:
    """Takes, renews and releases leases."""

    def __init__(self, links: Links, dialect: Dialect, life: str, longest_hold_ms: int) -> None:
        self._links = links
        self._dialect = dialect
        self._hold_ms = min(HOLD_MS, longest_hold_ms)
        self._numbers = itertools.count(1)
        self._life = life
        self._releasing: set[asyncio.Task[None]] = set()
        self.on_answer: Callable[[Upstream, AnswerHead], None] = lambda upstream, head: None

    async def take(self, helpers: Sequence[Helper]) -> LeaseSet:
        """Set memory aside at all helpers that keep some, or at none and raise ``NoMemory``."""
        held = [self._make(helper) for helper in helpers if helper.memory_tokens > 0]
        results = await asyncio.gather(
            *(self._order_surely(one, self._dialect.write_reserve(one.lease)) for one in held),
            return_exceptions=True,
        )
        lease_set = LeaseSet(held, self._renew, self._release)
        for one, result in zip(held, results, strict=True):
            if isinstance(result, BaseException):
                lease_set.release()
                raise NoMemory(one.upstream.name, str(result)) from result
            if result != DONE:
                lease_set.release()
                raise NoMemory(one.upstream.name, f"status {result}")
        lease_set.keep()
        return lease_set

    async def settle(self) -> None:
        """Wait for the releases under way."""
        await asyncio.gather(*self._releasing, return_exceptions=True)

    def _make(self, helper: Helper) -> Held:
        ticket = f"{self._life}.{next(self._numbers)}"
        lease = Lease(ticket, helper.upstream.name, helper.memory_tokens, self._hold_ms)
        return Held(lease, helper.upstream)

    async def _renew(self, held: Held) -> None:
        try:
            status = await self._order_surely(held, self._dialect.write_reserve(held.lease))
        except LinkError as error:
            write_line(LeaseNotRenewed(held.lease.ticket, str(error)))
            return
        if status != DONE:
            write_line(LeaseNotRenewed(held.lease.ticket, f"status {status}"))

    def _release(self, held: Held) -> None:
        task = asyncio.get_running_loop().create_task(self._release_surely(held))
        self._releasing.add(task)
        task.add_done_callback(self._releasing.discard)

    async def _release_surely(self, held: Held) -> None:
        try:
            await self._order_surely(held, self._dialect.write_release(held.lease), RELEASE_TRIES)
        except LinkError as error:
            write_line(LeaseNotReleased(held.lease.ticket, str(error)))

    async def _order_surely(self, held: Held, order: MemoryOrder, tries: int = ORDER_TRIES) -> int:
        """Send an order again where its answer is lost: orders about a ticket are idempotent."""
        for tries_left in reversed(range(tries)):
            try:
                return await self._order(held, order)
            except LinkBroken:
                if not tries_left:
                    raise
        raise AssertionError("the last try returns or raises")

    async def _order(self, held: Held, order: MemoryOrder) -> int:
        """Send an order and return the status of its answer."""
        address = held.upstream.address
        link = await self._links.take(address, fresh=False)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_MS / 1_000):
                link.send(order.method, order.target, order.headers, order.body)
                head = await link.read_head()
                await link.read_body()
                link.finish()
        except TimeoutError as error:
            raise LinkBroken(f"no answer to an order within {ORDER_TIMEOUT_MS} ms") from error
        finally:
            if not link.idle:
                link.close()
        self._links.give_back(address, link)
        self.on_answer(held.upstream, self._dialect.read_head(head))
        return head.status_code


class LeaseSet:
    """The leases of one request."""

    def __init__(
        self,
        held: Sequence[Held],
        renew: Callable[[Held], Coroutine[None, None, None]],
        release: Callable[[Held], None],
    ) -> None:
        self._held = held
        self._renew = renew
        self._release = release
        self._keepers: list[asyncio.Task[None]] = []

    def find_ticket(self, upstream: str) -> str | None:
        """Return the ticket of the memory at one upstream."""
        for held in self._held:
            if held.upstream.name == upstream:
                return held.lease.ticket
        return None

    def keep(self) -> None:
        """Renew each lease until they are released; none waits for the renewal of another."""
        loop = asyncio.get_running_loop()
        self._keepers = [loop.create_task(self._keep(held)) for held in self._held]

    def release(self) -> None:
        """Give all the memory back."""
        for keeper in self._keepers:
            keeper.cancel()
        for held in self._held:
            self._release(held)
        self._held = ()

    async def _keep(self, held: Held) -> None:
        loop = asyncio.get_running_loop()
        spent_s = 0.0
        while True:
            await asyncio.sleep(max(0.0, RENEW_MS / 1_000 - spent_s))
            begun_s = loop.time()
            await self._renew(held)
            spent_s = loop.time() - begun_s
