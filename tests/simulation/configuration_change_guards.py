"""Replicas and decisions on configurations, each with one guard removed.

The feature `configuration_changes.feature` checks that the simulations notice the missing guard.
"""

from functools import partial
from typing import Any

from bramblewood.common.configuration import Configuration
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.consensus.acceptor import NumberedValue
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.local_member import LocalMember
from bramblewood.controller.consensus.messages import Promise
from bramblewood.controller.consensus.proposal_round import ProposalRound
from bramblewood.controller.consensus.proposer import Proposer
from bramblewood.controller.consensus.replica import ConsensusReplica


class QuorumBelowMajority(ConsensusReplica):
    """Uses a quorum of one voter less than a majority."""

    class member_class(LocalMember):
        @property
        def majority(self) -> int:
            return super().majority - 1


class TreatsAcceptedAsChosen(ConsensusReplica):
    """Treats the newest value in any promise as chosen, although only a minority may have accepted it."""

    class proposer_class(Proposer):
        def on_promise(self, now: float, peer: str, promise: Promise, effects: Effects) -> None:
            proposal_round = self.current_round(promise.register, promise.proposal_number)
            if proposal_round and proposal_round.promises and promise.has_value:
                promised = NumberedValue(promise.accepted, promise.value)
                newest = max(
                    [*proposal_round.promises.values(), promised],
                    key=lambda numbered: numbered.proposal_number,
                )
                proposal_round.promises = dict.fromkeys(proposal_round.promises, newest)
                promise = promise._replace(accepted=newest.proposal_number, value=newest.value)
            super().on_promise(now, peer, promise, effects)


class NoBackoff(ConsensusReplica):
    """Starts rounds without waiting for those of other proposers."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.proposer.backoff.must_wait = lambda now, register: False


class AddsChangesToStartedRound(NoBackoff):
    """Adds changes to a round that has already started.

    It also has no backoff, because no invariant depends on the backoff.
    """

    class proposer_class(Proposer):
        def on_promise(self, now: float, peer: str, promise: Promise, effects: Effects) -> None:
            if proposal_round := self.current_round(promise.register, promise.proposal_number):
                proposal_round.batch = list(self.rounds[proposal_round.register])
            super().on_promise(now, peer, promise, effects)


class OneChangePerRound(ConsensusReplica):
    """Proposes each change in a round of its own."""

    class proposer_class(Proposer):
        def start_round(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
            proposal_round.batch = proposal_round.batch[:1]
            super().start_round(now, proposal_round, effects)


# Keeps few digests, so that a short simulated run discards digests as a real cluster does after thousands of
# changes.
apply_with_few_digests = partial(apply_configuration, max_digests=6)


def reject_discarded_revisions(requested: Configuration, current: dict | None) -> tuple:
    """Rejects a configuration whose digest may have been discarded, instead of answering with status 503."""
    return apply_with_few_digests(requested, {**current, "forgotten": 0} if current else None)


def reject_repeats(requested: Configuration, current: dict | None) -> tuple:
    """Rejects a configuration that is put again, instead of acknowledging it again."""
    is_repeat = current and requested.digest in current["past"].values()
    return (None, (412, "")) if is_repeat else apply_with_few_digests(requested, current)


def match_repeats_by_revision(requested: Configuration, current: dict | None) -> tuple:
    """Acknowledges any configuration whose revision was in force, whatever its digest."""
    is_known_revision = current and str(requested.revision) in current["past"]
    return (None, (200, "")) if is_known_revision else apply_with_few_digests(requested, current)


def leave_rejections_unrecorded(requested: Configuration, current: dict | None) -> tuple:
    """Rejects a configuration with an unknown parent without recording that in the register."""
    next_value, answer = apply_with_few_digests(requested, current)
    return (next_value if answer[0] == 200 else None), answer


def ignore_parent(requested: Configuration, current: dict | None) -> tuple:
    """Accepts any configuration with a newer revision, whatever its parent."""
    is_newer = current and requested.revision > current["n"]
    return apply_with_few_digests(
        requested._replace(parent_revision=current["n"]) if is_newer else requested, current
    )
