"""The work of the current coordinator: slice moves, lease grants, drain plans, rollouts, and ejections.

Two coordinators at the same time are safe: every change is agreed by a quorum, and each grant depends on
the quorum contact of the controller that sends it. The other controllers do none of this work.
"""

import math
from collections.abc import Callable
from typing import Any

from ..common.worker_registry import READY
from .chosen_values import ChosenValues
from .consensus.registers import TABLE
from .drain_plans import drain_steps_of, worker_drains_of
from .drain_progress import DrainProgress
from .key_leases import GRANT, KeyLeases
from .key_releases import KeyReleases
from .lease_calls import EXPIRED, LeaseCalls
from .outlier_detection import OutlierDetection, ejections_of, with_ejections
from .placement import PlacementPlanner, apply_slice_changes
from .quorum_contact import QuorumContact
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO
from .read_replicas import ReadReplicas, without_expired_readers
from .registry_exchange import RegistryExchange
from .rollout_progress import RolloutProgress
from .rollouts import rollout_states_of, rollouts_of, update_rollouts, workers_of_undecided_rollouts
from .runtime import Runtime

OUTLIER_CHECK_INTERVAL = 0.5  # s, the same as the policy's turn interval


class CoordinatorLoop:
    """The coordinator's work at this controller. At most one change of the table is proposed at a time."""

    placement: PlacementPlanner  # `Controller.set_planner` sets it before the first step

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        chosen_values: ChosenValues,
        registry_exchange: RegistryExchange,
        key_leases: KeyLeases,
        read_replicas: ReadReplicas,
        key_releases: KeyReleases,
        lease_calls: LeaseCalls,
        drain_progress: DrainProgress,
        outlier_detection: OutlierDetection,
        rollout_progress: RolloutProgress,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.chosen_values, self.registry_exchange = chosen_values, registry_exchange
        self.registry = registry_exchange.registry
        self.key_leases, self.read_replicas = key_leases, read_replicas
        self.key_releases, self.lease_calls = key_releases, lease_calls
        self.drain_progress, self.outlier_detection = drain_progress, outlier_detection
        self.rollout_progress = rollout_progress
        self.grant_claims = quorum_contact.grant_claims
        self.on_claim: Callable[[], None] = lambda: None  # called when this controller claims to send grants
        self.is_coordinator = False  # as of the last step
        self.is_proposing = False
        self.next_outlier_check_at = 0.0

    def step(self, now: float) -> None:
        """Do the work that is due, if this controller is the coordinator."""
        self._update_role(now)
        configuration = self.chosen_values.configuration
        if not self.is_coordinator or configuration is None:
            return
        table = self.quorum_io.consensus.value(TABLE)
        services = configuration.services
        keyed_services = {name for name, service in services.items() if service.keyed}
        if table is not None:
            self._renew_leases(now, table, keyed_services)
            if worker_drains_of(table) and not self.is_proposing:
                self._advance_drain_plans(now, table)
            if rollouts_of(table) and not self.is_proposing:
                self._advance_rollouts(now, table, keyed_services)
            if now >= self.next_outlier_check_at:
                self.next_outlier_check_at = now + OUTLIER_CHECK_INTERVAL
                self._eject_outliers(now, table)
        if not self.is_proposing:
            self._move_slices(now, services, keyed_services, table)

    def change_table(self, change: Callable[[Any], tuple[Any, Any]]) -> None:
        """Propose a change of the table.

        Nothing changes if this controller may no longer act for the cluster when the change is applied.
        """
        self.is_proposing = True

        def change_if_current(table: Any) -> tuple[Any, Any]:
            return change(table) if self.quorum_contact.is_current(self.runtime.now()) else (None, None)

        self.quorum_io.propose(TABLE, change_if_current, self._proposal_finished, PROPOSAL_TIMEOUT)

    def _proposal_finished(self, outcome: Any) -> None:
        """Handle the outcome of a proposal; None if it is unknown, or if the change was not allowed."""
        self.is_proposing = False
        if outcome is None:
            self.placement.reset()  # the next plan starts from the agreed table
        self.chosen_values.refresh()

    def _update_role(self, now: float) -> None:
        is_coordinator = (
            self.quorum_contact.coordinator(now) == self.runtime.own_address
            and self.chosen_values.configuration is not None
        )
        if is_coordinator == self.is_coordinator:
            return
        self.is_coordinator = is_coordinator
        event = "became coordinator" if is_coordinator else "no longer coordinator"
        self.runtime.log.info(event, step="coordinator")
        if is_coordinator:
            self.grant_claims.start_granting(now)
            self.on_claim()
            self.placement.reset()  # other coordinators may have moved slices since the last plan
            self.key_leases.calls_in_flight.clear()
        else:
            self.grant_claims.stop_granting(now)

    def _renew_leases(self, now: float, table: Any, keyed_services: set[str]) -> None:
        """Send the lease calls that are due, and propose the removal of expired readers."""
        contact_until = self.quorum_contact.lease_contact_until(now)
        if contact_until <= now:
            return
        calls, released = self.key_leases.next_calls(
            now, table, keyed_services, self.registry, self._unknown_grants_until
        )
        for call in calls:
            if call.kind == GRANT:
                self.key_leases.arrivals.grant_planned(call.instance_id, contact_until)
            self.lease_calls.start(self.lease_calls.grant_or_release(call, contact_until))
        for released_keys in released:
            if not self.key_releases.contains(released_keys):
                self.lease_calls.log_freed_keys(released_keys, EXPIRED)
            self.key_releases.add(released_keys)
        leases, expired_readers = self.read_replicas.due_leases(now, table, self.registry)
        for lease in leases:
            self.lease_calls.start(self.lease_calls.lease_replica(lease, contact_until))
        if expired_readers and not self.is_proposing:
            self.change_table(lambda latest: without_expired_readers(latest, expired_readers))

    def _unknown_grants_until(self, table_version: int) -> float:
        """Return when the last grant can have been sent that rests on an older table and is not known here.

        These are the grants of other controllers, and those of an earlier process of this one. Returns
        infinity if no majority of the voters bounds that time.
        """
        now, consensus, claims = self.runtime.now(), self.quorum_io.consensus, self.grant_claims
        claims.record_epoch(now, consensus.epoch)
        started_at = self.runtime.started_at
        if now < claims.epoch_since + self.key_leases.lease_expiry_delay:
            return math.inf
        has_accepted = consensus.durable_accepted[TABLE] >= consensus.chosen[TABLE][0]
        own_age = None
        if consensus.is_active_voter and has_accepted:
            own_age = claims.claim_age(now, started_at, excluded=self.runtime.own_address)
        return max(started_at, claims.others_granted_until(now, consensus.voters, table_version, own_age))

    def _advance_drain_plans(self, now: float, table: Any) -> None:
        capacities = self.placement.service_capacities()
        change = self.drain_progress.next_change(now, table, self.registry, capacities)
        if change is not None:
            self.change_table(change)

    def _advance_rollouts(self, now: float, table: Any, keyed_services: set[str]) -> None:
        capacities = self.placement.service_capacities()
        updates = self.rollout_progress.next_updates(now, table, self.registry, capacities, keyed_services)
        if not updates:
            return
        for service, update in updates.items():
            self.runtime.log.notice(
                "rollout",
                step=update.phase,
                service=service,
                elapsed=update.elapsed,
                reason=update.reason,
            )
        self.change_table(lambda latest: update_rollouts(latest, updates))

    def _eject_outliers(self, now: float, table: Any) -> None:
        """Propose to eject the outliers, and to end the ejections whose duration is over."""
        out_of_use = self.registry_exchange.timed_out_workers(now) | drain_steps_of(table).keys()
        # a verdict on a version is the rollout's, and must not be hidden by ejections of its workers
        out_of_use |= workers_of_undecided_rollouts(rollout_states_of(table), self.registry.registrations)
        in_use: dict[str, list[str]] = {}  # by service
        for instance_id, registration in self.registry.registrations.items():
            if registration.phase == READY and instance_id not in out_of_use:
                in_use.setdefault(registration.service, []).append(instance_id)
        outliers = self.outlier_detection.find_outliers(in_use)
        planned = self.outlier_detection.plan_ejections(now, table, outliers, in_use)
        expected = ejections_of(table)
        if with_ejections(table, planned, expected)[0] is not None and not self.is_proposing:
            self.runtime.log.info("proposing ejections", step="outlier detection", ejections=planned)
            self.change_table(lambda latest: with_ejections(latest, planned, expected))

    def _move_slices(self, now: float, services: Any, keyed_services: set[str], table: Any) -> None:
        """Propose the moves, splits and readers that the planner decides on."""
        changes = self.placement.plan_changes(
            now,
            services,
            self.chosen_values.latency_targets,
            self.registry,
            self.registry_exchange.timed_out_workers(now),
            table,
        )
        if changes:
            moves = {  # by service: the numbers of assignments and splits
                service: (len(planned.assignments), len(planned.splits))
                for service, planned in changes.items()
            }
            version = self.quorum_io.consensus.version(TABLE)
            self.runtime.log.info("proposing slice moves", step="placement", moves=moves, table=version)
            self.change_table(lambda latest: apply_slice_changes(latest, changes, keyed_services))
