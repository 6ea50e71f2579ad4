"""The whole program on loopback sockets: transport, the configuration, the turn, and its start and end."""

import errno
import json
import os
import random
import signal
import socket
import subprocess
import sys

import pytest

from bramblewood import events, startup_settings
from bramblewood.adapter import wire
from bramblewood.net.program import configuration
from bramblewood.net.program import service as program
from bramblewood.net.protocol import frames
from bramblewood.net.transport.connection import Connection
from bramblewood.net.transport.ending import Ending, ending_of
from bramblewood.net.transport.listener import Listener

from .helper import Edge, pieces
from .test_adapter import OPTIONS
from .test_routing import HEAD, item, watch


class Party:
    """An owner that notes what it is told."""

    def __init__(self):
        self.came, self.endings, self.connections, self.raises = b"", [], [], False

    def opened(self, connection):
        self.connections.append(connection)

    def received(self, connection):
        self.came += connection.buffer.take(len(connection.buffer))
        if self.raises:
            raise RuntimeError("a defect")

    def ended(self, connection, ending):
        self.endings.append(ending)


def bound(kind=socket.SOCK_STREAM):
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind(("127.0.0.1", 0))
    if kind == socket.SOCK_STREAM:
        sock.listen(8)
    return sock


def turns(edge, until, most=400):
    """Turns of the loop till something is seen; the clock stands still."""
    for _ in range(most):
        if until():
            return True
        edge.loop.turn(0.01)
    return False


def joined(edge):
    """A dialled connection and the plain socket at its other end."""
    party, server = Party(), bound()
    connection = Connection.dial(edge.loop, server.getsockname(), party)
    assert turns(edge, lambda: party.connections)
    other = server.accept()[0]
    server.close()
    return party, connection, other


def test_bytes_pass_whole_in_both_directions():
    edge, dice = Edge(), random.Random(1)
    party, connection, other = joined(edge)
    data, sent = dice.randbytes(200_000), 0
    for piece in pieces(dice, data):
        other.sendall(piece)
        sent += len(piece)
        assert turns(edge, lambda end=sent: len(party.came) >= end)
    assert party.came == data
    connection.send(data)
    got = b""
    while len(got) < len(data):
        edge.loop.turn(0)
        got += other.recv(65536)
    assert got == data and not connection.unsent


def test_a_reader_that_leaves_all_unread_is_cut_off():
    edge = Edge()
    party, connection, other = joined(edge)
    other.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for _ in range(400):
        connection.send(b"x" * 65536)
    assert turns(edge, lambda: party.endings) and party.endings == [Ending.OVERFULL]


@pytest.mark.parametrize("linger, ending", [(None, Ending.CLOSED), (b"\1\0\0\0\0\0\0\0", Ending.RESET)])
def test_the_other_sides_end_is_told_once(linger, ending):
    edge = Edge()
    party, connection, other = joined(edge)
    if linger:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    other.close()
    assert turns(edge, lambda: party.endings)
    connection.end()
    assert party.endings == [ending]


def test_dials_end_refused_or_in_time():
    edge, party = Edge(), Party()
    gone = bound()
    address = gone.getsockname()
    gone.close()
    Connection.dial(edge.loop, address, party)
    assert turns(edge, lambda: party.endings) and party.endings == [Ending.REFUSED]
    Connection.dial(edge.loop, ("127.0.0.1", 0), party)
    assert turns(edge, lambda: len(party.endings) == 2)
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)  # a second and third connection never come up
    rest = [Connection.dial(edge.loop, full.getsockname(), party) for _ in range(4)]
    for _ in range(20):
        edge.loop.turn(0.01)
    edge.wait(1.1)
    assert party.endings[2:] and set(party.endings[2:]) == {Ending.NOT_UP}
    for connection in rest:
        connection.end()


