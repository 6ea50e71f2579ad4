"""Orders of events that once broke, or would without a guard, played one by one; RuleViolation tells."""

from typing import Any

from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.membership import Membership
from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, founding_voters, next_voter_set
from tests.simulation.consensus import RuleViolation
from tests.simulation.membership_epochs import BOUNDS, ControllerFleet
from tests.simulation.membership_seat_cases import (
    contact_despite_own_acceptance,
    contact_from_replaced_disk,
    early_shutdown,
    heartbeat_before_write,
    heartbeat_of_epoch_before,
    peer_status,
    refused_answer,
    refused_write,
)
from tests.simulation.scripted_cluster import ScriptedCluster


def forgotten_promise(voters: str, spares: str, proposer: str, learns: str, second: str, other: str) -> Any:
    """A promise reaches its proposer, its voter's disk is lost and its seat given anew, another order is
    chosen with it; then the proposer's old prepare reaches one more voter.
    """

    def play(older: bool = False) -> None:
        cluster = ScriptedCluster(voters, spares)
        cluster.replicas[proposer].proposer.highest_counters[CONFIG] = 100
        cluster.put(proposer, "late")
        cluster.deliver(proposer)
        cluster.deliver(proposer + "a", rounds=2)
        held_back, cluster.in_flight = list(cluster.in_flight), []
        if older:  # its disk is as it was before, and its machine hears the proposer's heartbeat
            cluster.replicas["a"] = ConsensusReplica("a", "a0", 50, {}, cluster.voter_set, 1)
            bound = {CONFIG: cluster.replicas[proposer].peer_commitments[CONFIG]["a"]}
            cluster.apply("a", cluster.replicas["a"].check_disk_rollback(1, bound, "a50"))
        else:
            cluster.lose_disk("a")
        cluster.deliver(learns + "a")
        if not cluster.replicas["a"].is_active_voter:  # it must not, as itself
            cluster.change("b", learns, {**cluster.voter_set["voters"], "a": cluster.replicas["a"].disk})
            cluster.deliver(learns + "a")
        cluster.in_flight.clear()
        cluster.put("b", "first")
        cluster.deliver(second)
        cluster.in_flight = [one for one in held_back if one[1] == other]
        cluster.deliver(voters + spares)
        cluster.check_invariants()
        if not any(outcome == (200, "first") for _, outcome in cluster.answers):
            raise AssertionError("the second order was not chosen: the play proves nothing")

    return play


def late_acceptance() -> None:
    """An acceptance by a disk that was lost since counts no more than the epoch it was given in."""
    cluster = ScriptedCluster("abc", "d")
    cluster.put("d", "late")
    cluster.deliver("ad", "prepare promise")
    cluster.deliver("bd", "prepare promise")
    cluster.deliver("ad", "accept", rounds=1)
    held_back, cluster.in_flight = (
        list(cluster.in_flight),
        [],
    )  # a has accepted, and tells so; b's accept too
    cluster.lose_disk("a")
    cluster.change("b", "bc", {**cluster.voter_set["voters"], "a": cluster.replicas["a"].disk})
    cluster.deliver("abc")
    cluster.put("c", "first")
    cluster.deliver("abc")
    cluster.check_invariants()
    cluster.in_flight = held_back
    cluster.deliver("abcd")
    cluster.check_invariants()


def late_completion() -> None:
    """The round that ends what a proposer left behind, amid a lost disk."""
    cluster = ScriptedCluster("abc")
    cluster.put("a", "left")
    cluster.deliver("ab", "prepare promise")
    cluster.deliver("a", "accept accepted")
    cluster.in_flight = [one for one in cluster.in_flight if one[0] == one[1]]
    b = cluster.replicas["b"]
    cluster.apply("b", b.receive(0.0, "a", {"k": "accepted", "r": CONFIG, "b": (1, 1, "a", 1), "disk": "a0"}))
    cluster.apply("b", b.tick(0.1))
    cluster.apply("b", b.tick(5.0))  # it settles
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


