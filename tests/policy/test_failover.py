"""Urgent moves and ejections."""

import pytest

from bramblewood import events
from bramblewood.policy.manager import Manager

from .simulation import SimulatedSite, list_entry


def test_slices_of_a_draining_or_deregistered_worker_move_at_once():
    for state in (events.DRAINING, events.DEREGISTERED):
        site = SimulatedSite()
        site.run_seconds(4)
        site.step(0.1, site.list_event([list_entry("w1", state)]))
        site.run_seconds(1)
        assert not site.slices_of("w1") or "w1" in site.excluded
        site.check_invariants()
        site.run_seconds(16)  # its routes are removed in ordinary turns
        assert not any("w1" in table for table in site.tables.values())


def test_slices_of_a_draining_worker_move_to_their_standby_up_to_its_capacity():
    """Guards the load accounting: proxies use the standby anyway until a new route arrives."""
    site = SimulatedSite(workers=6, slices=36)
    site.run_seconds(30, heat=0.3)
    slices = site.slices_of("w5")
    assert {min(site.tables[n], key=site.tables[n].get) for n in slices} == {"w4"}
    site.step(0.1, site.list_event([list_entry("w5", events.DRAINING)]))
    primaries = [site.manager.slices[n].primary.name for n in slices]
    # the slices beyond its capacity go to the least loaded workers
    assert primaries[0] == "w4" and 1 <= primaries.count("w4") < len(slices)
    site.run_seconds(2, heat=0.3)
    site.check_invariants()


def test_worker_that_stays_excluded_because_of_old_routes_receives_no_slice():
    site = SimulatedSite(workers=4, slices=90, max_waiting_lines=400, slow_start_window=0.0)
    site.run_seconds(30)
    for state in (events.DEREGISTERED, events.READY):
        site.step(0.1, site.list_event([list_entry("w1", state, started=site.now)]))
        site.step(1.0)
    worker, planner = site.manager.workers["w1"], site.manager.planner
    slices_with_old_route = [
        s for s in site.manager.own_slices() if worker in s.routes and worker not in (s.primary, s.standby)
    ]
    planner.loads.clear()
    assert slices_with_old_route and "w1" in site.excluded and planner.least_loaded(0.0, None) is not worker
    assert worker is not planner.least_loaded(0.0, None, True)
    site.run_seconds(60)
    assert "w1" not in site.excluded and not planner.blocked


def test_failing_worker_is_ejected_and_returns_in_slow_start():
    site = SimulatedSite()
    site.run_seconds(4)
    failing = {"w2": {"attempts": 20, "unanswered": 18, "load": {}}}
    site.run_seconds(3, observed=failing)
    assert not site.slices_of("w2")
    worker = site.manager.workers["w2"]
    assert not worker.usable
    site.run_seconds(6)
    assert worker.usable and not worker.is_warm


def test_no_worker_is_ejected_if_most_workers_fail_at_once():
    site = SimulatedSite()
    site.run_seconds(4)
    failing = {f"w{k}": {"attempts": 20, "unanswered": 18, "load": {}} for k in (0, 1, 2)}
    site.run_seconds(4, observed=failing)
    assert all(w.usable for w in site.manager.workers.values())


@pytest.mark.parametrize("heat, stays", [(0.7, False), (1.2, True)])
def test_overloaded_worker_is_ejected_only_while_others_have_capacity(heat, stays):
    """Guards workers against cascading overload, and clients against a single saturated worker."""
    site = SimulatedSite()
    site.run_seconds(4, heat)
    slow = {"w2": {"attempts": 20, "unanswered": 5, "mean_response_time": 1.5, "load": {"utilization": 1.0}}}
    site.run_seconds(2, heat, observed=slow)
    assert site.manager.workers["w2"].retries_off and site.manager.workers["w2"].usable  # no ejection
    saturated = {
        "w2": {
            "attempts": 20,
            "unanswered": 18,
            "mean_response_time": 1.8,
            "load": {"utilization": 1.0, "queued": 40.0},
        }
    }
    site.run_seconds(4, heat, observed=saturated)
    assert site.manager.workers["w2"].usable == stays and bool(site.slices_of("w2")) == stays


def test_restart_without_reports_cuts_no_admission():
    """Guards restarts: urgent moves before the first reports cut the levels of all workers."""
    site = SimulatedSite(workers=4, slices=24)
    site.manager = Manager(2, site.settings)
    stored_events = [
        event
        for number in site.tables
        for event in [events.SliceAssigned(number, True), events.RouteStored(number, "w0", 1.0)]
    ]
    site.timers.clear()
    site.step(
        0.1,
        site.list_event(
            [list_entry("w0", events.DEREGISTERED), *(list_entry(f"w{k}") for k in (1, 2, 3))], True
        ),
        *[events.ProxyJoined(p, "a", 5.0) for p in range(4)],
        *stored_events,
    )
    site.run_seconds(3, heat=0.3)
    assert all(w.admitted == [1.0] * 3 for w in site.manager.usable_workers()) and not site.slices_of("w0")


def test_restart_moves_the_slices_of_a_deregistered_worker_in_stored_tables():
    site = SimulatedSite()
    site.run_seconds(3)
    restarted = Manager(9, site.settings)
    entries = [list_entry(f"w{k}", events.DEREGISTERED if k == 1 else events.READY) for k in range(4)]
    batch = [events.WorkersListed(tuple(entries), True, True)]
    for number, table in site.tables.items():
        batch.append(events.SliceAssigned(number, True))
        batch += [events.RouteStored(number, w, weight) for w, weight in table.items()]
    orders = restarted.handle(site.now, batch + [events.ProxyJoined(0, "a", 1.0)])
    moved = {o.table: o.worker for o in orders if isinstance(o, events.SetRoute) and o.weight == 1.0}
    assert set(moved) >= set(site.slices_of("w1"))
    assert len(set(moved.values())) == 3  # spread, although no heat is known yet


def test_standby_routes_are_spread_evenly():
    site = SimulatedSite(workers=4, slices=24, max_messages=0, max_waiting_lines=20000)
    site.run_seconds(20)
    standbys = [min(table, key=table.get) for table in site.tables.values()]
    assert all(standbys.count(f"w{k}") == 6 for k in range(4))
    # slices whose standby was w3 get another
    site.step(0.1, site.list_event([list_entry("w3", events.DEREGISTERED)]))
    site.run_seconds(8)
    standbys = [min(table, key=table.get) for table in site.tables.values()]
    assert max(standbys.count(f"w{k}") for k in range(3)) <= 16
