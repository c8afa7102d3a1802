"""Retries never exceed the budget, for any sequence of calls."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from sycamoreshed.admission import budget as budgets


@settings(derandomize=True, deadline=None)
@given(
    share=strategies.floats(0.0, 1.0),
    reserve=strategies.floats(0.0, 20.0),
    steps=strategies.lists(strategies.booleans(), max_size=200),
)
def test_retries_stay_within_share_and_reserve(share, reserve, steps):
    budget = budgets.RetryBudget(share=share, reserve=reserve)
    earned = spent = 0
    for earns in steps:
        if earns:
            budget.record_first_attempt()
            earned += 1
        else:
            spent += budget.try_spend()
        assert budget.tokens >= 0
        assert spent <= reserve + share * earned + 1e-6
