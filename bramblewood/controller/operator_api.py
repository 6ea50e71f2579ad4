"""Handlers of operators' calls: configurations, rollouts, drain plans and changes of the voter set.

A quorum agrees on each change, and each call is safe to repeat.
"""

from typing import Any

from aiohttp import web
from result import Err

from ..common.configuration_parser import build_configuration
from ..common.worker_registry import WorkerRegistry
from .commands import (
    AddMember,
    EndDrainPlan,
    GetRollout,
    PutConfiguration,
    RemoveMember,
    ReplaceMember,
    StartDrainPlan,
    StartRollout,
)
from .configuration_succession import apply_configuration, final_answer
from .consensus.registers import CONFIG, TABLE, VOTER_SET
from .consensus.voter_set import voter_set_change
from .drain_plans import end_plan, plans_of, start_plan, worker_drains_of, workers_in_use
from .http_responses import NO_QUORUM, NO_QUORUM_IN_TIME, make_response
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .rollouts import RolloutOrder, ready_versions, rollouts_of, start_rollout
from .runtime import Runtime
from .voter_changes import VoterChanges


class OperatorApi:
    """Executes operators' commands and responds to them.

    The response is 503 where the outcome is unknown. The operator then repeats the call.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        registry: WorkerRegistry,
        voter_changes: VoterChanges,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.registry, self.voter_changes = registry, voter_changes

    async def put_configuration(self, call: PutConfiguration) -> web.Response:
        """Puts a configuration in force, and responds with the outcome.

        An answer is definite if its status is not 503. A repeated call gets the same definite answer as the
        first one. No proposal is needed if the chosen value that this controller holds determines the answer;
        see `final_answer`.
        """
        configuration, answer = call.configuration, None
        if self.quorum_contact.has_quorum_contact(self.runtime.now()):
            answer = final_answer(configuration, self.quorum_io.consensus.value(CONFIG))
        answer = answer or await self.quorum_io.propose_and_wait(
            CONFIG, lambda value: apply_configuration(configuration, value)
        )
        self.runtime.log.info(
            "configuration",
            step="put",
            number=configuration.revision,
            parent=configuration.parent_revision,
            answer=answer,
        )
        return make_response(*answer) if answer else make_response(503, NO_QUORUM_IN_TIME)

    async def get_configuration(self) -> web.Response:
        """Responds with the configuration in force, read through a quorum; 404 where there is none."""
        outcome = await self.quorum_io.propose_and_wait(CONFIG, lambda value: (None, [value]))
        if outcome is None:
            return make_response(503, NO_QUORUM_IN_TIME)
        (value,) = outcome
        return (
            make_response(404, "no configuration yet")
            if value is None
            else web.json_response(value["config"])
        )

    async def start_rollout(self, command: StartRollout) -> web.Response:
        """Starts a rollout, or acknowledges again the order that started the service's last one.

        The response is 404 if the configuration in force has no such service, and 409 if another rollout of
        the service is under way.
        """
        if not self.quorum_contact.has_quorum_contact(self.runtime.now()):
            return make_response(503, NO_QUORUM)
        configuration = self.quorum_io.consensus.value(CONFIG)
        services = build_configuration(configuration["config"]).ok_value.services if configuration else {}
        if command.service not in services:
            return make_response(404, f"no service {command.service}")
        order = RolloutOrder(command.service, command.target_version, command.duration)
        answer = await self.quorum_io.propose_and_wait(
            TABLE, lambda table: start_rollout(table, order, ready_versions(self.registry, order.service))
        )
        self.runtime.log.notice(
            "rollout",
            step="order",
            service=order.service,
            target_version=order.target_version,
            duration=order.duration,
            answer=answer,
        )
        return make_response(*answer) if answer else make_response(503, NO_QUORUM_IN_TIME)

    async def get_rollout(self, command: GetRollout) -> web.Response:
        """Responds with the phase of a service's last rollout, read through a quorum; 404 if it had none."""
        outcome = await self.quorum_io.propose_and_wait(TABLE, lambda table: (None, [table]))
        if outcome is None:
            return make_response(503, NO_QUORUM_IN_TIME)
        rollout = rollouts_of(outcome[0]).get(command.service)
        if rollout is None:
            return make_response(404, f"no rollout of service {command.service}")
        return web.json_response({"Phase": rollout.public_phase, "TargetVersion": rollout.target_version})

    async def change_drain_plan(self, command: StartDrainPlan | EndDrainPlan) -> web.Response:
        """Starts, stops or cancels a drain plan, or responds with the waves of a dry run."""
        if isinstance(command, EndDrainPlan):
            answer = await self.quorum_io.propose_and_wait(
                TABLE, lambda table: end_plan(table, command.name, command.state)
            )
        elif command.dry_run:
            dry_run_change = lambda table: (  # noqa: E731
                None,
                (self._instance_ids_of_plan(command, table), self._start_plan(command, table)[1]),
            )
            answer = await self.quorum_io.propose_and_wait(TABLE, dry_run_change)
            if answer is not None:
                return _dry_run_response(command, *answer)
        else:
            answer = await self.quorum_io.propose_and_wait(
                TABLE, lambda table: self._start_plan(command, table)
            )
        self.runtime.log.info("drain plan", step="drain", name=command.name, answer=answer)
        return make_response(*answer) if answer else make_response(503, NO_QUORUM_IN_TIME)

    def _start_plan(self, command: StartDrainPlan, table: Any) -> tuple[Any, tuple[int, str]]:
        """Returns the table with the plan, or None where the table is unchanged, and the answer."""
        instance_ids = self._instance_ids_of_plan(command, table)
        in_use = set(workers_in_use(self.registry, command.service, worker_drains_of(table)))
        remaining = len(in_use - set(instance_ids))
        return start_plan(table, command.name, command.service, instance_ids, command.wave_size, remaining)

    def _instance_ids_of_plan(self, command: StartDrainPlan, table: Any) -> list[str]:
        """Returns the instance ids of the workers that the command selects for its plan.

        A plan that is already in the table keeps its workers, so that a repeated command names the same ones.
        """
        if command.name in plans_of(table):
            return plans_of(table)[command.name].instance_ids
        registrations = self.registry.registrations
        instance_ids = [
            instance_id
            for instance_id in workers_in_use(self.registry, command.service, worker_drains_of(table))
            if (not command.instance_ids or instance_id in command.instance_ids)
            and command.zone in ("", registrations[instance_id].zone)
            and command.revision in ("", registrations[instance_id].revision)
        ]
        return instance_ids[: command.max_workers or len(instance_ids)]

    async def change_voter_set(self, command: ReplaceMember | RemoveMember | AddMember) -> web.Response:
        """Replaces, removes or adds a voter, and responds with the number of the resulting epoch.

        A majority of the present voters must agree to the change. The response is 409 if the change is not
        possible, and 412 if another change of the voter set was agreed first.
        """
        voter_set, now = self.quorum_io.consensus.voter_set, self.runtime.now()
        old, new = getattr(command, "old", ""), getattr(command, "new", "")
        change = self.voter_changes.membership.requested_change(
            voter_set, self.voter_changes.peer_statuses(now), self.quorum_io.versions(), old, new
        )
        if isinstance(change, Err):
            return make_response(409, change.err_value)
        voters = change.ok_value.voters
        if voters == voter_set["voters"]:
            has_contact = self.quorum_contact.has_quorum_contact(now)
            return _epoch_response(voter_set["n"]) if has_contact else make_response(503, NO_QUORUM)
        is_agreed = await self.quorum_io.propose_and_wait(VOTER_SET, voter_set_change(voter_set, voters))
        self.runtime.log.info(
            "voter set change", step="epoch", reason="by hand", old=old, new=new, agreed=is_agreed
        )
        if is_agreed is None:
            return make_response(503, NO_QUORUM_IN_TIME)
        return (
            _epoch_response(voter_set["n"] + 1)
            if is_agreed
            else make_response(412, "another change came first")
        )


def _dry_run_response(
    command: StartDrainPlan, instance_ids: list[str], answer: tuple[int, str]
) -> web.Response:
    """Returns the waves that the plan would have, and the reason why it could not start.

    The reason is "" if the plan could start.
    """
    status, reason = answer
    waves = [instance_ids[i : i + command.wave_size] for i in range(0, len(instance_ids), command.wave_size)]
    return web.json_response({"Waves": waves, "Failure": "" if status == 200 else reason})


def _epoch_response(epoch: int) -> web.Response:
    return web.json_response({"Epoch": epoch})
