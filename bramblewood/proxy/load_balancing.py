"""The choice of a worker for a request: by the slice table, corrected by what this proxy observes. Pure.

The table gives each slice its worker and a second one. What this proxy alone knows corrects it for its own
requests: a worker that did not accept its connections gets nothing for a while, and one whose newest stated
load is full gives way to the second while that has room. A keyed request goes to its key's owner, or, if it
is idempotent, to a worker with a read replica; there is no second choice. Times are seconds of the loop's
clock.
"""

import zlib

from ..common.slice_table import (
    DRAIN_ANNOUNCED,
    KEY_SPACE_SIZE,
    PREVIOUS_OWNER,
    SECOND,
    SECOND_SHARE,
    WORKER,
    active_readers,
)
from ..common.worker_registry import DRAINING, GONE, READY, WorkerRegistration, WorkerRegistry
from .affinity import AffinityTable
from .request_counts import RequestCounts
from .slice_lookup import SliceLookup
from .worker_observations import WorkerObservation, WorkerObservations

# requests waiting at a worker at which it counts as full; "queues a few more", PROTOCOL
FULL_QUEUE_LENGTH = 3
LOCAL_SLICES_VALIDITY = 0.25  # s that the list of this zone's slices is used: half a cycle of the moves
# of DrainS in which a draining worker may still get the keys that nobody else owns
DRAINING_OWNER_FRACTION = 0.6
MIXING_FACTOR = 2654435761  # 2**32 over the golden ratio: Knuth's multiplicative hash
MIN_SECOND_SHARE = 0.1  # a second worker's share above which the two are compared by load


