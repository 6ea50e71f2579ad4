"""Scripted cases about the change from one epoch to the next.

Each case is an order of events that once broke a rule, or that breaks a rule when a guard is
removed. A broken rule raises RuleViolation. `CASES` has all cases by the names that the features use.
"""

from typing import Any

from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.membership import Membership
from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, founding_voter_set, voter_set_change
from tests.simulation.consensus import RuleViolation
from tests.simulation.membership_epochs import BOUNDS, ControllerFleet
from tests.simulation.membership_seat_cases import (
    answer_after_refused_write,
    contact_despite_own_acceptance,
    contact_from_replaced_disk,
    early_shutdown,
    heartbeat_before_write,
    heartbeat_of_previous_epoch,
    peer_status,
    refused_write,
)
from tests.simulation.scripted_cluster import ScriptedCluster


def forgotten_promise(
    voters: str, spares: str, proposer: str, reached_by_change: str, second_quorum: str, late_voter: str
) -> Any:
    """Returns a case in which voter a loses a promise together with its disk.

    Its promise for the configuration "late" has reached the proposer. Its new disk gets the seat, and the
    configuration "first" is chosen with the vote of the new disk. Then the old prepare request reaches one
    more voter, `late_voter`.

    The parameters have one letter for each replica.
    reached_by_change: the voters besides a that learn of the new voter set.
    second_quorum: the replicas that choose "first".

    The returned case has the parameter `rolled_back`: whether the disk is rolled back to its state from
    before the promise. By default, an empty disk replaces it.
    """

    def run_case(rolled_back: bool = False) -> None:
        cluster = ScriptedCluster(voters, spares)
        cluster.replicas[proposer].proposer.highest_counters[CONFIG] = 100
        cluster.put(proposer, "late")
        cluster.deliver(proposer)
        cluster.deliver(proposer + "a", rounds=2)
        held_back, cluster.in_flight = list(cluster.in_flight), []
        if rolled_back:
            # The disk has its state from before the promise. The proposer's heartbeat reports the promise.
            cluster.replicas["a"] = ConsensusReplica("a", "a0", 50, {}, cluster.voter_set, 1)
            commitments = {CONFIG: cluster.replicas[proposer].peer_commitments[CONFIG]["a"]}
            cluster.apply("a", cluster.replicas["a"].check_disk_rollback(1, commitments, "a50"))
        else:
            cluster.lose_disk("a")
        cluster.deliver(reached_by_change + "a")
        if not cluster.replicas["a"].is_active_voter:  # it is active only where a guard was removed
            cluster.change(
                "b", reached_by_change, {**cluster.voter_set["voters"], "a": cluster.replicas["a"].disk}
            )
            cluster.deliver(reached_by_change + "a")
        cluster.in_flight.clear()
        cluster.put("b", "first")
        cluster.deliver(second_quorum)
        cluster.in_flight = [sent for sent in held_back if sent[1] == late_voter]
        cluster.deliver(voters + spares)
        cluster.check_invariants()
        if not any(outcome == (200, "first") for _, outcome in cluster.outcomes):
            raise AssertionError('the configuration "first" was not chosen, so the case proves nothing')

    return run_case


def late_acceptance() -> None:
    """A late acceptance by a lost disk does not count in a later epoch."""
    cluster = ScriptedCluster("abc", "d")
    cluster.put("d", "late")
    cluster.deliver("ad", "prepare promise")
    cluster.deliver("bd", "prepare promise")
    cluster.deliver("ad", "accept", rounds=1)
    # a has accepted, and its acceptance is in flight, as is the request that b should accept
    held_back, cluster.in_flight = list(cluster.in_flight), []
    cluster.lose_disk("a")
    cluster.change("b", "bc", {**cluster.voter_set["voters"], "a": cluster.replicas["a"].disk})
    cluster.deliver("abc")
    cluster.put("c", "first")
    cluster.deliver("abc")
    cluster.check_invariants()
    cluster.in_flight = held_back
    cluster.deliver("abcd")
    cluster.check_invariants()


