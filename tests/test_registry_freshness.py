"""Workers that no controller knows any more are noticed by their proxy, and no others."""

import pytest

from bramblewood.common.messages import ProxyHeartbeat
from bramblewood.common.settings import Bounds, Settings
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from bramblewood.proxy.controller_sessions import ControllerSessions
from bramblewood.proxy.load_balancing import LoadBalancer
from bramblewood.proxy.registry_freshness import MAX_REQUEST_INTERVAL, RegistryFreshness

BEAT = 1.5  # s between a worker's calls
EXPIRY = 3.2 * BEAT


def registration(name: str, phase: str = READY, sequence: int = 1) -> WorkerRegistration:
    return WorkerRegistration("s", f"{name}:1", "z", 2, phase, sequence)


def registry_of(*names: str) -> WorkerRegistry:
    made = WorkerRegistry()
    for name in names:
        made.record(0.0, name, registration(name))
    return made


def heartbeat(registry: WorkerRegistry, is_current: bool = True) -> ProxyHeartbeat:
    return ProxyHeartbeat({}, is_current, False, 1, registry.live_digest())


@pytest.fixture
def freshness() -> RegistryFreshness:
    return RegistryFreshness(registry_of("a", "b", "c"), BEAT)


def request_times(freshness: RegistryFreshness, upstream: WorkerRegistry, until: float) -> list[float]:
    """When the proxy asks for a complete registry, with a heartbeat each half second."""
    return [t / 2 for t in range(int(until * 2)) if freshness.heartbeat_received(t / 2, heartbeat(upstream))]


def test_registries_that_agree_are_left_alone(freshness: RegistryFreshness) -> None:
    assert request_times(freshness, registry_of("c", "a", "b"), 60.0) == []
    assert not freshness.unconfirmed


def test_a_worker_that_no_controller_knows_is_unconfirmed_once_it_would_count_as_silent(
    freshness: RegistryFreshness,
) -> None:
    upstream = registry_of("a", "c")
    assert request_times(freshness, upstream, 3.0) == [2.0]
    freshness.registrations_received(2.1, {"a", "c"}, True, True)
    freshness.heartbeat_received(2.0 + EXPIRY, heartbeat(upstream))
    assert freshness.unconfirmed == set()
    freshness.heartbeat_received(2.2 + EXPIRY, heartbeat(upstream))
    assert freshness.unconfirmed == {"b"}
    assert not freshness.heartbeat_received(60.0, heartbeat(upstream))  # the rest agrees
    freshness.registrations_received(61.0, {"b"}, False, False)  # it is heard again
    assert freshness.unconfirmed == set()


def test_one_that_is_named_in_time_is_kept(freshness: RegistryFreshness) -> None:
    """All controllers have just started, and its next call comes a moment after the registry."""
    freshness.registrations_received(2.0, {"a", "c"}, True, True)
    freshness.registrations_received(3.0, {"b"}, False, True)
    freshness.heartbeat_received(30.0, heartbeat(registry_of("a", "b", "c")))
    assert not freshness.unconfirmed and not freshness.absent_since


def test_without_a_current_upstream_nothing_expires(freshness: RegistryFreshness) -> None:
    upstream = registry_of("a")
    freshness.registrations_received(2.0, {"a"}, True, False)
    assert not freshness.absent_since
    freshness.registrations_received(2.0, {"a"}, True, True)
    for now in range(3, 60):
        assert not freshness.heartbeat_received(float(now), heartbeat(upstream, is_current=False))
    assert not freshness.unconfirmed


def test_a_controller_of_an_earlier_release_has_no_digest(freshness: RegistryFreshness) -> None:
    for now in range(60):
        assert not freshness.heartbeat_received(float(now), ProxyHeartbeat({}, True, False, 1))


def test_requests_that_do_not_help_become_rare(freshness: RegistryFreshness) -> None:
    times = request_times(freshness, registry_of("a", "b", "c", "d"), 400.0)
    assert times[:4] == [2.0, 4.0, 8.0, 16.0]
    assert {later - earlier for earlier, later in zip(times[6:], times[7:], strict=False)} == {
        MAX_REQUEST_INTERVAL
    }


def test_a_worker_that_answers_here_is_used_on() -> None:
    """The upstream is cut off from the controller that the worker calls: it lives all the same."""
    settings = Settings(
        "d", "d", "z", (1, 2), (), False, None, BEAT, {"Front": ("d", 1)}, 2**28, 99, Bounds()
    )
    balancer = LoadBalancer(2.5)
    sessions = ControllerSessions(settings, None, balancer, None, None)
    for name in ("a", "b"):
        balancer.registry.record(0.0, name, registration(name))
    sessions.freshness.unconfirmed = {"a", "b"}
    balancer.observation("b").answered_at = 99.0
    sessions._update_timed_out(100.0)
    assert balancer.timed_out == {"a"}
    sessions._update_timed_out(99.5 + EXPIRY)
    assert balancer.timed_out == {"a", "b"}


def test_a_digest_is_of_the_live_workers() -> None:
    registry = registry_of("a", "b")
    registry.record(1.0, "b", registration("b", GONE, 2))
    assert registry.live_digest() == registry_of("a").live_digest()
    assert registry_of("a", "b").live_digest({"b"}) == registry_of("a").live_digest()
    assert registry.live_digest({"b"}) == registry.live_digest()  # gone, so it was in no digest
