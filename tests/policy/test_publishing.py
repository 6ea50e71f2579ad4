"""Publishing: priorities, exclusions and the limits of the channel."""

import pytest

from bramblewood import events
from bramblewood.policy.parameters import STANDBY_WEIGHT

from .simulation import SimulatedSite, list_entry


def test_a_tenth_of_the_ordinary_tables_goes_out_each_turn_as_changes():
    site = SimulatedSite(slices=40, max_messages=0, max_waiting_lines=20000)
    sizes = []
    for _ in range(8):
        orders = site.step(0.5)
        sizes.append(len([o for o in orders if isinstance(o, events.SetRoute)]))
    assert 0 < max(sizes) <= 4  # forty standby routes, a tenth each turn
    site.run_seconds(30)
    routes = [o for o in site.orders if isinstance(o, events.SetRoute)]
    assert len(routes) == len(set(routes)) == 40 and all(o.weight == STANDBY_WEIGHT for o in routes)


def test_deregistered_standby_of_an_ejected_primary_is_excluded_at_once():
    site = SimulatedSite(workers=2)
    site.run_seconds(4)
    for worker in site.manager.workers.values():
        site.manager.schedule(worker.eject, "a test")
    site.manager.run_queue()
    site.step(0.1, site.list_event([list_entry("w1", events.DEREGISTERED)]))
    site.step(1.0)
    assert "w1" in site.excluded
    site.run_seconds(16)
    assert all(set(table) == {"w0"} for table in site.tables.values())


