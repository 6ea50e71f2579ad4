"""A member that was away while others made changes: what must travel to it until it is current, deflated as
links do it.
"""

import hashlib
import json
import zlib

from benchmarks.controller_storage import moved, table
from benchmarks.gateway import config
from bramblewood.controller.consensus.registers import CONFIG, DATA_REGISTERS, TABLE
from tests.simulation.consensus import Core

RATE = 2e6 / 8  # bytes a second that the line to a member carries at the least: 2 Mbit/s


def digest(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


class Away(Core):
    """c is away for so many changes, half of the configuration and half of the table, and comes back."""

    def __init__(self, changes: int, routes: int, slices: int, past: int) -> None:
        """past: earlier versions of the configuration whose digests are kept, at first and later."""
        super().__init__(1)
        self.past_kept, self.number, self.bytes = past, past, 0
        self.deflate: dict = {}  # a compressor for each link to c once it is back, as links have one
        first = {"n": past, "config": config(routes), "past": {str(n): digest(n) for n in range(1, past + 1)}}
        self.change(CONFIG, lambda _: first)
        self.change(TABLE, lambda _: table(slices))
        self.stop("c")
        for number in range(changes):
            self.change(*((CONFIG, self.next_config) if number % 2 else (TABLE, self.next_table)))
        self.start("c")
        self.deflate = {name: zlib.compressobj(wbits=-zlib.MAX_WBITS) for name in ("a", "b")}
        for register in DATA_REGISTERS:  # what the first pulses amount to
            for name in ("a", "b"):
                told = {"k": "accepted", "r": register, "b": self.machines[name].durable_accepted[register]}
                told["disk"] = self.machines[name].disk
                self.wire.append((name, "c", told))
        self.settle()
        self.change(CONFIG, self.next_config)
        self.change(TABLE, self.next_table)

    def judge(self) -> None:
        pass  # other plays judge; here it would be most of the time

    def next_config(self, value: dict) -> dict:
        self.number += 1
        past = {**value["past"], str(self.number): digest(self.number)}
        records = [list(record) for record in value["config"]["RouteList"]["Records"]]
        records[self.number % len(records)][3] = self.number % 30 + 1
        routes = {**value["config"]["RouteList"], "Records": records}
        kept = dict([*past.items()][-self.past_kept :])
        return {"n": self.number, "config": {**value["config"], "RouteList": routes}, "past": kept}

    def next_table(self, value: dict) -> dict:
        return moved(value, value["n"] * 7919)

    def change(self, register, make) -> None:
        answers = []
        step = lambda stands: (make(stands), answers.append(True))  # noqa: E731
        self.carry("a", self.machines["a"].propose(self.now, register, step, "change", 2.0))
        self.settle()
        assert answers, "no majority took the change"

    def settle(self) -> None:
        while self.wire or any(self.writes.values()):
            for name, writes in self.writes.items():
                while writes:
                    self.sync(name)
            if self.wire:
                self.deliver(0)

    def dispatch(self, name: str, out) -> None:
        super().dispatch(name, out)
        line = self.deflate.get(name)
        for peer, message in out.sends:
            if peer == "c" and line is not None:
                text = json.dumps(message, separators=(",", ":")).encode()
                self.bytes += len(line.compress(text)) + len(line.flush(zlib.Z_SYNC_FLUSH))

    def current(self) -> bool:
        """Whether c holds what the others hold, and votes for it."""
        return all(
            self.machines["c"].value(register) == self.machines["a"].value(register)
            and self.machines["c"].acceptors[register].accepted
            == self.machines["a"].acceptors[register].accepted
            for register in DATA_REGISTERS
        )
