"""Connections between the machines: they delay, hold up and break, and keep order."""

import json
from typing import NamedTuple

from tests.simulation.digests import record_event

from .timing import REDIAL_DELAY


class Delivery(NamedTuple):
    """A message on its way."""

    arrives_at: float
    text: str
    sent_at: float
    peer_heard_at: float  # when the newest message that the sender had from its receiver was sent


class ConnectionEnd:
    """One end of a connection: what `common.peer_connections.PeerConnection` is to the programs."""

    def __init__(self, connection, machine, peer):
        self.connection, self.machine, self.peer = connection, machine, peer
        self.role, self.details_version, self.sent_versions, self.next_read_at = "", -1, {}, 0.0
        self.deliveries = []  # on their way to the other end

    def send(self, message):
        if self.connection.is_up:
            fleet = self.machine.fleet
            text = message if isinstance(message, str) else json.dumps(message)
            record_event("message", fleet.now, self.machine.name, self.peer, json.loads(text))
            arrives_at = fleet.now + fleet.rng.uniform(*fleet.transit_times)
            arrives_at = max(arrives_at, self.deliveries[-1].arrives_at) if self.deliveries else arrives_at
            heard = self.machine.heard.get(self.peer or self.connection.dialler.name, 0.0)
            self.deliveries.append(Delivery(arrives_at, text, fleet.now, heard))

    def close(self):
        self.connection.lose()


class SimulatedConnection:
    """A connection that one machine dialled to a controller."""

    def __init__(self, dialler, acceptor):
        self.is_up, self.dialler, self.acceptor = True, dialler, acceptor
        self.near, self.far = ConnectionEnd(self, dialler, acceptor.name), ConnectionEnd(self, acceptor, "")
        self.is_greeted, self.heard_at = False, dialler.fleet.now

    def lose(self):
        if not self.is_up:
            return
        dialler, acceptor = self.dialler, self.acceptor
        for end, receiver in self.directions():
            if receiver.is_frozen:  # what has come is read after the thaw
                self.read(end, receiver)
        self.is_up = False
        connections = dialler.peer_connections
        if connections.connected.get(acceptor.name) is self.near:
            del connections.connected[acceptor.name]
            dialler.report_connection(acceptor.name, False)
        if self.is_greeted:
            acceptor.loop.call_soon(acceptor.handlers.handle_disconnect, self.far)
        connections.next_dial_at[acceptor.name] = dialler.fleet.now + REDIAL_DELAY

    def directions(self):
        return ((self.near, self.acceptor), (self.far, self.dialler))

    def deliver_due(self, now):
        """Hand on what has arrived."""
        fleet = self.dialler.fleet
        for end, receiver in self.directions():
            if not end.deliveries or now < end.deliveries[0].arrives_at:
                continue
            if fleet.is_cut(end.machine.name, receiver.name):
                if now > end.deliveries[0].arrives_at + fleet.connection_patience:
                    return self.lose()
                continue
            if not receiver.is_frozen and now >= end.next_read_at:
                end.next_read_at = now + fleet.read_delays.get(receiver.name, 0.0)
                self.read(end, receiver, 1 if receiver.name in fleet.read_delays else len(end.deliveries))

    def read(self, end, receiver, limit=1000):
        while limit and end.deliveries and receiver.fleet.now >= end.deliveries[0].arrives_at:
            delivery, sender = end.deliveries.pop(0), end.machine.name
            receiver.heard[sender] = delivery.sent_at
            receiver.echoed[sender] = max(delivery.peer_heard_at, receiver.echoed.get(sender, 0.0))
            self.hand_over(end, receiver, json.loads(delivery.text))
            limit -= 1

    def hand_over(self, end, receiver, message):
        handlers, call_soon = receiver.handlers, receiver.loop.call_soon
        if end is self.far:
            self.heard_at = self.dialler.fleet.now
            call_soon(handlers.handle_message, self.near, message)
        elif self.is_greeted:
            call_soon(handlers.handle_message, self.far, message)
        else:
            self.is_greeted = True
            call_soon(handlers.handle_greeting, self.far, message)


class SimulatedConnections:
    """What `common.peer_connections.PeerConnections` is to a program."""

    def __init__(self, machine):
        self.machine, self.connected, self.next_dial_at = machine, {}, {}

    def maintain(self, peer, port):
        self.next_dial_at.setdefault(peer, 0.0)

    def send(self, peer, message):
        if peer in self.connected:
            self.connected[peer].send(message)
        return peer in self.connected

    def dial_due(self, now):
        fleet, machine = self.machine.fleet, self.machine
        for peer, dial_at in self.next_dial_at.items():
            acceptor = fleet.machines.get(peer)
            if peer in self.connected or now < dial_at or acceptor is None or acceptor.server is None:
                continue
            if fleet.is_cut(machine.name, peer) or fleet.is_cut(peer, machine.name):
                continue
            connection = SimulatedConnection(machine, acceptor)
            fleet.connections.append(connection)
            self.connected[peer] = connection.near
            connection.near.send(machine.handlers.greeting(peer))
            machine.report_connection(peer, True)
