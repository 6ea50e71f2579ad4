"""Orders of events that once broke, or would without a guard, played one by one; Broken tells of it."""

from types import SimpleNamespace
from typing import Any
from unittest import mock

from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.effects import Effects, PendingWrites
from bramblewood.controller.consensus.membership import Membership, may_shut_down
from bramblewood.controller.consensus.peer_status import PeerStatus
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import CONFIG, TABLE, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, founding_voters, next_voter_set
from bramblewood.controller.sessions import Sessions
from tests.simulation.consensus import Broken
from tests.simulation.membership_epoch_search import order
from tests.simulation.membership_epochs import BOUNDS, World


class Few:
    """Some ballots, a wire that carries only what the play picks, disks that are safe at once."""

    def __init__(self, voters: str, spares: str = "") -> None:
        self.members: VoterSet = {"n": 1, "voters": {name: f"{name}0" for name in voters}, "before": {}}
        self.machines = {
            name: ConsensusReplica(name, f"{name}0", place + 1, {}, self.members, 1 if name in voters else -1)
            for place, name in enumerate(voters + spares)
        }
        self.wire: list[tuple[str, str, dict]] = []
        self.answers: list[tuple] = []

    def carry(self, name: str, out: Effects) -> None:
        for register, _, accepted, _ in out.writes:
            self.machines[name].mark_durable(register, accepted)
        self.wire += [(name, peer, message) for peer, message in out.sends]
        self.answers += out.answers

    def put(self, name: str, mark: str) -> None:
        self.carry(name, self.machines[name].propose(0.0, CONFIG, order(mark), mark, 99.0))

    def hear(self, among: str, kinds: str = "", rounds: int = 12) -> None:
        """Deliver all between these machines, again and again, of these kinds or all."""
        for _ in range(rounds):
            picked = [
                one
                for one in self.wire
                if {*one[:2]} <= {*among} and (not kinds or one[2]["k"] in kinds.split())
            ]
            self.wire = [one for one in self.wire if not any(one is other for other in picked)]
            for sender, peer, message in picked:
                self.carry(peer, self.machines[peer].receive(0.0, sender, message))

    def change(self, by: str, among: str, voters: dict[str, str]) -> None:
        """A change of the set, chosen among these, and heard by all of them."""
        machine = self.machines[by]
        tag = next_voter_set(machine.voter_set, voters)
        self.carry(by, machine.propose(0.0, VOTER_SET, tag, "members", 99.0))
        self.hear(among)

    def lose_disk(self, name: str, incarnation: int = 50) -> None:
        old = self.machines[name]
        self.machines[name] = ConsensusReplica(name, f"{name}{incarnation}", incarnation)
        self.carry(name, self.machines[name].receive(0.0, "", {"k": "epoch", "m": old.voter_set}))

    def judge(self) -> None:
        taken = {
            outcome[1] for _, outcome in self.answers if isinstance(outcome, tuple) and outcome[0] == 200
        }
        known = {m.chosen[CONFIG][1] for m in self.machines.values() if m.chosen[CONFIG][0] != NO_PROPOSAL}
        if len(taken | known) > 1:
            raise Broken(f"acknowledged {sorted(taken)}, known as chosen {sorted(known)}")


def forgotten_promise(voters: str, spares: str, proposer: str, learns: str, second: str, other: str) -> Any:
    """A promise reaches its proposer, its voter's disk is lost and its seat given anew, another order is
    chosen with it; then the proposer's old prepare reaches one more voter.
    """

    def play(older: bool = False) -> None:
        few = Few(voters, spares)
        few.machines[proposer].proposer.highest_counters[CONFIG] = 100
        few.put(proposer, "late")
        few.hear(proposer)
        few.hear(proposer + "a", rounds=2)
        held, few.wire = list(few.wire), []
        if older:  # its disk is as it was before, and its machine hears the proposer's pulse
            few.machines["a"] = ConsensusReplica("a", "a0", 50, {}, few.members, 1)
            bound = {CONFIG: few.machines[proposer].peer_commitments[CONFIG]["a"]}
            few.carry("a", few.machines["a"].check_disk_rollback(1, bound, "a50"))
        else:
            few.lose_disk("a")
        few.hear(learns + "a")
        if not few.machines["a"].is_active_voter:  # it must not, as itself
            few.change("b", learns, {**few.members["voters"], "a": few.machines["a"].disk})
            few.hear(learns + "a")
        few.wire.clear()
        few.put("b", "first")
        few.hear(second)
        few.wire = [one for one in held if one[1] == other]
        few.hear(voters + spares)
        few.judge()
        if not any(outcome == (200, "first") for _, outcome in few.answers):
            raise AssertionError("the second order was not chosen: the play proves nothing")

    return play


