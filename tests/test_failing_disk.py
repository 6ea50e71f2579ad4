"""A voter whose disk refuses or hangs every write: it says so, loses its seat, and blocks nothing."""

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
LOST_AFTER = CATCH_UP * LOST_AFTER_FRACTION
VOTERS: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "c": "c0"}, "before": {}}
SEEDS = 30


def peers_with(**changed):
    peers = {name: peer_status(f"{name}0", 2, name in VOTERS["voters"]) for name in "abcd"}
    return {name: peer._replace(**changed.get(name, {})) for name, peer in peers.items()}


def due_change(peers):
    return Membership(Tolerance(1), {}, CATCH_UP).due_change(VOTERS, peers, {})


def test_the_seat_goes_to_a_spare_once_the_disk_has_failed_for_long() -> None:
    assert due_change(peers_with(c={"disk_failing_for": LOST_AFTER - 0.1})) is None
    change = due_change(peers_with(c={"disk_failing_for": LOST_AFTER + 0.1}))
    assert change.voters == {"a": "a0", "b": "b0", "d": "d0"} and change.reason == "c disk fails"


def test_a_spare_with_a_failing_disk_gets_no_seat() -> None:
    peers = peers_with(c={"silent_for": 99.0, "steady_for": 0.0}, d={"disk_failing_for": 0.1})
    assert due_change(peers) is None
    requested = Membership(Tolerance(1), {}, CATCH_UP).requested_change(VOTERS, peers, {}, "c", "d")
    assert requested.err_value == "the disk of d refuses writes, or does not answer"


def test_a_joining_voter_whose_disk_fails_blocks_no_change() -> None:
    joining = {"is_active_voter": False}
    leaving = {"a": {"leaving": True}}
    assert due_change(peers_with(c=joining, **leaving)) is None
    change = due_change(peers_with(c={**joining, "disk_failing_for": LOST_AFTER + 0.1}, **leaving))
    assert change.reason == "a leaves"


def test_operators_see_the_state() -> None:
    failing = peer_status("c0", 2)._replace(disk_failing_for=0.4)
    assert member_state("c", VOTERS, failing, lambda peer: False) == "disk fails"


@pytest.mark.parametrize("voters", [3, 5])
def test_orders_and_changes_go_on_past_a_disk_that_refuses_every_write(voters: int) -> None:
    for seed in range(SEEDS):
        world = ControllerFleet(seed, voters, 1)
        world.advance(3.0)
        failing = f"m{seed % voters}"
        world.dead_disks.add(failing)
        for _ in range(3):
            world.put(f"m{(seed + 1) % voters}")
            world.advance(0.9)
        assert len(world.acknowledged) == 3, (seed, world.summary())
        world.advance(CATCH_UP)
        healthy = [machine for name, machine in world.machines.items() if name != failing]
        assert all(failing not in machine.consensus.voters for machine in healthy), (seed, world.summary())
        assert all(machine.consensus.is_active_voter for machine in healthy), (seed, world.summary())
        world.check_reader_answered("after the seat was given away")
        # a second loss, right after: the new set bears it
        world.lose_power(f"m{(seed + 1) % voters}")
        world.away[f"m{(seed + 1) % voters}"] = None
        world.check_reader_answered("after a further loss")
        world.dead_disks.clear()
        world.advance(CATCH_UP)
        assert world.machines[failing].quorum_io.disk_failing_for(world.now) == 0.0  # noticed by the probe
        world.check_reader_answered("with the disk well again")


def test_a_hanging_disk_counts_from_the_write_that_it_does_not_answer() -> None:
    world = ControllerFleet(1)
    world.advance(2.0)
    machine, now = world.machines["m0"], world.now
    machine.quorum_io.storage = SimpleNamespace(write=lambda rows, facts, done: None)
    machine.quorum_io.write_facts({"x": 1}, lambda: None)
    assert machine.quorum_io.disk_failing_for(now + STALL_TIMEOUT) == 0.0
    assert machine.quorum_io.disk_failing_for(now + 1.0) == pytest.approx(1.0)
