from behave import given, then, when

from bramblewood.common.messages import ControllerHeartbeat
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.peer_sessions import PeerDetails, PeerSessions

DETAILS = PeerDetails({"n": 1}, "z", True, ["a", "b", "c"], ["d1"])


@given("one of three controllers")
def controller_among_three(context):
    context.sessions = PeerSessions("a")


@when("it has sent {peer} its details")
@then("it sends {peer} its details again")
def sends_details(context, peer):
    assert context.sessions.take_unsent_details(peer, DETAILS) == DETAILS


@when("a new connection to {peer} is established")
def establish_new_connection(context, peer):
    context.sessions.forget_sent_details(peer)


@then("after a change of its proxies it sends {peer} only the proxies")
def sends_only_changed_proxies(context, peer):
    changed = DETAILS._replace(proxies=["d1", "d2"])
    unsent = PeerDetails(None, None, None, None, ["d1", "d2"])
    assert context.sessions.take_unsent_details(peer, changed) == unsent


@when("at {now:g} a heartbeat of {peer} echoes time {echo:g} and reports proposal {counter:d} accepted")
def receive_heartbeat(context, peer, echo, now, counter):
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
    voters, chosen = {name: name for name in "abc"}, {TABLE: (1, counter, "b", 1)}
    return context.sessions.quorum_contact_until(now, voters, 1, chosen, {TABLE: NO_PROPOSAL})


@then("at {now:g} its quorum contact for proposal {counter:d} is valid until {until:g}")
def contact_is_valid_until(context, now, counter, until):
    assert abs(quorum_contact_until(context, now, counter) - until) < 1e-9


@then("at {now:g} it has no quorum contact for proposal {counter:d}")
def has_no_contact(context, now, counter):
    assert quorum_contact_until(context, now, counter) == 0.0


@then("at {now:g} its quorum contact for proposal {counter:d} has expired")
def contact_has_expired(context, now, counter):
    assert quorum_contact_until(context, now, counter) < now


@then("both registries keep the newer instance after controllers exchange registrations")
def registries_keep_newer_instance(context):
    # the registries of two controllers, which exchange registrations at 12, when a partition ends
    partitioned, connected = WorkerRegistry(), WorkerRegistry()
    partitioned.record(1.0, "old", WorkerRegistration("s", "10.0.0.9:1", "z", 1, READY, 3))
    connected.record(11.0, "new", WorkerRegistration("s", "10.0.0.9:1", "z", 1, READY, 1))
    sent = {}
    for name, registry in (("partitioned", partitioned), ("connected", connected)):
        rows = {instance_id: [*row] for instance_id, row in registry.registrations.items()}
        sent[name] = (rows, registry.contact_ages(12.0, 60.0))
    changed_rows, _ = connected.record_all(12.0, *sent["partitioned"])
    partitioned.record_all(12.0, *sent["connected"])
    for registry in (partitioned, connected):
        phases = {instance_id: row.phase for instance_id, row in registry.registrations.items()}
        assert phases == {"old": GONE, "new": READY}
        assert registry.instance_by_address["10.0.0.9:1"] == "new"
    assert WorkerRegistration(*changed_rows["old"]).phase == GONE  # changed rows are forwarded
