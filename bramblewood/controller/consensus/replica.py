"""Agreement: registers whose every version is chosen by a round of ballots among a majority of the voters,
and sets of voters, by epoch, that are themselves agreed by the set before.

Each register holds one value. A change reads what a majority holds, makes the next value from it and asks the
same majority to accept that under a higher ballot; nobody stands above the others. State machines: inputs
with the time handed in, and an Out of what to write, send and answer. Writes come first: the shell sends and
answers only once all of an Out's writes are safe on disk. Messages are plain maps.

Epochs. A ballot begins with its epoch, and counts only among the voters of that epoch. The set of epoch e + 1
is the value of the register MEMBERS that the voters of e choose. A voter is an address *and* a disk: a
machine whose disk came back empty is a new member, and what its old disk promised binds only the epochs that
the old disk was part of. A voter of e that knows of e + 1 is sealed: it answers no ballot of e any more. A
voter of e + 1 becomes active once it holds what a majority of sealed voters of e held, or what one active
voter of e + 1 holds; both include all that e has chosen. A voter that was never active in e holds nothing of
it, and its seal counts, as it will accept nothing there. So nothing is chosen in e + 1 before e is sealed by
a majority, and nothing that e chose is missing there. A value that was only carried over counts as chosen
once a ballot of the epoch itself has chosen it.
"""

import zlib
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

from ..value_diff import difference, patched
from .proposer_backoff import ProposerBackoff

ProposalNumber = tuple[int, int, str, int]  # epoch, counter, archive, that archive's life; compared in turn
NO_PROPOSAL: ProposalNumber = (0, 0, "", 0)
CONFIG, TABLE, MEMBERS = "config", "table", "members"
REGISTERS = (CONFIG, TABLE)
ALL = (*REGISTERS, MEMBERS)  # one group of registers: they share their voters and epochs
# kinds of messages between archives that belong to this machine
CONSENSUS_MESSAGE_KINDS = {
    *("prepare", "promise", "accept", "accepted", "refuse", "done", "fetch", "chosen"),
    *("epoch", "join", "state"),
}
# s that a step of a round waits for its majority: many times the way between zones and a sync
PATIENCE = 0.25
BACKOFF = 0.04  # s, the unit of waits after a lost ballot; some times a round's own length
UNSETTLED = 0.4  # s that an accepted ballot may stay unchosen before somebody else ends its round
JOIN_MOST = 2.0  # s, the longest wait between two requests for what an epoch holds: a large value travels


class VoterSet(TypedDict):
    """A set of voters. n: its epoch; voters, before: each address's disk, now and in the epoch before."""

    n: int
    voters: dict[str, str]
    before: dict[str, str]


NOBODY: VoterSet = {"n": 0, "voters": {}, "before": {}}


def founding_voters(seeds: tuple[str, ...]) -> VoterSet:
    """Epoch 0, which agrees on epoch 1 and on nothing else: the seeds of the first boot, on any disk."""
    return {"n": 0, "voters": dict.fromkeys(seeds, ""), "before": {}}


def majority(voters: dict[str, str]) -> int:
    return len(voters) // 2 + 1


def is_voter(voters: dict[str, str], name: str, disk: str) -> bool:
    """Whether this address with this disk is one of them; one without a disk's name is any disk there."""
    return voters.get(name) in ("", disk)


def format_proposal_number(proposal_number: ProposalNumber) -> str:
    """A ballot as logs name it, the same at every archive: epoch, counter, archive and its life."""
    return f"{proposal_number[0]}.{proposal_number[1]}@{proposal_number[2]}/{proposal_number[3]:x}"


class Effects(NamedTuple):
    """writes: (register, promised, accepted, value); sends: (peer, message); answers: (tag, outcome);
    facts: what else must be on disk first, by name.
    """

    writes: list
    sends: list
    answers: list
    facts: dict


def no_effects() -> Effects:
    return Effects([], [], [], {})


