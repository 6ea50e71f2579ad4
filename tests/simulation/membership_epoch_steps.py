"""The steps of single machines in the search of epochs: from one numbered state to the next."""

from typing import Any, NamedTuple

from bramblewood.controller.consensus.effects import Effects, PendingWrites
from bramblewood.controller.consensus.registers import ALL_REGISTERS
from bramblewood.controller.consensus.replica import ConsensusReplica

from .membership_epoch_shapes import Shape
from .replica_snapshot import ReplicaState, change_of, key, replica_state, restore_replica

BEYOND_ALL_WAITS = 100.0  # s, beyond every wait


class Machine(NamedTuple):
    name: str
    consensus: ReplicaState
    disk: tuple[dict, dict]  # facts, rows
    due: tuple[dict, dict]  # facts, rows
    writes: tuple  # on their way: (rows, facts, what goes out after)


class MachineSteps:
    """What one machine of a shape does. Machines, messages and facts are numbered, each named once."""

    def __init__(self, shape: Shape) -> None:
        self.shape, self.names = shape, sorted({*shape.voters, *shape.spares})
        self.machines: list[Machine] = []
        self.messages: list[tuple[str, str, dict]] = []
        self.facts: list[tuple] = []
        self.numbers: dict[str, int] = {}
        self.steps: dict[tuple, tuple] = {}  # what a machine does on a message
        self.contradictions: dict[tuple[int, int], str] = {}
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

    def after_effects(self, machine: Machine, replica: ConsensusReplica, all_effects: list[Effects]) -> tuple:
        """The machine after these Outs: its number, and the messages, facts that come of it."""
        due, disk, writes = PendingWrites(dict(machine.due[0])), machine.disk, list(machine.writes)
        due.rows = dict(machine.due[1])
        sends, facts = [], []
        for effects in all_effects:
            rows, new_facts = due.prepare_write(effects)
            if rows or new_facts:
                writes.append((tuple(rows), new_facts, effects))
            else:
                self.collect(machine.name, replica, effects, sends, facts)
        made = Machine(machine.name, (), disk, (due.facts, due.rows), tuple(writes))
        if self.shape.instant:
            while made.writes:
                made = self.after_sync(made, replica, sends, facts)
        if replica.voter_set != machine.consensus.voter_set:
            facts.append(("members", replica.epoch, key(replica.voter_set)))
            sends += [
                ("", peer, {"k": "epoch", "m": replica.voter_set})
                for peer in self.names
                if peer != replica.address
            ]
        for number, name in enumerate(ALL_REGISTERS):
            if replica.chosen[name] != machine.consensus.chosen[number]:
                facts.append(("learned", name, *replica.chosen[name]))
        made = made._replace(consensus=replica_state(replica, replica.address in self.proposers))
        return (
            self.number(self.machines, made),
            tuple(self.number(self.messages, one) for one in sends),
            self.mask(facts),
        )

    def after_sync(self, machine: Machine, replica: ConsensusReplica, sends: list, facts: list) -> Machine:
        """The oldest write is safe; what rests on it goes out."""
        rows, new_facts, effects = machine.writes[0]
        stored, kept = dict(machine.disk[1]), {**machine.disk[0], **new_facts}
        due = PendingWrites(machine.due[0])
        due.rows = machine.due[1]
        due.mark_durable(list(rows), new_facts)
        for register, promised, accepted, value in rows:
            stored[register] = (promised, accepted, value)
            replica.mark_durable(register, accepted)
        self.collect(machine.name, replica, effects, sends, facts)
        return machine._replace(disk=(kept, stored), due=(due.facts, due.rows), writes=machine.writes[1:])

    def collect(
        self, name: str, replica: ConsensusReplica, effects: Effects, sends: list, facts: list
    ) -> None:
        for peer, message in effects.sends:
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
        facts += [("answer", *outcome) for tag, outcome in effects.answers if tag[0] == "order" and outcome]
        if "held" in effects.facts:  # its heartbeats tell what it holds now
            for register, kept in replica.durable_accepted.items():
                if kept[0] == replica.epoch:
                    new_facts = {"k": "accepted", "r": register, "b": kept, "disk": replica.disk}
                    sends += [(name, peer, new_facts) for peer in self.names if peer != name]

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

    def mask(self, facts: list) -> int:
        bits = 0
        for fact in facts:
            bits |= 1 << self.number(self.facts, fact)
        return bits

    def after_proposal(self, machine: int, register: str, tag: tuple) -> tuple:
        here = self.machines[machine]
        replica = restore_replica(here.name, here.consensus)
        return self.after_effects(here, replica, [replica.propose(0.0, register, change_of(tag), tag, 1e9)])

    def after_wait(self, machine: int) -> tuple:
        """All its waits are over: a round that stands begins anew, or else what is unsettled is settled."""
        here = self.machines[machine]
        replica = restore_replica(here.name, here.consensus)
        all_effects = [replica.tick(1.0)]
        busy = any(replica.proposer.rounds.values())
        for rounds in replica.proposer.rounds.values():
            for one in rounds:
                one.next_attempt_at = 0.0
        all_effects.append(replica.tick(1.0 if busy else BEYOND_ALL_WAITS))
        return self.after_effects(here, replica, all_effects)

    def after_restart(self, machine: int, lost: bool) -> int:
        """Power lost, and the disk too or not; it has started again."""
        here = self.machines[machine]
        incarnation = here.consensus.incarnation + 1
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
