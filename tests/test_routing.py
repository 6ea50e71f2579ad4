"""Routing without sockets: what is told and called, with endings at random and at every point of a call."""

import json
import random

import pytest

from bramblewood import events
from bramblewood.net.protocol import frames
from bramblewood.net.routing import (
    collectors,
    discovery,
    health_checks,
    outcomes,
    peers,
    relay_calls,
    relay_updates,
    stream,
)
from bramblewood.net.transport.ending import Ending

from .helper import Edge, pieces

ADDRESS = ("127.0.0.1", 1)
LOSSES = [Ending.CLOSED, Ending.RESET, Ending.SILENT, Ending.UNREADABLE]


class Relay:
    """The relay as the page tells it: takes orders in turn, keeps tables, and answers or not."""

    def __init__(self, dice=None):
        self.edge, self.dice, self.done, self.tables, self.unknown = Edge(), dice, [], {}, set()
        self.reads = 0
        self.calls = relay_calls.RelayCalls(
            self.edge.loop,
            ADDRESS,
            ["look", "pay"],
            self.edge.notices,
            self.edge.tell,
            self.done.append,
            self.read_store,
            self.edge.dial,
        )

    def read_store(self):
        self.reads += 1

    def line(self):
        return self.edge.lines[-1]

    def open(self):
        return self.line().open()

    def out(self):
        """The orders of the call that is out, as texts."""
        return self.line().sent[-1].decode().removeprefix("APPLY ").rstrip("\r\n").split(";")

    def apply(self, texts):
        for count, text in enumerate(texts):
            word, *rest = text.split(",")
            if word == "SET" and rest[1] in self.unknown:
                return count
            if word == "SET":
                self.tables.setdefault(rest[0], {})[rest[1]] = float(rest[2])
        return len(texts)


def sets(*lines):
    return [events.SetRoute(number, worker, weight) for number, worker, weight in lines]


def test_one_call_is_out_at_a_time_and_what_comes_meanwhile_is_folded():
    relay = Relay()
    relay.calls.submit([*sets((1, "a", 1.0)), events.RequestAcknowledgement(1)])
    assert relay.open() and relay.out() == ["SET,1,a,1.0", "SYNC,1,0"]
    relay.calls.submit([*sets((2, "a", 1.0), (1, "a", 0)), events.RequestAcknowledgement(2)])
    relay.calls.submit([*sets((1, "a", 0.5)), events.RequestAcknowledgement(3)])
    assert len(relay.line().sent) == 1
    relay.line().bring(b"OK ")
    relay.line().bring(b"2\r\n")
    assert relay.out() == ["SET,2,a,1.0", "SET,1,a,0.5", "SYNC,3,0"] and relay.done[0].worker == "a"
    relay.calls.acknowledged(
        events.MessageAcknowledged(7, 3, 0.4)
    )  # the one that went out stands for the one folded
    assert relay.edge.news() == [events.MessageAcknowledged(7, 2, 0.4), events.MessageAcknowledged(7, 3, 0.4)]


def test_emptying_a_table_takes_the_place_of_its_earlier_orders():
    relay = Relay()
    relay.calls.submit(
        [
            *sets((1, "a", 1.0), (2, "a", 1.0)),
            events.SetAdmission(1, (0,), 0.5, 0),
            events.ClearTable(1),
            *sets((1, "b", 1.0)),
        ]
    )
    relay.open()
    assert relay.out() == ["SET,2,a,1.0", "DEL,1", "SET,1,b,1.0"]


def test_orders_given_before_the_run_wait_and_go_out_in_one_call():
    relay = Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    relay.open().bring(b"ERR limit\r\n")
    relay.calls.submit(sets((2, "a", 1.0)))
    assert len(relay.line().sent) == 1
    relay.edge.wait(relay_calls.NOT_STARTED_BACKOFF + 0.1)
    relay.line().bring(b"ERR limit\r\n")
    relay.calls.submit([events.RequestAcknowledgement(1)])
    relay.calls.submit([events.ExcludeWorker("b", True)])
    relay.edge.wait(relay_calls.NOT_STARTED_BACKOFF + 0.1)
    assert relay.out() == ["SET,1,a,1.0", "SET,2,a,1.0", "OUT,b", "SYNC,1,0"]  # the mark is for all of them


def test_a_short_answer_costs_only_the_order_at_fault():
    relay = Relay()
    relay.unknown = {"x"}
    relay.calls.submit(sets((1, "a", 1.0), (1, "x", 1.0), (2, "b", 1.0), (3, "c", 1.0)))
    relay.open()
    relay.line().bring(b"OK %d\r\n" % relay.apply(relay.out()))
    assert relay.out() == ["SET,2,b,1.0", "SET,3,c,1.0"]
    assert ("order not taken", "SET,1,x,1.0") in [(what, more.get("order")) for what, more in relay.edge.said]


def test_a_call_refused_as_a_whole_is_halved_till_the_fault_stands_alone():
    relay = Relay()
    relay.calls.submit(sets(*((number, "a", 1.0) for number in range(9))))
    relay.open()
    for _ in range(40):
        if relay.calls.in_flight:
            texts = relay.out()
            bad = "SET,5,a,1.0" in texts
            relay.line().bring(b"malformed\r\n" if bad else b"OK %d\r\n" % relay.apply(texts))
    assert sorted(relay.tables) == ["0", "1", "2", "3", "4", "6", "7", "8"] and not relay.calls.queued


