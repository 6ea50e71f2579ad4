"""The ledger as a stage of the turn: records are on the disc before the orders that rest on them go out."""

import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

from .. import events
from ..startup_settings import StartupSettings
from ..store.flush import Apart, InLoop
from ..store.port import Folder
from ..store.recovery import Refused
from ..store.store import DAMAGE, Store
from ..work.scheduler import Scheduler
from .memory import NUMBERS, Memory, without

TRAIL = 0.2  # s that records may wait which no order waits for; one flush then serves many turns
ALIVE = 1.0  # s between notes that this life goes on; ages at a restart are no finer
PACE = 0.005  # s between turns while background work waits, and nothing else does
MS = 1000.0

__all__ = ["Ledger", "Refused"]


class Held:
    """A turn's orders that wait for the batch that they rest on."""

    def __init__(self, number: int, until: float, orders: list[tuple[events.Order, bool]]) -> None:
        self.number, self.until, self.orders = number, until, orders


class Ledger:
    """terms: the operator's (bylaws.StoreTerms); clock: unix time in s; precise: of the scheduler's steps."""

    def __init__(
        self,
        terms: Any,
        settings: StartupSettings,
        seed: str,
        clock: Callable[[], float],
        log: Any,
        store: Store | None = None,
        precise: Callable[[], float] = time.perf_counter,
    ) -> None:
        self.terms, self.clock, self.log = terms, clock, log
        if store is None:
            folder = Folder(terms.folder)
            store = Store(
                folder,
                clock,
                Apart(folder) if terms.flush == "apart" else InLoop(folder),
                must_exist=terms.must_exist,
            )
        self.store = store
        self.memory = Memory(settings, terms.keep)
        self.scheduler = Scheduler(precise, self.work_failed, terms.background)
        self.queue: deque[Held] = deque()  # in the order of their turns
        self.stuck: list[tuple[int, events.SetAdmission]] = []  # further tries past `hold`, by batch
        self.committed_at = self.alive_at = 0.0
        self.late = False
        self.first_mark = zlib.crc32(f"{seed}:marks".encode()) % NUMBERS

    # --- the start

    def start(self) -> list[events.Event]:
        """What the module is told behind its first list."""
        now, store, memory = self.clock(), self.store, self.memory
        with store.snapshot() as snapshot:
            odd = memory.load(snapshot.scan())
            healed = [value.decode() for _, value in snapshot.scan(DAMAGE)]
            lost = [str(damage) for damage in store.damages if not damage.kept]
            lost += [f"{hole.table} at {hole.offset}: {hole.why}" for hole in snapshot.holes] + odd
        batch = memory.begin(now, list(dict.fromkeys(lost + healed)), self.first_mark)
        for damage in store.damages:
            self.log.warning(
                "store damaged",
                file=damage.file,
                offset=damage.offset,
                found=damage.what,
                lost=not damage.kept,
            )
        for what in odd:
            self.log.warning("record not usable", why=what)
        for what in store.dropped:
            self.log.info("never promised, dropped", found=what)
        self.log.info(
            "ledger opened",
            life=memory.life.number,
            closed=len(memory.closed),
            withdrawn=len(memory.withdrawn),
            slices=len(memory.lines),
            new=store.fresh,
        )
        self.write(now, [(key, None, 0) for key, _ in store.scan(DAMAGE)])
        store.commit()
        self.say()
        return batch

    def policy_restarted(self) -> list[events.Event]:
        """The module began anew: what it is told behind its first list."""
        self.memory.forgotten()
        return self.memory.opening(self.clock())

    # --- the turn

    def filter_events(self, now: float, batch: list[events.Event]) -> list[events.Event]:
        return self.memory.hear(now, batch)

    def filter_orders(self, now: float, orders: list[events.Order]) -> list[events.Order]:
        """The orders of a turn, less those that wait for the disc."""
        outcome = self.memory.weigh(now, orders)
        for order in orders:
            if isinstance(order, events.SetAdmission):
                self.void(order)
        self.write(now)
        waits = outcome.first or outcome.strict
        if waits or now >= self.committed_at + TRAIL:
            self.commit(now)
        at_once = [order for order in outcome.free if not isinstance(order, events.RELAY_ORDERS)]
        relayed = [
            (order, strict) for order, strict in outcome.orders if isinstance(order, events.RELAY_ORDERS)
        ]
        if relayed:
            number = self.store.number if waits else 0
            self.queue.append(Held(number, now + self.terms.hold, relayed))
        return at_once + self.release(now)

    def release(self, now: float) -> list[events.Order]:
        """Held orders whose batch is promised, in order; past `hold`, those that need no promise."""
        promised, going = self.store.promised, []
        while self.queue and (self.queue[0].number <= promised or now >= self.queue[0].until):
            held = self.queue.popleft()
            strict = [order for order, strict in held.orders if strict]
            if held.number <= promised:
                going += [order for order, _ in held.orders]
                continue
            for order, only_promised in held.orders:
                if only_promised:
                    self.stuck += [(held.number, one) for one in self.memory.by_slice(order)]
                    continue
                going.append(order)
                if isinstance(order, events.SetAdmission):
                    self.void(order)  # it goes first, and would come before an older one
            if not self.late:
                self.late = True
                self.log.warning("orders went before their records", further_tries_kept=len(strict))
        if self.stuck and self.stuck[0][0] <= promised:
            going += [order for number, order in self.stuck if number <= promised]
            self.stuck = [(number, order) for number, order in self.stuck if number > promised]
        if not self.stuck and not any(strict for held in self.queue for _, strict in held.orders):
            self.memory.unsent.clear()
        self.late = self.late and (self.store.promised < self.store.number)
        return going

    def void(self, order: events.SetAdmission) -> None:
        """Further tries that are stuck and that a later order replaces."""
        self.stuck = [
            (number, left)
            for number, old in self.stuck
            for left in without([old], order, len(self.memory.operations))
        ]

    def turn(self, now: float, busy: float) -> tuple[list[events.Event], list[events.Order]]:
        """Once a turn, whatever came: flushes that are done, work in the background, orders put off.

        busy: part of the time since the last turn in which the loop did not wait.
        """
        self.store.poll()
        if now >= self.alive_at + ALIVE:
            self.alive_at = now
            self.memory.alive(now)
        back = self.memory.insisting(now)
        due = self.memory.due(now) if self.memory.waiting else []
        if self.memory.changed:
            self.write(now)
        if now >= self.committed_at + TRAIL:
            self.commit(now)
        if steps := self.store.work():
            self.scheduler.add("store", steps)
        if self.scheduler.jobs:
            self.scheduler.run(now, busy)
        going = self.release(now) if self.queue or self.stuck else []
        if due:
            going += self.filter_orders(now, due)
        self.say()
        return [back] if back else [], going

    def fallback_orders(self, orders: list[events.Order]) -> list[events.Order]:
        """What may go when the ledger itself has failed: all but tries of operations with effects."""
        kinds = [operation.kind for operation in self.memory.operations]
        return [
            order
            for order in orders
            if not isinstance(order, events.WorkerEjected)
            and not (
                isinstance(order, events.SetAdmission)
                and order.retry > events.NO_RETRY
                and any(kinds[k] != events.IDEMPOTENT for k in order.operations or range(len(kinds)))
            )
        ]

    def order_applied(self, order: events.Order) -> None:
        """The relay has carried out an order; a further try's end is made lasting with the next flush."""
        now = self.clock()
        self.memory.carried(now, order)
        if "try carried out" in self.memory.classes:
            self.committed_at = min(self.committed_at, now - TRAIL)

    def wake_descriptor(self) -> int | None:
        """A descriptor that is to wake the loop, or None; it may change."""
        return self.store.flusher.waker()

    def longest_wait(self) -> float | None:
        """s that the loop may wait at most for anything else to come; None: as ever."""
        if self.scheduler.jobs or self.store.waiting and not self.store.trouble:
            return PACE
        if self.queue:
            return max(self.queue[0].until - self.clock(), 0.0)
        return None

    # --- records

    def write(self, now: float, more: list = ()) -> None:
        changes = [(key, value, int(expiry * MS)) for key, value, expiry in self.memory.changes()]
        if changes or more:
            self.store.write([*changes, *more])

    def commit(self, now: float) -> None:
        self.committed_at = now
        self.store.commit()

    def say(self) -> None:
        while self.store.notices:
            notice = self.store.notices.popleft()
            self.log.warning(notice.what, **notice.more)
        for text in self.memory.notes:
            self.log.info(text)
        self.memory.notes.clear()

    def work_failed(self, name: str, problem: Exception) -> None:
        self.log.warning("background work failed", name=name, why=repr(problem))

    def update_terms(self, terms: Any) -> None:
        """New terms from the operator's file: what can act at once does."""
        self.terms, self.scheduler.full, self.memory.keep = terms, terms.background, terms.keep

    def close(self) -> None:
        """Promise what waits and let go of the folder."""
        self.memory.alive(self.clock())
        self.write(self.clock())
        self.store.close()
