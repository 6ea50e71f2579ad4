"""Agreement: registers whose every version is chosen by a round of ballots among a majority of the voters.

Each register holds one value. A change reads what a majority holds, makes the next value from it and asks the
same majority to accept that under a higher ballot; nobody stands above the others. State machines: inputs
with the time handed in, and an Out of what to write, send and answer. Writes come first: the shell sends and
answers only once all of an Out's writes are safe on disk. Messages are plain maps.

A machine whose disk came back empty has forgotten what it promised. It does not vote until `relearn` has made
so many others promise a ballot of its own that every majority it may have been part of is met by them;
whatever it once voted for is then accepted there, or can be accepted no more.
"""

import zlib
from collections.abc import Callable
from typing import Any, NamedTuple

from .contention import Contention
from .patches import difference, patched

Ballot = tuple[int, str, int]  # counter, archive, that archive's life; compared in turn
NONE: Ballot = (0, "", 0)
CONFIG, TABLE, VOTERS = "config", "table", "voters"
REGISTERS = (CONFIG, TABLE)
FOUNDING = (VOTERS,)  # agreed once, by the seeds of the first boot
VOTES = {"prepare", "promise", "accept", "accepted", "refuse", "fetch", "chosen", "done"}  # kinds of messages
# s that a step of a round waits for its majority: many times the way between zones and a sync
PATIENCE = 0.25
BACKOFF = 0.04  # s, the unit of waits after a lost ballot; some times a round's own length
UNSETTLED = 0.4  # s that an accepted ballot may stay unchosen before somebody else ends its round


def trace(ballot: Ballot) -> str:
    """A ballot as logs name it, the same at every archive: counter, archive and that archive's life."""
    return f"{ballot[0]}@{ballot[1]}/{ballot[2]:x}"


class Out(NamedTuple):
    """writes: (register, promised, accepted, value); sends: (peer, message); answers: (tag, outcome)."""

    writes: list
    sends: list
    answers: list


class Acceptor:
    """One register at one voter: what it promised and what it accepted."""

    def __init__(self, promised: Ballot = NONE, accepted: Ballot = NONE, value: Any = None) -> None:
        self.promised, self.accepted, self.value = promised, accepted, value

    def prepare(self, ballot: Ballot) -> bool:
        if ballot <= self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, ballot: Ballot, value: Any) -> bool:
        if ballot < self.promised:
            return False
        self.promised = self.accepted = ballot
        self.value = value
        return True


class Round:
    """One change on its way: the ballot it is at, who promised, who accepted."""

    def __init__(self, register: str, change: Callable | None, tag: Any, until: float) -> None:
        self.register, self.change, self.tag, self.until = register, change, tag, until
        self.ballot, self.tries, self.step, self.step_until, self.next_at = NONE, 0, "wait", 0.0, 0.0
        self.promises: dict[str, tuple[Ballot, Any]] = {}
        self.accepts: set[str] = set()
        self.outcome: Any = None
        self.carried: list[Round] = []  # whose changes are in this ballot, each made on the one before


