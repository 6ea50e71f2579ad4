"""Proposes the removal of previous owners from the agreed slice table after they have released their slices.

One proposal covers all pending releases. The new owner of a slice receives no grant until the change is
agreed.
"""

from collections.abc import Callable
from typing import Any

from .consensus.registers import TABLE
from .key_leases import ReleasedKeys
from .placement import clear_previous_owner
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO


class KeyReleases:
    """The released slices that the agreed table does not show yet. At most one proposal is in flight."""

    def __init__(self, quorum_io: QuorumIO) -> None:
        self.quorum_io = quorum_io
        # releases that no proposal contains yet, by service, first keys and fencing token
        self.pending: dict[tuple, ReleasedKeys] = {}
        self.proposed: list[ReleasedKeys] = []  # the releases in the proposal in flight
        self.is_proposing, self.proposed = False, []
        self.on_proposal_finished: Callable[[], None] = lambda: None  # called when a proposal has ended
        # called after on_proposal_finished when no release is pending any more
        self.on_all_released: Callable[[], None] = lambda: None

    def contains(self, released: ReleasedKeys) -> bool:
        """Whether an equal release is pending or in the proposal in flight, whatever its handover."""
        known = [*self.pending.values(), *self.proposed]
        return any(release[:-1] == released[:-1] for release in known)

    def add(self, released: ReleasedKeys) -> None:
        """Propose a release with all pending ones, as soon as no other proposal is in flight."""
        self.pending[released.service, released.starts, released.fencing_token] = released
        if self.is_proposing:
            return
        self.is_proposing, batch = True, list(self.pending.values())
        self.pending.clear()
        self.proposed = batch
        self.quorum_io.propose(
            TABLE,
            lambda table: without_previous_owners(table, batch),
            self._proposal_finished,
            PROPOSAL_TIMEOUT,
        )

    def _proposal_finished(self, outcome: Any) -> None:
        self.is_proposing, self.proposed = False, []
        self.on_proposal_finished()
        if self.pending:
            self.add(next(iter(self.pending.values())))
        else:
            self.on_all_released()


def without_previous_owners(table: Any, batch: list[ReleasedKeys]) -> tuple[Any, bool]:
    """Return the table without the previous owners of these slices, and whether it differs from `table`.

    The returned table is None if it does not differ, because no slice has the previous owner and the fencing
    token of its release any more.
    """
    changed_table, has_changed = table, False
    for released in batch:
        candidate, was_found = clear_previous_owner(
            changed_table,
            released.service,
            released.starts,
            released.fencing_token,
            released.previous_owner,
            released.handover,
        )
        if was_found:
            changed_table, has_changed = candidate, True
    return ({**changed_table, "n": table["n"] + 1}, True) if has_changed else (None, False)
