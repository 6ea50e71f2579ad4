from behave import given, then, when

from bramblewood.common.messages import ControllerHeartbeat
from bramblewood.common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.sessions import PeerDetails, Sessions

DETAILS = PeerDetails({"n": 1}, "z", True, ["a", "b", "c"], ["d1"])


@given("an archive of three")
def controller(context):
    context.sessions = Sessions("a")


@when("it has told {peer} who votes")
def told(context, peer):
    assert context.sessions.take_unsent_details(peer, DETAILS) == DETAILS


@when("the link to {peer} stands anew")
def anew(context, peer):
    context.sessions.forget_sent_details(peer)


@then("it tells {peer} nothing again but {what}")
def changed(context, peer, what):
    changed = DETAILS._replace(proxies=["d1", "d2"])
    unsent = PeerDetails(None, None, None, None, ["d1", "d2"])
    assert context.sessions.take_unsent_details(peer, changed) == unsent


@then("it tells {peer} who votes again")
def again(context, peer):
    assert context.sessions.take_unsent_details(peer, DETAILS) == DETAILS


@when("{peer} gave back the stamp {stamp:g} at {now:g}, with ballot {proposal_number:d} accepted")
def pulsed(context, peer, stamp, now, proposal_number):
    accepted = {TABLE: [1, proposal_number, "b", 1]}
    told = {"acc": accepted, "dur": accepted, "e": stamp, "t": 0.0, "v": True, "w": True, "desks": []}
    wire = {**told, "ep": 1, "disk": peer, "leaving": False, "ver": {}}
    context.sessions.record_heartbeat(now, peer, ControllerHeartbeat.from_wire(wire))


@then("at {now:g} its word on ballot {proposal_number:d} holds until {until:g}")
def word(context, now, proposal_number, until):
    voters, known = {name: name for name in "abc"}, {TABLE: (1, proposal_number, "b", 1)}
    found = context.sessions.quorum_contact_until(now, voters, 1, known, {TABLE: NO_PROPOSAL})
    assert abs(found - until) < 1e-9, found


@then("a life that ended while its archive was cut off does not end the one that came after it")
def healed(context):
    cut, others = WorkerRegistry(), WorkerRegistry()  # told at 12 of each other's rows, as the cut heals
    cut.record(1.0, "old", WorkerRegistration("s", "10.0.0.9:1", "z", 1, READY, 3))
    others.record(11.0, "new", WorkerRegistration("s", "10.0.0.9:1", "z", 1, READY, 1))
    sent = {}
    for name, registry in (("cut", cut), ("others", others)):
        rows = {instance_id: [*row] for instance_id, row in registry.registrations.items()}
        sent[name] = (rows, registry.seconds_since_heard(12.0, 60.0))
    news, _ = others.record_all(12.0, *sent["cut"])
    cut.record_all(12.0, *sent["others"])
    for registry in (cut, others):
        assert {instance_id: row.phase for instance_id, row in registry.registrations.items()} == {
            "old": GONE,
            "new": READY,
        }
        assert registry.instance_by_address["10.0.0.9:1"] == "new"
    assert WorkerRegistration(*news["old"]).phase == GONE  # as it is told on
