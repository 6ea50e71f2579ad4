"""The steps of single machines in the exhaustive search of membership epochs.

A step leads from one machine state to the next. Its result is a tuple of three items: the number of the next
machine state, the numbers of the messages sent, and the observations made, as a bit mask of their numbers.
"""

from typing import Any, NamedTuple

from bramblewood.controller.consensus.effects import Effects, PendingWrites
from bramblewood.controller.consensus.registers import ALL_REGISTERS
from bramblewood.controller.consensus.replica import ConsensusReplica

from .membership_epoch_shapes import Shape
from .replica_snapshot import ReplicaState, change_from_tag, replica_state, restore_replica, state_key

AFTER_ALL_TIMEOUTS = 100.0  # s, longer than every timeout and backoff


class Machine(NamedTuple):
    """The state of one machine."""

    name: str
    consensus: ReplicaState
    disk: tuple[dict, dict]  # facts, rows
    pending: tuple[dict, dict]  # facts and rows of `PendingWrites`
    writes: tuple  # writes in flight: (rows, facts, effects that wait for the write)


class MachineSteps:
    """The steps of the machines of one shape.

    Machine states, messages and observations are numbered. Equal ones have the same number.
    """

    def __init__(self, shape: Shape) -> None:
        self.shape, self.names = shape, sorted({*shape.voters, *shape.spares})
        self.machines: list[Machine] = []
        self.messages: list[tuple[str, str, dict]] = []
        self.observations: list[tuple] = []
        self.numbers: dict[str, int] = {}  # maps the identity of a list and the key of an item to its index
        # maps the numbers of a machine state and a message to the step in which the message is received
        self.steps: dict[tuple, tuple] = {}
        self.contradictions: dict[tuple[int, int], str] = {}
        self.proposers = {name for name, *_ in (*shape.configurations, *shape.changes)} | {*shape.waits}
        self.transitions = 0

    def number_of(self, numbered: list, item: Any) -> int:
        """Returns the index of an item in one of the numbered lists, to which it is added if it is new."""
        item_key = f"{id(numbered)}{state_key(item)}"
        index = self.numbers.get(item_key)
        if index is None:
            index = self.numbers[item_key] = len(numbered)
            numbered.append(item)
        return index

    # --- one machine

    def after_effects(self, machine: Machine, replica: ConsensusReplica, all_effects: list[Effects]) -> tuple:
        """Returns the step that took the replica from the state of `machine` to its present state.

        all_effects: the effects of the replica in this step.
        """
        pending, disk, writes = PendingWrites(dict(machine.pending[0])), machine.disk, list(machine.writes)
        pending.rows = dict(machine.pending[1])
        sends, observations = [], []
        for effects in all_effects:
            rows, facts = pending.prepare_write(effects)
            if rows or facts:
                writes.append((tuple(rows), facts, effects))
            else:
                self.collect(machine.name, replica, effects, sends, observations)
        next_machine = Machine(machine.name, (), disk, (pending.facts, pending.rows), tuple(writes))
        if self.shape.writes_at_once:
            while next_machine.writes:
                next_machine = self.after_sync(next_machine, replica, sends, observations)
        if replica.voter_set != machine.consensus.voter_set:
            observations.append(("voter set", replica.epoch, state_key(replica.voter_set)))
            sends += [
                ("", peer, {"k": "epoch", "m": replica.voter_set})
                for peer in self.names
                if peer != replica.address
            ]
        for index, register in enumerate(ALL_REGISTERS):
            if replica.chosen[register] != machine.consensus.chosen[index]:
                observations.append(("learned", register, *replica.chosen[register]))
        next_machine = next_machine._replace(
            consensus=replica_state(replica, replica.address in self.proposers)
        )
        return (
            self.number_of(self.machines, next_machine),
            tuple(self.number_of(self.messages, message) for message in sends),
            self.mask(observations),
        )

    def after_sync(
        self, machine: Machine, replica: ConsensusReplica, sends: list, observations: list
    ) -> Machine:
        """Returns the machine after its oldest write has become durable.

        Adds the messages that waited for the write to `sends`. Adds the observations made to `observations`.
        """
        rows, facts, effects = machine.writes[0]
        stored_rows, stored_facts = dict(machine.disk[1]), {**machine.disk[0], **facts}
        pending = PendingWrites(machine.pending[0])
        pending.rows = machine.pending[1]
        pending.mark_durable(list(rows), facts)
        for register, promised, accepted, value in rows:
            stored_rows[register] = (promised, accepted, value)
            replica.mark_durable(register, accepted)
        self.collect(machine.name, replica, effects, sends, observations)
        return machine._replace(
            disk=(stored_facts, stored_rows),
            pending=(pending.facts, pending.rows),
            writes=machine.writes[1:],
        )

    def collect(
        self, name: str, replica: ConsensusReplica, effects: Effects, sends: list, observations: list
    ) -> None:
        """Adds the messages of these effects to `sends`, and the observations made to `observations`."""
        for peer, message in effects.sends:
            if message["k"] == "join":  # the search always sends complete values
                message = {**message, "have": {}}
            sends.append(("" if message["k"] == "epoch" else name, peer, message))
            if message["k"] == "accept":
                complete_requests = [
                    proposal_round.accept_value
                    for proposal_round in replica.proposer.rounds[message["r"]]
                    if proposal_round.proposal_number == message["b"]
                ]
                observations += [("accept", *request) for request in complete_requests]
        observations += [
            ("answer", *outcome) for tag, outcome in effects.outcomes if tag[0] == "order" and outcome
        ]
        if "held" in effects.facts:  # the heartbeats of a voter that is now active report its acceptances
            for register, accepted in replica.durable_accepted.items():
                if accepted[0] == replica.epoch:
                    acceptance = {"k": "accepted", "r": register, "b": accepted, "disk": replica.disk}
                    sends += [(name, peer, acceptance) for peer in self.names if peer != name]

    def after_message(self, machine_number: int, message_number: int) -> tuple:
        """Returns the step in which this machine state receives this message."""
        step = self.steps.get((machine_number, message_number))
        if step is None:
            self.transitions += 1
            current = self.machines[machine_number]
            replica, (sender, _, wire) = (
                restore_replica(current.name, current.consensus),
                self.messages[message_number],
            )
            step = self.steps[machine_number, message_number] = self.after_effects(
                current, replica, [replica.receive(0.0, sender, wire)]
            )
        return step

    def mask(self, observations: list) -> int:
        """Returns a bit mask of the numbers of these observations."""
        bits = 0
        for observation in observations:
            bits |= 1 << self.number_of(self.observations, observation)
        return bits

    def after_proposal(self, machine_number: int, register: str, tag: tuple) -> tuple:
        """Returns the step in which this machine state proposes the tag's change, see `change_from_tag`."""
        current = self.machines[machine_number]
        replica = restore_replica(current.name, current.consensus)
        return self.after_effects(
            current, replica, [replica.propose(0.0, register, change_from_tag(tag), tag, 1e9)]
        )

    def after_wait(self, machine_number: int) -> tuple:
        """Returns the step in which all timeouts of this machine state expire.

        A round in progress is retried. If there is none, unfinished proposals are completed.
        """
        current = self.machines[machine_number]
        replica = restore_replica(current.name, current.consensus)
        all_effects = [replica.tick(1.0)]
        has_round = any(replica.proposer.rounds.values())
        for rounds in replica.proposer.rounds.values():
            for proposal_round in rounds:
                proposal_round.next_attempt_at = 0.0
        all_effects.append(replica.tick(1.0 if has_round else AFTER_ALL_TIMEOUTS))
        return self.after_effects(current, replica, all_effects)

    def after_restart(self, machine_number: int, disk_lost: bool) -> int:
        """Returns the number of the machine state after a restart, with its disk or with an empty one."""
        current = self.machines[machine_number]
        incarnation = current.consensus.incarnation + 1
        facts, rows = ({"disk": f"{current.name}{incarnation}"}, {}) if disk_lost else current.disk
        if disk_lost:
            facts = self.facts_after_disk_loss(current, facts)
        replica = ConsensusReplica(
            current.name, facts["disk"], incarnation, rows, facts.get("members"), facts.get("held", -1)
        )
        restarted = Machine(
            current.name, replica_state(replica, current.name in self.proposers), (facts, rows), ({}, {}), ()
        )
        return self.number_of(self.machines, restarted)

    def facts_after_disk_loss(self, current: Machine, facts: dict) -> dict:
        """Returns the facts on the new disk of a machine that has lost its disk, which are `facts`."""
        return facts
