"""Applies the effects of consensus steps: writes first, messages and outcomes once the writes are durable."""

import asyncio
import os
from collections.abc import Callable
from typing import Any

from .consensus.effects import (
    ACTIVE_EPOCH_FACT,
    DISK_FACT,
    VOTER_SET_FACT,
    Effects,
    PendingWrites,
    no_effects,
)
from .consensus.proposal_number import format_proposal_number
from .consensus.registers import DATA_REGISTERS
from .consensus.replica import ConsensusReplica
from .consensus.voter_set import founding_voter_set
from .content_comparison import ContentComparison
from .register_values import validate_message_values, validate_register_value
from .runtime import TICK_INTERVAL, Runtime
from .storage import Storage

# s until an operator's or worker's call fails. PROTOCOL lets callers retry elsewhere after 1 s without a
# response, so a call fails before that.
AGREEMENT_TIMEOUT = 0.85
PROPOSAL_TIMEOUT = 1.0  # s until a proposal without a waiting caller fails
STALL_TIMEOUT = 0.3  # s that a write may take before this controller ceases to be current
DISK_PROBE_INTERVAL = 0.5  # s between test writes to a disk that refuses writes
EPOCH_FACTS = {VOTER_SET_FACT, ACTIVE_EPOCH_FACT}


class QuorumIO:
    """Connects the consensus replica of this controller to its disk, its peers and its proposers.

    Invariants: no message or outcome that depends on a write leaves before the write is durable. Where a
    write fails, the outcome of its proposals is unknown, and their callbacks receive None. Consensus messages
    from a controller whose content differs from the content held here are dropped (`content_comparison.py`).
    """

    consensus: ConsensusReplica

    def __init__(self, runtime: Runtime, storage: Storage) -> None:
        self.runtime, self.storage = runtime, storage
        self.content_comparison = ContentComparison(storage.digests)
        self.incarnation = int.from_bytes(os.urandom(4), "big")
        self.pending_writes = PendingWrites({})
        self.writes_in_flight = 0
        # s, own clock: start of the present wait for any write to finish; None while no write is in flight
        self.writing_since: float | None = None
        # s, own clock: first failed write since the last successful one; None while writes succeed
        self.writes_failing_since: float | None = None
        self.next_probe_at = 0.0
        self.announced_epoch = (-1, False)  # as of the last call of on_epoch_changed: epoch, is_active_voter
        # called once a change of the epoch, or of the active vote of this controller, is durable
        self.on_epoch_changed: Callable[[], None] = lambda: None
        # called after each step that may choose a value
        self.on_consensus_step: Callable[[], None] = lambda: None

    def restore(
        self, facts: dict[str, Any], registers: dict[str, tuple], has_quarantined_database: bool = False
    ) -> None:
        """Create the replica from the contents of the disk.

        An empty disk counts as new and gets a new name, even where it replaces an earlier disk.

        has_quarantined_database: whether a damaged database was quarantined. Other controllers may hold
        values that were acknowledged since the first boot, so this controller does not help to found the
        first voter set, whatever the value of `FirstBoot`.
        """
        settings = self.runtime.settings
        voter_set, active_epoch = facts.get(VOTER_SET_FACT), facts.get(ACTIVE_EPOCH_FACT, -1)
        if voter_set is None and "voters" in facts:  # schema version 1 has no epochs
            voter_set = {"n": 1, "voters": dict.fromkeys(facts["voters"], ""), "before": {}}
            active_epoch = 1 if "born" in facts else -1
        elif voter_set is None and not has_quarantined_database and self._is_founding_seed():
            voter_set, active_epoch = founding_voter_set(settings.seed_hosts()), 0
        disk = facts.get(DISK_FACT) or new_disk_name()
        self.consensus = ConsensusReplica(
            settings.ip, disk, self.incarnation, registers, voter_set, active_epoch
        )
        self.consensus.validate_value = validate_register_value
        self.pending_writes.facts = {DISK_FACT: disk, ACTIVE_EPOCH_FACT: active_epoch}
        if voter_set is not None:
            self.pending_writes.facts[VOTER_SET_FACT] = voter_set

    def _is_founding_seed(self) -> bool:
        """Whether this controller is one of the seeds that found the first voter set on a first boot."""
        settings = self.runtime.settings
        return settings.first_boot and settings.ip in settings.seed_hosts()

    def versions(self) -> dict[str, int]:
        """The newest version known to be chosen, by data register."""
        return {register: self.consensus.version(register) for register in DATA_REGISTERS}

    def is_durably_voting(self) -> bool:
        """Whether this controller is an active voter of its epoch, and the epoch is durable on its disk."""
        return self.consensus.is_active_voter and not self.pending_writes.facts.keys() & EPOCH_FACTS

    def is_stalled(self, now: float) -> bool:
        """Whether writes are in flight and none has finished for more than STALL_TIMEOUT s."""
        return self.writing_since is not None and now - self.writing_since > STALL_TIMEOUT

    def disk_failing_for(self, now: float) -> float:
        """The time (s) for which the disk has refused each write, or has stalled; 0.0 for a healthy disk."""
        failing_since = [self.writing_since] if self.is_stalled(now) else []
        failing_since += [self.writes_failing_since] if self.writes_failing_since is not None else []
        return now - min(failing_since) if failing_since else 0.0

    def probe_failing_disk(self, now: float) -> None:
        """Send a test write every DISK_PROBE_INTERVAL s while the disk refuses writes, to detect recovery."""
        if self.writes_failing_since is not None and not self.writes_in_flight and now >= self.next_probe_at:
            self.next_probe_at = now + DISK_PROBE_INTERVAL
            self.write_facts({DISK_FACT: self.consensus.disk}, lambda: None)

    def propose(
        self, register: str, change: Callable, on_outcome: Callable[[Any], None], timeout: float
    ) -> None:
        """Propose a change of a register's value to the quorum.

        change(value) returns the next value, or None to leave it unchanged, and an outcome. on_outcome is
        called with that outcome, or with None where it is still unknown after `timeout` s.
        """
        self.apply_effects(self.consensus.propose(self.runtime.now(), register, change, on_outcome, timeout))

    async def propose_and_wait(self, register: str, change: Callable) -> Any:
        """Propose a change as `propose` does, and return its outcome.

        Returns None where the outcome is unknown or arrives too late. The clock is checked again after the
        wait, because an outcome that was available before a freeze of the process may be out of date.
        """
        outcome_future, proposed_at = self.runtime.loop.create_future(), self.runtime.now()
        self.propose(
            register,
            change,
            lambda outcome: outcome_future.done() or outcome_future.set_result(outcome),
            AGREEMENT_TIMEOUT,
        )
        try:
            async with asyncio.timeout(AGREEMENT_TIMEOUT + TICK_INTERVAL):
                outcome = await outcome_future
        except TimeoutError:
            return None
        is_in_time = self.runtime.now() <= proposed_at + AGREEMENT_TIMEOUT + TICK_INTERVAL
        return outcome if is_in_time else None

    def handle_consensus_message(self, peer: str, message: dict) -> None:
        """Process a consensus message in its wire form. Messages of a peer whose content differs are dropped.

        Raises PeerMessageError for a malformed message.
        """
        if self.content_comparison.differs_from(peer):
            return
        validate_message_values(message)
        consensus = self.consensus
        self.apply_effects(consensus.receive(self.runtime.now(), peer, message))
        rejection = consensus.take_last_rejection()
        if rejection is not None:
            rejecting_peer, proposal_number, promised = rejection
            self.runtime.log.info(
                "proposal rejected",
                step="consensus",
                peer=rejecting_peer,
                proposal_number=format_proposal_number(proposal_number),
                promised=format_proposal_number(promised),
            )

    def write_facts(self, facts: dict[str, Any], on_durable: Callable[[], None]) -> None:
        """Write facts outside a consensus step, and call on_durable once they are on disk.

        A fact with the value None is removed. Where the write fails, on_durable is never called and the write
        is not retried.
        """
        effects = no_effects()
        effects.report_outcome(lambda outcome: outcome and on_durable(), True)
        self._write(effects, [], facts)

    def apply_effects(self, effects: Effects) -> None:
        """Write the rows and facts of these effects, then send their messages and report their outcomes."""
        rows, facts = self.pending_writes.prepare_write(effects)
        if not rows and not facts:
            if effects.sends or effects.outcomes:
                self._send_and_answer(effects)
            return
        self._write(effects, rows, facts)

    def _write(self, effects: Effects, rows: list, facts: dict[str, Any]) -> None:
        if self.writing_since is None:
            self.writing_since = self.runtime.now()
        self.writes_in_flight += 1
        self.storage.write(rows, facts, lambda problem: self._write_finished(effects, rows, facts, problem))

    def _write_finished(
        self, effects: Effects, rows: list, facts: dict[str, Any], problem: str | None
    ) -> None:
        self.writes_in_flight -= 1
        self.writing_since = self.runtime.now() if self.writes_in_flight else None
        if problem:
            if self.writes_failing_since is None:
                self.writes_failing_since = self.runtime.now()
            self.runtime.log.error("write failed", step="write", problem=problem)
            unknown_outcomes = [(on_outcome, None) for on_outcome, _ in effects.outcomes]
            self._send_and_answer(no_effects()._replace(outcomes=unknown_outcomes))
            return
        self.writes_failing_since = None
        self.pending_writes.mark_durable(rows, facts)
        for register, _, accepted, _ in rows:
            self.consensus.mark_durable(register, accepted)
        self._send_and_answer(effects)

    def _send_and_answer(self, effects: Effects) -> None:
        loop, own_address = self.runtime.loop, self.runtime.own_address
        for peer, message in effects.sends:
            if peer == own_address:
                loop.call_soon(self.handle_consensus_message, own_address, message)
            else:
                self.runtime.peer_connections.send(peer, message)
        for on_outcome, outcome in effects.outcomes:
            if callable(on_outcome):
                loop.call_soon(on_outcome, outcome)
        if effects.facts.keys() & EPOCH_FACTS:
            self._announce_epoch()
        self.on_consensus_step()

    def _announce_epoch(self) -> None:
        epoch = (self.consensus.epoch, self.consensus.is_active_voter)
        if epoch != self.announced_epoch:
            self.announced_epoch = epoch
            self.on_epoch_changed()


def new_disk_name() -> str:
    """A random name for a new disk, or for one that continues under a new identity."""
    return f"{int.from_bytes(os.urandom(4), 'big'):08x}"