def late_acceptance() -> None:
    """An acceptance by a disk that was lost since counts no more than the epoch it was given in."""
    few = Few("abc", "d")
    few.put("d", "late")
    few.hear("ad", "prepare promise")
    few.hear("bd", "prepare promise")
    few.hear("ad", "accept", rounds=1)
    held, few.wire = list(few.wire), []  # a has accepted, and its word is on the way; b's accept too
    few.lose_disk("a")
    few.change("b", "bc", {**few.members["voters"], "a": few.machines["a"].disk})
    few.hear("abc")
    few.put("c", "first")
    few.hear("abc")
    few.judge()
    few.wire = held
    few.hear("abcd")
    few.judge()


def late_settle() -> None:
    """The round that ends what a proposer left behind, amid a lost disk."""
    few = Few("abc")
    few.put("a", "left")
    few.hear("ab", "prepare promise")
    few.hear("a", "accept accepted")
    few.wire = [one for one in few.wire if one[0] == one[1]]
    b = few.machines["b"]
    few.carry("b", b.receive(0.0, "a", {"k": "accepted", "r": CONFIG, "b": (1, 1, "a", 1), "disk": "a0"}))
    few.carry("b", b.tick(0.1))
    few.carry("b", b.tick(5.0))  # it settles
    few.hear("b")
    few.hear("ab", "prepare promise")
    held, few.wire = list(few.wire), []
    few.lose_disk("a")
    few.change("c", "bc", {**few.members["voters"], "a": few.machines["a"].disk})
    few.hear("abc")
    few.put("c", "other")
    few.hear("abc")
    few.wire += held
    few.hear("abc")
    few.judge()


def founding() -> None:
    """A seed promises a founding of the voters, its disk is lost, another is proposed: one stands."""
    few = Few("abc", "d")
    seeds = founding_voters(("a", "b", "c"))
    for name in "abc":
        few.machines[name] = ConsensusReplica(name, f"{name}0", 1, {}, seeds, 0)
    sets = ({"a": "a0", "b": "b0", "c": "c0"}, {"a": "a9", "b": "b0", "d": "d0"})
    c = few.machines["c"]
    few.carry("c", c.propose(0.0, VOTER_SET, next_voter_set(seeds, sets[0]), "first", 99.0))
    few.hear("ac", "prepare promise", rounds=1)
    held = list(few.wire)
    few.wire = []
    few.machines["a"] = ConsensusReplica("a", "a9", 9)  # not its first boot any more
    few.carry("a", few.machines["a"].receive(0.0, "b", {"k": "epoch", "m": seeds}))
    b = few.machines["b"]
    few.carry("b", b.propose(0.0, VOTER_SET, next_voter_set(seeds, sets[1]), "second", 99.0))
    few.hear("ab")
    if few.machines["a"].is_active_voter or any(tag == "second" for tag, _ in few.answers):
        raise Broken("a seed whose disk was lost votes in the epoch of the seeds")
    few.wire += held
    few.hear("abcd")
    found = {str(m.voter_set) for m in few.machines.values() if m.epoch == 1 and m.address != "d"}
    if len(found) > 1:
        raise Broken(f"two sets of epoch 1: {found}")


def late_promise_of_sealed() -> None:
    """A promise that a voter gave before its seal does not help to choose anything after it."""
    few = Few("abc", "d")
    few.put("c", "old")
    few.hear("c")
    few.hear("bc", "prepare", rounds=1)
    held, few.wire = [one for one in few.wire if one[2]["k"] == "promise"], []
    few.change("a", "ab", {"a": "a0", "b": "b0", "d": "d0"})
    few.carry("d", few.machines["d"].receive(0.0, "", {"k": "epoch", "m": few.machines["a"].voter_set}))
    few.hear("abd")
    few.put("a", "new")
    few.hear("ad")
    few.judge()
    few.wire = held
    few.hear("abcd")
    few.judge()


