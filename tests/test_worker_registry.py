"""Guards against state of workers that is kept after their registrations are removed."""

from bramblewood.common.worker_registry import GONE, GONE_RETENTION, READY, WorkerRegistration, WorkerRegistry

REGISTRATION = WorkerRegistration("s", "10.0.0.1:80", "z", 2, READY, 1)


def test_no_state_remains_of_a_worker_that_has_been_gone_for_the_retention_time():
    registry = WorkerRegistry()
    registry.record(100.0, "old", REGISTRATION)
    registry.record(101.0, "old", REGISTRATION._replace(phase=GONE, call_sequence=2))
    registry.remove_expired(101.0 + GONE_RETENTION)
    assert registry.registrations
    registry.remove_expired(101.1 + GONE_RETENTION)
    states = (registry.registrations, registry.last_contact_at, registry.changed_at, registry.warm_at)
    assert not any(states) and not registry.instance_by_address


def test_address_of_a_removed_worker_stays_with_the_newer_worker_there():
    registry = WorkerRegistry()
    registry.record(100.0, "old", REGISTRATION)
    registry.record(102.0, "new", REGISTRATION)
    registry.remove_expired(103.0 + GONE_RETENTION)
    assert "old" not in registry.registrations
    assert registry.instance_by_address == {REGISTRATION.address: "new"}