def test_a_long_call_is_split_with_nothing_lost_or_out_of_order():
    relay = Relay()
    given = sets(*((number, "worker-" + "x" * 40, 1.0) for number in range(3000)))
    relay.calls.submit([*given, events.RequestAcknowledgement(9)])
    relay.open()
    seen = []
    while relay.calls.in_flight:
        assert len(relay.line().sent[-1]) <= 60_000 + len("APPLY \r\n")
        seen += relay.out()
        relay.line().bring(b"OK %d\r\n" % len(relay.out()))
    assert [text.split(",")[1] for text in seen[:-1]] == [str(number) for number in range(3000)]
    assert seen[-1] == "SYNC,9,0"


def test_an_unanswered_call_is_settled_by_the_answer_to_its_mark():
    """Guards the channel: orders that were carried out are not sent a second time."""
    relay = Relay()
    relay.calls.submit([*sets((1, "a", 1.0)), events.RequestAcknowledgement(5)])
    relay.open()
    relay.edge.wait(relay_calls.ANSWER_TIMEOUT + 0.1)
    assert relay.line().ending is Ending.SILENT
    relay.calls.submit(sets((2, "b", 1.0)))
    relay.calls.acknowledged(events.MessageAcknowledged(0, 5, 0.3))
    relay.edge.wait(0.05)
    relay.open()
    assert relay.out() == ["SET,2,b,1.0"] and relay.done[0] == events.SetRoute(1, "a", 1.0)


def test_an_unanswered_call_without_a_sign_is_sent_again_before_what_came_later():
    relay = Relay()
    relay.calls.submit([*sets((1, "a", 1.0)), events.RequestAcknowledgement(5)])
    relay.open().end(Ending.RESET)
    relay.calls.submit([*sets((2, "b", 1.0)), events.RequestAcknowledgement(6)])
    assert len(relay.edge.lines) == 1
    relay.edge.wait(relay_calls.UNCONFIRMED_TIME + 0.1)
    relay.open()
    assert relay.out() == ["SET,1,a,1.0", "SET,2,b,1.0", "SYNC,6,0"]


@pytest.mark.parametrize("table, done", [({"b": 1.0}, True), ({"a": 1.0}, False), ({"b": 0.5}, False)])
def test_one_line_in_the_store_tells_whether_a_call_was_carried_out(table, done):
    """Guards the channel: a large call sent a second time waited there twice, and broke its limit."""
    relay, told = Relay(), {"a": 1.0}
    given = sets((1, "b", 1.0), (1, "a", 0), (2, "c", 1.0))
    relay.calls.submit([*given, events.ExcludeWorker("a", True), events.RequestAcknowledgement(5)])
    relay.open().end(Ending.RESET)
    assert not relay.reads
    relay.edge.wait(relay_calls.STORE_READ_DELAY + 0.05)
    assert relay.reads == 1
    relay.calls.compare_stored(7, {}, {"x": 1.0})  # of no interest
    relay.calls.compare_stored(1, told, table)
    relay.calls.submit(sets((2, "d", 1.0)))
    relay.edge.wait(0.05)
    relay.open()
    again = ["SET,1,b,1.0", "SET,1,a,0.0", "SET,2,c,1.0", "OUT,a", "SET,2,d,1.0", "SYNC,5,0"]
    assert relay.out() == (["SET,2,d,1.0"] if done else again)
    assert len(relay.done) == (5 if done else 0)


def test_on_a_slow_channel_a_sign_of_an_unanswered_call_is_waited_for_longer():
    """Guards the channel's limit: sent again while the first copy still waits, its lines count twice."""
    relay = Relay()
    relay.calls.submit([*sets((1, "a", 1.0)), events.RequestAcknowledgement(1)])
    relay.open().bring(b"OK 2\r\n")
    relay.edge.wait(2.0)
    relay.calls.acknowledged(events.MessageAcknowledged(0, 1, 2.0))
    relay.calls.submit([*sets((1, "b", 1.0)), events.RequestAcknowledgement(2)])
    relay.line().end(Ending.RESET)
    relay.edge.wait(relay_calls.ACKNOWLEDGEMENT_FACTOR * 2.0 - 0.2)
    assert len(relay.edge.lines) == 1
    relay.edge.wait(0.3)
    assert len(relay.edge.lines) == 2


def test_orders_from_before_a_slice_was_given_are_dropped():
    """Guards against a line in a table that nobody knows of: it would outlive a drain."""
    relay = Relay()
    relay.calls.submit([*sets((1, "a", 1.0), (2, "a", 1.0)), events.SetAdmission(1, (0,), 0.5, 1)])
    relay.calls.slice_reassigned(1)
    relay.open()
    assert relay.out() == ["SET,2,a,1.0"]


