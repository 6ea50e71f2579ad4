"""Slices: heat estimates and the weight of the standby route."""

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


def test_trend_factor_stays_within_its_bounds():
    assert estimates(10, 11) == [10, 11 * 1.1]
    assert estimates(10, 100)[-1] == 200
    assert estimates(100, 10)[-1] == 5
    assert estimates(0, 8)[-1] == 8  # no trend without a previous heat


def test_heat_is_the_mean_of_five_reports():
    slice = Slice(Manager(1, SETTINGS), 0)
    for _ in range(9):
        slice.add_heat(events.SliceHeatReported(0, "look", 4, 0, 1.0))
        slice.end_cycle()
    assert len(slice.estimates) == 5 and slice.estimate() == 4


@pytest.mark.parametrize(
    "utilization, overloaded_reports, gap, overflows",
    [(0.5, 1, 0, False), (0.9, 1, 0, True), (0.5, 2, 0, False), (0.5, 2, 2, True)],
)
def test_standby_weight_rises_only_if_the_mean_of_the_reports_is_over_the_limit(
    utilization, overloaded_reports, gap, overflows
):
    """Guards against needless changes: one overloaded second switched the overflow weight on and off.

    The mean covers five reports, but three if each spans several cycles, because five would react too late.
    """
    site = SimulatedSite(slices=8, load_balancing="pair")
    normal = {name: {"load": {"utilization": utilization}} for name in ("w0", "w1", "w2", "w3")}
    overloaded = {
        **normal,
        "w0": {"load": {"utilization": utilization + 0.5}, "mean_response_time": 0.6, "attempts": 20},
    }
    for observed, reports in ((normal, 8), (overloaded, overloaded_reports), (normal, 2)):
        for _ in range(reports):
            site.run_seconds(1, heat=0.5, observed=observed)
            for _ in range(gap):  # cycles without reports of workers
                site.step(0.5)
                heat = [
                    event for event in site.reports(0.5, {}) if isinstance(event, events.SliceHeatReported)
                ]
                site.step(0.5, *heat)
    weights = {
        weight for order in site.orders if isinstance(order, events.SetRoute) for weight in [order.weight]
    }
    assert (OVERFLOW_WEIGHT in weights) == overflows
