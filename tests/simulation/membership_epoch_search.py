"""An exhaustive search of all orders of events in a small cluster, breadth first up to a depth.

A state consists of the machines, all messages ever sent, the events that may still occur, and the
observations that the rules are checked against. A machine has a replica, a disk and writes in flight. A
message that was sent may be delivered at any time and any number of times. Lost, late and duplicated messages
therefore need no moves of their own. The time does not advance, except that the move "wait" lets all timeouts
of a machine expire.

Two settings of a shape reduce the number of states:

- `delivers_replies_at_once`: The messages of a machine to itself, and replies to the machine that asked,
  arrive in the same move. Acceptances are delivered to their proposer only. Without this setting, the
  delivery of each message to another machine is a move.
- `writes_at_once`: A write is durable at once. Without this setting, each write is a move, and power may be
  lost before it.

Run the search on its own, and print its results:

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

# kinds of messages that are replies; "done" is not one, as it only tells others when to begin a round
REPLIES = {"promise", "refuse", "state", "fetch", "chosen"}


class EventsLeft(NamedTuple):
    """The number of events of each kind that may still occur."""

    disk_losses: int
    power_losses: int
    waits: int
    changes: int
    configurations: int  # a bit mask, with a bit for each configuration that has not been put

    def decrement(self, kind: str) -> "EventsLeft":
        return self._replace(**{kind: getattr(self, kind) - 1})


class SearchState(NamedTuple):
    """One state of the search. The numbers are those of `MachineSteps`."""

    machines: tuple[int, ...]  # the number of each machine's state, in the order of the machines' names
    in_flight: int  # a bit mask of the messages ever sent
    events_left: EventsLeft
    observations: int  # a bit mask of the observations made


class Search(MachineSteps):
    """The search of one shape. A move is a tuple of its kind and a number, such as that of a message."""

    def initial_state(self) -> SearchState:
        """Returns the state after the first moves of the shape."""
        voters = {name: f"{name}0" for name in self.shape.voters}
        voter_set, machines = {"n": 1, "voters": voters, "before": {}}, []
        for name in self.names:
            active_epoch = 1 if name in voters else -1
            replica = ConsensusReplica(name, f"{name}0", 1, {}, voter_set, active_epoch)
            facts = {"disk": replica.disk, "members": voter_set, "held": active_epoch}
            machine = Machine(name, replica_state(replica, name in self.proposers), (facts, {}), ({}, {}), ())
            machines.append(self.number_of(self.machines, machine))
        notice = {"k": "epoch", "m": voter_set}
        in_flight = 0
        for name in self.shape.disk_losses:
            in_flight |= 1 << self.number_of(self.messages, ("", name, notice))
        events_left = EventsLeft(*self.shape.limits, configurations=(1 << len(self.shape.configurations)) - 1)
        state = SearchState(tuple(machines), in_flight, events_left, 0)
        for move in self.shape.first_moves:
            state = self.after_move(state, self.named_move(state, *move.split()))
        return state

    def named_move(self, state: SearchState, kind: str, operand: str) -> tuple:
        """Returns the move that a shape writes as a kind and an operand.

        Examples are "configuration x", "change 0" and "power_loss a". The move "accept a>b" delivers the
        newest message of kind "accept" from a to b. Raises KeyError if there is no such message.
        """
        if kind == "configuration":
            return kind, [digest for _, digest in self.shape.configurations].index(operand)
        if kind == "change":
            return kind, int(operand)
        if kind in ("disk_loss", "power_loss", "wait", "sync"):
            return kind, self.names.index(operand)
        sender, peer = operand.split(">")
        for move, number in reversed(self.possible_moves(state)):
            if move == "deliver" and self.messages[number][:2] == (sender, peer):
                if self.messages[number][2]["k"] == kind:
                    return move, number
        raise KeyError(f"{kind} {operand}")

    def arrives_at_once(self, message: tuple) -> bool:
        """Returns whether a message arrives in the same move in which it is sent."""
        sender, peer, wire = message
        if sender == peer:
            return True
        is_reply = wire["k"] in REPLIES or wire["k"] == "accepted" and peer == wire["b"][2]
        return self.shape.delivers_replies_at_once and is_reply

    def after_step(self, state: SearchState, machine_index: int, step: tuple) -> SearchState:
        """Returns the state after this step, including the steps of all messages that arrive at once.

        machine_index: the index of the machine that takes the step.
        """
        machines, in_flight, observations = list(state.machines), state.in_flight, state.observations
        queue = [(machine_index, step)]
        while queue:
            machine_index, (next_machine, sends, new_observations) = queue.pop(0)
            machines[machine_index] = next_machine
            observations |= new_observations
            for message_number in sends:
                peer = self.messages[message_number][1]
                if peer not in self.names:
                    continue
                if self.arrives_at_once(self.messages[message_number]):
                    peer_index = self.names.index(peer)
                    next_step = self.after_message(machines[peer_index], message_number)
                    if next_step[0] != machines[peer_index] or next_step[1] or next_step[2]:
                        machines[peer_index] = next_step[0]
                        queue.append((peer_index, next_step))
                elif not self.is_ignored(self.messages[message_number]):
                    in_flight |= 1 << message_number
        return SearchState(tuple(machines), in_flight, state.events_left, observations)

    def is_ignored(self, message: tuple) -> bool:
        """Returns whether the search never delivers a message, see `delivers_replies_at_once`."""
        wire = message[2]
        return self.shape.delivers_replies_at_once and wire["k"] == "accepted" and message[1] != wire["b"][2]

    def possible_moves(self, state: SearchState) -> list:
        """Returns all moves from this state, also those that change nothing."""
        shape, events_left, in_flight, moves = self.shape, state.events_left, state.in_flight, []
        while in_flight:
            lowest_bit = in_flight & -in_flight
            in_flight ^= lowest_bit
            moves.append(("deliver", lowest_bit.bit_length() - 1))
        for index, machine_number in enumerate(state.machines):
            if self.machines[machine_number].writes:
                moves.append(("sync", index))
        moves += [
            ("configuration", index)
            for index in range(len(shape.configurations))
            if events_left.configurations >> index & 1
        ]
        if events_left.changes:
            moves += [("change", index) for index in range(len(shape.changes))]
        if events_left.disk_losses:
            moves += [("disk_loss", self.names.index(name)) for name in shape.disk_losses]
        if events_left.power_losses:
            moves += [("power_loss", self.names.index(name)) for name in shape.power_losses]
        if events_left.waits:
            moves += [("wait", self.names.index(name)) for name in shape.waits]
        return moves

    def after_move(self, state: SearchState, move: tuple) -> SearchState | None:
        """Returns the state after this move, or None if the move changes nothing or is impossible."""
        kind, number = move
        events_left = state.events_left
        match kind:
            case "deliver":
                return self.after_delivery(state, number)
            case "configuration":
                proposer, digest = self.shape.configurations[number]
                index, events_left = (
                    self.names.index(proposer),
                    events_left._replace(configurations=events_left.configurations & ~(1 << number)),
                )
                step = self.after_proposal(state.machines[index], CONFIG, ("order", digest))
            case "change":
                index, events_left = (
                    self.names.index(self.shape.changes[number][0]),
                    events_left.decrement("changes"),
                )
                step = self.after_change(state, number)
            case "wait":
                index, events_left = number, events_left.decrement("waits")
                step = self.after_wait(state.machines[index])
            case "sync":
                index = number
                step = self.after_oldest_write(state.machines[index])
            case "disk_loss":
                index, events_left = number, events_left.decrement("disk_losses")
                step = (self.after_restart(state.machines[index], True), (), 0)
            case "power_loss":
                index, events_left = number, events_left.decrement("power_losses")
                step = (self.after_restart(state.machines[index], False), (), 0)
        return None if step is None else self.after_step(state._replace(events_left=events_left), index, step)

    def after_delivery(self, state: SearchState, message_number: int) -> SearchState | None:
        """Returns the state after the delivery of a message, or None if the delivery changes nothing."""
        index = self.names.index(self.messages[message_number][1])
        step = self.after_message(state.machines[index], message_number)
        if step[0] == state.machines[index] and not step[1] and not step[2]:
            return None
        return self.after_step(state, index, step)

    def after_change(self, state: SearchState, number: int) -> tuple | None:
        """Returns the step in which the proposer of a voter set change proposes it.

        Returns None if the proposer was never active, if the seat does not exist, or if the change has
        already been made.
        """
        proposer, seat, successor = self.shape.changes[number]
        machine_number = state.machines[self.names.index(proposer)]
        replica = self.machines[machine_number].consensus
        current, new = replica.voter_set["voters"], successor or seat
        disk = self.machines[state.machines[self.names.index(new)]].consensus.disk
        voters = {name: kept_disk for name, kept_disk in current.items() if name != seat}
        voters[new] = disk
        if seat not in current or voters == current or not replica.active_epoch > 0:
            return None
        return self.after_proposal(machine_number, VOTER_SET, ("members", (replica.voter_set, voters)))

    def after_oldest_write(self, machine_number: int) -> tuple:
        """Returns the step in which the oldest write of this machine state becomes durable."""
        current = self.machines[machine_number]
        replica, sends, observations = restore_replica(current.name, current.consensus), [], []
        next_machine = self.after_sync(current, replica, sends, observations)
        next_machine = next_machine._replace(consensus=replica_state(replica, current.name in self.proposers))
        return (
            self.number_of(self.machines, next_machine),
            tuple(self.number_of(self.messages, message) for message in sends),
            self.mask(observations),
        )

    # --- checks

    def recovers(self, state: SearchState) -> bool:
        """Returns whether a majority answers a read after a time without further faults or lost messages."""
        machines, now = {}, 0.0
        for number in state.machines:
            current = self.machines[number]
            while current.writes:
                current = self.after_sync(current, restore_replica(current.name, current.consensus), [], [])
            machines[current.name] = replica = restore_replica(current.name, current.consensus)
            for queue in replica.proposer.rounds.values():
                queue.clear()
        answers, in_flight = [], []

        def apply(name: str, effects: Effects) -> None:
            in_flight.extend((name, peer, message) for peer, message in effects.sends)
            answers.extend(effects.outcomes)
            for register, _, accepted, _ in effects.writes:
                machines[name].mark_durable(register, accepted)

        for tick in range(40):
            now += 0.3
            for name, replica in machines.items():
                newest = max(
                    (other.voter_set for other in machines.values()), key=lambda voter_set: voter_set["n"]
                )
                apply(name, replica.receive(now, "", {"k": "epoch", "m": newest}))
                apply(name, replica.tick(now))
                if tick % 5 == 4 and replica.is_active_voter and not any(replica.proposer.rounds.values()):
                    apply(name, replica.propose(now, CONFIG, lambda current: (None, True), "read", 1.0))
            while in_flight:
                sender, peer, message = in_flight.pop(0)
                if peer in machines:
                    apply(peer, machines[peer].receive(now, sender, message))
            if ("read", True) in answers:
                return True
        return False

    def check_observations(self, before: int, observations: int) -> None:
        """Checks the new observations against all observations.

        before, observations: bit masks of the observations before a move and after it.
        Raises RuleViolation if two observations contradict each other.
        """
        new = observations & ~before
        while new:
            lowest_bit = new & -new
            new ^= lowest_bit
            number, others = lowest_bit.bit_length() - 1, observations
            while others:
                bit = others & -others
                others ^= bit
                other = bit.bit_length() - 1
                broken_rule = self.contradictions.get((number, other))
                if broken_rule is None:
                    broken_rule = contradiction(
                        self.observations[number], self.observations[other]
                    ) or contradiction(self.observations[other], self.observations[number])
                    self.contradictions[number, other] = broken_rule
                if broken_rule:
                    raise RuleViolation(
                        f"{broken_rule}: {self.observations[number]}, {self.observations[other]}"
                    )

    def run(
        self, depth: int, deadline: float = 1e18, max_states: int = 10**9, recovery_samples: int = 0
    ) -> "SearchResult":
        """Visits all states up to this depth, and checks the rules in each of them.

        Stops at the first broken rule, at the deadline, or once it has visited more than `max_states` states.

        deadline: the time on the monotonic clock, in s.
        recovery_samples: the number of states at the last depth, evenly spread, in which `recovers` is
        checked.
        """
        initial = self.initial_state()
        seen, layer = {initial: None}, [initial]  # seen: maps a state to its previous state and move
        for level in range(1, depth + 1):
            next_layer = []
            for state in layer:
                for move in self.possible_moves(state):
                    after = self.after_move(state, move)
                    if after is None or after in seen:
                        continue
                    seen[after] = (state, move)
                    try:
                        if after.observations != state.observations:
                            self.check_observations(state.observations, after.observations)
                    except RuleViolation as violation:
                        return SearchResult(len(seen), level, str(violation), self.path(seen, after))
                    next_layer.append(after)
                if len(seen) > max_states or time.monotonic() > deadline:
                    return SearchResult(len(seen), level - 1, "", [])
            if not next_layer:
                break
            layer = next_layer
        for state in layer[:: max(1, len(layer) // recovery_samples)] if recovery_samples else ():
            if not self.recovers(state):
                return SearchResult(len(seen), level, "no majority answers", self.path(seen, state))
        return SearchResult(len(seen), level, "", [], not next_layer)

    def path(self, seen: dict, state: tuple) -> list:
        """Returns the moves that lead to this state, with messages and machines in place of their numbers."""
        moves = []
        while seen[state] is not None:
            state, (kind, number) = seen[state]
            operand = (
                self.messages[number]
                if kind == "deliver"
                else self.names[number]
                if kind != "configuration"
                else number
            )
            moves.append((kind, operand))
        return moves[::-1]


class SearchResult(NamedTuple):
    """The result of a search."""

    states: int  # number of states visited
    depth: int  # all states up to this depth were visited, unless a rule is broken
    violation: str  # the broken rule, "" if there is none
    moves: list  # the moves that lead to the broken rule
    is_complete: bool = False  # there are no further states


def contradiction(first: tuple, second: tuple) -> str:
    """Returns the rule that these two observations break in this order, or "".

    An observation is one of ("answer", status, digest), ("voter set", epoch, voter set),
    ("learned", register, proposal number, value) and ("accept", register, proposal number, value), which is
    a request to accept a value.
    """
    if first[0] == second[0] == "answer" and first[1] == second[1] == 200 and first[2] != second[2]:
        return "two configurations with one parent are acknowledged"
    if first[0] == "answer" and first[1] == 412 and second[0] == "learned" and second[3] == first[2]:
        return "a configuration is rejected and chosen"
    if first[0] == second[0] == "voter set" and first[1] == second[1] and first[2] != second[2]:
        return "two voter sets of one epoch"
    if first[0] == second[0] == "learned" and first[1] == second[1] == CONFIG and first[3] != second[3]:
        return "two configurations are chosen"
    if first[0] == "learned" and second[0] == "accept" and first[1] == second[1] and second[2] > first[2]:
        old, new = first[3], second[3]
        if first[1] == CONFIG and old != new:
            return "another configuration is proposed after one is chosen"
        if first[1] == VOTER_SET and new["n"] <= old["n"] and new != old:
            return "another voter set of the same or an earlier epoch is proposed after one is chosen"
    return ""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=60.0, help="time limit for each shape")
    parser.add_argument("--shape", choices=SHAPES, action="append")
    arguments = parser.parse_args()
    for name in arguments.shape or SHAPES:
        search, started_at = Search(SHAPES[name]), time.monotonic()
        result = search.run(arguments.depth, deadline=started_at + arguments.seconds)
        extent = "no further states" if result.is_complete else f"all up to depth {result.depth}"
        print(
            f"{name}: {result.states} states, {extent}, {len(search.machines)} machine states,"
            f" {len(search.messages)} messages, {time.monotonic() - started_at:.1f} s:"
            f" {result.violation or 'no rule broken'}",
            flush=True,
        )
        for move in result.moves:
            print("   ", *move)


if __name__ == "__main__":
    main()
