"""The dispatcher's checks of events."""

import math

from bramblewood import events

from .simulation import SimulatedSite


def test_invalid_and_unknown_events_change_nothing():
    site = SimulatedSite()
    site.run_seconds(2)
    before = [list(s.estimates) for s in site.manager.slices.values()]
    orders = site.step(
        0.0,
        events.WorkerReported("nobody", "a", 3, 1, 0.1, 1.0),
        events.WorkerReported("w1", "a", -3, 1, 0.1, 1.0),
        events.WorkerReported("w1", "a", 3, 1, math.nan, 1.0),
        events.WorkerReported("w1", "a", 3, 1, 0.1, math.inf),
        events.SliceHeatReported(999, "look", 1, 0, 1.0),
        events.SliceHeatReported(1, "look", -1, 0, 1.0),
        events.TimerFired("late"),
        events.MessageAcknowledged(77, 5, 1.0),
        events.ProxyLeft(99),
        events.RouteStored(999, "w1", 1.0),
        events.PeerMessageReceived(3, b"x"),
        events.HealthCheckFinished("nobody", "answered", 0.1),
        events.ProxyTrafficReported(1, "look", 1, 0, 1.0),
        events.RouteStored(1, "w1", -1.0),
        events.WorkerReported("w1", "a", 3, 1, 0.1, 1.0, {"utilization": math.inf}),
    )
    assert not [o for o in orders if isinstance(o, events.SetRoute | events.SetAdmission)]
    assert [list(s.estimates) for s in site.manager.slices.values()] == before
