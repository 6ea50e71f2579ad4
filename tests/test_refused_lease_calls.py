"""Guards against keys that are granted to a second worker while a worker behind a cut still holds them."""

import asyncio
from types import SimpleNamespace

import pytest

from bramblewood.common.connection_state import AttemptOutcome
from bramblewood.common.worker_connection import WorkerUnreachable
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from bramblewood.controller.grant_arrivals import NOT_SENT
from bramblewood.controller.key_leases import KeyLeases
from bramblewood.controller.key_releases import KeyReleases
from bramblewood.controller.lease_calls import LeaseCalls
from bramblewood.controller.registry_exchange import RegistryExchange
from tests.simulation.key_leases import KeyLeaseSimulation

HEARTBEAT_INTERVAL = 1.5  # s
STEP = 0.1  # s, the interval of the coordinator's steps
TABLE = {"n": 2, "s": {"s": {"0": ["new", "", 0.0, 2, "", "old"]}}}
REGISTRATION = WorkerRegistration("s", "10.0.0.1:80", "z", 2, READY, 1)


class Clock:
    now = 100.0


class UnreachableClient:
    """A client whose connections do not open. They are refused, as by a cut that answers with resets."""

    is_refused = True

    async def post(self, address: str, *arguments: object) -> None:
        raise WorkerUnreachable(AttemptOutcome.NOT_SENT, address, self.is_refused)


class Coordinator:
    """A coordinator that cannot connect to the worker `old`, which must release its keys."""

    def __init__(self) -> None:
        self.clock, self.log, self.freed_at = Clock(), [], 0.0
        self.registry = WorkerRegistry()
        self.registry.record(self.clock.now, "old", REGISTRATION)
        self.key_leases = KeyLeases(10.0)
        runtime = SimpleNamespace(
            now=lambda: self.clock.now,
            settings=SimpleNamespace(name="c", heartbeat_interval=HEARTBEAT_INTERVAL),
            loop=SimpleNamespace(call_soon=lambda *arguments: None),
            peer_connections=SimpleNamespace(connected=()),
            log=SimpleNamespace(info=lambda event, **fields: self.log.append((event, fields))),
        )
        sessions = SimpleNamespace(send_registrations=lambda rows: None)
        self.exchange = RegistryExchange(runtime, self.registry, sessions)
        quorum_io = SimpleNamespace(propose=self.propose)
        self.key_releases = KeyReleases(quorum_io)
        self.calls = LeaseCalls(
            runtime, quorum_io, None, self.exchange, self.key_leases, None, self.key_releases
        )
        self.calls.client = UnreachableClient()

    def propose(self, *arguments: object) -> None:
        self.freed_at = self.clock.now

    def step(self) -> None:
        """Send the calls that are due, as `CoordinatorLoop` does, and handle the refused connections."""
        calls, released = self.key_leases.next_calls(self.clock.now, TABLE, {"s"}, self.registry)
        for call in calls:
            asyncio.run(self.calls.grant_or_release(call, self.clock.now + 1.0))
        for keys in released:
            self.key_releases.add(keys)
        self.clock.now += STEP

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.step()


def test_failed_call_is_logged_with_the_age_of_the_last_contact():
    coordinator = Coordinator()
    coordinator.clock.now += 0.7
    coordinator.step()
    event, fields = coordinator.log[0]
    assert event == "lease call failed" and fields["status"] == -1 and fields["contact_age"] == 0.7


def test_call_without_a_connection_is_known_not_to_be_sent():
    coordinator = Coordinator()
    coordinator.calls.client.is_refused = False
    coordinator.step()
    assert coordinator.log[0][1]["status"] == NOT_SENT
    assert coordinator.calls.consecutive_refusals == {}


def test_keys_that_end_without_a_release_are_logged_once_with_the_evidence():
    coordinator = Coordinator()
    keys = coordinator.key_leases.next_calls(100.0, TABLE, {"s"}, coordinator.registry)[0]
    released = coordinator.key_leases.call_finished(100.0, keys[0], 100.0, 421, "")
    coordinator.calls.log_freed_keys(released, "other_instance")
    assert [event for event, _ in coordinator.log] == ["keys freed without a release"]
    assert coordinator.log[0][1]["evidence"] == "other_instance"
    assert coordinator.calls.counts["archive_freed_other_instance"] == 1
    assert not coordinator.key_releases.contains(released)
    coordinator.key_releases.add(released)
    assert coordinator.key_releases.contains(released)


@pytest.mark.parametrize("has_deregistered", [False, True])
def test_worker_that_refuses_connections_keeps_its_keys_until_its_lease_has_expired(has_deregistered):
    coordinator = Coordinator()
    if has_deregistered:  # a worker that leaves still works for some seconds
        coordinator.registry.record(100.0, "old", REGISTRATION._replace(phase=GONE))
    coordinator.run(coordinator.key_leases.lease_expiry_delay - STEP)
    assert not coordinator.freed_at
    coordinator.run(3 * STEP)
    assert coordinator.freed_at


def test_cut_that_refuses_connections_leases_no_key_to_two_workers():
    for seed in range(20):
        KeyLeaseSimulation(seed, cut_refuses_connections=True).run(60.0)


def test_unreachable_worker_is_out_of_use_until_it_is_heard_again():
    coordinator = Coordinator()
    coordinator.run(1.3 * HEARTBEAT_INTERVAL)
    assert not coordinator.exchange.timed_out_workers(coordinator.clock.now)
    coordinator.run(0.5)
    assert coordinator.exchange.timed_out_workers(coordinator.clock.now) == {"old"}
    coordinator.registry.record(coordinator.clock.now, "old", REGISTRATION._replace(call_sequence=2))
    assert not coordinator.exchange.timed_out_workers(coordinator.clock.now)
    assert coordinator.registry.registrations["old"].phase == READY


def test_refusals_are_counted_for_registered_workers_only():
    coordinator = Coordinator()
    coordinator.step()
    assert coordinator.calls.consecutive_refusals == {"old": 1}
    del coordinator.registry.registrations["old"]
    assert not coordinator.calls._is_unreachable(coordinator.clock.now, "new", -1)
    assert coordinator.calls.consecutive_refusals == {"new": 1}
    assert not coordinator.calls._is_unreachable(coordinator.clock.now, "new", 200)
    assert coordinator.calls.consecutive_refusals == {}


def test_failed_calls_of_one_worker_are_logged_once_a_second_with_the_number_of_the_others():
    coordinator = Coordinator()
    coordinator.run(1.5)
    failures = [fields for event, fields in coordinator.log if event == "lease call failed"]
    assert [fields["unlogged"] for fields in failures] == [0, 2]
    assert failures[1]["contact_age"] >= 1.0
