"""Runners that carry out the reducer's effects on engines and callers' exchanges."""

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
from lentilwell.forwarding._attempt_transfers import StreamTarget
from lentilwell.forwarding._exchange import Exchange
from lentilwell.forwarding._transfer import TransferLoop
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
    """Process objects used by the effect runners.

    ``run_in_background`` accepts blocking tasks, since the runners themselves must not block the
    reducer's thread.
    """

    identity: Identity
    clock: Clock
    reducer: ReducerWorker
    engines: EngineControl
    transfer: TransferLoop
    run_in_background: Callable[[Callable[[], None]], None]


def register_runners(context: RunnerContext) -> None:
    """Register a runner for each effect that concerns engines or callers' exchanges."""

    @context.reducer.register_runner(StartAttempt)
    def start_attempt(state: State, effect: StartAttempt) -> None:
        inventory = state.inventory
        if inventory is None:
            return

        def build_targets(exchange: Exchange) -> list[StreamTarget]:
            return build_stream_targets(context.identity, effect, exchange, inventory)

        context.transfer.open_attempt(effect.attempt_id, effect.request.request_id, build_targets)

    @context.reducer.register_runner(ResumeAttempt)
    def resume_attempt(_state: State, effect: ResumeAttempt) -> None:
        context.transfer.resume_attempt(effect.attempt_id)

    @context.reducer.register_runner(CancelAttempt)
    def cancel_attempt(_state: State, effect: CancelAttempt) -> None:
        context.transfer.drop_attempt(effect.attempt_id)

    @context.reducer.register_runner(EndRequest)
    def end_request(_state: State, effect: EndRequest) -> None:
        context.transfer.fail_exchange(effect.request_id, effect.failure)

    @context.reducer.register_runner(CancelStream)
    def cancel_stream(state: State, effect: CancelStream) -> None:
        engine = find_engine(state, effect.engine)
        if engine is None:
            return

        def cancel() -> None:
            if context.engines.cancel_stream(engine.url, effect.stream).is_ok():
                context.reducer.post(
                    CancelConfirmed(context.clock.now(), effect.engine, effect.stream)
                )

        context.run_in_background(cancel)

    @context.reducer.register_runner(ChangePriority)
    def change_priority(state: State, effect: ChangePriority) -> None:
        attempt = state.attempts.get(effect.attempt_id)
        for placement in attempt.placements if attempt is not None else ():
            engine = find_engine(state, placement.engine)
            if engine is not None:
                send_change = partial(context.engines.change_priority, engine.url)
                context.run_in_background(
                    partial(_apply_priority, send_change, effect.attempt_id, effect.priority)
                )


def _apply_priority(
    send_change: Callable[[str, int], Result[None, EngineUnreadable]], stream: str, priority: int
) -> None:
    """Send a priority change once.

    A failed change is not retried, because a wrong priority affects only the processing order.
    """
    send_change(stream, priority)


def find_engine(state: State, name: str) -> Engine | None:
    """Return an engine of the current inventory, or a removed one that still has open streams."""
    view = state.engines.get(name)
    return None if view is None else view.spec


def build_stream_targets(
    identity: Identity, effect: StartAttempt, exchange: Exchange, inventory: Inventory
) -> list[StreamTarget]:
    """Return the streams to open for an attempt, with the primary engine's stream first.

    The answer continues after the tokens that the caller's exchange already has.
    """
    request = effect.request
    placements = [p for p in effect.placements if p.engine in inventory.engines]
    engine_urls = [inventory.engines[placement.engine].url for placement in placements]
    remaining_prompt_tokens = request.prompt_tokens
    targets: list[StreamTarget] = []
    for position, placement in enumerate(placements):
        is_primary = position == 0
        answer_tokens = request.answer_tokens if is_primary else 0
        prefill_tokens = min(remaining_prompt_tokens, placement.memory_tokens - answer_tokens)
        remaining_prompt_tokens -= prefill_tokens
        body = OpenStream(
            stream=effect.attempt_id,
            owner=identity.instance,
            incarnation=identity.incarnation,
            role="lead" if is_primary else "segment",
            model=request.model,
            prompt=exchange.prompt if is_primary else "",
            continued="".join(exchange.texts) if is_primary else "",
            first_index=exchange.next_index,
            answer_tokens=request.answer_tokens,
            prefill_tokens=prefill_tokens,
            memory_tokens=placement.memory_tokens,
            priority=effect.priority,
            segments=tuple(engine_urls[1:]) if is_primary else (),
            prefix=request.prefix if is_primary else (),
        )
        targets.append(StreamTarget(placement.engine, engine_urls[position], body))
    return targets
