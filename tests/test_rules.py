"""Seeded random days, the rules checked after every step."""

import pytest

from bramblewood import events
from bramblewood.policy_base import parameters
from bramblewood.policy_base.parameters import FORGET_AFTER

from .helper import Ledger, entry, rough_day


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_on_a_rough_day(seed):
    ledger = rough_day(seed)
    assert ledger.messages


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_with_a_slow_channel(seed):
    assert rough_day(seed, lines_per_second=200.0, drain_grace=20.0).messages


def test_equal_events_give_equal_orders():
    assert rough_day(3).orders == rough_day(3).orders


def test_after_hours_of_new_ids_no_more_is_held_than_after_minutes(monkeypatch):
    """Guards memory: workers are replaced by new ids all day, and each was kept for ever."""
    monkeypatch.setattr(parameters, "MAX_EXCLUDED", 50)
    ledger, most = Ledger(workers=4, slices=8), 0
    for k in range(4, 400):
        ledger.step(0.0, ledger.list_of([entry(f"w{k}", zone="ab"[k % 2], started=ledger.now)]))
        ledger.seconds(1)
        ledger.step(
            0.0,
            ledger.list_of([entry(f"w{k - 4}", events.DRAINING)]),
            events.ProxyLeft(k % 4),
            events.ProxyJoined(k % 4, "a", 5.0),
        )
        ledger.seconds(3)
        ledger.step(0.0, ledger.list_of([entry(f"w{k - 4}", events.DEREGISTERED)]))
        ledger.check()
        planner, publisher = ledger.manager.planner, ledger.manager.publisher
        if k > 60:
            most = max(most, len(ledger.manager.workers))
    assert most <= 5 + FORGET_AFTER // 4 + 4 and len(publisher.excluded) <= 50
    assert (
        max(
            map(
                len,
                (
                    planner.loads,
                    planner.own_loads,
                    planner.over_limit_cycles,
                    planner.recent_moves,
                    publisher.sent.messages,
                ),
            )
        )
        < 99
    )


def test_one_met_again_after_it_was_forgotten_is_let_back():
    """Guards a worker that was cut off for long: the proxies still keep off, and it comes as it was."""
    ledger = Ledger(workers=3)
    ledger.step(0.0, ledger.list_of([entry("w0", events.DRAINING)]))
    ledger.seconds(9)
    ledger.step(0.0, ledger.list_of([entry("w0", events.DEREGISTERED)]))
    ledger.seconds(FORGET_AFTER + 9)
    assert "w0" in ledger.out and "w0" not in ledger.manager.workers
    ledger.step(0.0, ledger.list_of([entry("w0")]))
    ledger.seconds(60, heat=lambda number: 1.0 + number)
    assert ledger.on("w0") and "w0" not in ledger.out
