"""Admission control: retries and levels under overload."""

from bramblewood import events

from .simulation import SimulatedSite, entry


def test_overload_is_not_failure_retries_are_cut_before_levels_and_come_back():
    site = SimulatedSite()
    site.seconds(4)
    full = {"w2": {"attempts": 20, "unanswered": 12, "mean_response_time": 0.5, "load": {"utilization": 3.0}}}
    seen = []
    site.seconds(6, observed=full, each=lambda now: seen.append(dict(now.admission)))
    assert site.manager.workers["w2"].usable
    hot = [rules[n, 0] for rules in seen for n in site.slices_of("w2") if (n, 0) in rules]
    assert hot[0] == (1.0, events.NO_RETRY) and hot[-1][0] < 1.0  # retries first, then the level
    assert all(rules[n, 1][0] == 1.0 for rules in seen for n in site.slices_of("w2") if (n, 1) in rules)
    site.seconds(30)
    assert all(level == 1.0 for level, _ in site.admission.values())


def test_retry_orders_never_repeat_what_may_take_effect_twice():
    site = SimulatedSite()
    site.seconds(2)
    assert site.admission[events.ALL_SLICES, 1][1] <= events.RETRY_UNSTARTED
    assert site.admission[events.ALL_SLICES, 2][1] <= events.RETRY_UNSTARTED


def test_urgent_slices_past_a_workers_capacity_cut_its_level_ahead():
    site = SimulatedSite(workers=3)
    site.seconds(6)
    site.step(0.1, site.list_event([entry("w1", events.DEREGISTERED)]))
    taken = {number for number in site.tables if number % 3 == 1}
    site.seconds(1)
    levels = [site.admission.get((number, 0), (1.0,))[0] for number in taken]
    assert min(levels) == 1.0  # two workers can carry this
    site.step(0.1, site.list_event([entry("w2", events.DEREGISTERED)]))
    site.seconds(1)
    assert all(site.admission[number, 0][0] < 1.0 for number in site.slices_of("w0"))  # one cannot
    site.check_invariants()


def test_a_surge_of_all_heat_cuts_levels_before_any_answer_is_slow():
    site = SimulatedSite(max_messages=0)
    site.seconds(8, heat=lambda n: 1.5)
    site.step(0.5)
    site.step(0.5, *[events.SliceHeatReported(n, "look", 80, 0, 20.0) for n in site.tables])
    site.seconds(1, heat=lambda n: 4.0)
    assert any(level < 1 for (_, k), (level, _) in site.admission.items() if k == 0)


def test_quick_answers_keep_levels_whatever_stays_unanswered():
    site = SimulatedSite()
    site.seconds(4)
    mute = {"attempts": 20, "unanswered": 9, "mean_response_time": 0.2, "load": {"utilization": 0.9}}
    slow = {
        "attempts": 20,
        "mean_response_time": 0.9,
        "load": {"utilization": 0.4},
    }  # far to reach, but not busy
    for report in (mute, slow):
        site.seconds(8, observed={f"w{k}": report for k in range(4)})
    assert all(level == 1.0 for level, _ in site.admission.values())


def test_a_few_attempts_wait_for_more_before_they_count():
    worker = SimulatedSite().manager.worker("w0")
    for count in range(1, 5):
        worker.add_report(events.WorkerReported("w0", "a", 1, 0, 0.9, 1.0, {"utilization": 1.0}))
        worker.end_cycle(1.0, 1.0)
        assert worker.retries_off == (count >= 4)


def test_a_level_does_not_rise_in_cycles_without_a_report():
    """Guards full size: sums come each third cycle there, and what one cut the next two let in again."""
    site = SimulatedSite(slices=8)
    late = {"w0": {"load": {"utilization": 1.2}, "mean_response_time": 0.8, "attempts": 20}}
    site.seconds(9, observed=late)
    worker = site.manager.workers["w0"]
    low = worker.admitted[0]
    assert low < 1
    for told in (False, False, True) * 4:
        batch = site.reports(1.0, late)
        site.step(0.5)
        site.step(0.5, *(e for e in batch if told or getattr(e, "worker", "") != "w0"))
        assert worker.admitted[0] <= low
        low = worker.admitted[0]
    site.states["w0"] = events.DEREGISTERED  # no report of it any more: after three cycles it is let in again
    site.seconds(8)
    assert worker.admitted[0] > low


def test_levels_rise_faster_the_further_a_worker_is_from_its_limit():
    rises = []
    for busy in (0.1, 0.7):
        worker = SimulatedSite().manager.worker("w0")
        worker.admitted = [0.1] * 3
        worker.new_loads.append(busy)
        worker.end_cycle(1.0, 1.0)
        rises.append(sum(worker.admitted) - 0.3)
    assert 0.2 <= rises[1] < 0.3 < rises[0]
