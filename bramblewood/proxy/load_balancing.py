"""Chooses a worker for each request, from the slice table and from this proxy's own observations.

No I/O. Times are seconds of the loop's clock.

The slice table assigns each slice a worker and a second worker. This proxy's observations override the table
for its own requests: a worker that does not accept connections gets no requests during a backoff, and if the
first worker has no free slot, the less loaded of the two is chosen. A keyed request goes to its key's owner,
or, if it is idempotent, possibly to a worker with a read replica. No other worker is chosen for it.
"""

import zlib

from ..common.messages import TableUpdate
from ..common.slice_table import (
    DRAIN_ANNOUNCED,
    KEY_SPACE_SIZE,
    PREVIOUS_OWNER,
    SECOND_SHARE,
    SECOND_WORKER,
    WORKER,
    active_readers,
)
from ..common.worker_registry import DRAINING, GONE, READY, WorkerRegistration, WorkerRegistry
from .affinity import AffinityTable
from .request_counts import RequestCounts
from .rollout_trials import RolloutTrials
from .slice_lookup import SliceLookup
from .worker_observations import WorkerObservation, WorkerObservations

# A worker with this many more requests than slots counts as full: it "queues a few more", PROTOCOL.
FULL_QUEUE_LENGTH = 3
LOCAL_SLICES_VALIDITY = 0.25  # s for which the list of this zone's slices is cached: half a rebalancing cycle
# fraction of DrainS for which a draining worker still gets requests for the keys that it owns
DRAINING_OWNER_FRACTION = 0.6
MIXING_FACTOR = 2654435761  # 2**32 over the golden ratio: Knuth's multiplicative hash
# If the second worker's share of a slice's requests exceeds this, the less loaded of the two is chosen.
MIN_SECOND_SHARE = 0.1


