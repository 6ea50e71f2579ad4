"""Publishing: what goes first, exclusions, and the limits of the channel."""

import pytest

from bramblewood import events
from bramblewood.policy.parameters import STANDBY_WEIGHT

from .simulation import SimulatedSite, entry


def test_ordinary_tables_go_out_a_tenth_each_turn_and_only_changes():
    site = SimulatedSite(slices=40, max_messages=0, max_waiting_lines=20000)
    sizes = []
    for _ in range(8):
        orders = site.step(0.5)
        sizes.append(len([o for o in orders if isinstance(o, events.SetRoute)]))
    assert 0 < max(sizes) <= 4  # forty standby lines, a tenth each turn
    site.seconds(30)
    lines = [o for o in site.orders if isinstance(o, events.SetRoute)]
    assert len(lines) == len(set(lines)) == 40 and all(o.weight == STANDBY_WEIGHT for o in lines)


def test_a_closed_workers_route_is_urgent_even_as_the_standby_of_an_ejected_one():
    site = SimulatedSite(workers=2)
    site.seconds(4)
    for worker in site.manager.workers.values():
        site.manager.schedule(worker.eject, "a test")
    site.manager.run_queue()
    site.step(0.1, site.list_event([entry("w1", events.DEREGISTERED)]))
    site.step(1.0)
    assert "w1" in site.excluded
    site.seconds(16)
    assert all(set(table) == {"w0"} for table in site.tables.values())


