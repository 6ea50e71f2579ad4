"""The proposer: runs the rounds that carry the changes proposed at this controller."""

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
from .timing import (
    COMPLETION_TIMEOUT,
    MAX_RETRY_BACKOFF_UNITS,
    PHASE_TIMEOUT,
    RETRY_BACKOFF_UNIT,
    UNFINISHED_TIMEOUT,
)


class RoundRejection(NamedTuple):
    """The rejection that ended a round of this controller."""

    peer: str
    proposal_number: ProposalNumber
    promised: ProposalNumber  # the higher number that the peer has promised


class Proposer:
    """The queues of changes proposed here, by register. The first round of a queue is the one in progress.

    Invariant: every proposed value is made from the newest value that any voter of a majority had accepted
    when it promised. No value that was chosen before is therefore lost.
    """

    def __init__(
        self,
        member: LocalMember,
        acceptors: dict[str, Acceptor],
        learner: Learner,
        backoff: ProposerBackoff,
    ) -> None:
        self.member, self.acceptors, self.learner, self.backoff = member, acceptors, learner, backoff
        self.rounds: dict[str, list[ProposalRound]] = {register: [] for register in ALL_REGISTERS}
        self.highest_counters = {
            register: acceptor.promised.counter for register, acceptor in acceptors.items()
        }
        self.unfinished_since: dict[str, float] = {}
        # the newest one, until the caller takes it to log it
        self.last_rejection: RoundRejection | None = None
        self.jitter_draws = 0

    def jitter(self) -> float:
        """Returns a number drawn uniformly from [0, 1). Each process has a sequence of its own."""
        self.jitter_draws += 1
        text = f"{self.member.address}:{self.member.incarnation}:{self.jitter_draws}"
        return zlib.crc32(text.encode()) / 2**32

    def observe_counter(self, register: str, number: ProposalNumber) -> None:
        """Records that a proposal with this number exists, so that the next one made here is higher."""
        self.highest_counters[register] = max(self.highest_counters[register], number.counter)

    def propose(
        self, now: float, register: str, change: Change, tag: Any, timeout: float, effects: Effects
    ) -> None:
        """Queues a change, and starts a round if none is in progress; see `ConsensusReplica.propose`."""
        self.rounds[register].append(ProposalRound(register, change, tag, now + timeout))
        self.start_next_round(now, register, effects)

    # --- starting rounds

    def start_next_round(self, now: float, register: str, effects: Effects) -> None:
        """Answers the changes whose deadline has passed, and starts a round for the others if one is due."""
        queue = self.rounds[register]
        while queue and now >= queue[0].deadline:
            effects.report_outcome(queue.pop(0).tag, None)
        if not self.member.voters or self.member.epoch == 0 and register != VOTER_SET:
            return  # no voter set has been learned that may choose a value of this register
        if not queue or queue[0].phase is not Phase.WAITING or now < queue[0].next_attempt_at:
            return
        if not self.backoff.must_wait(now, register):
            # The round carries the changes that are queued now, and no later ones. Its promises may lack a
            # value that is chosen before a later change is queued, and that change must see the value. Voter
            # sets change one at a time.
            queue[0].batch = queue[:1] if register == VOTER_SET else list(queue)
            self.start_round(now, queue[0], effects)

    def start_round(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
        """Asks all voters for a promise, under a number above every number observed in this register."""
        register, member = proposal_round.register, self.member
        self.highest_counters[register] += 1
        counter = self.highest_counters[register]
        number = ProposalNumber(member.epoch, counter, member.address, member.incarnation)
        proposal_round.begin_prepare(number, now + PHASE_TIMEOUT)
        effects.broadcast(member.voters, Prepare(register, number, self.acceptors[register].accepted))

    def schedule_retry(self, now: float, proposal_round: ProposalRound) -> None:
        """Schedules the next attempt after a wait that grows with the attempts and has a random part."""
        units = min(proposal_round.attempts, MAX_RETRY_BACKOFF_UNITS)
        proposal_round.wait_until(now + RETRY_BACKOFF_UNIT * (0.5 + self.jitter()) * units)

    def restart_rounds(self, now: float) -> None:
        """Schedules the next attempt of each round in progress, because another epoch has begun.

        The voters of the previous epoch no longer answer. The short wait lets this controller learn whether
        the previous epoch has chosen what the round proposed.
        """
        for queue in self.rounds.values():
            for proposal_round in queue[:1]:
                if proposal_round.phase is not Phase.WAITING:
                    proposal_round.wait_until(now + PHASE_TIMEOUT / 2)

    # --- replies of voters

    def current_round(self, register: str, number: ProposalNumber) -> ProposalRound | None:
        """Returns the round in progress if it has this number and belongs to the current epoch, else None."""
        for proposal_round in self.rounds[register][:1]:
            if proposal_round.proposal_number == number and number.epoch == self.member.epoch:
                return proposal_round
        return None

    def on_promise(self, now: float, peer: str, promise: Promise, effects: Effects) -> None:
        """Handles a promise. Proposes a value once a majority has promised."""
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
        """Handles a promise that arrives after the value was proposed.

        The voter may have been sent a difference before. It is sent the value too if it does not hold the
        base of that difference.
        """
        proposal_round.promises[peer] = NumberedValue(promise.accepted, None)
        if promise.accepted != proposal_round.base:
            effects.send(peer, proposal_round.accept_value)

    def record_promise(self, peer: str, promise: Promise, proposal_round: ProposalRound) -> bool:
        """Records a promise together with the value that the voter had accepted.

        Returns False if the promise omits a value that this controller no longer holds. The promise does
        not count then, and the voter sends the value in the next round.
        """
        if promise.has_value:
            proposal_round.promises[peer] = NumberedValue(promise.accepted, promise.value)
            return True
        acceptor = self.acceptors[proposal_round.register]
        if promise.accepted != acceptor.accepted:
            return False
        proposal_round.promises[peer] = NumberedValue(promise.accepted, acceptor.value)
        return True

    def on_majority_promised(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
        """Makes the next value from the newest one that the promises report, and proposes it."""
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
            may_hold_base = promised is None or promised.proposal_number == base.proposal_number
            send_difference = may_hold_base and not register_is_empty
            effects.send(
                peer, proposal_round.accept_difference if send_difference else proposal_round.accept_value
            )

    def apply_changes(self, proposal_round: ProposalRound, value: Any) -> tuple[bool, Any]:
        """Applies the changes that this round carries, each to the result of the one before it.

        Returns whether any change made a new value, and the value after all changes.
        """
        changed = False
        for queued_round in proposal_round.batch:
            next_value, queued_round.outcome = queued_round.change(value)
            if next_value is not None:
                changed, value = True, next_value
        return changed, value

    def is_already_chosen(self, number: ProposalNumber, proposal_round: ProposalRound) -> bool:
        """Returns whether the promises prove that a majority has accepted the proposal with this number.

        A proposal of an earlier epoch proves nothing. Voters receive it when they join the epoch, whether or
        not a majority accepted it.
        """
        return number.epoch == self.member.epoch and all(
            promise.proposal_number == number for promise in proposal_round.promises.values()
        )

    def finish_without_write(
        self, now: float, proposal_round: ProposalRound, base: NumberedValue, effects: Effects
    ) -> None:
        """Ends a round whose changes make no new value, after learning the current value as chosen."""
        if base.proposal_number != NO_PROPOSAL:
            self.learner.learn(now, proposal_round.register, base.proposal_number, base.value, effects)
        others = [peer for peer in self.member.voters if peer != self.member.address]
        effects.broadcast(others, RoundDone(proposal_round.register, proposal_round.proposal_number))
        self.finish_round(now, proposal_round, effects)

    def on_acceptance(
        self, now: float, peer: str, register: str, number: ProposalNumber, effects: Effects
    ) -> None:
        """Handles the acceptance of a proposal. Ends its round once a majority has accepted."""
        proposal_round = self.current_round(register, number)
        if proposal_round is not None and proposal_round.phase is Phase.ACCEPTING:
            proposal_round.accepted_by.add(peer)
            if len(proposal_round.accepted_by) >= self.member.majority:
                self.finish_round(now, proposal_round, effects)

    def on_rejection(self, now: float, peer: str, rejected: Rejected) -> None:
        """Handles the rejection of a voter that has promised a higher number. The attempt has failed."""
        self.observe_counter(rejected.register, rejected.promised)
        if self.member.matches_seat:  # without a seat, it is not told what is chosen and would wait in vain
            self.backoff.observe(now, rejected.register, rejected.promised)
        proposal_round = self.current_round(rejected.register, rejected.proposal_number)
        if proposal_round is not None and proposal_round.phase is not Phase.WAITING:
            self.last_rejection = RoundRejection(peer, proposal_round.proposal_number, rejected.promised)
            self.schedule_retry(now, proposal_round)

    def finish_round(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
        """Answers the changes that this round carried, and starts the next round."""
        queue = self.rounds[proposal_round.register]
        for queued_round in proposal_round.batch:
            if queued_round in queue:
                queue.remove(queued_round)
                effects.report_outcome(queued_round.tag, queued_round.outcome)
        self.start_next_round(now, proposal_round.register, effects)

    # --- time

    def tick(self, now: float, register: str, effects: Effects) -> None:
        """Retries a round whose phase has timed out, and completes unfinished rounds of other proposers."""
        for proposal_round in self.rounds[register][:1]:
            if proposal_round.phase is not Phase.WAITING and now >= proposal_round.phase_deadline:
                self.schedule_retry(now, proposal_round)
        self.start_next_round(now, register, effects)
        self.complete_unfinished(now, register, effects)

    def complete_unfinished(self, now: float, register: str, effects: Effects) -> None:
        """Proposes a change that keeps the value if the newest accepted value stays unchosen for too long.

        This completes a round whose proposer may have stopped. It also lets this epoch choose a value that
        was carried over from an earlier epoch.
        """
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
            self.propose(now, register, keep_current_value, COMPLETION_TAG, COMPLETION_TIMEOUT, effects)


COMPLETION_TAG = "settle"  # the tag of changes that complete rounds; no caller waits for their answers


def keep_current_value(value: Any) -> tuple[None, bool]:
    """Writes no new value. The round of this change only makes a majority accept the current value."""
    return None, True