class PendingWrites:
    """What every write brings along until it is safe on disk: facts, and the rows that a fact speaks of.

    A disk may refuse one write and take the next. A row of a single ballot may then be missing, as nobody was
    told of it; but a disk that says it holds an epoch must hold every row that this epoch began with.
    """

    def __init__(self, facts: dict) -> None:
        self.facts, self.rows = facts, {}

    def take(self, out: Effects) -> tuple[list, dict]:
        """The rows and facts to write for this Out; none at all where it needs no write."""
        self.facts.update(out.facts)
        self.rows |= {row[0]: row for row in out.writes if out.facts or row[0] in self.rows}
        return list(({row[0]: row for row in out.writes} | self.rows).values()), dict(self.facts)

    def safe(self, rows: list, facts: dict) -> None:
        """These have been written."""
        self.facts = {name: kept for name, kept in self.facts.items() if facts.get(name) != kept}
        self.rows = {row[0]: row for row in self.rows.values() if not any(row is one for one in rows)}


class Acceptor:
    """One register at one voter: what it promised and what it accepted."""

    def __init__(
        self,
        promised: ProposalNumber = NO_PROPOSAL,
        accepted: ProposalNumber = NO_PROPOSAL,
        value: Any = None,
    ) -> None:
        self.promised, self.accepted, self.value = promised, accepted, value

    def prepare(self, proposal_number: ProposalNumber) -> bool:
        if proposal_number <= self.promised:
            return False
        self.promised = proposal_number
        return True

    def accept(self, proposal_number: ProposalNumber, value: Any) -> bool:
        if proposal_number < self.promised:
            return False
        self.keep(proposal_number, value)
        return True

    def keep(self, proposal_number: ProposalNumber, value: Any) -> None:
        """What is chosen may be kept under any promise: whoever got that has met it at a majority."""
        self.promised, self.accepted, self.value = max(self.promised, proposal_number), proposal_number, value


class ProposalRound:
    """One change on its way: the ballot it is at, who promised, who accepted."""

    def __init__(self, register: str, change: Callable | None, tag: Any, until: float) -> None:
        self.register, self.change, self.tag, self.until = register, change, tag, until
        self.proposal_number, self.tries, self.step, self.step_until, self.next_at = (
            NO_PROPOSAL,
            0,
            "wait",
            0.0,
            0.0,
        )
        self.promises: dict[str, tuple[ProposalNumber, Any]] = {}
        self.accepts: set[str] = set()
        self.outcome: Any = None
        self.carried: list[
            ProposalRound
        ] = []  # whose changes are in this ballot, each made on the one before
        self.base: ProposalNumber = NO_PROPOSAL  # what the value asked for was made from
        self.difference: dict = {}  # what asks whoever holds that to accept
        self.whole: dict = {}  # what asks whoever turns out to hold something else


class EpochJoin:
    """On the way into an epoch: what others have told of what they hold, and when to ask again."""

    def __init__(self) -> None:
        self.told: dict[
            str, tuple[int, dict[str, tuple[ProposalNumber, Any]]]
        ] = {}  # peer: epoch it held, registers
        self.next_at, self.wait = 0.0, PATIENCE / 2