def disk_lost_during_completion() -> None:
    """No rule is broken if a voter loses its disk while another voter completes its unfinished round."""
    cluster = ScriptedCluster("abc")
    cluster.put("a", "left")
    cluster.deliver("ab", "prepare promise")
    cluster.deliver("a", "accept accepted")
    cluster.in_flight = [sent for sent in cluster.in_flight if sent[0] == sent[1]]
    b = cluster.replicas["b"]
    cluster.apply("b", b.receive(0.0, "a", {"k": "accepted", "r": CONFIG, "b": (1, 1, "a", 1), "disk": "a0"}))
    cluster.apply("b", b.tick(0.1))
    cluster.apply("b", b.tick(5.0))  # starts to complete the round
    cluster.deliver("b")
    cluster.deliver("ab", "prepare promise")
    held_back, cluster.in_flight = list(cluster.in_flight), []
    cluster.lose_disk("a")
    cluster.change("c", "bc", {**cluster.voter_set["voters"], "a": cluster.replicas["a"].disk})
    cluster.deliver("abc")
    cluster.put("c", "other")
    cluster.deliver("abc")
    cluster.in_flight += held_back
    cluster.deliver("abc")
    cluster.check_invariants()


def promise_lost_during_founding() -> None:
    """At most one voter set of epoch 1 is chosen although a seed loses its disk during the founding.

    The seed has promised for the first proposed voter set before it loses the disk. Then another voter set is
    proposed.
    """
    cluster = ScriptedCluster("abc", "d")
    seeds = founding_voter_set(("a", "b", "c"))
    for name in "abc":
        cluster.replicas[name] = ConsensusReplica(name, f"{name}0", 1, {}, seeds, 0)
    proposed_voters = ({"a": "a0", "b": "b0", "c": "c0"}, {"a": "a9", "b": "b0", "d": "d0"})
    c = cluster.replicas["c"]
    cluster.apply("c", c.propose(0.0, VOTER_SET, voter_set_change(seeds, proposed_voters[0]), "first", 99.0))
    cluster.deliver("ac", "prepare promise", rounds=1)
    held_back = list(cluster.in_flight)
    cluster.in_flight = []
    cluster.replicas["a"] = ConsensusReplica("a", "a9", 9)  # a boot after the first one, so without the seeds
    cluster.notify("a", seeds)
    b = cluster.replicas["b"]
    cluster.apply("b", b.propose(0.0, VOTER_SET, voter_set_change(seeds, proposed_voters[1]), "second", 99.0))
    cluster.deliver("ab")
    if cluster.replicas["a"].is_active_voter or any(tag == "second" for tag, _ in cluster.outcomes):
        raise RuleViolation("a seed whose disk was lost votes in epoch 0, the epoch of the seeds")
    cluster.in_flight += held_back
    cluster.deliver("abcd")
    learned = {
        str(replica.voter_set)
        for replica in cluster.replicas.values()
        if replica.epoch == 1 and replica.address != "d"
    }
    if len(learned) > 1:
        raise RuleViolation(f"two voter sets of epoch 1: {learned}")


def late_promise_of_sealed_voter() -> None:
    """A promise that a voter gave before it was sealed does not count for a proposal afterwards."""
    cluster = ScriptedCluster("abc", "d")
    cluster.put("c", "old")
    cluster.deliver("c")
    cluster.deliver("bc", "prepare", rounds=1)
    held_back, cluster.in_flight = [sent for sent in cluster.in_flight if sent[2]["k"] == "promise"], []
    cluster.change("a", "ab", {"a": "a0", "b": "b0", "d": "d0"})
    cluster.notify("d", cluster.replicas["a"].voter_set)
    cluster.deliver("abd")
    cluster.put("a", "new")
    cluster.deliver("ad")
    cluster.check_invariants()
    cluster.in_flight = held_back
    cluster.deliver("abcd")
    cluster.check_invariants()


