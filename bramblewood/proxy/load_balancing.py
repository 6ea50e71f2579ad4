"""Steering: which worker a request goes to, by the agreed tables and what this desk has seen itself. Pure.

The table gives each slice its worker and a second one. What this desk alone knows corrects it for its own
requests: a worker that did not take its connections rests for a while, and one whose newest stated load is
full gives way to the second while that has room.
"""

import zlib
from bisect import bisect_right
from typing import Any

from cachetools import LRUCache

from ..common.slice_table import (
    DRAIN_ANNOUNCED,
    FENCING_TOKEN,
    KEY_SPACE_SIZE,
    KEYS_PER_RANGE,
    PREVIOUS_OWNER,
    SECOND,
    SECOND_SHARE,
    WORKER,
    active_readers,
    all_readers,
    sorted_starts,
)
from ..common.worker_registry import DRAINING, GONE, READY, WorkerRegistry
from .hot_key_queue import OVERLOADED_RATE_FACTOR, REJECTED_RATE_FACTOR, HotKeyQueue

BACKOFF_RANGE = (
    0.5,
    4.0,
)  # s that a worker rests here after a failure to connect or silence; doubled each time, at most
LOAD_VALIDITY = 1.0  # s that a stated load is believed; reports are about as old
FULL_QUEUE_VALIDITY = 0.15  # s that a full queue is believed: about a request's work
FULL_QUEUE_LENGTH = (
    3  # requests waiting at a worker at which it counts as full; "queues a few more", PROTOCOL
)
MAX_AFFINITY_KEYS = 4096  # keys whose clients' steps belong together, remembered at one desk
LOCAL_SLICES_VALIDITY = 0.25  # s that the list of this zone's slices is used: half a cycle of the moves
REJECTION_BACKOFF = 0.1  # s that a worker is left alone by requests bound to it after it turned one away
DRAINING_OWNER_FRACTION = (
    0.6  # of DrainS in which a keyed worker that leaves may still get what nobody else holds
)


class WorkerObservation:
    """What this desk saw of one worker."""

    __slots__ = (
        "in_flight",
        "non_idempotent_in_flight",
        "oldest_in_flight_at",
        "load",
        "load_at",
        "backoff_until",
        "backoff",
        "full_until",
        "hot_key_queue",
        "attempts",
        "failures",
        "server_errors",
        "response_time",
        "load_reported",
    )

    def __init__(self) -> None:
        self.in_flight = self.non_idempotent_in_flight = (
            0  # requests under way there, and how many of them are effects
        )
        self.oldest_in_flight_at = 0.0  # when the first of those under way went
        self.load, self.load_at = (0, 0, 0), -1e9  # running, waiting, slots, as the worker said
        self.backoff_until, self.backoff, self.full_until = 0.0, BACKOFF_RANGE[0], 0.0
        self.hot_key_queue = HotKeyQueue()
        self.attempts = self.failures = self.server_errors = (
            0  # since the last report; bad: went wrong by its own fault
        )
        self.response_time, self.load_reported = 0.0, False


