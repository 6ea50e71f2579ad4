"""Drain plans: which workers the controllers agree to take out of service.

This module does no I/O and reads no clock.

The value of the slice table contains the plans, and the drain steps of their workers, under `PLANS_KEY`:

    {"plans": {name: {"service", "lives", "wave", "state", "why"}},
     "out": {instance id: [plan, step, version]}}

The drain of a worker has these steps:

    DRAIN_ANNOUNCED     The worker is in a plan. It still serves requests.
    DRAIN_IN_PROGRESS   Proxies send it no new work. Its keys move to other workers.
    DRAINED             Each proxy has confirmed that it sends the worker no new work.
    OUT_OF_SERVICE      The worker owns no keys and no proxy has work in flight there. It may be stopped.

Invariant: within a plan, a worker only moves to later steps. A cancelled plan returns all its workers to use,
whatever their steps are. `drain_progress.py` decides when the next step is due.

The functions that change plans return proposals for the table in the form that `table_changes.py` defines.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..common.slice_table import DRAIN_ANNOUNCED
from ..common.worker_registry import READY, WorkerRegistry
from .table_changes import ProposedTable, TableValue, empty_table

PLANS_KEY = "w"  # key of the plans in the value of the table
RUNNING, STOPPED, CANCELLED, DONE = "running", "stopped", "back", "done"  # states of a plan, as stored
ENDED_PLANS_KEPT = 20  # cancelled and finished plans that remain in the table for the operators' views
STOPPED_BY_OPERATOR = "asked for"  # reason of a plan that an operator stopped or cancelled, as stored


class DrainPlan(NamedTuple):
    """A plan to drain workers of one service, `wave_size` of them at a time, in the order of their ids.

    `reason` is why the plan was stopped or cancelled. It is empty for a plan that is running or done.
    """

    service: str
    instance_ids: list[str]
    wave_size: int
    state: str = RUNNING
    reason: str = ""

    @classmethod
    def from_stored(cls, stored: Mapping[str, Any]) -> "DrainPlan":
        """Return the plan with this stored form, which `stored()` produced."""
        return cls(stored["service"], stored["lives"], stored["wave"], stored["state"], stored["why"])

    def stored(self) -> dict[str, Any]:
        """Return the plan as it is stored in the table and shown in the operators' views."""
        return {
            "service": self.service,
            "lives": self.instance_ids,
            "wave": self.wave_size,
            "state": self.state,
            "why": self.reason,
        }


class WorkerDrain(NamedTuple):
    """A worker's drain: its plan, its step, and the version of the table in which that step began."""

    plan: str
    step: str
    version: int


class StepChange(NamedTuple):
    """A worker's next step, and the `WorkerDrain.version` of the step that it follows.

    The change has no effect if the worker's drain has another version when the change is applied. The proxies
    have confirmed only the step that began in `after_version`, and not the step of a later plan.
    """

    step: str
    after_version: int


class PlanEnd(NamedTuple):
    """The state in which a plan ends, and the reason."""

    state: str
    reason: str


class PlanAnswer(NamedTuple):
    """The answer to the operator who changes a plan: an HTTP status, and the plan's state or the error."""

    status: int
    text: str


def plans_of(value: TableValue | None) -> dict[str, DrainPlan]:
    """Return the agreed plans by name, including the last ones that have ended."""
    stored = value.get(PLANS_KEY, {}).get("plans", {}) if value else {}
    return {name: DrainPlan.from_stored(plan) for name, plan in stored.items()}


def worker_drains_of(value: TableValue | None) -> dict[str, WorkerDrain]:
    """Return the drains of all workers in plans, by instance id."""
    stored = value.get(PLANS_KEY, {}).get("out", {}) if value else {}
    return {instance_id: WorkerDrain(*drain) for instance_id, drain in stored.items()}


def drain_steps_of(value: TableValue | None) -> dict[str, str]:
    """Return the drain steps of all workers in plans, by instance id."""
    return {instance_id: drain.step for instance_id, drain in worker_drains_of(value).items()}


def workers_in_use(registry: WorkerRegistry, service: str, drains: Mapping[str, WorkerDrain]) -> list[str]:
    """Return the instance ids of a service's workers that are ready and in no plan, sorted."""
    return [
        instance_id
        for instance_id, registration in sorted(registry.registrations.items())
        if registration.service == service and registration.phase == READY and instance_id not in drains
    ]


