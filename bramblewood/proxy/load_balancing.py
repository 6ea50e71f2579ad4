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
from .hot_key_queue import PRESSED, TURNED, HotKeyQueue

REST = (
    0.5,
    4.0,
)  # s that a worker rests here after a failure to connect or silence; doubled each time, at most
LOAD_AGE = 1.0  # s that a stated load is believed; reports are about as old
FRESH = 0.15  # s that a full queue is believed: about a request's work
QUEUED = 3  # requests waiting at a worker at which it counts as full; "queues a few more", PROTOCOL
PINS = 4096  # keys whose clients' steps belong together, remembered at one desk
HOME_AGE = 0.25  # s that the list of this zone's slices is used: half a cycle of the moves
FULL_FOR = 0.1  # s that a worker is left alone by requests bound to it after it turned one away
DRAIN_PART = 0.6  # of DrainS in which a keyed worker that leaves may still get what nobody else holds


class WorkerObservation:
    """What this desk saw of one worker."""

    __slots__ = (
        "flight",
        "effects",
        "since",
        "load",
        "load_at",
        "rests_until",
        "rest",
        "full_until",
        "hot_key_queue",
        "tries",
        "unanswered",
        "bad",
        "time",
        "said",
    )

    def __init__(self) -> None:
        self.flight = self.effects = 0  # requests under way there, and how many of them are effects
        self.since = 0.0  # when the first of those under way went
        self.load, self.load_at = (0, 0, 0), -1e9  # running, waiting, slots, as the worker said
        self.rests_until, self.rest, self.full_until = 0.0, REST[0], 0.0
        self.hot_key_queue = HotKeyQueue()
        self.tries = self.unanswered = self.bad = 0  # since the last report; bad: went wrong by its own fault
        self.time, self.said = 0.0, False


