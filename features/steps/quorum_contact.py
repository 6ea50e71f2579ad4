"""Runs of whole fleets; GUARDS are what may be taken out, each by its words in the feature."""

import contextlib
from unittest import mock

from behave import given, then, when

from bramblewood.common.messages import Confirmation, ConfirmationRequest, ProxyHeartbeat, Subscribe
from bramblewood.common.worker_registry import GONE, WorkerRegistration, WorkerRegistry
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.departures import Departures
from bramblewood.controller.deregistration import Deregistrations
from bramblewood.controller.http_responses import make_response
from bramblewood.controller.key_leases import KeyLeases
from bramblewood.controller.lease_calls import LeaseCalls
from bramblewood.controller.quorum_contact import QuorumContact
from bramblewood.controller.quorum_io import QuorumIO
from bramblewood.controller.registry_exchange import RegistryExchange
from bramblewood.controller.sessions import Sessions
from bramblewood.controller.worker_api import WorkerApi
from bramblewood.proxy.controller_selection import ControllerSelection
from bramblewood.proxy.registry_freshness import RegistryFreshness
from tests.simulation import quorum_contact
from tests.simulation.fleet import RuleViolation
from tests.simulation.quorum_contact import DIRECTED_RUNS

quorum_contact_until, deregister = Sessions.quorum_contact_until, WorkerApi.deregister
grant_or_release = LeaseCalls.grant_or_release
heartbeat_received = ControllerSelection.heartbeat_received


def one_other_holder(self, now, request_id, voters, epoch, has_quorum_contact):
    return len(self.pending[request_id].holders) > 0


def no_forwarding(self, rows, sender="", ages=None):
    news, newer = self.registry.record_all(self.runtime.now(), rows, ages)
    self.proxy_sessions.send_registrations(news)
    return newer


async def unknown_worker_unrecorded(self, call):
    if call.instance_id not in self.registry_exchange.registry.registrations:
        return make_response(200 if self.quorum_contact.has_quorum_contact(self.runtime.now()) else 503)
    return await deregister(self, call)


async def no_look_at_clock(self, register, change):
    waiting = self.runtime.loop.create_future()
    self.propose(register, change, lambda outcome: waiting.done() or waiting.set_result(outcome), 0.85)
    return await waiting


async def grant_on_old_contact(self, call, until):
    return await grant_or_release(self, call, 1e9)


def ignores_own_acceptance(self, now, voters, epoch, known, accepted, excluded):
    nothing_accepted = accepted and dict.fromkeys(accepted, NO_PROPOSAL)
    return quorum_contact_until(self, now, voters, epoch, known, nothing_accepted, excluded)


def without_question(self, now, peer, heartbeat, known_versions):
    here = all(known_versions.values()) and all(
        number <= known_versions[name] for name, number in heartbeat.versions.items()
    )
    self.is_ready = self.is_ready or bool(heartbeat.is_current and self.registry_source and here)
    return heartbeat_received(self, now, peer, heartbeat, known_versions)


FORGETS_DEPARTURES = (Departures, "restore", lambda self, facts: None)
# by what is taken out: owner, attribute and replacement, of one or more in a row
GUARDS = {
    "the majority that holds a deregistration": (Deregistrations, "is_confirmed", one_other_holder),
    "quorum contact before a worker's call is answered": (
        QuorumContact,
        "has_quorum_contact",
        lambda self, now: True,
    ),
    "quorum contact of a current controller": (QuorumContact, "is_current", lambda self, now: True),
    "forwarding of deregistrations between controllers": (RegistryExchange, "record_all", no_forwarding),
    "the registration of a worker that nobody knew": (WorkerApi, "deregister", unknown_worker_unrecorded),
    "deregistrations on the controllers' disks": FORGETS_DEPARTURES,
    "proxies that hand them over again, and the disks": (
        *FORGETS_DEPARTURES,
        *(WorkerRegistry, "departing_registrations", lambda self, since=0.0: {}),
    ),
    "the look at the clock after a proposal": (QuorumIO, "agree", no_look_at_clock),
    "the look for workers that no controller knows": (
        RegistryFreshness,
        "registrations_received",
        lambda self, now, instance_ids, is_complete, is_current: None,
    ),
    "the look at quorum contact as a call leaves": (LeaseCalls, "grant_or_release", grant_on_old_contact),
    "the look at what the controller itself has accepted": (
        Sessions,
        "quorum_contact_until",
        ignores_own_acceptance,
    ),
    "quorum contact on the configuration": (
        QuorumContact,
        "is_current",
        lambda self, now: self.quorum_contact_until(now, (TABLE,)) > now,
    ),
    "the question before a proxy is ready": (ControllerSelection, "heartbeat_received", without_question),
}