def two_ways_to_join() -> None:
    """What one active voter tells, and what a majority of sealed ones tell, both hold what was chosen."""
    for way in ("active", "sealed"):
        few = Few("abc", "d")
        few.put("b", "x")
        few.hear("bc")
        few.change("a", "ab", {"a": "a0", "b": "b0", "d": "d0"})
        if not few.machines["a"].is_active_voter:
            raise Broken("a majority of seals makes no voter active")
        d = few.machines["d"]
        few.carry("d", d.receive(0.0, "", {"k": "epoch", "m": few.machines["a"].voter_set}))
        few.hear("ad" if way == "active" else "bcd")
        if not d.is_active_voter or d.acceptors[CONFIG].value != "x":
            raise Broken(f"{way}: d holds {d.acceptors[CONFIG].value}")


def asked_again() -> None:
    """A voter that heard another's seal asks it again: it may be active by now, and all that is left."""
    few = Few("abc", "d")
    few.change("a", "a", {"a": "a0", "b": "b0", "d": "d0"})
    few.hear("ab", "prepare promise accept accepted")
    members = few.machines["a"].voter_set
    d = few.machines["d"]
    few.carry("d", d.receive(0.0, "", {"k": "epoch", "m": members}))
    few.hear("ad", "join state")  # a is sealed, and not active yet
    few.hear("ab")
    few.wire.clear()
    for _ in range(3):
        few.carry("d", d.tick(9.0))
        few.hear("ad")
    if not few.machines["a"].is_active_voter or not d.is_active_voter:
        raise Broken(f"d never hears that a is active: {d.epochs.join and [*d.epochs.join.reports]}")


def asleep() -> None:
    """One that slept through three epochs, and one with the disk of a removed member, choose nothing in an
    old epoch; given a seat again, the sleeper takes it up.
    """
    few = Few("abc", "de")
    few.put("a", "x")
    few.hear("abc")
    c = few.machines["c"]
    for voters in ("abd", "ade", "bde"):
        by = next(name for name in voters if few.machines[name].is_active_voter)
        few.change(by, "abde", {name: few.machines[name].disk for name in voters})
        for name in "abde":
            few.carry(
                name, few.machines[name].receive(0.0, "", {"k": "epoch", "m": few.machines[by].voter_set})
            )
        few.hear("abde")
    if few.machines["e"].epoch != 4 or not few.machines["e"].is_active_voter:
        raise Broken(f"the third change did not come about: {few.machines['e'].voter_set}")
    a = few.machines["a"]  # removed by now; it starts again with what lies on its disk
    rows = {name: (kept.promised, kept.accepted, kept.value) for name, kept in a.acceptors.items()}
    few.machines["a"] = ConsensusReplica("a", "a0", 60, rows, a.voter_set, a.active_epoch)
    few.put("c", "y")
    few.hear("abcde")
    few.judge()
    if c.epoch != 4 or few.machines["a"].is_active_voter or c.is_active_voter:
        raise Broken(f"{c.epoch}: it still lives in an older epoch")
    few.change("e", "abcde", {"c": "c0", "d": "d0", "e": "e0"})
    few.hear("abcde")
    if not c.is_active_voter or c.acceptors[CONFIG].value != "x":
        raise Broken("it does not take up its seat")


def dying_proposer(way: str) -> Any:
    """The proposer of a change loses its power or its disk at each of many moments of it."""

    def play() -> None:
        for step in range(24):
            world = World(step, 3 if step % 2 else 5, 1)
            world.rest(1.5)
            world.put("m1")
            world.rest(0.3)
            machine, voters = world.machines["m0"], {**world.machines["m0"].consensus.voters}
            del voters["m2"]
            new = f"m{len(voters) + 1}"
            voters[new] = world.machines[new].consensus.disk
            change = next_voter_set(machine.consensus.voter_set, voters)
            machine.propose(VOTER_SET, change, lambda outcome: None, 1.0)
            world.rest(0.004 * step)
            (world.wipe if way == "disk" else world.power)("m0")
            world.away["m0"] = None
            world.put("m1")
            world.rest(2.0)
            world.answers(f"its proposer died after {4 * step} ms")
            world.start("m0")
            world.rest(BOUNDS.CatchUpS)
            world.away.clear()
            world.wipe("m1")  # and once it had CatchUpS, the next is lost
            world.away["m1"] = None
            world.rest(2.0)
            world.answers(f"the next loss after a proposer's at {4 * step} ms")

    return play


