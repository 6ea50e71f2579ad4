from behave import given, then, when

from bramblewood.common.messages import ControllerHeartbeat
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.sessions import PeerDetails, Sessions

DETAILS = PeerDetails({"n": 1}, "z", True, ["a", "b", "c"], ["d1"])


@given("a controller, one of three")
def one_of_three(context):
    context.sessions = Sessions("a")


@when("it has sent {peer} its details")
@then("it sends {peer} its details again")
def sends_details(context, peer):
    assert context.sessions.take_unsent_details(peer, DETAILS) == DETAILS


@when("the connection to {peer} stands anew")
def new_connection(context, peer):
    context.sessions.forget_sent_details(peer)


@then("it sends {peer} nothing again but the proxies")
def sends_changed_proxies(context, peer):
    changed = DETAILS._replace(proxies=["d1", "d2"])
    unsent = PeerDetails(None, None, None, None, ["d1", "d2"])
    assert context.sessions.take_unsent_details(peer, changed) == unsent


@when("{peer} echoes {echo:g} at {now:g}, with proposal {counter:d} accepted")
def echoes(context, peer, echo, now, counter):
    accepted = {TABLE: (1, counter, "b", 1)}
    heartbeat = ControllerHeartbeat(
        sent_at=0.0,
        is_voting=True,
        is_current=True,
        accepted=accepted,
        durable=accepted,
        epoch=1,
        disk=peer,
        versions={},
        is_leaving=False,
        echo=echo,
        proxies=[],
    )
    context.sessions.record_heartbeat(now, peer, heartbeat)


def quorum_contact_until(context, now, counter):
    voters, known = {name: name for name in "abc"}, {TABLE: (1, counter, "b", 1)}
    return context.sessions.quorum_contact_until(now, voters, 1, known, {TABLE: NO_PROPOSAL})


@then("at {now:g} its quorum contact on proposal {counter:d} holds until {until:g}")
def holds_until(context, now, counter, until):
    assert abs(quorum_contact_until(context, now, counter) - until) < 1e-9


@then("at {now:g} it has no quorum contact on proposal {counter:d}")
def no_contact(context, now, counter):
    assert quorum_contact_until(context, now, counter) == 0.0


@then("at {now:g} its quorum contact on proposal {counter:d} is over")
def contact_is_over(context, now, counter):
    assert quorum_contact_until(context, now, counter) < now


@then("an instance that ended while its controller was partitioned does not end the one that came after it")
def partition_healed(context):
    apart, others = WorkerRegistry(), WorkerRegistry()  # exchanged at 12, as the partition heals
    apart.record(1.0, "old", WorkerRegistration("s", "10.0.0.9:1", "z", 1, READY, 3))
    others.record(11.0, "new", WorkerRegistration("s", "10.0.0.9:1", "z", 1, READY, 1))
    sent = {}
    for name, registry in (("apart", apart), ("others", others)):
        rows = {instance_id: [*row] for instance_id, row in registry.registrations.items()}
        sent[name] = (rows, registry.seconds_since_heard(12.0, 60.0))
    news, _ = others.record_all(12.0, *sent["apart"])
    apart.record_all(12.0, *sent["others"])
    for registry in (apart, others):
        phases = {instance_id: row.phase for instance_id, row in registry.registrations.items()}
        assert phases == {"old": GONE, "new": READY}
        assert registry.instance_by_address["10.0.0.9:1"] == "new"
    assert WorkerRegistration(*news["old"]).phase == GONE  # as it is passed on
