"""Commands of workers and operators, as decoded from their calls, and the rejection of invalid calls."""

from dataclasses import dataclass
from typing import Literal

from ..common.configuration import Configuration
from ..common.worker_registry import DRAINING, WorkerRegistration


@dataclass(frozen=True)
class RegisterWorker:
    """A worker's call: it is ready or draining."""

    instance_id: str
    registration: WorkerRegistration

    @property
    def is_leaving(self) -> bool:
        """Whether the worker drains: other controllers must hold that before it is answered."""
        return self.registration.phase == DRAINING


@dataclass(frozen=True)
class DeregisterWorker:
    """A worker's last call."""

    instance_id: str


@dataclass(frozen=True)
class PutConfiguration:
    """Put a configuration that was checked by itself."""

    configuration: Configuration


@dataclass(frozen=True)
class GetConfiguration:
    """Read the configuration that stands."""


@dataclass(frozen=True)
class StartDrainPlan:
    """Take workers out of service: those named, or all of a service in a zone or of a revision."""

    name: str
    service: str
    instance_ids: tuple[str, ...]
    zone: str
    revision: str
    count: int  # at most so many; 0 for all
    wave: int  # workers at a time
    dry_run: bool  # only tell what it would do


@dataclass(frozen=True)
class EndDrainPlan:
    """Stop a plan, or take all its workers back into use."""

    name: str
    state: Literal["stopped", "back"]


@dataclass(frozen=True)
class ReplaceMember:
    """A spare controller, `new`, is to get the seat of the voter `old`; both by address."""

    old: str
    new: str


@dataclass(frozen=True)
class RemoveMember:
    """A voter is to give up its seat, and nobody gets it."""

    old: str


@dataclass(frozen=True)
class AddMember:
    """A spare controller is to get a seat of its own."""

    new: str


@dataclass(frozen=True)
class Rejection:
    """The answer to a call that can't be taken."""

    status: int  # of HTTP
    reason: str
    allow: str = ""  # methods that the path takes, where the method was the fault


Command = RegisterWorker | DeregisterWorker | PutConfiguration | GetConfiguration
