"""Admission control: retry modes and levels under overload."""

from bramblewood import events

from .simulation import SimulatedSite, list_entry


def test_overload_cuts_retries_then_levels_without_ejection_until_it_ends():
    site = SimulatedSite()
    site.run_seconds(4)
    overloaded = {
        "w2": {"attempts": 20, "unanswered": 12, "mean_response_time": 0.5, "load": {"utilization": 3.0}}
    }
    history = []
    site.run_seconds(6, observed=overloaded, after_second=lambda s: history.append(dict(s.admission)))
    assert site.manager.workers["w2"].usable
    least_billed = [rules[n, 0] for rules in history for n in site.slices_of("w2") if (n, 0) in rules]
    assert least_billed[0] == (1.0, events.NO_RETRY) and least_billed[-1][0] < 1.0
    assert all(rules[n, 1][0] == 1.0 for rules in history for n in site.slices_of("w2") if (n, 1) in rules)
    site.run_seconds(30)
    assert all(level == 1.0 for level, _ in site.admission.values())


def test_operations_that_are_not_idempotent_retry_only_unstarted_attempts():
    site = SimulatedSite()
    site.run_seconds(2)
    assert site.admission[events.ALL_SLICES, 1][1] <= events.RETRY_UNSTARTED
    assert site.admission[events.ALL_SLICES, 2][1] <= events.RETRY_UNSTARTED


def test_urgent_moves_beyond_the_capacity_of_a_worker_cut_its_level_early():
    site = SimulatedSite(workers=3)
    site.run_seconds(6)
    site.step(0.1, site.list_event([list_entry("w1", events.DEREGISTERED)]))
    moved = {number for number in site.tables if number % 3 == 1}
    site.run_seconds(1)
    levels = [site.admission.get((number, 0), (1.0,))[0] for number in moved]
    assert min(levels) == 1.0  # two workers have enough capacity
    site.step(0.1, site.list_event([list_entry("w2", events.DEREGISTERED)]))
    site.run_seconds(1)
    assert all(site.admission[number, 0][0] < 1.0 for number in site.slices_of("w0"))  # one worker does not
    site.check_invariants()


def test_surge_of_heat_at_all_slices_cuts_levels_before_responses_are_slow():
    site = SimulatedSite(max_messages=0)
    site.run_seconds(8, heat=lambda n: 1.5)
    site.step(0.5)
    site.step(0.5, *[events.SliceHeatReported(n, "look", 80, 0, 20.0) for n in site.tables])
    site.run_seconds(1, heat=lambda n: 4.0)
    assert any(level < 1 for (_, k), (level, _) in site.admission.items() if k == 0)


def test_unanswered_attempts_or_slow_responses_of_an_idle_worker_do_not_cut_levels():
    site = SimulatedSite()
    site.run_seconds(4)
    unanswered = {"attempts": 20, "unanswered": 9, "mean_response_time": 0.2, "load": {"utilization": 0.9}}
    # a worker that is far away, but not busy
    slow = {
        "attempts": 20,
        "mean_response_time": 0.9,
        "load": {"utilization": 0.4},
    }
    for report in (unanswered, slow):
        site.run_seconds(8, observed={f"w{k}": report for k in range(4)})
    assert all(level == 1.0 for level, _ in site.admission.values())


def test_fewer_than_four_attempts_do_not_cut_admission():
    worker = SimulatedSite().manager.worker("w0")
    for count in range(1, 5):
        worker.add_report(events.WorkerReported("w0", "a", 1, 0, 0.9, 1.0, {"utilization": 1.0}))
        worker.end_cycle(1.0, 1.0)
        assert worker.retries_off == (count >= 4)


def test_level_does_not_rise_in_cycles_without_a_report():
    """Guards large sites, where reports arrive every third cycle: levels rose in the cycles between them."""
    site = SimulatedSite(slices=8)
    slow = {"w0": {"load": {"utilization": 1.2}, "mean_response_time": 0.8, "attempts": 20}}
    site.run_seconds(9, observed=slow)
    worker = site.manager.workers["w0"]
    level = worker.admitted[0]
    assert level < 1
    for reported in (False, False, True) * 4:
        batch = site.reports(1.0, slow)
        site.step(0.5)
        site.step(0.5, *(e for e in batch if reported or getattr(e, "worker", "") != "w0"))
        assert worker.admitted[0] <= level
        level = worker.admitted[0]
    site.states["w0"] = events.DEREGISTERED  # its reports end, and after three cycles levels rise
    site.run_seconds(8)
    assert worker.admitted[0] > level


def test_levels_rise_faster_if_the_load_is_further_below_the_limit():
    rises = []
    for utilization in (0.1, 0.7):
        worker = SimulatedSite().manager.worker("w0")
        worker.admitted = [0.1] * 3
        worker.new_loads.append(utilization)
        worker.end_cycle(1.0, 1.0)
        rises.append(sum(worker.admitted) - 0.3)
    assert 0.2 <= rises[1] < 0.3 < rises[0]