def unused_seat() -> None:
    """A voter that never was active in an epoch helps to leave it, as it will accept nothing there: with the
    only other holder but one lost, the next epoch begins.
    """
    few = Few("abc", "d")
    few.change("a", "ac", {"a": "a0", "b": "b0", "d": "d0"})
    members = few.machines["a"].voter_set
    few.carry("d", few.machines["d"].receive(0.0, "", {"k": "epoch", "m": members}))
    few.hear("ad")
    few.put("a", "x")
    few.hear("ad")
    third = next_voter_set(
        members, {"b": "b0", "c": "c0", "d": "d0"}
    )  # b has not been heard: it holds epoch 1
    few.carry("d", few.machines["d"].propose(0.0, VOTER_SET, third, "members", 99.0))
    few.hear("ad", "prepare promise accept accepted")
    few.wire.clear()
    few.lose_disk("a")
    newest = few.machines["d"].voter_set
    for name in "bcd":
        few.carry(name, few.machines[name].receive(0.0, "", {"k": "epoch", "m": newest}))
        few.carry(name, few.machines[name].tick(0.0))
    few.hear("bcd")
    b = few.machines["b"]
    if not b.is_active_voter or b.acceptors[CONFIG].value != "x":
        raise Broken(f"epoch {b.epoch} does not begin, though a majority of the one before is there")


def seat_of_any_disk() -> None:
    """A seat that names no disk (of before there were epochs) is not taken up by one that came back empty."""
    few = Few("abc")
    members: VoterSet = {"n": 1, "voters": dict.fromkeys("abc", ""), "before": {}}
    for name in "abc":
        few.machines[name] = ConsensusReplica(name, f"{name}0", 1, {}, members, 1)
    few.machines["a"] = ConsensusReplica("a", "a9", 9)
    few.carry("a", few.machines["a"].receive(0.0, "", {"k": "epoch", "m": members}))
    few.hear("abc")
    if few.machines["a"].is_active_voter:
        raise Broken("an empty disk votes on a seat of any disk")
    peers = {name: seen(f"{name}0") for name in "bc"} | {"a": seen("a9", votes=False)}
    change = Membership(Tolerance(1), {}, 4.0).due_change(members, peers, {})
    if change is None or change.voters["a"] != "a9":
        raise Broken(f"its seat is not named anew: {change}")


def seen(disk: str, epoch: int = 1, votes: bool = True, leaving: bool = False) -> PeerStatus:
    return PeerStatus(disk, "z", True, epoch, votes, leaving, 0.0, 9.0, {})


def hasty_view() -> None:
    """A pulse of the epoch before does not say that its voter is active in this one."""
    members: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "d": "d0"}, "before": {}}
    peers = {"a": seen("a0", 2), "b": seen("b0", 1), "d": seen("d0", 2), "e": seen("e0", 2, False)}
    peers["a"] = peers["a"]._replace(leaving=True)
    change = Membership(Tolerance(1), {}, 4.0).due_change(members, peers, {})
    if change is not None:
        raise Broken(f"{change} while b is not known to be active")


def hasty_leave() -> None:
    """One that was replaced stays until a majority of the new set says that it is active in this very epoch,
    and one without a successor until a majority of the others, active ones, holds on disk what it holds.
    """
    members: VoterSet = {"n": 2, "voters": {"a": "a0", "b": "b0", "d": "d0"}, "before": {}}
    peers = {"a": seen("a0", 1), "b": seen("b0", 1), "d": seen("d0", 2, False)}
    if may_shut_down("c", "c0", members, peers, {}, {}, False):
        raise Broken("it leaves on pulses of the epoch before")
    if not may_shut_down("c", "c0", members, peers | {"a": seen("a0", 2), "b": seen("b0", 2)}, {}, {}, False):
        raise Broken("it stays, though a majority is active")
    held = {CONFIG: (2, 5, "a", 1)}
    durable = {"b": held, "d": held}
    peers = {"b": seen("b9", 2, False), "d": seen("d0", 2)}
    if may_shut_down("a", "a0", members, peers, held, durable, False):
        raise Broken("it leaves on what a disk held that is lost")


def refused_write() -> None:
    """A disk refuses what makes a voter active, and takes the next write: an epoch is held with its rows, or
    not at all.
    """
    due, disk = PendingWrites({}), {"facts": {}, "rows": {}}

    def write(out: Effects, refused: bool) -> None:
        rows, facts = due.prepare_write(out)
        if not refused:
            disk["facts"].update(facts)
            disk["rows"].update({row[0]: row for row in rows})
            due.mark_durable(rows, facts)

    rows = [(name, (1, 5, "a", 1), (1, 5, "a", 1), "v") for name in (CONFIG, TABLE, VOTER_SET)]
    write(Effects(rows, [], [], {"held": 2}), refused=True)
    newer = (CONFIG, (2, 6, "a", 1), (1, 5, "a", 1), "v")
    write(Effects([newer], [], [], {}), refused=False)
    if disk["facts"].get("held") == 2 and disk["rows"].keys() != {CONFIG, TABLE, VOTER_SET}:
        raise Broken(f"the disk says that it holds epoch 2, and has rows of {sorted(disk['rows'])} alone")
    if disk["rows"][CONFIG] != newer or due.rows or due.facts:
        raise Broken("an older row over a newer one, or something is due for ever")