class Ballots:
    """All registers at one archive: acceptor, proposer and learner."""

    def __init__(
        self,
        me: str,
        voters: tuple[str, ...],
        life: int,
        stored: dict[str, tuple],
        voting: bool,
        registers: tuple[str, ...] = REGISTERS,
    ) -> None:
        self.registers = registers
        self.me, self.voters, self.life, self.voting, self.count = me, tuple(voters), life, voting, 0
        self.acceptors = {name: Acceptor(*stored.get(name, ())) for name in registers}
        self.durable = {name: a.accepted for name, a in self.acceptors.items()}
        self.seen = {name: a.promised[0] for name, a in self.acceptors.items()}
        self.votes: dict[str, dict[str, Ballot]] = {name: {} for name in self.registers}
        self.learned: dict[str, tuple[Ballot, Any]] = {name: (NONE, None) for name in self.registers}
        self.ahead_since: dict[str, float] = {}
        self.rounds: dict[str, list[Round]] = {name: [] for name in self.registers}
        self.relearning: dict[str, Round] = {}
        self.asked_at: dict[str, float] = {}
        self.contention = Contention(me, PATIENCE)
        # the newest refusal of a ballot of ours, for the log: who, which ballot, what it had promised
        self.lost_to: tuple[str, Ballot, Ballot] | None = None

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.me}:{self.life}:{self.count}".encode()) / 2**32

    def value(self, register: str) -> Any:
        """The newest value known to be chosen, or None."""
        return self.learned[register][1]

    def version(self, register: str) -> int:
        value = self.value(register)
        return value["n"] if value else 0

    # --- the proposer

    def propose(self, now: float, register: str, change: Callable, tag: Any, within: float) -> Out:
        """Queue a change: a function of the value that stands (or None) to (next value or None for none,
        outcome).

        Its answer is (tag, outcome), or (tag, None) where the outcome stayed unclear for `within` s.
        """
        out = Out([], [], [])
        self.rounds[register].append(Round(register, change, tag, now + within))
        self.advance(now, register, out)
        return out

    def advance(self, now: float, register: str, out: Out) -> None:
        waiting = self.rounds[register]
        while waiting and now >= waiting[0].until:
            out.answers.append((waiting.pop(0).tag, None))
        if not waiting or waiting[0].step != "wait" or now < waiting[0].next_at:
            return
        if not self.contention.busy(now, register):
            # all that wait now; of what comes later, the promises to this ballot may know too little
            waiting[0].carried = list(waiting)
            self.begin(now, waiting[0], out)

    def begin(self, now: float, round: Round, out: Out) -> None:
        self.seen[round.register] += 1
        round.ballot = (self.seen[round.register], self.me, self.life)
        round.step, round.step_until, round.promises, round.accepts = "prepare", now + PATIENCE, {}, set()
        round.tries += 1
        message = {
            "k": "prepare",
            "r": round.register,
            "b": round.ballot,
            "have": self.acceptors[round.register].accepted,
        }
        out.sends.extend((peer, message) for peer in self.voters if peer != self.me or round.tag != "relearn")

    def lost(self, now: float, round: Round) -> None:
        """The ballot failed; again after a wait that grows and differs between archives."""
        round.step = "wait"
        round.next_at = now + BACKOFF * (0.5 + self.chance()) * min(round.tries, 6)

    def promised(self, now: float, peer: str, message: dict, out: Out) -> None:
        round = self.current(message)
        if round is None or round.step != "prepare":
            return
        accepted = tuple(message["a"])
        acceptor = self.acceptors[round.register]
        value = message["v"] if "v" in message else acceptor.value
        if "v" not in message and accepted != acceptor.accepted:
            return  # it left out a value that we no longer hold at this ballot; the next try brings it
        round.promises[peer] = (accepted, value)
        if round.tag == "relearn":
            return self.relearned(now, round, out)
        if len(round.promises) < self.majority:
            return
        best = max(ballot for ballot, _ in round.promises.values())
        stands = next(value for ballot, value in round.promises.values() if ballot == best)
        following, value = None, stands
        for one in round.carried:
            made, one.outcome = one.change(value)
            if made is not None:
                following = value = made
        if following is None and (best == NONE or all(b == best for b, _ in round.promises.values())):
            if best != NONE:
                self.learn(round.register, best, stands)
            message = {"k": "done", "r": round.register, "b": round.ballot}
            out.sends.extend((peer, message) for peer in self.voters if peer != self.me)
            return self.finish(now, round, out)  # what stands is chosen already: nothing to write
        round.step, round.step_until = "accept", now + PATIENCE
        message = {"k": "accept", "r": round.register, "b": round.ballot}
        change = {**message, "base": best, "d": difference(stands, value)}
        for peer in self.voters:  # who holds what stands needs the difference only
            same = best != NONE and round.promises.get(peer, (NONE, None))[0] == best
            out.sends.append((peer, change if same else {**message, "v": value}))

    def finish(self, now: float, round: Round, out: Out) -> None:
        waiting = self.rounds[round.register]
        for one in round.carried:
            if one in waiting:
                waiting.remove(one)
                out.answers.append((one.tag, one.outcome))
        self.advance(now, round.register, out)

    def current(self, message: dict) -> Round | None:
        """The round that this message answers, if it is still the one under way."""
        ballot, register = tuple(message["b"]), message["r"]
        for round in [self.relearning.get(register), *self.rounds[register][:1]]:
            if round is not None and round.ballot == ballot:
                return round
        return None

    # --- the voters

    def hear(self, now: float, peer: str, message: dict) -> Out:
        out = Out([], [], [])
        kind, register = message["k"], message["r"]
        if register not in self.acceptors:
            return out
        acceptor, ballot = self.acceptors[register], tuple(message["b"])
        self.seen[register] = max(self.seen[register], ballot[0])
        if kind == "prepare" and self.voting:
            if acceptor.prepare(ballot):
                self.contention.heard(now, register, ballot)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
                reply = {"k": "promise", "r": register, "b": ballot, "a": acceptor.accepted}
                if tuple(message["have"]) != acceptor.accepted:
                    reply["v"] = acceptor.value
                out.sends.append((peer, reply))
            else:
                out.sends.append((peer, {"k": "refuse", "r": register, "b": ballot, "p": acceptor.promised}))
        elif kind == "accept" and self.voting:
            if "base" in message and tuple(message["base"]) != acceptor.accepted:
                return out  # it stands on a value that we no longer hold; the next try brings it whole
            value = patched(acceptor.value, message["d"]) if "base" in message else message["v"]
            if acceptor.accept(ballot, value):
                self.contention.heard(now, register, ballot)
                out.writes.append((register, acceptor.promised, acceptor.accepted, acceptor.value))
                told = {*self.voters, peer}
                out.sends.extend(
                    (other, {"k": "accepted", "r": register, "b": ballot}) for other in sorted(told)
                )
            else:
                out.sends.append((peer, {"k": "refuse", "r": register, "b": ballot, "p": acceptor.promised}))
        elif kind == "promise":
            self.promised(now, peer, message, out)
        elif kind == "accepted":
            self.voted(now, peer, register, ballot, out)
        elif kind == "refuse":
            round = self.current(message)
            self.seen[register] = max(self.seen[register], message["p"][0])
            if self.me in self.voters:
                self.contention.heard(now, register, tuple(message["p"]))
            if round is not None and round.step in ("prepare", "accept"):
                self.lost_to = (peer, round.ballot, tuple(message["p"]))
                self.lost(now, round)
        elif kind == "fetch" and self.learned[register][0] >= ballot:
            chosen, value = self.learned[register]
            out.sends.append((peer, {"k": "chosen", "r": register, "b": chosen, "v": value}))
        elif kind == "done":  # a ballot that had nothing to write
            self.contention.chosen(register, ballot)
            self.advance(now, register, out)
        elif kind == "chosen":
            self.learn(register, ballot, message["v"])
        return out

    def stored(self, register: str, accepted: Ballot) -> None:
        """A write of this register is safe on disk."""
        self.durable[register] = max(self.durable[register], accepted)

    # --- the learner

    def voted(self, now: float, peer: str, register: str, ballot: Ballot, out: Out) -> None:
        """A voter has this ballot accepted and safe on its disk."""
        if peer not in self.voters or ballot < self.votes[register].get(peer, NONE):
            return
        self.votes[register][peer] = ballot
        round = next(iter(self.rounds[register]), None)
        if round is not None and round.ballot == ballot and round.step == "accept":
            round.accepts.add(peer)
            if len(round.accepts) >= self.majority:
                self.finish(now, round, out)
        if ballot > self.learned[register][0]:
            same = sum(b == ballot for b in self.votes[register].values())
            if same >= self.majority:
                acceptor = self.acceptors[register]
                if acceptor.accepted == ballot:
                    self.learn(register, ballot, acceptor.value)
                    self.advance(now, register, out)
                elif now >= self.asked_at.get(register, 0.0):
                    self.asked_at[register] = now + PATIENCE
                    out.sends.append((peer, {"k": "fetch", "r": register, "b": ballot}))

    def learn(self, register: str, ballot: Ballot, value: Any) -> None:
        if ballot > self.learned[register][0]:
            self.learned[register] = (ballot, value)
            self.contention.chosen(register, ballot)

    def tick(self, now: float) -> Out:
        out = Out([], [], [])
        for register in self.registers:
            for round in [self.relearning.get(register), *self.rounds[register][:1]]:
                if round is not None and round.step in ("prepare", "accept") and now >= round.step_until:
                    self.lost(now, round)
            self.advance(now, register, out)
            known, highest = self.learned[register][0], max(self.votes[register].values(), default=NONE)
            if highest <= known:
                self.ahead_since.pop(register, None)
            elif now >= self.ahead_since.setdefault(register, now) + UNSETTLED * (1 + self.chance()):
                self.ahead_since[register] = now
                if not self.rounds[register] and self.voting:  # its proposer may be gone: end the round
                    self.rounds[register].append(
                        Round(register, lambda value: (None, True), "settle", now + 1.0)
                    )
                    self.advance(now, register, out)
        if not self.voting and self.me in self.voters:
            self.relearn(now, out)
        return out

    # --- after a lost disk

    def relearn(self, now: float, out: Out) -> None:
        for register in self.registers:
            round = self.relearning.get(register)
            if round is None:
                round = self.relearning[register] = Round(register, None, "relearn", 0.0)
            if round.step == "wait" and now >= round.next_at:
                self.begin(now, round, out)

    def relearned(self, now: float, round: Round, out: Out) -> None:
        """Enough others have promised: what they hold is all that this voter can have taken part in."""
        others = {peer: told for peer, told in round.promises.items() if peer != self.me}
        if len(others) < len(self.voters) - self.majority + 1:
            return
        best, value = max(others.values(), key=lambda told: told[0])
        acceptor = self.acceptors[round.register]
        acceptor.promised, acceptor.accepted, acceptor.value = round.ballot, best, value
        round.step = "done"
        out.writes.append((round.register, acceptor.promised, acceptor.accepted, acceptor.value))
        if all(self.relearning[name].step == "done" for name in self.registers):
            self.voting, self.relearning = True, {}
            out.answers.append(("relearn", True))