class LoadBalancer:
    def __init__(self, drain: float, zone: str = "") -> None:
        self.zone = zone
        self.drain_steps: dict[str, str] = {}  # workers in an operator's plan, and their steps
        self.affinity: LRUCache = LRUCache(
            MAX_AFFINITY_KEYS
        )  # by service and key: the worker that began, until when
        self.local_fractions: dict[str, float] = {}  # by service, part of the requests that stay in this zone
        self.local_slices: dict[
            str, tuple[float, list[int]]
        ] = {}  # when looked up, slices whose workers stand here
        self.registry = WorkerRegistry()
        self.table: dict[str, dict[str, list]] = {}
        self.starts: dict[str, list[int]] = {}
        self.table_version = 0
        self.timed_out: set[str] = set()
        self.observations: dict[str, WorkerObservation] = {}
        self.range_counts: dict[str, dict[int, int]] = {}
        self.key_counts: dict[str, dict[int, int]] = {}  # heat of watched ranges, key by key
        self.watched_ranges: dict[str, set[int]] = {}  # by service, ranges of FINE keys
        # by service, keys that are asked for more than a worker can do
        self.hot_keys: dict[str, set[int]] = {}
        self.drain_time = drain

    def observation(self, instance_id: str) -> WorkerObservation:
        return self.observations.get(instance_id) or self.observations.setdefault(
            instance_id, WorkerObservation()
        )

    def apply_table(self, message: dict) -> bool:
        """A table or a difference to ours; false where its base is another than ours."""
        if message["n"] <= self.table_version:
            return True
        leaving = message.get("w", self.drain_steps)
        if "s" in message:
            self.table = message["s"]
            self.starts = {service: sorted_starts(entries) for service, entries in self.table.items()}
        elif message["base"] > self.table_version:
            return False
        else:
            for service, changes in message["d"].items():
                entries = self.table.setdefault(service, {})
                split = changes.keys() - entries.keys()
                entries.update(changes)
                if split:
                    self.starts[service] = sorted_starts(entries)
        self.table_version, self.drain_steps = message["n"], leaving
        return True

    # --- the choice

    def slice_entry(self, service: str, key: int) -> list | None:
        """The entry of the slice that this key lies in."""
        starts = self.starts.get(service)
        return self.table[service][str(starts[bisect_right(starts, key) - 1])] if starts else None

    def fencing_token(self, service: str, key: int | None) -> int | None:
        """The fence under which this desk takes a key to be held, as logs name it at every program."""
        entry = self.slice_entry(service, key) if key is not None else None
        return entry[FENCING_TOKEN] if entry else None

    def replica_holders(self, service: str, key: int) -> set[str]:
        """Who may hold read copies of a record, by this desk's table."""
        entry = self.slice_entry(service, key)
        return set(all_readers(entry)) if entry else set()

    def in_handover(self, service: str, key: int) -> bool:
        """Whether a key is being released by a worker that can be expected to answer."""
        entry = self.slice_entry(service, key)
        row = (
            self.registry.registrations.get(entry[PREVIOUS_OWNER])
            if entry and entry[PREVIOUS_OWNER]
            else None
        )
        return row is not None and row.phase != GONE and entry[PREVIOUS_OWNER] not in self.timed_out

    @staticmethod
    def hash_request_id(request_id: str) -> int:
        """The key of a request whose service has none."""
        return zlib.crc32(request_id.encode()) % KEY_SPACE_SIZE

    def slice_key(self, now: float, service: str, request_id: str) -> int:
        """The key of such a request here: of this zone's slices, for the part of them that is to stay."""
        key = self.hash_request_id(request_id)
        if zlib.crc32(b"near" + request_id.encode()) / 2**32 < self.local_fractions.get(service, 0.0):
            at, starts = self.local_slices.get(service, (-1e9, []))
            if now > at + LOCAL_SLICES_VALIDITY:
                starts = self.find_local_slices(now, service)
                self.local_slices[service] = (now, starts)
            if starts:
                return starts[key % len(starts)]
        return key

    def find_local_slices(self, now: float, service: str) -> list[int]:
        """The slices of a service whose workers stand in this zone and are open."""
        instance_ids = {
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if self.registry.registrations[instance_id].zone == self.zone
        }
        instance_ids = {instance_id for instance_id in instance_ids if self.is_available(now, instance_id)}
        return [
            int(start)
            for start, entry in self.table.get(service, {}).items()
            if entry[WORKER] in instance_ids
        ]

    def is_available(self, now: float, instance_id: str) -> bool:
        """May get new requests: ready as far as known, and not resting here."""
        row = self.registry.registrations.get(instance_id)
        return (
            row is not None
            and row.phase == READY
            and instance_id not in self.timed_out
            and self.drain_steps.get(instance_id, DRAIN_ANNOUNCED) == DRAIN_ANNOUNCED
            and self.observation(instance_id).backoff_until <= now
        )

    def load_per_slot(self, now: float, instance_id: str) -> float:
        """Requests per slot that it has, as far as this desk can tell."""
        observation, row = self.observation(instance_id), self.registry.registrations[instance_id]
        running, waiting, _ = observation.load if now - observation.load_at <= LOAD_VALIDITY else (0, 0, 0)
        return (max(running + waiting, observation.in_flight)) / row.slots

    def is_full(self, now: float, instance_id: str) -> bool:
        """Whether a worker would likely turn a request away: by its word of a moment ago, or since it did."""
        observation, row = self.observation(instance_id), self.registry.registrations[instance_id]
        if now < observation.full_until:
            return True
        running, waiting, _ = (
            observation.load if now - observation.load_at <= FULL_QUEUE_VALIDITY else (0, 0, 0)
        )
        return running + waiting >= row.slots + FULL_QUEUE_LENGTH

    def choose_worker(
        self,
        now: float,
        service: str,
        key: int | None,
        request_id: str,
        excluded: set[str],
        idempotent: bool = False,
    ) -> str | None:
        """The worker for a request now, or None while there is none that may get it."""
        entry = self.slice_entry(service, self.slice_key(now, service, request_id) if key is None else key)
        if entry is None:
            return None if key is not None else self.least_loaded(now, service, excluded)
        if key is not None:
            if idempotent and (
                readers := [
                    r for r in active_readers(entry) if r not in excluded and self.is_available(now, r)
                ]
            ):
                place = self.hash_request_id(request_id) % (len(readers) + 1)  # the holder has its part too
                if place < len(readers):
                    return readers[place]
            instance_id = entry[WORKER]
            if not instance_id or entry[PREVIOUS_OWNER]:
                return None
            row = self.registry.registrations.get(instance_id)
            if row is None or row.phase == GONE or self.observation(instance_id).backoff_until > now:
                return None
            if (
                row.phase == DRAINING
                and now - self.registry.changed_at.get(instance_id, 0.0)
                > self.drain_time * DRAINING_OWNER_FRACTION
            ):
                return None
            return instance_id
        candidates = [
            instance_id
            for instance_id in (entry[WORKER], entry[SECOND])
            if instance_id and instance_id not in excluded and self.is_available(now, instance_id)
        ]
        if not idempotent and any(instance_id in self.drain_steps for instance_id in candidates):
            staying = self.least_loaded(now, service, {*excluded, *self.drain_steps})
            candidates = [staying] if staying else candidates  # what is to last goes to one that stays up
        if not candidates:
            return self.least_loaded(now, service, excluded)
        if len(candidates) == 1:
            first = candidates[0]
            if self.load_per_slot(now, first) >= 1.0 and (
                other := self.least_loaded(now, service, {*excluded, first})
            ):
                if self.load_per_slot(now, other) < self.load_per_slot(now, first):
                    return other
            return first
        first, second = candidates
        if entry[SECOND_SHARE] > 0.1 or self.load_per_slot(now, first) >= 1.0:
            return min(candidates, key=lambda instance_id: self.load_per_slot(now, instance_id))
        return first

    def set_affinity(self, now: float, service: str, key: str, instance_id: str, duration: float) -> None:
        """What this key's client does next on such a route goes to the same worker, for so long (s)."""
        if (
            self.drain_steps.get(instance_id, DRAIN_ANNOUNCED) == DRAIN_ANNOUNCED
        ):  # else it keeps the bound that it has
            self.affinity[service, key] = (instance_id, now + duration)

    def affinity_worker(self, now: float, service: str, key: str) -> str | None:
        instance_id, until = self.affinity.get((service, key), ("", 0.0))
        row = self.registry.registrations.get(instance_id)
        if row is None or now >= until or row.phase == GONE or instance_id in self.timed_out:
            return None
        drains = (
            row.phase == DRAINING
            and now - self.registry.changed_at.get(instance_id, 0.0)
            > self.drain_time * DRAINING_OWNER_FRACTION
        )
        return None if drains or self.observation(instance_id).backoff_until > now else instance_id

    def remaining_work(self, now: float) -> dict[str, list]:
        """What is under way here at workers that are to go: lookups, effects, since when the oldest (s)."""
        found = {}
        for instance_id in self.drain_steps:
            observation = self.observations.get(instance_id)
            pins = sum(1 for one, until in self.affinity.values() if one == instance_id and now < until)
            if observation is not None and observation.in_flight or pins:
                effects = (observation.non_idempotent_in_flight if observation else 0) + pins
                lookups = observation.in_flight - observation.non_idempotent_in_flight if observation else 0
                found[instance_id] = [
                    lookups,
                    effects,
                    round(now - observation.oldest_in_flight_at, 2)
                    if observation and observation.in_flight
                    else 0.0,
                ]
        return found

    def least_loaded(self, now: float, service: str, excluded: set[str]) -> str | None:
        """The least pressed worker of a service that is open and was not tried."""
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

    # --- what was seen

    def apply_hot_keys(self, message: dict[str, list]) -> None:
        """What the scribe tells of crowded records: ranges to count key by key, and the keys."""
        self.watched_ranges = {service: set(watch) for service, (watch, _) in message.items()}
        self.hot_keys = {service: set(keys) for service, (_, keys) in message.items()}

    def is_hot(self, service: str, key: int | None) -> bool:
        return key in self.hot_keys.get(service, ())

    def count_request(self, service: str, key: int) -> None:
        if key // KEYS_PER_RANGE in self.watched_ranges.get(service, ()):
            keys = self.key_counts.setdefault(service, {})
            keys[key] = keys.get(key, 0) + 1
            return
        heat = self.range_counts.setdefault(service, {})
        heat[key // KEYS_PER_RANGE] = heat.get(key // KEYS_PER_RANGE, 0) + 1

    def record_load(self, now: float, instance_id: str, text: str) -> None:
        """`X-Server-Load`: running, waiting, slots; anything else is let fall."""
        parts = text.split(",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            observation = self.observation(instance_id)
            observation.load, observation.load_at, observation.load_reported = (
                tuple(map(int, parts)),
                now,
                True,
            )
            if observation.load[1] > observation.load[2]:
                observation.hot_key_queue.reduce_rate(now, OVERLOADED_RATE_FACTOR)
            else:
                observation.hot_key_queue.raise_rate(now)

    def record_answer(self, now: float, instance_id: str, response_time: float) -> None:
        observation = self.observation(instance_id)
        observation.attempts += 1
        observation.response_time += response_time
        observation.backoff, observation.backoff_until = BACKOFF_RANGE[0], 0.0

    def record_server_error(self, instance_id: str) -> None:
        """A worker answered with a failure of its own: it ran, and could not do it."""
        self.observation(instance_id).server_errors += 1

    def record_rejection(self, now: float, instance_id: str) -> None:
        observation = self.observation(instance_id)
        observation.full_until = now + REJECTION_BACKOFF
        observation.hot_key_queue.reduce_rate(now, REJECTED_RATE_FACTOR)

    def record_failure(self, now: float, instance_id: str, back_off: bool) -> None:
        """A try without an answer; with `rest` it gets nothing from here for a while."""
        observation = self.observation(instance_id)
        observation.attempts += 1
        observation.failures += 1
        if back_off:
            observation.backoff_until = now + observation.backoff
            observation.backoff = min(observation.backoff * 2, BACKOFF_RANGE[1])

    def build_report(self, elapsed: float, now: float) -> dict[str, Any]:
        """What the scribe is told of the last second; counts begin anew."""
        workers = {}
        for instance_id, observation in self.observations.items():
            if observation.attempts or observation.load_reported:
                good = observation.attempts - observation.failures
                workers[instance_id] = (
                    observation.attempts,
                    observation.failures,
                    round(observation.response_time / good, 4) if good else 0.0,
                    observation.load if observation.load_reported else None,
                )
            if instance_id in workers and observation.server_errors:
                workers[instance_id] = (*workers[instance_id], observation.server_errors)
            observation.attempts = observation.failures = observation.server_errors = 0
            observation.response_time, observation.load_reported = 0.0, False
        heat, keys, self.range_counts, self.key_counts = self.range_counts, self.key_counts, {}, {}
        message: dict[str, Any] = {"k": "report", "over": round(elapsed, 3), "heat": heat, "met": workers}
        if self.drain_steps:
            message |= {"n": self.table_version, "left": self.remaining_work(now)}
        return {**message, "keys": keys} if keys else message

    def forget_departed(self) -> None:
        self.observations = {
            instance_id: observation
            for instance_id, observation in self.observations.items()
            if instance_id in self.registry.registrations or observation.in_flight
        }
