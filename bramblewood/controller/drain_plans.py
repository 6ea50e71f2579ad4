"""Drain plans: which workers are taken out of service, as controllers agree on it. Pure.

Plans and the steps of their workers stand in the slice table's value, under `PLANS_KEY`:

    {"plans": {name: {"service", "lives", "wave", "state", "why"}},
     "out": {instance id: [plan, step, version]}}

A worker's steps, each known to all before the next begins:

    DRAIN_ANNOUNCED     it is in a plan, and serves as before
    DRAIN_IN_PROGRESS   proxies start nothing there, its keys move to other workers
    DRAINED             each proxy has confirmed that it starts nothing there
    OUT_OF_SERVICE      it owns no keys, and no proxy has work in flight there: it may be stopped

Steps only rise within a plan; cancelling a plan takes its workers into use again, at whatever step they are.
When the next step is due: `drain_progress.py`.

Functions that change plans are changes as `table_changes.py` states them.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..common.slice_table import DRAIN_ANNOUNCED
from ..common.worker_registry import READY, WorkerRegistry
from .table_changes import ProposedTable, TableValue, empty_table

PLANS_KEY = "w"  # in the table's value
RUNNING, STOPPED, CANCELLED, DONE = "running", "stopped", "back", "done"  # states of a plan, as stored
ENDED_PLANS_KEPT = 20  # to be shown
STOPPED_BY_OPERATOR = "asked for"  # why a plan ended, as stored


class DrainPlan(NamedTuple):
    """A plan. `wave_size` workers are drained at a time; `reason` says why the plan ended, if it has."""

    service: str
    instance_ids: list[str]
    wave_size: int
    state: str = RUNNING
    reason: str = ""

    @classmethod
    def from_stored(cls, stored: Mapping[str, Any]) -> "DrainPlan":
        """A plan from its form in the table's value."""
        return cls(stored["service"], stored["lives"], stored["wave"], stored["state"], stored["why"])

    def stored(self) -> dict[str, Any]:
        """The form in the table's value, and in operators' views."""
        return {
            "service": self.service,
            "lives": self.instance_ids,
            "wave": self.wave_size,
            "state": self.state,
            "why": self.reason,
        }


class WorkerDrain(NamedTuple):
    """How far a worker's drain is: its plan, its step, and the version of the table that made that step."""

    plan: str
    step: str
    version: int


class StepChange(NamedTuple):
    """A worker's next step, and the version of the step that it follows.

    That version fences it: that all proxies follow that version of the table says nothing of a later plan's.
    """

    step: str
    after_version: int


class PlanEnd(NamedTuple):
    """The state in which a plan ends, and why."""

    state: str
    reason: str


class Answer(NamedTuple):
    """What the operator who changes a plan is told: an HTTP status, and the plan's state or what is wrong."""

    status: int
    reason: str


def plans_of(value: TableValue | None) -> dict[str, DrainPlan]:
    """The agreed plans by name, those that have ended of late too."""
    stored = value.get(PLANS_KEY, {}).get("plans", {}) if value else {}
    return {name: DrainPlan.from_stored(plan) for name, plan in stored.items()}


def worker_drains_of(value: TableValue | None) -> dict[str, WorkerDrain]:
    """The drains of all workers in plans, by instance id."""
    stored = value.get(PLANS_KEY, {}).get("out", {}) if value else {}
    return {instance_id: WorkerDrain(*drain) for instance_id, drain in stored.items()}


def drain_steps_of(value: TableValue | None) -> dict[str, str]:
    """The steps of all workers in plans, by instance id, as proxies and the placement need them."""
    return {instance_id: drain.step for instance_id, drain in worker_drains_of(value).items()}


def workers_in_use(registry: WorkerRegistry, service: str, drains: Mapping[str, WorkerDrain]) -> list[str]:
    """Workers of a service that are ready and in no plan, sorted."""
    return [
        instance_id
        for instance_id, row in sorted(registry.registrations.items())
        if row.service == service and row.phase == READY and instance_id not in drains
    ]


def _with_plans(
    value: TableValue, plans: Mapping[str, DrainPlan], drains: Mapping[str, WorkerDrain]
) -> TableValue:
    """The value with these plans and drains. Of plans that are over only the newest are kept."""
    over = [name for name, plan in plans.items() if plan.state in (CANCELLED, DONE)]
    forgotten = over[:-ENDED_PLANS_KEPT]
    stored = {
        "plans": {name: plan.stored() for name, plan in plans.items() if name not in forgotten},
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
) -> tuple[TableValue | None, Answer]:
    """The table with a new plan. Safe to repeat: the same plan again is answered with its state.

    Args:
        instance_ids: the workers to drain, in the order of the waves.
        remaining: how many workers in use the plan leaves the service.
    """
    value = value or empty_table()
    plans, drains = plans_of(value), worker_drains_of(value)
    plan = DrainPlan(service, instance_ids, wave_size)
    if name in plans:
        if plans[name]._replace(state=RUNNING, reason="") == plan:
            return None, Answer(200, plans[name].state)
        return None, Answer(409, f"another plan is called {name}")
    if not instance_ids:
        return None, Answer(404, "no such worker in use")
    if remaining <= 0:
        return None, Answer(409, f"{service} would have no worker left")
    if taken := [instance_id for instance_id in instance_ids if instance_id in drains]:
        return None, Answer(409, f"{taken[0]} is in plan {drains[taken[0]].plan}")
    announced = WorkerDrain(name, DRAIN_ANNOUNCED, value["n"] + 1)
    drains |= dict.fromkeys(instance_ids, announced)
    return _with_plans(value, {**plans, name: plan}, drains), Answer(200, RUNNING)


def end_plan(value: TableValue | None, name: str, state: str) -> tuple[TableValue | None, Answer]:
    """The table with a plan stopped or cancelled by the operator.

    A stopped plan begins no further wave: workers that were only announced stay in use. A cancelled one
    takes all its workers into use again.

    Args:
        state: STOPPED or CANCELLED.
    """
    plans, drains = plans_of(value), worker_drains_of(value)
    if value is None or name not in plans:
        return None, Answer(404, f"no plan {name}")
    if plans[name].state in (state, CANCELLED):
        return None, Answer(200, plans[name].state)
    plans[name] = plans[name]._replace(state=state, reason=STOPPED_BY_OPERATOR)
    drains = _without_drains_of(name, drains, keep_started=state == STOPPED)
    return _with_plans(value, plans, drains), Answer(200, state)


def advance_plans(
    value: TableValue | None, step_changes: Mapping[str, StepChange], plan_ends: Mapping[str, PlanEnd]
) -> ProposedTable:
    """The table with workers a step further and plans ended, as far as what these rest on still stands."""
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
    """The drains without those of a plan; `keep_started`: only without those that are merely announced."""
    return {
        instance_id: drain
        for instance_id, drain in drains.items()
        if drain.plan != plan or (keep_started and drain.step != DRAIN_ANNOUNCED)
    }