def test_exclusions_of_closed_workers_go_before_levels():
    site = SimulatedSite(workers=3, slices=30, max_waiting_lines=600, max_messages=0)
    site.seconds(12)
    named = {n for n, table in site.tables.items() if "w1" in table}
    for slice in site.manager.slices.values():  # levels of all slices wait to go out
        slice.admission = [(0.5, events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
    orders = site.step(0.05, site.list_event([entry("w1", events.DEREGISTERED)]))
    sent = {o.table for o in orders if isinstance(o, events.SetRoute | events.SetAdmission)}
    assert sent and sent <= named and len(sent) < 30


def test_messages_to_a_proxy_stay_under_the_allowance_however_often_tables_change():
    site = SimulatedSite()
    for count in range(300):
        slice = site.manager.slices[count % 12]
        slice.admission = [
            (round(0.1 + count % 9 / 10, 1), events.NO_RETRY)
        ] * 3  # a level that must be put right
        site.manager.publisher.enqueue(slice, True)
        site.step(0.1)
        site.check_invariants()
    assert len(site.messages) > 30


def test_closed_workers_are_excluded_by_a_line_each_and_readmitted_with_their_first_route():
    site = SimulatedSite(workers=6, slices=90, max_waiting_lines=400, slow_start_window=2.0)
    site.seconds(6)
    site.step(0.1, site.list_event([entry(f"w{k}", events.DRAINING) for k in range(4)]))
    site.seconds(1)
    assert site.excluded == {"w0", "w1", "w2", "w3"}
    assert any(name in site.excluded for table in site.tables.values() for name in table)
    site.step(0.1, events.ProxyJoined(0, "a", 5.0, True))
    assert [
        o for o in site.step(1.0) if isinstance(o, events.ExcludeWorker) and o.excluded
    ]  # it may not know
    site.step(0.1, site.list_event([entry(f"w{k}", started=site.now) for k in range(4)]))
    site.seconds(30, each=SimulatedSite.check_invariants)
    assert not site.excluded and site.slices_of("w0")


def test_tables_without_a_usable_route_leave_before_all_others():
    site = SimulatedSite(workers=6, slices=90, max_waiting_lines=400, lines_per_second=120.0, bare=30.0)
    site.seconds(30)
    pairs = {number: set(table) for number, table in site.tables.items()}
    gone = sorted(pairs[0])
    site.step(0.1, site.list_event([entry(name, events.DEREGISTERED) for name in gone]))
    bare = {number for number, names in pairs.items() if names <= set(gone)}
    first = [o.table for o in site.step(1.0) + site.step(1.0) if isinstance(o, events.SetRoute)]
    assert bare and set(first[: len(bare)]) <= bare


@pytest.mark.parametrize("seed", range(4))
def test_tables_that_leave_a_worker_in_slow_start_go_first_and_at_once(seed):
    """Guards a zone that returns cold under its slices: 53 tables waited a second behind better ones."""
    site = SimulatedSite(workers=8, slices=64, seed=seed, lines_per_second=1500.0)
    site.seconds(20)
    for number in range(0, 64, 8):  # urgent, but nobody falls over
        site.manager.schedule(
            site.manager.slices[number].assign_workers, site.manager.workers["w2"], None, True
        )
    site.step(0.05)
    sent = site.messages[-1]
    assert sent > site.now - 0.1
    for number in range(5, 64, 8):
        site.manager.schedule(
            site.manager.slices[number].assign_workers, site.manager.workers["w2"], None, True
        )
    site.step(0.05, site.list_event([entry("w1", started=site.now)]))
    left = []
    while not left:
        left = [o.table for o in site.step(0.05) if isinstance(o, events.SetRoute) and o.weight == 1.0]
    leaving = {n for n in range(1, 64, 8) if site.manager.slices[n].primary.name != "w1"}
    assert leaving and set(left[: min(len(leaving), len(left))]) <= leaving
    assert site.now - sent < 0.75
    site.check_invariants()


def test_many_small_changes_share_a_message():
    site = SimulatedSite(max_messages=0)
    site.seconds(4)
    before = len(site.messages)
    for k in range(20):
        site.manager.schedule(
            site.manager.slices[k % 12].assign_workers,
            site.manager.workers[f"w{(k + 1) % 4}"],
            None,
            True,
        )
        site.step(0.1)
    assert 0 < len(site.messages) - before <= 5


def test_acknowledgements_that_were_lost_hold_nothing_back():
    """Guards drains: with the answers of one message lost, no withdrawal went out for ten seconds."""
    site = SimulatedSite(workers=4, slices=40, max_waiting_lines=400, lines_per_second=400.0)
    site.seconds(6)
    site.acknowledgements.clear()  # the news fall silent
    for slice in site.manager.own_slices():
        slice.admission = [(0.5, events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
    site.step(0.5)
    assert site.acknowledgements
    site.acknowledgements.clear()
    site.step(2.6, *[events.ProxyJoined(p, "a", 5.0) for p in range(4)])  # and are read anew
    site.step(0.1, site.list_event([entry("w1", events.DRAINING)]))
    site.step(0.6)
    assert "w1" in site.excluded


@pytest.mark.parametrize("after, held", [(0.5, True), (5.0, False)])
def test_an_acknowledgement_lost_just_before_a_rejoin_is_awaited_for_some_seconds(after, held):
    """Guards the channel, where that message may wait yet, and later all others, which it would hold back."""
    site = SimulatedSite(workers=4, slices=40, max_waiting_lines=400, lines_per_second=400.0)
    site.seconds(6)
    for slice in site.manager.own_slices():
        slice.admission = [(0.5, events.NO_RETRY)] * 3
        site.manager.publisher.enqueue(slice, True)
    site.step(0.5)
    sent = site.manager.publisher.sent.messages[-1]
    site.acknowledgements.clear()
    site.step(0.5, *[events.ProxyJoined(p, "a", 5.0) for p in range(4)])
    site.step(after)
    assert bool(sent.awaited) == held


def test_a_channel_far_behind_its_pace_gets_no_more():
    """Guards the channel's limit: at a tenth of its pace messages wait for half a minute and longer."""
    site = SimulatedSite(workers=4, slices=40, max_waiting_lines=400, lines_per_second=400.0)
    site.seconds(6)
    site.lines_per_second, site.acknowledgements = 0.0001, []
    for second in range(60):
        for slice in site.manager.own_slices():
            slice.admission = [(0.5 - second % 2 / 10, events.NO_RETRY)] * 3
            site.manager.publisher.enqueue(slice, True)
        site.step(1.0)
    site.check_invariants()


@pytest.mark.parametrize("after, let", [(5, True), (90, False)])
def test_a_worker_that_an_earlier_start_may_have_excluded_is_readmitted(after, let):
    """Guards a restart: proxies keep off whom the earlier start withdrew; new ids later need no line."""
    site = SimulatedSite(workers=3)
    site.seconds(after)
    site.step(0.0, site.list_event([entry("w9", started=site.now - 1)]))
    site.orders.clear()
    site.seconds(40, heat=lambda number: 1.0 + number)
    assert site.slices_of("w9") and (events.ExcludeWorker("w9", False) in site.orders) == let
