"""Messages that go between a controller and a proxy."""

from typing import Any, NamedTuple

from . import kinds
from .fields import Fields, is_text
from .greetings import Versions
from .shapes import is_counts, is_fractions, is_hot_key_status, is_slices, is_work_in_flight, is_worker_row


class ProxyHeartbeat(NamedTuple):
    """What a controller tells each proxy twice a second, and as it becomes current or ceases to."""

    versions: Versions  # newest versions that proxies may follow
    is_current: bool
    is_coordinator: bool
    proxy_count: int
    # of the live workers that the sender knows; None from earlier releases
    live_digest: int | None = None
    silent_workers: list[str] | None = None  # instance ids without a heartbeat for too long
    # what changes seldom is left out where it was sent on this connection before
    zone: str | None = None
    controllers: list[str] | None = None
    zone_affinity: dict[str, Any] | None = None  # by service and zone: the part of requests that stay in it
    hot_keys: dict[str, Any] | None = None  # by service; only with `zone_affinity`

    @classmethod
    def from_wire(cls, message: dict) -> "ProxyHeartbeat":
        """Read the form on the wire."""
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
            fields.map_of("near", is_fractions, "parts of requests by zone", None),
            fields.map_of("crowds", is_hot_key_status, "ranges and keys", None),
        )

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        made = {
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
                made[key] = value
        return made


class Subscribe(NamedTuple):
    """A proxy chooses this controller to push all updates to it, from the versions it has."""

    versions: Versions

    @classmethod
    def from_wire(cls, message: dict) -> "Subscribe":
        """Read the form on the wire."""
        return cls(Fields(message).versions("have"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.SUBSCRIPTION, "on": True, "have": self.versions}


class Unsubscribe(NamedTuple):
    """A proxy is pushed to from another controller now."""

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.SUBSCRIPTION, "on": False}


def subscription_from_wire(message: dict) -> Subscribe | Unsubscribe:
    """Both share one kind on the wire."""
    return Subscribe.from_wire(message) if Fields(message).flag("on") else Unsubscribe()


class UpdateRequest(NamedTuple):
    """A proxy asks for what it lacks of a register, whichever controller pushes to it."""

    register: str
    version: int  # that it has; 0 for none

    @classmethod
    def from_wire(cls, message: dict) -> "UpdateRequest":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(fields.text("r"), fields.integer("have"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.UPDATE_REQUEST, "r": self.register, "have": self.version}


class LoadReport(NamedTuple):
    """What a proxy saw of requests and workers since its last report, for the coordinator."""

    seconds: float  # that it covers
    heat: dict[str, Any]  # requests by service and range of keys
    # by worker: attempts, unanswered ones, mean time in s, load; then those that failed by its own fault
    workers: dict[str, list]
    keys: dict[str, Any] | None = None  # requests by service and single key, where counted
    table_version: int | None = None  # that it follows; only while a drain plan stands
    in_flight: dict[str, Any] | None = None  # by worker of a plan: requests under way

    @classmethod
    def from_wire(cls, message: dict) -> "LoadReport":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(
            fields.number("over"),
            fields.map_of("heat", is_counts, "requests by range of keys"),
            fields.map_of("met", is_worker_row, "rows of a worker"),
            fields.map_of("keys", is_counts, "requests by key", None),
            fields.integer("n", None),
            fields.map_of("left", is_work_in_flight, "rows of three numbers", None),
        )

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        made = {"k": kinds.LOAD_REPORT, "over": self.seconds, "heat": self.heat, "met": self.workers}
        for key, value in (("n", self.table_version), ("left", self.in_flight), ("keys", self.keys)):
            if value is not None:
                made[key] = value
        return made


class ConfirmationRequest(NamedTuple):
    """A proxy asks whether what it has is the newest."""

    asked_at: float  # on the proxy's clock, given back with the answer

    @classmethod
    def from_wire(cls, message: dict) -> "ConfirmationRequest":
        """Read the form on the wire."""
        return cls(Fields(message).number("t"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.CONFIRMATION_REQUEST, "t": self.asked_at}


class Confirmation(NamedTuple):
    """A controller that is current says which versions are the newest."""

    asked_at: float
    versions: Versions

    @classmethod
    def from_wire(cls, message: dict) -> "Confirmation":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(fields.number("t"), fields.versions("n"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.CONFIRMATION, "t": self.asked_at, "n": self.versions}


class RemoveReaders(NamedTuple):
    """A proxy asks that workers which don't answer are no read replicas of a key any more."""

    request_id: int
    service: str
    key: int
    instance_ids: tuple[str, ...]

    @classmethod
    def from_wire(cls, message: dict) -> "RemoveReaders":
        """Read the form on the wire."""
        fields = Fields(message)
        instance_ids = tuple(fields.texts("lives"))
        return cls(fields.integer("id"), fields.text("service"), fields.integer("key"), instance_ids)

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {
            "k": kinds.REMOVE_READERS,
            "id": self.request_id,
            "service": self.service,
            "key": self.key,
            "lives": self.instance_ids,
        }


class ReadersRemoved(NamedTuple):
    """The controllers have agreed on it."""

    request_id: int
    table_version: int

    @classmethod
    def from_wire(cls, message: dict) -> "ReadersRemoved":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(fields.integer("id"), fields.integer("n"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.READERS_REMOVED, "id": self.request_id, "n": self.table_version}


class ConfigurationUpdate(NamedTuple):
    """A configuration for proxies to follow."""

    version: int
    configuration: dict[str, Any]  # as the operator gave it

    @classmethod
    def from_wire(cls, message: dict) -> "ConfigurationUpdate":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(fields.integer("n"), fields.mapping("config"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {"k": kinds.CONFIGURATION_UPDATE, "n": self.version, "config": self.configuration}


class TableUpdate(NamedTuple):
    """A slice table for proxies to follow: all of it, or what changed since the base version."""

    version: int
    services: dict[str, Any]  # by service and first key: the entry; see `common.slice_table`
    base: int | None = None  # the version that `services` changes; None where it is the whole table
    # step in its drain plan, by worker; None where the base has the same
    leaving: dict[str, str] | None = None

    @classmethod
    def from_wire(cls, message: dict) -> "TableUpdate":
        """Read the form on the wire."""
        fields = Fields(message)
        base = fields.integer("base", None)
        services = fields.map_of("s" if base is None else "d", is_slices, "rows by first key")
        return cls(fields.integer("n"), services, base, fields.map_of("w", is_text, "steps", None))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        made: dict[str, Any] = {"k": kinds.TABLE_UPDATE, "n": self.version}
        made |= {"s": self.services} if self.base is None else {"base": self.base, "d": self.services}
        if self.leaving is not None:
            made["w"] = self.leaving
        return made
