"""Builds the updates of the slice table for proxies, from any recent version to the newest one.

This module does no input or output. `proxy_sessions.py` describes which proxies an update is pushed to.
"""

from collections import deque
from typing import NamedTuple

from ..common.messages import TableUpdate
from ..common.slice_table import DRAIN_IN_PROGRESS, Row
from .drain_plans import drain_steps_of
from .outlier_detection import ejected_workers
from .rollouts import rollout_states_of
from .table_changes import TableValue
from .value_diff import changed_keys

MAX_VERSION_STEPS = 200  # version steps that are kept; a proxy with an older version gets the whole table


class VersionStep(NamedTuple):
    """A step from one version of the table to a later one.

    changed_starts: the first keys of the slices that changed, by service.
    """

    from_version: int
    to_version: int
    changed_starts: dict[str, list[str]]


class ProxyUpdates:
    """Holds the newest known table, and the latest version steps that led to it."""

    def __init__(self) -> None:
        self.version = 0
        self.services: dict[str, dict[str, Row]] = {}  # rows by first key, by service
        # the drain steps of draining workers, by instance id; an ejected worker has DRAIN_IN_PROGRESS
        self.drain_steps: dict[str, str] = {}
        self.drain_steps_version = 0  # the version that last changed `drain_steps`
        self.rollouts: dict[str, list] = {}  # rows of `RolloutState`, by service
        self.rollouts_version = 0  # the version that last changed `rollouts`
        self.recent_steps: deque[VersionStep] = deque(maxlen=MAX_VERSION_STEPS)

    def record_table(self, value: TableValue) -> None:
        """Takes over a newer table. A jump over several versions is recorded as one step."""
        changed_starts = {}
        for service, rows in value["s"].items():
            previous = self.services.get(service, {})
            if rows is previous:
                continue
            starts = [start for start in changed_keys(previous, rows) if rows[start] != previous.get(start)]
            if starts:
                changed_starts[service] = starts
        ejected = dict.fromkeys(ejected_workers(value), DRAIN_IN_PROGRESS)
        drain_steps = {**ejected, **drain_steps_of(value)}
        if drain_steps != self.drain_steps:
            self.drain_steps, self.drain_steps_version = drain_steps, value["n"]
        rollouts = {service: state.to_row() for service, state in rollout_states_of(value).items()}
        if rollouts != self.rollouts:
            self.rollouts, self.rollouts_version = rollouts, value["n"]
        self.recent_steps.append(VersionStep(self.version, value["n"], changed_starts))
        self.version, self.services = value["n"], value["s"]

    def update_since(self, known_version: int) -> TableUpdate | None:
        """Returns the update from `known_version` to the newest version, or None if it is the newest version.

        The update contains the whole table if some of the version steps since then are no longer kept.
        """
        if known_version >= self.version:
            return None
        steps = [step for step in self.recent_steps if step.to_version > known_version]
        if known_version <= 0 or not steps or steps[0].from_version > known_version:
            return TableUpdate(
                self.version, self.services, drain_steps=self.drain_steps, rollouts=self.rollouts or None
            )
        starts_by_service: dict[str, set[str]] = {}
        for step in steps:
            for service, changed in step.changed_starts.items():
                starts_by_service.setdefault(service, set()).update(changed)
        rows = {
            service: {start: self.services[service][start] for start in changed}
            for service, changed in starts_by_service.items()
        }
        drain_steps = self.drain_steps if self.drain_steps_version > known_version else None
        rollouts = self.rollouts if self.rollouts_version > known_version else None
        return TableUpdate(self.version, rows, known_version, drain_steps, rollouts)