def test_no_descriptor_left_ends_the_dial_alone(monkeypatch):
    edge, party = Edge(), Party()

    def none_left(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr("bramblewood.net.transport.connection.socket.socket", none_left)
    Connection.dial(edge.loop, ("127.0.0.1", 9), party)
    assert party.endings == []  # never from within the call
    edge.loop.turn(0)
    assert party.endings == [Ending.NO_DESCRIPTOR] and ending_of(None) is Ending.FAULT


def test_newcomers_beyond_the_limit_are_turned_away():
    edge, party, away = Edge(), Party(), []
    listener = Listener(edge.loop, ("127.0.0.1", 0), party, 2, away.append)
    callers = [socket.create_connection(listener.sock.getsockname()) for _ in range(4)]
    assert turns(edge, lambda: len(away) == 2) and len(party.connections) == 2
    callers[0].close()
    assert turns(edge, lambda: party.endings)
    again = socket.create_connection(listener.sock.getsockname())
    assert turns(edge, lambda: len(party.connections) == 3)

    def none_left():
        raise OSError(errno.EMFILE, "Too many open files")

    real, listener.sock = listener.sock, type("Full", (), {"accept": staticmethod(none_left)})()
    listener.ready(1)  # guards against a loop that is woken without end
    listener.sock = real
    assert away[-1] == "out of descriptors"
    for end in (listener, again, *callers):
        end.close()


def test_a_defect_met_by_one_connection_leaves_the_others():
    edge = Edge()
    party, _, other = joined(edge)
    party.raises = True
    other.send(b"x")
    with pytest.raises(RuntimeError):
        turns(edge, lambda: False)
    assert party.endings == [Ending.FAULT]


CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "peers": [],
    "registry": {"address": "127.0.0.1:6400"},
    "known": {"version": 41, "full": True, "servers": [item("s1"), item("s2")]},
    "settings": OPTIONS,
}


@pytest.mark.parametrize(
    "change, words",
    [
        ({"listen": None}, "listen: expected an address"),
        ({"listen": "localhost:1"}, "listen: "),
        ({"listen": "1.2.3.4:99999"}, "listen: expected a port"),
        ({"discovery": 7}, "discovery: "),
        ({"registry": []}, "registry: expected an object"),
        ({"registry": {}}, "registry.address: "),
        ({"limits": {"sockets": "many"}}, "limits.sockets: expected a whole number"),
        ({"limits": {"sockets": 3}}, "limits.sockets: expected 32 or more"),
        ({"peers": {}}, "peers: "),
        ({"peers": ["1.2.3.4:1", "x"]}, "peers.1: "),
        ({"known": 3}, "known: "),
        ({"settings": None}, "settings: expected an object, it is missing"),
        ({"settings": {"classes": [{}]}}, "settings.classes.0.name: it is missing"),
        ({"name": 3}, "name: "),
        ({"settings": {"classes": [3]}}, "settings.classes.0: "),
        ({"peers_all": "x:1"}, "peers_all: "),
        ({"settings": {"specifics": {"cycle": "soon"}}}, "settings.specifics.cycle: found 'soon'"),
        ({"settings": {"specifics": {"cycle": 0.0}}}, "settings.specifics.cycle: expected more than 0"),
        ({"settings": {"specifics": {"egress_per_s": -1}}}, "settings.specifics.egress_per_s: expected 0 or"),
        ({"settings": {"specifics": {"bare": float("inf")}}}, "settings.specifics.bare: found inf"),
        ({"settings": {"classes": [{**OPTIONS["classes"][0], "objective": 0}]}}, "settings.classes.0: "),
        ({"settings": {"report": []}}, "settings.report: expected an object"),
    ],
)
def test_a_faulty_key_is_named(change, words):
    with pytest.raises(configuration.ConfigurationError) as found:
        configuration.parse({**CONFIG, **change})
    assert str(found.value).startswith(words) and "\n" not in str(found.value)


def test_the_variables_fill_what_the_configuration_lacks(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({key: value for key, value in CONFIG.items() if key != "listen"}))
    told = configuration.read({"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.9:81"})
    assert told.listen == ("127.0.0.9", 81) and told.relay == ("127.0.0.1", 6400)
    assert (
        told.settings == startup_settings.parse_settings(OPTIONS)
        and wire.MS_PER_SECOND == startup_settings.MS_PER_SECOND
    )  # one translation for both roads
    path.write_text("{")
    for environment in ({}, {"EDGE_CONFIG": str(tmp_path / "none")}, {"EDGE_CONFIG": str(path)}):
        with pytest.raises(configuration.ConfigurationError):
            configuration.read(environment)


