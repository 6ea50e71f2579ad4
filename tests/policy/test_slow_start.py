"""Workers in slow start: what they may take, and what they keep."""

from bramblewood import events

from .simulation import SimulatedSite, entry


def test_a_new_worker_takes_one_slice_a_cycle_within_its_budget():
    site = SimulatedSite()
    site.seconds(4)
    site.step(
        0.1,
        site.list_event([entry("w9", started=site.now)]),
        site.list_event([entry("w1", events.DEREGISTERED), entry("w2", events.DEREGISTERED)]),
    )
    assert len(site.slices_of("w9")) <= 1
    site.seconds(2)
    assert len(site.slices_of("w9")) <= 3


def test_a_worker_that_restarts_under_its_slices_keeps_a_warming_ones_part():
    site = SimulatedSite()
    site.seconds(5)
    site.step(0.1, site.list_event([entry("w1", started=site.now)]))
    site.seconds(1)
    assert len(site.slices_of("w1")) < 3


def test_a_new_standby_does_not_keep_a_slice_on_a_worker_that_restarted():
    site = SimulatedSite(workers=5, slices=15, slow_start_window=30.0)
    site.seconds(12)
    slices = [site.manager.slices[n] for n in site.slices_of("w1")]
    seconds = sorted({slice.standby.name for slice in slices})
    site.step(
        0.1,
        site.list_event(
            [entry("w1", started=site.now)] + [entry(name, events.DEREGISTERED) for name in seconds]
        ),
    )
    kept = [slice for slice in slices if slice.primary.name == "w1"]
    assert len(slices) == 3 and len(kept) < 3


def test_a_slow_start_budget_does_not_grow_with_retries():
    site = SimulatedSite()
    site.seconds(8)
    planner, cold = site.manager.planner, site.manager.worker("w9")
    site.step(0.1, site.list_event([entry("w9", started=site.now)]))
    before = planner.safe_capacity(cold)
    full = {"attempts": 12, "unanswered": 9, "load": {"utilization": 1.0}}
    site.seconds(6, heat=lambda n: 4.0, observed={f"w{k}": full for k in range(4)})
    assert (
        planner.total_heat > 40 and planner.safe_capacity(cold) < 2 * before
    )  # older, but not four times as able


def test_a_strained_worker_in_slow_start_takes_no_more():
    site = SimulatedSite()
    site.seconds(6)
    site.step(0.1, site.list_event([entry("w9", started=site.now - 2)]))
    cold, planner = site.manager.worker("w9"), site.manager.planner
    assert planner.can_take(cold, 0.1)
    cold.retries_off = True
    assert not planner.can_take(cold, 0.1)


def test_idle_newcomers_do_not_lower_the_sure_capacity_of_others():
    site = SimulatedSite(workers=4, slow_start_window=20.0)
    site.seconds(6)
    planner = site.manager.planner
    before, worker = planner.safe_capacity(site.manager.workers["w0"]), site.manager.workers["w0"]
    site.step(0.1, site.list_event([entry(f"x{k}", started=site.now) for k in range(8)]))
    site.seconds(2)
    assert planner.safe_capacity(worker) > 0.6 * before  # with their whole weights it would be a third
