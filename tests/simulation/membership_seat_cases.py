"""Orders of events about seats, heartbeats and refused writes that once broke, or would without a guard; a
RuleViolation tells of it.
"""

from types import SimpleNamespace
from unittest import mock

from bramblewood.common.messages import ControllerHeartbeat
from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.effects import Effects, PendingWrites
from bramblewood.controller.consensus.membership import Membership, may_shut_down
from bramblewood.controller.consensus.peer_status import PeerStatus
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import CONFIG, TABLE, VOTER_SET
from bramblewood.controller.consensus.voter_set import VoterSet
from bramblewood.controller.sessions import Sessions
from tests.simulation.consensus import RuleViolation
from tests.simulation.membership_epochs import ControllerFleet


def peer_status(disk: str, epoch: int = 1, votes: bool = True, leaving: bool = False) -> PeerStatus:
    return PeerStatus(disk, "z", True, epoch, votes, leaving, 0.0, 9.0, {})


def heartbeat_of_epoch_before() -> None:
    """A heartbeat of the epoch before does not say that its voter is active in this one."""
    voter_set: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "d": "d0"}, "before": {}}
    peers = {
        "a": peer_status("a0", 2),
        "b": peer_status("b0", 1),
        "d": peer_status("d0", 2),
        "e": peer_status("e0", 2, False),
    }
    peers["a"] = peers["a"]._replace(leaving=True)
    change = Membership(Tolerance(1), {}, 4.0).due_change(voter_set, peers, {})
    if change is not None:
        raise RuleViolation(f"{change} while b is not known to be active")


def early_shutdown() -> None:
    """One that was replaced stays until a majority of the new set says that it is active in this very epoch,
    and one without a successor until a majority of the others, active ones, holds on disk what it holds.
    """
    voter_set: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "d": "d0"}, "before": {}}
    peers = {"a": peer_status("a0", 1), "b": peer_status("b0", 1), "d": peer_status("d0", 2, False)}
    if may_shut_down("c", "c0", voter_set, peers, {}, {}, False):
        raise RuleViolation("it shuts down on heartbeats of the epoch before")
    if not may_shut_down(
        "c", "c0", voter_set, peers | {"a": peer_status("a0", 2), "b": peer_status("b0", 2)}, {}, {}, False
    ):
        raise RuleViolation("it stays, though a majority is active")
    held = {CONFIG: (2, 5, "a", 1)}
    durable = {"b": held, "d": held}
    peers = {"b": peer_status("b9", 2, False), "d": peer_status("d0", 2)}
    if may_shut_down("a", "a0", voter_set, peers, held, durable, False):
        raise RuleViolation("it leaves on what a disk held that is lost")


def refused_write() -> None:
    """A disk refuses what makes a voter active, and takes the next write: an epoch is held with its rows, or
    not at all.
    """
    due, disk = PendingWrites({}), {"facts": {}, "rows": {}}

    def write(effects: Effects, refused: bool) -> None:
        rows, facts = due.prepare_write(effects)
        if not refused:
            disk["facts"].update(facts)
            disk["rows"].update({row[0]: row for row in rows})
            due.mark_durable(rows, facts)

    rows = [(name, (1, 5, "a", 1), (1, 5, "a", 1), "v") for name in (CONFIG, TABLE, VOTER_SET)]
    write(Effects(rows, [], [], {"held": 2}), refused=True)
    newer = (CONFIG, (2, 6, "a", 1), (1, 5, "a", 1), "v")
    write(Effects([newer], [], [], {}), refused=False)
    if disk["facts"].get("held") == 2 and disk["rows"].keys() != {CONFIG, TABLE, VOTER_SET}:
        raise RuleViolation(
            f"the disk says that it holds epoch 2, and has rows of {sorted(disk['rows'])} alone"
        )
    if disk["rows"][CONFIG] != newer or due.rows or due.facts:
        raise RuleViolation("an older row over a newer one, or something is due for ever")


def refused_answer() -> None:
    """A change whose answer rests on a refused write is unclear, not under way for ever."""
    world = ControllerFleet(1)
    machine = next(iter(world.machines.values()))
    machine.voter_changes.is_changing = True
    effects = Effects(
        [], [], [(machine.voter_changes.change_finished, True)], {"members": machine.consensus.voter_set}
    )
    machine.quorum_io.storage = SimpleNamespace(write=lambda rows, facts, done: done("refused"))
    machine.quorum_io.execute(effects)
    world.advance(0.01)
    if machine.voter_changes.is_changing:
        raise RuleViolation("no change of the set is proposed from here any more")


def heartbeat_before_write() -> None:
    """A heartbeat does not call its sender active before the disk does: who leaves relies on it."""
    world = ControllerFleet(1)
    world.advance(2.0)
    machine, sent = world.machines["m0"], []
    for due in ({}, {"held": 1}, {"members": machine.consensus.voter_set}):
        machine.quorum_io.pending_writes.facts = due
        with mock.patch.object(
            machine.runtime.peer_connections, "send", lambda peer, message: sent.append(message["v"])
        ):
            machine.controller_peers.send_heartbeats(world.now)
    if not sent or sent != [True] * (len(sent) // 3) + [False] * (2 * len(sent) // 3):
        raise RuleViolation(f"called active: {sent}")


def contact_despite_own_acceptance() -> None:
    """One that has accepted something newer than it knows to be chosen does not count itself as contact."""
    world = ControllerFleet(1, 3, 0)
    machine = world.machines["m0"]
    newer = (1, 7, "m2", 1)
    machine.consensus.acceptors[TABLE].accept(newer, {"n": 9})  # and m2 too: it is chosen, unknown here
    heartbeat = {
        "acc": {TABLE: NO_PROPOSAL},
        "dur": {},
        "v": True,
        "w": True,
        "ep": 1,
        "leaving": False,
        "ver": {},
    }
    wire = {**heartbeat, "e": 9.9, "t": 0.0, "disk": "m1.0"}
    machine.sessions.record_heartbeat(10.0, "m1", ControllerHeartbeat.from_wire(wire))
    if machine.quorum_contact.quorum_contact_until(10.0) > 10.0:
        raise RuleViolation("quorum contact that nothing newer is chosen, from one who accepted it")


def contact_from_replaced_disk() -> None:
    """A heartbeat of a disk that is no voter's any more, or of another epoch, is no quorum contact."""
    accepted = {TABLE: (1, 1, "a", 1)}
    voters = {"a": "a0", "b": "b9", "c": "c0"}
    heartbeat = {
        "acc": accepted,
        "dur": {},
        "v": True,
        "w": True,
        "leaving": False,
        "ver": {},
        "e": 9.9,
        "t": 0.0,
    }
    for disk, epoch in (("b0", 2), ("b9", 1)):
        sessions = Sessions("a")
        wire = {**heartbeat, "ep": epoch, "disk": disk}
        sessions.record_heartbeat(10.0, "b", ControllerHeartbeat.from_wire(wire))
        if sessions.quorum_contact_until(10.0, voters, 2, {TABLE: (1, 1, "a", 1)}, {TABLE: NO_PROPOSAL}):
            raise RuleViolation(f"quorum contact by disk {disk} in epoch {epoch}")
