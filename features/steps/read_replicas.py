from unittest import mock

from behave import then, when

from bramblewood.common.slice_table import active_readers
from bramblewood.controller import read_replicas
from bramblewood.proxy import replica_invalidation
from tests.simulation.read_replicas import ReadReplicaSimulation, StaleRead


@then("no readable replica is older than an answered request in {count:d} simulations of {seconds:d} s")
def no_stale_read(context, count, seconds):
    finished = [ReadReplicaSimulation(seed).run(seconds) for seed in range(count)]
    assert (
        min(
            sum(simulation.answered_requests for simulation in finished),
            sum(simulation.leases_installed for simulation in finished),
        )
        > 20 * count
    )


def has_stale_read(count, missing_guard=""):
    for seed in range(count):
        try:
            ReadReplicaSimulation(seed, missing_guard).run(60)
        except StaleRead:
            return True
    return False


@then("without the delay before a reader's first lease a stale replica is read within {count:d} simulations")
def stale_read_without_announcement_delay(context, count):
    with mock.patch.object(read_replicas, "REPLICA_ANNOUNCEMENT_DELAY", 0.0):
        assert has_stale_read(count)


@then(
    "without the wait until an unresponsive reader's lease has expired a stale replica is read "
    "within {count:d} simulations"
)
def stale_read_without_lease_expiry(context, count):
    with mock.patch.object(replica_invalidation, "READ_LEASE_EXPIRY_DELAY", 0.0):
        assert has_stale_read(count)


@then("without the confirmation of the table a stale replica is read within {count:d} simulations")
def stale_read_without_confirmation(context, count):
    assert has_stale_read(count, "confirmation")


@then(
    "with a replica that is kept after a drop during its fetch a stale replica is read "
    "within {count:d} simulations"
)
def stale_read_with_drop_during_fetch(context, count):
    assert has_stale_read(count, "drop during fetch")


def rows_with_readers(context):
    return {start: row for start, row in context.play.table["s"]["s"].items() if active_readers(row)}


@then("no key has readers")
def no_key_has_readers(context):
    assert not rows_with_readers(context)


@when("the configuration allows read replicas")
def allow_read_replicas(context):
    context.play.services = {"s": context.play.services["s"]._replace(read_replicas=True)}


@then("key {key:d} has readers in addition to its owner")
def has_readers(context, key):
    rows = rows_with_readers(context)
    assert list(rows) == [str(key)], rows
    assert context.play.owner(key) not in active_readers(rows[str(key)]), rows
