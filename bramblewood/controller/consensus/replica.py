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

from ..value_diff import apply_difference, difference
from .proposer_backoff import ProposerBackoff

ProposalNumber = tuple[int, int, str, int]  # epoch, counter, archive, that archive's life; compared in turn
NO_PROPOSAL: ProposalNumber = (0, 0, "", 0)
CONFIG, TABLE, VOTER_SET = "config", "table", "members"
DATA_REGISTERS = (CONFIG, TABLE)
ALL_REGISTERS = (*DATA_REGISTERS, VOTER_SET)  # one group of registers: they share their voters and epochs
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


NO_VOTERS: VoterSet = {"n": 0, "voters": {}, "before": {}}


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

    def prepare_write(self, out: Effects) -> tuple[list, dict]:
        """The rows and facts to write for this Out; none at all where it needs no write."""
        self.facts.update(out.facts)
        self.rows |= {row[0]: row for row in out.writes if out.facts or row[0] in self.rows}
        return list(({row[0]: row for row in out.writes} | self.rows).values()), dict(self.facts)

    def mark_durable(self, rows: list, facts: dict) -> None:
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
        self.voter_set: VoterSet = members or NO_VOTERS
        self.active_epoch = held
        self.epoch_join: EpochJoin | None = None
        self.acceptors = {name: Acceptor(*stored.get(name, ())) for name in ALL_REGISTERS}
        self.durable_accepted = {name: a.accepted for name, a in self.acceptors.items()}
        self.highest_counters = {name: a.promised[1] for name, a in self.acceptors.items()}
        self.acceptances: dict[str, dict[str, ProposalNumber]] = {name: {} for name in ALL_REGISTERS}
        # by register, the highest ballot of this epoch that each voter promised or accepted, as heard here
        self.peer_commitments: dict[str, dict[str, ProposalNumber]] = {name: {} for name in ALL_REGISTERS}
        self.chosen: dict[str, tuple[ProposalNumber, Any]] = {
            name: (NO_PROPOSAL, None) for name in ALL_REGISTERS
        }
        self.unfinished_since: dict[str, float] = {}
        self.rounds: dict[str, list[ProposalRound]] = {name: [] for name in ALL_REGISTERS}
        self.next_fetch_at: dict[str, float] = {}
        self.backoff = ProposerBackoff(me, PATIENCE)
        # the newest refusal of a ballot of ours, for the log: who, which ballot, what it had promised
        self.last_rejection: tuple[str, ProposalNumber, ProposalNumber] | None = None

    @property
    def epoch(self) -> int:
        return self.voter_set["n"]

    @property
    def voters(self) -> dict[str, str]:
        return self.voter_set["voters"]

    @property
    def is_member(self) -> bool:
        return is_voter(self.voters, self.me, self.disk)

    @property
    def holds_seat(self) -> bool:
        """Whether this very disk is a member. To a seat of any disk only one may go on that was active in the
        epoch before: one that came back empty may not.
        """
        return (
            self.voters.get(self.me) == self.disk
            or self.is_member
            and 0 <= self.active_epoch == self.epoch - 1
        )

    @property
    def is_active_voter(self) -> bool:
        """Whether this is an active voter of its epoch."""
        return self.is_member and self.active_epoch == self.epoch

    @property
    def majority(self) -> int:
        return majority(self.voters)

    def jitter(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.me}:{self.incarnation}:{self.count}".encode()) / 2**32

    def value(self, register: str) -> Any:
        """The newest value known to be chosen, or None."""
        return self.chosen[register][1]

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
        self.start_next_round(now, register, out)
        return out

    def start_next_round(self, now: float, register: str, out: Effects) -> None:
        waiting = self.rounds[register]
        while waiting and now >= waiting[0].until:
            out.answers.append((waiting.pop(0).tag, None))
        if not self.voters or self.epoch == 0 and register != VOTER_SET:
            return  # nobody to ask yet
        if not waiting or waiting[0].step != "wait" or now < waiting[0].next_at:
            return
        if not self.backoff.must_wait(now, register):
            # all that wait now; of what comes later, the promises to this ballot may know too little. Sets of
            # voters follow each other one at a time
            waiting[0].carried = waiting[:1] if register == VOTER_SET else list(waiting)
            self.start_round(now, waiting[0], out)

    def start_round(self, now: float, round: ProposalRound, out: Effects) -> None:
        self.highest_counters[round.register] += 1
        round.proposal_number = (self.epoch, self.highest_counters[round.register], self.me, self.incarnation)
        round.step, round.step_until, round.promises, round.accepts = "prepare", now + PATIENCE, {}, set()
        round.tries += 1
        message = {
            "k": "prepare",
            "r": round.register,
            "b": round.proposal_number,
            "have": self.acceptors[round.register].accepted,
        }
        out.sends.extend((peer, message) for peer in self.voters)

    def schedule_retry(self, now: float, round: ProposalRound) -> None:
        """The ballot failed; again after a wait that grows and differs between archives."""
        round.step = "wait"
        round.next_at = now + BACKOFF * (0.5 + self.jitter()) * min(round.tries, 6)

    def on_promise(self, now: float, peer: str, message: dict, out: Effects) -> None:
        self.record_commitment(peer, message["r"], tuple(message["b"]))
        round, accepted = self.current_round(message), tuple(message["a"])
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
        if following is None and (best == NO_PROPOSAL or self.is_already_chosen(best, round)):
            if best != NO_PROPOSAL:
                self.learn(now, round.register, best, stands, out)
            message = {"k": "done", "r": round.register, "b": round.proposal_number}
            out.sends.extend((peer, message) for peer in self.voters if peer != self.me)
            return self.finish_round(now, round, out)  # what stands is chosen already: nothing to write
        round.step, round.step_until = "accept", now + PATIENCE
        message = {"k": "accept", "r": round.register, "b": round.proposal_number}
        round.base, round.whole = best, {**message, "v": value}
        round.difference = {**message, "base": best, "d": difference(stands, value)}
        for peer in self.voters:
            behind = best == NO_PROPOSAL or round.promises.get(peer, (best, None))[0] != best
            out.sends.append((peer, round.whole if behind else round.difference))

    def is_already_chosen(self, best: ProposalNumber, round: ProposalRound) -> bool:
        """Whether a majority has accepted this very ballot; one that was only carried into the epoch proves
        nothing, as those who carried it may not be those who accepted it.
        """
        return best[0] == self.epoch and all(
            proposal_number == best for proposal_number, _ in round.promises.values()
        )

    def finish_round(self, now: float, round: ProposalRound, out: Effects) -> None:
        waiting = self.rounds[round.register]
        for one in round.carried:
            if one in waiting:
                waiting.remove(one)
                out.answers.append((one.tag, one.outcome))
        self.start_next_round(now, round.register, out)

    def current_round(self, message: dict) -> ProposalRound | None:
        """The round that this message answers, if it is still the one under way."""
        proposal_number = tuple(message["b"])
        for round in self.rounds[message["r"]][:1]:
            if round.proposal_number == proposal_number and proposal_number[0] == self.epoch:
                return round
        return None

    # --- the voters

    def receive(self, now: float, peer: str, message: dict) -> Effects:
        out = no_effects()
        kind, register = message["k"], message.get("r", VOTER_SET)
        if register not in self.acceptors:
            return out
        if kind == "epoch":
            self.adopt_voter_set(now, message["m"], out)
            return out
        if kind == "join":
            self.on_join_epoch(now, peer, message, out)
            return out
        if kind == "state":
            self.on_epoch_state(now, peer, message, out)
            return out
        acceptor, proposal_number = self.acceptors[register], tuple(message["b"])
        self.highest_counters[register] = max(self.highest_counters[register], proposal_number[1])
        if kind in ("prepare", "accept") and proposal_number[0] < self.epoch:
            out.sends.append((peer, {"k": "epoch", "m": self.voter_set}))  # its sender slept through a change
        elif kind in ("promise", "accepted", "refuse") and not is_voter(self.voters, peer, message["disk"]):
            pass
        elif kind == "prepare" and self.is_active_voter and proposal_number[0] == self.epoch:
            if acceptor.prepare(proposal_number):
                self.backoff.observe(now, register, proposal_number)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
                reply = {"k": "promise", "r": register, "b": proposal_number, "disk": self.disk}
                reply["a"] = acceptor.accepted
                if tuple(message["have"]) != acceptor.accepted:
                    reply["v"] = acceptor.value
                out.sends.append((peer, reply))
            else:
                self.reject(peer, register, proposal_number, out)
        elif kind == "accept" and self.is_active_voter and proposal_number[0] == self.epoch:
            if "base" in message and tuple(message["base"]) != acceptor.accepted:
                return out  # it stands on a value that we no longer hold; the next try brings it whole
            value = apply_difference(acceptor.value, message["d"]) if "base" in message else message["v"]
            if acceptor.accept(proposal_number, value):
                self.backoff.observe(now, register, proposal_number)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
                told = {"k": "accepted", "r": register, "b": proposal_number, "disk": self.disk}
                out.sends.extend((other, told) for other in sorted({*self.voters, peer}))
            else:
                self.reject(peer, register, proposal_number, out)
        elif kind == "promise":
            self.on_promise(now, peer, message, out)
        elif kind == "accepted":
            self.record_acceptance(now, peer, message["disk"], register, proposal_number, out)
        elif kind == "refuse":
            round = self.current_round(message)
            self.highest_counters[register] = max(self.highest_counters[register], message["p"][1])
            if self.is_member:  # others don't hear what is chosen
                self.backoff.observe(now, register, tuple(message["p"]))
            if round is not None and round.step in ("prepare", "accept"):
                self.last_rejection = (peer, round.proposal_number, tuple(message["p"]))
                self.schedule_retry(now, round)
        elif kind == "fetch" and self.chosen[register][0] >= proposal_number:
            chosen, value = self.chosen[register]
            out.sends.append((peer, {"k": "chosen", "r": register, "b": chosen, "v": value}))
        elif kind == "done":  # a ballot that had nothing to write
            self.backoff.round_finished(register, proposal_number)
            self.start_next_round(now, register, out)
        elif kind == "chosen":
            self.learn(now, register, proposal_number, message["v"], out)
        return out

    def reject(self, peer: str, register: str, proposal_number: ProposalNumber, out: Effects) -> None:
        promised = self.acceptors[register].promised
        out.sends.append(
            (peer, {"k": "refuse", "r": register, "b": proposal_number, "p": promised, "disk": self.disk})
        )

    def mark_durable(self, register: str, accepted: ProposalNumber) -> None:
        """A write of this register is safe on disk, the newest so far."""
        self.durable_accepted[register] = accepted

    # --- the learner

    def record_acceptance(
        self, now: float, peer: str, disk: str, register: str, proposal_number: ProposalNumber, out: Effects
    ) -> None:
        """A voter has this ballot accepted and safe on its disk."""
        if not is_voter(self.voters, peer, disk) or proposal_number < self.acceptances[register].get(
            peer, NO_PROPOSAL
        ):
            return
        self.acceptances[register][peer] = proposal_number
        self.record_commitment(peer, register, proposal_number)
        if proposal_number[0] != self.epoch:
            return  # carried over, or of a set that is not known here yet
        round = next(iter(self.rounds[register]), None)
        if round is not None and round.proposal_number == proposal_number and round.step == "accept":
            round.accepts.add(peer)
            if len(round.accepts) >= self.majority:
                self.finish_round(now, round, out)
        if proposal_number > self.chosen[register][0]:
            same = sum(b == proposal_number for b in self.acceptances[register].values())
            if same >= self.majority:
                acceptor = self.acceptors[register]
                if acceptor.accepted == proposal_number:
                    self.learn(now, register, proposal_number, acceptor.value, out)
                    self.start_next_round(now, register, out)
                elif now >= self.next_fetch_at.get(register, 0.0):
                    self.next_fetch_at[register] = now + PATIENCE
                    out.sends.append((peer, {"k": "fetch", "r": register, "b": proposal_number}))

    def learn(
        self, now: float, register: str, proposal_number: ProposalNumber, value: Any, out: Effects
    ) -> None:
        """This value is chosen. A voter that was away as it was, asked too late, or by what it doesn't hold,
        keeps it like the others from now on: nobody would send it again. A set of voters that is chosen is
        followed at once.
        """
        if proposal_number > self.chosen[register][0]:
            self.chosen[register] = (proposal_number, value)
            self.backoff.round_finished(register, proposal_number)
            acceptor = self.acceptors[register]
            if (
                self.is_active_voter
                and proposal_number[0] == self.epoch
                and acceptor.accepted < proposal_number
            ):
                acceptor.keep(proposal_number, value)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
            if register == VOTER_SET:
                self.adopt_voter_set(now, value, out)

    def tick(self, now: float) -> Effects:
        out = no_effects()
        for register in ALL_REGISTERS:
            for round in self.rounds[register][:1]:
                if round.step in ("prepare", "accept") and now >= round.step_until:
                    self.schedule_retry(now, round)
            self.start_next_round(now, register, out)
            self.complete_unfinished(now, register, out)
        if self.holds_seat and not self.is_active_voter:
            self.request_epoch_state(now, out)
        return out

    def complete_unfinished(self, now: float, register: str, out: Effects) -> None:
        """End a round whose proposer may be gone, and choose anew in this epoch what was carried into it."""
        known, highest = (
            self.chosen[register][0],
            max(self.acceptances[register].values(), default=NO_PROPOSAL),
        )
        carried = register != VOTER_SET and NO_PROPOSAL < highest and highest[0] < self.epoch
        if highest <= known and not carried:
            self.unfinished_since.pop(register, None)
        elif now >= self.unfinished_since.setdefault(register, now) + UNSETTLED * (1 + self.jitter()):
            self.unfinished_since[register] = now
            if not self.rounds[register] and self.is_active_voter:
                self.rounds[register].append(
                    ProposalRound(register, lambda value: (None, True), "settle", now + 1.0)
                )
                self.start_next_round(now, register, out)

    # --- epochs

    def record_commitment(self, peer: str, register: str, proposal_number: ProposalNumber) -> None:
        """This voter has promised or accepted this ballot."""
        if proposal_number[0] == self.epoch:
            self.peer_commitments[register][peer] = max(
                proposal_number, self.peer_commitments[register].get(peer, NO_PROPOSAL)
            )

    def check_disk_rollback(self, epoch: int, bound: dict[str, ProposalNumber], disk: str) -> Effects:
        """Another archive tells what it has heard this voter promise or accept in its epoch.

        Where that is more than is known here, an older state of the disk has come back: what it forgot may
        bind it, so it goes on as a new member without a seat, by the name of `disk`. Nothing else can look
        like it, as nothing is told before it is on disk.
        """
        out = no_effects()
        if epoch == self.epoch and self.holds_seat:
            if any(
                tuple(proposal_number) > self.acceptors[name].promised
                for name, proposal_number in bound.items()
            ):
                self.disk, self.active_epoch, self.epoch_join = disk, -1, None
                self.acceptors = {name: Acceptor() for name in ALL_REGISTERS}
                self.durable_accepted = dict.fromkeys(ALL_REGISTERS, NO_PROPOSAL)
                out.facts.update(disk=disk, held=-1)
        return out

    def adopt_voter_set(self, now: float, members: VoterSet, out: Effects) -> None:
        """A newer set of voters is known to be chosen: no ballot of an earlier epoch is answered any more."""
        if members["n"] <= self.epoch:
            return
        self.voter_set, self.epoch_join = members, EpochJoin()
        out.facts["members"] = members
        for kept in (*self.acceptances.values(), *self.peer_commitments.values()):
            kept.clear()
        for rounds in self.rounds.values():
            for round in rounds[:1]:
                if round.step != "wait":
                    round.step, round.next_at = "wait", now + PATIENCE / 2  # what it asked for may be chosen
        if self.holds_seat:
            self.request_epoch_state(now, out)

    def request_epoch_state(self, now: float, out: Effects) -> None:
        """Ask for what this epoch is to hold: the voters of the one before, and those who are active."""
        joining = self.epoch_join = self.epoch_join or EpochJoin()
        before = self.voter_set["before"]
        if self.active_epoch == self.epoch - 1 and is_voter(before, self.me, self.disk):
            held = {name: (a.accepted, a.value) for name, a in self.acceptors.items()}
            joining.told[self.me] = (self.active_epoch, held)
        elif before.get(self.me) == self.disk:
            joining.told[self.me] = (self.active_epoch, {})
        if joining.told and self.try_activate(now, out):
            return
        if now < joining.next_at:
            return
        joining.wait = min(2 * joining.wait, JOIN_MOST)
        joining.next_at = now + joining.wait
        have = {name: max(a.accepted, self.chosen[name][0]) for name, a in self.acceptors.items()}
        message = {"k": "join", "m": self.voter_set, "have": have}
        for peer in sorted({*before, *self.voters} - {self.me}):  # who told as sealed may be active by now
            out.sends.append((peer, {**message, "again": True} if peer in joining.told else message))

    def on_join_epoch(self, now: float, peer: str, message: dict, out: Effects) -> None:
        """Somebody joins an epoch: what this disk holds of it, or of the one before, which that seals."""
        epoch = message["m"]["n"]
        self.adopt_voter_set(now, message["m"], out)
        if self.epoch > epoch:
            out.sends.append((peer, {"k": "epoch", "m": self.voter_set}))
        active = self.active_epoch == epoch and is_voter(message["m"]["voters"], self.me, self.disk)
        before = message["m"]["before"]
        sealed = self.active_epoch == epoch - 1 and is_voter(before, self.me, self.disk)
        # never active in the epoch before, and never to be: it holds nothing of it, and its seal counts
        unused = self.active_epoch < epoch - 1 and before.get(self.me) == self.disk
        if not (active or sealed or unused) or self.epoch < epoch or "again" in message and not active:
            return
        registers = {}
        for name, acceptor in self.acceptors.items() if not unused else ():
            told = registers[name] = {"a": acceptor.accepted}
            if tuple(message["have"].get(name, NO_PROPOSAL)) != acceptor.accepted:
                told["v"] = acceptor.value
        out.facts["members"] = self.voter_set  # the seal itself may still be on its way to the disk
        out.sends.append(
            (
                peer,
                {"k": "state", "e": epoch, "held": self.active_epoch, "disk": self.disk, "regs": registers},
            )
        )

    def on_epoch_state(self, now: float, peer: str, message: dict, out: Effects) -> None:
        joining = self.epoch_join
        if joining is None or message["e"] != self.epoch or not self.holds_seat or self.is_active_voter:
            return
        at = self.voters if message["held"] == self.epoch else self.voter_set["before"]
        if not is_voter(at, peer, message["disk"]):
            return
        registers = {}
        for name, told in message["regs"].items():
            accepted = tuple(told["a"])
            if "v" in told:
                registers[name] = (accepted, told["v"])
            elif accepted == self.acceptors[name].accepted:
                registers[name] = (accepted, self.acceptors[name].value)
            elif accepted == self.chosen[name][0]:
                registers[name] = self.chosen[name]
            else:
                return  # it left out a value that is no longer held here; the next request says so
        joining.told[peer] = (message["held"], registers)
        self.try_activate(now, out)

    def try_activate(self, now: float, out: Effects) -> bool:
        """Whether what was told holds all that the epoch before has chosen; if so, this voter is active."""
        told = self.epoch_join.told.values()
        if not any(held == self.epoch for held, _ in told) and len(told) < majority(self.voter_set["before"]):
            return False
        registers = [registers for held, registers in told if held >= self.epoch - 1]
        if not registers:
            return False  # those who chose this epoch were active in the one before: one is missing
        for name, acceptor in self.acceptors.items():
            best, value = max(
                (*(held[name] for held in registers), self.chosen[name]), key=lambda one: one[0]
            )
            acceptor.promised, acceptor.accepted, acceptor.value = best, best, value
            out.writes.append((name, best, best, value))
        self.active_epoch, self.epoch_join = self.epoch, None
        out.facts.update(members=self.voter_set, held=self.active_epoch)
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
