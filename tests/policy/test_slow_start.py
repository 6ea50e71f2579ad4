"""Workers in slow start: the slices that they may receive and keep."""

from bramblewood import events

from .simulation import SimulatedSite, list_entry


def test_new_worker_receives_at_most_one_slice_a_cycle():
    site = SimulatedSite()
    site.run_seconds(4)
    site.step(
        0.1,
        site.list_event([list_entry("w9", started=site.now)]),
        site.list_event([list_entry("w1", events.DEREGISTERED), list_entry("w2", events.DEREGISTERED)]),
    )
    assert len(site.slices_of("w9")) <= 1
    site.run_seconds(2)
    assert len(site.slices_of("w9")) <= 3


def test_restarted_worker_keeps_only_slices_within_its_budget():
    site = SimulatedSite()
    site.run_seconds(5)
    site.step(0.1, site.list_event([list_entry("w1", started=site.now)]))
    site.run_seconds(1)
    assert len(site.slices_of("w1")) < 3


def test_assignment_of_a_standby_does_not_keep_slices_on_a_restarted_worker():
    site = SimulatedSite(workers=5, slices=15, slow_start_window=30.0)
    site.run_seconds(12)
    slices = [site.manager.slices[n] for n in site.slices_of("w1")]
    standbys = sorted({slice.standby.name for slice in slices})
    site.step(
        0.1,
        site.list_event(
            [list_entry("w1", started=site.now)]
            + [list_entry(name, events.DEREGISTERED) for name in standbys]
        ),
    )
    kept = [slice for slice in slices if slice.primary.name == "w1"]
    assert len(slices) == 3 and len(kept) < 3


def test_slow_start_budget_does_not_grow_with_retries():
    site = SimulatedSite()
    site.run_seconds(8)
    planner, warming = site.manager.planner, site.manager.worker("w9")
    site.step(0.1, site.list_event([list_entry("w9", started=site.now)]))
    before = planner.safe_capacity(warming)
    overloaded = {"attempts": 12, "unanswered": 9, "load": {"utilization": 1.0}}
    site.run_seconds(6, heat=lambda n: 4.0, observed={f"w{k}": overloaded for k in range(4)})
    # the capacity grows as slow start goes on, but not with the heat of the retries
    assert planner.total_heat > 40 and planner.safe_capacity(warming) < 2 * before


def test_overloaded_worker_in_slow_start_receives_no_slice():
    site = SimulatedSite()
    site.run_seconds(6)
    site.step(0.1, site.list_event([list_entry("w9", started=site.now - 2)]))
    warming, planner = site.manager.worker("w9"), site.manager.planner
    assert planner.can_take(warming, 0.1)
    warming.retries_off = True
    assert not planner.can_take(warming, 0.1)


def test_idle_new_workers_do_not_lower_the_safe_capacity_of_others():
    site = SimulatedSite(workers=4, slow_start_window=20.0)
    site.run_seconds(6)
    planner = site.manager.planner
    before, worker = planner.safe_capacity(site.manager.workers["w0"]), site.manager.workers["w0"]
    site.step(0.1, site.list_event([list_entry(f"x{k}", started=site.now) for k in range(8)]))
    site.run_seconds(2)
    assert planner.safe_capacity(worker) > 0.6 * before  # with their full weights, it would be a third
