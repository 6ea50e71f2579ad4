"""Guards of consensus and membership, each taken out by name, to see that a simulation finds that out."""

import contextlib
from typing import Any
from unittest import mock

from bramblewood.controller import voter_changes
from bramblewood.controller.consensus import epochs, local_member
from bramblewood.controller.consensus.effects import PendingWrites, no_effects
from bramblewood.controller.consensus.epochs import EpochTransition
from bramblewood.controller.consensus.local_member import LocalMember
from bramblewood.controller.consensus.peer_status import PeerStatus
from bramblewood.controller.consensus.proposer import Proposer
from bramblewood.controller.consensus.replica import ConsensusReplica


def without_epochs(play: Any) -> Any:
    """Proposals of an earlier or later epoch count like those of one's own."""
    receive = ConsensusReplica.receive

    def careless(self: ConsensusReplica, now: float, peer: str, message: dict) -> Any:
        if message["k"] in ("prepare", "accept") and self.is_active_voter:
            member, voter_set = self.member, self.voter_set
            member.voter_set = {**voter_set, "n": tuple(message["b"])[0]}
            member.active_epoch = self.epoch
            effects = receive(self, now, peer, message)
            member.voter_set, member.active_epoch = voter_set, voter_set["n"]
            return effects
        return receive(self, now, peer, message)

    return mock.patch.object(ConsensusReplica, "receive", careless)


def without_disks(play: Any) -> Any:
    """A member is known by its address alone, whatever disk came back there."""
    stack = contextlib.ExitStack()
    for module in (local_member, epochs):
        by_address = lambda voters, address, disk: address in voters  # noqa: E731
        stack.enter_context(mock.patch.object(module, "is_voter", by_address))
    has_seat = property(lambda self: self.address in self.voters)
    stack.enter_context(mock.patch.object(LocalMember, "holds_seat", has_seat))
    return stack


def too_few_seals(play: Any) -> Any:
    """One seal less than a majority makes a voter active."""
    try_activate = EpochTransition.try_activate

    def careless(self: EpochTransition, now: float, effects: Any) -> bool:
        with mock.patch.object(epochs, "majority", lambda voters: max(1, len(voters) // 2)):
            return try_activate(self, now, effects)

    return mock.patch.object(EpochTransition, "try_activate", careless)


def carried_counts_as_chosen(play: Any) -> Any:
    """A value that all of a majority hold counts as chosen, also where it was only carried there."""
    return mock.patch.object(
        Proposer,
        "is_already_chosen",
        lambda self, number, proposal_round: all(
            promise.proposal_number == number for promise in proposal_round.promises.values()
        ),
    )


def seal_only_in_memory(play: Any) -> Any:
    """A seal's answer does not wait until the seal is on disk."""
    on_join_epoch = EpochTransition.on_join_epoch

    def careless(self: EpochTransition, now: float, peer: str, request: Any, effects: Any) -> None:
        on_join_epoch(self, now, peer, request, effects)
        effects.facts.pop("members", None)

    return mock.patch.object(EpochTransition, "on_join_epoch", careless)


def unused_seats_do_not_seal(play: Any) -> Any:
    """The seal of a voter that was never active in the epoch before does not count."""
    try_activate = EpochTransition.try_activate

    def careless(self: EpochTransition, now: float, effects: Any) -> bool:
        reports, before = self.join.reports, self.member.epoch - 1
        self.join.reports = {peer: one for peer, one in reports.items() if one.active_epoch >= before}
        return try_activate(self, now, effects)

    return mock.patch.object(EpochTransition, "try_activate", careless)


def votes_before_active(play: Any) -> Any:
    """A member votes from the moment it knows that it is one."""
    return mock.patch.object(LocalMember, "is_active_voter", property(lambda self: self.is_member))


def heard_counts_as_active(play: Any) -> Any:
    """A voter that is heard counts as active, in whatever epoch: sets change, leavers go, too soon."""
    return mock.patch.object(PeerStatus, "is_active_in", lambda peer, voter_set, address: True)


def no_rollback_check(play: Any) -> Any:
    """Nobody minds an older state of a disk."""
    return mock.patch.object(ConsensusReplica, "check_disk_rollback", lambda *_: no_effects())


def shuts_down_at_once(play: Any) -> Any:
    """A controller ends on SIGTERM, whoever holds what it holds."""
    return mock.patch.object(voter_changes, "may_shut_down", lambda *_: True)


def refused_rows_forgotten(play: Any) -> Any:
    """A refused write's rows don't come again with the fact that speaks of them."""
    return mock.patch.object(
        PendingWrites,
        "prepare_write",
        lambda self, out: (self.facts.update(out.facts), (out.writes, dict(self.facts)))[1],
    )


GUARDS = {
    "epochs of proposals": without_epochs,
    "disks of members": without_disks,
    "a majority of seals": too_few_seals,
    "what was carried is not chosen": carried_counts_as_chosen,
    "seals on disk": seal_only_in_memory,
    "seals of unused seats": unused_seats_do_not_seal,
    "voting once active": votes_before_active,
    "who counts as active": heard_counts_as_active,
    "a rolled-back disk is detected": no_rollback_check,
    "leaving once others hold it": shuts_down_at_once,
    "rows with their fact": refused_rows_forgotten,
}


def without_guard(guard: str) -> contextlib.AbstractContextManager:
    return GUARDS[guard](None) if guard else contextlib.nullcontext()