@then("{count:d} runs with {isolated} of {controllers:d} isolated, {direction}, keep the rules")
def isolated_runs_keep_rules(context, count, isolated, controllers, direction):
    runs = [
        quorum_contact.isolation(seed, isolated, direction, controllers, controllers % 5 and 1)
        for seed in range(count)
    ]
    for what in ("configurations taken", "configurations read", "deregistrations confirmed", "grants"):
        assert all(fleet.rules.counts.get(what, 0) for fleet in runs), (
            what,
            [fleet.rules.counts for fleet in runs],
        )


@then(
    "{five:d} runs of {seconds:d} s of random faults among five controllers and {three:d} among three "
    "keep the rules"
)
def random_runs_keep_rules(context, five, seconds, three):
    for count, seeds in ((5, five), (3, three)):
        for seed in range(seeds):
            quorum_contact.random_faults(seed, count, seconds)


@then('{count:d} runs of "{name}" keep the rules')
def directed_runs_keep_rules(context, count, name):
    for seed in range(count):
        DIRECTED_RUNS[name](seed)


@then('without {guard} a run of "{name}" breaks a rule within {count:d} seeds')
def missing_guard_breaks_rule(context, guard, name, count):
    with contextlib.ExitStack() as patches:
        taken_out = iter(GUARDS[guard])
        for owner, attribute, replacement in zip(taken_out, taken_out, taken_out, strict=True):
            patches.enter_context(mock.patch.object(owner, attribute, replacement))
        for seed in range(count):
            try:
                DIRECTED_RUNS[name](seed)
            except RuleViolation:
                return
    raise AssertionError("no run broke a rule")


@given("a proxy that has all, from a controller that is current")
def proxy_has_all(context):
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


@when("that answers what was asked {ago:g} s ago")
@when("that answers what was asked {ago:g} s ago, with a newer {register}")
def answers_question(context, ago, register=""):
    newest = {name: number + (name == register) for name, number in context.known_versions.items()}
    context.selection.confirmation_received(
        20.0, "a", Confirmation(20.0 - ago, newest), context.known_versions
    )


@then("the proxy is {state}")
def proxy_is(context, state):
    assert context.selection.is_ready == (state == "ready")


@given("three controllers with a table")
def three_controllers(context):
    context.fleet = quorum_contact.started_fleet(1, 3)
    context.fleet.run(3.0)
    context.server = context.fleet.machines["a"].server
    context.version_before = context.server.quorum_io.consensus.version(TABLE)


@when("one proposes a move")
@when("one proposes a move, and its quorum contact {ends}")
def proposes_move(context, ends=""):
    change = lambda value: ({**value, "n": value["n"] + 1}, True)  # noqa: E731
    with mock.patch.object(context.server.quorum_contact, "is_current", lambda now: not ends):
        context.server.coordinator_loop.change_table(change)
        context.fleet.run(1.0)


@then("the table {outcome}")
def table_is(context, outcome):
    changed = context.server.quorum_io.consensus.version(TABLE) != context.version_before
    assert changed == (outcome == "has changed")


@given("a registry that has heard only the last call of w1")
def registry_with_last_call(context):
    context.registry = WorkerRegistry()
    context.registry.record(1.0, "w1", WorkerRegistration("", "", "", 1, GONE, 1))


@when("it hears an older call of w1 with its address")
def hears_older_call(context):
    assert not context.registry.record(2.0, "w1", WorkerRegistration("s", "w1:1", "z", 2, "ready", 9))


@then("w1 is gone there, with its address")
def is_gone_with_address(context):
    assert context.registry.registrations["w1"] == WorkerRegistration("s", "w1:1", "z", 2, GONE, 1)


@then("its keys are not taken to be free")
def keys_are_not_free(context):
    table = {"n": 2, "s": {"s": {"0": ["w2", "", 0.0, 2, "", "w1"]}}}
    only = WorkerRegistry()
    only.record(1.0, "w1", WorkerRegistration("", "", "", 1, GONE, 1))
    for registry in (only, context.registry):
        calls, free = KeyLeases(10.0).next_calls(3.0, table, {"s"}, registry)
        assert not free and len(calls) == (registry is context.registry)


@given("a deregistration that is asked about among three voters of epoch 4")
def asked_about(context):
    context.deregistrations = Deregistrations("a")
    context.request_id = context.deregistrations.begin(10.0)
    context.deregistrations.record_held_here(context.request_id)


@when("b answers as a voter of epoch 3, and c as none")
def other_epochs(context):
    context.deregistrations.record_acknowledgement(context.request_id, "b", 3)
    context.deregistrations.record_acknowledgement(context.request_id, "c", -1)


@when("c answers as a voter of epoch 4")
def this_epoch(context):
    context.deregistrations.record_acknowledgement(context.request_id, "c", 4)


@then("it is {outcome} in epoch 4")
def in_epoch(context, outcome):
    assert context.deregistrations.is_confirmed(10.1, context.request_id, "abc", 4, True) == (
        outcome == "confirmed"
    )