def join_by_active_or_sealed_reports() -> None:
    """A joining voter learns the chosen value from one active voter or from a majority of sealed voters."""
    for reporting in ("active", "sealed"):
        cluster = ScriptedCluster("abc", "d")
        cluster.put("b", "x")
        cluster.deliver("bc")
        cluster.change("a", "ab", {"a": "a0", "b": "b0", "d": "d0"})
        if not cluster.replicas["a"].is_active_voter:
            raise RuleViolation("voter a is not active although a majority is sealed")
        d = cluster.replicas["d"]
        cluster.notify("d", cluster.replicas["a"].voter_set)
        cluster.deliver("ad" if reporting == "active" else "bcd")
        if not d.is_active_voter or d.acceptors[CONFIG].value != "x":
            raise RuleViolation(f"{reporting} voters report: d holds {d.acceptors[CONFIG].value}, expected x")


def repeated_join_request() -> None:
    """A joining voter repeats its request to a sealed voter.

    That voter may have become active since, and may be the only active voter that still runs.
    """
    cluster = ScriptedCluster("abc", "d")
    cluster.change("a", "a", {"a": "a0", "b": "b0", "d": "d0"})
    cluster.deliver("ab", "prepare promise accept accepted")
    voter_set = cluster.replicas["a"].voter_set
    d = cluster.replicas["d"]
    cluster.notify("d", voter_set)
    cluster.deliver("ad", "join state")  # a is sealed, and not active yet
    cluster.deliver("ab")
    cluster.in_flight.clear()
    for _ in range(3):
        cluster.apply("d", d.tick(9.0))
        cluster.deliver("ad")
    if not cluster.replicas["a"].is_active_voter or not d.is_active_voter:
        raise RuleViolation(
            f"a or d is not active; d has reports of {d.epochs.join and [*d.epochs.join.reports]}"
        )


def returns_after_three_epochs() -> None:
    """Replicas that still hold an old epoch choose nothing in it.

    Replica c is unreachable during three changes of the voter set. Replica a restarts with its disk from
    before its removal. Replica c becomes active again once it gets a seat.
    """
    cluster = ScriptedCluster("abc", "de")
    cluster.put("a", "x")
    cluster.deliver("abc")
    c = cluster.replicas["c"]
    for voters in ("abd", "ade", "bde"):
        proposer = next(name for name in voters if cluster.replicas[name].is_active_voter)
        cluster.change(proposer, "abde", {name: cluster.replicas[name].disk for name in voters})
        for name in "abde":
            cluster.apply(
                name,
                cluster.replicas[name].receive(
                    0.0, "", {"k": "epoch", "m": cluster.replicas[proposer].voter_set}
                ),
            )
        cluster.deliver("abde")
    if cluster.replicas["e"].epoch != 4 or not cluster.replicas["e"].is_active_voter:
        raise RuleViolation(
            f"e is not active in epoch 4 after three changes: {cluster.replicas['e'].voter_set}"
        )
    a = cluster.replicas["a"]  # not a voter any more; it restarts from its disk
    rows = {
        register: (acceptor.promised, acceptor.accepted, acceptor.value)
        for register, acceptor in a.acceptors.items()
    }
    cluster.replicas["a"] = ConsensusReplica("a", "a0", 60, rows, a.voter_set, a.active_epoch)
    cluster.put("c", "y")
    cluster.deliver("abcde")
    cluster.check_invariants()
    if c.epoch != 4 or cluster.replicas["a"].is_active_voter or c.is_active_voter:
        raise RuleViolation(f"c is at epoch {c.epoch}, expected 4, or a or c votes without a seat")
    cluster.change("e", "abcde", {"c": "c0", "d": "d0", "e": "e0"})
    cluster.deliver("abcde")
    if not c.is_active_voter or c.acceptors[CONFIG].value != "x":
        raise RuleViolation("c is not active in its new seat, or does not hold x")


