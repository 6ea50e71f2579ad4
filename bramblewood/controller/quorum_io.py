"""Carries out what the consensus asks for: writes first, messages and answers once these are safe on disk."""

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
from .consensus.voter_set import founding_voters
from .content_agreement import ContentAgreement
from .register_values import require_register_value, require_values
from .runtime import TICK_INTERVAL, Runtime
from .storage import Storage

# s for an operator's or worker's call: callers go elsewhere after a second of silence; PROTOCOL
AGREEMENT_TIMEOUT = 0.85
PROPOSAL_TIMEOUT = 1.0  # s for a proposal that no caller waits for
STALL_TIMEOUT = 0.3  # s that a write may take before this controller leaves the proposing to others
DISK_PROBE_INTERVAL = 0.5  # s between writes that look whether a disk which refuses them has recovered
EPOCH_FACTS = {VOTER_SET_FACT, ACTIVE_EPOCH_FACT}


class QuorumIO:
    """The consensus replica of this controller, its writes under way, and proposals to its quorum.

    Invariant: nothing that rests on a write is sent or answered before the write is durable. Where a write
    fails, its proposals are answered with None: their outcome is unclear. Nothing is decided together with a
    controller whose content differs from ours.
    """

    consensus: ConsensusReplica

    def __init__(self, runtime: Runtime, storage: Storage) -> None:
        self.runtime, self.storage = runtime, storage
        self.content_agreement = ContentAgreement(storage.digests)
        self.incarnation = int.from_bytes(os.urandom(4), "big")
        self.pending_writes = PendingWrites({})
        self.writes_in_flight = 0
        self.writing_since: float | None = None  # of the oldest write under way, own clock
        self.refusing_since: float | None = None  # of the first write that failed since the last safe one
        self.next_probe_at = 0.0
        self.announced_epoch = (-1, False)  # epoch, and whether this is an active voter of it
        self.on_epoch_changed: Callable[[], None] = lambda: None  # once it is on disk
        self.on_progress: Callable[[], None] = lambda: None  # after each step that may have chosen something

    def restore(
        self, facts: dict[str, Any], registers: dict[str, tuple], replaces_damaged: bool = False
    ) -> None:
        """Begin from what the disk holds. An empty one is new, whether or not there was another before.

        replaces_damaged: a damaged database was kept aside. Others may hold what was acknowledged since the
        first boot, so this controller takes no part in founding the first voter set, whatever `FirstBoot` is.
        """
        settings = self.runtime.settings
        voter_set, active_epoch = facts.get(VOTER_SET_FACT), facts.get(ACTIVE_EPOCH_FACT, -1)
        if voter_set is None and "voters" in facts:  # of form 1, which knew no epochs
            voter_set = {"n": 1, "voters": dict.fromkeys(facts["voters"], ""), "before": {}}
            active_epoch = 1 if "born" in facts else -1
        elif voter_set is None and not replaces_damaged and self._is_founding_seed():
            voter_set, active_epoch = founding_voters(settings.seed_hosts()), 0
        disk = facts.get(DISK_FACT) or new_disk_name()
        self.consensus = ConsensusReplica(
            settings.ip, disk, self.incarnation, registers, voter_set, active_epoch
        )
        self.consensus.require_value = require_register_value
        self.pending_writes.facts = {DISK_FACT: disk, ACTIVE_EPOCH_FACT: active_epoch}
        if voter_set is not None:
            self.pending_writes.facts[VOTER_SET_FACT] = voter_set

    def _is_founding_seed(self) -> bool:
        """Whether this controller takes part in the founding of the first voter set."""
        settings = self.runtime.settings
        return settings.first_boot and settings.ip in settings.seed_hosts()

    def versions(self) -> dict[str, int]:
        """The newest versions known to be chosen, by register."""
        return {register: self.consensus.version(register) for register in DATA_REGISTERS}

    def is_durably_voting(self) -> bool:
        """Whether this is an active voter of its epoch, on disk too."""
        return self.consensus.is_active_voter and not self.pending_writes.facts.keys() & EPOCH_FACTS

    def is_stalled(self, now: float) -> bool:
        """Whether the disk has not answered a write for too long."""
        return self.writing_since is not None and now - self.writing_since > STALL_TIMEOUT

    def disk_failing_for(self, now: float) -> float:
        """For how long (s) the disk has refused each write, or has not answered one; 0.0 where it is well."""
        begun = [self.writing_since] if self.is_stalled(now) else []
        begun += [self.refusing_since] if self.refusing_since is not None else []
        return now - min(begun) if begun else 0.0

    def probe_failing_disk(self, now: float) -> None:
        """Try a write from time to time while the disk refuses them, so that its recovery is noticed."""
        if self.refusing_since is not None and not self.writes_in_flight and now >= self.next_probe_at:
            self.next_probe_at = now + DISK_PROBE_INTERVAL
            self.write_facts({DISK_FACT: self.consensus.disk}, lambda: None)

    def propose(
        self, register: str, change: Callable, on_outcome: Callable[[Any], None], timeout: float
    ) -> None:
        """Propose a change of a register's value to the quorum.

        change(value) gives the next value, None for none, and an outcome; on_outcome gets that outcome, or
        None where it stayed unclear for `timeout` s.
        """
        self.execute(self.consensus.propose(self.runtime.now(), register, change, on_outcome, timeout))

    async def agree(self, register: str, change: Callable) -> Any:
        """The outcome of a proposal; None where there was none in time, also after a thaw of this machine."""
        waiting, asked_at = self.runtime.loop.create_future(), self.runtime.now()
        self.propose(
            register,
            change,
            lambda outcome: waiting.done() or waiting.set_result(outcome),
            AGREEMENT_TIMEOUT,
        )
        try:
            async with asyncio.timeout(AGREEMENT_TIMEOUT + TICK_INTERVAL):
                outcome = await waiting
        except TimeoutError:
            return None
        in_time = self.runtime.now() <= asked_at + AGREEMENT_TIMEOUT + TICK_INTERVAL
        return outcome if in_time else None

    def handle_consensus_message(self, peer: str, message: dict) -> None:
        """Take a message of the consensus, in its wire form; none of a peer whose content differs. Raises
        PeerMessageError.
        """
        if self.content_agreement.differs_from(peer):
            return
        require_values(message)
        consensus = self.consensus
        self.execute(consensus.receive(self.runtime.now(), peer, message))
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
        """Write facts that consensus knows nothing of, None to remove one, and call on_durable once they are
        safe on disk. Where the disk refuses them nothing is called, and nothing waits for them.
        """
        effects = no_effects()
        effects.answer(lambda outcome: outcome and on_durable(), True)
        self._write(effects, [], facts)

    def execute(self, effects: Effects) -> None:
        """Write what these effects ask for, then send and answer."""
        rows, facts = self.pending_writes.prepare_write(effects)
        if not rows and not facts:
            if effects.sends or effects.answers:
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
            if self.refusing_since is None:
                self.refusing_since = self.runtime.now()
            self.runtime.log.error("write failed", step="write", problem=problem)
            unclear = [(tag, None) for tag, _ in effects.answers]
            self._send_and_answer(no_effects()._replace(answers=unclear))
            return
        self.refusing_since = None
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
        for on_outcome, outcome in effects.answers:
            if callable(on_outcome):
                loop.call_soon(on_outcome, outcome)
        if effects.facts.keys() & EPOCH_FACTS:
            self._announce_epoch()
        self.on_progress()

    def _announce_epoch(self) -> None:
        epoch = (self.consensus.epoch, self.consensus.is_active_voter)
        if epoch != self.announced_epoch:
            self.announced_epoch = epoch
            self.on_epoch_changed()


def new_disk_name() -> str:
    """A name for a disk, or for one that goes on as another."""
    return f"{int.from_bytes(os.urandom(4), 'big'):08x}"
