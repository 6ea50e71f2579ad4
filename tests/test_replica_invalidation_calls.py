"""Guards against a read replica that is still read after its worker has deregistered."""

import asyncio
from types import SimpleNamespace

import pytest

from bramblewood.common.connection_state import AttemptOutcome, ExchangeResult
from bramblewood.common.worker_connection import WorkerUnreachable
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration
from bramblewood.proxy.replica_invalidation_calls import ReplicaInvalidator

REGISTRATION = WorkerRegistration("s", "10.0.0.1:80", "z", 2, READY, 1)


class Pool:
    """A connection pool whose worker gives one answer, or refuses connections if the status is None."""

    def __init__(self, status: int | None) -> None:
        self.status, self.calls = status, 0

    async def acquire(self, instance_id: str, address: str, *arguments: object, **options: object):
        if self.status is None:
            raise WorkerUnreachable(AttemptOutcome.NOT_SENT, address, is_refused=True)
        return self

    async def exchange(self, *arguments: object) -> ExchangeResult:
        self.calls += 1
        return ExchangeResult(AttemptOutcome.ANSWERED, SimpleNamespace(status=self.status))

    def close(self) -> None:
        """The connection is used once."""


def is_dropped(status: int | None, registration: WorkerRegistration | None) -> bool:
    registrations = {} if registration is None else {"reader": registration}
    slices = SimpleNamespace(fencing_token=lambda service, key: 3)
    load_balancer = SimpleNamespace(registry=SimpleNamespace(registrations=registrations), slices=slices)
    invalidator = ReplicaInvalidator("proxy", load_balancer, Pool(status), None)
    return asyncio.run(invalidator._drop_replica("reader", 7, 3))


@pytest.mark.parametrize("phase", [READY, GONE])
@pytest.mark.parametrize("status, expected", [(200, True), (421, True), (503, False), (None, False)])
def test_replica_is_dropped_only_if_its_worker_says_so_or_another_instance_answers(status, expected, phase):
    assert is_dropped(status, REGISTRATION._replace(phase=phase)) is expected


def test_replica_of_an_unregistered_worker_is_not_known_to_be_dropped():
    assert is_dropped(200, None) is False
    assert is_dropped(200, REGISTRATION._replace(phase=GONE, address="")) is False
