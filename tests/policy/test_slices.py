"""Slices: estimates of heat, and the weight of the standby route."""

import pytest

from bramblewood import events
from bramblewood.policy.manager import Manager
from bramblewood.policy.parameters import OVERFLOW_WEIGHT
from bramblewood.policy.slices import Slice

from .simulation import SETTINGS, SimulatedSite


def estimates(*rates):
    slice = Slice(Manager(1, SETTINGS), 0)
    for rate in rates:
        slice.add_heat(events.SliceHeatReported(0, "look", rate, 0, 1.0))
        slice.end_cycle()
    return list(slice.estimates)


def test_trend_factor_is_held_in_bounds():
    assert estimates(10, 11) == [10, 11 * 1.1]
    assert estimates(10, 100)[-1] == 200
    assert estimates(100, 10)[-1] == 5
    assert estimates(0, 8)[-1] == 8  # nothing before: no trend


def test_heat_is_averaged_over_five_reports():
    slice = Slice(Manager(1, SETTINGS), 0)
    for _ in range(9):
        slice.add_heat(events.SliceHeatReported(0, "look", 4, 0, 1.0))
        slice.end_cycle()
    assert len(slice.estimates) == 5 and slice.estimate() == 4


@pytest.mark.parametrize(
    "busy, times, gap, overflows",
    [(0.5, 1, 0, False), (0.9, 1, 0, True), (0.5, 2, 0, False), (0.5, 2, 2, True)],
)
def test_the_standby_overflows_only_from_a_worker_over_its_limit_on_average(busy, times, gap, overflows):
    """Guards the price of moves: a second of strain turned all lines of a worker on and off again.

    Over five reports; over three where each spans several cycles, as five are twelve seconds then, and a jam
    is over or has spread. Three everywhere cost the simulator's quick score 0.05 (big-1 0.58 to 0.39).
    """
    site = SimulatedSite(slices=8, pick="pair")
    level = {name: {"load": {"utilization": busy}} for name in ("w0", "w1", "w2", "w3")}
    strained = {
        **level,
        "w0": {"load": {"utilization": busy + 0.5}, "mean_response_time": 0.6, "attempts": 20},
    }
    for heard, reports in ((level, 8), (strained, times), (level, 2)):
        for _ in range(reports):
            site.seconds(1, heat=0.5, observed=heard)
            for _ in range(gap):  # cycles without a word of any worker
                site.step(0.5)
                heat = [
                    event for event in site.reports(0.5, {}) if isinstance(event, events.SliceHeatReported)
                ]
                site.step(0.5, *heat)
    parts = {part for order in site.orders if isinstance(order, events.SetRoute) for part in [order.weight]}
    assert (OVERFLOW_WEIGHT in parts) == overflows
