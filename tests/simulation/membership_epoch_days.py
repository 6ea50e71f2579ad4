"""Random runs of a simulated fleet of controllers with faults and conflicting configurations.

The faults are drawn from a seed. Controllers lose power or disks, shut down, are cut off, frozen and
replaced. The number of controllers lost at a time stays within `Tolerance`.
"""

import functools
import heapq
from typing import Any

from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.voter_set import voter_set_change
from tests.simulation.membership_epoch_guards import without_guard
from tests.simulation.membership_epochs import BOUNDS, ControllerFleet


class FaultRun:
    """A run of several rounds of faults, in which operators keep putting configurations.

    A broken invariant of the fleet raises RuleViolation. `counts` has the number of faults by kind.
    """

    def __init__(self, seed: int, voters: int, spares: int, founding: bool, rollback_weight: int = 0) -> None:
        """Starts the fleet. voters, spares, founding: as in ControllerFleet.

        rollback_weight: the weight, among the kinds of faults, of a disk that is rolled back to an older
        state. The documented guarantees do not cover this fault. The other kinds have a weight of 11 in all.
        """
        self.fleet, self.rollback_weight = ControllerFleet(seed, voters, spares, founding), rollback_weight
        self.rng, self.counts = self.fleet.rng, {}
        self.fleet.loss, self.fleet.duplication, self.fleet.lateness = 0.03, 0.03, 0.03

    def put_configurations(self, seconds: float) -> None:
        """Advances the time while operators put configurations.

        About half of the configurations have a conflicting one with the same parent. Some are put twice.
        """
        fleet, end = self.fleet, self.fleet.now + seconds
        while fleet.now < end:
            names = list(fleet.machines)
            if names:
                first, second = self.rng.choice(names), self.rng.choice(names)
                parent = fleet.machines[first].consensus.version(CONFIG)
                requested = fleet.put(first, parent=parent)
                if self.rng.random() < 0.5:
                    fleet.put(second, parent=parent)
                if self.rng.random() < 0.3:
                    repeat = functools.partial(fleet.propose, second, requested)
                    fleet.call_after(self.rng.uniform(0.0, 2.0), repeat)
            fleet.advance_to(min(end, fleet.now + self.rng.uniform(0.05, 0.6)))

    def inject_fault(self, name: str) -> Any:
        """Injects a random fault at this controller. Returns a function that repairs or replaces it."""
        fleet, rng = self.fleet, self.rng
        kind = rng.choice(
            (
                "power",
                "power",
                "disk",
                "disk",
                "replace",
                "shutdown",
                "shutdown",
                "cut",  # cuts the links in both directions, "in" and "out" in one direction only
                "in",
                "out",
                "freeze",
            )
            + ("rollback",) * self.rollback_weight
        )
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "rollback":
            older_disk = fleet.disk_copy(name)
            self.put_configurations(rng.uniform(0.05, 1.0))
            fleet.lose_power(name)
            fleet.disks[name] = older_disk
            return lambda: fleet.start(name)
        if kind in ("power", "disk"):
            (fleet.lose_power if kind == "power" else fleet.lose_disk)(name)
            return lambda: fleet.start(name)
        if kind in ("replace", "shutdown"):
            if kind == "shutdown":
                fleet.machines[name].shutdown_requested = True
                deadline = fleet.now + BOUNDS.GraceS
                while name in fleet.machines and fleet.now < deadline:
                    self.put_configurations(0.2)
            fleet.lose_disk(name)
            return self.add_controller
        if kind == "freeze":
            fleet.frozen_until[name] = fleet.now + 1e9  # until `thaw` is called
            return lambda: self.thaw(name)
        fleet.cut_off(name, {"cut": "both"}.get(kind, kind))
        return lambda: fleet.cut_links.difference_update({link for link in fleet.cut_links if name in link})

    def thaw(self, name: str) -> None:
        """Ends the freeze of a controller, and runs at once all events that waited for it."""
        fleet = self.fleet
        del fleet.frozen_until[name]
        # Only events that wait for the end of the freeze are due so late.
        postponed = [event for event in fleet.events if event[0] >= 1e8]
        fleet.events = [event for event in fleet.events if event[0] < 1e8]
        heapq.heapify(fleet.events)
        for _, _, callback in postponed:
            fleet.call_after(0.0, callback)

    def lose_controller_at_start(self) -> None:
        """Stops a random controller during the start of the fleet, and starts it again within 1 s.

        Its disk may be lost too.
        """
        self.put_configurations(self.rng.uniform(0.0, 1.5))
        name = self.rng.choice(sorted(self.fleet.machines))
        (self.fleet.lose_disk if self.rng.random() < 0.5 else self.fleet.lose_power)(name)
        self.put_configurations(self.rng.uniform(0.0, 1.0))
        self.fleet.start(name)

    def add_controller(self) -> None:
        """Starts a controller with a new name and an empty disk."""
        fleet = self.fleet
        name = f"m{fleet.next_number}"
        fleet.next_number += 1
        fleet.disks[name] = {"facts": {}, "rows": {}}
        fleet.seeds = tuple(f"{peer}:1" for peer in list(fleet.machines)[:3])
        fleet.start(name)

    def replace_voter_by_command(self) -> None:
        """Proposes to give a voter's seat to a spare, as an operator's command does.

        At times two such changes are proposed at once. Returns while they may still be in progress.
        """
        fleet, rng = self.fleet, self.rng
        for _ in range(1 + (rng.random() < 0.3)):
            machine = fleet.machines[rng.choice(sorted(fleet.machines))]
            voter_set, peers = machine.consensus.voter_set, machine.voter_changes.peer_statuses(fleet.now)
            spares = [name for name in peers if name not in voter_set["voters"]]
            old, new = rng.choice(sorted(voter_set["voters"])), rng.choice(sorted(spares) or [""])
            requested = machine.voter_changes.membership.requested_change(
                voter_set, peers, machine.quorum_io.versions(), old, new
            )
            if new and requested.is_ok():
                self.counts["replaced by command"] = self.counts.get("replaced by command", 0) + 1
                change = voter_set_change(voter_set, requested.ok_value.voters)
                machine.quorum_io.propose(VOTER_SET, change, lambda outcome: None, 1.0)
        fleet.advance(rng.uniform(0.0, 0.15))

    def lose_voter_after_shutdown(self) -> None:
        """Shuts down a voter while a spare runs, and loses another voter right afterwards.

        Checks that a majority answers after the second loss. Does nothing if no spare runs.
        """
        fleet, rng = self.fleet, self.rng
        voters = next(iter(fleet.machines.values())).consensus.voters
        if not [name for name in fleet.machines if name not in voters]:
            return
        leaving, lost = rng.sample(sorted(voters), 2)
        self.counts["loss after shutdown"] = self.counts.get("loss after shutdown", 0) + 1
        fleet.machines[leaving].shutdown_requested = True
        deadline = fleet.now + BOUNDS.GraceS
        while leaving in fleet.machines and fleet.now < deadline:
            fleet.put(rng.choice(sorted(fleet.machines)))
            fleet.advance(rng.uniform(0.01, 0.1))
        fleet.lose_disk(leaving)
        fleet.lose_disk(lost)
        fleet.lost_machines.update(dict.fromkeys((leaving, lost)))
        self.put_configurations(BOUNDS.ContactS)
        fleet.check_reader_answered("after a voter shut down and another was lost")
        fleet.start(lost)
        self.add_controller()
        self.put_configurations(BOUNDS.CatchUpS)
        fleet.lost_machines.clear()
        fleet.check_reader_answered("after CatchUpS, in which the controllers returned")

    def run_round(self) -> None:
        """Injects faults at one or more controllers, at most as many as `Tolerance` allows, and repairs them.

        Checks that a majority answers afterwards, and at times also before the repair.
        """
        fleet, rng = self.fleet, self.rng
        if rng.random() < 0.3:
            self.lose_voter_after_shutdown()
        faulty = rng.sample(sorted(fleet.machines), 1 + rng.randrange(fleet.losses))
        if rng.random() < 0.5:
            self.replace_voter_by_command()
        fleet.lost_machines.update(dict.fromkeys(faulty))
        if rng.random() < 0.2:
            fleet.refusing_disks.update(faulty)  # writes are refused only at controllers that count as lost
            self.put_configurations(rng.uniform(0.2, 2.0))
        repairs = []
        for name in faulty:
            repairs.append(self.inject_fault(name))
            self.put_configurations(rng.uniform(0.0, 0.5))
        if rng.random() < 0.2:
            self.restart_all_except(faulty)
        self.put_configurations(rng.choice((0.2, 1.0, 3.0, 6.0)))
        if rng.random() < 0.4:
            self.put_configurations(BOUNDS.ContactS)
            fleet.check_reader_answered("while controllers have faults")
        fleet.refusing_disks.clear()
        for repair in repairs:
            repair()
            self.put_configurations(rng.uniform(0.0, 1.0))
        self.put_configurations(BOUNDS.CatchUpS)
        fleet.lost_machines.clear()
        fleet.check_reader_answered("after CatchUpS, in which the controllers returned")

    def restart_all_except(self, excluded: list[str]) -> None:
        """All other controllers lose power at the same time, and start again within 1 s."""
        names = [name for name in self.fleet.machines if name not in excluded]
        self.counts["power of all"] = self.counts.get("power of all", 0) + 1
        for name in names:
            self.fleet.lose_power(name)
        self.fleet.advance(self.rng.uniform(0.1, 1.0))
        for name in names:
            self.fleet.start(name)

    def lose_disks_after_acknowledgement(self) -> None:
        """Loses as many disks as `Tolerance` allows right after a configuration is acknowledged.

        At times, all other controllers lose power too. Checks twice afterwards that a majority answers.
        """
        fleet, acknowledged_before = self.fleet, len(self.fleet.acknowledged)
        deadline = fleet.now + BOUNDS.AckS
        while len(fleet.acknowledged) == acknowledged_before and fleet.now < deadline:
            fleet.put(self.rng.choice(list(fleet.machines)))
            fleet.advance(0.1)
        lost = self.rng.sample(sorted(fleet.machines), fleet.losses)
        for name in lost:
            fleet.lose_disk(name)
        if self.rng.random() < 0.5:
            self.restart_all_except(lost)
        for name in lost:
            fleet.start(name)
        fleet.lost_machines.update(dict.fromkeys(lost))
        fleet.advance(BOUNDS.CatchUpS)
        fleet.check_reader_answered("after the loss of disks")
        fleet.advance(BOUNDS.CatchUpS)
        fleet.lost_machines.clear()
        fleet.check_reader_answered("at the end")


# (voters, spares, founding) of each fleet; the seed of a run selects one
FLEETS = ((3, 1, False), (3, 1, True), (5, 1, False), (3, 0, False), (3, 2, True), (5, 0, True))


def day(seed: int, rounds: int = 3, guard: str = "", older: int = 0) -> FaultRun:
    """Simulates the run of this seed, and returns it.

    guard: the name of a guard to remove, or "" for none. older: the `rollback_weight` of FaultRun.
    Raises RuleViolation if an invariant is broken or no majority answers a read.
    """
    with without_guard(guard):
        run = FaultRun(seed, *FLEETS[seed % len(FLEETS)], older)
        if seed % 4 == 1:
            run.lose_controller_at_start()
        run.put_configurations(BOUNDS.CatchUpS)
        run.fleet.check_reader_answered("at the start")
        for _ in range(rounds):
            run.run_round()
        run.lose_disks_after_acknowledgement()
    return run
