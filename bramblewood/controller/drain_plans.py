"""Taking backends out of service by plan: each step agreed by ballots, carried on by any archive. Pure.

What is agreed stands in the table's value under "w":

    {"plans": {id: {"service", "lives", "wave", "state", "why"}}, "out": {life: [plan, step, version]}}

A worker's steps: told (it is in a plan), closing (desks start nothing there, its keys move), closed (each
desk has said so), out (no key of its is left, nothing of any desk is under way there). It may end then. A
plan goes in waves; each begins once what stays carries the load, by the planner's own word, and the last
one was looked at. Steps only rise within a plan; `back` takes its workers into use again, at whatever step
they are.

A desk that is silent counts as still sending until the longest hold behind it has run out: it steers by its
last table for as long as it lasts, and what holds it up from then on is the worker's end alone.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..common.slice_table import (
    DRAIN_ANNOUNCED,
    DRAIN_IN_PROGRESS,
    DRAINED,
    OUT_OF_SERVICE,
    PREVIOUS_OWNER,
    WORKER,
)
from ..common.worker_registry import GONE, READY, WorkerRegistry
from ..policy.figures import LIMIT

RUNNING, STOPPED, CANCELLED, DONE = "running", "stopped", "back", "done"
WAVE_INTERVAL = (
    3.0  # s after a wave until the next: five reports of half a second that have seen it, and one way
)
MAX_CAPACITY_WAIT = (
    20.0  # s that a wave waits for room until its plan stops: many times a look, so that a burst may pass
)
ENDED_PLANS_KEPT = 20  # plans that have ended, kept to be shown


class WorkInFlight(NamedTuple):
    """What a desk has under way at a worker: lookups, effects, and since when the oldest (s)."""

    lookups: int
    effects: int
    oldest: float


class ServiceCapacity(NamedTuple):
    """A service's load by the planner: busy slots of its workers, and by worker its slots, what is cold as
    cold.
    """

    busy: float
    slots: dict[str, float]


def plans_of(value: dict | None) -> dict[str, dict]:
    return value.get("w", {}).get("plans", {}) if value else {}


def worker_drains_of(value: dict | None) -> dict[str, list]:
    return value.get("w", {}).get("out", {}) if value else {}


def drain_steps_of(value: dict | None) -> dict[str, str]:
    """By worker its step, as desks and the planner need it."""
    return {instance_id: step for instance_id, (_, step, _) in worker_drains_of(value).items()}


def with_plans(value: dict, plans: dict, out: dict) -> dict:
    ended = [name for name, plan in plans.items() if plan["state"] in (CANCELLED, DONE)]
    plans = {name: plan for name, plan in plans.items() if name not in ended[:-ENDED_PLANS_KEPT]}
    return {**value, "n": value["n"] + 1, "w": {"plans": plans, "out": out}}


def start_plan(value: dict | None, name: str, service: str, instance_ids: list[str], wave: int, staying: int):
    """The table with a new plan; (status, reason) is the answer. staying: workers in use that it leaves."""
    value = value or {"n": 0, "s": {}}
    plans, out = plans_of(value), worker_drains_of(value)
    plan = {"service": service, "lives": instance_ids, "wave": wave, "state": RUNNING, "why": ""}
    if name in plans:
        same = {**plans[name], "state": RUNNING, "why": ""} == plan
        return None, (200, plans[name]["state"]) if same else (409, f"another plan is called {name}")
    if not instance_ids:
        return None, (404, "no such worker in use")
    if staying <= 0:
        return None, (409, f"{service} would have no worker left")
    if taken := [instance_id for instance_id in instance_ids if instance_id in out]:
        return None, (409, f"{taken[0]} is in plan {out[taken[0]][0]}")
    out = {**out, **{instance_id: [name, DRAIN_ANNOUNCED, value["n"] + 1] for instance_id in instance_ids}}
    return with_plans(value, {**plans, name: plan}, out), (200, RUNNING)


def end_plan(value: dict | None, name: str, state: str):
    """The table with a plan stopped (no further wave; who was only told stays in use) or taken back."""
    plans, out = plans_of(value), worker_drains_of(value)
    if name not in plans:
        return None, (404, f"no plan {name}")
    if plans[name]["state"] == state or plans[name]["state"] == CANCELLED:
        return None, (200, plans[name]["state"])
    left = {
        instance_id: at
        for instance_id, at in out.items()
        if at[0] != name or state == STOPPED and at[1] != DRAIN_ANNOUNCED
    }
    return with_plans(value, {**plans, name: {**plans[name], "state": state, "why": "asked for"}}, left), (
        200,
        state,
    )


class DrainPlans:
    """One archive's part: what desks told it, and the next step of each plan."""

    def __init__(self, silent_for: float) -> None:
        """silent_for: s that a silent desk counts as still sending."""
        self.silent_for = silent_for
        self.began: float | None = None
        self.there: dict[str, float] = {}  # when each desk's session last stood
        self.proxies: dict[
            str, tuple[int, dict[str, WorkInFlight]]
        ] = {}  # by its last word: its table, what is left
        self.looked: dict[str, float] = {}  # by plan: since when its last wave is out, or it waits for room
        self.waits: dict[str, float] = {}

    def record_connected_proxies(self, now: float, proxies: set[str]) -> None:
        """Each turn, at every archive: the desks whose sessions stand."""
        self.began = now if self.began is None else self.began
        self.there.update(dict.fromkeys(proxies, now))

    def forget_report(self, proxy: str) -> None:
        """A desk's link stands anew: it may be another life of it, so what was said before counts no more."""
        self.proxies.pop(proxy, None)

    def record_report(self, proxy: str, table: int, left: dict[str, list]) -> None:
        self.proxies[proxy] = (
            table,
            {instance_id: WorkInFlight(*told) for instance_id, told in left.items()},
        )

    def unconfirmed_proxies(self, now: float, version: int) -> list[str]:
        """Desks that have not said that they follow this version of the table, and so may still start work.

        Desks that an archive which has just started may not have met yet count as one.
        """
        found = [proxy for proxy, at in self.there.items() if now < at + self.silent_for]
        found = sorted(proxy for proxy in found if self.proxies.get(proxy, (0, {}))[0] < version)
        return found if self.began is not None and now >= self.began + self.silent_for else [*found, "?"]

    def work_in_flight(self, now: float, instance_id: str) -> dict[str, WorkInFlight]:
        """What desks have under way at a worker; a silent desk's last word counts until its bound."""
        told = {proxy: left[instance_id] for proxy, (_, left) in self.proxies.items() if instance_id in left}
        return {
            proxy: left for proxy, left in told.items() if now < self.there.get(proxy, now) + self.silent_for
        }

    def next_change(
        self, now: float, value: dict | None, registry: WorkerRegistry, rooms: dict[str, ServiceCapacity]
    ) -> Callable[[dict], tuple[dict | None, Any]] | None:
        """The next change, or None: a function of the value that stands, as others may have gone on
        meanwhile.
        """
        moves: dict[str, str] = {}
        rests_on = {instance_id: version for instance_id, (_, _, version) in worker_drains_of(value).items()}
        for instance_id, (_, step, version) in worker_drains_of(value).items():
            row = registry.rows.get(instance_id)
            if step != OUT_OF_SERVICE and (row is None or row.phase == GONE):
                moves[instance_id] = OUT_OF_SERVICE  # it ended early
            elif step in (DRAIN_IN_PROGRESS, DRAINED) and not self.unconfirmed_proxies(now, version):
                if step == DRAIN_IN_PROGRESS:
                    moves[instance_id] = DRAINED
                elif not self.owns_keys(value, instance_id) and not self.work_in_flight(now, instance_id):
                    moves[instance_id] = OUT_OF_SERVICE
        ends: dict[str, tuple[str, str]] = {}
        for name, plan in plans_of(value).items():
            if plan["state"] == RUNNING:
                self.wave(now, name, plan, value, registry, rooms, moves, ends)
        if not moves and not ends:
            return None
        return lambda stands: advance_plans(
            stands, {instance_id: (step, rests_on[instance_id]) for instance_id, step in moves.items()}, ends
        )

    @staticmethod
    def owns_keys(value: dict, instance_id: str) -> bool:
        return any(
            instance_id in (entry[WORKER], entry[PREVIOUS_OWNER])
            for entries in value["s"].values()
            for entry in entries.values()
        )

    def wave(self, now, name, plan, value, registry, rooms, moves, ends) -> None:
        """Begin a plan's next wave, or end the plan."""
        out = {instance_id: at for instance_id, at in worker_drains_of(value).items() if at[0] == name}
        steps = [moves.get(instance_id, step) for instance_id, (_, step, _) in out.items()]
        if any(step in (DRAIN_IN_PROGRESS, DRAINED) for step in steps):
            self.looked.pop(name, None)
            return
        told = [
            instance_id
            for instance_id in plan["lives"]
            if instance_id in out and out[instance_id][1] == DRAIN_ANNOUNCED and instance_id not in moves
        ]
        if not told:
            ends[name] = (DONE, "")
            return
        begun = any(step == OUT_OF_SERVICE for step in steps)
        if now < self.looked.setdefault(name, now - (0.0 if begun else WAVE_INTERVAL)) + WAVE_INTERVAL:
            return
        fits = self.fits(rooms.get(plan["service"]), told[: max(plan["wave"], 1)], worker_drains_of(value))
        if fits:
            self.waits.pop(name, None)
            moves.update(dict.fromkeys(fits, DRAIN_IN_PROGRESS))
        elif now >= self.waits.setdefault(name, now) + MAX_CAPACITY_WAIT:
            ends[name] = (STOPPED, "what stays would not carry the load")

    @staticmethod
    def fits(room: ServiceCapacity | None, instance_ids: list[str], out: dict[str, list]) -> list[str]:
        """As many of these, in turn, as leave enough for what is busy now; closed ones count as away."""
        if room is None:
            return []
        left = sum(
            slots
            for instance_id, slots in room.slots.items()
            if instance_id not in out or out[instance_id][1] == DRAIN_ANNOUNCED
        )
        found = []
        for instance_id in instance_ids:
            left -= room.slots.get(instance_id, 0.0)
            if left <= 0 or room.busy > LIMIT * left:
                break
            found.append(instance_id)
        return found


