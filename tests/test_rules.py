"""Seeded random days, the rules checked after every step."""

import pytest

from .helper import rough_day


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_on_a_rough_day(seed):
    ledger = rough_day(seed)
    assert ledger.messages


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_with_a_slow_channel(seed):
    assert rough_day(seed, lines_per_second=200.0, drain_grace=20.0).messages


def test_equal_events_give_equal_orders():
    assert rough_day(3).orders == rough_day(3).orders
