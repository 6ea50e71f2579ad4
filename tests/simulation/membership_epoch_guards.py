"""Removes guards of consensus and membership by name. Tests show that a simulation detects their absence.

A guard is a check or a step of the production code without which a rule can be broken.
`GUARDS` has, by the name of the guard, a function that returns a context manager. The guard is removed while
the context is open.
"""

import contextlib
from typing import Any
from unittest import mock

from bramblewood.controller import voter_changes
from bramblewood.controller.consensus import epochs, local_member
from bramblewood.controller.consensus.effects import PendingWrites, no_effects
from bramblewood.controller.consensus.epochs import EpochTransition
from bramblewood.controller.consensus.local_member import NEVER_ACTIVE, LocalMember
from bramblewood.controller.consensus.peer_status import PeerStatus
from bramblewood.controller.consensus.proposer import Proposer
from bramblewood.controller.consensus.replica import ConsensusReplica


def accept_proposals_of_any_epoch(_unused: Any) -> Any:
    """Lets a voter handle proposals of other epochs like those of its current epoch."""
    receive = ConsensusReplica.receive

    def unguarded(self: ConsensusReplica, now: float, peer: str, message: dict) -> Any:
        if message["k"] in ("prepare", "accept") and self.is_active_voter:
            member, voter_set = self.member, self.voter_set
            member.voter_set = {**voter_set, "n": tuple(message["b"])[0]}
            member.active_epoch = self.epoch
            effects = receive(self, now, peer, message)
            member.voter_set, member.active_epoch = voter_set, voter_set["n"]
            return effects
        return receive(self, now, peer, message)

    return mock.patch.object(ConsensusReplica, "receive", unguarded)


def accept_any_disk(_unused: Any) -> Any:
    """Lets an address vote with any disk, even if the seat names another one."""
    stack = contextlib.ExitStack()
    for module in (local_member, epochs):
        by_address = lambda voters, address, disk: address in voters  # noqa: E731
        stack.enter_context(mock.patch.object(module, "is_voter", by_address))
    has_seat = property(lambda self: self.address in self.voters)
    stack.enter_context(mock.patch.object(LocalMember, "holds_seat", has_seat))
    return stack


def activate_with_too_few_seals(_unused: Any) -> Any:
    """Lets a voter become active with one seal fewer than a majority."""
    try_activate = EpochTransition.try_activate

    def unguarded(self: EpochTransition, now: float, effects: Any) -> bool:
        with mock.patch.object(epochs, "majority_size", lambda voters: max(1, len(voters) // 2)):
            return try_activate(self, now, effects)

    return mock.patch.object(EpochTransition, "try_activate", unguarded)


def count_carried_over_as_chosen(_unused: Any) -> Any:
    """Counts a value that a majority holds as chosen even if it was carried over from an earlier epoch."""
    return mock.patch.object(
        Proposer,
        "is_already_chosen",
        lambda self, number, proposal_round: all(
            promise.proposal_number == number for promise in proposal_round.promises.values()
        ),
    )


def report_before_seal_is_durable(_unused: Any) -> Any:
    """Lets a sealed voter report its state before its seal is durable."""
    on_join_epoch = EpochTransition.on_join_epoch

    def unguarded(self: EpochTransition, now: float, peer: str, request: Any, effects: Any) -> None:
        on_join_epoch(self, now, peer, request, effects)
        effects.facts.pop("members", None)

    return mock.patch.object(EpochTransition, "on_join_epoch", unguarded)


def ignore_seals_of_unused_seats(_unused: Any) -> Any:
    """Does not count the seal of a voter that was never active in the previous epoch."""
    try_activate = EpochTransition.try_activate

    def unguarded(self: EpochTransition, now: float, effects: Any) -> bool:
        reports, previous_epoch = self.join.reports, self.member.epoch - 1
        self.join.reports = {
            peer: report for peer, report in reports.items() if report.active_epoch >= previous_epoch
        }
        return try_activate(self, now, effects)

    return mock.patch.object(EpochTransition, "try_activate", unguarded)


def vote_before_active(_unused: Any) -> Any:
    """Lets a member vote before it holds the state with which the epoch began."""
    return mock.patch.object(LocalMember, "is_active_voter", property(lambda self: self.matches_seat))


def count_reachable_as_active(_unused: Any) -> Any:
    """Counts every voter whose heartbeats arrive as active, whatever its epoch.

    Voter sets then change too early, and leaving voters shut down too early.
    """
    return mock.patch.object(PeerStatus, "is_active_in", lambda peer, voter_set, address: True)


def ignore_disk_rollback(_unused: Any) -> Any:
    """Ignores that a disk was rolled back to an older state."""
    return mock.patch.object(ConsensusReplica, "check_disk_rollback", lambda *_: no_effects())


def shut_down_at_once(_unused: Any) -> Any:
    """Lets a controller shut down at once, even if no other voter has on disk what it has accepted."""
    return mock.patch.object(voter_changes, "is_vote_dispensable", lambda *_: True)


def forget_rows_of_refused_write(_unused: Any) -> Any:
    """Repeats the facts of a refused write without the rows that belong to them."""
    return mock.patch.object(
        PendingWrites,
        "prepare_write",
        lambda self, effects: (self.facts.update(effects.facts), (effects.writes, dict(self.facts)))[1],
    )


def report_unused_seat_after_stop(_unused: Any) -> Any:
    """Lets a voter that has stopped voting report its seat as unused, without what it has accepted."""

    def unguarded(self: ConsensusReplica) -> None:
        self.member.active_epoch = NEVER_ACTIVE

    return mock.patch.object(ConsensusReplica, "stop_voting", unguarded)


GUARDS = {
    "proposals count only in their epoch": accept_proposals_of_any_epoch,
    "seats belong to one disk": accept_any_disk,
    "a voter needs a majority of seals": activate_with_too_few_seals,
    "carried-over values do not count as chosen": count_carried_over_as_chosen,
    "seals are durable before replies": report_before_seal_is_durable,
    "seals of unused seats count": ignore_seals_of_unused_seats,
    "members vote only once active": vote_before_active,
    "only voters of the current epoch count as active": count_reachable_as_active,
    "a disk rollback is detected": ignore_disk_rollback,
    "a leaving voter waits until others hold its acceptances": shut_down_at_once,
    "rows of a refused write are repeated": forget_rows_of_refused_write,
    "a voter that stopped voting reports no state": report_unused_seat_after_stop,
}


def without_guard(guard: str) -> contextlib.AbstractContextManager:
    """Returns a context manager that removes this guard, or that does nothing if `guard` is ""."""
    return GUARDS[guard](None) if guard else contextlib.nullcontext()
