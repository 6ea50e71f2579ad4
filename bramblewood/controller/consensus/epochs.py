"""From one set of voters to the next: following a set that is chosen, sealing the epoch before, and becoming
active in the new one.

A voter of epoch e that knows of e + 1 is sealed: it answers no proposal of e any more. A voter of e + 1
becomes active once it holds what a majority of sealed voters of e held, or what one active voter of e + 1
holds; both include all that e has chosen. A voter that was never active in e holds nothing of it, and its
seal counts, as it will accept nothing there. So nothing is chosen in e + 1 before e is sealed by a majority,
and nothing that e chose is missing there.
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
from .voter_set import VoterSet, is_voter, majority


class StateReport(NamedTuple):
    """What a voter of the epoch before, or of this one, holds. active_epoch: the newest it was active in."""

    active_epoch: int
    registers: dict[str, NumberedValue]


class EpochJoin:
    """On the way into an epoch: what voters have reported, and when to ask again."""

    def __init__(self) -> None:
        self.reports: dict[str, StateReport] = {}  # by voter
        self.next_request_at = 0.0
        self.interval = PHASE_TIMEOUT / 2  # s between requests, doubled with each


class SeatState(Enum):
    """What this disk is to an epoch that others ask it about."""

    ACTIVE = "active"  # a voter of it, and active
    SEALED = "sealed"  # was active in the one before
    UNUSED = "unused"  # had a seat in the one before, and was never active there


class EpochTransition:
    """This controller's way into the epoch that it knows of."""

    def __init__(
        self, member: LocalMember, acceptors: dict[str, Acceptor], learner: Learner, proposer: Proposer
    ) -> None:
        self.member, self.acceptors = member, acceptors
        self.learner, self.proposer = learner, proposer
        self.join: EpochJoin | None = None  # while not active

    def adopt_voter_set(self, now: float, voter_set: VoterSet, effects: Effects) -> None:
        """Follow a set of voters that is known to be chosen; no earlier epoch is voted in any more."""
        if voter_set["n"] <= self.member.epoch:
            return
        self.member.voter_set, self.join = voter_set, EpochJoin()
        effects.facts[VOTER_SET_FACT] = voter_set
        self.learner.clear_voter_records()
        self.proposer.restart_rounds(now)
        if self.member.holds_seat:
            self.request_state(now, effects)

    def tick(self, now: float, effects: Effects) -> None:
        """Ask again for what the epoch begins with, while this voter is not active in it."""
        if self.member.holds_seat and not self.member.is_active_voter:
            self.request_state(now, effects)

    # --- becoming active

    def request_state(self, now: float, effects: Effects) -> None:
        """Ask for what this epoch is to hold: the voters of the one before, and those who are active."""
        join = self.join = self.join or EpochJoin()
        self.add_own_report(join)
        if join.reports and self.try_activate(now, effects):
            return
        if now < join.next_request_at:
            return
        join.interval = min(2 * join.interval, MAX_JOIN_REQUEST_INTERVAL)
        join.next_request_at = now + join.interval
        held = {
            register: max(acceptor.accepted, self.learner.chosen[register].proposal_number)
            for register, acceptor in self.acceptors.items()
        }
        request = JoinEpoch(self.member.voter_set, held)
        peers = {*self.member.voter_set["before"], *self.member.voters} - {self.member.address}
        for peer in sorted(peers):  # who reported as sealed may be active by now
            effects.send(peer, request._replace(repeated=peer in join.reports))

    def add_own_report(self, join: EpochJoin) -> None:
        """This disk's own report, where it had a seat in the epoch before."""
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
        """What this disk is to the epoch of this set of voters; None: nothing that helps to begin it."""
        member, epoch, before = self.member, voter_set["n"], voter_set["before"]
        if member.active_epoch == epoch and is_voter(voter_set["voters"], member.address, member.disk):
            return SeatState.ACTIVE
        if member.active_epoch == epoch - 1 and is_voter(before, member.address, member.disk):
            return SeatState.SEALED
        if member.active_epoch < epoch - 1 and before.get(member.address) == member.disk:
            return SeatState.UNUSED
        return None

    def on_epoch_state(self, now: float, peer: str, state: EpochState, effects: Effects) -> None:
        """A voter reports what its disk holds; be active once enough of them have."""
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
        """The registers of a report, with the values that it left out; None where one of these is no longer
        held here: the next request says so.
        """
        registers = {}
        for register, (accepted, value) in state.registers.items():
            if register not in self.acceptors:
                continue  # of a program that knows more registers
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
        """Become active if what was reported holds all that the epoch before has chosen. Returns whether."""
        member, reports = self.member, self.join.reports.values()
        from_active = any(report.active_epoch == member.epoch for report in reports)
        if not from_active and len(reports) < majority(member.voter_set["before"]):
            return False
        registers = [report.registers for report in reports if report.active_epoch >= member.epoch - 1]
        if not registers:
            return False  # those who chose this epoch were active in the one before: one is missing
        for register, acceptor in self.acceptors.items():
            known = [*(held[register] for held in registers), self.learner.chosen[register]]
            newest, value = max(known, key=lambda held: held.proposal_number)
            acceptor.promised, acceptor.accepted, acceptor.value = newest, newest, value
            effects.write(register, acceptor)
        member.active_epoch, self.join = member.epoch, None
        effects.facts.update({VOTER_SET_FACT: member.voter_set, ACTIVE_EPOCH_FACT: member.active_epoch})
        return True

    # --- answering others

    def on_join_epoch(self, now: float, peer: str, request: JoinEpoch, effects: Effects) -> None:
        """A voter joins an epoch: tell what this disk holds of it, or of the one before, which that seals."""
        member, epoch = self.member, request.voter_set["n"]
        self.adopt_voter_set(now, request.voter_set, effects)
        if member.epoch > epoch:
            effects.send(peer, EpochNotice(member.voter_set))
        seat = self.seat_state(request.voter_set)
        if seat is None or member.epoch < epoch or request.repeated and seat is not SeatState.ACTIVE:
            return
        registers = {} if seat is SeatState.UNUSED else self.accepted_states(request.held)
        effects.facts[VOTER_SET_FACT] = member.voter_set  # the seal may still be on its way to the disk
        effects.send(peer, EpochState(epoch, member.active_epoch, member.disk, registers))

    def accepted_states(self, held: dict[str, ProposalNumber]) -> dict[str, AcceptedState]:
        """What this disk has accepted, without the values that the asking voter holds."""
        registers = {}
        for register, acceptor in self.acceptors.items():
            is_held = held.get(register, NO_PROPOSAL) == acceptor.accepted
            registers[register] = AcceptedState(acceptor.accepted, OMITTED if is_held else acceptor.value)
        return registers

    # --- an older state of the disk

    def check_disk_rollback(
        self, epoch: int, commitments: dict[str, ProposalNumber], new_disk: str
    ) -> Effects:
        """Another controller tells what it has heard this voter promise or accept in its epoch.

        Where that is more than is known here, an older state of the disk has come back: what it forgot may
        bind it, so it goes on as a new member without a seat, by the name of `new_disk`. Nothing else can
        look like it, as nothing is told before it is on disk. Returns effects with facts in that case.
        """
        effects = no_effects()
        if epoch != self.member.epoch or not self.member.holds_seat:
            return effects
        if any(number > self.acceptors[register].promised for register, number in commitments.items()):
            self.member.disk, self.member.active_epoch, self.join = new_disk, NEVER_ACTIVE, None
            self.acceptors.update({register: Acceptor() for register in ALL_REGISTERS})
            effects.facts.update({DISK_FACT: new_disk, ACTIVE_EPOCH_FACT: NEVER_ACTIVE})
        return effects
