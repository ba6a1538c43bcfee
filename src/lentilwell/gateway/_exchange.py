"""One request from its arrival to its end: places it, sends it, and relays the answer."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass

from lentilwell._log_lines import ExchangeFailed, RefusalBodyDropped, write_line
from lentilwell.gateway._accounting import Accounting
from lentilwell.gateway._admission import judge_choice
from lentilwell.gateway._answer_observer import AnswerObserver
from lentilwell.gateway._answers import answer_failure, clean_headers
from lentilwell.gateway._caller import Caller
from lentilwell.gateway._catalog import Repeat
from lentilwell.gateway._choice import Choice
from lentilwell.gateway._course import (
    AnswerBegun,
    AnswerWhole,
    Broken,
    CallerLeft,
    Course,
    Effect,
    End,
    Ending,
    Event,
    NoPlace,
    Place,
    SaidNotRun,
    Sending,
    TimeOver,
    Unreached,
    advance,
)
from lentilwell.gateway._event_stream import BrokenStream, EventSequence, EventSplitter
from lentilwell.gateway._failures import LinkBroken, LinkError, LinkSilent, Unreachable
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._leases import Leases, LeaseSet, NoMemory
from lentilwell.gateway._link import Link
from lentilwell.gateway._links import Links
from lentilwell.gateway._messages import AnswerHead, Envelope, Reader
from lentilwell.gateway._metrics import Metrics
from lentilwell.gateway._placing import Placing
from lentilwell.gateway._ports import Dialect
from lentilwell.gateway._record import Record
from lentilwell.gateway._routing import Subject
from lentilwell.gateway._upstreams import Upstream

RETRY_AFTER_MS = 300
# The status and headers of a refusal say all; its body is only read to keep the connection.
REFUSAL_BODY_MS = 100


@dataclass(frozen=True)
class Tools:
    """What all exchanges share."""

    fleet: Fleet
    evidence: AnswerObserver
    links: Links
    leases: Leases
    dialect: Dialect
    metrics: Metrics


@dataclass(frozen=True)
class UpstreamFailure:
    """A failure that an upstream answered with, kept to be passed on if nothing better comes."""

    head: AnswerHead
    body: bytes


class Exchange:
    """Serves one request. Cancelling ``run`` means that the caller has left."""

    def __init__(self, tools: Tools, subject: Subject, caller: Caller) -> None:
        self._fleet = tools.fleet
        self._evidence = tools.evidence
        self._links = tools.links
        self._leases = tools.leases
        self._dialect = tools.dialect
        self._clock = tools.fleet.clock
        self._subject = subject
        self._caller = caller
        self._accounting = Accounting(tools.fleet, subject)
        self._record = Record(tools.fleet, tools.metrics, subject)
        self._placing = Placing(tools.fleet, subject, self._record)
        self._course = Course(subject.route.repeat, subject.route.most_upstreams)
        self._excluded: frozenset[str] = frozenset()
        self._tried: frozenset[str] = frozenset()
        self._sequence = EventSequence(subject.facts.last_event)
        self._upstream_failure: UpstreamFailure | None = None
        self._retry_after_ms = RETRY_AFTER_MS
        self._limit: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Serve the request and write its answer."""
        try:
            async with asyncio.timeout(max(0, self._find_left_ms()) / 1_000) as self._limit:
                ending = await self._serve()
        except TimeoutError:
            ending = self._finish(TimeOver())
        except asyncio.CancelledError:
            self._record.note_end(self._finish(CallerLeft()), self._course.sends)
            raise
        except Exception as error:
            write_line(ExchangeFailed(self._subject.request.target.decode("latin-1")), error)
            ending = self._finish(NoPlace())
        self._record.note_end(ending, self._course.sends)
        self._conclude(ending)

    def end_now(self) -> None:
        """The process is about to end: tell the caller what is true by now."""
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(asyncio.get_running_loop().time())

    async def _serve(self) -> Ending:
        effect: Effect = Place(again=False)
        while isinstance(effect, Place):
            effect = await self._try_once(effect)
        return effect.ending

    async def _try_once(self, place: Place) -> Effect:
        """Try one upstream and return what follows."""
        budget = self._fleet.find_budget(self._subject.service)
        if place.again and not budget.take(self._clock.now(), self._fleet.count_instances()):
            return self._decide(NoPlace(), "retry budget spent")
        last_send = self._course.sends + 1 >= self._course.most_sends
        choice = await self._placing.choose(self._excluded, self._course.sends > 0, last_send)
        if choice is None:
            self._retry_after_ms = self._placing.find_return_ms(self._excluded)
            return self._decide(NoPlace(), "no upstream")
        self._record.note_choice(choice, len(self._excluded))
        hopeless = judge_choice(self._subject.route, choice, self._find_left_ms())
        if hopeless is not None and not self._course.delivered:
            self._retry_after_ms = hopeless.retry_after_ms
            expected = f"first event expected in {choice.first_event_ms:.0f} ms"
            return self._decide(NoPlace(), expected)
        self._accounting.book(choice)
        try:
            return await self._reserve_and_send(choice)
        finally:
            self._accounting.unbook(choice)

    async def _reserve_and_send(self, choice: Choice) -> Effect:
        """Set memory aside where the choice needs it, and send the request."""
        try:
            leases = await self._leases.take(choice.helpers)
        except NoMemory as error:
            self._excluded |= {error.upstream}
            return self._decide(Unreached(), str(error))
        try:
            return await self._send(choice, leases)
        finally:
            leases.release()

    def _find_left_ms(self) -> int:
        return self._subject.deadline_at - self._clock.now()

    async def _send(self, choice: Choice, leases: LeaseSet) -> Effect:
        fresh = self._subject.route.repeat is Repeat.NEVER
        try:
            link = await self._links.take(choice.upstream.address, fresh)
        except Unreachable as error:
            self._note_unreachable(choice.upstream, str(error))
            return self._decide(Unreached(), str(error))
        if not self._fleet.accepts_work(choice):
            self._links.give_back(choice.upstream.address, link)
            return self._decide(Unreached(), "closed to new work meanwhile")
        try:
            link.patient = fresh
            self._advance(Sending(anew=choice.upstream.name not in self._tried))
            self._tried |= {choice.upstream.name}
            self._accounting.note_sent()
            self._record.note_send(self._course.sends)
            self._write(link, choice, leases)
            effect = await self._receive(link, choice)
            self._links.give_back(choice.upstream.address, link)
            return effect
        except LinkSilent as error:
            self._excluded |= {choice.upstream.name}
            self._accounting.note_silence(choice, str(error))
            return self._decide(Broken(), str(error))
        except (LinkBroken, BrokenStream) as error:
            self._excluded |= {choice.upstream.name}
            self._accounting.note_failure(choice, str(error))
            return self._decide(Broken(), str(error))
        finally:
            if not link.idle:
                link.close()

    def _write(self, link: Link, choice: Choice, leases: LeaseSet) -> None:
        subject = self._subject
        envelope = Envelope(
            upstream=choice.upstream.name,
            left_ms=max(1, self._find_left_ms()),
            team=subject.team.name if subject.team is not None else None,
            rank=subject.rank,
            resume_after=self._sequence.last,
            readers=tuple(
                Reader(helper.upstream.address, leases.find_ticket(helper.upstream.name))
                for helper in choice.helpers
            ),
        )
        headers = self._dialect.write_headers(subject.request, envelope)
        request = subject.request
        link.send(request.method, request.target, headers, request.body)

    async def _receive(self, link: Link, choice: Choice) -> Effect:
        patience = functools.partial(self._accounting.find_patience, choice)
        head = self._dialect.read_head(await link.read_head(patience))
        self._evidence.handle_head(choice.upstream, head)
        link.idle_limit_ms = head.idle_ms
        link.reusable = link.reusable and not head.closing
        if head.request_id and head.request_id != self._subject.facts.request_id:
            raise LinkBroken(f"the answer belongs to request {head.request_id}")
        if not head.request_id and link.used_before:
            raise LinkBroken("an answer without an id may be the copy of an earlier one")
        if head.not_run:
            return await self._take_refusal(link, head, choice)
        self._accounting.note_accepted(choice)
        if not 200 <= head.status < 300:
            return await self._take_failure(link, head, choice)
        if not head.request_id or not head.signed or head.encoded:
            raise LinkBroken("the answer is not the upstream's own")
        if self._subject.route.streams:
            return await self._relay(link, head, choice)
        body = await link.read_body(patience)
        link.finish()
        self._accounting.note_success(choice)
        return self._pass_on(head, body)

    def _pass_on(self, head: AnswerHead, body: bytes) -> Effect:
        """Write an upstream's whole answer to the caller."""
        self._advance(AnswerBegun())
        self._caller.answer(head.status, clean_headers(head.headers), body)
        return self._decide(AnswerWhole())

    async def _take_refusal(self, link: Link, head: AnswerHead, choice: Choice) -> Effect:
        await self._skip_body(link)
        fault = self._find_fault(head, choice)
        self._excluded |= {fault.name}
        self._record.note_refusal(head.status, fault.name)
        self._accounting.note_refusal(fault)
        if head.misdirected and fault is choice.upstream:
            self._fleet.remove_upstream(fault)
        elif fault is not choice.upstream:
            self._note_unreachable(fault, f"named at fault with status {head.status}")
        reason = f"upstream answered {head.status} without running it"
        return self._decide(SaidNotRun(elsewhere=fault is not choice.upstream), reason)

    async def _skip_body(self, link: Link) -> None:
        try:
            async with asyncio.timeout(REFUSAL_BODY_MS / 1_000):
                await link.read_body()
            link.finish()
        except (TimeoutError, LinkError) as error:
            write_line(RefusalBodyDropped(self._subject.facts.request_id, repr(error)))
            link.close()

    def _find_fault(self, head: AnswerHead, choice: Choice) -> Upstream:
        """Return the upstream that a refusal is due to: the refusing one, or one of its helpers."""
        for helper in choice.helpers:
            if helper.upstream.address == head.at_fault:
                return helper.upstream
        return choice.upstream

    async def _take_failure(self, link: Link, head: AnswerHead, choice: Choice) -> Effect:
        """The upstream ran the request and failed: try elsewhere where allowed, else pass it on."""
        body = await link.read_body(functools.partial(self._accounting.find_patience, choice))
        link.finish()
        self._excluded |= {choice.upstream.name}
        if head.status < 500:
            self._accounting.note_success(choice)
        else:
            self._accounting.note_failure(choice, f"status {head.status}")
        final = self._subject.route.repeat is Repeat.NEVER or head.status < 500
        if final and not self._course.delivered:
            return self._pass_on(head, body)
        self._upstream_failure = UpstreamFailure(head, body)
        return self._decide(Broken(), f"upstream answered {head.status}")

    async def _relay(self, link: Link, head: AnswerHead, choice: Choice) -> Effect:
        """Pass on a stream's events as they come, each once and whole."""
        splitter = EventSplitter()
        patience = functools.partial(self._accounting.find_patience, choice)
        while (data := await link.read_data(patience)) is not None:
            for event in splitter.take(data):
                if not self._sequence.accept(event):
                    continue
                if not self._course.delivered:
                    self._begin_stream(head)
                self._record.note_event()
                self._accounting.note_event(choice)
                await self._caller.write(event.data)
                link.note_progress()
        if splitter.torn:
            raise LinkBroken("the stream ended in the middle of an event")
        if not self._course.delivered:
            self._begin_stream(head)
        link.finish()
        self._accounting.note_success(choice)
        self._caller.end()
        return self._decide(AnswerWhole())

    def _begin_stream(self, head: AnswerHead) -> None:
        self._advance(AnswerBegun())
        self._caller.begin(head.status, clean_headers(head.headers))

    def _conclude(self, ending: Ending) -> None:
        """Write the failure that the ending stands for."""
        if ending in (Ending.WHOLE, Ending.CALLER_GONE):
            return
        if ending is Ending.CUT_OFF:
            self._caller.abort()
            return
        if ending is Ending.NOT_RUN:
            answer_failure(self._caller, 503, "the request has not run", self._retry_after_ms)
        elif self._upstream_failure is not None:
            failure = self._upstream_failure
            headers = clean_headers(failure.head.headers)
            self._caller.answer(failure.head.status, headers, failure.body)
        elif ending is Ending.TIMED_OUT:
            answer_failure(self._caller, 504, "no answer in time", None)
        else:
            answer_failure(self._caller, 502, "the upstream failed", None)

    def _note_unreachable(self, upstream: Upstream, reason: str) -> None:
        self._excluded |= {upstream.name}
        self._accounting.note_unreachable(upstream, reason)

    def _advance(self, event: Event) -> Effect | None:
        self._course, effect = advance(self._course, event)
        return effect

    def _decide(self, event: Event, reason: str = "") -> Effect:
        effect = self._advance(event)
        assert effect is not None
        if reason:
            following = "place" if isinstance(effect, Place) else effect.ending.value
            self._record.note_attempt(reason, self._course.sends, following)
        return effect

    def _finish(self, event: Event) -> Ending:
        effect = self._advance(event)
        assert isinstance(effect, End)
        return effect.ending