class ConsensusReplica:
    """The registers of one group at one archive: acceptor, proposer, learner, and its place in the epochs."""

    def __init__(
        self,
        me: str,
        disk: str,
        incarnation: int,
        stored: dict[str, tuple] | None = None,
        members: VoterSet | None = None,
        held: int = -1,
    ) -> None:
        """disk: the name of this machine's disk; members: the newest set known; held: the newest epoch in
        which this disk was active, -1 for none; stored: {register: (promised, accepted, value)}.
        """
        stored = stored or {}
        self.me, self.disk, self.incarnation, self.count = me, disk, incarnation, 0
        self.members: VoterSet = members or NOBODY
        self.held = held
        self.joining: EpochJoin | None = None
        self.acceptors = {name: Acceptor(*stored.get(name, ())) for name in ALL}
        self.durable = {name: a.accepted for name, a in self.acceptors.items()}
        self.seen = {name: a.promised[1] for name, a in self.acceptors.items()}
        self.votes: dict[str, dict[str, ProposalNumber]] = {name: {} for name in ALL}
        # by register, the highest ballot of this epoch that each voter promised or accepted, as heard here
        self.bound: dict[str, dict[str, ProposalNumber]] = {name: {} for name in ALL}
        self.learned: dict[str, tuple[ProposalNumber, Any]] = {name: (NO_PROPOSAL, None) for name in ALL}
        self.ahead_since: dict[str, float] = {}
        self.rounds: dict[str, list[ProposalRound]] = {name: [] for name in ALL}
        self.asked_at: dict[str, float] = {}
        self.contention = ProposerBackoff(me, PATIENCE)
        # the newest refusal of a ballot of ours, for the log: who, which ballot, what it had promised
        self.lost_to: tuple[str, ProposalNumber, ProposalNumber] | None = None

    @property
    def epoch(self) -> int:
        return self.members["n"]

    @property
    def voters(self) -> dict[str, str]:
        return self.members["voters"]

    @property
    def member(self) -> bool:
        return is_voter(self.voters, self.me, self.disk)

    @property
    def named(self) -> bool:
        """Whether this very disk is a member. To a seat of any disk only one may go on that was active in the
        epoch before: one that came back empty may not.
        """
        return self.voters.get(self.me) == self.disk or self.member and 0 <= self.held == self.epoch - 1

    @property
    def voting(self) -> bool:
        """Whether this is an active voter of its epoch."""
        return self.member and self.held == self.epoch

    @property
    def majority(self) -> int:
        return majority(self.voters)

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.me}:{self.incarnation}:{self.count}".encode()) / 2**32

    def value(self, register: str) -> Any:
        """The newest value known to be chosen, or None."""
        return self.learned[register][1]

    def version(self, register: str) -> int:
        value = self.value(register)
        return value["n"] if value else 0

    # --- the proposer

    def propose(self, now: float, register: str, change: Callable, tag: Any, within: float) -> Effects:
        """Queue a change: a function of the value that stands (or None) to (next value or None for none,
        outcome).

        Its answer is (tag, outcome), or (tag, None) where the outcome stayed unclear for `within` s.
        """
        out = no_effects()
        self.rounds[register].append(ProposalRound(register, change, tag, now + within))
        self.advance(now, register, out)
        return out

    def advance(self, now: float, register: str, out: Effects) -> None:
        waiting = self.rounds[register]
        while waiting and now >= waiting[0].until:
            out.answers.append((waiting.pop(0).tag, None))
        if not self.voters or self.epoch == 0 and register != MEMBERS:
            return  # nobody to ask yet
        if not waiting or waiting[0].step != "wait" or now < waiting[0].next_at:
            return
        if not self.contention.busy(now, register):
            # all that wait now; of what comes later, the promises to this ballot may know too little. Sets of
            # voters follow each other one at a time
            waiting[0].carried = waiting[:1] if register == MEMBERS else list(waiting)
            self.begin(now, waiting[0], out)

    def begin(self, now: float, round: ProposalRound, out: Effects) -> None:
        self.seen[round.register] += 1
        round.proposal_number = (self.epoch, self.seen[round.register], self.me, self.incarnation)
        round.step, round.step_until, round.promises, round.accepts = "prepare", now + PATIENCE, {}, set()
        round.tries += 1
        message = {
            "k": "prepare",
            "r": round.register,
            "b": round.proposal_number,
            "have": self.acceptors[round.register].accepted,
        }
        out.sends.extend((peer, message) for peer in self.voters)

    def lost(self, now: float, round: ProposalRound) -> None:
        """The ballot failed; again after a wait that grows and differs between archives."""
        round.step = "wait"
        round.next_at = now + BACKOFF * (0.5 + self.chance()) * min(round.tries, 6)

    def promised(self, now: float, peer: str, message: dict, out: Effects) -> None:
        self.note(peer, message["r"], tuple(message["b"]))
        round, accepted = self.current(message), tuple(message["a"])
        if round is not None and round.step == "accept" and peer not in round.promises:
            round.promises[peer] = (accepted, None)  # later than a majority
            if accepted != round.base:
                out.sends.append((peer, round.whole))
            return
        if round is None or round.step != "prepare":
            return
        acceptor = self.acceptors[round.register]
        value = message["v"] if "v" in message else acceptor.value
        if "v" not in message and accepted != acceptor.accepted:
            return  # it left out a value that we no longer hold at this ballot; the next try brings it
        round.promises[peer] = (accepted, value)
        if len(round.promises) < self.majority:
            return
        best = max(proposal_number for proposal_number, _ in round.promises.values())
        stands = next(value for proposal_number, value in round.promises.values() if proposal_number == best)
        following, value = None, stands
        for one in round.carried:
            made, one.outcome = one.change(value)
            if made is not None:
                following = value = made
        if following is None and (best == NO_PROPOSAL or self.is_chosen(best, round)):
            if best != NO_PROPOSAL:
                self.learn(now, round.register, best, stands, out)
            message = {"k": "done", "r": round.register, "b": round.proposal_number}
            out.sends.extend((peer, message) for peer in self.voters if peer != self.me)
            return self.finish(now, round, out)  # what stands is chosen already: nothing to write
        round.step, round.step_until = "accept", now + PATIENCE
        message = {"k": "accept", "r": round.register, "b": round.proposal_number}
        round.base, round.whole = best, {**message, "v": value}
        round.difference = {**message, "base": best, "d": difference(stands, value)}
        for peer in self.voters:
            behind = best == NO_PROPOSAL or round.promises.get(peer, (best, None))[0] != best
            out.sends.append((peer, round.whole if behind else round.difference))

    def is_chosen(self, best: ProposalNumber, round: ProposalRound) -> bool:
        """Whether a majority has accepted this very ballot; one that was only carried into the epoch proves
        nothing, as those who carried it may not be those who accepted it.
        """
        return best[0] == self.epoch and all(
            proposal_number == best for proposal_number, _ in round.promises.values()
        )

    def finish(self, now: float, round: ProposalRound, out: Effects) -> None:
        waiting = self.rounds[round.register]
        for one in round.carried:
            if one in waiting:
                waiting.remove(one)
                out.answers.append((one.tag, one.outcome))
        self.advance(now, round.register, out)

    def current(self, message: dict) -> ProposalRound | None:
        """The round that this message answers, if it is still the one under way."""
        proposal_number = tuple(message["b"])
        for round in self.rounds[message["r"]][:1]:
            if round.proposal_number == proposal_number and proposal_number[0] == self.epoch:
                return round
        return None

    # --- the voters

    def hear(self, now: float, peer: str, message: dict) -> Effects:
        out = no_effects()
        kind, register = message["k"], message.get("r", MEMBERS)
        if register not in self.acceptors:
            return out
        if kind == "epoch":
            self.adopt(now, message["m"], out)
            return out
        if kind == "join":
            self.asked(now, peer, message, out)
            return out
        if kind == "state":
            self.gathered(now, peer, message, out)
            return out
        acceptor, proposal_number = self.acceptors[register], tuple(message["b"])
        self.seen[register] = max(self.seen[register], proposal_number[1])
        if kind in ("prepare", "accept") and proposal_number[0] < self.epoch:
            out.sends.append((peer, {"k": "epoch", "m": self.members}))  # its sender slept through a change
        elif kind in ("promise", "accepted", "refuse") and not is_voter(self.voters, peer, message["disk"]):
            pass
        elif kind == "prepare" and self.voting and proposal_number[0] == self.epoch:
            if acceptor.prepare(proposal_number):
                self.contention.heard(now, register, proposal_number)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
                reply = {"k": "promise", "r": register, "b": proposal_number, "disk": self.disk}
                reply["a"] = acceptor.accepted
                if tuple(message["have"]) != acceptor.accepted:
                    reply["v"] = acceptor.value
                out.sends.append((peer, reply))
            else:
                self.refuse(peer, register, proposal_number, out)
        elif kind == "accept" and self.voting and proposal_number[0] == self.epoch:
            if "base" in message and tuple(message["base"]) != acceptor.accepted:
                return out  # it stands on a value that we no longer hold; the next try brings it whole
            value = patched(acceptor.value, message["d"]) if "base" in message else message["v"]
            if acceptor.accept(proposal_number, value):
                self.contention.heard(now, register, proposal_number)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
                told = {"k": "accepted", "r": register, "b": proposal_number, "disk": self.disk}
                out.sends.extend((other, told) for other in sorted({*self.voters, peer}))
            else:
                self.refuse(peer, register, proposal_number, out)
        elif kind == "promise":
            self.promised(now, peer, message, out)
        elif kind == "accepted":
            self.voted(now, peer, message["disk"], register, proposal_number, out)
        elif kind == "refuse":
            round = self.current(message)
            self.seen[register] = max(self.seen[register], message["p"][1])
            if self.member:  # others don't hear what is chosen
                self.contention.heard(now, register, tuple(message["p"]))
            if round is not None and round.step in ("prepare", "accept"):
                self.lost_to = (peer, round.proposal_number, tuple(message["p"]))
                self.lost(now, round)
        elif kind == "fetch" and self.learned[register][0] >= proposal_number:
            chosen, value = self.learned[register]
            out.sends.append((peer, {"k": "chosen", "r": register, "b": chosen, "v": value}))
        elif kind == "done":  # a ballot that had nothing to write
            self.contention.chosen(register, proposal_number)
            self.advance(now, register, out)
        elif kind == "chosen":
            self.learn(now, register, proposal_number, message["v"], out)
        return out

    def refuse(self, peer: str, register: str, proposal_number: ProposalNumber, out: Effects) -> None:
        promised = self.acceptors[register].promised
        out.sends.append(
            (peer, {"k": "refuse", "r": register, "b": proposal_number, "p": promised, "disk": self.disk})
        )

    def stored(self, register: str, accepted: ProposalNumber) -> None:
        """A write of this register is safe on disk, the newest so far."""
        self.durable[register] = accepted

    # --- the learner

    def voted(
        self, now: float, peer: str, disk: str, register: str, proposal_number: ProposalNumber, out: Effects
    ) -> None:
        """A voter has this ballot accepted and safe on its disk."""
        if not is_voter(self.voters, peer, disk) or proposal_number < self.votes[register].get(
            peer, NO_PROPOSAL
        ):
            return
        self.votes[register][peer] = proposal_number
        self.note(peer, register, proposal_number)
        if proposal_number[0] != self.epoch:
            return  # carried over, or of a set that is not known here yet
        round = next(iter(self.rounds[register]), None)
        if round is not None and round.proposal_number == proposal_number and round.step == "accept":
            round.accepts.add(peer)
            if len(round.accepts) >= self.majority:
                self.finish(now, round, out)
        if proposal_number > self.learned[register][0]:
            same = sum(b == proposal_number for b in self.votes[register].values())
            if same >= self.majority:
                acceptor = self.acceptors[register]
                if acceptor.accepted == proposal_number:
                    self.learn(now, register, proposal_number, acceptor.value, out)
                    self.advance(now, register, out)
                elif now >= self.asked_at.get(register, 0.0):
                    self.asked_at[register] = now + PATIENCE
                    out.sends.append((peer, {"k": "fetch", "r": register, "b": proposal_number}))

    def learn(
        self, now: float, register: str, proposal_number: ProposalNumber, value: Any, out: Effects
    ) -> None:
        """This value is chosen. A voter that was away as it was, asked too late, or by what it doesn't hold,
        keeps it like the others from now on: nobody would send it again. A set of voters that is chosen is
        followed at once.
        """
        if proposal_number > self.learned[register][0]:
            self.learned[register] = (proposal_number, value)
            self.contention.chosen(register, proposal_number)
            acceptor = self.acceptors[register]
            if self.voting and proposal_number[0] == self.epoch and acceptor.accepted < proposal_number:
                acceptor.keep(proposal_number, value)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
            if register == MEMBERS:
                self.adopt(now, value, out)

    def tick(self, now: float) -> Effects:
        out = no_effects()
        for register in ALL:
            for round in self.rounds[register][:1]:
                if round.step in ("prepare", "accept") and now >= round.step_until:
                    self.lost(now, round)
            self.advance(now, register, out)
            self.settle(now, register, out)
        if self.named and not self.voting:
            self.join(now, out)
        return out

    def settle(self, now: float, register: str, out: Effects) -> None:
        """End a round whose proposer may be gone, and choose anew in this epoch what was carried into it."""
        known, highest = self.learned[register][0], max(self.votes[register].values(), default=NO_PROPOSAL)
        carried = register != MEMBERS and NO_PROPOSAL < highest and highest[0] < self.epoch
        if highest <= known and not carried:
            self.ahead_since.pop(register, None)
        elif now >= self.ahead_since.setdefault(register, now) + UNSETTLED * (1 + self.chance()):
            self.ahead_since[register] = now
            if not self.rounds[register] and self.voting:
                self.rounds[register].append(
                    ProposalRound(register, lambda value: (None, True), "settle", now + 1.0)
                )
                self.advance(now, register, out)

    # --- epochs

    def note(self, peer: str, register: str, proposal_number: ProposalNumber) -> None:
        """This voter has promised or accepted this ballot."""
        if proposal_number[0] == self.epoch:
            self.bound[register][peer] = max(proposal_number, self.bound[register].get(peer, NO_PROPOSAL))

    def reminded(self, epoch: int, bound: dict[str, ProposalNumber], disk: str) -> Effects:
        """Another archive tells what it has heard this voter promise or accept in its epoch.

        Where that is more than is known here, an older state of the disk has come back: what it forgot may
        bind it, so it goes on as a new member without a seat, by the name of `disk`. Nothing else can look
        like it, as nothing is told before it is on disk.
        """
        out = no_effects()
        if epoch == self.epoch and self.named:
            if any(
                tuple(proposal_number) > self.acceptors[name].promised
                for name, proposal_number in bound.items()
            ):
                self.disk, self.held, self.joining = disk, -1, None
                self.acceptors = {name: Acceptor() for name in ALL}
                self.durable = dict.fromkeys(ALL, NO_PROPOSAL)
                out.facts.update(disk=disk, held=-1)
        return out

    def adopt(self, now: float, members: VoterSet, out: Effects) -> None:
        """A newer set of voters is known to be chosen: no ballot of an earlier epoch is answered any more."""
        if members["n"] <= self.epoch:
            return
        self.members, self.joining = members, EpochJoin()
        out.facts["members"] = members
        for kept in (*self.votes.values(), *self.bound.values()):
            kept.clear()
        for rounds in self.rounds.values():
            for round in rounds[:1]:
                if round.step != "wait":
                    round.step, round.next_at = "wait", now + PATIENCE / 2  # what it asked for may be chosen
        if self.named:
            self.join(now, out)

    def join(self, now: float, out: Effects) -> None:
        """Ask for what this epoch is to hold: the voters of the one before, and those who are active."""
        joining = self.joining = self.joining or EpochJoin()
        before = self.members["before"]
        if self.held == self.epoch - 1 and is_voter(before, self.me, self.disk):
            held = {name: (a.accepted, a.value) for name, a in self.acceptors.items()}
            joining.told[self.me] = (self.held, held)
        elif before.get(self.me) == self.disk:
            joining.told[self.me] = (self.held, {})
        if joining.told and self.enough(now, out):
            return
        if now < joining.next_at:
            return
        joining.wait = min(2 * joining.wait, JOIN_MOST)
        joining.next_at = now + joining.wait
        have = {name: max(a.accepted, self.learned[name][0]) for name, a in self.acceptors.items()}
        message = {"k": "join", "m": self.members, "have": have}
        for peer in sorted({*before, *self.voters} - {self.me}):  # who told as sealed may be active by now
            out.sends.append((peer, {**message, "again": True} if peer in joining.told else message))

    def asked(self, now: float, peer: str, message: dict, out: Effects) -> None:
        """Somebody joins an epoch: what this disk holds of it, or of the one before, which that seals."""
        epoch = message["m"]["n"]
        self.adopt(now, message["m"], out)
        if self.epoch > epoch:
            out.sends.append((peer, {"k": "epoch", "m": self.members}))
        active = self.held == epoch and is_voter(message["m"]["voters"], self.me, self.disk)
        before = message["m"]["before"]
        sealed = self.held == epoch - 1 and is_voter(before, self.me, self.disk)
        # never active in the epoch before, and never to be: it holds nothing of it, and its seal counts
        unused = self.held < epoch - 1 and before.get(self.me) == self.disk
        if not (active or sealed or unused) or self.epoch < epoch or "again" in message and not active:
            return
        registers = {}
        for name, acceptor in self.acceptors.items() if not unused else ():
            told = registers[name] = {"a": acceptor.accepted}
            if tuple(message["have"].get(name, NO_PROPOSAL)) != acceptor.accepted:
                told["v"] = acceptor.value
        out.facts["members"] = self.members  # the seal itself may still be on its way to the disk
        out.sends.append(
            (peer, {"k": "state", "e": epoch, "held": self.held, "disk": self.disk, "regs": registers})
        )

    def gathered(self, now: float, peer: str, message: dict, out: Effects) -> None:
        joining = self.joining
        if joining is None or message["e"] != self.epoch or not self.named or self.voting:
            return
        at = self.voters if message["held"] == self.epoch else self.members["before"]
        if not is_voter(at, peer, message["disk"]):
            return
        registers = {}
        for name, told in message["regs"].items():
            accepted = tuple(told["a"])
            if "v" in told:
                registers[name] = (accepted, told["v"])
            elif accepted == self.acceptors[name].accepted:
                registers[name] = (accepted, self.acceptors[name].value)
            elif accepted == self.learned[name][0]:
                registers[name] = self.learned[name]
            else:
                return  # it left out a value that is no longer held here; the next request says so
        joining.told[peer] = (message["held"], registers)
        self.enough(now, out)

    def enough(self, now: float, out: Effects) -> bool:
        """Whether what was told holds all that the epoch before has chosen; if so, this voter is active."""
        told = self.joining.told.values()
        if not any(held == self.epoch for held, _ in told) and len(told) < majority(self.members["before"]):
            return False
        registers = [registers for held, registers in told if held >= self.epoch - 1]
        if not registers:
            return False  # those who chose this epoch were active in the one before: one is missing
        for name, acceptor in self.acceptors.items():
            best, value = max(
                (*(held[name] for held in registers), self.learned[name]), key=lambda one: one[0]
            )
            acceptor.promised, acceptor.accepted, acceptor.value = best, best, value
            out.writes.append((name, best, best, value))
        self.held, self.joining = self.epoch, None
        out.facts.update(members=self.members, held=self.held)
        return True


def next_voter_set(members: VoterSet, voters: dict[str, str]) -> Callable:
    """The change that makes these voters the next epoch after `members`, unless another set has been agreed.

    Its outcome: true where this set was taken.
    """
    following: VoterSet = {"n": members["n"] + 1, "voters": voters, "before": members["voters"]}

    def change(stands: VoterSet | None) -> tuple[VoterSet | None, bool]:
        if stands is None or stands["n"] == members["n"]:  # none: nothing was agreed since the founding
            return following, True
        return None, stands["n"] == following["n"] and stands["voters"] == voters

    return change
