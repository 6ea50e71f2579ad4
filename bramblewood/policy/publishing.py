"""Publishing: urgent tables at once, a tenth of the others each turn."""

import math
from collections import deque

from .. import events
from .figures import LONG_AGO, TURN, UNSEEN, Part

TENTH = 10           # turns in which ordinary tables go out; the design page
WAITING_PART = 0.6   # part used of the lines that may wait; the rest is for what answers do not tell
MESSAGES_PART = 0.8  # part of the messages allowed which is used; the rest is for what still travels
LAPSE = 120.0        # s after which an unanswered message no longer waits; channels were seen 40 s behind
KEPT_OFF = 1000      # workers remembered as withdrawn; ids may come again long after, and for ever would grow


class Publisher(Part):
    """Urgent tables at once, a tenth of the others each turn, only changes, never too much at once."""

    def __init__(self, manager):
        super().__init__(manager)
        self.urgent, self.others, self.sent, self.number, self.rules_due = {}, {}, deque(), 0, False
        self.open, self.gap_at = {}, LONG_AGO  # by name of the withdrawn: False, or None if some may not know

    def changed(self, piece, urgent):
        urgent = urgent or piece in self.urgent
        (self.others if urgent else self.urgent).pop(piece, None)
        (self.urgent if urgent else self.others)[piece] = None

    def answered(self, event):  # messages leave in order: all before one that is answered have left
        for place, message in enumerate(self.sent):
            if message["number"] == event.number:
                message["awaited"].discard(event.proxy)
                for earlier in range(place):
                    self.sent[earlier]["awaited"].clear()

    def renew(self):
        self.rules_due = True  # a slice given has lost its levels, and a proxy joined the withdrawals
        self.open = dict.fromkeys(self.open)
        self.others |= {p: None for p in self.manager.ours() if self.open and p not in self.urgent}

    def off(self, worker):  # whether all proxies are told to keep off a closed one
        return worker.state != events.READY and self.open.get(worker.name) is False

    def left(self, proxy):
        for message in self.sent:
            message["awaited"].discard(proxy)

    def flush(self, turn):
        facts, now, proxies = self.manager.facts, self.manager.now, len(self.manager.proxies)
        span, allowed = facts.get("messages_span", LAPSE), facts.get("messages_allowed", 0)
        for message in self.sent:
            if message["at"] < max(min(self.gap_at, (now + self.gap_at) / 2 - UNSEEN), now - LAPSE):
                message["awaited"].clear()
            message["until"] = now if message["awaited"] else message["until"]
        while self.sent and not self.sent[0]["awaited"] and self.sent[0]["until"] < now - span:
            self.sent.popleft()
        pace = span / (allowed * MESSAGES_PART) if allowed else 0.0
        if pace and self.sent and (len(self.sent) * pace >= span or now < self.sent[-1]["at"] + pace):
            return
        usual = [events.SetAdmission(events.ALL_SLICES, (), 1.0, events.RETRY_UNSTARTED)] * (
            facts.get("usual_retry") != events.RETRY_UNSTARTED)  # where the proxies' own way differs
        head = facts.get("message_head", 0) + 1 + len(usual) * len(self.manager.by_value)
        standing = usual if self.rules_due and self.manager.ours() else []
        rate, most = facts.get("lines_per_second", 0.0), facts.get("most_waiting", 1e9)
        spare = facts.get("drain_grace", math.inf) - facts.get("longest_delay", 0.0)
        waits = sum(m["lines"] * len(m["awaited"]) / m["proxies"] for m in self.sent if m["awaited"])
        waits = max(waits - rate * facts.get("message_delay", 0.0), 0.0)  # the rest travels already
        room = min(WAITING_PART * most, rate * max(spare, TURN) / 2 or most)  # a drain must still get through
        cold = {p for p in self.urgent if p.leaves_cold()}  # it falls over within seconds
        queue = sorted(self.urgent, key=lambda p: (not p.bare(), not p.closed(), p not in cold,
                                                   p.main in p.stored))
        if turn:
            queue += list(self.others)[:math.ceil(len(self.others) / TENTH)]
        fit = (room + (most - room) / 3 - waits) // (proxies or 1) - head - len(standing)  # all may never fit
        shut = list({w: 0 for p in queue for w in p.closed()})[:max(int(fit), 0)]
        haste = self.urgent if any(p.closed() or p.stored.get(p.main) != 1.0 for p in self.urgent) else ()
        orders = [*standing, *(events.ExcludeWorker(w.name, True) for w in shut)]
        lines = (head + len(orders)) * proxies
        soon = self.sent and now < self.sent[-1]["at"] + TURN * (1 + (waits > 0))  # heads fill a channel
        if soon and not shut and not cold or lines + waits > room + (most - room) / 3 * bool(shut):
            return
        self.rules_due = self.rules_due and not standing
        told = {**self.open, **{w.name: False for w in shut}}  # guards drains: a line each, before all tables
        self.open = dict(list(told.items())[-KEPT_OFF:])
        for piece in queue:
            wanted, rules, changes = piece.changes(piece in haste) if piece.ours else ({}, None, [])
            back = [w for w in wanted if w.usable and w.name in self.open]
            let = [w for w in back if w not in self.manager.planner.stale]  # old lines of it go before
            changes += [events.ExcludeWorker(w.name, False) for w in let]
            if lines + len(changes) * proxies + waits > room:
                break
            for worker in let:
                del self.open[worker.name]
            self.urgent.pop(piece, None)
            self.others.pop(piece, None)
            if back != let or piece.standby and piece.standby not in wanted:
                self.urgent[piece] = None
            elif set(wanted) - {piece.main, piece.standby}:
                self.others[piece] = None
            if changes:
                orders, lines = orders + changes, lines + len(changes) * proxies
                piece.tell("sent", wanted, rules)
        if orders:
            self.number = (self.number + 1) % 65536
            self.sent.append({"number": self.number, "lines": lines, "at": now, "until": now,
                              "proxies": proxies, "awaited": set(self.manager.proxies)})
            self.manager.orders += orders + [events.RequestAcknowledgement(self.number)]
