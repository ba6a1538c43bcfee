"""Leases on engine memory, for prompts that do not fit into the memory of one engine.

A lease is short, so that memory becomes free even if this process dies or a delayed order renews
the lease after its request has ended. It is renewed during the request and released at its end.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass

from lentilwell._log_lines import LeaseNotReleased, LeaseNotRenewed, write_line
from lentilwell._timeouts import allow_ms
from lentilwell.gateway._connection_pool import ConnectionPool
from lentilwell.gateway._failures import ConnectionBroken, HttpConnectionError
from lentilwell.gateway._messages import AnswerHead, Lease, MemoryOrder
from lentilwell.gateway._placement_policies import Helper
from lentilwell.gateway._ports import Dialect
from lentilwell.gateway._upstreams import Upstream

# Short, because an order that an engine executes late extends the lease past its request.
LEASE_MS = 2_400
# A third of the lease, which leaves time for several attempts before it expires.
RENEW_INTERVAL_MS = 800
ORDER_TIMEOUT_MS = 250
ORDER_ATTEMPTS = 3
RELEASE_ATTEMPTS = 12
STATUS_OK = 200


@dataclass(frozen=True)
class Reservation:
    """A lease and the upstream whose memory it reserves."""

    lease: Lease
    upstream: Upstream


class ReservationFailed(Exception):
    """An upstream did not grant a lease; ``upstream`` is its name."""

    def __init__(self, upstream: str, reason: str) -> None:
        super().__init__(f"{upstream} did not reserve memory: {reason}")
        self.upstream = upstream


class LeaseManager:
    """Reserves engine memory for requests, and renews and releases the leases on it."""

    def __init__(
        self, connections: ConnectionPool, dialect: Dialect, incarnation: str, max_lease_ms: int
    ) -> None:
        self._connections = connections
        self._dialect = dialect
        self._lease_ms = min(LEASE_MS, max_lease_ms)
        self._ticket_numbers = itertools.count(1)
        self._incarnation = incarnation
        self._releasing: set[asyncio.Task[None]] = set()
        # Asked before each order that may reserve memory for the first time.
        self.may_reserve: Callable[[Upstream], bool] = lambda upstream: True
        self.on_send: Callable[[Upstream], None] = lambda upstream: None
        self.on_answer: Callable[[Upstream, AnswerHead], None] = lambda upstream, head: None

    async def reserve(self, helpers: Sequence[Helper]) -> LeaseSet:
        """Reserve memory at every helper that needs some.

        Where one does not grant it, release the others and raise ``ReservationFailed``.
        """
        reservations = [
            self._make_reservation(helper) for helper in helpers if helper.memory_tokens > 0
        ]
        lease_set = LeaseSet(reservations, self._renew, self._release)
        try:
            await self._reserve_all(reservations)
        except (ReservationFailed, asyncio.CancelledError):
            lease_set.release()
            raise
        lease_set.start_renewing()
        return lease_set

    async def _reserve_all(self, reservations: Sequence[Reservation]) -> None:
        results = await asyncio.gather(
            *(
                self._send_with_retries(
                    reservation, self._dialect.write_reserve(reservation.lease), is_new=True
                )
                for reservation in reservations
            ),
            return_exceptions=True,
        )
        for reservation, result in zip(reservations, results, strict=True):
            if isinstance(result, ReservationFailed):
                raise result
            if isinstance(result, BaseException):
                raise ReservationFailed(reservation.upstream.name, str(result)) from result
            if result != STATUS_OK:
                raise ReservationFailed(reservation.upstream.name, f"status {result}")

    async def wait_for_releases(self) -> None:
        """Wait until the releases in progress have been answered or have failed."""
        await asyncio.gather(*self._releasing, return_exceptions=True)

    def _make_reservation(self, helper: Helper) -> Reservation:
        ticket = f"{self._incarnation}.{next(self._ticket_numbers)}"
        lease = Lease(ticket, helper.upstream.name, helper.memory_tokens, self._lease_ms)
        return Reservation(lease, helper.upstream)

    async def _renew(self, reservation: Reservation) -> None:
        try:
            status = await self._send_with_retries(
                reservation, self._dialect.write_reserve(reservation.lease)
            )
        except HttpConnectionError as error:
            write_line(LeaseNotRenewed(reservation.lease.ticket, str(error)))
            return
        if status != STATUS_OK:
            write_line(LeaseNotRenewed(reservation.lease.ticket, f"status {status}"))

    def _release(self, reservation: Reservation) -> None:
        task = asyncio.get_running_loop().create_task(self._release_with_retries(reservation))
        self._releasing.add(task)
        task.add_done_callback(self._releasing.discard)

    async def _release_with_retries(self, reservation: Reservation) -> None:
        try:
            await self._send_with_retries(
                reservation, self._dialect.write_release(reservation.lease), RELEASE_ATTEMPTS
            )
        except HttpConnectionError as error:
            write_line(LeaseNotReleased(reservation.lease.ticket, str(error)))

    async def _send_with_retries(
        self,
        reservation: Reservation,
        order: MemoryOrder,
        attempts: int = ORDER_ATTEMPTS,
        is_new: bool = False,
    ) -> int:
        """Send an order, and send it again if its answer is lost.

        Orders are idempotent, since each names the ticket of its lease. One that ``is_new``
        reserves memory, and raises ``ReservationFailed`` once that is not allowed any more.
        """
        for attempts_left in reversed(range(attempts)):
            try:
                return await self._send_order(reservation, order, is_new)
            except ConnectionBroken:
                if not attempts_left:
                    raise
        raise AssertionError("the last attempt returns or raises")

    async def _send_order(self, reservation: Reservation, order: MemoryOrder, is_new: bool) -> int:
        """Send an order once and return the status of its answer.

        Orders carry no request id, so an answer with one is a late copy of another answer.
        """
        address = reservation.upstream.address
        connection = await self._connections.acquire(address, fresh=False)
        if is_new and not self.may_reserve(reservation.upstream):
            self._connections.release(address, connection)
            raise ReservationFailed(reservation.upstream.name, "its data centre is evacuated")
        try:
            async with allow_ms(ORDER_TIMEOUT_MS):
                connection.send(order.method, order.target, order.headers, order.body)
                self.on_send(reservation.upstream)
                response = await connection.read_head()
                head = self._dialect.read_head(response)
                if head.request_id:
                    raise ConnectionBroken(f"the answer belongs to request {head.request_id}")
                await connection.read_body()
                connection.finish()
        except TimeoutError as error:
            raise ConnectionBroken(
                f"the order was not answered within {ORDER_TIMEOUT_MS} ms"
            ) from error
        finally:
            if not connection.idle:
                connection.close()
        self._connections.release(address, connection)
        self.on_answer(reservation.upstream, head)
        return head.status


class LeaseSet:
    """The leases of one request, on memory of one or more upstreams."""

    def __init__(
        self,
        reservations: Sequence[Reservation],
        renew: Callable[[Reservation], Coroutine[None, None, None]],
        release: Callable[[Reservation], None],
    ) -> None:
        self._reservations = reservations
        self._renew = renew
        self._release = release
        self._renewals: list[asyncio.Task[None]] = []

    def find_ticket(self, upstream: str) -> str | None:
        """Return the ticket of the lease at an upstream, or None if it has none."""
        for reservation in self._reservations:
            if reservation.upstream.name == upstream:
                return reservation.lease.ticket
        return None

    def start_renewing(self) -> None:
        """Renew each lease periodically, in its own task, until ``release`` is called."""
        loop = asyncio.get_running_loop()
        self._renewals = [
            loop.create_task(self._renew_repeatedly(reservation))
            for reservation in self._reservations
        ]

    def release(self) -> None:
        """Stop the renewals and release all leases in the background."""
        for renewal in self._renewals:
            renewal.cancel()
        for reservation in self._reservations:
            self._release(reservation)
        self._reservations = ()

    async def _renew_repeatedly(self, reservation: Reservation) -> None:
        loop = asyncio.get_running_loop()
        renewal_took_s = 0.0
        while True:
            await asyncio.sleep(max(0.0, RENEW_INTERVAL_MS / 1_000 - renewal_took_s))
            started_s = loop.time()
            await self._renew(reservation)
            renewal_took_s = loop.time() - started_s
