"""Retry budgets and backoff."""

import random

from currantwell.retry_budgets import MAX_TOKENS, TOKENS_PER_S, TokenBudget
from tests.builders import waiting_task


def test_a_team_without_tokens_waits_and_others_do_not():
    budget = TokenBudget(random.Random(1))
    task, other = waiting_task(team="a"), waiting_task(team="b")
    taken = sum(budget.try_take(task, 0.0) for _ in range(500))
    assert taken == MAX_TOKENS
    assert budget.try_take(other, 0.0)
    assert budget.try_take(task, 1.0 / TOKENS_PER_S)


def test_first_starts_credit_their_share_of_retries():
    budget = TokenBudget(random.Random(1))
    task = waiting_task()
    while budget.try_take(task, 0.0):
        pass
    for _ in range(100):
        budget.credit(task, 0.1)
    assert sum(budget.try_take(task, 0.0) for _ in range(50)) in (9, 10)


def test_backoff_doubles_with_jitter_from_the_source():
    budget = TokenBudget(random.Random(1))
    waits = [budget.backoff_s(waiting_task(attempt=n)) for n in (2, 3, 4, 5, 30)]
    assert waits == sorted(waits)
    assert waits[-1] <= 2.0
    again = TokenBudget(random.Random(1))
    assert waits[0] == again.backoff_s(waiting_task(attempt=2))
