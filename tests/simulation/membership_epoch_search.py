"""Every order of what may happen to a few voters, breadth first, up to a depth: no dice.

A state is each machine (its replica, its disk, its writes on their way), all messages ever sent, what is
left of each kind of fault, and what judges have to remember. A message stays once it is sent and may be
delivered at any time and any number of times, so lost, late and doubled ones are all there without moves of
their own. Time stands still; one move, of which there are few, stands for a wait after which rounds begin
anew. Two ways to cut down:

prompt: what a machine says to itself, and an answer to the machine that asked, arrive with the question; that
    others than its proposer hear an acceptance is left out. Without it each message is a move.
instant: a write is safe as soon as it is asked for. Without it each write is a move, and power losses come
    amid.

    python -m tests.simulation.membership_epoch_search [--depth N] [--seconds S] [--shape NAME]
"""

import argparse
import time
from typing import Any, NamedTuple

from bramblewood.controller.consensus.acceptor import Acceptor
from bramblewood.controller.consensus.effects import Effects, PendingWrites
from bramblewood.controller.consensus.epochs import EpochJoin
from bramblewood.controller.consensus.proposal_round import ProposalRound
from bramblewood.controller.consensus.registers import ALL_REGISTERS, CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import next_voter_set
from tests.simulation.consensus import RuleViolation

BEYOND_ALL_WAITS = 100.0  # s, beyond every wait
REPLIES = {"promise", "refuse", "state", "fetch", "chosen"}  # "done" goes nowhere: it says when to begin


class Shape(NamedTuple):
    """A small case. orders: (proposer, mark); changes: (proposer, seat, successor), an empty successor
    being the seat's own machine with its new disk; wipes, powers: which machines may lose a disk or power;
    most: how many of each, of waits and of changes, at most.
    """

    voters: str
    spares: str
    orders: tuple
    changes: tuple = ()
    wipes: str = ""
    powers: str = ""
    waits: str = ""
    most: tuple[int, int, int, int] = (1, 1, 1, 1)
    prompt: bool = True
    instant: bool = True
    begin: tuple = ()  # moves that have happened already


def key(thing: Any) -> str:
    return repr(thing)


# --- machines as values


def replica_state(replica: ConsensusReplica, proposes: bool) -> tuple:
    """All that decides what it does next. The counters of one that never proposes decide nothing."""
    join, proposer, learner = replica.epochs.join, replica.proposer, replica.learner
    return (
        replica.disk,
        replica.member.incarnation,
        replica.voter_set,
        replica.active_epoch,
        None if join is None else tuple(sorted(join.reports.items(), key=lambda one: one[0])),
        tuple((a.promised, a.accepted, a.value) for a in replica.acceptors.values()),
        tuple(replica.durable_accepted.values()),
        tuple(proposer.highest_counters.values()) if proposes else (0,) * len(ALL_REGISTERS),
        tuple(tuple(sorted(kept.items())) for kept in learner.acceptances.values()),
        tuple(learner.chosen.values()),
        tuple(
            (
                *(r.register, r.tag, r.proposal_number, r.phase, r.outcome, len(r.batch)),
                *(r.base, r.accept_difference, r.accept_value),
                tuple(sorted(r.promises.items(), key=lambda one: one[0])),
                tuple(sorted(r.accepted_by)),
            )
            for rounds in proposer.rounds.values()
            for r in rounds
        ),
    )


def restore_replica(me: str, state: tuple) -> ConsensusReplica:
    disk, incarnation, members, held, told, acceptors, durable, seen, votes, learned, rounds = state
    replica = ConsensusReplica(me, disk, incarnation, {}, members, held)
    replica.learner.backoff = replica.proposer.backoff = NoBackoff()
    if told is not None:
        replica.epochs.join = EpochJoin()
        replica.epochs.join.reports = dict(told)
    for number, name in enumerate(ALL_REGISTERS):
        replica.acceptors[name] = Acceptor(*acceptors[number])
        replica.durable_accepted[name], replica.proposer.highest_counters[name] = (
            durable[number],
            seen[number],
        )
        replica.learner.acceptances[name], replica.learner.chosen[name] = dict(votes[number]), learned[number]
    for register, tag, *rest, promises, accepts in rounds:
        r = ProposalRound(register, change_of(tag), tag, 1e9)
        r.proposal_number, r.phase, r.outcome, r.batch, r.base, r.accept_difference, r.accept_value = rest
        r.promises, r.accepted_by = dict(promises), set(accepts)
        replica.proposer.rounds[register].append(r)
    for waiting in replica.proposer.rounds.values():
        for r in waiting:
            r.batch = waiting[: r.batch]  # a round carries the first that waited as it began
    return replica