def test_an_idle_connection_is_not_used_again():
    """Guards against the relay's closing it under a call, which would leave the call in doubt."""
    relay = Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    relay.open().bring(b"OK 1\r\n")
    relay.edge.wait(relay_calls.MAX_IDLE + 0.1)
    relay.calls.submit(sets((1, "b", 1.0)))
    assert relay.edge.lines[0].ending is Ending.OURS and relay.open() is relay.edge.lines[1]


def test_dials_that_fail_wait_longer_each_time_and_lose_nothing():
    relay = Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    waits = []
    for count in range(1, 8):
        relay.line().end(Ending.REFUSED)
        waits.append(relay.edge.hands())
        while len(relay.edge.lines) == count:
            relay.edge.wait(0.05)
        waits[-1] = relay.edge.hands() - waits[-1]
    assert waits == sorted(waits) and waits[0] < 0.2 and waits[-1] < relay_calls.RECONNECT_BACKOFF[1] + 0.1
    relay.open()
    assert relay.out() == ["SET,1,a,1.0"]


def test_whatever_becomes_of_calls_the_store_ends_as_ordered():
    """Random endings at every point of a call: carried out or not, answered, cut, late or unreadable."""
    for seed in range(150):
        dice = random.Random(seed)
        relay, wanted, mark, due = Relay(), {}, 0, []
        for _ in range(60):
            if dice.random() < 0.5:
                mark += 1
                given = sets(
                    *(
                        (dice.randrange(4), dice.choice("ab"), dice.choice([0.0, 0.5, 1.0]))
                        for _ in range(dice.randint(1, 4))
                    )
                )
                wanted |= {(str(o.table), o.worker): o.weight for o in given}
                relay.calls.submit([*given, events.RequestAcknowledgement(mark)])
            line = relay.line() if relay.edge.lines else None
            if line and line.owner and not line.up:
                line.end(Ending.REFUSED) if dice.random() < 0.2 else line.open()
            elif line and line.owner and relay.calls.in_flight:
                texts, fate = relay.out(), dice.random()
                if fate < 0.8:
                    count = relay.apply(texts)
                    number = int(texts[-1].split(",")[1]) if texts[-1].startswith("SYNC") else None
                    due.append(number) if number and dice.random() < 0.7 else None
                    answer = b"OK %d\r\n" % count
                if fate < 0.5:
                    for piece in pieces(dice, answer):
                        line.bring(piece)
                elif fate < 0.6:
                    line.bring(b"garbage\r\n")
                elif fate < 0.9:
                    line.end(dice.choice(LOSSES))
                elif fate < 0.95:
                    line.bring(b"ERR limit\r\n") if fate >= 0.8 else None
            if due and dice.random() < 0.5:
                relay.calls.acknowledged(events.MessageAcknowledged(0, due.pop(0), 0.1))
            relay.edge.wait(dice.choice([0.05, 0.05, 0.3]))
        for _ in range(60):
            if not relay.line().up and relay.line().owner:
                relay.open()
            if relay.calls.in_flight and relay.line().owner:
                relay.line().bring(b"OK %d\r\n" % relay.apply(relay.out()))
            relay.edge.wait(0.5)
        assert not relay.calls.queued and not relay.calls.in_flight
        found = {(number, w): part for number, table in relay.tables.items() for w, part in table.items()}
        assert found == wanted, seed


NEW = ("127.0.0.1", 2)


def test_a_call_that_is_out_ends_on_the_old_road_and_none_overtakes_it():
    relay = Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    old = relay.open()
    relay.calls.move(NEW)
    relay.calls.submit(sets((1, "b", 1.0)))
    assert len(relay.edge.lines) == 1 and old.owner
    old.bring(b"OK 1\r\n")
    assert old.ending is Ending.OURS and relay.line().address == NEW
    relay.open()
    assert relay.out() == ["SET,1,b,1.0"] and relay.done == sets((1, "a", 1.0))


def test_no_wait_of_the_old_road_counts_on_the_new_one_but_a_doubt_stays():
    """Guards the new road: the waits of an old one that is gone had grown to a second."""
    for up in (False, True):
        relay = Relay()
        relay.calls.submit(sets((1, "a", 1.0)))
        relay.calls.failures = 9
        relay.open().end(Ending.RESET) if up else relay.line().end(Ending.REFUSED)
        relay.calls.move(NEW)
        relay.calls.move(NEW)  # again: harmless
        assert len(relay.edge.lines) == (1 if up else 2) and (up or relay.line().address == NEW)
        relay.edge.wait(relay_calls.UNCONFIRMED_TIME + 0.1 if up else 0.1)
        relay.open()
        assert relay.out() == ["SET,1,a,1.0"] and len(relay.edge.lines) == 2


@pytest.mark.parametrize("spoilt", [b"OK 9\r\n", b"OK two\r\n", b"\xff\xfe\r\n", b"OK 1.5\r\n", b"OK\r\n"])
def test_a_spoilt_answer_leaves_the_call_in_doubt(spoilt):
    relay = Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    relay.open().bring(spoilt)
    assert relay.line().ending is Ending.UNREADABLE and relay.calls.unconfirmed and not relay.done