class Site:
    """A service with plain sockets in place of discovery, the relay and a collector, and a clock by hand."""

    def __init__(self):
        self.edge, self.discovery, self.relay = Edge(), bound(), bound()
        addresses = {"discovery": self.discovery, "registry": self.relay}
        config = json.loads(json.dumps(CONFIG))
        told = configuration.parse(config)._replace(
            listen=("127.0.0.1", 0),
            discovery=addresses["discovery"].getsockname(),
            relay=addresses["registry"].getsockname(),
        )
        self.lines = []
        self.service = program.Service(told, self.edge.loop, self)
        self.service.start()
        self.ends = [self.discovery, self.relay]

    def info(self, what, **more):
        self.lines.append((what, more))

    warning = exception = info

    def accept(self, server, wanted):
        """The next connection that the service dials with what is wanted, and what it asks first."""
        server.settimeout(5)
        while True:
            sock = server.accept()[0]
            self.ends.append(sock)
            asked = self.hear(sock, b"\r\n")
            if wanted in asked:
                return sock, asked

    def hear(self, sock, until=b"\r\n", step=0.0):
        """What a socket is sent; the clock goes on by a step at each look."""
        sock.setblocking(False)
        got = b""
        for _ in range(400):
            self.edge.hands.at += step
            self.service.turn(0.01)
            try:
                got += sock.recv(65536)
            except BlockingIOError:
                pass
            if until in got:
                return got
        raise AssertionError(f"heard only {got!r}")

    def wait(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.edge.hands.at += 0.05
            self.service.turn(0)

    def caller(self):
        sock = socket.create_connection(self.service.listener.sock.getsockname())
        self.ends.append(sock)
        return sock

    def close(self):
        self.service.listener.close()
        for end in self.ends:
            end.close()


@pytest.fixture
def site():
    site = Site()
    yield site
    site.close()


STANDS = (
    b"OK\r\n* SUBSCRIBE 1 a 2.0 1\r\n* GRANT 0 1\r\n* ROW 0 s1 1.0\r\n* GRANT 1 1\r\n* ROW 1 s2 1.0\r\n*\r\n"
)


def test_the_whole_road_from_a_drain_in_the_watch_to_the_call(site):
    caller = site.caller()
    caller.sendall(frames.frame({"t": "PING"}))
    discovery, _ = site.accept(site.discovery, b"index=41 ")
    news, _ = site.accept(site.relay, b"WATCH")
    discovery.sendall(HEAD)
    news.sendall(STANDS)
    assert site.hear(caller, b"PONG") == frames.PONG
    discovery.sendall(watch(42, item("s2", "draining")))
    call, asked = site.accept(site.relay, b"APPLY")
    while b"OUT,s2" not in asked:
        call.sendall(b"OK %d\r\n" % (asked.count(b";") + 1))
        asked = site.hear(call, step=0.02)
    assert b"SET,1,s1,1.0" in asked and b"SYNC," in asked and site.service.relay_calls.in_flight
    call.sendall(b"OK %d\r\n" % (asked.count(b";") + 1))
    assert turns(site.edge, lambda: not site.service.relay_calls.in_flight)
    assert "s1" in site.service.relay_updates.known.slices[1] and not site.service.relay_calls.queued


def test_a_manager_whose_parties_are_silent_may_be_used_after_a_while(site):
    """Guards against waiting for someone without bound: with nobody there it still does what it can."""
    caller = site.caller()
    caller.sendall(frames.frame({"t": "PING"}))
    site.wait(program.READY_WITHIN - 0.2)
    assert not site.service.collectors.in_use
    site.wait(0.3)
    assert site.hear(caller, b"PONG") == frames.PONG


def test_a_module_that_raises_is_started_anew_and_told_all_that_stands(site, monkeypatch):
    news, _ = site.accept(site.relay, b"WATCH")
    news.sendall(STANDS)
    site.wait(0.2)
    assert len(site.service.manager.own_slices()) == 2
    first = site.service.manager
    site.service.relay_updates.order_applied(events.SetAdmission(1, (0,), 0.5, 0))

    def defect(now, batch):
        raise RuntimeError("a defect")

    monkeypatch.setattr(first, "handle", defect)
    site.wait(program.RESTART_DELAY + 1.2)
    assert ("the module failed", {}) in site.lines and site.service.manager is not first
    assert [w.name for w in site.service.manager.ready_workers()] == ["s1", "s2"]
    news, _ = site.accept(site.relay, b"WATCH")
    news.sendall(STANDS)
    assert turns(site.edge, lambda: site.service.turn(0) or len(site.service.manager.own_slices()) == 2)
    assert any(
        "LIMIT,1,*,1.0," in out.text
        for part in (site.service.relay_calls.queued, site.service.relay_calls.in_flight)
        for out in part.values()
    )


def config_file(tmp_path, monkeypatch, **change):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, **change}))
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    return path


