"""The rules that are checked at every step and at every response. A violation raises RuleViolation.

- A controller without quorum contact responds to every call with 503. Contact is a round trip to a majority.
  At a response it is at most as old as its validity plus the duration of a call.
- A read returns no configuration older than one that was acknowledged before the read began.
- A majority of the voters holds each acknowledged deregistration. Every current controller has it once older
  contact has expired, and every connected proxy has it within DrainS.
- A current controller, and a proxy that becomes ready, has every configuration and every deregistration that
  was acknowledged before the oldest contact that it may rely on.
- Grants and releases are sent only with valid contact, and no two workers hold a lease on one key.
- The versions of a proxy never decrease while it runs.
- Every acknowledged configuration becomes part of the history, and no rejected configuration does.
"""

import json
from typing import NamedTuple

from bramblewood.common.timeouts import CONFIRMATION_VALIDITY
from bramblewood.common.worker_registry import READY
from bramblewood.controller.commands import (
    DeregisterWorker,
    GetConfiguration,
    PutConfiguration,
    RegisterWorker,
)
from bramblewood.controller.consensus.registers import CONFIG

from .timing import (
    CALL_TIMEOUT,
    DRAIN_TIME,
    MAX_CONTACT_AGE,
    MAX_CONTACT_AGE_AT_RESPONSE,
    PROXY_CONTACT_WINDOW,
    TIMER_SLACK,
)


class RuleViolation(AssertionError):
    """A rule of the service was broken in a simulated run."""


class Acknowledgement(NamedTuple):
    """When a configuration was first acknowledged to the operator, and its digest."""

    at: float
    digest: str


class ProxyState(NamedTuple):
    """The state of a proxy after the last step."""

    start_count: int
    is_ready: bool
    versions: tuple[int, ...]


INITIAL_PROXY_STATE = ProxyState(0, False, (0, 0))