def test_what_comes_behind_an_answer_does_not_answer_the_next_call():
    relay = Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    relay.open().bring(b"OK 1\r\nOK 1\r\n")
    relay.calls.submit(sets((2, "a", 1.0)))
    relay.open()
    assert len(relay.edge.lines) == 2 and len(relay.done) == 1 and relay.calls.in_flight


class Reader:
    """News as read, and what a module that is told of it must hold."""

    def __init__(self):
        self.edge = Edge()
        self.news = relay_updates.RelayUpdates(
            self.edge.loop, ADDRESS, self.edge.notices, 3.2, self.edge.dial, emit=self.edge.tell
        )
        self.news.start()
        self.held = relay_updates.KnownState()

    def last(self):
        return self.edge.lines[-1]

    def take(self):
        batch = self.edge.news()
        for event in batch:
            self.held.apply(event)
        return batch


def test_a_slice_is_told_with_its_lines_though_they_come_in_pieces():
    """Guards against a slice that looks empty: seen on the first day, the module moved it at once."""
    reader = Reader()
    reader.last().open().bring(b"OK\r\n*\r\n* GRANT 4 1\r\n* RO")
    assert reader.take() == []
    reader.last().bring(b"W 4 a 1.0\r\n* GRANT 6 1\r\n")
    assert reader.take() == [events.SliceAssigned(4, True), events.RouteStored(4, "a", 1.0)]
    reader.edge.wait(relay_updates.ROUTES_WITHIN + 0.1)
    assert reader.take() == [events.SliceAssigned(6, True)]  # empty, as nothing followed in time


def test_after_a_break_who_and_what_is_no_longer_named_has_left():
    reader = Reader()
    reader.last().open().bring(
        b"OK\r\n* SUBSCRIBE 1 a 2 1\r\n* SUBSCRIBE 2 a 2 1\r\n* GRANT 4 1\r\n"
        b"* ROW 4 a 1.0\r\n* GRANT 6 1\r\n* ROW 6 a 1.0\r\n* GRANT 8 1\r\n*\r\n"
    )
    reader.news.order_applied(events.SetRoute(6, "b", 0.5))
    reader.take()
    reader.last().end(Ending.RESET)
    reader.edge.wait(0.2)
    reader.last().open().bring(
        b"OK\r\n* SUBSCRIBE 2 a 2 0\r\n* GRANT 6 1\r\n* ROW 6 a 1.0\r\n"
        b"* ROW 6 b 0.5\r\n* GRANT 8 1\r\n* ROW 8 c 1.0\r\n"
    )
    assert reader.take() == []  # what stands may not all be told yet; 2 never left, so quick was the break
    reader.last().bring(b"*\r\n")
    assert reader.take() == [
        events.SliceAssigned(8, True),
        events.RouteStored(8, "c", 1.0),
        events.ProxyLeft(1),
        events.SliceAssigned(4, False),
    ]


def test_silent_news_are_read_anew_before_the_old_ones_are_ended():
    """Guards the only connection that has the news: ended first, nothing would be told for a while."""
    reader = Reader()
    old = reader.last().open()
    old.bring(b"OK\r\n* SUBSCRIBE 1 a 2 1\r\n*\r\n")
    reader.edge.wait(3.6)
    assert old.owner and len(reader.edge.lines) == 2
    reader.last().open()
    assert old.owner
    reader.take()
    reader.last().bring(b"OK\r\n* SUBSCRIBE 1 a 2 1\r\n")
    assert old.ending is Ending.OURS and reader.last().owner
    assert reader.take() == [events.ProxyJoined(1, "a", 2.0, True)]  # it may have left and come meanwhile
    assert [what for what, _ in reader.edge.said] == ["stream silent", "stream stands again"]


def test_a_reset_of_silent_news_makes_way_for_a_new_dial():
    """Guards against waiting for a dial into the cut: seen to take its whole limit after the way was open."""
    reader = Reader()
    old = reader.last().open()
    old.bring(b"OK\r\n*\r\n")
    reader.edge.wait(5.5)
    stuck = reader.last()
    assert stuck is not old and not stuck.up
    old.end(Ending.RESET)
    reader.edge.wait(0.05)
    assert stuck.ending is Ending.OURS and reader.last() is not stuck and reader.last().owner


def test_news_that_move_stand_at_the_new_address_before_the_old_ones_end():
    """Guards the only connection that has the news, and what it has told and is not read yet."""
    reader = Reader()
    old = reader.last().open()
    old.bring(b"OK\r\n* SUBSCRIBE 1 a 2 1\r\n* GRANT 4 1\r\n* ROW 4 a 1.0\r\n*\r\n")
    reader.news.failures = 9
    reader.news.move(NEW)
    reader.news.move(("127.0.0.1", 3))  # once more amid the move
    assert [line.ending for line in reader.edge.lines] == [None, Ending.OURS, None]
    new = reader.last()
    new.end(Ending.REFUSED)
    reader.edge.wait(0.1)
    new = reader.last().open()
    assert new.address == ("127.0.0.1", 3) and old.owner
    old.unread = b"* ACK 1 7 20\r\n"
    reader.take()
    new.bring(b"OK\r\n* SUBSCRIBE 1 a 2 0\r\n* GRANT 4 1\r\n* ROW 4 a 1.0\r\n*\r\n")
    assert old.ending is Ending.OURS
    assert reader.take() == [events.MessageAcknowledged(1, 7, 0.02)]  # who never left has not joined anew
    assert reader.held.proxies == {1: events.ProxyJoined(1, "a", 2.0, True)}
    reader.news.move(("127.0.0.1", 3))
    assert reader.last() is new and new.owner