def test_a_new_configuration_moves_discovery_news_and_calls_under_load(site, tmp_path, monkeypatch):
    """Guards against a signal that ends the process, and a move that loses what the old roads told."""
    watching, _ = site.accept(site.discovery, b"index=41 ")
    news, _ = site.accept(site.relay, b"WATCH")
    watching.sendall(HEAD + watch(42, item("s1")))
    news.sendall(STANDS)
    site.wait(0.2)
    fresh = [bound(), bound()]
    site.ends += fresh
    there = ["{}:{}".format(*sock.getsockname()) for sock in fresh]
    path = config_file(tmp_path, monkeypatch, discovery=there[0], registry={"address": there[1]}, seed="new")
    news.sendall(b"* CLOSED 1\r\n")  # not read yet
    site.service.request_reload(signal.SIGHUP, None)
    site.wait(0.1)
    moved, asked = site.accept(fresh[0], b"stream=1")
    assert b"index=42 " in asked and f"Host: {there[0]}".encode() in asked
    again, _ = site.accept(fresh[1], b"WATCH")
    again.sendall(STANDS.replace(b"* SUBSCRIBE 1 a 2.0 1\r\n", b""))
    moved.sendall(HEAD)
    site.wait(0.5)
    assert news.recv(9) == b"" and watching.recv(9) == b""  # the old ones were ended
    assert not site.service.manager.proxies and len(site.service.manager.own_slices()) == 2
    assert (
        "new configuration taken",
        {"discovery": there[0], "relay": there[1], "at_the_next_start": ["listen", "seed"]},
    ) in site.lines
    before = site.service.relay_updates.current, site.service.discovery.current
    for text in (path.read_text(), "{", "[]", path.read_text().replace(there[1], "nowhere")):
        path.write_text(text)  # the same again, and faulty ones: harmless, and told
        site.service.request_reload(signal.SIGHUP, None)
        site.wait(0.1)
    assert site.service.relay_updates.current and before == (
        site.service.relay_updates.current,
        site.service.discovery.current,
    )
    refused = [more["why"] for what, more in site.lines if what == "new configuration refused"]
    assert len(refused) == 3 and refused[-1].startswith("registry.address: ")


def test_an_order_that_cannot_be_expressed_does_not_end_the_process(site):
    site.service.manager.handle = lambda now, batch: [events.SetAdmission(1, (99,), 1.0, 0)]
    site.service.inbox.append(events.TimerFired("turn"))
    site.service.turn(0)
    assert "orders not carried out" in [what for what, _ in site.lines]


def test_an_order_without_a_message_is_logged_once(site):
    for _ in range(9):
        site.service.carry_out(
            [events.BindProxy(1, 2), events.SendPeerMessage(None, b"x"), events.Log("kept")]
        )
    assert [what for what, _ in site.lines].count("order without a message") == 2
    assert [what for what, _ in site.lines].count("kept") == 9


def started(tmp_path, *words, **change):
    listen = bound()
    config = {**CONFIG, "listen": "{}:{}".format(*listen.getsockname()), **change}
    listen.close()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "bramblewood", *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(path)},
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_IGN),
    )  # as deploy's


def test_sigterm_ends_it_with_exit_code_0(tmp_path):
    process = started(tmp_path, "serve")
    assert b"started" in process.stdout.readline()
    process.send_signal(signal.SIGTERM)
    assert process.wait(5) == 0
    process.communicate()


def test_sighup_at_any_moment_does_not_end_it(tmp_path):
    process = started(tmp_path, "serve")
    process.send_signal(signal.SIGHUP)  # amid the imports or later
    lines = [process.stdout.readline() for _ in range(2)]
    assert b"started" in lines[0]
    process.send_signal(signal.SIGHUP)
    while b"new configuration taken" not in (line := process.stdout.readline()):
        assert line
    for number in (signal.SIGHUP, signal.SIGTERM):
        process.send_signal(number)
    assert process.wait(5) == 0
    process.communicate()


def test_sigterm_amid_the_imports_is_not_lost():
    """Guards against an exception from the handler that some import swallows: the manager then ran on."""
    code = (
        "import os, signal, bramblewood.__main__\ntry:\n    os.kill(os.getpid(), signal.SIGTERM)\n"
        "except BaseException:\n    print('lost')\nprint('went on')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=20)
    assert done.returncode == 0 and done.stdout == b""


@pytest.mark.parametrize(
    "words, change, said",
    [
        (["serve"], {"listen": "nowhere"}, b"listen: "),
        (["odd"], {}, b"odd"),
        (["serve", "--odd"], {}, b"--odd"),
        (["check"], {"discovery": 7}, b"discovery: "),
        (["serve"], {"listen": "192.0.2.1:9"}, b"listen: "),
        (["check"], {"known": {"version": "x"}}, b"known: a list without version"),
    ],
)
def test_what_is_wrong_at_the_start_is_one_line_and_exit_code_2(tmp_path, words, change, said):
    process = started(tmp_path, *words, **change)
    out, err = process.communicate(timeout=20)
    assert process.returncode == 2 and said in err and b"Traceback" not in err and out == b""


def test_version_and_check_say_what_is_there(tmp_path):
    out, _ = started(tmp_path, "version").communicate(timeout=20)
    assert out.startswith(b"bramblewood ")
    process = started(tmp_path, "check")
    out, _ = process.communicate(timeout=20)
    assert process.returncode == 0 and b"127.0.0.1:6400" in out and b"known workers: 2" in out
