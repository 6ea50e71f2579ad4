"""Steps that run simulated clusters, with all guards or with one guard removed.

GUARDS lists the guards that can be removed, by their names in the feature.
"""

import contextlib
from http import HTTPStatus
from unittest import mock

from behave import given, then, when

from bramblewood.common.messages import Confirmation, ConfirmationRequest, ProxyHeartbeat, Subscribe
from bramblewood.common.worker_registry import GONE, WorkerRegistration, WorkerRegistry
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.deregistration import Deregistrations
from bramblewood.controller.deregistration_store import DeregistrationStore
from bramblewood.controller.grant_arrivals import CONNECTION_REFUSED, GrantArrivals
from bramblewood.controller.grant_claims import GrantClaims
from bramblewood.controller.http_responses import make_response
from bramblewood.controller.key_leases import RELEASE, KeyLeases
from bramblewood.controller.lease_calls import LeaseCalls
from bramblewood.controller.peer_sessions import PeerSessions
from bramblewood.controller.quorum_contact import QuorumContact
from bramblewood.controller.quorum_io import QuorumIO
from bramblewood.controller.registry_exchange import RegistryExchange
from bramblewood.controller.worker_api import WorkerApi
from bramblewood.proxy.controller_selection import ControllerSelection
from bramblewood.proxy.registry_freshness import RegistryFreshness
from tests.simulation import quorum_contact
from tests.simulation.fleet import RuleViolation
from tests.simulation.quorum_contact import DIRECTED_RUNS

# the original methods, which replacements of guards call
quorum_contact_until, deregister = PeerSessions.quorum_contact_until, WorkerApi.deregister
grant_or_release, send_lease_call = LeaseCalls.grant_or_release, LeaseCalls._send_lease_call
heartbeat_received = ControllerSelection.heartbeat_received


def confirm_with_one_holder(self, now, request_id, voters, epoch, has_quorum_contact):
    return len(self.pending[request_id].holders) > 0


def record_without_forwarding(self, rows, sender="", ages=None):
    changed_rows, newer_rows = self.registry.record_all(self.runtime.now(), rows, ages)
    self.proxy_sessions.send_registrations(changed_rows)
    return newer_rows


async def deregister_known_workers_only(self, call):
    if call.instance_id not in self.registry_exchange.registry.registrations:
        return make_response(200 if self.quorum_contact.has_quorum_contact(self.runtime.now()) else 503)
    return await deregister(self, call)


async def propose_without_clock_check(self, register, change):
    outcome_future = self.runtime.loop.create_future()
    self.propose(
        register,
        change,
        lambda outcome: outcome_future.done() or outcome_future.set_result(outcome),
        0.85,
    )
    return await outcome_future


async def grant_or_release_with_expired_contact(self, call, until):
    return await grant_or_release(self, call, 1e9)


async def send_and_trust_refusals(self, call, sent_at, send_by):
    status, handover = await send_lease_call(self, call, sent_at, send_by)
    if call.kind == RELEASE and status == CONNECTION_REFUSED:
        status = HTTPStatus.OK
    return status, handover


def contact_without_own_acceptances(self, now, voters, epoch, chosen, accepted, excluded, echoes_after):
    nothing_accepted = accepted and dict.fromkeys(accepted, NO_PROPOSAL)
    return quorum_contact_until(self, now, voters, epoch, chosen, nothing_accepted, excluded, echoes_after)


def ready_without_confirmation(self, now, peer, heartbeat, known_versions):
    is_up_to_date = all(known_versions.values()) and all(
        number <= known_versions[name] for name, number in heartbeat.versions.items()
    )
    self.is_ready = self.is_ready or bool(heartbeat.is_current and self.registry_source and is_up_to_date)
    return heartbeat_received(self, now, peer, heartbeat, known_versions)