class LoadBalancer:
    """Chooses workers for requests.

    registry: the workers as controllers state them. slices: the slice table. timed_out: workers that no
    controller has heard from. local_fractions: by service, the fraction of this zone's requests that stay in
    it.
    """

    def __init__(self, drain_time: float, zone: str = "") -> None:
        """drain_time: s, DrainS of the settings. zone: the one that this proxy stands in."""
        self.drain_time, self.zone = drain_time, zone
        self.registry = WorkerRegistry()
        self.slices = SliceLookup()
        self.observations = WorkerObservations()
        self.request_counts = RequestCounts()
        self.affinity = AffinityTable()
        self.timed_out: set[str] = set()
        self.local_fractions: dict[str, float] = {}
        self._local_slices: dict[str, tuple[float, list[int]]] = {}  # by service: when found, first keys

    def observation(self, instance_id: str) -> WorkerObservation:
        """What this proxy has observed of a worker."""
        return self.observations.of(instance_id)

    def is_hot(self, service: str, key: int | None) -> bool:
        """Whether a key is hot."""
        return self.request_counts.is_hot(service, key)

    def in_handover(self, service: str, key: int) -> bool:
        """Whether a key is being released by a worker that can be expected to answer."""
        entry = self.slices.entry(service, key)
        if not entry or not entry[PREVIOUS_OWNER]:
            return False
        registration = self.registry.registrations.get(entry[PREVIOUS_OWNER])
        return (
            registration is not None
            and registration.phase != GONE
            and entry[PREVIOUS_OWNER] not in self.timed_out
        )

    # --- requests without keys are spread by hash

    @staticmethod
    def hash_request_id(request_id: str) -> int:
        """The key in whose slice a request lies whose service has no keys."""
        return zlib.crc32(request_id.encode()) % KEY_SPACE_SIZE

    @staticmethod
    def locality_draw(request_id: str) -> float:
        """Evenly in [0, 1), by the request's id; independent of which part of `WeightedTargets` it is in.

        Two CRCs of one text with different prefixes differ by a constant, so the second draw is mixed by a
        multiplication: else a part of a route would stay in its zone all or none.
        """
        mixed = zlib.crc32(b"near" + request_id.encode()) * MIXING_FACTOR % 2**32
        return mixed / 2**32

    def slice_key(self, now: float, service: str, request_id: str) -> int:
        """The same, drawn from this zone's slices for the fraction of the requests that is to stay here."""
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
        """The first keys of the slices whose workers stand in this zone and are available."""
        local = {
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if self.registry.registrations[instance_id].zone == self.zone
        }
        available = {instance_id for instance_id in local if self.is_available(now, instance_id)}
        entries = self.slices.table.get(service, {})
        return [int(start) for start, entry in entries.items() if entry[WORKER] in available]

    # --- what is known of a worker

    def is_available(self, now: float, instance_id: str) -> bool:
        """Whether it may get new requests: ready as far as known, and not backed off from."""
        registration = self.registry.registrations.get(instance_id)
        return (
            registration is not None
            and registration.phase == READY
            and instance_id not in self.timed_out
            and not self._is_leaving(instance_id)
            and self.observation(instance_id).backoff_until <= now
        )

    def _is_leaving(self, instance_id: str) -> bool:
        """Whether a drain plan keeps new work from it, beyond announcing that it will."""
        return self.slices.drain_steps.get(instance_id, DRAIN_ANNOUNCED) != DRAIN_ANNOUNCED

    def _is_late_in_drain(self, now: float, instance_id: str, registration: WorkerRegistration) -> bool:
        since = self.registry.changed_at.get(instance_id, 0.0)
        return registration.phase == DRAINING and now - since > self.drain_time * DRAINING_OWNER_FRACTION

    def load_per_slot(self, now: float, instance_id: str) -> float:
        """Requests per slot that a worker has, as far as this proxy can tell."""
        slots = self.registry.registrations[instance_id].slots
        return self.observation(instance_id).requests_present(now) / slots

    def is_full(self, now: float, instance_id: str) -> bool:
        """Whether a worker would likely reject a request."""
        capacity = self.registry.registrations[instance_id].slots + FULL_QUEUE_LENGTH
        return self.observation(instance_id).is_full(now, capacity)

    # --- the choice

    def choose_worker(
        self,
        now: float,
        service: str,
        key: int | None,
        request_id: str,
        excluded: set[str],
        idempotent: bool = False,
    ) -> str | None:
        """The worker for a request now, or None while there is none that may get it.

        key: of a keyed service, else None. excluded: workers that were tried. idempotent: it may run twice.
        """
        if key is not None:
            entry = self.slices.entry(service, key)
            return self._owner_or_reader(now, entry, request_id, excluded, idempotent) if entry else None
        entry = self.slices.entry(service, self.slice_key(now, service, request_id))
        if entry is None:
            return self.least_loaded(now, service, excluded)
        return self._by_slice(now, service, entry, excluded, idempotent)

    def _owner_or_reader(
        self, now: float, entry: list, request_id: str, excluded: set[str], idempotent: bool
    ) -> str | None:
        """The worker for a key: its owner, or one of its readers."""
        if idempotent:
            readers = [
                reader
                for reader in active_readers(entry)
                if reader not in excluded and self.is_available(now, reader)
            ]
            if readers:
                position = self.hash_request_id(request_id) % (len(readers) + 1)  # the owner has a share
                if position < len(readers):
                    return readers[position]
        owner = entry[WORKER]
        if not owner or entry[PREVIOUS_OWNER]:
            return None
        registration = self.registry.registrations.get(owner)
        if registration is None or registration.phase == GONE or self.observation(owner).backoff_until > now:
            return None
        return None if self._is_late_in_drain(now, owner, registration) else owner

    def _by_slice(
        self, now: float, service: str, entry: list, excluded: set[str], idempotent: bool
    ) -> str | None:
        """The worker for a slice of a service without keys: one of its two, by load, else any."""
        candidates = [
            instance_id
            for instance_id in (entry[WORKER], entry[SECOND])
            if instance_id and instance_id not in excluded and self.is_available(now, instance_id)
        ]
        drain_steps = self.slices.drain_steps
        if not idempotent and any(instance_id in drain_steps for instance_id in candidates):
            # work that is to last goes to a worker that stays
            staying = self.least_loaded(now, service, {*excluded, *drain_steps})
            candidates = [staying] if staying else candidates
        if not candidates:
            return self.least_loaded(now, service, excluded)
        first = candidates[0]
        if len(candidates) == 1:
            return self._less_loaded_than(now, service, first, excluded) or first
        if entry[SECOND_SHARE] > MIN_SECOND_SHARE or self.load_per_slot(now, first) >= 1.0:
            return min(candidates, key=lambda instance_id: self.load_per_slot(now, instance_id))
        return first

    def _less_loaded_than(self, now: float, service: str, first: str, excluded: set[str]) -> str | None:
        """Another worker, where this one has no free slot and the other fewer requests a slot."""
        if self.load_per_slot(now, first) < 1.0:
            return None
        other = self.least_loaded(now, service, {*excluded, first})
        if other and self.load_per_slot(now, other) < self.load_per_slot(now, first):
            return other
        return None

    def least_loaded(self, now: float, service: str, excluded: set[str]) -> str | None:
        """The available worker of a service with the fewest requests a slot, of equal ones any."""
        candidates = [
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if instance_id not in excluded and self.is_available(now, instance_id)
        ]
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
        """Send what this key's client does next to the same worker, for so long (s).

        A worker that leaves is bound no longer than it was.
        """
        if not self._is_leaving(instance_id):
            self.affinity.bind(service, key, instance_id, now + duration)

    def affinity_worker(self, now: float, service: str, key: str) -> str | None:
        """The worker that a key's client is bound to, if it may get requests."""
        instance_id = self.affinity.worker(now, service, key)
        registration = self.registry.registrations.get(instance_id) if instance_id else None
        if registration is None or registration.phase == GONE or instance_id in self.timed_out:
            return None
        if self._is_late_in_drain(now, instance_id, registration):
            return None
        return None if self.observation(instance_id).backoff_until > now else instance_id

    def forget_departed(self) -> None:
        """Drop what was observed of workers that are no longer registered."""
        self.observations.forget_departed(self.registry.registrations)
