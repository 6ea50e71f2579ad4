"""Replicas and decisions on configurations without one of their guards, to see that a simulation finds that
out.
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


class BelowMajority(ConsensusReplica):
    """Counts one voter less than a majority."""

    class member_class(LocalMember):
        @property
        def majority(self) -> int:
            return super().majority - 1


class TrustsMinority(ConsensusReplica):
    """Takes the newest value that it is told of for chosen, though a minority may hold it."""

    class proposer_class(Proposer):
        def on_promise(self, now: float, peer: str, promise: Promise, effects: Effects) -> None:
            proposal_round = self.current_round(promise.register, promise.proposal_number)
            if proposal_round and proposal_round.promises and promise.has_value:
                promised = NumberedValue(promise.accepted, promise.value)
                newest = max(
                    [*proposal_round.promises.values(), promised], key=lambda one: one.proposal_number
                )
                proposal_round.promises = dict.fromkeys(proposal_round.promises, newest)
                promise = promise._replace(accepted=newest.proposal_number, value=newest.value)
            super().on_promise(now, peer, promise, effects)


class NoBackoff(ConsensusReplica):
    """Waits for nobody else's round."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.proposer.backoff.must_wait = lambda now, register: False


class JoinsLate(NoBackoff):
    """Lets changes into a round that were put after it began; without backoff, as no rule rests on waits."""

    class proposer_class(Proposer):
        def on_promise(self, now: float, peer: str, promise: Promise, effects: Effects) -> None:
            if proposal_round := self.current_round(promise.register, promise.proposal_number):
                proposal_round.batch = list(self.rounds[proposal_round.register])
            super().on_promise(now, peer, promise, effects)


class NoBatches(ConsensusReplica):
    """One change in a round."""

    class proposer_class(Proposer):
        def start_round(self, now: float, proposal_round: ProposalRound, effects: Effects) -> None:
            proposal_round.batch = proposal_round.batch[:1]
            super().start_round(now, proposal_round, effects)


short_memory = partial(apply_configuration, max_digests=6)  # storms forget what hundreds of changes would


def refuses_what_was_forgotten(requested: Configuration, current: dict | None) -> tuple:
    """Refuses what it no longer knows."""
    return short_memory(requested, {**current, "forgotten": 0} if current else None)


def no_repeats(requested: Configuration, current: dict | None) -> tuple:
    """Does not know an order again."""
    known = current and requested.digest in current["past"].values()
    return (None, (412, "")) if known else short_memory(requested, current)


def repeats_by_number(requested: Configuration, current: dict | None) -> tuple:
    """Knows an order by its number alone."""
    known = current and str(requested.revision) in current["past"]
    return (None, (200, "")) if known else short_memory(requested, current)


def refusals_unrecorded(requested: Configuration, current: dict | None) -> tuple:
    """Refuses an order whose parent may still come without writing that down."""
    following, told = short_memory(requested, current)
    return (following if told[0] == 200 else None), told


def parent_ignored(requested: Configuration, current: dict | None) -> tuple:
    """Does not look at the parent."""
    fresh = current and requested.revision > current["n"]
    return short_memory(requested._replace(parent_revision=current["n"]) if fresh else requested, current)
