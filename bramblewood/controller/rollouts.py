"""Rollouts as the controllers agree on them: orders, phases, and what the operator is answered.

The value of the slice table contains the rollouts under `ROLLOUTS_KEY`, one for each service: the last one
that was ordered. `common/rollouts.py` describes the phases, and `rollout_progress.py` decides when a rollout
enters the next one. This module does no I/O and reads no clock.

The functions that change rollouts return proposals for the table in the form that `table_changes.py` defines.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from ..common.rollouts import COMPLETE, RUNNING, SWITCHING, RolloutState
from ..common.worker_registry import WorkerRegistration, WorkerRegistry
from .table_changes import ProposedTable, TableValue, empty_table

ROLLOUTS_KEY = "r"  # key of the rollouts in the value of the table
ALREADY_SERVING = "every worker has this version already"  # reason of a rollout that is complete at once


class Rollout(NamedTuple):
    """The rollout of one service.

    `elapsed` is the time (s) that had passed since the order when the rollout was last stored. It is never
    more than the time that has really passed. `ordered_at` and `phase_version` are the versions of the table
    that brought the order and the present phase.
    """

    target_version: str
    duration: float  # s from the order to the term
    phase: str
    ordered_at: int
    phase_version: int
    elapsed: float = 0.0
    reason: str = ""  # why it is in the present phase
    excludes_old: bool = True

    @property
    def state(self) -> RolloutState:
        """What proxies need to know of the rollout."""
        return RolloutState(self.target_version, self.phase, self.ordered_at, self.excludes_old)

    @property
    def public_phase(self) -> str:
        """The phase that the operator is told."""
        return RUNNING if self.phase == SWITCHING else self.phase


class RolloutOrder(NamedTuple):
    """An operator's order: the service, the version that is to serve, and the time (s) until the term."""

    service: str
    target_version: str
    duration: float


class RolloutAnswer(NamedTuple):
    """The answer to an order: an HTTP status, and the error if there is one."""

    status: int
    reason: str = ""


def rollouts_of(value: TableValue | None) -> dict[str, Rollout]:
    """Return the last rollout of each service that had one."""
    stored = value.get(ROLLOUTS_KEY, {}) if value else {}
    return {service: Rollout(*fields) for service, fields in stored.items()}


def rollout_states_of(value: TableValue | None) -> dict[str, RolloutState]:
    """Return what proxies need to know of each rollout, by service."""
    return {service: rollout.state for service, rollout in rollouts_of(value).items()}


def with_rollout(value: TableValue, service: str, rollout: Rollout) -> TableValue:
    """Return the next version of the table, with this rollout."""
    rollouts = {**value.get(ROLLOUTS_KEY, {}), service: [*rollout]}
    return {**value, "n": value["n"] + 1, ROLLOUTS_KEY: rollouts}


def start_rollout(
    value: TableValue | None, order: RolloutOrder, ready_versions: Iterable[str]
) -> tuple[TableValue | None, RolloutAnswer]:
    """Return the table with the rollout, and the answer to the operator.

    The table is None if it is unchanged. An order that repeats the service's last one is acknowledged again,
    also after that rollout has ended: an operator repeats an order whose acknowledgement was lost, and the
    rollout may have ended meanwhile.

    Args:
        ready_versions: the versions of the service's ready workers.
    """
    value = value or empty_table()
    last = rollouts_of(value).get(order.service)
    if last is not None:
        if (last.target_version, last.duration) == (order.target_version, order.duration):
            return None, RolloutAnswer(200)
        if last.state.is_undecided:
            reason = f"the rollout of version {last.target_version} is under way"
            return None, RolloutAnswer(409, reason)
    version = value["n"] + 1
    rollout = Rollout(order.target_version, order.duration, RUNNING, version, version)
    if set(ready_versions) == {order.target_version}:
        rollout = rollout._replace(phase=COMPLETE, reason=ALREADY_SERVING, excludes_old=False)
    return with_rollout(value, order.service, rollout), RolloutAnswer(200)


class RolloutUpdate(NamedTuple):
    """A planned change of a rollout. It has no effect if the rollout has another phase by then."""

    ordered_at: int
    after_phase: str
    phase: str
    elapsed: float  # s since the order
    reason: str
    excludes_old: bool = True


def update_rollouts(value: TableValue | None, updates: Mapping[str, RolloutUpdate]) -> ProposedTable:
    """Return the table after these updates by service, or None as the table if nothing changes."""
    if value is None:
        return None, True
    new_value, version = value, value["n"] + 1
    for service, update in updates.items():
        rollout = rollouts_of(value).get(service)
        if rollout is None or (rollout.ordered_at, rollout.phase) != (update.ordered_at, update.after_phase):
            continue
        changed = rollout._replace(
            phase=update.phase,
            phase_version=rollout.phase_version if update.phase == rollout.phase else version,
            elapsed=max(rollout.elapsed, update.elapsed),
            reason=update.reason or rollout.reason,
            excludes_old=update.excludes_old,
        )
        new_value = {**with_rollout(new_value, service, changed), "n": version}
    return (None, True) if new_value is value else (new_value, True)


def excluded_workers(
    states: Mapping[str, RolloutState], registrations: Mapping[str, WorkerRegistration]
) -> set[str]:
    """Return the instance ids of the workers that rollouts exclude from serving."""
    if not states:
        return set()
    return {
        instance_id
        for instance_id, registration in registrations.items()
        if (state := states.get(registration.service)) is not None and state.excludes(registration.revision)
    }


def workers_of_undecided_rollouts(
    states: Mapping[str, RolloutState], registrations: Mapping[str, WorkerRegistration]
) -> set[str]:
    """Return the instance ids of the workers whose version a rollout has still to judge."""
    undecided = {service: state.target_version for service, state in states.items() if state.is_undecided}
    return {
        instance_id
        for instance_id, registration in registrations.items()
        if registration.service in undecided and registration.revision == undecided[registration.service]
    }


def ready_versions(registry: WorkerRegistry, service: str) -> set[str]:
    """Return the versions of a service's ready workers."""
    return {registry.registrations[name].revision for name in registry.ready_instances(service)}


def rollout_view(rollout: Rollout) -> dict[str, Any]:
    """Return a rollout as operators' views show it. "elapsed" is the stored time."""
    return {
        "version": rollout.target_version,
        "duration": rollout.duration,
        "phase": rollout.phase,
        "elapsed": rollout.elapsed,
        "reason": rollout.reason,
    }
