"""A toy round one manager: discovery, relay and collector in one small process, to look at what it orders.

    .venv/bin/python example/toy.py --seconds 30

It lists four workers, joins three proxies, gives twelve slices, reports each second, drains a worker after
10 s, takes it back after 20 s, prints every call and ends by itself. No load is sent: reports are made up.
"""

import argparse
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bramblewood.net.protocol.frames import frame  # noqa: E402
from bramblewood.net.transport.connection import Connection  # noqa: E402
from bramblewood.net.transport.listener import Listener  # noqa: E402
from bramblewood.net.transport.loop import Loop  # noqa: E402

MANAGER, DISCOVERY, RELAY = ("127.0.0.1", 3000), ("127.0.0.1", 8500), ("127.0.0.1", 6400)
WORKERS, PROXIES, SLICES = ["alder", "birch", "cedar", "dogwood"], 3, 12
HEAT = 4  # invocations a second of each slice, as reported
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class Side:
    """What the three parties share: they only differ in what they do with a line."""

    def __init__(self, toy, loop, address):
        self.toy, self.watchers = toy, []
        self.listener = Listener(loop, address, self, 32, print)

    def opened(self, connection):
        pass

    def received(self, connection):
        while (line := connection.buffer.line()) is not None:
            self.line(connection, line.decode())

    def ended(self, connection, ending):
        if connection in self.watchers:
            self.watchers.remove(connection)

    def tell(self, data):
        for watcher in list(self.watchers):
            watcher.send(data)


class Discovery(Side):
    def line(self, connection, line):
        if line.startswith("GET"):
            self.watchers.append(connection)
        elif not line:
            connection.send(HEAD + self.chunk(self.toy.listed(WORKERS, full=True)))

    def chunk(self, text):
        return f"{len(text) + 1:x}\r\n{text}\n\r\n".encode()


class Relay(Side):
    def line(self, connection, line):
        word, _, rest = line.partition(" ")
        if word == "WATCH":
            news = [f"SUBSCRIBE {proxy} north 16.0 1" for proxy in range(PROXIES)]
            for number, table in self.toy.tables.items():
                news += [f"GRANT {number} 1", *(f"ROW {number} {w} {part}" for w, part in table.items())]
            connection.send("".join(["OK\r\n", *(f"* {text}\r\n" for text in news)]).encode())
            self.watchers.append(connection)
        elif word == "APPLY":
            orders = rest.split(";")
            self.toy.say("orders: " + "  ".join(orders))
            connection.send(f"OK {len(orders)}\r\n".encode())
            for order in orders:
                self.toy.carry_out(*order.split(","))


class Toy:
    def __init__(self, loop):
        self.loop, self.began, self.collector, self.version, self.draining = loop, loop.now(), None, 1, None
        self.tables = {number: {WORKERS[number % len(WORKERS)]: 1.0} for number in range(SLICES)}
        self.discovery, self.relay = Discovery(self, loop, DISCOVERY), Relay(self, loop, RELAY)

    def say(self, text):
        print(f"{self.loop.now() - self.began:5.1f} s  {text}", flush=True)

    def listed(self, names, full=False):
        states = {name: "draining" if name == self.draining else "up" for name in names}
        return json.dumps(
            {
                "version": self.version,
                "full": full,
                "servers": [
                    {
                        "id": name,
                        "addr": "127.0.0.1:3001",
                        "zone": "north",
                        "state": state,
                        "weight": 1.0,
                        "started_ms": 0,
                    }
                    for name, state in states.items()
                ],
            }
        )

    def carry_out(self, word, *rest):
        if word == "SET":
            table = self.tables[int(rest[0])]
            table.pop(rest[1], None)
            if float(rest[2]):
                table[rest[1]] = float(rest[2])
        elif word == "SYNC":
            answers = [f"* ACK {proxy} {rest[0]} 150.0\r\n" for proxy in range(PROXIES)]
            self.relay.tell("".join(answers).encode())

    def drain(self, name):
        changed, self.draining, self.version = name or self.draining, name, self.version + 1
        self.say(f"discovery: {changed} is {'draining' if name else 'up'}")
        self.discovery.tell(self.discovery.chunk(self.listed([changed])))

    def second(self):
        self.loop.after(1.0, self.second)
        self.relay.tell(b"*\r\n")
        self.discovery.tell(self.discovery.chunk(""))
        if self.collector is None:
            self.collector = Connection.dial(self.loop, MANAGER, self)
        elif self.collector.up:
            self.report()

    def report(self):
        mains = [max(table, key=table.get) for table in self.tables.values() if table]
        for name in WORKERS:
            tries = HEAT * mains.count(name)
            self.collector.send(
                frame(
                    {
                        "t": "LOAD",
                        "zone": "north",
                        "server": name,
                        "tries": tries,
                        "failed": 0,
                        "mean_ms": 150.0,
                        "span_ms": 1000.0,
                        "load": {"util": round(tries / 40, 2), "queue": 0},
                    }
                )
            )
        for number in self.tables:
            self.collector.send(
                frame(
                    {
                        "t": "SHARD",
                        "slice": number,
                        "class": "look",
                        "tries": HEAT,
                        "failed": 0,
                        "span_ms": 1000.0,
                    }
                )
            )

    def opened(self, connection):
        self.say("the manager listens; reports begin")
        connection.send(frame({"t": "SOURCE", "zone": "north"}) + frame({"t": "PING"}))

    def received(self, connection):
        self.say(f"the manager says {connection.buffer.take(64)[4:].decode()}")

    def ended(self, connection, ending):
        self.collector = None


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--seconds", type=float, default=30.0)
    until = words.parse_args().seconds
    loop = Loop()
    toy = Toy(loop)
    loop.after(0.0, toy.second)
    loop.after(10.0, lambda: toy.drain("birch"))
    loop.after(20.0, lambda: toy.drain(None))
    toy.say("discovery and relay listen; start the manager now")
    while loop.now() < toy.began + until:
        loop.turn()


if __name__ == "__main__":
    main()
