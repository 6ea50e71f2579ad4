"""Simulated connections between machines. They deliver messages in order, with delays, and can break."""

import json
from typing import NamedTuple

from tests.simulation.digests import record_event

from .timing import REDIAL_DELAY


class Delivery(NamedTuple):
    """A message in transit."""

    arrives_at: float
    text: str
    sent_at: float
    echoed_sent_at: float  # send time of the newest message that the sender had received from the receiver


class ConnectionEnd:
    """One end of a connection. It replaces `common.peer_connections.PeerConnection` in the programs."""

    def __init__(self, connection, machine, peer):
        self.connection, self.machine, self.peer = connection, machine, peer
        self.role, self.details_version, self.sent_versions, self.next_read_at = "", -1, {}, 0.0
        self.deliveries = []  # messages in transit to the other end

    def send(self, message):
        if self.connection.is_up:
            fleet = self.machine.fleet
            text = message if isinstance(message, str) else json.dumps(message)
            record_event("message", fleet.now, self.machine.name, self.peer, json.loads(text))
            arrives_at = fleet.now + fleet.rng.uniform(*fleet.transit_times)
            arrives_at = max(arrives_at, self.deliveries[-1].arrives_at) if self.deliveries else arrives_at
            echoed_sent_at = self.machine.received_send_times.get(
                self.peer or self.connection.dialler.name, 0.0
            )
            self.deliveries.append(Delivery(arrives_at, text, fleet.now, echoed_sent_at))

    def close(self):
        self.connection.disconnect()


class SimulatedConnection:
    """A connection that one machine dialled to a controller."""

    def __init__(self, dialler, acceptor):
        self.is_up, self.dialler, self.acceptor = True, dialler, acceptor
        self.dialler_end, self.acceptor_end = (
            ConnectionEnd(self, dialler, acceptor.name),
            ConnectionEnd(self, acceptor, ""),
        )
        self.is_greeted, self.dialler_received_at = False, dialler.fleet.now

    def disconnect(self):
        """Break the connection and inform both machines. The dialler dials again after REDIAL_DELAY s."""
        if not self.is_up:
            return
        dialler, acceptor = self.dialler, self.acceptor
        for end, receiver in self.directions():
            if receiver.is_frozen:  # its socket buffer keeps the messages that have arrived
                self.read(end, receiver)
        self.is_up = False
        connections = dialler.peer_connections
        if connections.connected.get(acceptor.name) is self.dialler_end:
            del connections.connected[acceptor.name]
            dialler.notify_connection_change(acceptor.name, False)
        if self.is_greeted:
            acceptor.loop.call_soon(acceptor.handlers.handle_disconnect, self.acceptor_end)
        connections.next_dial_at[acceptor.name] = dialler.fleet.now + REDIAL_DELAY

    def directions(self):
        """Each end that sends, with the machine that receives from it."""
        return ((self.dialler_end, self.acceptor), (self.acceptor_end, self.dialler))

    def deliver_due(self, now):
        """Deliver the messages that have arrived.

        Messages on a blocked direction wait. The connection breaks once one has waited for the fleet's TCP
        user timeout.
        """
        fleet = self.dialler.fleet
        for end, receiver in self.directions():
            if not end.deliveries or now < end.deliveries[0].arrives_at:
                continue
            if fleet.is_blocked(end.machine.name, receiver.name):
                if now > end.deliveries[0].arrives_at + fleet.tcp_user_timeout:
                    return self.disconnect()
                continue
            if not receiver.is_frozen and now >= end.next_read_at:
                end.next_read_at = now + fleet.read_delays.get(receiver.name, 0.0)
                self.read(end, receiver, 1 if receiver.name in fleet.read_delays else len(end.deliveries))

    def read(self, end, receiver, limit=1000):
        """Pass at most `limit` messages that have arrived to the receiver."""
        while limit and end.deliveries and receiver.fleet.now >= end.deliveries[0].arrives_at:
            delivery, sender = end.deliveries.pop(0), end.machine.name
            receiver.received_send_times[sender] = delivery.sent_at
            receiver.echoed_send_times[sender] = max(
                delivery.echoed_sent_at, receiver.echoed_send_times.get(sender, 0.0)
            )
            self.dispatch(end, receiver, json.loads(delivery.text))
            limit -= 1

    def dispatch(self, end, receiver, message):
        """Schedule the receiver's handler for this message. A dialler's first message is its greeting."""
        handlers, call_soon = receiver.handlers, receiver.loop.call_soon
        if end is self.acceptor_end:
            self.dialler_received_at = self.dialler.fleet.now
            call_soon(handlers.handle_message, self.dialler_end, message)
        elif self.is_greeted:
            call_soon(handlers.handle_message, self.acceptor_end, message)
        else:
            self.is_greeted = True
            call_soon(handlers.handle_greeting, self.acceptor_end, message)


class SimulatedConnections:
    """The connections that one machine dials. It replaces `common.peer_connections.PeerConnections`."""

    def __init__(self, machine):
        self.machine, self.connected, self.next_dial_at = machine, {}, {}

    def keep_connected(self, peer, port):
        self.next_dial_at.setdefault(peer, 0.0)

    def send(self, peer, message):
        if peer in self.connected:
            self.connected[peer].send(message)
        return peer in self.connected

    def dial_due(self, now):
        """Dial each maintained peer that is not connected, is up, can be reached, and is due for a dial."""
        fleet, machine = self.machine.fleet, self.machine
        for peer, dial_at in self.next_dial_at.items():
            acceptor = fleet.machines.get(peer)
            if peer in self.connected or now < dial_at or acceptor is None or acceptor.server is None:
                continue
            if fleet.is_blocked(machine.name, peer) or fleet.is_blocked(peer, machine.name):
                continue
            connection = SimulatedConnection(machine, acceptor)
            fleet.connections.append(connection)
            self.connected[peer] = connection.dialler_end
            connection.dialler_end.send(machine.handlers.greeting(peer))
            machine.notify_connection_change(peer, True)
