"""Ordinary moves: slices move from overloaded workers to less loaded ones."""

import random

import pytest

from bramblewood import events
from bramblewood.policy.parameters import COOLDOWN_BOUNDS, FLUCTUATION_BOUND, REPORTS_NEEDED

from .simulation import SimulatedSite, list_entry


def test_even_load_causes_no_move():
    site = SimulatedSite()
    before = {n: site.primary(n) for n in site.tables}
    site.run_seconds(12)
    assert {n: site.primary(n) for n in site.tables} == before


def test_smallest_slice_of_the_most_loaded_worker_moves_to_the_least_loaded():
    site = SimulatedSite()
    heat = {0: 3, 4: 2, 8: 1, 3: 0.2, 7: 0.2, 11: 0.2}  # w0 is overloaded, w3 is nearly idle
    site.run_seconds(REPORTS_NEEDED)
    assert site.primary(8) == "w0"
    site.run_seconds(8, heat=lambda n: heat.get(n, 1.0))
    assert site.primary(8) == "w3" and site.primary(0) == "w0" and site.primary(4) == "w0"


def test_move_that_would_overload_the_target_is_not_made():
    site = SimulatedSite(workers=2, slices=2)
    site.run_seconds(12, heat=lambda n: (9.0, 3.0)[n])
    assert FLUCTUATION_BOUND < 3 and site.primary(0) == "w0"


def test_each_of_several_new_workers_may_take_one_slice_a_cycle():
    for new_workers, limit in ((0, 1), (6, 6)):
        site = SimulatedSite(workers=6, slices=60, slow_start_window=4.0)
        heat = {n: 3.0 if n % 6 < 3 else 0.5 for n in range(60)}  # three of six workers have most of the heat
        site.run_seconds(3, heat=heat.get)
        site.step(0.1, site.list_event([list_entry(f"x{k}", started=site.now) for k in range(new_workers)]))
        site.run_seconds(4, heat=heat.get)
        moved = [
            sum(
                "from overloaded" in o.text
                for o in site.step(0.5, *site.reports(heat.get, {}))
                if isinstance(o, events.Log)
            )
            for _ in range(12)
        ]
        assert 0 < max(moved) <= limit and (not new_workers or max(moved) > 1)


def test_worker_stops_counting_as_new_once_its_reports_are_averaged():
    """Guards against needless moves: replaced workers counted as new for ever."""
    site = SimulatedSite(workers=6, slices=60, slow_start_window=4.0)
    site.step(0.1, site.list_event([list_entry(f"x{k}", started=site.now) for k in range(6)]))
    site.run_seconds(20, heat=0.01)
    heat = {n: 3.0 if n % 6 < 3 else 0.5 for n in range(60)}
    moved = [
        sum(
            "from overloaded" in o.text
            for o in site.step(0.5, *site.reports(heat.get, {}))
            if isinstance(o, events.Log)
        )
        for _ in range(24)
    ]
    assert max(moved) == 1


@pytest.mark.parametrize("seed", range(6))
def test_cooldown_of_a_slice_doubles_with_each_ordinary_move(seed):
    """Guards against needless moves: the smallest slices of lightly loaded workers moved continuously."""
    rng, site, moved = random.Random(seed), SimulatedSite(workers=6, slices=30, seed=seed), {}
    for second in range(400):
        if not second % 8:
            heat = {n: rng.choice((0.002, 0.01, 0.04, 0.1, 0.3)) for n in range(30)}
        before = len(site.orders)
        site.run_seconds(1, heat=heat.get)
        for order in site.orders[before:]:
            if isinstance(order, events.Log) and "from overloaded" in order.text:
                moved.setdefault(int(order.text.split()[1]), []).append(site.now)
        site.check_invariants()
    for times in moved.values():
        for k, (earlier, later) in enumerate(zip(times, times[1:], strict=False)):
            assert later - earlier >= min(COOLDOWN_BOUNDS[0] * 2**k, COOLDOWN_BOUNDS[1]) - 0.01
    assert sum(map(len, moved.values())) > 9
