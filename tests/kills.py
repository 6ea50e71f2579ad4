"""A real `serve` killed outright amid a release, again and again; discovery and relay are stood in for.

    python -m tests.kills --rounds 100 [--without]

The relay judges what it receives: a worker that it was told to keep proxies off is never set above 0 in a
later life while discovery has not opened it again, and no further try of an operation with effects is ordered
twice.
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bramblewood.net.transport.connection import spelled
from bramblewood.net.transport.listener import Listener
from bramblewood.net.transport.loop import Loop
from example.toy import HEAD, Side

from .test_adapter import OPTIONS

WORKERS, SLICES, PROXIES = [f"w{k}" for k in range(5)], 8, 2
EFFECTS = [c["name"] for c in OPTIONS["classes"] if c["effect"] != "read_like"]


class Party(Side):
    """One of the toy's parties, at any free port, with a line handler handed in."""

    def __init__(self, loop, line):
        super().__init__(None, loop, ("127.0.0.1", 0))
        self.line, self.address = line, spelled(self.listener.sock.getsockname())


class Release:
    """The truth of a release with drains, and the judge of what a manager orders meanwhile."""

    def __init__(self, folder, dice, with_store=True):
        self.loop, self.dice, self.life, self.process, self.wrong = Loop(), dice, 0, None, []
        self.relay, self.discovery = Party(self.loop, self.called), Party(self.loop, self.asked)
        self.version, self.states, self.changed = 41, dict.fromkeys(WORKERS, "up"), dict.fromkeys(WORKERS, 41)
        self.tables = {n: {WORKERS[n % 5]: 1.0} for n in range(SLICES)}
        self.levels, self.out, self.silent, self.orders = {}, set(), False, 0
        self.config, self.operator = folder / "config.json", folder / "operator.sexp"
        self.operator.write_text(f'(store (folder "{folder / "store"}"))')
        specifics = {**OPTIONS["specifics"], "key_ranges": SLICES, "proxy_count": PROXIES}
        settings = {**OPTIONS, "specifics": specifics}
        self.config.write_text(
            json.dumps(
                {
                    "name": "m0",
                    "listen": self.free(),
                    "discovery": self.discovery.address,
                    "seed": "kills",
                    "registry": {"address": self.relay.address},
                    "settings": settings,
                    "known": json.loads(self.listed(WORKERS, True)),
                }
            )
        )
        self.words = ["--operator", str(self.operator)] if with_store else []
        self.beat()

    def free(self):
        listener = Listener(self.loop, ("127.0.0.1", 0), self.relay, 1, print)
        address = spelled(listener.sock.getsockname())
        listener.close()
        return address

    def beat(self):
        self.loop.after(0.4, self.beat)
        self.relay.tell(b"*\r\n")
        if not self.silent:
            self.discovery.tell(b"1\r\n\n\r\n")

    def listed(self, names, full=False):
        return json.dumps(
            {
                "version": self.version,
                "full": full,
                "servers": [
                    {
                        "id": name,
                        "addr": "127.0.0.1:9",
                        "zone": "",
                        "state": self.states[name],
                        "weight": 1.0,
                        "started_ms": 0,
                    }
                    for name in names
                ],
            }
        )

    def chunk(self, names):
        text = self.listed(names) + "\n"
        return f"{len(text):x}\r\n{text}\r\n".encode()

    def asked(self, connection, line):
        if line.startswith("GET"):
            connection.since = int(line.partition("index=")[2].split()[0] or 0) if "index=" in line else 0
        elif not line and not self.silent:
            names = [name for name in WORKERS if self.changed[name] > connection.since]
            connection.send(HEAD + (self.chunk(names) if names else b"1\r\n\n\r\n"))
            self.discovery.watchers.append(connection)

    def change(self, name, state):
        self.version += 1
        self.states[name], self.changed[name] = state, self.version
        if state == "up":
            self.out.discard(name)
        if not self.silent:
            self.discovery.tell(self.chunk([name]))

    def called(self, connection, line):
        word, _, rest = line.partition(" ")
        if word == "WATCH":
            news = [f"SUBSCRIBE {proxy} a 16.0 1" for proxy in range(PROXIES)]
            for number, table in self.tables.items():
                news += [f"GRANT {number} 1", *(f"ROW {number} {w} {part}" for w, part in table.items())]
            connection.send("".join(["OK\r\n", *(f"* {text}\r\n" for text in news), "*\r\n"]).encode())
            self.relay.watchers.append(connection)
        elif word == "APPLY":
            orders = rest.split(";")
            connection.send(f"OK {len(orders)}\r\n".encode())
            for order in orders:
                self.carry_out(*order.split(","))

    def carry_out(self, word, *rest):
        self.orders += 1
        if word == "SET":
            number, worker, weight = int(rest[0]), rest[1], float(rest[2])
            if weight and worker in self.out:
                self.wrong.append(f"life {self.life}: {worker}, kept off, is set at {number}")
            self.tables[number].pop(worker, None)
            if weight:
                self.tables[number][worker] = weight
        elif word == "OUT":
            self.out.add(rest[0])
        elif word == "LIMIT":
            names = EFFECTS if rest[1] == "*" else [name for name in rest[1].split("+") if name in EFFECTS]
            for number in self.tables if rest[0] == "*" else [int(rest[0])]:
                for name in names:
                    was, life = self.levels.get((number, name), (None, 0))
                    if rest[2:] == was and int(rest[3]) and life != self.life:
                        self.wrong.append(f"life {self.life}: a further try of {name} at {number} again")
                    self.levels[number, name] = rest[2:], self.life
        elif word == "SYNC":
            answers = [f"* ACK {proxy} {rest[0]} 150.0\r\n" for proxy in range(PROXIES)]
            self.loop.after(0.05, lambda: self.relay.tell("".join(answers).encode()))

    def wait(self, seconds, until=lambda: False):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not until():
            self.loop.turn(0.01)

    def round(self):
        """A start without discovery, then a release with drains, and a kill at any moment of it."""
        self.life, self.silent = self.life + 1, True
        before = self.orders
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bramblewood", "serve", *self.words],
            stdout=subprocess.DEVNULL,
            env={**os.environ, "EDGE_CONFIG": str(self.config)},
        )
        self.wait(4.0, lambda: self.relay.watchers and self.orders > before)
        if self.orders == before:  # a life that orders nothing would be judged for nothing
            self.wrong.append(f"life {self.life}: ordered nothing in four seconds")
        self.wait(0.3 + self.dice.random())
        self.silent = False  # the watch that had no answer is dialled again
        self.wait(3.0, lambda: self.discovery.watchers)
        ready = [name for name in WORKERS if self.states[name] == "up"]
        for name in self.dice.sample(ready, min(2, len(ready) - 1)):
            self.change(name, self.dice.choice(["draining", "removed"]))
        closed = [name for name in WORKERS if self.states[name] != "up"]
        if len(closed) > 2:
            self.change(self.dice.choice(closed), "up")
        self.wait(self.dice.choice([0.02, 0.2, 1.5]) * self.dice.random())
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.wait(0.05, lambda: not self.relay.watchers)


def run(rounds, seed, with_store=True):
    """What was wrong, and how many orders the relay received."""
    with tempfile.TemporaryDirectory() as folder:
        release = Release(Path(folder), random.Random(seed), with_store)
        for _ in range(rounds):
            release.round()
            if release.wrong and with_store and os.environ.get("KEEP"):
                subprocess.run(["cp", "-r", str(Path(folder) / "store"), os.environ["KEEP"]])
                break
        return release.wrong, release.orders


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--rounds", type=int, default=100)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--without", action="store_true", help="without the store, as a check of the judge")
    told = words.parse_args()
    wrong, orders = run(told.rounds, told.seed, not told.without)
    print(f"{told.rounds} kills, {orders} orders received, {len(wrong)} wrong")
    for what in wrong[:12]:
        print(f"  {what}")
    sys.exit(bool(wrong))


if __name__ == "__main__":
    main()