def test_a_new_module_is_told_all_again_and_slices_with_the_usual_levels():
    reader = Reader()
    reader.last().open().bring(b"OK\r\n* GRANT 4 1\r\n* ROW 4 a 1.0\r\n*\r\n")
    reader.news.order_applied(events.SetAdmission(4, (0,), 0.5, 0))
    reader.take()
    reader.news.policy_restarted()
    assert reader.news.with_admission == {4}
    reader.last().open().bring(b"OK\r\n* GRANT 4 1\r\n* ROW 4 a 1.0\r\n*\r\n")
    assert (
        reader.take() == [events.SliceAssigned(4, True), events.RouteStored(4, "a", 1.0)]
        and not reader.news.with_admission
    )


def test_a_break_amid_what_stands_forgets_nobody():
    """Guards against a second break before all is named: the first one's unnamed are still to be told of."""
    reader = Reader()
    reader.last().open().bring(b"OK\r\n* SUBSCRIBE 1 a 2 1\r\n* SUBSCRIBE 2 a 2 1\r\n*\r\n")
    for named in (b"OK\r\n* SUBSCRIBE 2 a 2 0\r\n", b"OK\r\n", b"OK\r\n* SUBSCRIBE 2 a 2 0\r\n*\r\n"):
        reader.take()
        reader.last().end(Ending.RESET)
        reader.edge.wait(1.0)
        reader.last().open().bring(named)
    assert reader.take() == [events.ProxyJoined(2, "a", 2.0), events.ProxyLeft(1)]


def test_through_breaks_and_pieces_the_module_holds_what_the_relay_holds():
    for seed in range(60):
        dice, reader, truth = random.Random(seed), Reader(), relay_updates.KnownState()
        for _ in range(40):
            event, line = None, reader.last()
            number, proxy = dice.randrange(5), dice.randrange(4)
            text = dice.choice(
                [
                    f"* GRANT {number} 1\r\n* ROW {number} a 1.0\r\n* ROW {number} b 0.5\r\n",
                    f"* GRANT {number} 0\r\n",
                    f"* SUBSCRIBE {proxy} a 2.0 0\r\n",
                    f"* CLOSED {proxy}\r\n",
                    f"* ACK {proxy} 3 10.0\r\n",
                    "*\r\n",
                    "* ODD 1\r\n",
                ]
            )
            for part in text.split("\r\n")[:-1]:
                event = relay_updates.relay.parse_update(part.encode()) if "ODD" not in part else None
                truth.apply(event) if event else None
            if line.owner and line.up:
                for piece in pieces(dice, text.encode()):
                    line.bring(piece)
                line.end(dice.choice(LOSSES)) if dice.random() < 0.15 else None
            elif line.owner:
                line.end(Ending.REFUSED) if dice.random() < 0.3 else stand(line, truth, dice)
            reader.edge.wait(dice.choice([0.05, 0.3, 1.0]))
            reader.take()
        for _ in range(8):
            reader.edge.wait(3.5)
            stand(reader.last(), truth, dice) if not reader.last().up and reader.last().owner else None
            reader.last().bring(b"*\r\n")
        reader.take()
        assert reader.held.slices == truth.slices and set(reader.held.proxies) == set(truth.proxies), seed


def test_after_thousands_of_generations_no_more_is_held_than_after_some():
    """Guards memory: ids and marks are new all day, and a relay may be out of reach for hours."""
    relay, reader = Relay(), Reader()
    roster = discovery.Discovery(
        relay.edge.loop, ADDRESS, relay.edge.notices, 5.0, relay.edge.dial, emit=relay.edge.tell
    )
    reader.last().open().bring(b"OK\r\n*\r\n")
    for k in range(3000):
        relay.calls.submit(
            [
                *sets((k % 9, f"w{k}", 1.0), (k % 9, f"w{k - 9}", 0)),
                events.ClearTable(k % 9),
                events.ExcludeWorker(f"w{k % 50}", True),
                events.RequestAcknowledgement(k),
            ]
        )
        if relay.line().owner and k > 2000 and not relay.line().up:
            relay.open()
        if relay.calls.in_flight:
            relay.line().bring(b"OK %d\r\n" % len(relay.out())) if k % 7 else relay.line().end(Ending.RESET)
        reader.last().bring(
            f"* SUBSCRIBE {k} a 2 1\r\n* GRANT {k % 9} 1\r\n* ROW {k % 9} w{k} 1.0\r\n"
            f"* CLOSED {k - 5}\r\n* GRANT {k % 9} 0\r\n".encode()
        )
        if not k % 50:
            reader.last().end(Ending.RESET)
            while not reader.last().owner:
                reader.edge.wait(0.05)
            reader.last().open().bring(b"OK\r\n*\r\n")
        roster.handle_list({"version": k, "servers": [item(f"w{k}"), item(f"w{k - 9}", "removed")]})
        relay.edge.wait(0.05)
        for edge in (relay.edge, reader.edge):
            edge.told.clear()
            del edge.lines[:-2]
    known, held = reader.news.known, relay.calls
    for kept in (
        known.proxies,
        known.slices,
        known.with_admission,
        roster.workers,
        roster.addresses,
        held.queued,
        held.unconfirmed,
        held.merged_numbers,
        held.sent_at,
        reader.edge.loop.timers,
        relay.edge.loop.timers,
    ):
        assert len(kept) <= relay_calls.MAX_MERGED
    assert max(map(len, held.merged_numbers.values())) <= relay_calls.MAX_MERGED