def founding() -> None:
    """A seed promises a founding of the voters, its disk is lost, another is proposed: one stands."""
    cluster = ScriptedCluster("abc", "d")
    seeds = founding_voters(("a", "b", "c"))
    for name in "abc":
        cluster.replicas[name] = ConsensusReplica(name, f"{name}0", 1, {}, seeds, 0)
    sets = ({"a": "a0", "b": "b0", "c": "c0"}, {"a": "a9", "b": "b0", "d": "d0"})
    c = cluster.replicas["c"]
    cluster.apply("c", c.propose(0.0, VOTER_SET, next_voter_set(seeds, sets[0]), "first", 99.0))
    cluster.deliver("ac", "prepare promise", rounds=1)
    held_back = list(cluster.in_flight)
    cluster.in_flight = []
    cluster.replicas["a"] = ConsensusReplica("a", "a9", 9)  # not its first boot any more
    cluster.notify("a", seeds)
    b = cluster.replicas["b"]
    cluster.apply("b", b.propose(0.0, VOTER_SET, next_voter_set(seeds, sets[1]), "second", 99.0))
    cluster.deliver("ab")
    if cluster.replicas["a"].is_active_voter or any(tag == "second" for tag, _ in cluster.answers):
        raise RuleViolation("a seed whose disk was lost votes in the epoch of the seeds")
    cluster.in_flight += held_back
    cluster.deliver("abcd")
    found = {str(m.voter_set) for m in cluster.replicas.values() if m.epoch == 1 and m.address != "d"}
    if len(found) > 1:
        raise RuleViolation(f"two sets of epoch 1: {found}")


def late_promise_of_sealed() -> None:
    """A promise that a voter gave before its seal does not help to choose anything after it."""
    cluster = ScriptedCluster("abc", "d")
    cluster.put("c", "old")
    cluster.deliver("c")
    cluster.deliver("bc", "prepare", rounds=1)
    held_back, cluster.in_flight = [one for one in cluster.in_flight if one[2]["k"] == "promise"], []
    cluster.change("a", "ab", {"a": "a0", "b": "b0", "d": "d0"})
    cluster.notify("d", cluster.replicas["a"].voter_set)
    cluster.deliver("abd")
    cluster.put("a", "new")
    cluster.deliver("ad")
    cluster.check_invariants()
    cluster.in_flight = held_back
    cluster.deliver("abcd")
    cluster.check_invariants()


def two_ways_to_join() -> None:
    """What one active voter tells, and what a majority of sealed ones tell, both hold what was chosen."""
    for way in ("active", "sealed"):
        cluster = ScriptedCluster("abc", "d")
        cluster.put("b", "x")
        cluster.deliver("bc")
        cluster.change("a", "ab", {"a": "a0", "b": "b0", "d": "d0"})
        if not cluster.replicas["a"].is_active_voter:
            raise RuleViolation("a majority of seals makes no voter active")
        d = cluster.replicas["d"]
        cluster.notify("d", cluster.replicas["a"].voter_set)
        cluster.deliver("ad" if way == "active" else "bcd")
        if not d.is_active_voter or d.acceptors[CONFIG].value != "x":
            raise RuleViolation(f"{way}: d holds {d.acceptors[CONFIG].value}")


def asked_again() -> None:
    """A voter that heard another's seal asks it again: it may be active by now, and all that is left."""
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
        raise RuleViolation(f"d never hears that a is active: {d.epochs.join and [*d.epochs.join.reports]}")


def asleep() -> None:
    """One that slept through three epochs, and one with the disk of a removed member, choose nothing in an
    old epoch; given a seat again, the sleeper takes it up.
    """
    cluster = ScriptedCluster("abc", "de")
    cluster.put("a", "x")
    cluster.deliver("abc")
    c = cluster.replicas["c"]
    for voters in ("abd", "ade", "bde"):
        by = next(name for name in voters if cluster.replicas[name].is_active_voter)
        cluster.change(by, "abde", {name: cluster.replicas[name].disk for name in voters})
        for name in "abde":
            cluster.apply(
                name,
                cluster.replicas[name].receive(0.0, "", {"k": "epoch", "m": cluster.replicas[by].voter_set}),
            )
        cluster.deliver("abde")
    if cluster.replicas["e"].epoch != 4 or not cluster.replicas["e"].is_active_voter:
        raise RuleViolation(f"the third change did not come about: {cluster.replicas['e'].voter_set}")
    a = cluster.replicas["a"]  # removed by now; it starts again with what lies on its disk
    rows = {name: (kept.promised, kept.accepted, kept.value) for name, kept in a.acceptors.items()}
    cluster.replicas["a"] = ConsensusReplica("a", "a0", 60, rows, a.voter_set, a.active_epoch)
    cluster.put("c", "y")
    cluster.deliver("abcde")
    cluster.check_invariants()
    if c.epoch != 4 or cluster.replicas["a"].is_active_voter or c.is_active_voter:
        raise RuleViolation(f"{c.epoch}: it still lives in an older epoch")
    cluster.change("e", "abcde", {"c": "c0", "d": "d0", "e": "e0"})
    cluster.deliver("abcde")
    if not c.is_active_voter or c.acceptors[CONFIG].value != "x":
        raise RuleViolation("it does not take up its seat")


