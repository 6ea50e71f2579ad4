"""Invariants in runs of seeded random events, checked after every step."""

import pytest

from bramblewood import events
from bramblewood.policy import parameters
from bramblewood.policy.parameters import FORGET_AFTER

from .simulation import SimulatedSite, list_entry, run_random_events


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_under_random_events(seed):
    site = run_random_events(seed)
    assert site.message_times


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_with_a_slow_channel(seed):
    assert run_random_events(seed, lines_per_second=200.0, drain_grace=20.0).message_times


def test_equal_seeds_give_equal_orders():
    assert run_random_events(3).orders == run_random_events(3).orders


def test_memory_stays_bounded_while_workers_are_replaced_by_new_ids(monkeypatch):
    """Guards against a leak: every replaced worker was kept."""
    monkeypatch.setattr(parameters, "MAX_EXCLUDED", 50)
    site, max_workers = SimulatedSite(workers=4, slices=8), 0
    for k in range(4, 400):
        site.step(0.0, site.list_event([list_entry(f"w{k}", zone="ab"[k % 2], started=site.now)]))
        site.run_seconds(1)
        site.step(
            0.0,
            site.list_event([list_entry(f"w{k - 4}", events.DRAINING)]),
            events.ProxyLeft(k % 4),
            events.ProxyJoined(k % 4, "a", 5.0),
        )
        site.run_seconds(3)
        site.step(0.0, site.list_event([list_entry(f"w{k - 4}", events.DEREGISTERED)]))
        site.check_invariants()
        planner, publisher = site.manager.planner, site.manager.publisher
        if k > 60:
            max_workers = max(max_workers, len(site.manager.workers))
    assert max_workers <= 5 + FORGET_AFTER // 4 + 4 and len(publisher.excluded) <= 50
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


def test_forgotten_worker_that_returns_is_readmitted():
    """Guards workers that return with their old id: proxies still exclude them."""
    site = SimulatedSite(workers=3)
    site.step(0.0, site.list_event([list_entry("w0", events.DRAINING)]))
    site.run_seconds(9)
    site.step(0.0, site.list_event([list_entry("w0", events.DEREGISTERED)]))
    site.run_seconds(FORGET_AFTER + 9)
    assert "w0" in site.excluded and "w0" not in site.manager.workers
    site.step(0.0, site.list_event([list_entry("w0")]))
    site.run_seconds(60, heat=lambda number: 1.0 + number)
    assert site.slices_of("w0") and "w0" not in site.excluded
