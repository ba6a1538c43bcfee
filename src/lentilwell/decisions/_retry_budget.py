"""The retry budget, which limits the retries of this instance to a share of the new requests.

Budgets are counted in percent of a retry. Each new request adds ``retry_budget_percent`` of the
configured rules to the budget of the instance and to that of its team. A retry costs 100 from both.
"""

from __future__ import annotations

from lentilwell.reducer import State, TeamQueue, replace

RETRY_COST_PERCENT = 100
MAX_BUDGET_PERCENT = 64 * RETRY_COST_PERCENT
MAX_TEAM_BUDGET_PERCENT = 32 * RETRY_COST_PERCENT


def credit_retry(state: State, team: str) -> State:
    """Add the credit of one new request to the budgets of the instance and of its team."""
    if state.inventory is None:
        return state
    percent = state.inventory.rules.retry_budget_percent
    queue = state.queues.get(team, TeamQueue())
    earned = min(MAX_TEAM_BUDGET_PERCENT, queue.retry_percents + percent)
    return replace(
        state,
        queues=state.queues.set(team, replace(queue, retry_percents=earned)),
        retry_percents=min(MAX_BUDGET_PERCENT, state.retry_percents + percent),
    )


def spend_retry(state: State, team: str) -> tuple[State, bool]:
    """Subtract one retry from both budgets and return whether they allowed it."""
    queue = state.queues.get(team, TeamQueue())
    allowed = state.inventory is not None and state.inventory.rules.retry_budget_percent > 0
    if not allowed or min(state.retry_percents, queue.retry_percents) < RETRY_COST_PERCENT:
        return state, False
    queue = replace(queue, retry_percents=queue.retry_percents - RETRY_COST_PERCENT)
    state = replace(
        state,
        queues=state.queues.set(team, queue),
        retry_percents=state.retry_percents - RETRY_COST_PERCENT,
    )
    return state, True
