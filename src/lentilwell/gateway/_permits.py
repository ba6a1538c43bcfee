"""Obtains permits for requests to rate-limited upstreams, and issues them to other instances.

An instance asks the owner of an upstream's permits by a datagram. An owner that does not answer is
left alone for a while, and the stand-in is asked instead. Without a permit nothing is sent, so no
loss of messages lets an upstream get more than it named.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from lentilwell._clock import Clock
from lentilwell._log_lines import PermitMessageUnreadable, PermitOwnerSilent, write_line
from lentilwell._timeouts import allow_ms
from lentilwell.gateway._permit_issuer import PermitDecision, PermitIssuer, find_interval_ms
from lentilwell.gateway._permit_messages import (
    NO_PERMIT,
    PermitAnswer,
    PermitAsk,
    PermitMessage,
    UnreadablePermitMessage,
    Verdict,
    decode_permit_message,
    encode_permit_message,
)
from lentilwell.gateway._permit_owners import OwnerRole, OwnerTable
from lentilwell.gateway._rate_limits import LimitReport, RateLimits
from lentilwell.gateway._upstreams import Incarnation, Upstream

# How long an owner may take to answer. A request that another upstream can serve waits less.
ASK_TIMEOUT_MS = 150
SHORT_ASK_TIMEOUT_MS = 60
# An owner that did not answer is asked again after this time.
SILENT_OWNER_MS = 1_000
# Time without permits after which owners that could not be reached are asked again.
NO_OWNER_RETRY_MS = 400
# After a denial an instance asks again at a random time within this long for each instance, so that
# an owner answers a bounded number of asks a second, whatever the number of instances.
ASK_SPREAD_MS = 6
# The longest time for which a denial is relied on, since the limit may have ended meanwhile.
MAX_DENIAL_MS = 1_000
# A permit that was not used within this time after it began to hold is void.
PERMIT_VALID_MS = 500
MAX_NUMBER = 2**62


@dataclass(frozen=True)
class Permit:
    """The permission to send one request from ``holds_at`` on, under a limit of ``rate``."""

    rate: float | None
    holds_at: int


@dataclass(frozen=True)
class Denial:
    """When the permit that was denied would hold, and when to ask again at the latest."""

    permit_at: int
    ask_again_at: int


class Permits:
    """The permits of one instance: those that it needs, and those that it issues as an owner.

    ``send`` sends a datagram to an instance by name, and ``reply`` to an address; ``send`` returns
    False if the instance's address is not known. ``find_upstream`` returns a listed upstream.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        rate_limits: RateLimits,
        owners: OwnerTable,
        find_upstream: Callable[[str], Upstream | None],
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._rate_limits = rate_limits
        self._owners = owners
        self._find_upstream = find_upstream
        self._issuer = PermitIssuer()
        self._denials: dict[Incarnation, Denial] = {}
        self._silent_until: dict[str, int] = {}
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._number = random.randrange(MAX_NUMBER)
        self.send: Callable[[str, bytes], bool] = lambda instance, data: False
        self.reply: Callable[[tuple[str, int], bytes], None] = lambda address, data: None
        self.is_evacuated: Callable[[Upstream], bool] = lambda upstream: False
        self.on_report: Callable[[LimitReport, str], None] = lambda report, source: None
        self.on_verdict: Callable[[str], None] = lambda verdict: None

    def covers(self, upstream: Upstream, permit: Permit | None) -> bool:
        """Tell whether a request may be sent to an upstream now, with this permit or without."""
        if not self._rate_limits.is_limited(upstream.incarnation):
            return True
        return (
            permit is not None
            and permit.rate == self._rate_limits.find(upstream.incarnation)
            and self._clock.now() <= permit.holds_at + PERMIT_VALID_MS
        )

    def estimate_wait_ms(self, upstream: Upstream) -> int:
        """Return how long a permit is known to take, 0 if none is needed or it must be asked."""
        denial = self._denials.get(upstream.incarnation)
        now = self._clock.now()
        if denial is None or now >= denial.ask_again_at:
            return 0
        if not self._rate_limits.is_limited(upstream.incarnation):
            return 0
        return max(1, denial.permit_at - now)

    async def acquire(
        self, upstream: Upstream, patience_ms: int, has_alternative: bool
    ) -> Permit | None:
        """Return a permit that holds within ``patience_ms``, or None if there is none.

        ``has_alternative`` is true if another upstream can take the request at once.
        """
        timeout_ms = SHORT_ASK_TIMEOUT_MS if has_alternative else ASK_TIMEOUT_MS
        owners = self._owners.find(upstream)
        for role in OwnerRole:
            owner = owners.find(role)
            if owner is None or self._silent_until.get(owner, 0) > self._clock.now():
                continue
            answer = await self._ask(owner, self._make_ask(upstream, role, patience_ms), timeout_ms)
            if answer is not None and answer.verdict is not Verdict.NOT_OWNER:
                self.on_verdict(answer.verdict.name.lower())
                return self._conclude(upstream, answer)
            if has_alternative:
                break
        self.on_verdict("no_owner")
        self._record_denial(upstream, NO_OWNER_RETRY_MS)
        return None

    def record_unpermitted(self, upstream: Upstream) -> None:
        """Count a request to a limited upstream that could not wait, such as a lease's renewal."""
        if self._rate_limits.is_limited(upstream.incarnation):
            ask = self._make_ask(upstream, OwnerRole.PRIMARY, NO_PERMIT, unpermitted=1)
            self._tell(self._owners.find(upstream).primary, ask)

    def count_earlier_sends(self, upstream: Upstream, sends: int) -> None:
        """Count requests that an upstream got before it was known to be limited.

        Without them, an owner would issue its first permits on top of them.
        """
        if sends > 0 and self._rate_limits.is_limited(upstream.incarnation):
            for role in OwnerRole:
                if self._owners.find(upstream).find(role) == self._instance:
                    self._answer(self._make_ask(upstream, role, NO_PERMIT, unpermitted=sends))

    def tell_owners(self, upstream: Upstream) -> None:
        """Tell the owners of an upstream's permits what is known of its limit."""
        for role in OwnerRole:
            ask = self._make_ask(upstream, role, NO_PERMIT)
            self._tell(self._owners.find(upstream).find(role), ask)

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle an ask or an answer of another instance."""
        now = self._clock.now()
        try:
            message = decode_permit_message(data, now)
        except UnreadablePermitMessage as error:
            write_line(PermitMessageUnreadable(address[0], str(error)))
            return
        # An answer repeats the asker's own report where the receiver is no owner. A temporary limit
        # that was taken from it would end later with each ask, by the delay of the messages.
        if isinstance(message, PermitAsk) or message.limit.until is None:
            self.on_report(message.limit, address[0])
        if isinstance(message, PermitAnswer):
            future = self._pending.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)
            return
        answer = self._answer(message)
        if message.patience_ms != NO_PERMIT:
            self.reply(address, encode_permit_message(answer, now))

    def keep_only(self, is_listed: Callable[[Incarnation], bool]) -> None:
        """Remove what is known of incarnations that are not listed."""
        for incarnation in [one for one in self._denials if not is_listed(one)]:
            del self._denials[incarnation]

    def _make_ask(
        self, upstream: Upstream, role: OwnerRole, patience_ms: int, unpermitted: int = 0
    ) -> PermitAsk:
        self._number += 1
        limit = self._get_limit(upstream.incarnation)
        settled = self._owners.is_settled(self._clock.now())
        return PermitAsk(self._number, limit, role, patience_ms, unpermitted, settled)

    def _get_limit(self, incarnation: Incarnation) -> LimitReport:
        known = self._rate_limits.get_report(incarnation)
        return known if known is not None else LimitReport(incarnation, None, 0)

    def _tell(self, owner: str | None, ask: PermitAsk) -> None:
        if owner == self._instance:
            self._answer(ask)
        elif owner is not None:
            self._transmit(owner, ask)

    async def _ask(self, owner: str, ask: PermitAsk, timeout_ms: int) -> PermitAnswer | None:
        if owner == self._instance:
            return self._answer(ask)
        future: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._pending[ask.number] = future
        try:
            if not self._transmit(owner, ask):
                return None
            async with allow_ms(timeout_ms):
                return await future
        except TimeoutError:
            self._record_silence(owner, timeout_ms)
            return None
        finally:
            del self._pending[ask.number]

    def _record_silence(self, owner: str, timeout_ms: int) -> None:
        now = self._clock.now()
        if self._silent_until.get(owner, 0) <= now:
            write_line(PermitOwnerSilent(owner, timeout_ms))
        self._silent_until[owner] = now + SILENT_OWNER_MS

    def _transmit(self, owner: str, message: PermitMessage) -> bool:
        return self.send(owner, encode_permit_message(message, self._clock.now()))

    def _conclude(self, upstream: Upstream, answer: PermitAnswer) -> Permit | None:
        if answer.verdict is Verdict.GRANTED:
            rate = self._rate_limits.find(upstream.incarnation)
            return Permit(rate, self._clock.now() + answer.wait_ms)
        self._record_denial(upstream, answer.wait_ms)
        return None

    def _record_denial(self, upstream: Upstream, wait_ms: int) -> None:
        now = self._clock.now()
        spread_ms = random.random() * ASK_SPREAD_MS * self._owners.instances
        ask_again_ms = min(wait_ms, MAX_DENIAL_MS) + spread_ms
        self._denials[upstream.incarnation] = Denial(now + wait_ms, now + 1 + round(ask_again_ms))

    def _answer(self, ask: PermitAsk) -> PermitAnswer:
        """Decide on an ask as the owner of the upstream's permits, if this instance is one."""
        incarnation = ask.limit.incarnation
        upstream = self._find_start(incarnation)
        if (
            upstream is None
            or self._owners.find(upstream).find(ask.role) != self._instance
            or self._is_replaced(incarnation)
        ):
            return PermitAnswer(ask.number, Verdict.NOT_OWNER, 0, ask.limit)
        decision = self._decide(ask, upstream)
        verdict = Verdict.GRANTED if decision.granted else Verdict.DENIED
        # The asker knows a temporary limit already: it asked because of it.
        limit = self._rate_limits.get_named_report(incarnation)
        return PermitAnswer(
            ask.number, verdict, decision.wait_ms, limit or LimitReport(incarnation, None, 0)
        )

    def _find_start(self, incarnation: Incarnation) -> Upstream | None:
        """Return the upstream with this start, also one that is later than the listed start.

        The asker may have read the entry of a later start before this instance. Its limit is known
        by the ask; without one, the ask gets no permit, which would have no limit.
        """
        upstream = self._find_upstream(incarnation.name)
        if upstream is None or upstream.born_ms > incarnation.born_ms:
            return None
        if upstream.born_ms == incarnation.born_ms:
            return upstream
        if not self._rate_limits.is_limited(incarnation):
            return None
        return replace(upstream, born_ms=incarnation.born_ms)

    def _is_replaced(self, incarnation: Incarnation) -> bool:
        """Tell whether a later start of the upstream is known, which has its own owners."""
        temporary = self._rate_limits.find_temporary(incarnation)
        return temporary is not None and temporary.rate <= 0

    def _decide(self, ask: PermitAsk, upstream: Upstream) -> PermitDecision:
        incarnation, now = ask.limit.incarnation, self._clock.now()
        rate = self._rate_limits.find(incarnation)
        if rate is None or not self._rate_limits.is_limited(incarnation):
            return PermitDecision(not self.is_evacuated(upstream), 0)
        share = self._owners.find_share(upstream, ask.role, ask.settled, now)
        interval_ms = find_interval_ms(rate, share)
        if ask.unpermitted:
            self._issuer.record_unpermitted(incarnation, interval_ms, ask.unpermitted, now)
        if self.is_evacuated(upstream):
            return PermitDecision(False, MAX_DENIAL_MS)
        return self._issuer.issue(incarnation, interval_ms, ask.patience_ms, now)
