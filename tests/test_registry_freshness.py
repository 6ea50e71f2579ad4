"""A proxy detects the workers that no controller has in its registry any more, and only those."""

import pytest

from bramblewood.common.messages import ProxyHeartbeat
from bramblewood.common.settings import Bounds, Settings
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from bramblewood.proxy.controller_sessions import ControllerSessions
from bramblewood.proxy.load_balancing import LoadBalancer
from bramblewood.proxy.registry_freshness import MAX_REQUEST_INTERVAL, RegistryFreshness

HEARTBEAT_INTERVAL = 1.5  # s between heartbeats of a worker
HEARTBEAT_TIMEOUT = 3.2 * HEARTBEAT_INTERVAL  # s without a heartbeat until a worker is timed out


def registration(name: str, phase: str = READY, sequence: int = 1) -> WorkerRegistration:
    return WorkerRegistration("s", f"{name}:1", "z", 2, phase, sequence)


def registry_with(*names: str) -> WorkerRegistry:
    registry = WorkerRegistry()
    for name in names:
        registry.record(0.0, name, registration(name))
    return registry


def heartbeat(registry: WorkerRegistry, is_current: bool = True) -> ProxyHeartbeat:
    return ProxyHeartbeat({}, is_current, False, 1, registry.live_digest())


@pytest.fixture
def freshness() -> RegistryFreshness:
    return RegistryFreshness(registry_with("a", "b", "c"), HEARTBEAT_INTERVAL)


def request_times(freshness: RegistryFreshness, upstream: WorkerRegistry, end: float) -> list[float]:
    """Return the times before `end` at which the proxy requests a complete registry.

    A heartbeat of the upstream arrives every half second.
    """
    return [
        half_seconds / 2
        for half_seconds in range(int(end * 2))
        if freshness.heartbeat_received(half_seconds / 2, heartbeat(upstream))
    ]


def test_equal_registries_cause_no_request_and_no_unconfirmed_worker(freshness: RegistryFreshness) -> None:
    assert request_times(freshness, registry_with("c", "a", "b"), 60.0) == []
    assert not freshness.unconfirmed


def test_a_worker_missing_from_the_upstream_is_unconfirmed_after_the_heartbeat_timeout(
    freshness: RegistryFreshness,
) -> None:
    upstream = registry_with("a", "c")
    assert request_times(freshness, upstream, 3.0) == [2.0]
    freshness.registrations_received(2.1, {"a", "c"}, True, True)
    freshness.heartbeat_received(2.0 + HEARTBEAT_TIMEOUT, heartbeat(upstream))
    assert freshness.unconfirmed == set()
    freshness.heartbeat_received(2.2 + HEARTBEAT_TIMEOUT, heartbeat(upstream))
    assert freshness.unconfirmed == {"b"}
    # the digests are equal without "b"
    assert not freshness.heartbeat_received(60.0, heartbeat(upstream))
    freshness.registrations_received(61.0, {"b"}, False, False)  # a controller has its registration again
    assert freshness.unconfirmed == set()


def test_a_worker_in_an_update_within_the_timeout_stays_confirmed(freshness: RegistryFreshness) -> None:
    """All controllers have restarted, and the worker's next heartbeat follows the complete registry."""
    freshness.registrations_received(2.0, {"a", "c"}, True, True)
    freshness.registrations_received(3.0, {"b"}, False, True)
    freshness.heartbeat_received(30.0, heartbeat(registry_with("a", "b", "c")))
    assert not freshness.unconfirmed and not freshness.absent_since


def test_without_a_current_upstream_no_worker_becomes_unconfirmed(freshness: RegistryFreshness) -> None:
    upstream = registry_with("a")
    freshness.registrations_received(2.0, {"a"}, True, False)
    assert not freshness.absent_since
    freshness.registrations_received(2.0, {"a"}, True, True)
    for now in range(3, 60):
        assert not freshness.heartbeat_received(float(now), heartbeat(upstream, is_current=False))
    assert not freshness.unconfirmed


def test_a_heartbeat_without_a_digest_causes_no_request(freshness: RegistryFreshness) -> None:
    for now in range(60):
        assert not freshness.heartbeat_received(float(now), ProxyHeartbeat({}, True, False, 1))


def test_the_request_interval_doubles_up_to_its_maximum_while_digests_differ(
    freshness: RegistryFreshness,
) -> None:
    times = request_times(freshness, registry_with("a", "b", "c", "d"), 400.0)
    assert times[:4] == [2.0, 4.0, 8.0, 16.0]
    assert {later - earlier for earlier, later in zip(times[6:], times[7:], strict=False)} == {
        MAX_REQUEST_INTERVAL
    }


def test_an_unconfirmed_worker_that_responds_to_the_proxy_is_not_timed_out() -> None:
    """Such a worker is live if the upstream is partitioned from the controller that gets its heartbeats."""
    settings = Settings(
        "d", "d", "z", (1, 2), (), False, None, HEARTBEAT_INTERVAL, {"Front": ("d", 1)}, 2**28, 99, Bounds()
    )
    load_balancer = LoadBalancer(2.5)
    sessions = ControllerSessions(settings, None, load_balancer, None, None)
    for name in ("a", "b"):
        load_balancer.registry.record(0.0, name, registration(name))
    sessions.freshness.unconfirmed = {"a", "b"}
    load_balancer.observation("b").answered_at = 99.0
    sessions._update_timed_out(100.0)
    assert load_balancer.timed_out == {"a"}
    sessions._update_timed_out(99.5 + HEARTBEAT_TIMEOUT)
    assert load_balancer.timed_out == {"a", "b"}


def test_a_digest_covers_live_workers_only() -> None:
    registry = registry_with("a", "b")
    registry.record(1.0, "b", registration("b", GONE, 2))
    assert registry.live_digest() == registry_with("a").live_digest()
    assert registry_with("a", "b").live_digest({"b"}) == registry_with("a").live_digest()
    assert registry.live_digest({"b"}) == registry.live_digest()  # a worker that is gone is in no digest