class NoBackoff:
    """In place of `ProposerBackoff`, which says when rounds begin, never what they decide."""

    def observe(self, now: float, register: str, proposal_number: Any) -> None:
        pass

    def round_finished(self, register: str, proposal_number: Any) -> None:
        pass

    def must_wait(self, now: float, register: str) -> bool:
        return False


def order(digest: str) -> Any:
    """An order on an empty register: taken, or refused as another stands."""
    return lambda stands: (digest, (200, digest)) if stands in (None, digest) else (None, (412, digest))


def change_of(tag: tuple) -> Any:
    if tag == "settle":
        return lambda stands: (None, True)
    kind, what = tag
    return order(what) if kind == "order" else next_voter_set(*what)


class Machine(NamedTuple):
    name: str
    consensus: tuple  # frozen
    disk: tuple[dict, dict]  # facts, rows
    due: tuple[dict, dict]  # facts, rows
    writes: tuple  # on their way: (rows, facts, what goes out after)


class Search:
    """The states of one shape, as numbers: machines, messages and facts are named once."""

    def __init__(self, shape: Shape) -> None:
        self.shape, self.names = shape, sorted({*shape.voters, *shape.spares})
        self.machines: list[Machine] = []
        self.messages: list[tuple[str, str, dict]] = []
        self.facts: list[tuple] = []
        self.numbers: dict[str, int] = {}
        self.steps: dict[tuple, tuple] = {}  # what a machine does on a message
        self.against: dict[tuple[int, int], str] = {}
        self.proposers = {who for who, *_ in (*shape.orders, *shape.changes)} | {*shape.waits}
        self.transitions = 0

    def number(self, kept: list, thing: Any) -> int:
        name = f"{id(kept)}{key(thing)}"
        found = self.numbers.get(name)
        if found is None:
            found = self.numbers[name] = len(kept)
            kept.append(thing)
        return found

    # --- one machine

    def after_effects(self, machine: Machine, replica: ConsensusReplica, outs: list[Effects]) -> tuple:
        """The machine after these Outs: its number, and the messages, facts that come of it."""
        due, disk, writes = PendingWrites(dict(machine.due[0])), machine.disk, list(machine.writes)
        due.rows = dict(machine.due[1])
        sends, facts = [], []
        for out in outs:
            rows, told = due.prepare_write(out)
            if rows or told:
                writes.append((tuple(rows), told, out))
            else:
                self.collect(machine.name, replica, out, sends, facts)
        made = Machine(machine.name, (), disk, (due.facts, due.rows), tuple(writes))
        if self.shape.instant:
            while made.writes:
                made = self.after_sync(made, replica, sends, facts)
        if replica.voter_set != machine.consensus[2]:
            facts.append(("members", replica.epoch, key(replica.voter_set)))
            sends += [
                ("", peer, {"k": "epoch", "m": replica.voter_set})
                for peer in self.names
                if peer != replica.address
            ]
        for number, name in enumerate(ALL_REGISTERS):
            if replica.chosen[name] != machine.consensus[9][number]:
                facts.append(("learned", name, *replica.chosen[name]))
        made = made._replace(consensus=replica_state(replica, replica.address in self.proposers))
        return (
            self.number(self.machines, made),
            tuple(self.number(self.messages, one) for one in sends),
            self.mask(facts),
        )

    def after_sync(self, machine: Machine, replica: ConsensusReplica, sends: list, facts: list) -> Machine:
        """The oldest write is safe; what rests on it goes out."""
        rows, told, out = machine.writes[0]
        stored, kept = dict(machine.disk[1]), {**machine.disk[0], **told}
        due = PendingWrites(machine.due[0])
        due.rows = machine.due[1]
        due.mark_durable(list(rows), told)
        for register, promised, accepted, value in rows:
            stored[register] = (promised, accepted, value)
            replica.mark_durable(register, accepted)
        self.collect(machine.name, replica, out, sends, facts)
        return machine._replace(disk=(kept, stored), due=(due.facts, due.rows), writes=machine.writes[1:])

    def collect(self, name: str, replica: ConsensusReplica, out: Effects, sends: list, facts: list) -> None:
        for peer, message in out.sends:
            if message["k"] == "join":  # complete values are sent, also those that it has
                message = {**message, "have": {}}
            sends.append(("" if message["k"] == "epoch" else name, peer, message))
            if message["k"] == "accept":
                whole = [
                    r.accept_value
                    for r in replica.proposer.rounds[message["r"]]
                    if r.proposal_number == message["b"]
                ]
                facts += [("accept", *one) for one in whole]
        facts += [("answer", *outcome) for tag, outcome in out.answers if tag[0] == "order" and outcome]
        if "held" in out.facts:  # its heartbeats tell what it holds now
            for register, kept in replica.durable_accepted.items():
                if kept[0] == replica.epoch:
                    told = {"k": "accepted", "r": register, "b": kept, "disk": replica.disk}
                    sends += [(name, peer, told) for peer in self.names if peer != name]

    def after_message(self, machine: int, message: int) -> tuple:
        step = self.steps.get((machine, message))
        if step is None:
            self.transitions += 1
            here = self.machines[machine]
            replica, (sender, _, what) = restore_replica(here.name, here.consensus), self.messages[message]
            step = self.steps[machine, message] = self.after_effects(
                here, replica, [replica.receive(0.0, sender, what)]
            )
        return step

    # --- all of them

    def mask(self, facts: list) -> int:
        bits = 0
        for fact in facts:
            bits |= 1 << self.number(self.facts, fact)
        return bits

    def initial_state(self) -> tuple:
        voters = {name: f"{name}0" for name in self.shape.voters}
        members, machines = {"n": 1, "voters": voters, "before": {}}, []
        for name in self.names:
            held = 1 if name in voters else -1
            replica = ConsensusReplica(name, f"{name}0", 1, {}, members, held)
            facts = {"disk": replica.disk, "members": members, "held": held}
            made = Machine(name, replica_state(replica, name in self.proposers), (facts, {}), ({}, {}), ())
            machines.append(self.number(self.machines, made))
        epoch = {"k": "epoch", "m": members}
        in_flight = 0
        for name in self.shape.wipes:
            in_flight |= 1 << self.number(self.messages, ("", name, epoch))
        starts = (1 << len(self.shape.orders)) - 1
        state = (tuple(machines), in_flight, (*self.shape.most, starts), 0)
        for move in self.shape.begin:
            state = self.after_move(state, self.named_move(state, *move.split()))
        return state

    def named_move(self, state: tuple, kind: str, what: str) -> tuple:
        """A move as shapes write it: "order x", "change 0", "power a", or "accept a>b": b hears that."""
        if kind == "order":
            return kind, [digest for _, digest in self.shape.orders].index(what)
        if kind == "change":
            return kind, int(what)
        if kind in ("wipe", "power", "wait", "sync"):
            return kind, self.names.index(what)
        sender, peer = what.split(">")
        for move, number in reversed(self.possible_moves(state)):
            if move == "hear" and self.messages[number][:2] == (sender, peer):
                if self.messages[number][2]["k"] == kind:
                    return move, number
        raise KeyError(f"{kind} {what}")

    def arrives_at_once(self, message: tuple) -> bool:
        """Whether it arrives with the question that it answers."""
        sender, peer, what = message
        if sender == peer:
            return True
        asked = what["k"] in REPLIES or what["k"] == "accepted" and peer == what["b"][2]
        return self.shape.prompt and asked

    def after_step(self, state: tuple, number: int, step: tuple) -> tuple:
        """The state after one machine's step, with all that arrives at once."""
        machines, in_flight, left, facts = state
        machines, todo = list(machines), [(number, step)]
        while todo:
            number, (made, sends, told) = todo.pop(0)
            machines[number] = made
            facts |= told
            for message in sends:
                peer = self.messages[message][1]
                if peer not in self.names:
                    continue
                if self.arrives_at_once(self.messages[message]):
                    place = self.names.index(peer)
                    after = self.after_message(machines[place], message)
                    if after[0] != machines[place] or after[1] or after[2]:
                        machines[place] = after[0]
                        todo.append((place, after))
                elif not self.is_ignored(self.messages[message]):
                    in_flight |= 1 << message
        return tuple(machines), in_flight, left, facts

    def is_ignored(self, message: tuple) -> bool:
        """An acceptance to others than its proposer, unless each message is a move; sets spread by notice."""
        what = message[2]
        return self.shape.prompt and what["k"] == "accepted" and message[1] != what["b"][2]

    def possible_moves(self, state: tuple) -> list:
        machines, in_flight, (wipes, powers, waits, changes, starts), _ = state
        shape, found = self.shape, []
        while in_flight:
            low = in_flight & -in_flight
            in_flight ^= low
            found.append(("hear", low.bit_length() - 1))
        for place, here in enumerate(machines):
            if self.machines[here].writes:
                found.append(("sync", place))
        found += [("order", place) for place in range(len(shape.orders)) if starts >> place & 1]
        if changes:
            found += [("change", place) for place in range(len(shape.changes))]
        if wipes:
            found += [("wipe", self.names.index(name)) for name in shape.wipes]
        if powers:
            found += [("power", self.names.index(name)) for name in shape.powers]
        if waits:
            found += [("wait", self.names.index(name)) for name in shape.waits]
        return found

    def after_move(self, state: tuple, move: tuple) -> tuple | None:
        """The state after this move; None where it changes nothing or can't be."""
        kind, number = move
        machines, in_flight, (wipes, powers, waits, changes, starts), facts = state
        if kind == "hear":
            place = self.names.index(self.messages[number][1])
            step = self.after_message(machines[place], number)
            if step[0] == machines[place] and not step[1] and not step[2]:
                return None
            return self.after_step(state, place, step)
        if kind == "order":
            who, digest = self.shape.orders[number]
            place, left = self.names.index(who), (wipes, powers, waits, changes, starts & ~(1 << number))
            step = self.after_proposal(machines[place], CONFIG, ("order", digest))
        elif kind == "change":
            who, seat, successor = self.shape.changes[number]
            place, left = self.names.index(who), (wipes, powers, waits, changes - 1, starts)
            here = self.machines[machines[place]]
            members = here.consensus[2]
            new = successor or seat
            disk = self.machines[machines[self.names.index(new)]].consensus[0]
            voters = {name: kept for name, kept in members["voters"].items() if name != seat}
            if (
                seat not in members["voters"]
                or {**voters, new: disk} == members["voters"]
                or not here.consensus[3] > 0
            ):
                return None
            step = self.after_proposal(
                machines[place], VOTER_SET, ("members", (members, {**voters, new: disk}))
            )
        elif kind == "wait":
            place, left = number, (wipes, powers, waits - 1, changes, starts)
            step = self.after_wait(machines[place])
        elif kind == "sync":
            place, left = number, state[2]
            here = self.machines[machines[place]]
            replica, sends, told = restore_replica(here.name, here.consensus), [], []
            made = self.after_sync(here, replica, sends, told)
            made = made._replace(consensus=replica_state(replica, here.name in self.proposers))
            step = (
                self.number(self.machines, made),
                tuple(self.number(self.messages, one) for one in sends),
                self.mask(told),
            )
        else:
            place, lost = number, kind == "wipe"
            left = (wipes - lost, powers - (not lost), waits, changes, starts)
            step = (self.after_restart(machines[place], lost), (), 0)
        return self.after_step((machines, in_flight, left, facts), place, step)

    def after_proposal(self, machine: int, register: str, tag: tuple) -> tuple:
        here = self.machines[machine]
        replica = restore_replica(here.name, here.consensus)
        return self.after_effects(here, replica, [replica.propose(0.0, register, change_of(tag), tag, 1e9)])

    def after_wait(self, machine: int) -> tuple:
        """All its waits are over: a round that stands begins anew, or else what is unsettled is settled."""
        here = self.machines[machine]
        replica = restore_replica(here.name, here.consensus)
        outs = [replica.tick(1.0)]
        busy = any(replica.proposer.rounds.values())
        for rounds in replica.proposer.rounds.values():
            for one in rounds:
                one.next_attempt_at = 0.0
        outs.append(replica.tick(1.0 if busy else BEYOND_ALL_WAITS))
        return self.after_effects(here, replica, outs)

    def after_restart(self, machine: int, lost: bool) -> int:
        """Power lost, and the disk too or not; it has started again."""
        here = self.machines[machine]
        incarnation = here.consensus[1] + 1
        facts, rows = ({"disk": f"{here.name}{incarnation}"}, {}) if lost else here.disk
        if lost:
            facts = self.facts_after_disk_loss(here, facts)
        replica = ConsensusReplica(
            here.name, facts["disk"], incarnation, rows, facts.get("members"), facts.get("held", -1)
        )
        made = Machine(
            here.name, replica_state(replica, here.name in self.proposers), (facts, rows), ({}, {}), ()
        )
        return self.number(self.machines, made)

    def facts_after_disk_loss(self, here: Machine, facts: dict) -> dict:
        return facts

    # --- judges

    def recovers(self, state: tuple) -> bool:
        """Whether a majority answers once all are up and hear each other; of disks, none is lost any more."""
        machines, now = {}, 0.0
        for number in state[0]:
            here = self.machines[number]
            while here.writes:
                here = self.after_sync(here, restore_replica(here.name, here.consensus), [], [])
            machines[here.name] = replica = restore_replica(here.name, here.consensus)
            for kept in replica.proposer.rounds.values():
                kept.clear()
        answers, in_flight = [], []

        def carry(name: str, out: Effects) -> None:
            in_flight.extend((name, peer, message) for peer, message in out.sends)
            answers.extend(out.answers)
            for register, _, accepted, _ in out.writes:
                machines[name].mark_durable(register, accepted)

        for turn in range(40):
            now += 0.3
            for name, replica in machines.items():
                newest = max((other.voter_set for other in machines.values()), key=lambda one: one["n"])
                carry(name, replica.receive(now, "", {"k": "epoch", "m": newest}))
                carry(name, replica.tick(now))
                if turn % 5 == 4 and replica.is_active_voter and not any(replica.proposer.rounds.values()):
                    carry(name, replica.propose(now, CONFIG, lambda stands: (None, True), "read", 1.0))
            while in_flight:
                sender, peer, message = in_flight.pop(0)
                if peer in machines:
                    carry(peer, machines[peer].receive(now, sender, message))
            if ("read", True) in answers:
                return True
        return False

    def check_facts(self, before: int, facts: int) -> None:
        new = facts & ~before
        while new:
            low = new & -new
            new ^= low
            one, others = low.bit_length() - 1, facts
            while others:
                bit = others & -others
                others ^= bit
                other = bit.bit_length() - 1
                why = self.against.get((one, other))
                if why is None:
                    why = contradiction(self.facts[one], self.facts[other]) or contradiction(
                        self.facts[other], self.facts[one]
                    )
                    self.against[one, other] = why
                if why:
                    raise RuleViolation(f"{why}: {self.facts[one]}, {self.facts[other]}")

    def run(self, depth: int, until: float = 1e18, most: int = 10**9, tried: int = 0) -> "SearchResult":
        """All states up to this depth, or as many as time and `most` allow; tried: of how many of the last,
        evenly spread, it is tried whether a majority answers in the end.
        """
        first = self.initial_state()
        seen, layer = {first: None}, [first]
        for level in range(1, depth + 1):
            following = []
            for state in layer:
                for move in self.possible_moves(state):
                    after = self.after_move(state, move)
                    if after is None or after in seen:
                        continue
                    seen[after] = (state, move)
                    try:
                        if after[3] != state[3]:
                            self.check_facts(state[3], after[3])
                    except RuleViolation as problem:
                        return SearchResult(len(seen), level, str(problem), self.path(seen, after))
                    following.append(after)
                if len(seen) > most or time.monotonic() > until:
                    return SearchResult(len(seen), level - 1, "", [])
            if not following:
                break
            layer = following
        for state in layer[:: max(1, len(layer) // tried)] if tried else ():
            if not self.recovers(state):
                return SearchResult(len(seen), level, "no majority answers", self.path(seen, state))
        return SearchResult(len(seen), level, "", [], not following)

    def path(self, seen: dict, state: tuple) -> list:
        moves = []
        while seen[state] is not None:
            state, (kind, number) = seen[state]
            where = (
                self.messages[number] if kind == "hear" else self.names[number] if kind != "order" else number
            )
            moves.append((kind, where))
        return moves[::-1]


class SearchResult(NamedTuple):
    """states: how many; depth: up to which all were seen; broken: what a judge said, and the moves to it."""

    states: int
    depth: int
    broken: str
    moves: list
    whole: bool = False  # there are no more


def contradiction(one: tuple, other: tuple) -> str:
    """What is wrong with these two facts, if anything."""
    if one[0] == other[0] == "answer" and one[1] == other[1] == 200 and one[2] != other[2]:
        return "two on one parent acknowledged"
    if one[0] == "answer" and one[1] == 412 and other[0] == "learned" and other[3] == one[2]:
        return "refused and in force"
    if one[0] == other[0] == "members" and one[1] == other[1] and one[2] != other[2]:
        return "two sets of one epoch"
    if one[0] == other[0] == "learned" and one[1] == other[1] == CONFIG and one[3] != other[3]:
        return "two chosen"
    if one[0] == "learned" and other[0] == "accept" and one[1] == other[1] and other[2] > one[2]:
        old, new = one[3], other[3]
        if one[1] == CONFIG and old != new:
            return "proposed over what is chosen"
        if one[1] == VOTER_SET and new["n"] <= old["n"] and new != old:
            return "a set proposed over the chosen one"
    return ""


ORDERS = (("c", "x"), ("a", "y"))
SHAPES = {
    # the forgotten promise: a spare's order, a lost disk, its seat anew
    "lost disk": Shape("abc", "d", (("d", "x"), ("b", "y")), (("b", "a", ""),), wipes="a"),
    # any one disk, and its seat given to its own machine or to the spare
    "any disk": Shape(
        "abc",
        "d",
        (("d", "x"), ("b", "y")),
        (("b", "a", ""), ("c", "b", ""), ("a", "c", ""), ("b", "a", "d")),
        wipes="abc",
    ),
    # a spare takes the seat of one that goes on in the old epoch
    "spare": Shape("abc", "d", ORDERS, (("a", "c", "d"),), most=(0, 0, 0, 1)),
    # the same, and a voter or the proposer of the change loses power
    "power": Shape("abc", "d", ORDERS, (("a", "c", "d"),), powers="ab", most=(0, 1, 0, 1)),
    # from the moment at which the set has been chosen and its proposer is active in it
    "amid a change": Shape(
        "abc",
        "d",
        ORDERS,
        (("a", "c", "d"),),
        powers="b",
        most=(0, 1, 0, 1),
        begin=("change 0", "prepare a>b", "accept a>b", "join a>b"),
    ),
    # two orders that one voter each accepted, and a change of the set on top of them
    "two left over": Shape(
        "abc",
        "d",
        (("a", "x"), ("c", "z"), ("b", "y")),
        (("b", "c", "d"),),
        waits="a",
        most=(0, 0, 1, 1),
        begin=("order x", "prepare a>b", "order z", "prepare c>b", "change 0", "prepare b>a", "accept b>a"),
    ),
    # an order that is chosen, and a set of voters after it
    "chosen before": Shape(
        "abc",
        "d",
        ORDERS,
        (("a", "c", "d"),),
        wipes="b",
        most=(1, 0, 0, 1),
        begin=("order x", "prepare c>b", "accept c>b"),
    ),
    # two changes at once, by two voters, and an order and a lost disk
    "two changes": Shape(
        "abc", "d", (("a", "x"),), (("a", "c", "d"), ("b", "a", "d")), wipes="a", most=(1, 0, 0, 2)
    ),
    # a second change right after the first is chosen, and a lost disk
    "second change": Shape(
        "abc",
        "d",
        (("a", "x"),),
        (("a", "c", "d"), ("b", "a", "d")),
        wipes="a",
        most=(1, 0, 0, 2),
        begin=("change 0", "prepare a>b", "accept a>b"),
    ),
    # writes apart from what rests on them
    "slow disks": Shape(
        "abc", "d", (("b", "x"),), (("a", "c", "d"),), powers="ab", most=(0, 1, 0, 1), instant=False
    ),
    # each message by itself
    "late answers": Shape("abc", "d", (("d", "x"), ("b", "y")), (("b", "a", ""),), wipes="a", prompt=False),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=60.0, help="for each shape")
    parser.add_argument("--shape", choices=SHAPES, action="append")
    told = parser.parse_args()
    for name in told.shape or SHAPES:
        search, began = Search(SHAPES[name]), time.monotonic()
        found = search.run(told.depth, until=began + told.seconds)
        whole = "all there are" if found.whole else f"all up to depth {found.depth}"
        print(
            f"{name}: {found.states} states, {whole}, {len(search.machines)} states of machines,"
            f" {len(search.messages)} messages, {time.monotonic() - began:.1f} s: {found.broken or 'sound'}",
            flush=True,
        )
        for move in found.moves:
            print("   ", *move)


if __name__ == "__main__":
    main()
