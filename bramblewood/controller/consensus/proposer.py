"""The proposer: rounds of prepare and accept that carry the changes proposed at this controller."""

import zlib
from typing import Any, NamedTuple

from ..value_diff import difference
from .acceptor import Acceptor, NumberedValue
from .effects import Effects
from .learner import Learner
from .local_member import LocalMember
from .messages import Prepare, Promise, Rejected, RoundDone
from .proposal_number import NO_PROPOSAL, ProposalNumber
from .proposal_round import Change, Phase, ProposalRound
from .proposer_backoff import ProposerBackoff
from .registers import ALL_REGISTERS, VOTER_SET
from .timing import MAX_RETRY_BACKOFF_UNITS, PHASE_TIMEOUT, RETRY_BACKOFF_UNIT, UNFINISHED_TIMEOUT


class Rejection(NamedTuple):
    """The answer by which a round of ours was lost."""

    peer: str
    proposal_number: ProposalNumber
    promised: ProposalNumber  # by that peer, to another proposer


class Proposer:
    """The changes proposed here, by register, of which the first is under way.

    Invariant: what is proposed is made from the newest value that a majority of the epoch's voters held when
    it promised, so nothing chosen before is lost.
    """

    def __init__(
        self,
        member: LocalMember,
        acceptors: dict[str, Acceptor],
        learner: Learner,
        backoff: ProposerBackoff,
    ) -> None:
        self.member, self.acceptors, self.learner, self.backoff = member, acceptors, learner, backoff
        self.rounds: dict[str, list[ProposalRound]] = {name: [] for name in ALL_REGISTERS}
        self.highest_counters = {name: acceptor.promised.counter for name, acceptor in acceptors.items()}
        self.unfinished_since: dict[str, float] = {}
        self.last_rejection: Rejection | None = None  # for the log, until the shell takes it
        self.jitter_draws = 0

    def jitter(self) -> float:
        """Evenly in [0, 1), another sequence at each controller and start."""
        self.jitter_draws += 1
        text = f"{self.member.address}:{self.member.incarnation}:{self.jitter_draws}"
        return zlib.crc32(text.encode()) / 2**32

    def observe_counter(self, register: str, number: ProposalNumber) -> None:
        """A proposal of this number exists: the next one made here is higher."""
        self.highest_counters[register] = max(self.highest_counters[register], number.counter)

    def propose(
        self, now: float, register: str, change: Change, tag: Any, within: float, effects: Effects
    ) -> None:
        """Queue a change. It gets an answer in these or later effects; see `ConsensusReplica.propose`."""
        self.rounds[register].append(ProposalRound(register, change, tag, now + within))
        self.start_next_round(now, register, effects)

    # --- starting rounds

    def start_next_round(self, now: float, register: str, effects: Effects) -> None:
        """Answer what has waited for too long, and start a round for all that waits, if it is time."""
        queue = self.rounds[register]
        while queue and now >= queue[0].deadline:
            effects.answer(queue.pop(0).tag, None)
        if not self.member.voters or self.member.epoch == 0 and register != VOTER_SET:
            return  # nobody to ask yet
        if not queue or queue[0].phase is not Phase.WAITING or now < queue[0].next_attempt_at:
            return
        if not self.backoff.must_wait(now, register):
            # all that wait now; of what comes later, the promises to this round may know too little. Sets of
            # voters follow each other one at a time
            queue[0].batch = queue[:1] if register == VOTER_SET else list(queue)
            self.start_round(now, queue[0], effects)

    def start_round(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
        """Ask all voters for a promise, under a number above every one known here."""
        register, member = proposal_round.register, self.member
        self.highest_counters[register] += 1
        counter = self.highest_counters[register]
        number = ProposalNumber(member.epoch, counter, member.address, member.incarnation)
        proposal_round.begin_prepare(number, now + PHASE_TIMEOUT)
        effects.broadcast(member.voters, Prepare(register, number, self.acceptors[register].accepted))

    def schedule_retry(self, now: float, proposal_round: ProposalRound) -> None:
        """The round failed; again after a wait that grows and differs between controllers."""
        units = min(proposal_round.attempts, MAX_RETRY_BACKOFF_UNITS)
        proposal_round.wait_until(now + RETRY_BACKOFF_UNIT * (0.5 + self.jitter()) * units)

    def restart_rounds(self, now: float) -> None:
        """Another epoch has begun: rounds of the one before are answered no more. They begin anew after a
        short wait, as what they asked for may be chosen.
        """
        for queue in self.rounds.values():
            for proposal_round in queue[:1]:
                if proposal_round.phase is not Phase.WAITING:
                    proposal_round.wait_until(now + PHASE_TIMEOUT / 2)

    # --- answers of voters

    def current_round(self, register: str, number: ProposalNumber) -> ProposalRound | None:
        """The round of this number, if it is still the one under way."""
        for proposal_round in self.rounds[register][:1]:
            if proposal_round.proposal_number == number and number.epoch == self.member.epoch:
                return proposal_round
        return None

    def on_promise(self, now: float, peer: str, promise: Promise, effects: Effects) -> None:
        """A voter has promised to answer no lower proposal."""
        self.learner.record_commitment(peer, promise.register, promise.proposal_number)
        proposal_round = self.current_round(promise.register, promise.proposal_number)
        if proposal_round is None:
            return
        if proposal_round.phase is Phase.ACCEPTING and peer not in proposal_round.promises:
            self.on_late_promise(peer, promise, proposal_round, effects)
        elif proposal_round.phase is Phase.PREPARING and self.record_promise(peer, promise, proposal_round):
            if len(proposal_round.promises) >= self.member.majority:
                self.on_majority_promised(now, proposal_round, effects)

    def on_late_promise(
        self, peer: str, promise: Promise, proposal_round: ProposalRound, effects: Effects
    ) -> None:
        """A majority had promised before: this voter was asked to accept by a difference that it may not be
        able to use.
        """
        proposal_round.promises[peer] = NumberedValue(promise.accepted, None)
        if promise.accepted != proposal_round.base:
            effects.send(peer, proposal_round.accept_value)

    def record_promise(self, peer: str, promise: Promise, proposal_round: ProposalRound) -> bool:
        """False where the promise left out a value that is no longer held here: the next round brings it."""
        if promise.has_value:
            proposal_round.promises[peer] = NumberedValue(promise.accepted, promise.value)
            return True
        acceptor = self.acceptors[proposal_round.register]
        if promise.accepted != acceptor.accepted:
            return False
        proposal_round.promises[peer] = NumberedValue(promise.accepted, acceptor.value)
        return True

    def on_majority_promised(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
        """Make the value from the newest one that the majority holds, and ask to accept it."""
        base = proposal_round.newest_accepted()
        changed, value = self.apply_changes(proposal_round, base.value)
        register_is_empty = base.proposal_number == NO_PROPOSAL
        if not changed and (
            register_is_empty or self.is_already_chosen(base.proposal_number, proposal_round)
        ):
            self.finish_without_write(now, proposal_round, base, effects)
            return
        proposal_round.begin_accept(
            base.proposal_number, value, difference(base.value, value), now + PHASE_TIMEOUT
        )
        for peer in self.member.voters:
            promised = proposal_round.promises.get(peer)
            holds_base = promised is None or promised.proposal_number == base.proposal_number
            send_difference = holds_base and not register_is_empty
            effects.send(
                peer, proposal_round.accept_difference if send_difference else proposal_round.accept_value
            )

    def apply_changes(self, proposal_round: ProposalRound, value: Any) -> tuple[bool, Any]:
        """Make the changes that this round carries, one on the other.

        Returns whether any of them made another value, and the value after all of them.
        """
        changed = False
        for one in proposal_round.batch:
            following, one.outcome = one.change(value)
            if following is not None:
                changed, value = True, following
        return changed, value

    def is_already_chosen(self, number: ProposalNumber, proposal_round: ProposalRound) -> bool:
        """Whether a majority has accepted this very proposal. One that was only carried into the epoch proves
        nothing, as those who carried it may not be those who accepted it.
        """
        return number.epoch == self.member.epoch and all(
            promise.proposal_number == number for promise in proposal_round.promises.values()
        )

    def finish_without_write(
        self, now: float, proposal_round: ProposalRound, base: NumberedValue, effects: Effects
    ) -> None:
        """What stands is chosen already, and no change makes another value of it."""
        if base.proposal_number != NO_PROPOSAL:
            self.learner.learn(now, proposal_round.register, base.proposal_number, base.value, effects)
        others = [peer for peer in self.member.voters if peer != self.member.address]
        effects.broadcast(others, RoundDone(proposal_round.register, proposal_round.proposal_number))
        self.finish_round(now, proposal_round, effects)

    def on_acceptance(
        self, now: float, peer: str, register: str, number: ProposalNumber, effects: Effects
    ) -> None:
        """A voter has accepted what the round of this number proposed."""
        proposal_round = self.current_round(register, number)
        if proposal_round is not None and proposal_round.phase is Phase.ACCEPTING:
            proposal_round.accepted_by.add(peer)
            if len(proposal_round.accepted_by) >= self.member.majority:
                self.finish_round(now, proposal_round, effects)

    def on_rejection(self, now: float, peer: str, rejected: Rejected) -> None:
        """A voter has promised a higher proposal: the round is lost."""
        self.observe_counter(rejected.register, rejected.promised)
        if self.member.is_member:  # others don't hear what is chosen
            self.backoff.observe(now, rejected.register, rejected.promised)
        proposal_round = self.current_round(rejected.register, rejected.proposal_number)
        if proposal_round is not None and proposal_round.phase is not Phase.WAITING:
            self.last_rejection = Rejection(peer, proposal_round.proposal_number, rejected.promised)
            self.schedule_retry(now, proposal_round)

    def finish_round(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
        """Answer the changes that this round carried, and start the next one."""
        queue = self.rounds[proposal_round.register]
        for one in proposal_round.batch:
            if one in queue:
                queue.remove(one)
                effects.answer(one.tag, one.outcome)
        self.start_next_round(now, proposal_round.register, effects)

    # --- time

    def tick(self, now: float, register: str, effects: Effects) -> None:
        """Time has passed: retry a round whose phase took too long, complete what others left."""
        for proposal_round in self.rounds[register][:1]:
            if proposal_round.phase is not Phase.WAITING and now >= proposal_round.phase_deadline:
                self.schedule_retry(now, proposal_round)
        self.start_next_round(now, register, effects)
        self.complete_unfinished(now, register, effects)

    def complete_unfinished(self, now: float, register: str, effects: Effects) -> None:
        """End a round whose proposer may be gone, and choose anew in this epoch what was carried into it."""
        highest = self.learner.highest_acceptance(register)
        carried_over = register != VOTER_SET and highest > NO_PROPOSAL and highest.epoch < self.member.epoch
        if highest <= self.learner.chosen[register].proposal_number and not carried_over:
            self.unfinished_since.pop(register, None)
            return
        since = self.unfinished_since.setdefault(register, now)
        if now < since + UNFINISHED_TIMEOUT * (1 + self.jitter()):
            return
        self.unfinished_since[register] = now
        if not self.rounds[register] and self.member.is_active_voter:
            self.propose(now, register, keep_current_value, COMPLETION_TAG, 1.0, effects)


COMPLETION_TAG = "settle"  # of rounds that no caller waits for


def keep_current_value(value: Any) -> tuple[None, bool]:
    """A change that makes no other value, so that its round only completes what is there."""
    return None, True
