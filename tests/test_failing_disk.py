"""A voter whose disk fails or delays every write reports it, is replaced, and blocks no other voter."""

from types import SimpleNamespace

import pytest

from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.membership import LOST_AFTER_FRACTION, Membership
from bramblewood.controller.consensus.membership_view import member_state
from bramblewood.controller.consensus.voter_set import VoterSet
from bramblewood.controller.quorum_io import STALL_TIMEOUT
from tests.simulation.membership_epochs import BOUNDS, ControllerFleet
from tests.simulation.membership_seat_cases import peer_status

CATCH_UP = BOUNDS.CatchUpS
LOST_AFTER = CATCH_UP * LOST_AFTER_FRACTION  # s of disk failure after which a voter may be replaced
VOTER_SET: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "c": "c0"}, "before": {}}
SEEDS = 30


def peers_with(**changes):
    """Returns the status of four peers, of which d is a spare; `changes` holds changed fields by peer."""
    peers = {name: peer_status(f"{name}0", 2, name in VOTER_SET["voters"]) for name in "abcd"}
    return {name: peer._replace(**changes.get(name, {})) for name, peer in peers.items()}


def due_change(peers):
    """Returns the change of the voter set that is due, None where none is."""
    return Membership(Tolerance(1), {}, CATCH_UP).due_change(VOTER_SET, peers, {})


def test_spare_replaces_a_voter_whose_disk_fails_for_too_long() -> None:
    assert due_change(peers_with(c={"disk_failing_for": LOST_AFTER - 0.1})) is None
    change = due_change(peers_with(c={"disk_failing_for": LOST_AFTER + 0.1}))
    assert change.voters == {"a": "a0", "b": "b0", "d": "d0"} and change.reason == "c disk fails"


def test_spare_with_a_failing_disk_replaces_no_voter() -> None:
    peers = peers_with(c={"silent_for": 99.0, "uninterrupted_for": 0.0}, d={"disk_failing_for": 0.1})
    assert due_change(peers) is None
    requested = Membership(Tolerance(1), {}, CATCH_UP).requested_change(VOTER_SET, peers, {}, "c", "d")
    assert requested.err_value == "the disk of d refuses writes, or does not answer"


def test_joining_voter_with_a_failing_disk_does_not_block_a_change() -> None:
    joining = {"is_active_voter": False}
    leaving = {"a": {"is_leaving": True}}
    assert due_change(peers_with(c=joining, **leaving)) is None
    change = due_change(peers_with(c={**joining, "disk_failing_for": LOST_AFTER + 0.1}, **leaving))
    assert change.reason == "a leaves"


def test_member_state_shows_the_failing_disk() -> None:
    failing = peer_status("c0", 2)._replace(disk_failing_for=0.4)
    assert member_state("c", VOTER_SET, failing, lambda peer: False) == "disk fails"


@pytest.mark.parametrize("voters", [3, 5])
def test_configuration_and_voter_changes_succeed_while_one_disk_fails_every_write(voters: int) -> None:
    for seed in range(SEEDS):
        fleet = ControllerFleet(seed, voters, 1)
        fleet.advance(3.0)
        failing = f"m{seed % voters}"
        fleet.failing_disks.add(failing)
        for _ in range(3):
            fleet.put(f"m{(seed + 1) % voters}")
            fleet.advance(0.9)
        assert len(fleet.acknowledged) == 3, (seed, fleet.summary())
        fleet.advance(CATCH_UP)
        healthy = [machine for name, machine in fleet.machines.items() if name != failing]
        assert all(failing not in machine.consensus.voters for machine in healthy), (seed, fleet.summary())
        assert all(machine.consensus.is_active_voter for machine in healthy), (seed, fleet.summary())
        fleet.check_reader_answered("after the change of the voter set")
        # The new voter set survives a second loss.
        fleet.lose_power(f"m{(seed + 1) % voters}")
        fleet.lost_machines[f"m{(seed + 1) % voters}"] = None
        fleet.check_reader_answered("after a second loss")
        fleet.failing_disks.clear()
        fleet.advance(CATCH_UP)
        assert fleet.machines[failing].quorum_io.disk_failing_for(fleet.now) == 0.0  # detected by the probe
        fleet.check_reader_answered("after the disk has recovered")


def test_disk_failure_time_of_a_hanging_disk_starts_at_the_pending_write() -> None:
    fleet = ControllerFleet(1)
    fleet.advance(2.0)
    machine, now = fleet.machines["m0"], fleet.now
    machine.quorum_io.storage = SimpleNamespace(write=lambda registers, facts, on_finished: None)
    machine.quorum_io.write_facts({"x": 1}, lambda: None)
    assert machine.quorum_io.disk_failing_for(now + STALL_TIMEOUT) == 0.0
    assert machine.quorum_io.disk_failing_for(now + 1.0) == pytest.approx(1.0)
