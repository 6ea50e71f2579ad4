"""Invariants over seeded random days, checked after every step."""

import pytest

from bramblewood import events
from bramblewood.policy import parameters
from bramblewood.policy.parameters import FORGET_AFTER

from .simulation import SimulatedSite, entry, random_day


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_on_a_random_day(seed):
    site = random_day(seed)
    assert site.messages


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_with_a_slow_channel(seed):
    assert random_day(seed, lines_per_second=200.0, drain_grace=20.0).messages


def test_equal_events_give_equal_orders():
    assert random_day(3).orders == random_day(3).orders


def test_memory_stays_bounded_over_hours_of_new_ids(monkeypatch):
    """Guards memory: workers are replaced by new ids all day, and each was kept for ever."""
    monkeypatch.setattr(parameters, "MAX_EXCLUDED", 50)
    site, most = SimulatedSite(workers=4, slices=8), 0
    for k in range(4, 400):
        site.step(0.0, site.list_event([entry(f"w{k}", zone="ab"[k % 2], started=site.now)]))
        site.seconds(1)
        site.step(
            0.0,
            site.list_event([entry(f"w{k - 4}", events.DRAINING)]),
            events.ProxyLeft(k % 4),
            events.ProxyJoined(k % 4, "a", 5.0),
        )
        site.seconds(3)
        site.step(0.0, site.list_event([entry(f"w{k - 4}", events.DEREGISTERED)]))
        site.check_invariants()
        planner, publisher = site.manager.planner, site.manager.publisher
        if k > 60:
            most = max(most, len(site.manager.workers))
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


def test_a_forgotten_worker_that_returns_is_readmitted():
    """Guards a worker that was cut off for long: the proxies still keep off, and it comes as it was."""
    site = SimulatedSite(workers=3)
    site.step(0.0, site.list_event([entry("w0", events.DRAINING)]))
    site.seconds(9)
    site.step(0.0, site.list_event([entry("w0", events.DEREGISTERED)]))
    site.seconds(FORGET_AFTER + 9)
    assert "w0" in site.excluded and "w0" not in site.manager.workers
    site.step(0.0, site.list_event([entry("w0")]))
    site.seconds(60, heat=lambda number: 1.0 + number)
    assert site.slices_of("w0") and "w0" not in site.excluded
