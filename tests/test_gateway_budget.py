"""Retries of all instances together stay within the budget, over every window that slides."""

from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._budget import BudgetRules, RetryBudget

RULES = BudgetRules(ratio=0.2, extra=102, window_ms=10_000)
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3), st.sampled_from(["request", "retry", "restart"]), st.integers(0, 900)
    ),
    max_size=400,
)


@given(STEPS)
def test_all_instances_together_stay_within_the_budget(steps):
    """Four instances share nothing; one of them may also restart in the middle of a window."""
    budgets = [RetryBudget(RULES) for _ in range(4)]
    restarted = set()
    requests, retries, now = [], [], 0
    for instance, what, later_ms in steps:
        now += later_ms
        if what == "request":
            budgets[instance].note_request(now)
            requests.append(now)
        elif what == "restart" and instance not in restarted:
            restarted.add(instance)
            budgets[instance] = RetryBudget(RULES)
        elif what == "retry":
            burst = 0
            while burst < 40 and budgets[instance].take(now, instances=4):
                retries.append(now)
                burst += 1
    for end in retries:
        begin = end - RULES.window_ms
        sent = sum(begin < at <= end for at in retries)
        asked = sum(begin < at <= end for at in requests)
        assert sent <= RULES.ratio * asked + RULES.extra


def test_more_instances_than_known_of_spend_no_more_than_twice_their_part():
    budgets = [RetryBudget(RULES) for _ in range(8)]
    spent = 0
    for budget in budgets:
        while budget.take(0, instances=4):
            spent += 1
    assert spent <= RULES.extra


def test_window_slides():
    budget = RetryBudget(BudgetRules(ratio=0.0, extra=2, window_ms=1_000))
    assert budget.take(0, instances=1)
    assert not budget.take(999, instances=1)
    assert budget.take(1_001, instances=1)
