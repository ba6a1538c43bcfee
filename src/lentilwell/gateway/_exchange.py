"""One request from its arrival to its end: places it, sends it, and relays the answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from loguru import logger

from lentilwell.gateway._admission import judge_choice
from lentilwell.gateway._books import Job
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
from lentilwell.gateway._failures import LinkBroken, LinkSilent, Unreachable
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._leases import Leases, LeaseSet, NoMemory
from lentilwell.gateway._link import Link
from lentilwell.gateway._links import Links
from lentilwell.gateway._messages import (
    AnswerHead,
    Envelope,
    Headers,
    Reader,
    drop_headers,
)
from lentilwell.gateway._metrics import Metrics
from lentilwell.gateway._patience import find_patience
from lentilwell.gateway._ports import Dialect
from lentilwell.gateway._routing import Subject
from lentilwell.gateway._upstreams import Upstream

LONGEST_BODY_BYTES = 16_777_216
RETRY_AFTER_MS = 300
FRAMING = frozenset((b"content-length",))


@dataclass(frozen=True)
class Tools:
    """What all exchanges share."""

    fleet: Fleet
    links: Links
    leases: Leases
    dialect: Dialect
    metrics: Metrics


class Exchange:
    """Serves one request. Cancelling ``run`` means that the caller has left."""

    def __init__(self, tools: Tools, subject: Subject, caller: Caller) -> None:
        self._fleet = tools.fleet
        self._links = tools.links
        self._leases = tools.leases
        self._dialect = tools.dialect
        self._metrics = tools.metrics
        self._clock = tools.fleet.clock
        self._subject = subject
        self._caller = caller
        self._course = Course(subject.route.repeat, subject.route.most_upstreams)
        self._excluded: frozenset[str] = frozenset()
        self._tried: frozenset[str] = frozenset()
        self._sequence = EventSequence(subject.facts.last_event)
        self._server_failure: tuple[AnswerHead, bytes] | None = None
        self._first_ms: int | None = None
        self._last_event_at = 0
        self._sent_at = 0
        self._pace_learned = False
        self._longest_pause_ms = 0
        self._upstream = ""
        self._expected_ms = 0
        self._retry_after_ms = RETRY_AFTER_MS
        self._helpers = 0

    async def run(self) -> None:
        """Serve the request and write its answer."""
        try:
            async with asyncio.timeout(max(0, self._find_left_ms()) / 1_000):
                ending = await self._serve()
        except TimeoutError:
            ending = self._finish(TimeOver())
        except asyncio.CancelledError:
            self._log(self._finish(CallerLeft()))
            raise
        self._log(ending)
        self._conclude(ending)

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
        choice = self._choose()
        if choice is None:
            return self._decide(NoPlace(), "no upstream")
        hopeless = judge_choice(self._subject.route, choice, self._find_left_ms())
        if hopeless is not None and not self._course.delivered:
            self._retry_after_ms = hopeless.retry_after_ms
            self._log_choice(choice)
            return self._decide(
                NoPlace(), f"first event expected in {choice.first_event_ms:.0f} ms"
            )
        self._upstream = choice.upstream.name
        self._helpers = len(choice.helpers)
        waited_ms = self._clock.now() - self._subject.request.arrived_at
        self._expected_ms = round(waited_ms + choice.first_event_ms)
        self._log_choice(choice)
        self._book(choice)
        try:
            return await self._reserve_and_send(choice)
        finally:
            self._unbook(choice)

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

    def _choose(self) -> Choice | None:
        subject = self._subject
        return self._fleet.choose(
            subject.service,
            subject.route,
            subject.facts.prompt,
            subject.request.arrived_at,
            self._excluded,
        )

    async def _send(self, choice: Choice, leases: LeaseSet) -> Effect:
        fresh = self._subject.route.repeat is Repeat.NEVER
        try:
            link = await self._links.take(choice.upstream.address, fresh)
        except Unreachable as error:
            self._note_unreachable(choice.upstream, str(error))
            return self._decide(Unreached(), str(error))
        try:
            link.patient = fresh
            self._advance(Sending(anew=choice.upstream.name not in self._tried))
            self._tried |= {choice.upstream.name}
            self._sent_at = self._clock.now()
            self._pace_learned = False
            self._metrics.count_send(self._subject.service, self._course.sends > 1)
            self._write(link, choice, leases)
            effect = await self._receive(link, choice)
            self._links.give_back(choice.upstream.address, link)
            return effect
        except LinkSilent as error:
            self._note_unreachable(choice.upstream, str(error))
            return self._decide(Broken(), str(error))
        except (LinkBroken, BrokenStream) as error:
            self._excluded |= {choice.upstream.name}
            self._note_failure(choice, str(error))
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
        head = self._dialect.read_head(await link.read_head(lambda: self._find_patience(choice)))
        link.idle_limit_ms = head.idle_ms
        link.reusable = link.reusable and not head.closing
        if head.request_id and head.request_id != self._subject.facts.request_id:
            raise LinkBroken(f"the answer belongs to request {head.request_id}")
        if head.not_run:
            return await self._take_refusal(link, head, choice)
        if not 200 <= head.status < 300:
            return await self._take_failure(link, head, choice)
        if not head.signed or head.encoded:
            raise LinkBroken("the answer is not the upstream's own")
        if self._subject.route.streams:
            return await self._relay(link, head, choice)
        body = await _read_body(link)
        link.finish()
        self._note_success(choice)
        self._advance(AnswerBegun())
        self._caller.answer(head.status, clean(head.headers), body)
        return self._decide(AnswerWhole())

    async def _take_refusal(self, link: Link, head: AnswerHead, choice: Choice) -> Effect:
        await _read_body(link)
        link.finish()
        fault = self._find_fault(head, choice)
        self._excluded |= {fault.name}
        logger.info(
            "upstream refused",
            request=self._subject.facts.request_id,
            upstream=choice.upstream.name,
            status=head.status,
            at_fault=fault.name,
        )
        if head.misdirected and fault is choice.upstream:
            self._fleet.forget(fault)
        elif fault is not choice.upstream:
            self._note_unreachable(fault, f"named at fault with status {head.status}")
        reason = f"upstream answered {head.status} without running it"
        return self._decide(SaidNotRun(elsewhere=fault is not choice.upstream), reason)

    def _find_fault(self, head: AnswerHead, choice: Choice) -> Upstream:
        """Return the upstream that a refusal is due to: the refusing one, or one of its helpers."""
        for helper in choice.helpers:
            if helper.upstream.address == head.at_fault:
                return helper.upstream
        return choice.upstream

    async def _take_failure(self, link: Link, head: AnswerHead, choice: Choice) -> Effect:
        """The upstream ran the request and failed: try elsewhere where allowed, else pass it on."""
        body = await _read_body(link)
        link.finish()
        self._excluded |= {choice.upstream.name}
        if head.status < 500:
            self._note_success(choice)
        else:
            self._note_failure(choice, f"status {head.status}")
        if self._subject.route.repeat is Repeat.NEVER or head.status < 500:
            self._advance(AnswerBegun())
            self._caller.answer(head.status, clean(head.headers), body)
            return self._decide(AnswerWhole())
        self._server_failure = (head, body)
        return self._decide(Broken(), f"upstream answered {head.status}")

    async def _relay(self, link: Link, head: AnswerHead, choice: Choice) -> Effect:
        """Pass on a stream's events as they come, each once and whole."""
        splitter = EventSplitter()
        while (data := await link.read_data(lambda: self._find_patience(choice))) is not None:
            for event in splitter.take(data):
                if not self._sequence.accept(event):
                    continue
                if not self._course.delivered:
                    self._begin_stream(head)
                self._note_event(choice)
                self._note_read(choice)
                await self._caller.write(event.data)
        if splitter.torn:
            raise LinkBroken("the stream ended in the middle of an event")
        if not self._course.delivered:
            self._begin_stream(head)
        link.finish()
        self._note_success(choice)
        self._caller.end()
        return self._decide(AnswerWhole())

    def _note_event(self, choice: Choice) -> None:
        now = self._clock.now()
        if not self._pace_learned:
            self._learn_pace(choice, now)
        if self._first_ms is None:
            self._first_ms = now - self._subject.request.arrived_at
        else:
            self._longest_pause_ms = max(self._longest_pause_ms, now - self._last_event_at)
        self._last_event_at = now

    def _learn_pace(self, choice: Choice, now: int) -> None:
        """Compare the first event of this send with its estimate; helpers blur who was slow."""
        self._pace_learned = True
        if not choice.helpers and choice.first_event_ms:
            expected_ms = choice.first_event_ms / choice.pace
            actual_ms = float(now - self._sent_at)
            self._fleet.paces.learn(choice.upstream.name, expected_ms, actual_ms, now)

    def _begin_stream(self, head: AnswerHead) -> None:
        self._advance(AnswerBegun())
        self._caller.begin(head.status, clean(head.headers))

    def _conclude(self, ending: Ending) -> None:
        """Write the failure that the ending stands for."""
        if ending in (Ending.WHOLE, Ending.CALLER_GONE):
            return
        if ending is Ending.CUT_OFF:
            self._caller.abort()
            return
        if ending is Ending.NOT_RUN:
            answer_failure(self._caller, 503, "the request has not run", self._retry_after_ms)
        elif self._server_failure is not None:
            head, body = self._server_failure
            self._caller.answer(head.status, clean(head.headers), body)
        elif ending is Ending.TIMED_OUT:
            answer_failure(self._caller, 504, "no answer in time", None)
        else:
            answer_failure(self._caller, 502, "the upstream failed", None)

    def _book(self, choice: Choice) -> None:
        prompt = self._subject.facts.prompt
        needed = prompt.memory_tokens if prompt is not None else 0
        spread = sum(helper.memory_tokens for helper in choice.helpers)
        self._book_one(choice, choice.upstream.name, needed - spread, writes=True)
        for helper in choice.helpers:
            self._book_one(choice, helper.upstream.name, helper.memory_tokens, writes=False)

    def _book_one(self, choice: Choice, upstream: str, memory_tokens: int, writes: bool) -> None:
        job = Job(
            name=self._subject.facts.request_id,
            upstream=upstream,
            begun_at=self._clock.now(),
            read_ms=choice.read_ms,
            memory_tokens=memory_tokens,
            writes=writes,
            due_at=self._subject.request.arrived_at + self._subject.route.objective_ms,
            pause_ms=self._subject.route.pause_ms,
            weight=choice.weight,
            spread=bool(choice.helpers),
        )
        self._fleet.books.add(job)

    def _note_read(self, choice: Choice) -> None:
        self._fleet.books.note_read(self._subject.facts.request_id, choice.names)

    def _unbook(self, choice: Choice) -> None:
        self._fleet.books.remove(self._subject.facts.request_id, choice.names)

    def _note_success(self, choice: Choice) -> None:
        self._fleet.ejection.note_success(choice.upstream.name)

    def _note_failure(self, choice: Choice, reason: str) -> None:
        if self._fleet.ejection.note_failure(choice.upstream.name, self._clock.now()):
            logger.info("upstream ejected", upstream=choice.upstream.name, reason=reason)

    def _note_unreachable(self, upstream: Upstream, reason: str) -> None:
        self._excluded |= {upstream.name}
        self._fleet.ejection.note_unreachable(upstream.name, self._clock.now())
        logger.info("upstream unreachable", upstream=upstream.name, reason=reason)

    def _find_patience(self, choice: Choice) -> int | None:
        """Return how long the upstream may be silent from now on."""
        route = self._subject.route
        engine = self._fleet.find_engine(self._subject.service)
        now = self._clock.now()
        loads = [self._fleet.books.measure(name, now) for name in choice.names]
        load = max(loads, key=lambda one: one.backlog_ms)
        pace = self._fleet.paces.find(choice.upstream.name, now)
        first_ms = choice.first_event_ms if self._first_ms is None else None
        return find_patience(route, engine, load, first_ms, pace)

    def _advance(self, event: Event) -> Effect | None:
        self._course, effect = advance(self._course, event)
        return effect

    def _decide(self, event: Event, reason: str = "") -> Effect:
        effect = self._advance(event)
        assert effect is not None
        if reason:
            logger.info(
                "attempt ended",
                request=self._subject.facts.request_id,
                upstream=self._upstream,
                reason=reason,
                sends=self._course.sends,
                next="place" if isinstance(effect, Place) else effect.ending.value,
            )
        return effect

    def _finish(self, event: Event) -> Ending:
        effect = self._advance(event)
        assert isinstance(effect, End)
        return effect.ending

    def _log_choice(self, choice: Choice) -> None:
        """Log where the request goes, and the newest and oldest of what decided it."""
        fleet, now = self._fleet, self._clock.now()
        load = fleet.books.measure(choice.upstream.name, now)
        logger.info(
            "request placed",
            request=self._subject.facts.request_id,
            service=self._subject.service,
            configuration=self._subject.catalog_version,
            listing=fleet.listing_version,
            upstream=choice.upstream.name,
            helpers=len(choice.helpers),
            expected_first_ms=round(choice.first_event_ms),
            upstream_jobs=len(load.jobs),
            upstream_backlog_ms=round(load.backlog_ms),
            oldest_digest_ms=fleet.find_digest_age(),
            excluded=len(self._excluded),
        )

    def _log(self, ending: Ending) -> None:
        prompt = self._subject.facts.prompt
        total_ms = self._clock.now() - self._subject.request.arrived_at
        self._metrics.count_end(self._subject.service, ending.value, total_ms)
        if self._first_ms is not None:
            self._metrics.count_stream(prompt, self._first_ms, self._longest_pause_ms)
        logger.info(
            "request ended",
            request=self._subject.facts.request_id,
            route=self._subject.route.name,
            configuration=self._subject.catalog_version,
            upstream=self._upstream,
            outcome=ending.value,
            team=self._subject.team.name if self._subject.team is not None else None,
            service=self._subject.service,
            sends=self._course.sends,
            first_ms=self._first_ms,
            expected_first_ms=self._expected_ms,
            longest_pause_ms=self._longest_pause_ms,
            helpers=self._helpers,
            tokens=prompt.prompt_tokens if prompt is not None else None,
            total_ms=total_ms,
        )


def clean(headers: Headers) -> Headers:
    """Return the headers of an answer without those that concern one connection."""
    return drop_headers(headers, FRAMING)


def answer_failure(caller: Caller, status: int, reason: str, retry_after_ms: int | None) -> None:
    """Answer with a failure of the gateway's own."""
    headers: Headers = ((b"Content-Type", b"application/json"),)
    if retry_after_ms is not None:
        headers = (*headers, (b"Retry-After", f"{retry_after_ms / 1_000:.3f}".encode()))
    caller.answer(status, headers, b'{"error":"%s"}' % reason.encode())


async def _read_body(link: Link) -> bytes:
    parts: list[bytes] = []
    size = 0
    while (data := await link.read_data()) is not None:
        parts.append(data)
        size += len(data)
        if size > LONGEST_BODY_BYTES:
            raise LinkBroken(f"the answer is longer than {LONGEST_BODY_BYTES} bytes")
    return b"".join(parts)
