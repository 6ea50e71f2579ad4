"""The rules that are checked at every step and answer; RuleViolation tells of a broken one.

Nobody answers a call but with 503 who has had no quorum contact, there and back, for the time that contact
holds and a call's; a read is not older than what was acknowledged before it; a deregistration that was
acknowledged is held by a majority, known to every current controller once contact has run out, and to every
connected proxy within DrainS; who is current, or newly ready, misses nothing; no grant leaves on old contact,
no two workers hold a key; no proxy goes back.
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

from .timing import CALL_TIMEOUT, CONTACT_SLACK, DRAIN_TIME, NOTICED_AFTER, PROXY_CONTACT, TIMER_SLACK


class RuleViolation(AssertionError):
    """Something that the rules forbid has come about."""


class Acknowledgement(NamedTuple):
    """A configuration that was acknowledged."""

    at: float
    digest: str


class ProxyState(NamedTuple):
    """What a proxy had at the last step."""

    starts: int
    is_ready: bool
    versions: tuple[int, ...]


NEVER_SEEN = ProxyState(0, False, (0, 0))


class Rules:
    """What has been acknowledged so far, and the checks that rest on it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acknowledged, self.rejected = {}, {}  # configurations: by number, and the number by digest
        self.deregistered = []  # (instance id, when it was acknowledged)
        self.counts = {}  # how often what is checked has come about
        self.disturbed_at = {}  # by proxy: when it last had no contact with all controllers
        self.proxy_states, self.epochs = {}, {}  # by proxy; by epoch: its voters, since when

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def is_leaving_known(self, registry, instance_id):
        """False only where this registry still takes it for ready."""
        registration = registry.registrations.get(instance_id)
        return registration is None or registration.phase != READY

    # --- contact

    def current_voter_sets(self):
        """The voter sets that were the newest at some time while contact from then may still hold."""
        now = self.fleet.now
        for machine in self.fleet.machines.values():
            if machine.is_controller and machine.server is not None:
                consensus = machine.server.quorum_io.consensus
                if consensus.is_active_voter:
                    self.epochs.setdefault(consensus.epoch, ({*consensus.voters}, now))
        ends = [*sorted(self.epochs), None]
        return [
            self.epochs[epoch][0]
            for epoch, following in zip(ends[:-1], ends[1:], strict=True)
            if following is None or now < self.epochs[following][1] + CONTACT_SLACK
        ]

    def update_contact(self, machine):
        """What this controller said until `last_contact_at` has come to a majority, and an answer back."""
        machine.echoed[machine.name] = self.fleet.now
        for voters in self.current_voter_sets():
            echoes = sorted((machine.echoed.get(voter, 0.0) for voter in voters), reverse=True)
            machine.last_contact_at = max(machine.last_contact_at, echoes[len(echoes) // 2])

    def check_contact(self, machine, slack, what):
        if self.fleet.now > machine.last_contact_at + slack:
            raise RuleViolation(
                f"{machine.name} {what} at {self.fleet.now:.2f}, apart since {machine.last_contact_at:.2f}"
            )

    # --- calls

    def check_answer(self, machine, command, response, asked_at, known):
        """known: the newest configuration that was acknowledged as the call came."""
        if response.status >= 500:
            return
        what = f"answers {type(command).__name__} {response.status}"
        self.update_contact(machine)
        self.check_contact(machine, NOTICED_AFTER, what)
        is_workers = isinstance(command, RegisterWorker | DeregisterWorker)
        if not is_workers and self.fleet.now > asked_at + CALL_TIMEOUT + TIMER_SLACK:
            raise RuleViolation(f"{machine.name} {what} at {self.fleet.now:.2f}, asked at {asked_at:.2f}")
        if isinstance(command, GetConfiguration):
            self.check_read(machine, response, known)
        if isinstance(command, DeregisterWorker) or is_workers and command.is_leaving:
            self.check_deregistration(machine, command.instance_id)

    def check_read(self, machine, response, known):
        number = int(json.loads(response.text)["Revision"][1:]) if response.status == 200 else 0
        self.count("configurations read")
        if number < known:
            raise RuleViolation(
                f"{machine.name} reads r{number}, r{known} was acknowledged before it was asked"
            )

    def check_deregistration(self, machine, instance_id):
        holders = {name for name in self.fleet.controllers if self.holds_deregistration(name, instance_id)}
        if not any(2 * len(voters & holders) > len(voters) for voters in self.current_voter_sets()):
            raise RuleViolation(
                f"{machine.name} acknowledges {instance_id}'s deregistration, held by {sorted(holders)}"
            )
        now = self.fleet.now
        self.deregistered.append((instance_id, now))
        self.fleet.at(now + DRAIN_TIME, self.check_proxies_know, instance_id, now)
        self.count("deregistrations confirmed")

    def holds_deregistration(self, name, instance_id):
        server = self.fleet.machines[name].server
        registration = server.registry.registrations.get(instance_id) if server is not None else None
        return registration is not None and registration.phase != READY

    def record_outcome(self, command, response):
        """The caller has the answer."""
        if isinstance(command, PutConfiguration):
            number, digest = command.configuration.revision, command.configuration.digest
            if response.status == 200:
                self.acknowledged.setdefault(number, Acknowledgement(self.fleet.now, digest))
                self.count("configurations taken")
            elif response.status == 412:
                self.rejected[digest] = number
                self.count("configurations rejected")

    # --- leases

    def check_call_is_sent_in_contact(self, machine, kind):
        self.update_contact(machine)
        self.check_contact(machine, CONTACT_SLACK, f"sends a {kind}")

    def check_grant_is_exclusive(self, worker, first, last):
        """Two workers that are up lease the same keys at no moment."""
        self.count("grants")
        for other in self.fleet.workers.values():
            if other is worker or other.has_ended:
                continue
            for start, lease in other.leases.items():
                if start <= last and first <= lease.last_key and lease.until > self.fleet.now:
                    raise RuleViolation(
                        f"{worker.name} is granted {first}-{last} at {self.fleet.now:.2f}, "
                        f"{other.name} holds {start}-{lease.last_key} until {lease.until:.2f}"
                    )

    # --- every step

    def newest_acknowledged(self, before):
        """The newest configuration that was acknowledged before this time."""
        return max((number for number, one in self.acknowledged.items() if one.at < before), default=0)

    def check_step(self):
        settled = self.fleet.now - CONTACT_SLACK
        newest = self.newest_acknowledged(settled)
        left = {instance_id for instance_id, at in self.deregistered if at < settled}
        for name in self.fleet.controllers:
            self.check_controller(self.fleet.machines[name], newest, left)
        for machine in self.fleet.machines.values():
            if machine.is_proxy:
                self.check_proxy(machine)

    def check_controller(self, machine, newest, left):
        """One that is current misses nothing."""
        self.update_contact(machine)
        server, now = machine.server, self.fleet.now
        if server is None or machine.is_frozen or not server.quorum_contact.is_current(now):
            return
        self.count("current controllers checked")
        self.check_contact(machine, CONTACT_SLACK, "is current")
        if server.quorum_io.consensus.version(CONFIG) < newest:
            raise RuleViolation(f"{machine.name} is current at {now:.2f}, and behind r{newest}")
        for instance_id in left:
            if not self.is_leaving_known(server.registry, instance_id):
                raise RuleViolation(
                    f"{machine.name} is current at {now:.2f}, and knows not that {instance_id} left"
                )

    def check_proxy(self, machine):
        server, name = machine.server, machine.name
        reachable = self.fleet.reachable_controllers(machine)
        if server is None or machine.is_frozen or len(reachable) < len(self.fleet.controllers):
            self.disturbed_at[name] = self.fleet.now
        if server is None:
            return
        before, versions = self.proxy_states.get(name, NEVER_SEEN), server.sessions.known_versions()
        state = ProxyState(machine.starts, server.sessions.selection.is_ready, tuple(versions.values()))
        is_same_start = before.starts == state.starts
        if is_same_start and any(
            now < then for now, then in zip(state.versions, before.versions, strict=True)
        ):
            raise RuleViolation(f"{name} goes back at {self.fleet.now:.2f}: {before} to {versions}")
        if state.is_ready and not (is_same_start and before.is_ready):
            self.check_newly_ready(machine, versions, reachable)
        self.proxy_states[name] = state

    def check_newly_ready(self, machine, versions, reachable):
        self.count("proxies ready")
        name, now = machine.name, self.fleet.now
        bound = now - CONFIRMATION_VALIDITY - CONTACT_SLACK
        newest = self.newest_acknowledged(bound)
        if versions["config"] < newest:
            raise RuleViolation(f"{name} is ready at {now:.2f} with {versions}, r{newest} stands")
        for instance_id, at in self.deregistered:
            is_known = any(
                instance_id in self.fleet.machines[one].server.registry.registrations for one in reachable
            )
            if not is_known and self.fleet.workers[instance_id].has_ended:
                continue  # all controllers restarted since its end: nobody can know it
            if at < bound and not self.is_leaving_known(machine.server.load_balancer.registry, instance_id):
                raise RuleViolation(f"{name} is ready at {now:.2f}, and knows not that {instance_id} left")

    def check_proxies_know(self, instance_id, acknowledged_at):
        """Each proxy that had contact all the time has heard of a deregistration."""
        for name, machine in self.fleet.machines.items():
            if machine.is_proxy and self.disturbed_at.get(name, 0.0) < acknowledged_at - PROXY_CONTACT:
                self.count("proxies checked")
                if not self.is_leaving_known(machine.server.load_balancer.registry, instance_id):
                    raise RuleViolation(
                        f"{name} still sends to {instance_id}, which left at {acknowledged_at:.2f}"
                    )

    # --- the end

    def check_end(self, machine):
        """What was acknowledged is in force or was, and nothing that was rejected."""
        value = machine.server.quorum_io.consensus.value(CONFIG) if machine.is_controller else None
        past = value["past"] if value else {}
        for number, digest in past.items():
            acknowledged = self.acknowledged.get(int(number), Acknowledgement(0.0, digest))
            if digest in self.rejected or acknowledged.digest != digest:
                raise RuleViolation(
                    f"r{number} at {machine.name} was rejected, or is another than was acknowledged"
                )
        missing = [n for n in self.acknowledged if past and n <= value["n"] and str(n) not in past]
        if missing:
            raise RuleViolation(f"{missing} were acknowledged, and {machine.name} knows them not")
