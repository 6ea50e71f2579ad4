"""Rollouts: a service's change from its old workers to the workers of a target version.

A rollout has these phases, as they are stored and sent:

    RUNNING    The old workers serve. The workers of the target version get a small part of the requests (the
               trial), and no keys.
    SWITCHING  The workers of the target version serve. The old workers finish what they have.
    COMPLETE   As SWITCHING, and nothing is left at the old workers, so that they may be stopped.
    REVERTED   The old workers serve. The workers of the target version get nothing.

Every worker of the service whose version (`WorkerRegistration.revision`) is not the target version counts as
old. This module does no I/O and reads no clock.
"""

from typing import Any, NamedTuple

RUNNING, SWITCHING, COMPLETE, REVERTED = "running", "switching", "complete", "reverted"
PHASES = (RUNNING, SWITCHING, COMPLETE, REVERTED)


class RolloutState(NamedTuple):
    """What a proxy needs to know of a rollout."""

    target_version: str
    phase: str
    ordered_at: int  # the version of the slice table that brought the order; it identifies the rollout
    excludes_old: bool = True  # whether old workers get no requests in the phase COMPLETE

    @classmethod
    def from_row(cls, row: list[Any]) -> "RolloutState":
        """Return the state in a row, which `to_row` produced."""
        return cls(*row)

    def to_row(self) -> list[Any]:
        """Return the state in the form that is sent to proxies."""
        return [*self]

    @property
    def is_undecided(self) -> bool:
        """Whether the rollout may still be reverted."""
        return self.phase in (RUNNING, SWITCHING)

    def excludes(self, version: str) -> bool:
        """Return whether workers of a version get no new requests, other than those of a trial."""
        if version == self.target_version:
            return self.phase in (RUNNING, REVERTED)
        return self.phase == SWITCHING or (self.phase == COMPLETE and self.excludes_old)


def is_rollout_row(value: Any) -> bool:
    """Return whether a value is a row of `RolloutState`."""
    if not isinstance(value, (list, tuple)) or len(value) != len(RolloutState._fields):
        return False
    version, phase, ordered_at, excludes_old = value
    return type(version) is str and phase in PHASES and type(ordered_at) is int and type(excludes_old) is bool
