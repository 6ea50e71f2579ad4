"""The commands that calls of workers and operators are decoded into, and the rejection of invalid calls."""

from dataclasses import dataclass
from typing import Literal

from ..common.configuration import Configuration
from ..common.worker_registry import DRAINING, WorkerRegistration


@dataclass(frozen=True)
class RegisterWorker:
    """Records the registration of a worker that is ready or draining."""

    instance_id: str
    registration: WorkerRegistration

    @property
    def is_draining(self) -> bool:
        """Whether the worker is draining.

        Such a registration is a deregistration. A majority of the voters must hold it before the response.
        """
        return self.registration.phase == DRAINING


@dataclass(frozen=True)
class DeregisterWorker:
    """Records that a worker is gone. This is the last call that the worker sends."""

    instance_id: str


@dataclass(frozen=True)
class PutConfiguration:
    """Puts a configuration in force.

    The configuration is valid by itself. Whether it succeeds the one in force is not checked yet.
    """

    configuration: Configuration


@dataclass(frozen=True)
class GetConfiguration:
    """Reads the configuration in force."""


@dataclass(frozen=True)
class StartRollout:
    """Moves the requests of a service to the workers of a version, unless these turn out to be worse."""

    service: str
    target_version: str
    duration: float  # s until the rollout should be complete or reverted


@dataclass(frozen=True)
class GetRollout:
    """Reads the phase of the last rollout of a service."""

    service: str


@dataclass(frozen=True)
class StartDrainPlan:
    """Drains workers of one service and takes them out of use, one wave at a time.

    The plan selects the workers in use that match all of instance_ids, zone and revision. An empty value
    matches every worker.
    """

    name: str
    service: str
    instance_ids: tuple[str, ...]
    zone: str
    revision: str
    max_workers: int  # 0 for no limit
    wave_size: int  # workers that are drained at a time
    dry_run: bool  # only respond with the waves that the plan would have


@dataclass(frozen=True)
class EndDrainPlan:
    """Stops a drain plan, or cancels it.

    state: "stopped" begins no further wave; "back" also takes all workers of the plan into use again.
    """

    name: str
    state: Literal["stopped", "back"]


@dataclass(frozen=True)
class ReplaceMember:
    """Gives the seat of the voter `old` to the spare controller `new`. Both are addresses."""

    old: str
    new: str


@dataclass(frozen=True)
class RemoveMember:
    """Removes the voter at the address `old`, and its seat with it."""

    old: str


@dataclass(frozen=True)
class AddMember:
    """Makes the spare controller at the address `new` a voter with an additional seat."""

    new: str


@dataclass(frozen=True)
class Rejection:
    """The response to a call that is invalid."""

    status: int  # HTTP status
    reason: str
    allow: str = ""  # the methods that the path supports, if the method was not one of them


# The commands of the listener `Control`. The other commands come from the internal listener.
Command = RegisterWorker | DeregisterWorker | PutConfiguration | GetConfiguration | StartRollout | GetRollout