class LoadBalancer:
    """Chooses workers for requests.

    registry: the worker registrations received from controllers. slices: the slice table. timed_out: workers
    whose last heartbeat at any controller is too old. local_fractions: by service, the fraction of this
    zone's requests that are sent to workers in this zone.
    """

    def __init__(self, drain_time: float, zone: str = "", exposure_share: float = 0.0) -> None:
        """drain_time: s, DrainS of the settings. zone: the zone of this proxy.

        exposure_share: the largest part of a service's requests that a bad version may get in a rollout.
        """
        self.drain_time, self.zone = drain_time, zone
        self.rollout_trials = RolloutTrials(exposure_share)
        self.registry = WorkerRegistry()
        self.slices = SliceLookup()
        self.observations = WorkerObservations()
        self.request_counts = RequestCounts()
        self.affinity = AffinityTable()
        self.timed_out: set[str] = set()
        self.local_fractions: dict[str, float] = {}
        # cached result of `_find_local_slices` by service: time of the search, first keys of the slices
        self._local_slices: dict[str, tuple[float, list[int]]] = {}

    def apply_table(self, update: TableUpdate) -> bool:
        """Apply an update of the slice table as `SliceLookup.apply` does, with the rollouts in it."""
        is_applied = self.slices.apply(update)
        self.rollout_trials.update(self.slices.rollouts)
        return is_applied

    def observation(self, instance_id: str) -> WorkerObservation:
        """Return this proxy's observation of a worker. It is created if there is none."""
        return self.observations.of(instance_id)

    def is_hot(self, service: str, key: int | None) -> bool:
        """Whether a key is hot according to the newest list of the coordinator."""
        return self.request_counts.is_hot(service, key)

    def in_handover(self, service: str, key: int) -> bool:
        """Whether a live previous owner still has to release a key."""
        entry = self.slices.entry(service, key)
        if not entry or not entry[PREVIOUS_OWNER]:
            return False
        registration = self.registry.registrations.get(entry[PREVIOUS_OWNER])
        return (
            registration is not None
            and registration.phase != GONE
            and entry[PREVIOUS_OWNER] not in self.timed_out
        )

    # --- requests without keys: distributed by a hash of the request id

    @staticmethod
    def hash_request_id(request_id: str) -> int:
        """Return the key of a request to a service without keys: a hash of its id."""
        return zlib.crc32(request_id.encode()) % KEY_SPACE_SIZE

    @staticmethod
    def locality_draw(request_id: str) -> float:
        """Return a number that is uniformly distributed in [0, 1) over request ids.

        It is independent of the choice among `WeightedTargets`, which is a hash of the same id. Two CRCs of
        one text with different prefixes differ by a constant. Therefore the CRC is multiplied by
        MIXING_FACTOR. Without that, either all or none of the requests of a target would stay in the zone.
        """
        mixed = zlib.crc32(b"near" + request_id.encode()) * MIXING_FACTOR % 2**32
        return mixed / 2**32

    def slice_key(self, now: float, service: str, request_id: str) -> int:
        """Return the key that selects the slice of a request to a service without keys.

        For the service's fraction in `local_fractions`, the slice is one whose worker is in this zone.
        """
        key = self.hash_request_id(request_id)
        if self.locality_draw(request_id) < self.local_fractions.get(service, 0.0):
            found_at, starts = self._local_slices.get(service, (-1e9, []))
            if now > found_at + LOCAL_SLICES_VALIDITY:
                starts = self._find_local_slices(now, service)
                self._local_slices[service] = (now, starts)
            if starts:
                return starts[key % len(starts)]
        return key

    def _find_local_slices(self, now: float, service: str) -> list[int]:
        """Return the first keys of the slices whose workers are in this zone and available."""
        local = {
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if self.registry.registrations[instance_id].zone == self.zone
        }
        available = {instance_id for instance_id in local if self.is_available(now, instance_id)}
        entries = self.slices.table.get(service, {})
        return [int(start) for start, entry in entries.items() if entry[WORKER] in available]

    # --- state of a worker

    def is_available(self, now: float, instance_id: str) -> bool:
        """Whether a worker may get new requests: usable, and not excluded by a rollout or an expected one."""
        return (
            self._is_usable(now, instance_id)
            and not self.is_excluded_by_rollout(instance_id)
            and not self._is_version_on_hold(now, instance_id)
        )

    def _is_usable(self, now: float, instance_id: str) -> bool:
        """Whether a worker is ready, not timed out, in no drain plan that has begun, and not in backoff."""
        registration = self.registry.registrations.get(instance_id)
        return (
            registration is not None
            and registration.phase == READY
            and instance_id not in self.timed_out
            and not self._has_drain_begun(instance_id)
            and self.observation(instance_id).backoff_until <= now
        )

    def _has_drain_begun(self, instance_id: str) -> bool:
        """Whether a drain plan excludes a worker from new requests.

        A drain that is only announced does not exclude the worker.
        """
        return self.slices.drain_steps.get(instance_id, DRAIN_ANNOUNCED) != DRAIN_ANNOUNCED

    def is_excluded_by_rollout(self, instance_id: str) -> bool:
        """Whether a rollout excludes a worker from all requests but those of its trial."""
        if not self.rollout_trials.by_service:
            return False
        registration = self.registry.registrations.get(instance_id)
        return registration is not None and self.rollout_trials.excludes(
            registration.service, registration.revision
        )

    def _is_version_on_hold(self, now: float, instance_id: str) -> bool:
        registration = self.registry.registrations[instance_id]
        return self.rollout_trials.is_on_hold(now, registration.service, registration.revision)

    def version_of(self, instance_id: str) -> str:
        """Return the version of a worker's software, "" if it is not known."""
        registration = self.registry.registrations.get(instance_id)
        return registration.revision if registration is not None else ""

    def _owner_drain_time_elapsed(
        self, now: float, instance_id: str, registration: WorkerRegistration
    ) -> bool:
        draining_since = self.registry.changed_at.get(instance_id, 0.0)
        return (
            registration.phase == DRAINING
            and now - draining_since > self.drain_time * DRAINING_OWNER_FRACTION
        )

    def load_per_slot(self, now: float, instance_id: str) -> float:
        """Return the estimated number of requests per slot at a worker."""
        slots = self.registry.registrations[instance_id].slots
        return self.observation(instance_id).requests_present(now) / slots

    def is_full(self, now: float, instance_id: str) -> bool:
        """Whether a worker is likely to reject a request because its queue is full."""
        capacity = self.registry.registrations[instance_id].slots + FULL_QUEUE_LENGTH
        return self.observation(instance_id).is_full(now, capacity)

    # --- choice of a worker

    def choose_worker(
        self,
        now: float,
        service: str,
        key: int | None,
        request_id: str,
        excluded: set[str],
        idempotent: bool = False,
        route: str = "",
    ) -> str | None:
        """Return the worker for a request, or None if no worker may get it now.

        key: None if the service has no keys. excluded: workers that earlier attempts rule out.
        idempotent: whether the request may run twice. route: the label of the request's route.
        """
        if key is not None:
            entry = self.slices.entry(service, key)
            return (
                self._choose_owner_or_reader(now, entry, request_id, excluded, idempotent) if entry else None
            )
        if not excluded and (worker := self._choose_for_trial(now, service, route, request_id)):
            return worker
        entry = self.slices.entry(service, self.slice_key(now, service, request_id))
        if entry is None:
            return self.least_loaded(now, service, excluded)
        return self._choose_from_slice(now, service, entry, excluded, idempotent)

    def _choose_for_trial(self, now: float, service: str, route: str, request_id: str) -> str | None:
        """Return the worker of a rollout's target version if the request is part of its trial, else None."""
        if not self.rollout_trials.may_try(service, route, request_id):
            return None
        candidates = [
            instance_id
            for instance_id in self.rollout_trials.trial_workers(now, service, self.registry)
            if self._is_usable(now, instance_id) and self.load_per_slot(now, instance_id) < 1.0
        ]
        return self._least_loaded_of(now, candidates)

    def _choose_owner_or_reader(
        self, now: float, entry: list, request_id: str, excluded: set[str], idempotent: bool
    ) -> str | None:
        """Return the worker for a keyed request, or None if no worker may get it now.

        An idempotent request goes to the owner or to one of the available readers, selected by a hash of its
        id. Any other request goes to the owner.
        """
        if idempotent:
            readers = [
                reader
                for reader in active_readers(entry)
                if reader not in excluded and self.is_available(now, reader)
            ]
            if readers:
                # the position after the last reader stands for the owner
                position = self.hash_request_id(request_id) % (len(readers) + 1)
                if position < len(readers):
                    return readers[position]
        owner = entry[WORKER]
        if not owner or entry[PREVIOUS_OWNER]:
            return None
        registration = self.registry.registrations.get(owner)
        if registration is None or registration.phase == GONE or self.observation(owner).backoff_until > now:
            return None
        return None if self._owner_drain_time_elapsed(now, owner, registration) else owner

    def _choose_from_slice(
        self, now: float, service: str, entry: list, excluded: set[str], idempotent: bool
    ) -> str | None:
        """Return the worker for a request in a slice of a service without keys, or None if none is available.

        It is one of the slice's two workers, or the least loaded worker of the service if neither is
        available or if the only available one has no free slot.
        """
        candidates = [
            instance_id
            for instance_id in (entry[WORKER], entry[SECOND_WORKER])
            if instance_id and instance_id not in excluded and self.is_available(now, instance_id)
        ]
        drain_steps = self.slices.drain_steps
        if not idempotent and any(instance_id in drain_steps for instance_id in candidates):
            # a non-idempotent request goes to a worker that no drain plan names, if there is one
            staying = self.least_loaded(now, service, {*excluded, *drain_steps})
            candidates = [staying] if staying else candidates
        if not candidates:
            return self.least_loaded(now, service, excluded)
        first = candidates[0]
        if len(candidates) == 1:
            return self._find_less_loaded(now, service, first, excluded) or first
        if entry[SECOND_SHARE] > MIN_SECOND_SHARE or self.load_per_slot(now, first) >= 1.0:
            return min(candidates, key=lambda instance_id: self.load_per_slot(now, instance_id))
        return first

    def _find_less_loaded(self, now: float, service: str, first: str, excluded: set[str]) -> str | None:
        """Return an available worker with fewer requests per slot than `first`.

        Returns None if there is none or if `first` has a free slot.
        """
        if self.load_per_slot(now, first) < 1.0:
            return None
        other = self.least_loaded(now, service, {*excluded, first})
        if other and self.load_per_slot(now, other) < self.load_per_slot(now, first):
            return other
        return None

    def least_loaded(self, now: float, service: str, excluded: set[str]) -> str | None:
        """Return the available worker of a service with the fewest requests per slot, or None.

        Ties are broken by a hash of instance id and time.
        """
        candidates = [
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if instance_id not in excluded and self.is_available(now, instance_id)
        ]
        return self._least_loaded_of(now, candidates)

    def _least_loaded_of(self, now: float, candidates: list[str]) -> str | None:
        return min(
            candidates,
            key=lambda instance_id: (
                self.load_per_slot(now, instance_id),
                zlib.crc32(f"{instance_id}{now}".encode()),
            ),
            default=None,
        )

    # --- affinity

    def set_affinity(self, now: float, service: str, key: str, instance_id: str, duration: float) -> None:
        """Bind a client's key to a worker for `duration` (s).

        A binding to a worker that a drain or a rollout excludes is neither created nor extended.
        """
        if not self._has_drain_begun(instance_id) and not self.is_excluded_by_rollout(instance_id):
            self.affinity.bind(service, key, instance_id, now + duration)

    def affinity_worker(self, now: float, service: str, key: str) -> str | None:
        """Return the worker that a client's key is bound to.

        Returns None if there is no such worker or if it may not get requests.
        """
        instance_id = self.affinity.worker(now, service, key)
        registration = self.registry.registrations.get(instance_id) if instance_id else None
        if registration is None or registration.phase == GONE or instance_id in self.timed_out:
            return None
        if self._owner_drain_time_elapsed(now, instance_id, registration):
            return None
        if self.is_excluded_by_rollout(instance_id):
            return None
        return None if self.observation(instance_id).backoff_until > now else instance_id

    def forget_departed(self) -> None:
        """Remove the observations of workers that are no longer registered."""
        self.observations.forget_departed(self.registry.registrations)
