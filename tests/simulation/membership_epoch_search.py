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
from typing import NamedTuple

from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from tests.simulation.consensus import RuleViolation

from .membership_epoch_shapes import SHAPES
from .membership_epoch_steps import Machine, MachineSteps
from .replica_snapshot import replica_state, restore_replica

REPLIES = {"promise", "refuse", "state", "fetch", "chosen"}  # "done" goes nowhere: it says when to begin


class FaultsLeft(NamedTuple):
    """What may still happen: how many of each fault, and a bit for each order that was not sent yet."""

    wipes: int
    powers: int
    waits: int
    changes: int
    orders: int

    def less(self, kind: str) -> "FaultsLeft":
        return self._replace(**{kind: getattr(self, kind) - 1})


class SearchState(NamedTuple):
    """machines: the number of each one's state, by name; in_flight, facts: a bit for each message, fact."""

    machines: tuple[int, ...]
    in_flight: int
    left: FaultsLeft
    facts: int


class Search(MachineSteps):
    """The states of one shape: all machines, messages sent, faults left, facts seen."""

    def initial_state(self) -> SearchState:
        """The state after the moves that the shape begins with."""
        voters = {name: f"{name}0" for name in self.shape.voters}
        members, machines = {"n": 1, "voters": voters, "before": {}}, []
        for name in self.names:
            held = 1 if name in voters else -1
            replica = ConsensusReplica(name, f"{name}0", 1, {}, members, held)
            facts = {"disk": replica.disk, "members": members, "held": held}
            machine_after = Machine(
                name, replica_state(replica, name in self.proposers), (facts, {}), ({}, {}), ()
            )
            machines.append(self.number(self.machines, machine_after))
        epoch = {"k": "epoch", "m": members}
        in_flight = 0
        for name in self.shape.wipes:
            in_flight |= 1 << self.number(self.messages, ("", name, epoch))
        left = FaultsLeft(*self.shape.most, orders=(1 << len(self.shape.orders)) - 1)
        state = SearchState(tuple(machines), in_flight, left, 0)
        for move in self.shape.begin:
            state = self.after_move(state, self.named_move(state, *move.split()))
        return state

    def named_move(self, state: SearchState, kind: str, what: str) -> tuple:
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

    def after_step(self, state: SearchState, number: int, step: tuple) -> SearchState:
        """The state after one machine's step, with all that arrives at once."""
        machines, in_flight, facts = list(state.machines), state.in_flight, state.facts
        todo = [(number, step)]
        while todo:
            number, (machine_after, sends, new_facts) = todo.pop(0)
            machines[number] = machine_after
            facts |= new_facts
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
        return SearchState(tuple(machines), in_flight, state.left, facts)

    def is_ignored(self, message: tuple) -> bool:
        """An acceptance to others than its proposer, unless each message is a move; sets spread by notice."""
        what = message[2]
        return self.shape.prompt and what["k"] == "accepted" and message[1] != what["b"][2]

    def possible_moves(self, state: SearchState) -> list:
        shape, left, in_flight, found = self.shape, state.left, state.in_flight, []
        while in_flight:
            low = in_flight & -in_flight
            in_flight ^= low
            found.append(("hear", low.bit_length() - 1))
        for place, here in enumerate(state.machines):
            if self.machines[here].writes:
                found.append(("sync", place))
        found += [("order", place) for place in range(len(shape.orders)) if left.orders >> place & 1]
        if left.changes:
            found += [("change", place) for place in range(len(shape.changes))]
        if left.wipes:
            found += [("wipe", self.names.index(name)) for name in shape.wipes]
        if left.powers:
            found += [("power", self.names.index(name)) for name in shape.powers]
        if left.waits:
            found += [("wait", self.names.index(name)) for name in shape.waits]
        return found

    def after_move(self, state: SearchState, move: tuple) -> SearchState | None:
        """The state after this move; None where it changes nothing or can't be."""
        kind, number = move
        left = state.left
        match kind:
            case "hear":
                return self.after_hearing(state, number)
            case "order":
                proposer, digest = self.shape.orders[number]
                index, left = self.names.index(proposer), left._replace(orders=left.orders & ~(1 << number))
                step = self.after_proposal(state.machines[index], CONFIG, ("order", digest))
            case "change":
                index, left = self.names.index(self.shape.changes[number][0]), left.less("changes")
                step = self.after_change(state, number)
            case "wait":
                index, left = number, left.less("waits")
                step = self.after_wait(state.machines[index])
            case "sync":
                index = number
                step = self.after_oldest_write(state.machines[index])
            case "wipe":
                index, left = number, left.less("wipes")
                step = (self.after_restart(state.machines[index], True), (), 0)
            case "power":
                index, left = number, left.less("powers")
                step = (self.after_restart(state.machines[index], False), (), 0)
        return None if step is None else self.after_step(state._replace(left=left), index, step)

    def after_hearing(self, state: SearchState, message: int) -> SearchState | None:
        index = self.names.index(self.messages[message][1])
        step = self.after_message(state.machines[index], message)
        if step[0] == state.machines[index] and not step[1] and not step[2]:
            return None
        return self.after_step(state, index, step)

    def after_change(self, state: SearchState, number: int) -> tuple | None:
        """The proposer's step; None where the seat is not there, is so already, or it was never active."""
        proposer, seat, successor = self.shape.changes[number]
        machine = state.machines[self.names.index(proposer)]
        replica = self.machines[machine].consensus
        current, new = replica.voter_set["voters"], successor or seat
        disk = self.machines[state.machines[self.names.index(new)]].consensus.disk
        voters = {name: kept for name, kept in current.items() if name != seat}
        voters[new] = disk
        if seat not in current or voters == current or not replica.active_epoch > 0:
            return None
        return self.after_proposal(machine, VOTER_SET, ("members", (replica.voter_set, voters)))

    def after_oldest_write(self, machine: int) -> tuple:
        here = self.machines[machine]
        replica, sends, facts = restore_replica(here.name, here.consensus), [], []
        after = self.after_sync(here, replica, sends, facts)
        after = after._replace(consensus=replica_state(replica, here.name in self.proposers))
        return (
            self.number(self.machines, after),
            tuple(self.number(self.messages, one) for one in sends),
            self.mask(facts),
        )

    # --- judges

    def recovers(self, state: SearchState) -> bool:
        """Whether a majority answers once all are up and hear each other; of disks, none is lost any more."""
        machines, now = {}, 0.0
        for number in state.machines:
            here = self.machines[number]
            while here.writes:
                here = self.after_sync(here, restore_replica(here.name, here.consensus), [], [])
            machines[here.name] = replica = restore_replica(here.name, here.consensus)
            for kept in replica.proposer.rounds.values():
                kept.clear()
        answers, in_flight = [], []

        def carry(name: str, effects: Effects) -> None:
            in_flight.extend((name, peer, message) for peer, message in effects.sends)
            answers.extend(effects.answers)
            for register, _, accepted, _ in effects.writes:
                machines[name].mark_durable(register, accepted)

        for turn in range(40):
            now += 0.3
            for name, replica in machines.items():
                newest = max((other.voter_set for other in machines.values()), key=lambda one: one["n"])
                carry(name, replica.receive(now, "", {"k": "epoch", "m": newest}))
                carry(name, replica.tick(now))
                if turn % 5 == 4 and replica.is_active_voter and not any(replica.proposer.rounds.values()):
                    carry(name, replica.propose(now, CONFIG, lambda current: (None, True), "read", 1.0))
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
                why = self.contradictions.get((one, other))
                if why is None:
                    why = contradiction(self.facts[one], self.facts[other]) or contradiction(
                        self.facts[other], self.facts[one]
                    )
                    self.contradictions[one, other] = why
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
                        if after.facts != state.facts:
                            self.check_facts(state.facts, after.facts)
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
