"""Cases about the seats of voters, heartbeats and refused writes.

Each case is an order of events that once broke a rule, or that breaks a rule when a guard is
removed. A broken rule raises RuleViolation.
"""

from types import SimpleNamespace
from unittest import mock

from bramblewood.common.messages import ControllerHeartbeat
from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.effects import Effects, PendingWrites
from bramblewood.controller.consensus.membership import Membership, is_vote_dispensable
from bramblewood.controller.consensus.peer_status import PeerStatus
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import CONFIG, TABLE, VOTER_SET
from bramblewood.controller.consensus.voter_set import VoterSet
from bramblewood.controller.peer_sessions import PeerSessions
from tests.simulation.consensus import RuleViolation
from tests.simulation.membership_epochs import ControllerFleet


def peer_status(
    disk: str, epoch: int = 1, is_active_voter: bool = True, is_leaving: bool = False
) -> PeerStatus:
    """Returns the status of a reachable controller with this disk."""
    return PeerStatus(disk, "z", True, epoch, is_active_voter, is_leaving, 0.0, 9.0, {})


def heartbeat_of_previous_epoch() -> None:
    """A heartbeat of the previous epoch does not count its voter as active in the current one."""
    voter_set: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "d": "d0"}, "before": {}}
    peers = {
        "a": peer_status("a0", 2),
        "b": peer_status("b0", 1),
        "d": peer_status("d0", 2),
        "e": peer_status("e0", 2, False),
    }
    peers["a"] = peers["a"]._replace(is_leaving=True)
    change = Membership(Tolerance(1), {}, 4.0).due_change(voter_set, peers, {})
    if change is not None:
        raise RuleViolation(f"{change} is due although b has not reported that it is active")


def early_shutdown() -> None:
    """A controller shuts down only once its shutdown cannot lose chosen values.

    A replaced controller waits until a majority of the new voter set reports that it is active in the
    current epoch. A voter without a successor waits until a majority of the other voters is active and has
    on disk all that the leaving voter has accepted.
    """
    voter_set: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "d": "d0"}, "before": {}}
    peers = {"a": peer_status("a0", 1), "b": peer_status("b0", 1), "d": peer_status("d0", 2, False)}
    if is_vote_dispensable("c", "c0", voter_set, peers, {}, {}, False):
        raise RuleViolation("the replaced controller shuts down on heartbeats of the previous epoch")
    if not is_vote_dispensable(
        "c", "c0", voter_set, peers | {"a": peer_status("a0", 2), "b": peer_status("b0", 2)}, {}, {}, False
    ):
        raise RuleViolation("the replaced controller does not shut down although a majority is active")
    accepted = {CONFIG: (2, 5, "a", 1)}
    durable = {"b": accepted, "d": accepted}
    peers = {"b": peer_status("b9", 2, False), "d": peer_status("d0", 2)}
    if is_vote_dispensable("a", "a0", voter_set, peers, accepted, durable, False):
        raise RuleViolation("a voter shuts down although only a lost disk held what it has accepted")


def refused_write() -> None:
    """A disk refuses the write that makes a voter active, and accepts the next write.

    The disk records the epoch as active only together with all rows with which the epoch began.
    """
    pending, disk = PendingWrites({}), {"facts": {}, "rows": {}}

    def write(effects: Effects, is_refused: bool) -> None:
        rows, facts = pending.prepare_write(effects)
        if not is_refused:
            disk["facts"].update(facts)
            disk["rows"].update({row[0]: row for row in rows})
            pending.mark_durable(rows, facts)

    rows = [(name, (1, 5, "a", 1), (1, 5, "a", 1), "v") for name in (CONFIG, TABLE, VOTER_SET)]
    write(Effects(rows, [], [], {"held": 2}), is_refused=True)
    newer = (CONFIG, (2, 6, "a", 1), (1, 5, "a", 1), "v")
    write(Effects([newer], [], [], {}), is_refused=False)
    if disk["facts"].get("held") == 2 and disk["rows"].keys() != {CONFIG, TABLE, VOTER_SET}:
        raise RuleViolation(
            f"the disk records epoch 2 as active, but has only the rows of {sorted(disk['rows'])}"
        )
    if disk["rows"][CONFIG] != newer or pending.rows or pending.facts:
        raise RuleViolation(
            "an older row has replaced a newer one, or a durable row or fact is still pending"
        )


def answer_after_refused_write() -> None:
    """A voter set change whose write is refused ends with an unclear outcome, so another can be proposed."""
    fleet = ControllerFleet(1)
    machine = next(iter(fleet.machines.values()))
    machine.voter_changes.is_proposal_in_flight = True
    effects = Effects(
        [], [], [(machine.voter_changes.change_finished, True)], {"members": machine.consensus.voter_set}
    )
    machine.quorum_io.storage = SimpleNamespace(write=lambda rows, facts, on_finished: on_finished("refused"))
    machine.quorum_io.apply_effects(effects)
    fleet.advance(0.01)
    if machine.voter_changes.is_proposal_in_flight:
        raise RuleViolation("the controller still counts the change as in progress, and proposes no other")


def heartbeat_before_write() -> None:
    """A heartbeat reports its sender as active only once the sender's disk has recorded that it is active.

    Leaving voters rely on such reports.
    """
    fleet = ControllerFleet(1)
    fleet.advance(2.0)
    machine, sent = fleet.machines["m0"], []
    for pending_facts in ({}, {"held": 1}, {"members": machine.consensus.voter_set}):
        machine.quorum_io.pending_writes.facts = pending_facts
        with mock.patch.object(
            machine.runtime.peer_connections, "send", lambda peer, message: sent.append(message["v"])
        ):
            machine.controller_peers.send_heartbeats(fleet.now)
    if not sent or sent != [True] * (len(sent) // 3) + [False] * (2 * len(sent) // 3):
        raise RuleViolation(
            f"the heartbeats report the sender as active: {sent}; expected only the first third to do so"
        )


def contact_despite_own_acceptance() -> None:
    """A controller does not count itself for quorum contact if it has accepted more than it has learned."""
    fleet = ControllerFleet(1, 3, 0)
    machine = fleet.machines["m0"]
    newer = (1, 7, "m2", 1)
    machine.consensus.acceptors[TABLE].accept(newer, {"n": 9})  # also accepted by m2, so it is chosen
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
        raise RuleViolation(
            "quorum contact counts a controller that has accepted a newer value that is chosen"
        )


def contact_from_replaced_disk() -> None:
    """A heartbeat from a disk without a seat, or of another epoch, does not count for quorum contact."""
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
        sessions = PeerSessions("a")
        wire = {**heartbeat, "ep": epoch, "disk": disk}
        sessions.record_heartbeat(10.0, "b", ControllerHeartbeat.from_wire(wire))
        if sessions.quorum_contact_until(10.0, voters, 2, {TABLE: (1, 1, "a", 1)}, {TABLE: NO_PROPOSAL}):
            raise RuleViolation(f"quorum contact counts a heartbeat from disk {disk} in epoch {epoch}")