def stand(line, truth, dice):
    """A connection comes up and tells all that stands, in pieces."""
    lines = ["OK", *(f"* SUBSCRIBE {p.proxy} {p.zone} {p.weight} 0" for p in truth.proxies.values())]
    for number, table in truth.slices.items():
        lines += [f"* GRANT {number} 1", *(f"* ROW {number} {w} {part}" for w, part in table.items())]
    line.open()
    for piece in pieces(dice, "".join(text + "\r\n" for text in lines).encode()):
        line.bring(piece)


def item(name, state="up"):
    return {"id": name, "addr": "127.0.0.1:3000", "zone": "a", "state": state, "weight": 1.0}


def watch(version, *items, full=False):
    data = json.dumps({"version": version, "full": full, "servers": items}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def watched():
    edge = Edge()
    roster = discovery.Discovery(edge.loop, ADDRESS, edge.notices, 5.0, edge.dial, emit=edge.tell)
    roster.handle_list({"version": 41, "servers": [item("s1")]}, cached=True)
    roster.start()
    return edge, roster


def test_the_watch_goes_on_from_the_version_held():
    edge, roster = watched()
    assert b"index=41 " in edge.lines[0].open().sent[0]
    edge.lines[0].bring(HEAD + watch(43, item("s1", "draining"), item("s2")) + b"1\r\n\n\r\n")
    assert [w.state for w in edge.news()[-1].workers] == [events.DRAINING, events.READY]
    edge.wait(5.5)  # silent for longer than an empty line may take: a second one beside it
    assert b"index=43 " in edge.lines[1].open().sent[0] and edge.lines[0].owner
    edge.lines[1].bring(HEAD + watch(44, item("s2", "removed")))
    assert edge.lines[0].ending is Ending.OURS and "s2" not in roster.addresses
    edge.lines[1].bring(b"3\r\n{]\n\r\n")
    assert edge.lines[1].ending is Ending.UNREADABLE
    edge.wait(0.05)
    assert len(edge.lines) == 3


def test_a_watch_that_fails_is_dialled_with_growing_waits():
    (edge, _), dice = watched(), random.Random(1)
    for _ in range(200):
        if edge.lines[-1].owner:
            edge.lines[-1].end(dice.choice([Ending.REFUSED, Ending.RESET, Ending.NOT_UP]))
        edge.wait(0.1)
    assert 15 <= len(edge.lines) <= 25 and len([s for s in edge.said if s[0] == "stream ended"]) <= 3


def test_an_outage_of_an_hour_is_met_with_the_longest_wait():
    """Guards against a wait that grows past any number: the dial after it would never be made."""
    (edge, roster), relay = watched(), Relay()
    relay.calls.submit(sets((1, "a", 1.0)))
    roster.failures = relay.calls.failures = 4000
    for where, longest in (
        (edge, stream.RECONNECT_BACKOFF[1]),
        (relay.edge, relay_calls.RECONNECT_BACKOFF[1]),
    ):
        where.lines[-1].end(Ending.REFUSED)
        where.wait(longest + 0.1)
        assert len(where.lines) == 2


@pytest.mark.parametrize(
    "answer, found",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + b'{"version":50,"servers":[]} ', "listed"),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "failed"),
        (b"no HTTP\r\n", "failed"),
        (None, "failed"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", "failed"),
    ],
)
def test_asking_for_the_list_has_one_answer(answer, found):
    edge, roster = watched()
    edge.news()
    roster.request_list()
    roster.request_list()  # one call is out already
    assert len(edge.lines) == 2
    edge.lines[-1].open()
    edge.lines[-1].bring(answer) if answer else edge.wait(discovery.ANSWER_TIMEOUT + 0.2)
    told = edge.news()
    assert [type(event) for event in told] == [
        events.WorkersListed if found == "listed" else events.WorkerListFailed
    ]


def test_a_list_that_was_asked_to_be_followed_tells_of_its_break():
    edge, roster = watched()
    roster.watch(True)
    edge.lines[0].open().bring(HEAD + watch(42))
    edge.news()
    edge.lines[0].end(Ending.RESET)
    assert edge.news() == [events.WorkerListFailed()]
    edge.wait(0.2)
    roster.watch(False)
    edge.wait(9.0)
    assert edge.lines[-1].ending is Ending.OURS and len(edge.lines) == 2


SHARD = {"t": "SHARD", "slice": 1, "class": "look", "tries": 2, "failed": 0, "span_ms": 1000}


