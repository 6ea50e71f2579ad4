"""The messages between a controller and a proxy."""

from typing import Any, NamedTuple

from ..rollout_counts import is_rollout_counts
from ..rollouts import is_rollout_row
from . import kinds
from .fields import Fields, is_text
from .greetings import Versions
from .shapes import (
    is_count_map,
    is_hot_key_status,
    is_number_map,
    is_slice_map,
    is_work_in_flight,
    is_worker_row,
)


class ProxyHeartbeat(NamedTuple):
    """The state of a controller, which it sends to each proxy.

    It sends a heartbeat twice a second, and whenever `is_current` changes. The fields from `zone` to
    `hot_keys` change seldom. A heartbeat contains them only if they have changed since an earlier one on the
    connection.
    """

    versions: Versions  # the newest versions that proxies may follow
    is_current: bool  # whether the sender has quorum contact, its disk responds, and it is not shutting down
    is_coordinator: bool
    proxy_count: int
    # the digest of the live workers in the sender's registry; None from earlier releases
    live_digest: int | None = None
    silent_workers: list[str] | None = None  # the instance ids of the workers without a recent contact
    zone: str | None = None
    controllers: list[str] | None = None
    # the fraction of a zone's requests that stay in the zone, by service and zone; only from the coordinator
    zone_affinity: dict[str, Any] | None = None
    # by service a list of two lists: the ranges of keys to watch, and the hot keys; only with `zone_affinity`
    hot_keys: dict[str, Any] | None = None

    @classmethod
    def from_wire(cls, message: dict) -> "ProxyHeartbeat":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(
            fields.versions("n"),
            fields.flag("whole"),
            fields.flag("scribe"),
            fields.integer("desks"),
            fields.integer("live", None),
            fields.texts("silent", None),
            fields.text("zone", None),
            fields.texts("archives", None),
            fields.map_of("near", is_number_map, "fractions of requests by zone", None),
            fields.map_of("crowds", is_hot_key_status, "ranges and keys", None),
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        wire_form = {
            "k": kinds.HEARTBEAT,
            "n": self.versions,
            "whole": self.is_current,
            "scribe": self.is_coordinator,
            "desks": self.proxy_count,
        }
        for key, value in (
            ("live", self.live_digest),
            ("silent", self.silent_workers),
            ("zone", self.zone),
            ("archives", self.controllers),
            ("near", self.zone_affinity),
            ("crowds", self.hot_keys),
        ):
            if value is not None:
                wire_form[key] = value
        return wire_form


class Subscribe(NamedTuple):
    """A proxy requests that this controller pushes all updates after the given versions to it."""

    versions: Versions

    @classmethod
    def from_wire(cls, message: dict) -> "Subscribe":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        return cls(Fields(message).versions("have"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.SUBSCRIPTION, "on": True, "have": self.versions}


class Unsubscribe(NamedTuple):
    """A proxy requests no further updates from this controller: it has subscribed to another one."""

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.SUBSCRIPTION, "on": False}


def subscription_from_wire(message: dict) -> Subscribe | Unsubscribe:
    """Decode a subscription or its end, which have the same kind on the wire.

    Raises PeerMessageError if the message is malformed.
    """
    return Subscribe.from_wire(message) if Fields(message).flag("on") else Unsubscribe()


class UpdateRequest(NamedTuple):
    """A proxy requests the changes of a register since a version, from a controller of its choice."""

    register: str
    version: int  # the version that the proxy has; 0 for none

    @classmethod
    def from_wire(cls, message: dict) -> "UpdateRequest":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(fields.text("r"), fields.integer("have"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.UPDATE_REQUEST, "r": self.register, "have": self.version}


class LoadReport(NamedTuple):
    """The requests that a proxy has counted and its observations of workers since its last report."""

    interval: float  # the length in s of the interval that the report covers
    range_counts: dict[str, Any]  # the number of requests, by service and range of keys
    # by worker: attempts, attempts without a response, mean response time in s, the load that the worker
    # stated or None, and the number of server errors if there are any
    workers: dict[str, list]
    key_counts: dict[str, Any] | None = None  # the number of requests, by service and key, in watched ranges
    table_version: int | None = None  # the version that the proxy follows; only in drain plans and rollouts
    # by worker in a drain plan or excluded by a rollout: the number of idempotent requests in flight, the
    # number of non-idempotent requests in flight plus that of the keys that affinity binds to the worker, and
    # the age in s of the oldest request
    in_flight: dict[str, Any] | None = None
    # by service with an undecided rollout: a row of `RolloutCounts`
    rollout_counts: dict[str, list] | None = None

    @classmethod
    def from_wire(cls, message: dict) -> "LoadReport":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(
            fields.number("over"),
            fields.map_of("heat", is_count_map, "requests by range of keys"),
            fields.map_of("met", is_worker_row, "rows of a worker"),
            fields.map_of("keys", is_count_map, "requests by key", None),
            fields.integer("n", None),
            fields.map_of("left", is_work_in_flight, "rows of three numbers", None),
            fields.map_of("ro", is_rollout_counts, "counts of a rollout", None),
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        wire_form = {
            "k": kinds.LOAD_REPORT,
            "over": self.interval,
            "heat": self.range_counts,
            "met": self.workers,
        }
        for key, value in (
            ("n", self.table_version),
            ("left", self.in_flight),
            ("keys", self.key_counts),
            ("ro", self.rollout_counts),
        ):
            if value is not None:
                wire_form[key] = value
        return wire_form


class ConfirmationRequest(NamedTuple):
    """A proxy asks a controller which versions are the newest."""

    requested_at: float  # on the proxy's clock; the Confirmation contains it again

    @classmethod
    def from_wire(cls, message: dict) -> "ConfirmationRequest":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        return cls(Fields(message).number("t"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.CONFIRMATION_REQUEST, "t": self.requested_at}


class Confirmation(NamedTuple):
    """A current controller states which versions are the newest."""

    requested_at: float  # that of the ConfirmationRequest
    versions: Versions

    @classmethod
    def from_wire(cls, message: dict) -> "Confirmation":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(fields.number("t"), fields.versions("n"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.CONFIRMATION, "t": self.requested_at, "n": self.versions}


class RemoveReaders(NamedTuple):
    """A proxy requests that unreachable workers are removed from the readers of a key."""

    request_id: int
    service: str
    key: int
    instance_ids: tuple[str, ...]

    @classmethod
    def from_wire(cls, message: dict) -> "RemoveReaders":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        instance_ids = tuple(fields.texts("lives"))
        return cls(fields.integer("id"), fields.text("service"), fields.integer("key"), instance_ids)

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {
            "k": kinds.REMOVE_READERS,
            "id": self.request_id,
            "service": self.service,
            "key": self.key,
            "lives": self.instance_ids,
        }


class ReadersRemoved(NamedTuple):
    """The controllers have agreed on the removal of readers."""

    request_id: int  # of the RemoveReaders
    table_version: int  # the version of the table without these readers

    @classmethod
    def from_wire(cls, message: dict) -> "ReadersRemoved":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(fields.integer("id"), fields.integer("n"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.READERS_REMOVED, "id": self.request_id, "n": self.table_version}


class ConfigurationUpdate(NamedTuple):
    """A configuration that proxies follow."""

    version: int
    configuration: dict[str, Any]  # in the form in which the operator sent it

    @classmethod
    def from_wire(cls, message: dict) -> "ConfigurationUpdate":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(fields.integer("n"), fields.mapping("config"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {"k": kinds.CONFIGURATION_UPDATE, "n": self.version, "config": self.configuration}


class TableUpdate(NamedTuple):
    """A slice table that proxies follow: the whole table, or its changes since the base version."""

    version: int
    services: dict[str, Any]  # rows by service and first key: see `common.slice_table`
    base: int | None = None  # the version that the changes apply to; None for the whole table
    # the steps of workers in their drain plans, by instance id; None if they are those of the base
    drain_steps: dict[str, str] | None = None
    rollouts: dict[str, list] | None = None  # rows of `RolloutState` by service; None if as in the base

    @classmethod
    def from_wire(cls, message: dict) -> "TableUpdate":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        base = fields.integer("base", None)
        services = fields.map_of("s" if base is None else "d", is_slice_map, "rows by first key")
        return cls(
            fields.integer("n"),
            services,
            base,
            fields.map_of("w", is_text, "steps", None),
            fields.map_of("ro", is_rollout_row, "rows of a rollout", None),
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        wire_form: dict[str, Any] = {"k": kinds.TABLE_UPDATE, "n": self.version}
        wire_form |= {"s": self.services} if self.base is None else {"base": self.base, "d": self.services}
        if self.drain_steps is not None:
            wire_form["w"] = self.drain_steps
        if self.rollouts is not None:
            wire_form["ro"] = self.rollouts
        return wire_form