class LoadBalancer:
    def __init__(self, drain: float, zone: str = "") -> None:
        self.zone = zone
        self.leaving: dict[str, str] = {}  # workers in an operator's plan, and their steps
        self.pins: LRUCache = LRUCache(PINS)  # by service and key: the worker that began, until when
        self.near: dict[str, float] = {}  # by service, part of the requests that stay in this zone
        self.home: dict[str, tuple[float, list[int]]] = {}  # when looked up, slices whose workers stand here
        self.registry = WorkerRegistry()
        self.table: dict[str, dict[str, list]] = {}
        self.starts: dict[str, list[int]] = {}
        self.table_n = 0
        self.silent: set[str] = set()
        self.seen: dict[str, WorkerObservation] = {}
        self.heat: dict[str, dict[int, int]] = {}
        self.by_key: dict[str, dict[int, int]] = {}  # heat of watched ranges, key by key
        self.watched: dict[str, set[int]] = {}  # by service, ranges of FINE keys
        # by service, keys that are asked for more than a worker can do
        self.crowded: dict[str, set[int]] = {}
        self.drain = drain

    def of(self, instance_id: str) -> WorkerObservation:
        return self.seen.get(instance_id) or self.seen.setdefault(instance_id, WorkerObservation())

    def take_table(self, message: dict) -> bool:
        """A table or a difference to ours; false where its base is another than ours."""
        if message["n"] <= self.table_n:
            return True
        leaving = message.get("w", self.leaving)
        if "s" in message:
            self.table = message["s"]
            self.starts = {service: sorted_starts(entries) for service, entries in self.table.items()}
        elif message["base"] > self.table_n:
            return False
        else:
            for service, changes in message["d"].items():
                entries = self.table.setdefault(service, {})
                split = changes.keys() - entries.keys()
                entries.update(changes)
                if split:
                    self.starts[service] = sorted_starts(entries)
        self.table_n, self.leaving = message["n"], leaving
        return True

    # --- the choice

    def entry(self, service: str, key: int) -> list | None:
        """The entry of the slice that this key lies in."""
        starts = self.starts.get(service)
        return self.table[service][str(starts[bisect_right(starts, key) - 1])] if starts else None

    def fencing_token(self, service: str, key: int | None) -> int | None:
        """The fence under which this desk takes a key to be held, as logs name it at every program."""
        entry = self.entry(service, key) if key is not None else None
        return entry[FENCING_TOKEN] if entry else None

    def readers(self, service: str, key: int) -> set[str]:
        """Who may hold read copies of a record, by this desk's table."""
        entry = self.entry(service, key)
        return set(all_readers(entry)) if entry else set()

    def moving(self, service: str, key: int) -> bool:
        """Whether a key is being released by a worker that can be expected to answer."""
        entry = self.entry(service, key)
        row = (
            self.registry.registrations.get(entry[PREVIOUS_OWNER])
            if entry and entry[PREVIOUS_OWNER]
            else None
        )
        return row is not None and row.phase != GONE and entry[PREVIOUS_OWNER] not in self.silent

    @staticmethod
    def hashed(request: str) -> int:
        """The key of a request whose service has none."""
        return zlib.crc32(request.encode()) % KEY_SPACE_SIZE

    def drawn(self, now: float, service: str, request: str) -> int:
        """The key of such a request here: of this zone's slices, for the part of them that is to stay."""
        key = self.hashed(request)
        if zlib.crc32(b"near" + request.encode()) / 2**32 < self.near.get(service, 0.0):
            at, starts = self.home.get(service, (-1e9, []))
            if now > at + HOME_AGE:
                starts = self.here(now, service)
                self.home[service] = (now, starts)
            if starts:
                return starts[key % len(starts)]
        return key

    def here(self, now: float, service: str) -> list[int]:
        """The slices of a service whose workers stand in this zone and are open."""
        instance_ids = {
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if self.registry.registrations[instance_id].zone == self.zone
        }
        instance_ids = {instance_id for instance_id in instance_ids if self.open(now, instance_id)}
        return [
            int(start)
            for start, entry in self.table.get(service, {}).items()
            if entry[WORKER] in instance_ids
        ]

    def open(self, now: float, instance_id: str) -> bool:
        """May get new requests: ready as far as known, and not resting here."""
        row = self.registry.registrations.get(instance_id)
        return (
            row is not None
            and row.phase == READY
            and instance_id not in self.silent
            and self.leaving.get(instance_id, DRAIN_ANNOUNCED) == DRAIN_ANNOUNCED
            and self.of(instance_id).rests_until <= now
        )

    def pressure(self, now: float, instance_id: str) -> float:
        """Requests per slot that it has, as far as this desk can tell."""
        seen, row = self.of(instance_id), self.registry.registrations[instance_id]
        running, waiting, _ = seen.load if now - seen.load_at <= LOAD_AGE else (0, 0, 0)
        return (max(running + waiting, seen.flight)) / row.slots

    def full(self, now: float, instance_id: str) -> bool:
        """Whether a worker would likely turn a request away: by its word of a moment ago, or since it did."""
        seen, row = self.of(instance_id), self.registry.registrations[instance_id]
        if now < seen.full_until:
            return True
        running, waiting, _ = seen.load if now - seen.load_at <= FRESH else (0, 0, 0)
        return running + waiting >= row.slots + QUEUED

    def choose(
        self,
        now: float,
        service: str,
        key: int | None,
        request: str,
        tried: set[str],
        lookup: bool = False,
    ) -> str | None:
        """The worker for a request now, or None while there is none that may get it."""
        entry = self.entry(service, self.drawn(now, service, request) if key is None else key)
        if entry is None:
            return None if key is not None else self.any(now, service, tried)
        if key is not None:
            if lookup and (
                readers := [r for r in active_readers(entry) if r not in tried and self.open(now, r)]
            ):
                place = self.hashed(request) % (len(readers) + 1)  # the holder has its part too
                if place < len(readers):
                    return readers[place]
            instance_id = entry[WORKER]
            if not instance_id or entry[PREVIOUS_OWNER]:
                return None
            row = self.registry.registrations.get(instance_id)
            if row is None or row.phase == GONE or self.of(instance_id).rests_until > now:
                return None
            if (
                row.phase == DRAINING
                and now - self.registry.changed_at.get(instance_id, 0.0) > self.drain * DRAIN_PART
            ):
                return None
            return instance_id
        able = [
            instance_id
            for instance_id in (entry[WORKER], entry[SECOND])
            if instance_id and instance_id not in tried and self.open(now, instance_id)
        ]
        if not lookup and any(instance_id in self.leaving for instance_id in able):
            staying = self.any(now, service, {*tried, *self.leaving})
            able = [staying] if staying else able  # what is to last goes to one that stays up
        if not able:
            return self.any(now, service, tried)
        if len(able) == 1:
            first = able[0]
            if self.pressure(now, first) >= 1.0 and (other := self.any(now, service, {*tried, first})):
                if self.pressure(now, other) < self.pressure(now, first):
                    return other
            return first
        first, second = able
        if entry[SECOND_SHARE] > 0.1 or self.pressure(now, first) >= 1.0:
            return min(able, key=lambda instance_id: self.pressure(now, instance_id))
        return first

    def pin(self, now: float, service: str, key: str, instance_id: str, lasts: float) -> None:
        """What this key's client does next on such a route goes to the same worker, for so long (s)."""
        if (
            self.leaving.get(instance_id, DRAIN_ANNOUNCED) == DRAIN_ANNOUNCED
        ):  # else it keeps the bound that it has
            self.pins[service, key] = (instance_id, now + lasts)

    def pinned(self, now: float, service: str, key: str) -> str | None:
        instance_id, until = self.pins.get((service, key), ("", 0.0))
        row = self.registry.registrations.get(instance_id)
        if row is None or now >= until or row.phase == GONE or instance_id in self.silent:
            return None
        drains = (
            row.phase == DRAINING
            and now - self.registry.changed_at.get(instance_id, 0.0) > self.drain * DRAIN_PART
        )
        return None if drains or self.of(instance_id).rests_until > now else instance_id

    def left(self, now: float) -> dict[str, list]:
        """What is under way here at workers that are to go: lookups, effects, since when the oldest (s)."""
        found = {}
        for instance_id in self.leaving:
            seen = self.seen.get(instance_id)
            pins = sum(1 for one, until in self.pins.values() if one == instance_id and now < until)
            if seen is not None and seen.flight or pins:
                effects = (seen.effects if seen else 0) + pins
                lookups = seen.flight - seen.effects if seen else 0
                found[instance_id] = [
                    lookups,
                    effects,
                    round(now - seen.since, 2) if seen and seen.flight else 0.0,
                ]
        return found

    def any(self, now: float, service: str, tried: set[str]) -> str | None:
        """The least pressed worker of a service that is open and was not tried."""
        able = [
            instance_id
            for instance_id in self.registry.ready_instances(service)
            if instance_id not in tried and self.open(now, instance_id)
        ]
        return min(
            able,
            key=lambda instance_id: (
                self.pressure(now, instance_id),
                zlib.crc32(f"{instance_id}{now}".encode()),
            ),
            default=None,
        )

    # --- what was seen

    def take_crowds(self, told: dict[str, list]) -> None:
        """What the scribe tells of crowded records: ranges to count key by key, and the keys."""
        self.watched = {service: set(watch) for service, (watch, _) in told.items()}
        self.crowded = {service: set(keys) for service, (_, keys) in told.items()}

    def crowd(self, service: str, key: int | None) -> bool:
        return key in self.crowded.get(service, ())

    def counted(self, service: str, key: int) -> None:
        if key // KEYS_PER_RANGE in self.watched.get(service, ()):
            keys = self.by_key.setdefault(service, {})
            keys[key] = keys.get(key, 0) + 1
            return
        heat = self.heat.setdefault(service, {})
        heat[key // KEYS_PER_RANGE] = heat.get(key // KEYS_PER_RANGE, 0) + 1

    def loaded(self, now: float, instance_id: str, text: str) -> None:
        """`X-Server-Load`: running, waiting, slots; anything else is let fall."""
        parts = text.split(",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            seen = self.of(instance_id)
            seen.load, seen.load_at, seen.said = tuple(map(int, parts)), now, True
            if seen.load[1] > seen.load[2]:
                seen.hot_key_queue.slower(now, PRESSED)
            else:
                seen.hot_key_queue.faster(now)

    def answered(self, now: float, instance_id: str, took: float) -> None:
        seen = self.of(instance_id)
        seen.tries += 1
        seen.time += took
        seen.rest, seen.rests_until = REST[0], 0.0

    def wrong(self, instance_id: str) -> None:
        """A worker answered with a failure of its own: it ran, and could not do it."""
        self.of(instance_id).bad += 1

    def turned_away(self, now: float, instance_id: str) -> None:
        seen = self.of(instance_id)
        seen.full_until = now + FULL_FOR
        seen.hot_key_queue.slower(now, TURNED)

    def failed(self, now: float, instance_id: str, rest: bool) -> None:
        """A try without an answer; with `rest` it gets nothing from here for a while."""
        seen = self.of(instance_id)
        seen.tries += 1
        seen.unanswered += 1
        if rest:
            seen.rests_until = now + seen.rest
            seen.rest = min(seen.rest * 2, REST[1])

    def report(self, over: float, now: float) -> dict[str, Any]:
        """What the scribe is told of the last second; counts begin anew."""
        met = {}
        for instance_id, seen in self.seen.items():
            if seen.tries or seen.said:
                good = seen.tries - seen.unanswered
                met[instance_id] = (
                    seen.tries,
                    seen.unanswered,
                    round(seen.time / good, 4) if good else 0.0,
                    seen.load if seen.said else None,
                )
            if instance_id in met and seen.bad:
                met[instance_id] = (*met[instance_id], seen.bad)
            seen.tries = seen.unanswered = seen.bad = 0
            seen.time, seen.said = 0.0, False
        heat, keys, self.heat, self.by_key = self.heat, self.by_key, {}, {}
        told: dict[str, Any] = {"k": "report", "over": round(over, 3), "heat": heat, "met": met}
        if self.leaving:
            told |= {"n": self.table_n, "left": self.left(now)}
        return {**told, "keys": keys} if keys else told

    def forget(self) -> None:
        self.seen = {
            instance_id: seen
            for instance_id, seen in self.seen.items()
            if instance_id in self.registry.registrations or seen.flight
        }
