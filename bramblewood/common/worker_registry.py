"""The registry of workers: a mergeable map of registrations, kept by every controller and every proxy.

Invariant: registries that have taken the same registrations agree, in whatever order these came. Of two
registrations of one instance the one with the higher call number stands; of equal ones the later phase
(ready, draining, gone). "Gone" is final. When a worker was last heard travels as an age, never as a time of
day.

The last call of an instance that a controller has never heard of makes a registration without an address. It
is gone like any other, and takes what it lacks from any registration of that instance, whichever comes first.

A registration travels as a list, its fields in order. All times in s of the steady clock.
"""

import zlib
from collections.abc import Collection
from typing import Any, NamedTuple

from .errors import PeerMessageError
from .messages.fields import is_number, is_text

READY, DRAINING, GONE = "ready", "draining", "gone"
PHASE_ORDER = {READY: 0, DRAINING: 1, GONE: 2}
GONE_RETENTION = 600.0  # s that a worker that is gone is kept, so that a late message of it changes nothing

# names of a registration's fields on the operators' pages, in order
MIN_ROW_LENGTH = 6  # the fields that a row has always had
VIEW_KEYS = ("service", "address", "zone", "slots", "phase", "seq", "cold", "revision")

RegistrationRow = list[Any]  # a registration as it travels


class WorkerRegistration(NamedTuple):
    """What a worker said of itself in one call."""

    service: str
    address: str
    zone: str
    slots: int
    phase: str
    call_sequence: int
    warm_up_left: float = 0.0  # s that it was still slow when this was said
    revision: str = ""  # of its software

    @classmethod
    def from_row(cls, row: Any) -> "WorkerRegistration":
        """A registration in the form that it travels in. Raises PeerMessageError where the row is none."""
        if not MIN_ROW_LENGTH <= len(row) <= len(VIEW_KEYS):
            raise PeerMessageError(f"registration of {len(row)} fields")
        registration = cls(*row)
        texts = registration.service, registration.address, registration.zone, registration.revision
        numbers = registration.slots, registration.call_sequence, registration.warm_up_left
        if not all(map(is_text, texts)) or not all(map(is_number, numbers)):
            raise PeerMessageError(f"registration with fields of other types: {row!r:.80}")
        if registration.phase not in PHASE_ORDER:
            raise PeerMessageError(f"registration of an unknown phase: {registration.phase!r:.40}")
        return registration

    def to_view(self) -> dict[str, Any]:
        """The fields by their names on the operators' pages (`/view/roll`, `--json`)."""
        return dict(zip(VIEW_KEYS, self, strict=True))

    @classmethod
    def from_view(cls, view: dict[str, Any]) -> "WorkerRegistration":
        """The inverse of `to_view`; other keys of the page are left out."""
        return cls(*(view[key] for key in VIEW_KEYS))

    def precedence(self) -> tuple[bool, int, int]:
        """Of two registrations of one instance the one that is higher in this stands."""
        return (self.phase == GONE, self.call_sequence, PHASE_ORDER.get(self.phase, 0))


