from unittest import mock

from behave import then, when

from bramblewood.common.slice_table import active_readers
from bramblewood.controller import read_replicas
from bramblewood.proxy import replica_invalidation
from tests.simulation.read_replicas import Play, Stale


@then("in {count:d} plays of {seconds:d} s no copy is older than what was answered")
def plays(context, count, seconds):
    made = [Play(seed).run(seconds) for seed in range(count)]
    assert min(sum(play.answered for play in made), sum(play.leases for play in made)) > 20 * count


def found(count, careless=""):
    for seed in range(count):
        try:
            Play(seed, careless).run(60)
        except Stale:
            return True
    return False


@then("without the wait before a new reader's first lease an old copy is read within {count:d} plays")
def announce(context, count):
    with mock.patch.object(read_replicas, "REPLICA_ANNOUNCEMENT_DELAY", 0.0):
        assert found(count)


@then("without the wait until a deaf reader's lease has run out an old copy is read within {count:d} plays")
def run_out(context, count):
    with mock.patch.object(replica_invalidation, "READ_LEASE_EXPIRY", 0.0):
        assert found(count)


@then("without a confirmation of the table an old copy is read within {count:d} plays")
def sure(context, count):
    assert found(count, "sure")


@then("with a copy that was fetched across a release an old copy is read within {count:d} plays")
def fetch(context, count):
    assert found(count, "fetch")


def with_readers(context):
    return {start: e for start, e in context.play.table["s"]["s"].items() if active_readers(e)}


@then("no record has readers")
def none(context):
    assert not with_readers(context)


@when("the operator lets records be copied")
def lets(context):
    context.play.services = {"s": context.play.services["s"]._replace(read_replicas=True)}


@then("key {key:d} has readers beside its worker")
def some(context, key):
    found = with_readers(context)
    assert list(found) == [str(key)] and context.play.owner(key) not in active_readers(found[str(key)]), found
