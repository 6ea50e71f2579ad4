"""Measures the compressed bytes that a voter receives to catch up after a stop in which it missed changes."""

import hashlib
import json
import zlib

from benchmarks.controller_storage import make_slice_table, move_slice
from benchmarks.gateway import config
from bramblewood.controller.consensus.registers import CONFIG, DATA_REGISTERS, TABLE
from tests.simulation.consensus import ReplicaCluster

LINK_RATE = 2e6 / 8  # bytes per s; the lowest supported bandwidth of a link to a voter is 2 Mbit/s


def digest_of(revision: int) -> str:
    return hashlib.sha256(str(revision).encode()).hexdigest()


class CatchUpAfterStop(ReplicaCluster):
    """Three voters. The voter c stops, misses changes, and catches up after it has restarted.

    Half of the missed changes are of the configuration, the other half are of the table.
    """

    def __init__(self, changes: int, routes: int, slices: int, past_revisions: int) -> None:
        """past_revisions: the number of past revisions of the configuration whose digests are kept."""
        super().__init__(1)
        self.max_digests, self.revision, self.bytes_received = past_revisions, past_revisions, 0
        self.compressors: dict = {}  # one for each link to c after its restart, by sender
        first_value = {
            "n": past_revisions,
            "config": config(routes),
            "past": {str(revision): digest_of(revision) for revision in range(1, past_revisions + 1)},
        }
        self.change(CONFIG, lambda _: first_value)
        self.change(TABLE, lambda _: make_slice_table(slices))
        self.stop("c")
        for number in range(changes):
            self.change(*((CONFIG, self.next_config) if number % 2 else (TABLE, self.next_table)))
        self.start("c")
        self.compressors = {name: zlib.compressobj(wbits=-zlib.MAX_WBITS) for name in ("a", "b")}
        # These messages stand for the first heartbeats to c, which also list the accepted proposals.
        for register in DATA_REGISTERS:
            for name in ("a", "b"):
                accepted = {
                    "k": "accepted",
                    "r": register,
                    "b": self.replicas[name].durable_accepted[register],
                }
                accepted["disk"] = self.replicas[name].disk
                self.in_flight.append((name, "c", accepted))
        self.deliver_all()
        self.change(CONFIG, self.next_config)
        self.change(TABLE, self.next_table)

    def check_invariants(self) -> None:
        pass  # other simulations check them; here the check would take most of the time

    def next_config(self, value: dict) -> dict:
        self.revision += 1
        past = {**value["past"], str(self.revision): digest_of(self.revision)}
        records = [list(record) for record in value["config"]["RouteList"]["Records"]]
        records[self.revision % len(records)][3] = self.revision % 30 + 1
        routes = {**value["config"]["RouteList"], "Records": records}
        kept = dict([*past.items()][-self.max_digests :])
        return {"n": self.revision, "config": {**value["config"], "RouteList": routes}, "past": kept}

    def next_table(self, value: dict) -> dict:
        return move_slice(value, value["n"] * 7919)

    def change(self, register, next_value) -> None:
        """Changes a register through a, and delivers all messages that follow from it."""
        answers = []
        change = lambda current: (next_value(current), answers.append(True))  # noqa: E731
        self.apply("a", self.replicas["a"].propose(self.now, register, change, "change", 2.0))
        self.deliver_all()
        assert answers, "no quorum accepted the change"

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
                self.bytes_received += len(compressor.compress(text)) + len(
                    compressor.flush(zlib.Z_SYNC_FLUSH)
                )

    def has_caught_up(self) -> bool:
        """Whether c has learned the same values as a, and its acceptor has accepted the same proposals."""
        return all(
            self.replicas["c"].value(register) == self.replicas["a"].value(register)
            and self.replicas["c"].acceptors[register].accepted
            == self.replicas["a"].acceptors[register].accepted
            for register in DATA_REGISTERS
        )