class WorkerRegistry:
    """The registrations by instance, and when each was heard and changed."""

    def __init__(self) -> None:
        self.registrations: dict[str, WorkerRegistration] = {}
        self.last_heard: dict[str, float] = {}  # when an instance was last heard to live, by anyone
        self.changed_at: dict[str, float] = {}  # when its phase, address or slots last changed here
        self.warm_at: dict[str, float] = {}  # when its slow start ends
        self.instance_by_address: dict[str, str] = {}  # the one that was registered there last
        self._live_digest: int | None = None  # None: to be worked out again

    def record(
        self, now: float, instance_id: str, registration: WorkerRegistration, age: float = 0.0
    ) -> bool:
        """Merge a registration; true if phase, address or slots, which others should know of, have changed.

        age: s since the worker said it.
        """
        known = self.registrations.get(instance_id)
        if registration.phase != GONE:
            self._hear(instance_id, now - age)
        if known is not None and registration.precedence() <= known.precedence():
            if registration.address and not known.address:
                self.registrations[instance_id] = registration._replace(
                    phase=GONE, call_sequence=known.call_sequence
                )
            return False
        if known is not None and not registration.address:
            registration = known._replace(phase=GONE, call_sequence=registration.call_sequence)
        self.registrations[instance_id] = registration
        if known is not None and known_to_others(known) == known_to_others(registration):
            return False
        self._live_digest = None
        self.changed_at[instance_id] = now
        self.warm_at[instance_id] = now + registration.warm_up_left
        if registration.phase != GONE:
            self._claim_address(now, instance_id, registration.address)
        return True

    def _hear(self, instance_id: str, at: float) -> None:
        self.last_heard[instance_id] = max(self.last_heard.get(instance_id, 0.0), at)

    def _claim_address(self, now: float, instance_id: str, address: str) -> None:
        """Of two instances at one address the one that was heard last is the newer; the older is gone."""
        other_id = self.instance_by_address.get(address)
        other = self.registrations.get(other_id) if other_id not in (None, instance_id) else None
        if other is not None and other.phase != GONE:
            other_is_newer = self.last_heard.get(other_id, 0.0) > self.last_heard[instance_id]
            older_id = instance_id if other_is_newer else other_id
            self.registrations[older_id] = self.registrations[older_id]._replace(phase=GONE)
            self.changed_at[older_id] = now
            if other_is_newer:
                return
        self.instance_by_address[address] = instance_id

    def record_all(
        self, now: float, rows: dict[str, RegistrationRow], ages: dict[str, float] | None = None
    ) -> tuple[dict[str, RegistrationRow], dict[str, RegistrationRow]]:
        """Merge what another controller or a proxy sent; ages: s since it heard of each, 0 where not told.

        Gives the rows that were new here, and, of workers that are draining or gone, the rows of which this
        registry knows something newer.
        """
        ages = ages or {}
        registrations = {instance_id: WorkerRegistration.from_row(row) for instance_id, row in rows.items()}
        changed = [
            instance_id
            for instance_id, registration in registrations.items()
            if self.record(now, instance_id, registration, ages.get(instance_id, 0.0))
        ]
        news = {instance_id: [*self.registrations[instance_id]] for instance_id in changed}
        newer_here = {}
        for instance_id, theirs in registrations.items():
            ours = self.registrations[instance_id]
            if ours.phase != READY and ours.precedence() > theirs.precedence():
                newer_here[instance_id] = [*ours]
        return news, newer_here

    def departing_registrations(self, since: float = 0.0) -> dict[str, RegistrationRow]:
        """The rows of workers that are draining or gone; since: only those that changed then or later."""
        return {
            instance_id: [*registration]
            for instance_id, registration in self.registrations.items()
            if registration.phase != READY and self.changed_at.get(instance_id, 0.0) >= since
        }

    def record_last_heard(self, now: float, ages: dict[str, float]) -> None:
        """Merge what another controller heard: how long ago (s) each instance spoke."""
        for instance_id, age in ages.items():
            if instance_id in self.registrations:
                self._hear(instance_id, now - age)

    def seconds_since_heard(self, now: float, within: float) -> dict[str, float]:
        """By instance how long ago it was heard, of those heard within so many s."""
        return {
            instance_id: round(now - at, 2)
            for instance_id, at in self.last_heard.items()
            if now - at <= within
        }

    def timed_out(self, now: float, timeout: float) -> set[str]:
        """Instances that no controller has heard for more than `timeout` s though they did not deregister."""
        return {
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.phase != GONE and now - self.last_heard.get(instance_id, 0.0) > timeout
        }

    def live_instances(self) -> list[str]:
        """The workers that are not gone."""
        return [one for one, registration in self.registrations.items() if registration.phase != GONE]

    def live_digest(self, without: Collection[str] = ()) -> int:
        """A number that two registries share if they know the same live workers; without: those left out."""
        if self._live_digest is None:
            self._live_digest = sum(map(instance_digest, self.live_instances()))
        left_out = (one for one in without if self.registrations[one].phase != GONE)
        return self._live_digest - sum(map(instance_digest, left_out))

    def ready_instances(self, service: str) -> list[str]:
        """The workers of a service that take requests, by their own word."""
        return [
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.service == service and registration.phase == READY
        ]

    def remove_expired(self, now: float) -> None:
        """Forget workers that have been gone for GONE_RETENTION."""
        expired = [
            instance_id
            for instance_id, registration in self.registrations.items()
            if registration.phase == GONE and now - self.changed_at.get(instance_id, 0.0) > GONE_RETENTION
        ]
        for instance_id in expired:
            for state in (self.registrations, self.last_heard, self.changed_at, self.warm_at):
                state.pop(instance_id, None)


def instance_digest(instance_id: str) -> int:
    """One worker's part of a digest."""
    return zlib.crc32(instance_id.encode())


def known_to_others(registration: WorkerRegistration) -> tuple[str, str, int]:
    """What other controllers and proxies act on; a change of it is sent on at once."""
    return registration.phase, registration.address, registration.slots