def test_tables_of_a_deregistered_worker_are_sent_before_changes_of_levels():
    site = SimulatedSite(workers=3, slices=30, max_waiting_lines=600, max_messages=0)
    site.run_seconds(12)
    routed = {n for n, table in site.tables.items() if "w1" in table}
    for slice in site.manager.slices.values():  # levels of all slices are queued
        slice.admission = [(0.5, events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
    orders = site.step(0.05, site.list_event([list_entry("w1", events.DEREGISTERED)]))
    sent = {o.table for o in orders if isinstance(o, events.SetRoute | events.SetAdmission)}
    assert sent and sent <= routed and len(sent) < 30


def test_message_count_stays_within_its_limit_under_frequent_changes():
    site = SimulatedSite()
    for count in range(300):
        slice = site.manager.slices[count % 12]
        # a level that differs from the policy's
        slice.admission = [(round(0.1 + count % 9 / 10, 1), events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
        site.step(0.1)
        site.check_invariants()
    assert len(site.message_times) > 30


def test_draining_workers_are_excluded_and_readmitted_with_their_first_route():
    site = SimulatedSite(workers=6, slices=90, max_waiting_lines=400, slow_start_window=2.0)
    site.run_seconds(6)
    site.step(0.1, site.list_event([list_entry(f"w{k}", events.DRAINING) for k in range(4)]))
    site.run_seconds(1)
    assert site.excluded == {"w0", "w1", "w2", "w3"}
    assert any(name in site.excluded for table in site.tables.values() for name in table)
    site.step(0.1, events.ProxyJoined(0, "a", 5.0, True))
    # the proxy may lack the exclusions
    assert [o for o in site.step(1.0) if isinstance(o, events.ExcludeWorker) and o.excluded]
    site.step(0.1, site.list_event([list_entry(f"w{k}", started=site.now) for k in range(4)]))
    site.run_seconds(30, after_second=SimulatedSite.check_invariants)
    assert not site.excluded and site.slices_of("w0")


def test_tables_without_a_usable_route_are_sent_first():
    site = SimulatedSite(workers=6, slices=90, max_waiting_lines=400, lines_per_second=120.0, bare=30.0)
    site.run_seconds(30)
    routed = {number: set(table) for number, table in site.tables.items()}
    deregistered = sorted(routed[0])
    site.step(0.1, site.list_event([list_entry(name, events.DEREGISTERED) for name in deregistered]))
    unserved = {number for number, names in routed.items() if names <= set(deregistered)}
    first = [o.table for o in site.step(1.0) + site.step(1.0) if isinstance(o, events.SetRoute)]
    assert unserved and set(first[: len(unserved)]) <= unserved


@pytest.mark.parametrize("seed", range(4))
def test_tables_that_relieve_a_worker_in_slow_start_are_sent_first_and_without_delay(seed):
    """Guards restarted workers: tables that relieve them waited behind other urgent tables."""
    site = SimulatedSite(workers=8, slices=64, seed=seed, lines_per_second=1500.0)
    site.run_seconds(20)
    for number in range(0, 64, 8):  # urgent, but relieves no worker in slow start
        site.manager.schedule(
            site.manager.slices[number].assign_workers, site.manager.workers["w2"], None, True
        )
    site.step(0.05)
    sent_at = site.message_times[-1]
    assert sent_at > site.now - 0.1
    for number in range(5, 64, 8):
        site.manager.schedule(
            site.manager.slices[number].assign_workers, site.manager.workers["w2"], None, True
        )
    site.step(0.05, site.list_event([list_entry("w1", started=site.now)]))
    moved = []
    while not moved:
        moved = [o.table for o in site.step(0.05) if isinstance(o, events.SetRoute) and o.weight == 1.0]
    leaving = {n for n in range(1, 64, 8) if site.manager.slices[n].primary.name != "w1"}
    assert leaving and set(moved[: min(len(leaving), len(moved))]) <= leaving
    assert site.now - sent_at < 0.75
    site.check_invariants()


def test_frequent_small_changes_share_messages():
    site = SimulatedSite(max_messages=0)
    site.run_seconds(4)
    before = len(site.message_times)
    for k in range(20):
        site.manager.schedule(
            site.manager.slices[k % 12].assign_workers,
            site.manager.workers[f"w{(k + 1) % 4}"],
            None,
            True,
        )
        site.step(0.1)
    assert 0 < len(site.message_times) - before <= 5


def test_lost_acknowledgements_do_not_delay_a_drain():
    """Guards drains: after lost acknowledgements, no exclusion went out for ten seconds."""
    site = SimulatedSite(workers=4, slices=40, max_waiting_lines=400, lines_per_second=400.0)
    site.run_seconds(6)
    site.acknowledgements.clear()  # the acknowledgement stream breaks
    for slice in site.manager.own_slices():
        slice.admission = [(0.5, events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
    site.step(0.5)
    assert site.acknowledgements
    site.acknowledgements.clear()
    site.step(2.6, *[events.ProxyJoined(p, "a", 5.0) for p in range(4)])  # the stream opens again
    site.step(0.1, site.list_event([list_entry("w1", events.DRAINING)]))
    site.step(0.6)
    assert "w1" in site.excluded


@pytest.mark.parametrize("delay, awaited", [(0.5, True), (5.0, False)])
def test_acknowledgement_lost_before_a_rejoin_is_awaited_only_for_some_seconds(delay, awaited):
    """Guards the channel, in which the message may still wait, and later messages, which it would delay."""
    site = SimulatedSite(workers=4, slices=40, max_waiting_lines=400, lines_per_second=400.0)
    site.run_seconds(6)
    for slice in site.manager.own_slices():
        slice.admission = [(0.5, events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
    site.step(0.5)
    sent = site.manager.publisher.sent.messages[-1]
    site.acknowledgements.clear()
    site.step(0.5, *[events.ProxyJoined(p, "a", 5.0) for p in range(4)])
    site.step(delay)
    assert bool(sent.awaited) == awaited


def test_channel_slower_than_its_rate_is_not_filled_beyond_its_limit():
    """Guards the channel's limit: in a slow channel messages wait for half a minute and longer."""
    site = SimulatedSite(workers=4, slices=40, max_waiting_lines=400, lines_per_second=400.0)
    site.run_seconds(6)
    site.lines_per_second, site.acknowledgements = 0.0001, []
    for second in range(60):
        for slice in site.manager.own_slices():
            slice.admission = [(0.5 - second % 2 / 10, events.NO_RETRY)] * 3
            site.manager.publisher.enqueue(slice, True)
        site.step(1.0)
    site.check_invariants()


@pytest.mark.parametrize("uptime, readmitted", [(5, True), (90, False)])
def test_new_worker_is_readmitted_only_soon_after_the_start_of_the_manager(uptime, readmitted):
    """Guards restarts: proxies keep an earlier run's exclusions. Workers that appear later need no order."""
    site = SimulatedSite(workers=3)
    site.run_seconds(uptime)
    site.step(0.0, site.list_event([list_entry("w9", started=site.now - 1)]))
    site.orders.clear()
    site.run_seconds(40, heat=lambda number: 1.0 + number)
    assert site.slices_of("w9") and (events.ExcludeWorker("w9", False) in site.orders) == readmitted
