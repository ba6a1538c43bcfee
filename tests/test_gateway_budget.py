"""The retries of all instances together stay within the budget in every sliding window."""

from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._budget import BudgetRules, RetryBudget
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import answer_not_run, in_loop

RULES = BudgetRules(ratio=0.2, extra=102, window_ms=10_000)
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3), st.sampled_from(["request", "retry", "restart"]), st.integers(0, 900)
    ),
    max_size=400,
)


@given(STEPS)
def test_all_instances_together_stay_within_the_budget(steps):
    """Four instances count separately, and each may restart once in the middle of a window."""
    budgets = [RetryBudget(RULES) for _ in range(4)]
    restarted = set()
    requests, retries, now = [], [], 0
    for instance, action, delay_ms in steps:
        now += delay_ms
        if action == "request":
            budgets[instance].record_request(now)
            requests.append(now)
        elif action == "restart" and instance not in restarted:
            restarted.add(instance)
            budgets[instance] = RetryBudget(RULES)
        elif action == "retry":
            burst = 0
            while burst < 40 and budgets[instance].try_spend(now, instances=4):
                retries.append(now)
                burst += 1
    for end in retries:
        window_start = end - RULES.window_ms
        sent = sum(window_start < at <= end for at in retries)
        received = sum(window_start < at <= end for at in requests)
        assert sent <= RULES.ratio * received + RULES.extra


def test_instances_stay_within_extra_retries_when_twice_as_many_run_as_are_known():
    budgets = [RetryBudget(RULES) for _ in range(8)]
    spent = 0
    for budget in budgets:
        while budget.try_spend(0, instances=4):
            spent += 1
    assert spent <= RULES.extra


def test_spent_retries_expire_with_the_window():
    budget = RetryBudget(BudgetRules(ratio=0.0, extra=2, window_ms=1_000))
    assert budget.try_spend(0, instances=1)
    assert not budget.try_spend(999, instances=1)
    assert budget.try_spend(1_001, instances=1)


@in_loop
async def test_placement_that_finds_no_upstream_spends_no_retry():
    async with run_gateway(answer_not_run) as harness:
        fleet, now = harness.gateway.fleet, harness.gateway.clock.now()
        fleet.change_budget(BudgetRules(ratio=0.0, extra=2, window_ms=10_000))
        assert (await harness.call("/whole/x")).status == 503
        assert fleet.find_budget("s").try_spend(now, instances=1)
