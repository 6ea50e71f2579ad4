"""Has the controllers agree that previous owners have released slices: one change of the slice table for all
releases that wait. Until then the new owner is granted nothing.
"""

from collections.abc import Callable
from typing import Any

from .consensus.registers import TABLE
from .key_leases import ReleasedKeys
from .placement import clear_previous_owner
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO


class KeyReleases:
    """Released keys that are not in the table yet. One proposal is under way at a time."""

    def __init__(self, quorum_io: QuorumIO) -> None:
        self.quorum_io = quorum_io
        self.waiting: dict[tuple, ReleasedKeys] = {}
        self.is_proposing = False
        self.on_progress: Callable[[], None] = lambda: None  # a proposal has ended
        self.on_all_finished: Callable[[], None] = lambda: None  # and nothing waits any more

    def add(self, released: ReleasedKeys) -> None:
        """Have the controllers agree on a release, with the next proposal."""
        self.waiting[released.service, released.starts, released.fencing_token] = released
        if self.is_proposing:
            return
        self.is_proposing, batch = True, list(self.waiting.values())
        self.waiting.clear()
        self.quorum_io.propose(
            TABLE,
            lambda table: without_previous_owners(table, batch),
            self._proposal_finished,
            PROPOSAL_TIMEOUT,
        )

    def _proposal_finished(self, outcome: Any) -> None:
        self.is_proposing = False
        self.on_progress()
        if self.waiting:
            self.add(next(iter(self.waiting.values())))
        else:
            self.on_all_finished()


def without_previous_owners(table: Any, batch: list[ReleasedKeys]) -> tuple[Any, bool]:
    """The table in which these slices are free of their previous owners, None where that changes nothing;
    whether it does.
    """
    made, has_changed = table, False
    for released in batch:
        after, was_found = clear_previous_owner(
            made,
            released.service,
            released.starts,
            released.fencing_token,
            released.previous_owner,
            released.handover,
        )
        if was_found:
            made, has_changed = after, True
    return ({**made, "n": table["n"] + 1}, True) if has_changed else (None, False)