class Rules:
    """Records what was acknowledged and rejected, and checks the rules against it."""

    def __init__(self, fleet):
        self.fleet = fleet
        # acknowledgements of configurations by number; numbers of rejected configurations by digest
        self.acknowledged, self.rejected = {}, {}
        self.deregistered = []  # (instance id, when the deregistration was acknowledged)
        self.counts = {}  # number of checks, by what they check; shows that a run reaches them
        self.disconnected_at = {}  # by proxy: when it was last without contact to at least one controller
        # by proxy: its state after the last step; by epoch: its voters, and when it was first seen
        self.proxy_states, self.epochs = {}, {}

    def count(self, checked):
        self.counts[checked] = self.counts.get(checked, 0) + 1

    def is_unavailable(self, registry, instance_id):
        """Whether a registry holds this worker as draining or gone, or holds no registration of it."""
        registration = registry.registrations.get(instance_id)
        return registration is None or registration.phase != READY

    # --- contact

    def current_voter_sets(self):
        """The newest voter set, and those that were replaced within the last MAX_CONTACT_AGE s."""
        now = self.fleet.now
        for machine in self.fleet.machines.values():
            if machine.is_controller and machine.server is not None:
                consensus = machine.server.quorum_io.consensus
                if consensus.is_active_voter:
                    self.epochs.setdefault(consensus.epoch, ({*consensus.voters}, now))
        epochs_and_end = [*sorted(self.epochs), None]
        return [
            self.epochs[epoch][0]
            for epoch, next_epoch in zip(epochs_and_end[:-1], epochs_and_end[1:], strict=True)
            if next_epoch is None or now < self.epochs[next_epoch][1] + MAX_CONTACT_AGE
        ]

    def update_contact(self, machine):
        """Update `last_contact_at` from the echoes that this controller has received from a majority."""
        machine.echoed_send_times[machine.name] = self.fleet.now
        for voters in self.current_voter_sets():
            echoes = sorted((machine.echoed_send_times.get(voter, 0.0) for voter in voters), reverse=True)
            machine.last_contact_at = max(machine.last_contact_at, echoes[len(echoes) // 2])

    def check_contact(self, machine, max_age, action):
        """Raise RuleViolation if the contact behind this action is older than `max_age` s."""
        if self.fleet.now > machine.last_contact_at + max_age:
            raise RuleViolation(
                f"{machine.name} {action} at {self.fleet.now:.2f} without a round trip to a majority since"
                f" {machine.last_contact_at:.2f}"
            )

    # --- calls

    def check_response(self, machine, command, response, called_at, newest_before):
        """Check the response to a call, unless it reports an error of the server.

        newest_before: number of the newest configuration that was acknowledged when the call began.
        """
        if response.status >= 500:
            return
        action = f"responds to {type(command).__name__} with {response.status}"
        self.update_contact(machine)
        self.check_contact(machine, MAX_CONTACT_AGE_AT_RESPONSE, action)
        is_from_worker = isinstance(command, RegisterWorker | DeregisterWorker)
        if not is_from_worker and self.fleet.now > called_at + CALL_TIMEOUT + TIMER_SLACK:
            raise RuleViolation(
                f"{machine.name} {action} at {self.fleet.now:.2f}, too late for a call at {called_at:.2f}"
            )
        if isinstance(command, GetConfiguration):
            self.check_read(machine, response, newest_before)
        if isinstance(command, DeregisterWorker) or is_from_worker and command.is_draining:
            self.check_deregistration(machine, command.instance_id)

    def check_read(self, machine, response, newest_before):
        number = int(json.loads(response.text)["Revision"][1:]) if response.status == 200 else 0
        self.count("configurations read")
        if number < newest_before:
            raise RuleViolation(
                f"{machine.name} returns configuration r{number}, although r{newest_before} was acknowledged"
                " before the read"
            )

    def check_deregistration(self, machine, instance_id):
        """Check an acknowledged deregistration now, and at the proxies after DRAIN_TIME s."""
        holders = {name for name in self.fleet.controllers if self.holds_deregistration(name, instance_id)}
        if not any(2 * len(voters & holders) > len(voters) for voters in self.current_voter_sets()):
            raise RuleViolation(
                f"{machine.name} acknowledges the deregistration of {instance_id}, which no majority of the"
                f" voters holds; it is held by {sorted(holders)}"
            )
        now = self.fleet.now
        self.deregistered.append((instance_id, now))
        self.fleet.schedule(now + DRAIN_TIME, self.check_connected_proxies, instance_id, now)
        self.count("deregistrations confirmed")

    def holds_deregistration(self, name, instance_id):
        server = self.fleet.machines[name].server
        registration = server.registry.registrations.get(instance_id) if server is not None else None
        return registration is not None and registration.phase != READY

    def record_outcome(self, command, response):
        """Record the outcome of a configuration put whose response reached the operator."""
        if isinstance(command, PutConfiguration):
            number, digest = command.configuration.revision, command.configuration.digest
            if response.status == 200:
                self.acknowledged.setdefault(number, Acknowledgement(self.fleet.now, digest))
                self.count("configurations accepted")
            elif response.status == 412:
                self.rejected[digest] = number
                self.count("configurations rejected")

    # --- leases

    def check_contact_of_call(self, machine, kind):
        """Check that a controller sends a grant or release only with valid contact."""
        self.update_contact(machine)
        self.check_contact(machine, MAX_CONTACT_AGE, f"sends a {kind}")

    def check_grant_is_exclusive(self, worker, first, last):
        """Check that no other running worker holds a lease on one of these keys."""
        self.count("grants")
        for other in self.fleet.workers.values():
            if other is worker or other.has_ended:
                continue
            for start, lease in other.leases.items():
                if start <= last and first <= lease.last_key and lease.until > self.fleet.now:
                    raise RuleViolation(
                        f"{worker.name} is granted keys {first}-{last} at {self.fleet.now:.2f}, while "
                        f"{other.name} holds keys {start}-{lease.last_key} until {lease.until:.2f}"
                    )

    # --- every step

    def newest_acknowledged(self, before):
        """The number of the newest configuration that was acknowledged before this time, 0 for none."""
        return max(
            (number for number, acknowledgement in self.acknowledged.items() if acknowledgement.at < before),
            default=0,
        )

    def check_step(self):
        """Check every machine against what was acknowledged before the oldest contact that may be valid."""
        oldest_contact_at = self.fleet.now - MAX_CONTACT_AGE
        newest = self.newest_acknowledged(oldest_contact_at)
        departed = {instance_id for instance_id, at in self.deregistered if at < oldest_contact_at}
        for name in self.fleet.controllers:
            self.check_controller(self.fleet.machines[name], newest, departed)
        for machine in self.fleet.machines.values():
            if machine.is_proxy:
                self.check_proxy(machine)

    def check_controller(self, machine, newest, departed):
        """Check that a current controller has the newest configuration and no departed worker as ready."""
        self.update_contact(machine)
        server, now = machine.server, self.fleet.now
        if server is None or machine.is_frozen or not server.quorum_contact.is_current(now):
            return
        self.count("current controllers checked")
        self.check_contact(machine, MAX_CONTACT_AGE, "is current")
        if server.quorum_io.consensus.version(CONFIG) < newest:
            raise RuleViolation(
                f"{machine.name} is current at {now:.2f}, but its configuration is older than r{newest}"
            )
        for instance_id in departed:
            if not self.is_unavailable(server.registry, instance_id):
                raise RuleViolation(
                    f"{machine.name} is current at {now:.2f}, but holds deregistered worker {instance_id}"
                    " as ready"
                )

    def check_proxy(self, machine):
        """Check that the versions of a proxy do not decrease, and check a proxy that becomes ready."""
        server, name = machine.server, machine.name
        reachable = self.fleet.reachable_controllers(machine)
        if server is None or machine.is_frozen or len(reachable) < len(self.fleet.controllers):
            self.disconnected_at[name] = self.fleet.now
        if server is None:
            return
        previous, versions = (
            self.proxy_states.get(name, INITIAL_PROXY_STATE),
            server.sessions.known_versions(),
        )
        state = ProxyState(machine.start_count, server.sessions.selection.is_ready, tuple(versions.values()))
        is_same_start = previous.start_count == state.start_count
        if is_same_start and any(
            new < old for new, old in zip(state.versions, previous.versions, strict=True)
        ):
            raise RuleViolation(
                f"{name} returns to older versions at {self.fleet.now:.2f}: from {previous} to {versions}"
            )
        if state.is_ready and not (is_same_start and previous.is_ready):
            self.check_newly_ready(machine, versions, reachable)
        self.proxy_states[name] = state

    def check_newly_ready(self, machine, versions, reachable):
        """Check that a proxy becomes ready only with everything that its confirmation covers."""
        self.count("proxies ready")
        name, now = machine.name, self.fleet.now
        confirmed_before = now - CONFIRMATION_VALIDITY - MAX_CONTACT_AGE
        newest = self.newest_acknowledged(confirmed_before)
        if versions["config"] < newest:
            raise RuleViolation(
                f"{name} becomes ready at {now:.2f} with {versions}, but r{newest} was acknowledged before"
            )
        for instance_id, at in self.deregistered:
            is_known = any(
                instance_id in self.fleet.machines[controller].server.registry.registrations
                for controller in reachable
            )
            if not is_known and self.fleet.workers[instance_id].has_ended:
                continue  # the controllers have restarted after the worker's end and hold nothing of it
            if at < confirmed_before and not self.is_unavailable(
                machine.server.load_balancer.registry, instance_id
            ):
                raise RuleViolation(
                    f"{name} becomes ready at {now:.2f}, but holds deregistered worker {instance_id} as ready"
                )

    def check_connected_proxies(self, instance_id, acknowledged_at):
        """Check that each proxy with uninterrupted contact to all controllers has a deregistration."""
        for name, machine in self.fleet.machines.items():
            if (
                machine.is_proxy
                and self.disconnected_at.get(name, 0.0) < acknowledged_at - PROXY_CONTACT_WINDOW
            ):
                self.count("proxies checked")
                if not self.is_unavailable(machine.server.load_balancer.registry, instance_id):
                    raise RuleViolation(
                        f"{name} still routes to {instance_id}, deregistered at {acknowledged_at:.2f}"
                    )

    # --- the end

    def check_end(self, machine):
        """Check the history of configurations at a controller against the acknowledgements and rejections."""
        value = machine.server.quorum_io.consensus.value(CONFIG) if machine.is_controller else None
        history = value["past"] if value else {}
        for number, digest in history.items():
            acknowledgement = self.acknowledged.get(int(number), Acknowledgement(0.0, digest))
            if digest in self.rejected or acknowledgement.digest != digest:
                raise RuleViolation(
                    f"configuration r{number} in the history of {machine.name} was rejected, or has another"
                    " digest than the acknowledged one"
                )
        missing = [n for n in self.acknowledged if history and n <= value["n"] and str(n) not in history]
        if missing:
            raise RuleViolation(
                f"{missing} were acknowledged, but {machine.name} lacks them in its configuration history"
            )
