"""Retries and outcomes of a request, for any order of events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._catalog import Repeat
from lentilwell.gateway._request_state import (
    AnswerCompleted,
    AnswerStarted,
    CallerDisconnected,
    ChooseUpstream,
    ConnectionFailed,
    DeadlinePassed,
    ExchangeBroken,
    Finish,
    NoUpstream,
    OtherSendsCancelled,
    Outcome,
    Phase,
    ReportedNotRun,
    RequestFailed,
    RequestState,
    SendStarted,
    UpstreamSilent,
    advance,
)


def run(state, *events):
    effect = None
    for event in events:
        state, effect = advance(state, event)
    return state, effect


@pytest.mark.parametrize(
    ("repeat", "events", "expected"),
    [
        (Repeat.NEVER, [SendStarted(), ExchangeBroken()], Finish(Outcome.UNKNOWN)),
        (Repeat.NEVER, [SendStarted(), ReportedNotRun()], ChooseUpstream(is_retry=True)),
        (Repeat.NEVER, [ConnectionFailed()], ChooseUpstream(is_retry=False)),
        (Repeat.NEVER, [SendStarted(), ReportedNotRun(), NoUpstream()], Finish(Outcome.NOT_RUN)),
        (
            Repeat.NEVER,
            [SendStarted(), ReportedNotRun(), SendStarted(), ExchangeBroken()],
            Finish(Outcome.UNKNOWN),
        ),
        (Repeat.NEVER, [SendStarted(), DeadlinePassed()], Finish(Outcome.TIMED_OUT)),
        (Repeat.NEVER, [DeadlinePassed()], Finish(Outcome.NOT_RUN)),
        (Repeat.NEVER, [NoUpstream()], Finish(Outcome.NOT_RUN)),
        (Repeat.WHOLE, [SendStarted(), ExchangeBroken()], ChooseUpstream(is_retry=True)),
        (Repeat.WHOLE, [SendStarted(), ExchangeBroken(), NoUpstream()], Finish(Outcome.UNKNOWN)),
        (
            Repeat.WHOLE,
            [SendStarted(), ExchangeBroken(), SendStarted(), ReportedNotRun()],
            Finish(Outcome.UNKNOWN),
        ),
        (Repeat.WHOLE, [SendStarted(), AnswerStarted(), ExchangeBroken()], Finish(Outcome.CUT_OFF)),
        (
            Repeat.RESUME,
            [SendStarted(), AnswerStarted(), ExchangeBroken()],
            ChooseUpstream(is_retry=True),
        ),
        (
            Repeat.RESUME,
            [SendStarted(), AnswerStarted(), ExchangeBroken(), NoUpstream()],
            Finish(Outcome.CUT_OFF),
        ),
        (
            Repeat.RESUME,
            [SendStarted(), AnswerStarted(), DeadlinePassed()],
            Finish(Outcome.CUT_OFF),
        ),
        (Repeat.RESUME, [SendStarted(), AnswerStarted(), AnswerCompleted()], Finish(Outcome.WHOLE)),
        (Repeat.WHOLE, [SendStarted(), CallerDisconnected()], Finish(Outcome.CALLER_GONE)),
    ],
)
def test_effect_of_events(repeat, events, expected):
    assert run(RequestState(repeat, max_sends=2), *events)[1] == expected


@pytest.mark.parametrize("repeat", list(Repeat))
def test_no_more_upstreams_than_allowed(repeat):
    state, effect = run(
        RequestState(repeat, max_sends=2), SendStarted(), ReportedNotRun(), SendStarted()
    )
    state, effect = advance(state, ReportedNotRun())
    assert effect == Finish(Outcome.NOT_RUN)


OUTCOMES = st.sampled_from(
    ["unreached", "not_run", "broken", "begun", "begun_broken", "whole", "no_place", "time", "left"]
)


@given(st.sampled_from(list(Repeat)), st.integers(1, 4), st.lists(OUTCOMES, max_size=12))
def test_guarantees_hold_for_every_sequence_of_events(repeat, max_sends, outcomes):
    """Run a request to its end, counting the upstreams that may have run it."""
    state, effect = RequestState(repeat, max_sends), ChooseUpstream(is_retry=False)
    sends = may_have_run = 0
    for outcome in outcomes:
        if not isinstance(effect, ChooseUpstream):
            break
        if outcome == "no_place":
            state, effect = advance(state, NoUpstream())
            continue
        if outcome == "unreached":
            state, effect = advance(state, ConnectionFailed())
            continue
        assert repeat is not Repeat.NEVER or may_have_run == 0
        assert not (state.delivered and repeat is Repeat.WHOLE)
        state, effect = advance(state, SendStarted())
        sends += 1
        may_have_run += outcome != "not_run"
        if outcome in ("begun", "begun_broken", "whole"):
            state, effect = advance(state, AnswerStarted())
        event = {
            "not_run": ReportedNotRun(),
            "broken": ExchangeBroken(),
            "begun_broken": ExchangeBroken(),
            "begun": DeadlinePassed(),
            "whole": AnswerCompleted(),
            "time": DeadlinePassed(),
            "left": CallerDisconnected(),
        }[outcome]
        state, effect = advance(state, event)
    assert sends <= max_sends
    if isinstance(effect, Finish):
        assert state.phase is Phase.ENDED
        if effect.outcome is Outcome.NOT_RUN:
            assert may_have_run == 0 and not state.delivered
        if effect.outcome is Outcome.WHOLE:
            assert state.delivered
        if effect.outcome in (Outcome.UNKNOWN, Outcome.TIMED_OUT):
            assert not state.delivered


ANSWER_BESIDE_ANOTHER_SEND = [
    SendStarted(),
    UpstreamSilent(),
    SendStarted(),
    OtherSendsCancelled(),
    AnswerStarted(),
]


@pytest.mark.parametrize(
    ("repeat", "max_sends", "events", "expected"),
    [
        (Repeat.NEVER, 2, [SendStarted(), UpstreamSilent()], None),
        (Repeat.WHOLE, 1, [SendStarted(), UpstreamSilent()], None),
        (Repeat.WHOLE, 2, [SendStarted(), UpstreamSilent()], ChooseUpstream(is_retry=True)),
        (Repeat.WHOLE, 2, [SendStarted(), UpstreamSilent(), NoUpstream()], None),
        (
            Repeat.WHOLE,
            2,
            [SendStarted(), UpstreamSilent(), SendStarted(), ReportedNotRun()],
            None,
        ),
        (
            Repeat.WHOLE,
            2,
            [SendStarted(), UpstreamSilent(), SendStarted(), ExchangeBroken(), ExchangeBroken()],
            Finish(Outcome.UNKNOWN),
        ),
        (Repeat.WHOLE, 3, [SendStarted(), UpstreamSilent(), UpstreamSilent()], None),
        (
            Repeat.RESUME,
            2,
            [SendStarted(), AnswerStarted(), UpstreamSilent(), NoUpstream(), ExchangeBroken()],
            ChooseUpstream(is_retry=True),
        ),
        (
            Repeat.RESUME,
            2,
            [SendStarted(), UpstreamSilent(), SendStarted(), OtherSendsCancelled()],
            None,
        ),
        (
            Repeat.RESUME,
            2,
            [*ANSWER_BESIDE_ANOTHER_SEND, UpstreamSilent()],
            None,
        ),
        (
            Repeat.RESUME,
            2,
            [*ANSWER_BESIDE_ANOTHER_SEND, ExchangeBroken()],
            ChooseUpstream(is_retry=True, among_cancelled=True),
        ),
        (
            Repeat.RESUME,
            3,
            [*ANSWER_BESIDE_ANOTHER_SEND, ExchangeBroken()],
            ChooseUpstream(is_retry=True),
        ),
        (
            Repeat.RESUME,
            2,
            [*ANSWER_BESIDE_ANOTHER_SEND, ExchangeBroken(), SendStarted(False), ExchangeBroken()],
            Finish(Outcome.CUT_OFF),
        ),
        (
            Repeat.WHOLE,
            2,
            [SendStarted(), UpstreamSilent(), NoUpstream(), RequestFailed()],
            Finish(Outcome.UNKNOWN),
        ),
    ],
)
def test_effect_of_events_beside_a_silent_upstream(repeat, max_sends, events, expected):
    assert run(RequestState(repeat, max_sends), *events)[1] == expected


def test_outcome_does_not_change_after_the_end():
    state, _ = run(
        RequestState(Repeat.RESUME, 2), SendStarted(), AnswerStarted(), AnswerCompleted()
    )
    assert advance(state, DeadlinePassed())[1] == Finish(Outcome.WHOLE)


@given(st.sampled_from(list(Repeat)), st.integers(1, 4), st.lists(st.integers(0, 5), max_size=20))
def test_only_deadline_or_caller_ends_a_request_with_open_sends(repeat, max_sends, choices):
    """Run attempts beside each other, in any order; ``placing`` is the one that is not sent yet."""
    state, placing, open_sends, sends = RequestState(repeat, max_sends), True, 0, 0
    effect = None
    for choice in choices:
        if placing:
            event = [SendStarted(), NoUpstream(), SendStarted(), ConnectionFailed()][choice % 4]
            placing = isinstance(event, ConnectionFailed)
            open_sends += isinstance(event, SendStarted)
            sends += isinstance(event, SendStarted)
        elif open_sends:
            event = [UpstreamSilent(), ExchangeBroken(), ReportedNotRun()][choice % 3]
            open_sends -= not isinstance(event, UpstreamSilent)
        state, effect = advance(state, event)
        if isinstance(effect, ChooseUpstream):
            assert not placing or isinstance(event, ConnectionFailed)
            assert repeat is not Repeat.NEVER or not open_sends
            placing = True
        if isinstance(effect, Finish):
            assert not open_sends and not placing
            break
        assert placing or open_sends
    assert sends <= max_sends
    assert state.open_sends == open_sends
