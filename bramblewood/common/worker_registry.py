"""The registry of workers: a mergeable map of registrations that every controller and every proxy holds.

Invariant: registries that have merged the same registrations agree, whatever the order in which the
registrations arrived. Of two registrations of one instance, one with the phase "gone" takes precedence, then
the one with the higher call sequence number, then the one with the later phase (ready, draining, gone).
"Gone" is final.

The time of a worker's last contact is sent as an age, since the monotonic clocks of two machines differ.

The last call of an instance deregisters it. If the controller does not know the instance, the call creates a
registration without an address, whose phase is "gone". That registration receives its missing fields from any
other registration of the instance, whichever of the two arrives first.

On the wire and on disk a registration is the list of its fields, in their order. All times are in s of the
monotonic clock.
"""

import zlib
from collections.abc import Collection
from typing import Any, NamedTuple

from .errors import PeerMessageError
from .messages.fields import is_number, is_text

READY, DRAINING, GONE = "ready", "draining", "gone"
PHASE_ORDER = {READY: 0, DRAINING: 1, GONE: 2}
# s that the registration of a gone worker is kept, so that a late message does not register the worker again
GONE_RETENTION = 600.0

# s after its first registration for which a worker is taken to be slow, if it states no longer time itself
MIN_WARM_UP = 3.0
MIN_ROW_LENGTH = 6  # fields in the rows of the earliest releases
# the names of a registration's fields in operators' views, in the order of the fields
VIEW_KEYS = ("service", "address", "zone", "slots", "phase", "seq", "cold", "revision")

RegistrationRow = list[Any]  # a registration in the form that is sent and stored


class WorkerRegistration(NamedTuple):
    """The state that a worker reported of itself in one call."""

    service: str
    address: str
    zone: str
    slots: int
    phase: str
    call_sequence: int
    warm_up_left: float = 0.0  # s that the worker's warm-up still took at the time of the call
    revision: str = ""  # of the worker's software

    @classmethod
    def from_row(cls, row: Any) -> "WorkerRegistration":
        """Return the registration in a row. Raises PeerMessageError if the row is not a registration."""
        if not MIN_ROW_LENGTH <= len(row) <= len(VIEW_KEYS):
            raise PeerMessageError(
                f"expected a registration of {MIN_ROW_LENGTH} to {len(VIEW_KEYS)} fields, found {len(row)}"
            )
        registration = cls(*row)
        texts = registration.service, registration.address, registration.zone, registration.revision
        numbers = registration.slots, registration.call_sequence, registration.warm_up_left
        if not all(map(is_text, texts)) or not all(map(is_number, numbers)):
            raise PeerMessageError(f"registration with a field of the wrong type: {row!r:.80}")
        if registration.phase not in PHASE_ORDER:
            raise PeerMessageError(f"registration with an unknown phase: {registration.phase!r:.40}")
        return registration

    def to_view(self) -> dict[str, Any]:
        """Return the fields by their names in operators' views (`/view/roll`, `--json`)."""
        return dict(zip(VIEW_KEYS, self, strict=True))

    @classmethod
    def from_view(cls, view: dict[str, Any]) -> "WorkerRegistration":
        """Return the registration in a view: the inverse of `to_view`. Other keys of the view are ignored."""
        return cls(*(view[key] for key in VIEW_KEYS))

    def precedence(self) -> tuple[bool, int, int]:
        """Return a sort key. Of two registrations of one instance, the higher one takes precedence."""
        return (self.phase == GONE, self.call_sequence, PHASE_ORDER.get(self.phase, 0))