def lost_proposer(loss: str) -> Any:
    """Returns a case that tries the loss of the proposer at each of 24 moments of a voter set change.

    Each moment has a fleet of its own.

    loss: "disk" if the proposer loses its disk, or "power" if it loses power only. After the proposer has
    returned and `CatchUpS` has passed, a second controller loses its disk.
    """

    def run_case() -> None:
        for step in range(24):
            fleet = ControllerFleet(step, 3 if step % 2 else 5, 1)
            fleet.advance(1.5)
            fleet.put("m1")
            fleet.advance(0.3)
            machine, voters = fleet.machines["m0"], {**fleet.machines["m0"].consensus.voters}
            del voters["m2"]
            new = f"m{len(voters) + 1}"
            voters[new] = fleet.machines[new].consensus.disk
            change = voter_set_change(machine.consensus.voter_set, voters)
            machine.quorum_io.propose(VOTER_SET, change, lambda outcome: None, 1.0)
            fleet.advance(0.004 * step)
            (fleet.lose_disk if loss == "disk" else fleet.lose_power)("m0")
            fleet.lost_machines["m0"] = None
            fleet.put("m1")
            fleet.advance(2.0)
            fleet.check_reader_answered(f"after the proposer of a change was lost {4 * step} ms into it")
            fleet.start("m0")
            fleet.advance(BOUNDS.CatchUpS)
            fleet.lost_machines.clear()
            fleet.lose_disk("m1")  # a second loss may occur after CatchUpS
            fleet.lost_machines["m1"] = None
            fleet.advance(2.0)
            fleet.check_reader_answered(f"after a second loss; the first one was {4 * step} ms into a change")

    return run_case


def seal_of_unused_seat() -> None:
    """The seal of a voter that was never active in an epoch counts for the next epoch.

    After its seal, such a voter accepts nothing more in that epoch. The next epoch therefore begins although
    a voter of that epoch has lost its disk.
    """
    cluster = ScriptedCluster("abc", "d")
    cluster.change("a", "ac", {"a": "a0", "b": "b0", "d": "d0"})
    voter_set = cluster.replicas["a"].voter_set
    cluster.notify("d", voter_set)
    cluster.deliver("ad")
    cluster.put("a", "x")
    cluster.deliver("ad")
    # b has not been reached and is still at epoch 1
    third_voter_set = voter_set_change(voter_set, {"b": "b0", "c": "c0", "d": "d0"})
    cluster.apply("d", cluster.replicas["d"].propose(0.0, VOTER_SET, third_voter_set, "members", 99.0))
    cluster.deliver("ad", "prepare promise accept accepted")
    cluster.in_flight.clear()
    cluster.lose_disk("a")
    newest = cluster.replicas["d"].voter_set
    for name in "bcd":
        cluster.notify(name, newest)
        cluster.apply(name, cluster.replicas[name].tick(0.0))
    cluster.deliver("bcd")
    b = cluster.replicas["b"]
    if not b.is_active_voter or b.acceptors[CONFIG].value != "x":
        raise RuleViolation(
            f"b is not active in epoch {b.epoch}, or lacks x, although a majority of the epoch before runs"
        )


def seat_of_any_disk() -> None:
    """A seat that names no disk gives no vote to an empty disk, but is replaced by a seat that names it.

    Seats that name no disk stem from releases without epochs.
    """
    cluster = ScriptedCluster("abc")
    voter_set: VoterSet = {"n": 1, "voters": dict.fromkeys("abc", ""), "before": {}}
    for name in "abc":
        cluster.replicas[name] = ConsensusReplica(name, f"{name}0", 1, {}, voter_set, 1)
    cluster.replicas["a"] = ConsensusReplica("a", "a9", 9)
    cluster.notify("a", voter_set)
    cluster.deliver("abc")
    if cluster.replicas["a"].is_active_voter:
        raise RuleViolation("an empty disk votes with a seat that names no disk")
    peers = {name: peer_status(f"{name}0") for name in "bc"} | {"a": peer_status("a9", is_active_voter=False)}
    change = Membership(Tolerance(1), {}, 4.0).due_change(voter_set, peers, {})
    if change is None or change.voters["a"] != "a9":
        raise RuleViolation(f"no change that gives the seat of a to the disk a9 is due: {change}")


