"""How each effect of the reducer is carried out on the engines and the callers' side."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from result import Result

from lentilwell._clock import Clock
from lentilwell._inventory import Engine, Inventory
from lentilwell._messages import Identity
from lentilwell._ports import EngineControl, EngineUnreadable
from lentilwell.adapters import OpenStream
from lentilwell.forwarding._streams import Exchange
from lentilwell.forwarding._transfer import StreamTarget, TransferLoop
from lentilwell.reducer import (
    CancelAttempt,
    CancelConfirmed,
    CancelStream,
    ChangePriority,
    EndRequest,
    ReducerWorker,
    ResumeAttempt,
    StartAttempt,
    State,
)


@dataclass(frozen=True)
class RunnerContext:
    """What the runners need of the process; ``call_later`` takes tasks that block."""

    identity: Identity
    clock: Clock
    core: ReducerWorker
    engines: EngineControl
    transfer: TransferLoop
    call_later: Callable[[Callable[[], None]], None]


def register_runners(app: RunnerContext) -> None:
    """Register how each effect of the reducer is carried out."""

    @app.core.register_runner(StartAttempt)
    def start_attempt(state: State, effect: StartAttempt) -> None:
        inventory = state.inventory
        if inventory is None:
            return

        def make_targets(exchange: Exchange) -> list[StreamTarget]:
            return list_targets(app.identity, effect, exchange, inventory)

        app.transfer.open_attempt(effect.attempt_id, effect.request.request_id, make_targets)

    @app.core.register_runner(ResumeAttempt)
    def resume_attempt(_state: State, effect: ResumeAttempt) -> None:
        app.transfer.resume_attempt(effect.attempt_id)

    @app.core.register_runner(CancelAttempt)
    def cancel_attempt(_state: State, effect: CancelAttempt) -> None:
        app.transfer.drop_attempt(effect.attempt_id)

    @app.core.register_runner(EndRequest)
    def end_request(_state: State, effect: EndRequest) -> None:
        app.transfer.end_exchange(effect.request_id, effect.failure)

    @app.core.register_runner(CancelStream)
    def cancel_stream(state: State, effect: CancelStream) -> None:
        engine = find_engine(state, effect.engine)
        if engine is None:
            return

        def cancel() -> None:
            if app.engines.cancel_stream(engine.url, effect.stream).is_ok():
                app.core.post(CancelConfirmed(app.clock.now(), effect.engine, effect.stream))

        app.call_later(cancel)

    @app.core.register_runner(ChangePriority)
    def change_priority(state: State, effect: ChangePriority) -> None:
        attempt = state.attempts.get(effect.attempt_id)
        for share in attempt.placements if attempt is not None else ():
            engine = find_engine(state, share.engine)
            if engine is not None:
                change = partial(app.engines.change_priority, engine.url)
                app.call_later(partial(_run, change, effect.attempt_id, effect.priority))


def _run(
    change: Callable[[str, int], Result[None, EngineUnreadable]], stream: str, priority: int
) -> None:
    """Change a priority; a change that is lost costs order only, so it is not repeated."""
    change(stream, priority)


def find_engine(state: State, name: str) -> Engine | None:
    """Return an engine of the inventory in force, or one that still has streams in hand."""
    view = state.engines.get(name)
    return None if view is None else view.spec


def list_targets(
    identity: Identity, effect: StartAttempt, exchange: Exchange, inventory: Inventory
) -> list[StreamTarget]:
    """Return the streams to open for an attempt, the lead first, from what was delivered so far."""
    request = effect.request
    known = [s for s in effect.placements if s.engine in inventory.engines]
    urls = [inventory.engines[share.engine].url for share in known]
    prompt_left = request.prompt_tokens
    targets: list[StreamTarget] = []
    for position, share in enumerate(known):
        lead = position == 0
        answer_tokens = request.answer_tokens if lead else 0
        prefill = min(prompt_left, share.memory_tokens - answer_tokens)
        prompt_left -= prefill
        body = OpenStream(
            stream=effect.attempt_id,
            owner=identity.instance,
            incarnation=identity.incarnation,
            role="lead" if lead else "segment",
            model=request.model,
            prompt=exchange.prompt if lead else "",
            continued="".join(exchange.texts) if lead else "",
            first_index=exchange.next_index,
            answer_tokens=request.answer_tokens,
            prefill_tokens=prefill,
            memory_tokens=share.memory_tokens,
            priority=effect.priority,
            segments=tuple(urls[1:]) if lead else (),
            prefix=request.prefix if lead else (),
        )
        targets.append(StreamTarget(share.engine, urls[position], body))
    return targets