def refused_answer() -> None:
    """A change whose answer rests on a refused write is unclear, not under way for ever."""
    world = World(1)
    machine = next(iter(world.machines.values()))
    machine.changing = True
    out = Effects([], [], [(machine.changed, True)], {"members": machine.consensus.voter_set})
    machine.storage = SimpleNamespace(write=lambda rows, facts, done: done("refused"))
    machine.carry(out)
    world.rest(0.01)
    if machine.changing:
        raise Broken("no change of the set is proposed from here any more")


def pulse_before_write() -> None:
    """A pulse does not call its sender active before the disk does: leavers go on that word."""
    world = World(1)
    world.rest(2.0)
    machine, said = world.machines["m0"], []
    for due in ({}, {"held": 1}, {"members": machine.consensus.voter_set}):
        machine.due.facts = due
        with mock.patch.object(
            machine.peer_connections, "send", lambda peer, message: said.append(message["v"])
        ):
            machine.pulse(world.now)
    if not said or said != [True] * (len(said) // 3) + [False] * (2 * len(said) // 3):
        raise Broken(f"called active: {said}")


def word_on_own_acceptance() -> None:
    """An archive that has accepted something newer than it knows to be chosen gives itself no word."""
    world = World(1, 3, 0)
    machine = world.machines["m0"]
    newer = (1, 7, "m2", 1)
    machine.consensus.acceptors[TABLE].accept(newer, {"n": 9})  # and m2 too: it is chosen, unknown here
    pulse = {
        "acc": {TABLE: NO_PROPOSAL},
        "dur": {},
        "v": True,
        "w": True,
        "ep": 1,
        "leaving": False,
        "ver": {},
    }
    machine.sessions.pulse(10.0, "m1", {**pulse, "e": 9.9, "t": 0.0, "disk": "m1.0"})
    if machine.word(10.0) > 10.0:
        raise Broken("a word that nothing newer is chosen, from one who accepted it")


def word_of_older_life() -> None:
    """A pulse of a disk that is no voter's any more, or of another epoch, carries no word."""
    accepted = {TABLE: (1, 1, "a", 1)}
    voters = {"a": "a0", "b": "b9", "c": "c0"}
    pulse = {
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
        sessions.pulse(10.0, "b", {**pulse, "ep": epoch, "disk": disk})
        if sessions.word_until(10.0, voters, 2, {TABLE: (1, 1, "a", 1)}, {TABLE: NO_PROPOSAL}):
            raise Broken(f"a word on disk {disk} in epoch {epoch}")


THREE = forgotten_promise("abc", "d", "d", "bc", "ab", "c")
FIVE = forgotten_promise("abcde", "", "e", "bcd", "abc", "d")
CASES = {
    "forgotten promise, three voters and a spare": THREE,
    "forgotten promise, five voters": FIVE,
    "an older disk, three voters": lambda: THREE(older=True),
    "an older disk, five voters": lambda: FIVE(older=True),
    "late acceptance of an older life": late_acceptance,
    "a round that settles, amid a lost disk": late_settle,
    "a seed's promise forgotten at the founding": founding,
    "late promise of a sealed voter": late_promise_of_sealed,
    "joining from one active voter and from sealed ones": two_ways_to_join,
    "asked again once active": asked_again,
    "asleep through three epochs": asleep,
    "a change whose proposer loses power": dying_proposer("power"),
    "a change whose proposer loses its disk": dying_proposer("disk"),
    "a seat that was never used": unused_seat,
    "a seat of any disk": seat_of_any_disk,
    "a pulse of the epoch before": hasty_view,
    "leaving on old pulses": hasty_leave,
    "a refused write and the next": refused_write,
    "an answer on a refused write": refused_answer,
    "a pulse before its write": pulse_before_write,
    "a word on one's own acceptance": word_on_own_acceptance,
    "a word of an older life": word_of_older_life,
}