def _with_plans(
    value: TableValue, plans: Mapping[str, DrainPlan], drains: Mapping[str, WorkerDrain]
) -> TableValue:
    """Return the value with these plans and drains, without the oldest plans that are cancelled or done."""
    ended = [name for name, plan in plans.items() if plan.state in (CANCELLED, DONE)]
    expired = ended[:-ENDED_PLANS_KEPT]
    stored = {
        "plans": {name: plan.stored() for name, plan in plans.items() if name not in expired},
        "out": {instance_id: [*drain] for instance_id, drain in drains.items()},
    }
    return {**value, "n": value["n"] + 1, PLANS_KEY: stored}


def start_plan(
    value: TableValue | None,
    name: str,
    service: str,
    instance_ids: list[str],
    wave_size: int,
    remaining: int,
) -> tuple[TableValue | None, PlanAnswer]:
    """Return the table with a new plan, and the answer to the operator. The table is None if it is unchanged.

    The call may be repeated: the answer to an equal plan that already exists is its state.

    Args:
        instance_ids: the workers to drain, in the order of the waves.
        remaining: number of the service's workers in use that are not in the plan.
    """
    value = value or empty_table()
    plans, drains = plans_of(value), worker_drains_of(value)
    plan = DrainPlan(service, instance_ids, wave_size)
    if name in plans:
        if plans[name]._replace(state=RUNNING, reason="") == plan:
            return None, PlanAnswer(200, plans[name].state)
        return None, PlanAnswer(
            409, f"plan {name} exists already, with another service, other workers or another wave size"
        )
    if not instance_ids:
        return None, PlanAnswer(404, f"service {service} has no worker in use that the plan selects")
    if remaining <= 0:
        return None, PlanAnswer(409, f"service {service} would have no worker in use left")
    if already_planned := [instance_id for instance_id in instance_ids if instance_id in drains]:
        return None, PlanAnswer(
            409, f"worker {already_planned[0]} is already in plan {drains[already_planned[0]].plan}"
        )
    announced = WorkerDrain(name, DRAIN_ANNOUNCED, value["n"] + 1)
    drains |= dict.fromkeys(instance_ids, announced)
    return _with_plans(value, {**plans, name: plan}, drains), PlanAnswer(200, RUNNING)


def end_plan(value: TableValue | None, name: str, state: str) -> tuple[TableValue | None, PlanAnswer]:
    """Stop or cancel a plan, and return the table and the answer to the operator.

    The table is None if it is unchanged.

    A stopped plan begins no further wave, and its workers in the step DRAIN_ANNOUNCED stay in use. A
    cancelled plan returns all its workers to use.

    Args:
        state: STOPPED or CANCELLED.
    """
    plans, drains = plans_of(value), worker_drains_of(value)
    if value is None or name not in plans:
        return None, PlanAnswer(404, f"no plan {name}")
    if plans[name].state in (state, CANCELLED):
        return None, PlanAnswer(200, plans[name].state)
    plans[name] = plans[name]._replace(state=state, reason=STOPPED_BY_OPERATOR)
    drains = _without_drains_of(name, drains, keep_started=state == STOPPED)
    return _with_plans(value, plans, drains), PlanAnswer(200, state)


def advance_plans(
    value: TableValue | None, step_changes: Mapping[str, StepChange], plan_ends: Mapping[str, PlanEnd]
) -> ProposedTable:
    """Return the table after these workers' steps and these ends of plans, or None if nothing changes.

    A step is left out if the worker's drain has changed since the step was planned. The end of a plan is left
    out if the plan is not running any more.
    """
    if value is None:
        return None, True
    plans, drains, any_change = plans_of(value), worker_drains_of(value), False
    for instance_id, (step, after_version) in step_changes.items():
        drain = drains.get(instance_id)
        if drain is not None and drain.version == after_version:
            drains[instance_id] = WorkerDrain(drain.plan, step, value["n"] + 1)
            any_change = True
    for name, (state, reason) in plan_ends.items():
        if name in plans and plans[name].state == RUNNING:
            plans[name] = plans[name]._replace(state=state, reason=reason)
            any_change = True
            if state == STOPPED:
                drains = _without_drains_of(name, drains, keep_started=True)
    return (_with_plans(value, plans, drains), True) if any_change else (None, True)


def _without_drains_of(
    plan: str, drains: Mapping[str, WorkerDrain], keep_started: bool
) -> dict[str, WorkerDrain]:
    """Return the drains without those of a plan.

    With `keep_started`, drains of this plan that are beyond the step DRAIN_ANNOUNCED are kept.
    """
    return {
        instance_id: drain
        for instance_id, drain in drains.items()
        if drain.plan != plan or (keep_started and drain.step != DRAIN_ANNOUNCED)
    }