def dying_proposer(way: str) -> Any:
    """The proposer of a change loses its power or its disk at each of many moments of it."""

    def play() -> None:
        for step in range(24):
            world = ControllerFleet(step, 3 if step % 2 else 5, 1)
            world.advance(1.5)
            world.put("m1")
            world.advance(0.3)
            machine, voters = world.machines["m0"], {**world.machines["m0"].consensus.voters}
            del voters["m2"]
            new = f"m{len(voters) + 1}"
            voters[new] = world.machines[new].consensus.disk
            change = next_voter_set(machine.consensus.voter_set, voters)
            machine.quorum_io.propose(VOTER_SET, change, lambda outcome: None, 1.0)
            world.advance(0.004 * step)
            (world.lose_disk if way == "disk" else world.lose_power)("m0")
            world.away["m0"] = None
            world.put("m1")
            world.advance(2.0)
            world.check_reader_answered(f"its proposer died after {4 * step} ms")
            world.start("m0")
            world.advance(BOUNDS.CatchUpS)
            world.away.clear()
            world.lose_disk("m1")  # and once it had CatchUpS, the next is lost
            world.away["m1"] = None
            world.advance(2.0)
            world.check_reader_answered(f"the next loss after a proposer's at {4 * step} ms")

    return play


def unused_seat() -> None:
    """A voter that never was active in an epoch helps to leave it, as it will accept nothing there: with the
    only other holder but one lost, the next epoch begins.
    """
    cluster = ScriptedCluster("abc", "d")
    cluster.change("a", "ac", {"a": "a0", "b": "b0", "d": "d0"})
    voter_set = cluster.replicas["a"].voter_set
    cluster.notify("d", voter_set)
    cluster.deliver("ad")
    cluster.put("a", "x")
    cluster.deliver("ad")
    third = next_voter_set(
        voter_set, {"b": "b0", "c": "c0", "d": "d0"}
    )  # b has not been heard: it holds epoch 1
    cluster.apply("d", cluster.replicas["d"].propose(0.0, VOTER_SET, third, "members", 99.0))
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
        raise RuleViolation(f"epoch {b.epoch} does not begin, though a majority of the one before is there")


def seat_of_any_disk() -> None:
    """A seat that names no disk (of before there were epochs) is not taken up by one that came back empty."""
    cluster = ScriptedCluster("abc")
    voter_set: VoterSet = {"n": 1, "voters": dict.fromkeys("abc", ""), "before": {}}
    for name in "abc":
        cluster.replicas[name] = ConsensusReplica(name, f"{name}0", 1, {}, voter_set, 1)
    cluster.replicas["a"] = ConsensusReplica("a", "a9", 9)
    cluster.notify("a", voter_set)
    cluster.deliver("abc")
    if cluster.replicas["a"].is_active_voter:
        raise RuleViolation("an empty disk votes on a seat of any disk")
    peers = {name: peer_status(f"{name}0") for name in "bc"} | {"a": peer_status("a9", is_active_voter=False)}
    change = Membership(Tolerance(1), {}, 4.0).due_change(voter_set, peers, {})
    if change is None or change.voters["a"] != "a9":
        raise RuleViolation(f"its seat is not named anew: {change}")


FORGOTTEN_BY_ONE_OF_THREE = forgotten_promise("abc", "d", "d", "bc", "ab", "c")
FORGOTTEN_BY_ONE_OF_FIVE = forgotten_promise("abcde", "", "e", "bcd", "abc", "d")
CASES = {
    "forgotten promise, three voters and a spare": FORGOTTEN_BY_ONE_OF_THREE,
    "forgotten promise, five voters": FORGOTTEN_BY_ONE_OF_FIVE,
    "an older disk, three voters": lambda: FORGOTTEN_BY_ONE_OF_THREE(older=True),
    "an older disk, five voters": lambda: FORGOTTEN_BY_ONE_OF_FIVE(older=True),
    "late acceptance by a disk that was lost": late_acceptance,
    "completing another's proposal, amid a lost disk": late_completion,
    "a seed's promise forgotten at the founding": founding,
    "late promise of a sealed voter": late_promise_of_sealed,
    "joining from one active voter and from sealed ones": two_ways_to_join,
    "asked again once active": asked_again,
    "asleep through three epochs": asleep,
    "a change whose proposer loses power": dying_proposer("power"),
    "a change whose proposer loses its disk": dying_proposer("disk"),
    "a seat that was never used": unused_seat,
    "a seat of any disk": seat_of_any_disk,
    "a heartbeat of the epoch before": heartbeat_of_epoch_before,
    "shutting down on old heartbeats": early_shutdown,
    "a refused write and the next": refused_write,
    "an answer on a refused write": refused_answer,
    "a heartbeat before its write": heartbeat_before_write,
    "quorum contact despite one's own acceptance": contact_despite_own_acceptance,
    "quorum contact from a replaced disk": contact_from_replaced_disk,
}
