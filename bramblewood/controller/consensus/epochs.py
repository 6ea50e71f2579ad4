"""The transition from one voter set to the next.

Three things happen when the voters of epoch e have chosen a voter set for epoch e + 1:

- A voter of e that learns of e + 1 is sealed. It no longer answers proposals of e.
- A voter of e + 1 joins. It asks the voters of both epochs for the state that they have accepted.
- The joining voter becomes active, and votes in e + 1, once it has the state of a majority of the voters of
  e, all of them sealed, or the state of one active voter of e + 1. Either includes every value that e has
  chosen.

A sealed voter that was never active in e counts towards this majority, although it holds no state of e. It
accepts no value of e later.

Invariant: nothing is chosen in e + 1 before a majority has sealed e, and no value that e chose is lost.
"""

from enum import Enum
from typing import NamedTuple

from .acceptor import Acceptor, NumberedValue
from .effects import ACTIVE_EPOCH_FACT, DISK_FACT, VOTER_SET_FACT, Effects, no_effects
from .epoch_messages import OMITTED, AcceptedState, EpochNotice, EpochState, JoinEpoch
from .learner import Learner
from .local_member import NEVER_ACTIVE, LocalMember
from .proposal_number import NO_PROPOSAL, ProposalNumber
from .proposer import Proposer
from .registers import ALL_REGISTERS
from .timing import MAX_JOIN_REQUEST_INTERVAL, PHASE_TIMEOUT
from .voter_set import VoterSet, is_voter, majority_size


class StateReport(NamedTuple):
    """The state that a voter of the previous or the current epoch reports.

    active_epoch: the newest epoch in which its disk was active.
    """

    active_epoch: int
    registers: dict[str, NumberedValue]


class EpochJoin:
    """The progress of joining an epoch: the reports received, and the time of the next request."""

    def __init__(self) -> None:
        self.reports: dict[str, StateReport] = {}  # by voter
        self.next_request_at = 0.0
        self.request_interval = PHASE_TIMEOUT / 2  # s; each request doubles it


class SeatState(Enum):
    """The state of this disk's seat, relative to a given epoch."""

    ACTIVE = "active"  # the disk is an active voter of the epoch
    SEALED = "sealed"  # the disk was active in the previous epoch
    UNUSED = "unused"  # the disk had a seat in the previous epoch, and was never active there


