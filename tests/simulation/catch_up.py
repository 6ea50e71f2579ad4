"""A member that was away while others made changes: what must travel to it until it is current, deflated as
links do it.
"""

import hashlib
import json
import zlib

from benchmarks.controller_storage import moved, table
from benchmarks.gateway import config
from bramblewood.controller.consensus.registers import CONFIG, DATA_REGISTERS, TABLE
from tests.simulation.consensus import ReplicaCluster

LINE_RATE = 2e6 / 8  # bytes a second that the line to a member carries at the least: 2 Mbit/s


def digest_of(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


class MemberAway(ReplicaCluster):
    """c is away for so many changes, half of the configuration and half of the table, and comes back."""

    def __init__(self, changes: int, routes: int, slices: int, past: int) -> None:
        """past: earlier versions of the configuration whose digests are kept, at first and later."""
        super().__init__(1)
        self.digests_kept, self.number, self.bytes = past, past, 0
        self.compressors: dict = {}  # a compressor for each link to c once it is back, as links have one
        first = {
            "n": past,
            "config": config(routes),
            "past": {str(n): digest_of(n) for n in range(1, past + 1)},
        }
        self.change(CONFIG, lambda _: first)
        self.change(TABLE, lambda _: table(slices))
        self.stop("c")
        for number in range(changes):
            self.change(*((CONFIG, self.next_config) if number % 2 else (TABLE, self.next_table)))
        self.start("c")
        self.compressors = {name: zlib.compressobj(wbits=-zlib.MAX_WBITS) for name in ("a", "b")}
        for register in DATA_REGISTERS:  # what the first heartbeats amount to
            for name in ("a", "b"):
                told = {"k": "accepted", "r": register, "b": self.replicas[name].durable_accepted[register]}
                told["disk"] = self.replicas[name].disk
                self.in_flight.append((name, "c", told))
        self.deliver_all()
        self.change(CONFIG, self.next_config)
        self.change(TABLE, self.next_table)

    def check_invariants(self) -> None:
        pass  # other plays judge; here it would be most of the time

    def next_config(self, value: dict) -> dict:
        self.number += 1
        past = {**value["past"], str(self.number): digest_of(self.number)}
        records = [list(record) for record in value["config"]["RouteList"]["Records"]]
        records[self.number % len(records)][3] = self.number % 30 + 1
        routes = {**value["config"]["RouteList"], "Records": records}
        kept = dict([*past.items()][-self.digests_kept :])
        return {"n": self.number, "config": {**value["config"], "RouteList": routes}, "past": kept}

    def next_table(self, value: dict) -> dict:
        return moved(value, value["n"] * 7919)

    def change(self, register, make) -> None:
        answers = []
        step = lambda current: (make(current), answers.append(True))  # noqa: E731
        self.apply("a", self.replicas["a"].propose(self.now, register, step, "change", 2.0))
        self.deliver_all()
        assert answers, "no majority took the change"

    def deliver_all(self) -> None:
        while self.in_flight or any(self.unsynced.values()):
            for name, unsynced in self.unsynced.items():
                while unsynced:
                    self.sync(name)
            if self.in_flight:
                self.deliver(0)

    def dispatch(self, name: str, effects) -> None:
        super().dispatch(name, effects)
        compressor = self.compressors.get(name)
        for peer, message in effects.sends:
            if peer == "c" and compressor is not None:
                text = json.dumps(message, separators=(",", ":")).encode()
                self.bytes += len(compressor.compress(text)) + len(compressor.flush(zlib.Z_SYNC_FLUSH))

    def has_caught_up(self) -> bool:
        """Whether c holds what the others hold, and votes for it."""
        return all(
            self.replicas["c"].value(register) == self.replicas["a"].value(register)
            and self.replicas["c"].acceptors[register].accepted
            == self.replicas["a"].acceptors[register].accepted
            for register in DATA_REGISTERS
        )