class WorkerRegistry:
    """The registrations by instance id, with the time of each instance's last contact and last change."""

    def __init__(self) -> None:
        self.registrations: dict[str, WorkerRegistration] = {}
        # the time of the last contact of any controller or proxy with an instance
        self.last_contact_at: dict[str, float] = {}
        # the time at which an instance's phase, address or slots last changed in this registry
        self.changed_at: dict[str, float] = {}
        self.warm_at: dict[str, float] = {}  # the time at which an instance's warm-up ends
        self.instance_by_address: dict[str, str] = {}  # the newest instance at each address
        self._live_digest: int | None = None  # None: must be computed again

    def record(
        self, now: float, instance_id: str, registration: WorkerRegistration, age: float = 0.0
    ) -> bool:
        """Merge a registration that is `age` s old.

        Returns whether the instance's phase, address or slots have changed, so that the registration has to
        be sent to other controllers and proxies.
        """
        known = self.registrations.get(instance_id)
        if registration.phase != GONE:
            self._update_last_contact(instance_id, now - age)
        if known is not None and registration.precedence() <= known.precedence():
            if registration.address and not known.address:
                self.registrations[instance_id] = registration._replace(
                    phase=GONE, call_sequence=known.call_sequence
                )
            return False
        if known is not None and not registration.address:
            registration = known._replace(phase=GONE, call_sequence=registration.call_sequence)
        self.registrations[instance_id] = registration
        if known is not None and propagated_fields(known) == propagated_fields(registration):
            return False
        self._live_digest = None
        self.changed_at[instance_id] = now
        self.warm_at[instance_id] = now + registration.warm_up_left
        if registration.phase != GONE:
            self._assign_address(now, instance_id, registration.address)
        return True

    def _update_last_contact(self, instance_id: str, contact_at: float) -> None:
        self.last_contact_at[instance_id] = max(self.last_contact_at.get(instance_id, 0.0), contact_at)

    def _assign_address(self, now: float, instance_id: str, address: str) -> None:
        """Record the instance at its address. Of two instances at one address, the older one is set to gone.

        The newer instance is the one with the later contact.
        """
        other_id = self.instance_by_address.get(address)
        other = self.registrations.get(other_id) if other_id not in (None, instance_id) else None
        if other is not None and other.phase != GONE:
            other_is_newer = self.last_contact_at.get(other_id, 0.0) > self.last_contact_at[instance_id]
            older_id = instance_id if other_is_newer else other_id
            self.registrations[older_id] = self.registrations[older_id]._replace(phase=GONE)
            self.changed_at[older_id] = now
            if other_is_newer:
                return
        self.instance_by_address[address] = instance_id

    def record_all(
        self, now: float, rows: dict[str, RegistrationRow], ages: dict[str, float] | None = None
    ) -> tuple[dict[str, RegistrationRow], dict[str, RegistrationRow]]:
        """Merge the rows that another controller or a proxy sent.

        `ages` contains the time in s since the sender's last contact, by instance id. A missing age counts as
        0.

        Returns the rows that changed this registry, and this registry's rows of the workers that are draining
        or gone and for which the sender's row is older. Raises PeerMessageError if a row is not a
        registration; no row is merged in that case.
        """
        ages = ages or {}
        registrations = {instance_id: WorkerRegistration.from_row(row) for instance_id, row in rows.items()}
        changed = [
            instance_id
            for instance_id, registration in registrations.items()
            if self.record(now, instance_id, registration, ages.get(instance_id, 0.0))
        ]
        changed_rows = {instance_id: [*self.registrations[instance_id]] for instance_id in changed}
        newer_rows = {}
        for instance_id, received in registrations.items():
            local = self.registrations[instance_id]
            if local.phase != READY and local.precedence() > received.precedence():
                newer_rows[instance_id] = [*local]
        return changed_rows, newer_rows

    def departing_registrations(self, since: float = 0.0) -> dict[str, RegistrationRow]:
        """Return the rows of the workers that are draining or gone and that changed at `since` or later."""
        return {
            instance_id: [*registration]
            for instance_id, registration in self.registrations.items()
            if registration.phase != READY and self.changed_at.get(instance_id, 0.0) >= since
        }

    def record_last_contacts(self, now: float, ages: dict[str, float]) -> None:
        """Merge the ages in s of another controller's last contacts. Unregistered instances are ignored."""
        for instance_id, age in ages.items():
            if instance_id in self.registrations:
                self._update_last_contact(instance_id, now - age)

    def contact_ages(self, now: float, max_age: float) -> dict[str, float]:
        """Return the ages in s of the last contacts by instance id, as far as they are at most `max_age`."""
        return {
            instance_id: round(now - contact_at, 2)
            for instance_id, contact_at in self.last_contact_at.items()
            if now - contact_at <= max_age
        }

    def timed_out(self, now: float, timeout: float) -> set[str]:
        """Return the instances that are not gone and whose last contact is more than `timeout` s ago."""
        return {
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.phase != GONE and now - self.last_contact_at.get(instance_id, 0.0) > timeout
        }

    def live_instances(self) -> list[str]:
        """Return the instance ids of the workers that are not gone."""
        return [
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.phase != GONE
        ]

    def live_digest(self, excluded: Collection[str] = ()) -> int:
        """Return a digest of the instance ids of the live workers, which are those that are not gone.

        Two registries with the same live workers have the same digest. The workers in `excluded`, which must
        be registered, do not count.
        """
        if self._live_digest is None:
            self._live_digest = sum(map(instance_digest, self.live_instances()))
        excluded_live = (
            instance_id for instance_id in excluded if self.registrations[instance_id].phase != GONE
        )
        return self._live_digest - sum(map(instance_digest, excluded_live))

    def ready_instances(self, service: str) -> list[str]:
        """Return the instance ids of a service's workers whose phase is ready."""
        return [
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.service == service and registration.phase == READY
        ]

    def is_warm(self, now: float, instance_id: str) -> bool:
        """Return whether a worker has run long enough that its response times can be judged."""
        registered_at = self.changed_at.get(instance_id, now)
        return now >= max(self.warm_at.get(instance_id, now), registered_at + MIN_WARM_UP)

    def remove_expired(self, now: float) -> None:
        """Remove the workers that have been gone for more than GONE_RETENTION."""
        expired = [
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.phase == GONE and now - self.changed_at.get(instance_id, 0.0) > GONE_RETENTION
        ]
        for instance_id in expired:
            address = self.registrations[instance_id].address
            if self.instance_by_address.get(address) == instance_id:
                del self.instance_by_address[address]
            for state in (self.registrations, self.last_contact_at, self.changed_at, self.warm_at):
                state.pop(instance_id, None)


def instance_digest(instance_id: str) -> int:
    """Return one worker's summand in the digest of live workers."""
    return zlib.crc32(instance_id.encode())


def propagated_fields(registration: WorkerRegistration) -> tuple[str, str, int]:
    """Return the fields whose change is sent to other controllers and proxies at once."""
    return registration.phase, registration.address, registration.slots