NO_STORED_DEREGISTRATIONS = (DeregistrationStore, "restore", lambda self, facts: None)
# by guard: one or more sequences of owner, attribute and replacement
GUARDS = {
    "the majority check for deregistrations": (Deregistrations, "is_confirmed", confirm_with_one_holder),
    "the quorum contact check for worker calls": (
        QuorumContact,
        "has_quorum_contact",
        lambda self, now: True,
    ),
    "the quorum contact check for current controllers": (
        QuorumContact,
        "is_current",
        lambda self, now: True,
    ),
    "forwarding of deregistrations between controllers": (
        RegistryExchange,
        "record_all",
        record_without_forwarding,
    ),
    "deregistration of unknown workers": (WorkerApi, "deregister", deregister_known_workers_only),
    "deregistrations on disk": NO_STORED_DEREGISTRATIONS,
    "deregistrations on disk and from proxies": (
        *NO_STORED_DEREGISTRATIONS,
        *(WorkerRegistry, "departing_registrations", lambda self, since=0.0: {}),
    ),
    "the clock check after a proposal": (QuorumIO, "propose_and_wait", propose_without_clock_check),
    "the check for workers unknown to all controllers": (
        RegistryFreshness,
        "registrations_received",
        lambda self, now, instance_ids, is_complete, is_current: None,
    ),
    "the quorum contact check before a lease call": (
        LeaseCalls,
        "grant_or_release",
        grant_or_release_with_expired_contact,
    ),
    "the wait for leases of workers that refuse connections": (
        LeaseCalls,
        "_send_lease_call",
        send_and_trust_refusals,
    ),
    "the claims of other controllers to send grants": (
        GrantClaims,
        "record_claim",
        lambda self, now, peer, sends_grants: False,
    ),
    "the record of grants in flight": (
        GrantArrivals,
        "grant_planned",
        lambda self, instance_id, send_by: None,
    ),
    "the check of the controller's own acceptances": (
        PeerSessions,
        "quorum_contact_until",
        contact_without_own_acceptances,
    ),
    "quorum contact for the configuration": (
        QuorumContact,
        "is_current",
        lambda self, now: self.quorum_contact_until(now, (TABLE,)) > now,
    ),
    "the confirmation before a proxy is ready": (
        ControllerSelection,
        "heartbeat_received",
        ready_without_confirmation,
    ),
}


@then(
    "the rules hold with controllers {isolated} of {controllers:d} isolated ({direction}) for all seeds "
    "below {count:d}"
)
def rules_hold_under_isolation(context, count, isolated, controllers, direction):
    # three controllers run with one spare, five without
    runs = [
        quorum_contact.isolation(seed, isolated, direction, controllers, controllers % 5 and 1)
        for seed in range(count)
    ]
    for checked in ("configurations accepted", "configurations read", "deregistrations confirmed", "grants"):
        assert all(fleet.rules.counts.get(checked, 0) for fleet in runs), (
            checked,
            [fleet.rules.counts for fleet in runs],
        )


@then(
    "the rules hold under {seconds:d} s of random faults for all seeds below {seeds_of_five:d} with five "
    "controllers and below {seeds_of_three:d} with three"
)
def rules_hold_under_random_faults(context, seeds_of_five, seconds, seeds_of_three):
    for voter_count, seeds in ((5, seeds_of_five), (3, seeds_of_three)):
        for seed in range(seeds):
            quorum_contact.random_faults(seed, voter_count, seconds)


@then('the rules hold in "{name}" for all seeds below {count:d}')
def rules_hold_in_directed_run(context, count, name):
    for seed in range(count):
        DIRECTED_RUNS[name](seed)


@then('without {guard} a rule is broken in "{name}" for a seed below {count:d}')
def rule_is_broken_without_guard(context, guard, name, count):
    with contextlib.ExitStack() as patches:
        parts = iter(GUARDS[guard])
        for owner, attribute, replacement in zip(parts, parts, parts, strict=True):
            patches.enter_context(mock.patch.object(owner, attribute, replacement))
        for seed in range(count):
            try:
                DIRECTED_RUNS[name](seed)
            except RuleViolation:
                return
    raise AssertionError("no run broke a rule")


