"""The design's ordinary rule."""

import random

import pytest

from bramblewood import events
from bramblewood.policy.parameters import COOLDOWN_BOUNDS, FLUCTUATION_BOUND, REPORTS_HELD

from .simulation import SimulatedSite, entry


def test_an_even_load_moves_nothing():
    site = SimulatedSite()
    before = {n: site.primary(n) for n in site.tables}
    site.seconds(12)
    assert {n: site.primary(n) for n in site.tables} == before


def test_the_top_workers_smallest_slice_goes_to_the_least_loaded():
    site = SimulatedSite()
    heat = {0: 3, 4: 2, 8: 1, 3: 0.2, 7: 0.2, 11: 0.2}  # w0 is hot, w3 nearly idle
    site.seconds(REPORTS_HELD)
    assert site.primary(8) == "w0"
    site.seconds(8, heat=lambda n: heat.get(n, 1.0))
    assert site.primary(8) == "w3" and site.primary(0) == "w0" and site.primary(4) == "w0"


def test_no_move_that_would_overload_the_target():
    site = SimulatedSite(workers=2, slices=2)
    site.seconds(12, heat=lambda n: (9.0, 3.0)[n])
    assert FLUCTUATION_BOUND < 3 and site.primary(0) == "w0"


def test_where_many_workers_come_at_once_each_may_take_a_slice_a_cycle():
    for come, most in ((0, 1), (6, 6)):
        site = SimulatedSite(workers=6, slices=60, slow_start_window=4.0)
        heat = {n: 3.0 if n % 6 < 3 else 0.5 for n in range(60)}  # three of six carry the most
        site.seconds(3, heat=heat.get)
        site.step(0.1, site.list_event([entry(f"x{k}", started=site.now) for k in range(come)]))
        site.seconds(4, heat=heat.get)
        moved = [
            sum(
                "(over)" in o.text
                for o in site.step(0.5, *site.reports(heat.get, {}))
                if isinstance(o, events.Log)
            )
            for _ in range(12)
        ]
        assert 0 < max(moved) <= most and (not come or max(moved) > 1)


def test_a_worker_is_no_newcomer_once_its_load_shows():
    """Guards the price of moves: where all workers are replaced over a day, all counted as new for ever."""
    site = SimulatedSite(workers=6, slices=60, slow_start_window=4.0)
    site.step(0.1, site.list_event([entry(f"x{k}", started=site.now) for k in range(6)]))
    site.seconds(20, heat=0.01)
    heat = {n: 3.0 if n % 6 < 3 else 0.5 for n in range(60)}
    moved = [
        sum(
            "(over)" in o.text
            for o in site.step(0.5, *site.reports(heat.get, {}))
            if isinstance(o, events.Log)
        )
        for _ in range(24)
    ]
    assert max(moved) == 1


@pytest.mark.parametrize("seed", range(6))
def test_a_slice_rests_longer_after_each_ordinary_move_while_no_worker_is_full(seed):
    """Guards the price of moves: the smallest slices of a fleet far from full went round all day."""
    dice, site, moved = random.Random(seed), SimulatedSite(workers=6, slices=30, seed=seed), {}
    for second in range(400):
        if not second % 8:
            heat = {n: dice.choice((0.002, 0.01, 0.04, 0.1, 0.3)) for n in range(30)}
        before = len(site.orders)
        site.seconds(1, heat=heat.get)
        for order in site.orders[before:]:
            if isinstance(order, events.Log) and "(over)" in order.text:
                moved.setdefault(int(order.text.split()[1]), []).append(site.now)
        site.check_invariants()
    for times in moved.values():
        for k, (at, then) in enumerate(zip(times, times[1:], strict=False)):
            assert then - at >= min(COOLDOWN_BOUNDS[0] * 2**k, COOLDOWN_BOUNDS[1]) - 0.01
    assert sum(map(len, moved.values())) > 9