class EpochTransition:
    """Adopts chosen voter sets, joins their epochs, and reports this disk's state to others that join."""

    def __init__(
        self, member: LocalMember, acceptors: dict[str, Acceptor], learner: Learner, proposer: Proposer
    ) -> None:
        self.member, self.acceptors = member, acceptors
        self.learner, self.proposer = learner, proposer
        self.join: EpochJoin | None = None  # while this controller joins an epoch

    def adopt_voter_set(self, now: float, voter_set: VoterSet, effects: Effects) -> None:
        """Adopts a chosen voter set if it is newer. This controller then votes in no earlier epoch."""
        if voter_set["n"] <= self.member.epoch:
            return
        self.member.voter_set, self.join = voter_set, EpochJoin()
        effects.facts[VOTER_SET_FACT] = voter_set
        self.learner.clear_voter_records()
        self.proposer.restart_rounds(now)
        if self.member.holds_seat:
            self.request_state(now, effects)

    def tick(self, now: float, effects: Effects) -> None:
        """Requests the state of the epoch again while this voter is not active in it."""
        if self.member.holds_seat and not self.member.is_active_voter:
            self.request_state(now, effects)

    # --- becoming active

    def request_state(self, now: float, effects: Effects) -> None:
        """Asks the voters of the previous and the current epoch for the state with which this epoch begins.

        Becomes active instead if the reports suffice already. Sends nothing before the next request is due.
        """
        join = self.join = self.join or EpochJoin()
        self.add_own_report(join)
        if join.reports and self.try_activate(now, effects):
            return
        if now < join.next_request_at:
            return
        join.request_interval = min(2 * join.request_interval, MAX_JOIN_REQUEST_INTERVAL)
        join.next_request_at = now + join.request_interval
        held_numbers = {
            register: max(acceptor.accepted, self.learner.chosen[register].proposal_number)
            for register, acceptor in self.acceptors.items()
        }
        request = JoinEpoch(self.member.voter_set, held_numbers)
        peers = {*self.member.voter_set["before"], *self.member.voters} - {self.member.address}
        for peer in sorted(peers):  # a voter that reported while sealed may be active by now
            effects.send(peer, request._replace(active_only=peer in join.reports))

    def add_own_report(self, join: EpochJoin) -> None:
        """Adds the report of this disk itself, if it had a seat in the previous epoch."""
        member = self.member
        match self.seat_state(member.voter_set):
            case SeatState.SEALED:
                registers = {
                    register: NumberedValue(acceptor.accepted, acceptor.value)
                    for register, acceptor in self.acceptors.items()
                }
                join.reports[member.address] = StateReport(member.active_epoch, registers)
            case SeatState.UNUSED:
                join.reports[member.address] = StateReport(member.active_epoch, {})

    def seat_state(self, voter_set: VoterSet) -> SeatState | None:
        """Returns the state of this disk's seat for the epoch of `voter_set`.

        Returns None if a report of this disk does not count for a voter that joins that epoch, or if this
        process has stopped voting. In that case `active_epoch` no longer says whether the disk was active,
        and a report without its accepted values must not count as that of an unused seat.
        """
        member, epoch, before = self.member, voter_set["n"], voter_set["before"]
        if member.has_stopped_voting:
            return None
        if member.active_epoch == epoch and is_voter(voter_set["voters"], member.address, member.disk):
            return SeatState.ACTIVE
        if member.active_epoch == epoch - 1 and is_voter(before, member.address, member.disk):
            return SeatState.SEALED
        if member.active_epoch < epoch - 1 and before.get(member.address) == member.disk:
            return SeatState.UNUSED
        return None

    def on_epoch_state(self, now: float, peer: str, state: EpochState, effects: Effects) -> None:
        """Handles a report. Becomes active once the reports suffice."""
        member = self.member
        if self.join is None or state.epoch != member.epoch:
            return
        if not member.holds_seat or member.is_active_voter:
            return
        voters = member.voters if state.active_epoch == member.epoch else member.voter_set["before"]
        if not is_voter(voters, peer, state.disk):
            return
        registers = self.fill_omitted_values(state)
        if registers is not None:
            self.join.reports[peer] = StateReport(state.active_epoch, registers)
            self.try_activate(now, effects)

    def fill_omitted_values(self, state: EpochState) -> dict[str, NumberedValue] | None:
        """Returns the registers of a report, and fills in the values that the report omits.

        Returns None if this controller no longer holds an omitted value. The next request states the
        numbers that it holds then, so the next report has the value.
        """
        registers = {}
        for register, (accepted, value) in state.registers.items():
            if register not in self.acceptors:
                continue  # a register that only a later release has
            if value is not OMITTED:
                registers[register] = NumberedValue(accepted, value)
            elif accepted == self.acceptors[register].accepted:
                registers[register] = NumberedValue(accepted, self.acceptors[register].value)
            elif accepted == self.learner.chosen[register].proposal_number:
                registers[register] = self.learner.chosen[register]
            else:
                return None
        return registers

    def try_activate(self, now: float, effects: Effects) -> bool:
        """Becomes active if the reports include every value that the previous epoch has chosen.

        The newest value of each register becomes the accepted one. Returns whether this voter is active now.
        """
        member, reports = self.member, self.join.reports.values()
        has_active_report = any(report.active_epoch == member.epoch for report in reports)
        if not has_active_report and len(reports) < majority_size(member.voter_set["before"]):
            return False
        reported_registers = [
            report.registers for report in reports if report.active_epoch >= member.epoch - 1
        ]
        if not reported_registers:
            return False  # all reports are from voters without state of the previous epoch
        for register, acceptor in self.acceptors.items():
            candidates = [
                *(registers[register] for registers in reported_registers),
                self.learner.chosen[register],
            ]
            newest_number, value = max(candidates, key=lambda candidate: candidate.proposal_number)
            acceptor.promised, acceptor.accepted, acceptor.value = newest_number, newest_number, value
            effects.write(register, acceptor)
        member.active_epoch, self.join = member.epoch, None
        effects.facts.update({VOTER_SET_FACT: member.voter_set, ACTIVE_EPOCH_FACT: member.active_epoch})
        return True

    # --- answering joining voters

    def on_join_epoch(self, now: float, peer: str, request: JoinEpoch, effects: Effects) -> None:
        """Handles the request of a voter that joins an epoch.

        Adopts the voter set of the request if it is newer, which seals the previous epoch here. Sends the
        newest voter set if the request has an older one. Reports the state of this disk if the report counts
        for a voter that joins the epoch.
        """
        member, epoch = self.member, request.voter_set["n"]
        self.adopt_voter_set(now, request.voter_set, effects)
        if member.epoch > epoch:
            effects.send(peer, EpochNotice(member.voter_set))
        seat = self.seat_state(request.voter_set)
        if seat is None or member.epoch < epoch or request.active_only and seat is not SeatState.ACTIVE:
            return
        registers = {} if seat is SeatState.UNUSED else self.accepted_states(request.held_numbers)
        effects.facts[VOTER_SET_FACT] = member.voter_set  # an earlier write of it may not be durable yet
        effects.send(peer, EpochState(epoch, member.active_epoch, member.disk, registers))

    def accepted_states(self, held_numbers: dict[str, ProposalNumber]) -> dict[str, AcceptedState]:
        """Returns what this disk has accepted, by register.

        held_numbers: by register, the number whose value the requesting voter holds. That value is omitted.
        """
        registers = {}
        for register, acceptor in self.acceptors.items():
            is_held = held_numbers.get(register, NO_PROPOSAL) == acceptor.accepted
            registers[register] = AcceptedState(acceptor.accepted, OMITTED if is_held else acceptor.value)
        return registers

    # --- detecting an older state of the disk

    def check_disk_rollback(
        self, epoch: int, commitments: dict[str, ProposalNumber], new_disk: str
    ) -> Effects:
        """Checks whether this disk has been rolled back to an older state, and if so gives up its seat.

        epoch: the epoch of the controller that reports the commitments.
        commitments: by register, the highest proposal that this voter has promised or accepted in that epoch,
        according to that controller.

        A commitment above what this disk has promised proves a rollback, because a voter reports a promise or
        an acceptance only after it is durable. The disk may be bound by promises that it has lost. It
        therefore continues empty under the name `new_disk`, for which no seat exists. The effects have facts
        in that case, and are empty otherwise.
        """
        effects = no_effects()
        if epoch != self.member.epoch or not self.member.holds_seat:
            return effects
        if any(number > self.acceptors[register].promised for register, number in commitments.items()):
            self.member.disk, self.member.active_epoch, self.join = new_disk, NEVER_ACTIVE, None
            self.acceptors.update({register: Acceptor() for register in ALL_REGISTERS})
            effects.facts.update({DISK_FACT: new_disk, ACTIVE_EPOCH_FACT: NEVER_ACTIVE})
        return effects
