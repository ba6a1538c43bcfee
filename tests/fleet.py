"""Simulated fleet for tests: reducers, simple engines, and a network whose faults a test sets."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._inventory import Engine, Inventory, Model, Team
from lentilwell._messages import Cause, LoadReport, StreamReport
from lentilwell.reducer import _events as ev

MEMORY = 100_000
SLOTS = 6
TICK_MS = 50
REPORT_MS = 250
STALL_TIMEOUT_MS = 3_000
PREFILL_TOKENS_PER_MS = 50
DECODE_MS = 10
ENGINE_DATA_CENTRES = {"e0": "north", "e1": "north", "e2": "north", "e3": "south", "e4": "south"}
INSTANCE_DATA_CENTRES = {"a": "north", "b": "north", "c": "south", "d": "south"}
TEAMS = {"open": (), "bound": ("e0", "e1", "e3")}
MAX_LEAVING_DELAY_MS = 2_000


def make_inventory(version=1, data_centres=ENGINE_DATA_CENTRES, teams=TEAMS):
    engines = {
        name: Engine(name, "http://127.0.0.1", data_centre, ("m",), MEMORY, SLOTS)
        for name, data_centre in data_centres.items()
    }
    return Inventory(
        version=version,
        engines=pmap(engines),
        models=pmap({"m": Model("m", 1_000_000)}),
        teams=pmap({name: Team(name, 1, (), engines=allowed) for name, allowed in teams.items()}),
    )


@dataclass
class Stream:
    stream: str
    owner: Identity
    memory: int
    prompt: int
    primary: bool
    index: int
    answer: int
    opened_at: int
    prefilled: int = 0
    spare_ms: int = 0

    @property
    def is_prefilled(self):
        return self.prefilled == self.prompt


@dataclass
class FakeEngine:
    name: str
    data_centre: str
    incarnation: int = 1
    alive: bool = True
    leaving: bool = False
    leaving_since: int = 0
    sequence: int = 0
    streams: dict[str, Stream] = field(default_factory=dict)
    snapshot: LoadReport | None = None

    def used(self):
        return sum(stream.memory for stream in self.streams.values())

    def refusal(self, memory):
        if not self.alive:
            return Cause.CONNECT
        if self.leaving:
            return Cause.LEAVING
        full = self.used() + memory > MEMORY or len(self.streams) >= SLOTS
        return Cause.REFUSED if full else None

    def step(self, ms):
        budget = ms * PREFILL_TOKENS_PER_MS
        for stream in sorted(self.streams.values(), key=lambda s: (s.prompt, s.stream)):
            prefilled_now = min(budget, stream.prompt - stream.prefilled)
            stream.prefilled += prefilled_now
            budget -= prefilled_now
            if stream.primary and stream.prefilled == stream.prompt:
                stream.spare_ms += ms
                new_tokens, stream.spare_ms = divmod(stream.spare_ms, DECODE_MS)
                stream.index = min(stream.answer, stream.index + new_tokens)

    def report(self):
        self.sequence += 1
        shown = tuple(
            StreamReport(
                s.stream,
                s.owner.instance,
                s.owner.incarnation,
                s.memory,
                s.prompt,
                s.prefilled,
                s.index,
            )
            for s in self.streams.values()
        )
        return LoadReport(
            self.name,
            str(self.incarnation),
            self.sequence,
            self.leaving,
            MEMORY,
            self.used(),
            SLOTS,
            shown,
            ("m",),
        )


@dataclass
class Caller:
    request: Request
    delivered: int = 0
    outcomes: list[object] = field(default_factory=list)


@dataclass
class OpenAttempt:
    """An attempt whose answer an instance is reading from its engines."""

    caller: Caller
    placements: tuple
    last_contact_at: int
    first_seen: bool = False
    failed: bool = False


@dataclass
class Instance:
    state: State
    alive: bool = True
    paused: bool = False
    resumed_at: int = 0
    inbox: list[ev.Event] = field(default_factory=list)
    open_attempts: dict[str, OpenAttempt] = field(default_factory=dict)

    @property
    def identity(self):
        return self.state.identity


class Fleet:
    """Simulates instances, engines, callers and the network between them.

    ``fault_rate`` is the share of messages that are lost, late or repeated.
    """

    def __init__(
        self,
        seed=0,
        fault_rate=0.0,
        instance_data_centres=INSTANCE_DATA_CENTRES,
        data_centres=ENGINE_DATA_CENTRES,
        teams=TEAMS,
    ):
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.now = 1_000
        self.queue = []
        self.scheduled = 0
        self.partitioned = False
        self.healed_at = 0
        self.lose_cancels = False
        self.inventory = make_inventory(data_centres=data_centres, teams=teams)
        self.engines = {
            name: FakeEngine(name, data_centre) for name, data_centre in data_centres.items()
        }
        self.instances = {}
        self.callers = {}
        self.killed_requests = set()
        self.started = []
        self.instance_data_centres = instance_data_centres
        for name in instance_data_centres:
            self.start_instance(name)
        self.advance(2 * REPORT_MS)

    def start_instance(self, name):
        old = self.instances.get(name)
        incarnation = 1 if old is None else int(old.identity.incarnation) + 1
        seed = self.random.randrange(1 << 60)
        state = State(
            Identity(name, str(incarnation), self.instance_data_centres[name]), random=seed
        )
        self.instances[name] = Instance(state, resumed_at=self.now)
        self.apply(self.instances[name], ev.InventoryAccepted(self.now, self.inventory))

    def live_instances(self):
        return [i for i in self.instances.values() if i.alive]

    def schedule(self, delay, action):
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now + delay, self.scheduled, action))

    def send(self, action, may_fail=True):
        """Send a message; ``fault_rate`` decides whether it is lost, late or repeated."""
        draw = self.random.random() / self.fault_rate if self.fault_rate and may_fail else 3.0
        if draw < 1 / 3:
            return
        self.schedule(self.random.choice((700, 1_500, 4_000)) if draw < 2 / 3 else 2, action)
        if 2 / 3 <= draw < 1:
            self.schedule(900, action)

    def can_reach(self, data_centre, other):
        return not self.partitioned or data_centre == other

    def deliver_event(self, instance, event):
        if not instance.alive:
            return
        if instance.paused:
            instance.inbox.append(event)
        else:
            self.apply(instance, event)

    def apply(self, instance, event):
        event = replace(event, at=self.now)
        instance.state, effects = reduce(instance.state, event)
        for effect in effects:
            getattr(self, f"run_{type(effect).__name__}")(instance, effect)

    def run_StartAttempt(self, instance, effect):  # noqa: N802
        caller = self.callers[effect.request.request_id]
        assert effect.first_index <= caller.delivered
        allowed = instance.state.inventory.teams[effect.request.team].engines
        assert len({ENGINE_DATA_CENTRES.get(p.engine, "north") for p in effect.placements}) == 1
        assert sum(p.memory_tokens for p in effect.placements) == effect.request.memory_tokens
        for share in effect.placements:
            assert not allowed or share.engine in allowed
            self.check_leaving(instance, self.engines[share.engine])
        self.started.append((instance.identity.instance, effect))
        instance.open_attempts[effect.attempt_id] = OpenAttempt(caller, effect.placements, self.now)
        remaining = effect.request.prompt_tokens
        for position, share in enumerate(effect.placements):
            answer = effect.request.answer_tokens if position == 0 else 0
            prompt = min(remaining, share.memory_tokens - answer)
            remaining -= prompt
            stream = Stream(
                effect.attempt_id,
                instance.identity,
                share.memory_tokens,
                prompt,
                position == 0,
                caller.delivered,
                effect.request.answer_tokens,
                self.now,
            )
            slow = self.fault_rate and self.random.random() < self.fault_rate / 4
            delay = 1_500 if slow else 1 + position
            self.schedule(delay, lambda e=share.engine, s=stream: self.open(instance, e, s))
        assert remaining == 0

    def check_leaving(self, instance, engine):
        since = max(engine.leaving_since, instance.resumed_at, self.healed_at)
        reachable = self.can_reach(instance.identity.data_centre, engine.data_centre)
        late = (
            engine.leaving
            and engine.alive
            and reachable
            and self.now - since > MAX_LEAVING_DELAY_MS
        )
        assert not late, "new work to a leaving upstream"

    def open(self, instance, name, stream):
        engine = self.engines[name]
        if not self.can_reach(instance.identity.data_centre, engine.data_centre):
            self.fail(instance, stream.stream, name, Cause.CONNECT)
            return
        cause = engine.refusal(stream.memory)
        if cause is not None:
            self.fail(instance, stream.stream, name, cause)
        elif stream.stream not in engine.streams:
            engine.streams[stream.stream] = stream
            assert engine.used() <= MEMORY

    def fail(self, instance, attempt_id, engine, cause):
        attempt = instance.open_attempts.get(attempt_id)
        if attempt is not None and not attempt.failed:
            attempt.failed = True
            tokens = attempt.caller.delivered
            self.deliver_event(
                instance, ev.AttemptFailed(self.now, attempt_id, engine, cause, tokens)
            )

    def run_ResumeAttempt(self, instance, effect):  # noqa: N802
        attempt = instance.open_attempts[effect.attempt_id]
        attempt.failed, attempt.last_contact_at = False, self.now
        for share in attempt.placements:
            engine = self.engines[share.engine]
            if not engine.alive or not self.can_reach(
                instance.identity.data_centre, engine.data_centre
            ):
                self.schedule(
                    1, lambda e=share.engine: self.fail_resumed(instance, effect, e, Cause.CONNECT)
                )
            elif effect.attempt_id not in engine.streams:
                self.schedule(
                    1, lambda e=share.engine: self.fail_resumed(instance, effect, e, Cause.REFUSED)
                )

    def fail_resumed(self, instance, effect, engine, cause):
        self.fail(instance, effect.attempt_id, engine, cause)

    def run_CancelAttempt(self, instance, effect):  # noqa: N802
        instance.open_attempts.pop(effect.attempt_id, None)

    def run_ChangePriority(self, instance, effect):  # noqa: N802
        pass

    def run_EndRequest(self, instance, effect):  # noqa: N802
        self.end(effect.request_id, effect.failure)

    def end(self, request_id, outcome):
        caller = self.callers[request_id]
        assert not caller.outcomes, "a request ended twice"
        caller.outcomes.append(outcome)

    def run_CancelStream(self, instance, effect):  # noqa: N802
        def cancel():
            engine = self.engines[effect.engine]
            reachable = self.can_reach(instance.identity.data_centre, engine.data_centre)
            if engine.alive and reachable and not self.lose_cancels:
                engine.streams.pop(effect.stream, None)
                confirmed = ev.CancelConfirmed(self.now, effect.engine, effect.stream)
                self.send(lambda: self.deliver_event(instance, confirmed))

        self.send(cancel)

    def run_SendDigest(self, instance, effect):  # noqa: N802
        for name in self.instance_data_centres:
            if name != instance.identity.instance:
                self.send(
                    lambda n=name: self.send_to_peer(instance, n, ev.DigestReceived, effect.digest)
                )

    def send_to_peer(self, sender, name, event_type, *fields):
        peer = self.instances[name]
        if peer.alive and self.can_reach(sender.identity.data_centre, peer.identity.data_centre):
            self.deliver_event(peer, event_type(self.now, *fields))
            return True
        return False

    def run_AskGrant(self, instance, effect):  # noqa: N802
        def ask():
            if not self.send_to_peer(instance, effect.owner, ev.GrantAsked, effect.ask):
                unanswered = ev.GrantUnanswered(self.now, effect.ask.grant_id, effect.ask.engine)
                self.deliver_event(instance, unanswered)

        self.send(ask)

    def run_AnswerGrant(self, instance, effect):  # noqa: N802
        self.send(lambda: self.send_to_peer(instance, effect.peer, ev.GrantAnswered, effect.answer))

    def advance(self, ms, tick_ms=TICK_MS):
        for _ in range(0, ms, tick_ms):
            end_at = self.now + tick_ms
            while self.queue and self.queue[0][0] <= end_at:
                due, _, action = heapq.heappop(self.queue)
                self.now = max(self.now, due)
                action()
            self.now = end_at
            for engine in self.engines.values():
                if engine.alive:
                    engine.step(tick_ms)
            for instance in self.live_instances():
                if not instance.paused:
                    self.read(instance)
                    self.apply(instance, ev.TickPassed(self.now))
            if self.now % REPORT_MS < tick_ms:
                self.report()
            self.check()

    def read(self, instance):
        """Deliver new tokens of the open attempts, and fail attempts that have stalled."""
        data_centre = instance.identity.data_centre
        for attempt_id, attempt in list(instance.open_attempts.items()):
            primary = self.engines[attempt.placements[0].engine]
            engines = [self.engines[share.engine] for share in attempt.placements]
            if attempt.failed or attempt_id not in instance.open_attempts:
                continue
            if all(
                attempt_id in p.streams and self.can_reach(data_centre, p.data_centre)
                for p in engines
            ):
                attempt.last_contact_at = self.now
                stream = primary.streams[attempt_id]
                all_prefilled = all(p.streams[attempt_id].is_prefilled for p in engines)
                if all_prefilled and stream.index > attempt.caller.delivered:
                    self.deliver_tokens(instance, attempt_id, attempt, stream)
            elif self.now - attempt.last_contact_at > STALL_TIMEOUT_MS:
                self.fail(instance, attempt_id, attempt.placements[-1].engine, Cause.STALLED)

    def deliver_tokens(self, instance, attempt_id, attempt, stream):
        caller = attempt.caller
        caller.delivered = stream.index
        if not attempt.first_seen:
            attempt.first_seen = True
            self.deliver_event(instance, ev.FirstTokenSeen(self.now, attempt_id))
        if stream.index < stream.answer or attempt_id not in instance.open_attempts:
            return
        instance.open_attempts.pop(attempt_id)
        self.engines[attempt.placements[0].engine].streams.pop(attempt_id)
        self.end(caller.request.request_id, None)
        self.deliver_event(instance, ev.AttemptFinished(self.now, attempt_id, stream.index))

    def report(self):
        for engine in self.engines.values():
            shown, engine.snapshot = engine.snapshot, engine.report() if engine.alive else None
            for instance in self.live_instances():
                reachable = self.can_reach(instance.identity.data_centre, engine.data_centre)
                if engine.alive and reachable and shown is not None:
                    event = ev.LoadReported(self.now, shown)
                elif engine.alive and reachable:
                    continue
                else:
                    event = ev.LoadUnreadable(self.now, engine.name)
                self.send(lambda i=instance, e=event: self.deliver_event(i, e))

    def check(self):
        for instance in self.live_instances():
            if instance.paused:
                continue
            open_ids = [*instance.state.waiting, *instance.state.in_hand]
            for request_id in open_ids:
                deadline_at = self.callers[request_id].request.deadline_at
                assert self.now <= deadline_at + 2 * TICK_MS, "a request outlived its deadline"

    def arrive(self, name, prompt, answer=5, team="open", deadline_ms=20_000):
        instance = self.instances[name]
        if not instance.alive or instance.paused:
            return None
        request_id = f"r{len(self.callers)}"
        request = Request(request_id, team, "m", prompt, answer, self.now, self.now + deadline_ms)
        self.callers[request_id] = Caller(request)
        self.apply(instance, ev.RequestArrived(self.now, request))
        return request_id

    def kill_engine(self, name, silent=False):
        engine = self.engines[name]
        lost_streams, engine.streams, engine.alive = list(engine.streams), {}, False
        engine.snapshot = None
        for instance in self.live_instances():
            for attempt_id in lost_streams:
                if not silent:
                    self.fail(instance, attempt_id, name, Cause.BROKEN)

    def start_engine(self, name):
        engine = self.engines[name]
        if not engine.alive:
            engine.alive, engine.leaving, engine.incarnation = True, False, engine.incarnation + 1
            engine.sequence = 0

    def leave(self, name):
        engine = self.engines[name]
        if engine.alive and not engine.leaving:
            engine.leaving, engine.leaving_since = True, self.now

    def kill_instance(self, name):
        instance = self.instances[name]
        instance.alive = False
        for request_id in (*instance.state.waiting, *instance.state.in_hand):
            self.killed_requests.add(request_id)

    def pause(self, name):
        self.instances[name].paused = True

    def resume(self, name):
        instance = self.instances[name]
        if instance.alive and instance.paused:
            instance.paused, instance.resumed_at = False, self.now
            events, instance.inbox = instance.inbox, []
            for event in events:
                self.apply(instance, event)

    def partition(self, partitioned):
        if self.partitioned and not partitioned:
            self.healed_at = self.now
        self.partitioned = partitioned

    def change_teams(self, allowed):
        teams = {"open": (), "bound": allowed}
        data_centres = {name: engine.data_centre for name, engine in self.engines.items()}
        self.inventory = make_inventory(self.inventory.version + 1, data_centres, teams)
        for instance in self.live_instances():
            event = ev.InventoryAccepted(self.now, self.inventory)
            self.schedule(
                self.random.randrange(2_000), lambda i=instance, e=event: self.deliver_event(i, e)
            )

    def drain_and_check(self, ms=80_000):
        """Repair all faults, run until all requests have ended, and check that no state is left."""
        self.fault_rate, self.lose_cancels = 0.0, False
        self.partition(False)
        for name in self.engines:
            if self.engines[name].leaving:
                self.kill_engine(name)
            self.start_engine(name)
        for name in self.instance_data_centres:
            self.resume(name)
        end_at = self.now + ms
        while self.now < end_at and not self.is_drained():
            self.advance(5_000, tick_ms=250)
        self.check_drained()

    def is_drained(self):
        try:
            self.check_drained()
        except AssertionError:
            return False
        return True

    def check_drained(self):
        for request_id, caller in self.callers.items():
            assert (
                caller.outcomes or request_id in self.killed_requests
            ), f"{request_id} never ended"
            if caller.outcomes and caller.outcomes[0] is None:
                assert caller.delivered == caller.request.answer_tokens
        for engine in self.engines.values():
            assert not engine.streams, f"{engine.name} holds {list(engine.streams)}"
        for instance in self.live_instances():
            check_empty(instance.state)


def check_empty(state):
    """Check that a state has no allocation, wait or mark left after all requests have ended."""
    kept = ("attempts", "waiting", "in_hand", "by_engine", "cancels", "asks", "grants")
    for name in (*kept, "held_until", "peer_use", "sightings", "leaving", "peer_marks"):
        assert not getattr(state, name), (state.identity, name, getattr(state, name))
    for view in state.engines.values():
        assert (view.own_streams, view.own_memory, view.own_backlog) == (0, 0, 0), view
        assert not view.leaving