SCOPE = frames.Scope(["a"], ["look", "pay"], 8, {"s1": None})


def gate():
    edge = Edge()
    return edge, collectors.Collectors(edge.notices, edge.tell, SCOPE)


def take(edge, owner):
    line = edge.dial(edge.loop, None, owner)
    return line.open()


def test_a_ping_is_answered_once_the_manager_may_be_used():
    edge, door_keeper = gate()
    line = take(edge, door_keeper)
    line.bring(frames.frame({"t": "PING"}))
    assert line.sent == []
    door_keeper.mark_in_use()
    line.bring(frames.frame({"t": "PING"}))
    assert line.sent == [frames.PONG, frames.PONG]


def test_strangers_cost_no_collector_its_place():
    edge, door_keeper = gate()
    collector = joined(edge, door_keeper)
    lines = [take(edge, door_keeper) for _ in range(collectors.MAX_UNJOINED + 9)]
    assert sum(line.owner is not None for line in lines) == collectors.MAX_UNJOINED
    for _ in range(4):
        edge.wait(collectors.JOIN_TIMEOUT / 3)
        collector.bring(frames.frame(SHARD))
    assert not any(line.owner for line in lines) and collector.owner
    lines[0].bring(b"late")
    collector.bring(b"\xff\xff\xff\xff")
    assert collector.ending is Ending.UNREADABLE and collector.sent == []  # nothing is written to a collector


@pytest.mark.parametrize(
    "sent",
    [
        frames.frame(SHARD),
        frames.frame({"t": "LOAD"}),
        frames.frame({"t": "SOURCE", "zone": "nowhere"}),
        frames.frame({"t": "SOURCE", "zone": ["a"]}),
        frames.frame({"t": "SOURCE"}),
        frames.frame({}),
        frames.frame({"t": "SUBSCRIBE", "proxy": 1, "zone": "a"}),
        frames.frame({"t": "CONFIG", "lines": []}),
        frames.frame({"t": ["PING"]}),
        frames.HEAD.pack(2) + b"[]",
        frames.HEAD.pack(3) + b"\xff\x00{",
        frames.HEAD.pack(frames.MAX_UNJOINED_BYTES + 1),
        b"GET / HTTP/1.1\r\n\r\n",
        b"APPLY SET,1,s1,1.0\r\n",
        frames.frame({"t": "PING"}) + frames.frame(SHARD),
    ],
)
def test_who_has_not_joined_is_refused_at_once_whatever_else_it_sends(sent):
    """Guards the module against reports of nobody, and the table against who is never told to go."""
    edge, door_keeper = gate()
    line = take(edge, door_keeper)
    for piece in pieces(random.Random(1), sent):
        line.bring(piece)
    assert line.sent == [frames.NACK] and line.ending is Ending.UNREADABLE
    line.bring(frames.frame({"t": "SOURCE", "zone": "a"}) + frames.frame(SHARD))
    assert not edge.told and not door_keeper.unjoined and not door_keeper.waiting_for_pong


@pytest.mark.parametrize(
    "first, then",
    [
        (b"", b""),
        (b"\x00", b""),
        (frames.HEAD.pack(400), b" "),
        (frames.frame({"t": "PING"}), b""),
        (frames.frame({"t": "PING"}), frames.frame({"t": "PING"})),
        (frames.frame({"t": "PING"})[:9], b""),
    ],
)
def test_neither_bytes_nor_questions_keep_who_never_joins(first, then):
    """Guards the table: on a day of strangers 206 descriptors were held, 804 of 1,446 had no word or end."""
    edge, door_keeper = gate()
    door_keeper.mark_in_use()
    line = take(edge, door_keeper)
    line.bring(first)
    for _ in range(30):
        edge.wait(0.05)
        assert line.owner
        line.bring(then) if then else None
    edge.wait(collectors.JOIN_TIMEOUT - 1.45)
    assert line.ending is Ending.SILENT and not door_keeper.unjoined


def joined(edge, door_keeper):
    line = take(edge, door_keeper)
    line.bring(frames.frame({"t": "SOURCE", "zone": "a"}))
    return line


def test_a_collector_that_falls_silent_is_ended_so_that_it_comes_again():
    """Guards against a zone without reports: its connection is dead, and nothing is ever written there."""
    edge, door_keeper = gate()
    collector = joined(edge, door_keeper)
    collector.bring(frames.frame(SHARD))
    edge.wait(collectors.SILENCE_TIMEOUT - 0.1)
    assert collector.owner
    edge.wait(0.2)
    assert collector.ending is Ending.SILENT and not door_keeper.joined


def test_a_message_that_a_collector_has_begun_must_end_in_time():
    edge, door_keeper = gate()
    slow, steady = joined(edge, door_keeper), joined(edge, door_keeper)
    whole = frames.frame(SHARD)
    slow.bring(frames.HEAD.pack(1000))
    for _ in range(60):
        slow.bring(b" ")
        steady.bring(whole[9:] + whole[:9] if steady.buffer else whole + whole[:9])  # always a part is there
        edge.wait(0.1)
    assert slow.ending is Ending.SILENT and steady.owner
    steady.bring(whole[9:])
    edge.wait(collectors.MESSAGE_TIMEOUT + 0.1)
    assert steady.owner and not door_keeper.partial