def advance_plans(
    value: dict | None, moves: dict[str, tuple[str, int]], ends: dict[str, tuple[str, str]]
) -> tuple[dict | None, bool]:
    """The table with workers a step further and plans ended, as far as they still stand there.

    A move names the version of the step that it follows, its fence: the desks' word that they follow that
    version says nothing of a later plan's.
    """
    plans, out, found = dict(plans_of(value)), dict(worker_drains_of(value)), False
    for instance_id, (step, version) in moves.items():
        if instance_id in out and out[instance_id][2] == version:
            out[instance_id], found = [out[instance_id][0], step, value["n"] + 1], True
    for name, (state, why) in ends.items():
        if name in plans and plans[name]["state"] == RUNNING:
            plans[name], found = {**plans[name], "state": state, "why": why}, True
            if state == STOPPED:
                out = {
                    instance_id: at
                    for instance_id, at in out.items()
                    if at[0] != name or at[1] != DRAIN_ANNOUNCED
                }
    return (with_plans(value, plans, out), True) if found else (None, True)


def workers_in_use(registry: WorkerRegistry, service: str, out: dict[str, list]) -> list[str]:
    """Workers of a service that are ready and in no plan."""
    return [
        instance_id
        for instance_id, row in sorted(registry.rows.items())
        if row.service == service and row.phase == READY and instance_id not in out
    ]
