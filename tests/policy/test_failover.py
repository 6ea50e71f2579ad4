"""Urgent moves and ejections."""

import pytest

from bramblewood import events
from bramblewood.policy.manager import Manager

from .simulation import SimulatedSite, entry


def test_slices_of_a_closed_worker_move_at_once():
    for state in (events.DRAINING, events.DEREGISTERED):
        site = SimulatedSite()
        site.seconds(4)
        site.step(0.1, site.list_event([entry("w1", state)]))
        site.seconds(1)
        assert not site.slices_of("w1") or "w1" in site.excluded
        site.check_invariants()
        site.seconds(16)  # its lines go by and by
        assert not any("w1" in table for table in site.tables.values())


def test_slices_of_a_closed_worker_go_to_their_standby_while_it_has_capacity():
    """Guards books and channel: till a line came, seconds later, their second worker had them anyway."""
    site = SimulatedSite(workers=6, slices=36)
    site.seconds(30, heat=0.3)
    held = site.slices_of("w5")
    assert {min(site.tables[n], key=site.tables[n].get) for n in held} == {"w4"}
    site.step(0.1, site.list_event([entry("w5", events.DRAINING)]))
    mains = [site.manager.slices[n].primary.name for n in held]
    assert mains[0] == "w4" and 1 <= mains.count("w4") < len(held)  # the rest to the least loaded
    site.seconds(2, heat=0.3)
    site.check_invariants()


def test_no_slice_goes_to_a_worker_that_old_routes_keep_excluded():
    site = SimulatedSite(workers=4, slices=90, max_waiting_lines=400, slow_start_window=0.0)
    site.seconds(30)
    for state in (events.DEREGISTERED, events.READY):
        site.step(0.1, site.list_event([entry("w1", state, started=site.now)]))
        site.step(1.0)
    worker, planner = site.manager.workers["w1"], site.manager.planner
    others = [
        p for p in site.manager.own_slices() if worker in p.routes and worker not in (p.primary, p.standby)
    ]
    planner.loads.clear()
    assert others and "w1" in site.excluded and planner.least_loaded(0.0, None) is not worker
    assert worker is not planner.least_loaded(0.0, None, True)
    site.seconds(60)
    assert "w1" not in site.excluded and not planner.blocked


def test_a_failing_worker_is_ejected_and_returns_in_slow_start():
    site = SimulatedSite()
    site.seconds(4)
    failing = {"w2": {"attempts": 20, "unanswered": 18, "load": {}}}
    site.seconds(3, observed=failing)
    assert not site.slices_of("w2")
    worker = site.manager.workers["w2"]
    assert not worker.usable
    site.seconds(6)
    assert worker.usable and not worker.is_warm


def test_most_of_the_fleet_is_never_ejected():
    site = SimulatedSite()
    site.seconds(4)
    failing = {f"w{k}": {"attempts": 20, "unanswered": 18, "load": {}} for k in (0, 1, 2)}
    site.seconds(4, observed=failing)
    assert all(w.usable for w in site.manager.workers.values())


@pytest.mark.parametrize("heat, kept", [(0.7, False), (1.2, True)])
def test_a_slow_worker_is_ejected_only_where_others_have_capacity(heat, kept):
    """Guards the next one, which a full one's slices would fill; and clients, while one alone is jammed."""
    site = SimulatedSite()
    site.seconds(4, heat)
    slow = {"w2": {"attempts": 20, "unanswered": 5, "mean_response_time": 1.5, "load": {"utilization": 1.0}}}
    site.seconds(2, heat, observed=slow)
    assert site.manager.workers["w2"].retries_off and site.manager.workers["w2"].usable  # retries go first
    jam = {
        "w2": {
            "attempts": 20,
            "unanswered": 18,
            "mean_response_time": 1.8,
            "load": {"utilization": 1.0, "queued": 40.0},
        }
    }
    site.seconds(4, heat, observed=jam)
    assert site.manager.workers["w2"].usable == kept and bool(site.slices_of("w2")) == kept


def test_a_start_without_reports_cuts_nothing():
    """Guards a restart: slices of the gone were given out, and all levels cut to an eighth for 10 s."""
    site = SimulatedSite(workers=4, slices=24)
    site.manager = Manager(2, site.settings)
    given = [
        event
        for number in site.tables
        for event in [events.SliceAssigned(number, True), events.RouteStored(number, "w0", 1.0)]
    ]
    site.timers.clear()
    site.step(
        0.1,
        site.list_event([entry("w0", events.DEREGISTERED), *(entry(f"w{k}") for k in (1, 2, 3))], True),
        *[events.ProxyJoined(p, "a", 5.0) for p in range(4)],
        *given,
    )
    site.seconds(3, heat=0.3)
    assert all(w.admitted == [1.0] * 3 for w in site.manager.usable_workers()) and not site.slices_of("w0")


def test_a_restart_recovers_from_the_stores_tables():
    site = SimulatedSite()
    site.seconds(3)
    fresh = Manager(9, site.settings)
    items = [entry(f"w{k}", events.DEREGISTERED if k == 1 else events.READY) for k in range(4)]
    batch = [events.WorkersListed(tuple(items), True, True)]
    for number, table in site.tables.items():
        batch.append(events.SliceAssigned(number, True))
        batch += [events.RouteStored(number, w, part) for w, part in table.items()]
    orders = fresh.handle(site.now, batch + [events.ProxyJoined(0, "a", 1.0)])
    moved = {o.table: o.worker for o in orders if isinstance(o, events.SetRoute) and o.weight == 1.0}
    assert set(moved) >= set(site.slices_of("w1"))
    assert len(set(moved.values())) == 3  # spread, though no heat is known yet


def test_standby_routes_are_spread_over_the_workers():
    site = SimulatedSite(workers=4, slices=24, max_messages=0, max_waiting_lines=20000)
    site.seconds(20)
    seconds = [min(table, key=table.get) for table in site.tables.values()]
    assert all(seconds.count(f"w{k}") == 6 for k in range(4))
    site.step(
        0.1, site.list_event([entry("w3", events.DEREGISTERED)])
    )  # many are given out again at one time
    site.seconds(8)
    seconds = [min(table, key=table.get) for table in site.tables.values()]
    assert max(seconds.count(f"w{k}") for k in range(3)) <= 16