@given("a proxy that has received everything from a current controller")
def proxy_with_all_registers(context):
    context.selection, context.known_versions = ControllerSelection("d", "z"), {"config": 3, "table": 7}
    context.selection.connection_changed("a", True, context.known_versions)
    heartbeat = ProxyHeartbeat(context.known_versions, True, True, 1)
    assert (
        "a",
        Subscribe(context.known_versions),
    ) in context.selection.heartbeat_received(9.0, "a", heartbeat, context.known_versions)
    assert context.selection.registry_received(9.1, "a", context.known_versions) == [
        ("a", ConfirmationRequest(9.1))
    ]


@when("the controller confirms a request sent {ago:g} s ago")
@when("the controller confirms a request sent {ago:g} s ago, with a newer {register}")
def receive_confirmation(context, ago, register=""):
    newest = {name: number + (name == register) for name, number in context.known_versions.items()}
    context.selection.confirmation_received(
        20.0, "a", Confirmation(20.0 - ago, newest), context.known_versions
    )


@then("the proxy is {state}")
def check_proxy_state(context, state):
    assert context.selection.is_ready == (state == "ready")


@given("three controllers with a table")
def three_controllers(context):
    context.fleet = quorum_contact.start_fleet(1, 3)
    context.fleet.run(3.0)
    context.server = context.fleet.machines["a"].server
    context.version_before = context.server.quorum_io.consensus.version(TABLE)


@when("a controller proposes a move")
@when("a controller proposes a move, and its quorum contact {expires}")
def propose_move(context, expires=""):
    change = lambda value: ({**value, "n": value["n"] + 1}, True)  # noqa: E731
    with mock.patch.object(context.server.quorum_contact, "is_current", lambda now: not expires):
        context.server.coordinator_loop.change_table(change)
        context.fleet.run(1.0)


@then("the table is {state}")
def check_table(context, state):
    has_changed = context.server.quorum_io.consensus.version(TABLE) != context.version_before
    assert has_changed == (state == "changed")


@given("a registry that has received only the last call of w1")
def registry_with_last_call(context):
    context.registry = WorkerRegistry()
    context.registry.record(1.0, "w1", WorkerRegistration("", "", "", 1, GONE, 1))


@when("it receives an older call of w1 with its address")
def receive_older_call(context):
    assert not context.registry.record(2.0, "w1", WorkerRegistration("s", "w1:1", "z", 2, "ready", 9))


@then("w1 is registered as gone, with its address")
def worker_is_gone_with_address(context):
    assert context.registry.registrations["w1"] == WorkerRegistration("s", "w1:1", "z", 2, GONE, 1)


@then("its keys do not become free")
def keys_are_not_free(context):
    table = {"n": 2, "s": {"s": {"0": ["w2", "", 0.0, 2, "", "w1"]}}}
    registry_without_address = WorkerRegistry()
    registry_without_address.record(1.0, "w1", WorkerRegistration("", "", "", 1, GONE, 1))
    for registry in (registry_without_address, context.registry):
        calls, free = KeyLeases(10.0).next_calls(3.0, table, {"s"}, registry)
        assert not free and len(calls) == (registry is context.registry)


@given("a deregistration in flight among three voters of epoch 4")
def deregistration_in_flight(context):
    context.deregistrations = Deregistrations("a")
    context.request_id = context.deregistrations.begin(10.0)
    context.deregistrations.record_stored_locally(context.request_id)


@when("b acknowledges it as a voter of epoch 3, and c as a non-voter")
def acknowledge_from_other_epochs(context):
    context.deregistrations.record_acknowledgement(context.request_id, "b", 3)
    context.deregistrations.record_acknowledgement(context.request_id, "c", -1)


@when("c acknowledges it as a voter of epoch 4")
def acknowledge_from_same_epoch(context):
    context.deregistrations.record_acknowledgement(context.request_id, "c", 4)


@then("it is {outcome} in epoch 4")
def check_confirmation(context, outcome):
    assert context.deregistrations.is_confirmed(10.1, context.request_id, "abc", 4, True) == (
        outcome == "confirmed"
    )