def test_messages_in_pieces_are_bounded_in_all_and_so_are_the_connections_of_a_zone():
    edge, door_keeper = gate()
    lines = []
    for _ in range(collectors.MAX_PARTIAL_BYTES // (1 << 20) + 3):
        lines.append(joined(edge, door_keeper))
        lines[-1].bring(frames.HEAD.pack(1 << 20) + b" " * ((1 << 20) - 1))
    ended = [line.ending for line in lines if line.ending]
    assert set(ended) == {Ending.OVERFULL} and len(ended) == 4
    edge.wait(0.1)
    lines = [joined(edge, door_keeper) for _ in range(3 * collectors.MAX_PER_ZONE)]
    assert len(door_keeper.joined) == collectors.MAX_PER_ZONE and lines[-1].owner
    edge.wait(collectors.SILENCE_TIMEOUT + 0.1)
    assert not any((door_keeper.joined, door_keeper.large, door_keeper.partial, door_keeper.unjoined))


def test_what_a_collector_sends_wrong_is_skipped_and_logged_once():
    edge, door_keeper = gate()
    line = joined(edge, door_keeper)
    for _ in range(500):
        line.bring(frames.frame({"t": "LOAD", "server": 7}))
    assert line.owner and [what for what, _ in edge.said] == ["report skipped"]
    line.bring(frames.frame(SHARD))
    assert edge.news() == [events.SliceHeatReported(1, "look", 2, 0, 1.0)]


@pytest.mark.parametrize(
    "with_load, answer, ending, outcome, load",
    [
        (
            True,
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil=0.61",
            None,
            "answered",
            {"utilization": 0.61},
        ),
        (False, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", None, "answered", {}),
        (True, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", None, "rate-limited", {}),
        (False, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", None, "errored", {}),
        (False, b"HTTP/1.1 200 OK\r\nContent-Len", Ending.RESET, "broken", {}),
        (False, b"odd", None, "broken", {}),
        (False, b"", Ending.CLOSED, "broken", {}),
    ],
)
def test_probes_end_in_our_words(with_load, answer, ending, outcome, load):
    edge = Edge()
    prober = health_checks.HealthChecks(
        edge.loop, {"s1": ADDRESS}.get, with_load, edge.notices, edge.tell, edge.dial
    )
    prober.send(events.CheckHealth("s1"))
    line = edge.lines[0].open()
    assert line.sent[0].startswith(b"GET /_load " if with_load else b"GET /ping ")
    for piece in pieces(random.Random(1), answer):
        line.bring(piece)
    line.end(ending) if ending else None
    assert (
        edge.told == [events.HealthCheckFinished("s1", outcome, edge.told[0].elapsed, load)]
        and not prober.running
    )


def test_probes_that_meet_nobody_end_in_time_and_are_bounded():
    edge = Edge()
    prober = health_checks.HealthChecks(
        edge.loop, {"s1": ADDRESS}.get, True, edge.notices, edge.tell, edge.dial
    )
    for _ in range(health_checks.MAX_RUNNING + 1):
        prober.send(events.CheckHealth("s1"))
    prober.send(events.CheckHealth("nobody"))
    assert [event.outcome for event in edge.news()] == ["unknown", "unknown"]
    edge.lines[0].open()
    edge.wait(health_checks.ANSWER_TIMEOUT + 0.2)
    ends = [event.outcome for event in edge.news()]
    assert (
        ends.count("timed-out") == 1
        and ends.count("unreachable") == health_checks.MAX_RUNNING - 1
        and not prober.running
    )


def test_every_ending_has_an_outcome():
    assert {outcomes.outcome_of(ending) for ending in Ending} <= {
        "broken",
        "timed-out",
        "unreachable",
        "unknown",
    }


def test_messages_between_managers_go_to_one_or_all():
    edge = Edge()
    first, second = ("127.0.0.1", 0), ("127.0.0.1", 0)
    b = peers.Peers(edge.loop, second, [], None, 1, edge.notices, edge.tell)
    at = b.datagrams.sock.getsockname()
    a = peers.Peers(edge.loop, first, [("127.0.0.1", 9), at], at, 4, edge.notices, edge.tell)
    b.numbers = {a.datagrams.sock.getsockname(): 4}
    for order in (
        events.SendPeerMessage(1, b"one"),
        events.SendPeerMessage(None, b"all"),
        events.SendPeerMessage(1, b"x" * 257),
        events.SendPeerMessage(8, b"nobody"),
    ):
        a.send(order)
    edge.loop.turn(1.0)
    assert (
        edge.news() == [events.PeerMessageReceived(4, b"one"), events.PeerMessageReceived(4, b"all")]
        and len(edge.said) == 1
    )
    b.send(events.SendPeerMessage(None, b"to no one"))
    b.numbers = {}
    a.send(events.SendPeerMessage(1, b"from a stranger"))
    edge.loop.turn(1.0)
    assert edge.news() == []
    for end in (a, b):
        end.datagrams.close()