def voter_that_stopped_voting() -> None:
    """A voter that has stopped voting reports no state to voters that join the next epoch.

    It has accepted an acknowledged configuration, and the other voter that accepted it is out of reach.
    """
    cluster = ScriptedCluster("abc", "de")
    cluster.put("a", "first")
    cluster.deliver("ab")
    cluster.change("a", "ab", {"c": "c0", "d": "d0", "e": "e0"})
    voter_set = cluster.replicas["b"].voter_set
    cluster.replicas["b"].stop_voting()
    cluster.in_flight.clear()
    for name in "bcde":
        cluster.notify(name, voter_set)
    cluster.deliver("bcde")
    for name in "bcde":
        cluster.apply(name, cluster.replicas[name].tick(10.0))
    cluster.deliver("bcde")
    if cluster.replicas["b"].is_active_voter:
        raise RuleViolation("a voter that has stopped voting votes in the next epoch")
    cluster.put("c", "second")
    cluster.deliver("bcde")
    cluster.check_invariants()
    if not any(outcome == (200, "first") for _, outcome in cluster.outcomes):
        raise AssertionError('the configuration "first" was not acknowledged, so the case proves nothing')


FORGOTTEN_PROMISE_OF_ONE_OF_THREE = forgotten_promise("abc", "d", "d", "bc", "ab", "c")
FORGOTTEN_PROMISE_OF_ONE_OF_FIVE = forgotten_promise("abcde", "", "e", "bcd", "abc", "d")
CASES = {
    "forgotten promise, three voters and a spare": FORGOTTEN_PROMISE_OF_ONE_OF_THREE,
    "forgotten promise, five voters": FORGOTTEN_PROMISE_OF_ONE_OF_FIVE,
    "forgotten promise after a disk rollback, three voters": lambda: FORGOTTEN_PROMISE_OF_ONE_OF_THREE(
        rolled_back=True
    ),
    "forgotten promise after a disk rollback, five voters": lambda: FORGOTTEN_PROMISE_OF_ONE_OF_FIVE(
        rolled_back=True
    ),
    "late acceptance by a lost disk": late_acceptance,
    "a disk lost while an unfinished round is completed": disk_lost_during_completion,
    "a seed that forgets its promise during the founding": promise_lost_during_founding,
    "late promise of a sealed voter": late_promise_of_sealed_voter,
    "joining by reports of one active voter or of sealed voters": join_by_active_or_sealed_reports,
    "a joining voter that repeats its request": repeated_join_request,
    "return after three epochs": returns_after_three_epochs,
    "a proposer that loses power during a voter set change": lost_proposer("power"),
    "a proposer that loses its disk during a voter set change": lost_proposer("disk"),
    "the seal of a voter that was never active": seal_of_unused_seat,
    "a seat of any disk": seat_of_any_disk,
    "a voter that stopped voting": voter_that_stopped_voting,
    "a heartbeat of the previous epoch": heartbeat_of_previous_epoch,
    "shutdown after heartbeats of the previous epoch": early_shutdown,
    "a refused write and the next write": refused_write,
    "an answer that waits for a refused write": answer_after_refused_write,
    "a heartbeat before the write of its facts": heartbeat_before_write,
    "quorum contact despite a newer acceptance of its own": contact_despite_own_acceptance,
    "quorum contact from a replaced disk": contact_from_replaced_disk,
}
