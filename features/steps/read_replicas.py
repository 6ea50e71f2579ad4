from unittest import mock

from behave import then, when

from bramblewood.common.slice_table import active_readers
from bramblewood.controller import read_replicas
from bramblewood.proxy import replica_invalidation
from tests.simulation.read_replicas import Play, StaleRead


@then("in {count:d} plays of {seconds:d} s no replica is older than what was answered")
def no_stale_read(context, count, seconds):
    finished = [Play(seed).run(seconds) for seed in range(count)]
    assert (
        min(sum(play.effects_answered for play in finished), sum(play.leases_installed for play in finished))
        > 20 * count
    )


def stale_read_found(count, without=""):
    for seed in range(count):
        try:
            Play(seed, without).run(60)
        except StaleRead:
            return True
    return False


@then("without the wait before a new reader's first lease a stale replica is read within {count:d} plays")
def without_announcement_delay(context, count):
    with mock.patch.object(read_replicas, "REPLICA_ANNOUNCEMENT_DELAY", 0.0):
        assert stale_read_found(count)


@then(
    "without the wait until an unresponsive reader's lease has expired a stale replica is read "
    "within {count:d} plays"
)
def without_lease_expiry(context, count):
    with mock.patch.object(replica_invalidation, "READ_LEASE_EXPIRY", 0.0):
        assert stale_read_found(count)


@then("without a confirmation of the table a stale replica is read within {count:d} plays")
def without_confirmation(context, count):
    assert stale_read_found(count, "confirmation")


@then("with a replica that was fetched across a release a stale replica is read within {count:d} plays")
def with_fetch_across_release(context, count):
    assert stale_read_found(count, "release")


def rows_with_readers(context):
    return {start: row for start, row in context.play.table["s"]["s"].items() if active_readers(row)}


@then("no record has readers")
def no_readers(context):
    assert not rows_with_readers(context)


@when("the operator allows read replicas")
def allow_replicas(context):
    context.play.services = {"s": context.play.services["s"]._replace(read_replicas=True)}


@then("key {key:d} has readers beside its worker")
def has_readers(context, key):
    rows = rows_with_readers(context)
    assert list(rows) == [str(key)], rows
    assert context.play.owner(key) not in active_readers(rows[str(key)]), rows
