"""Operators' calls: configurations, drain plans, changes of the voter set. Each is agreed by a quorum and
safe to repeat.
"""

from typing import Any

from aiohttp import web
from result import Err

from ..common.worker_registry import WorkerRegistry
from .commands import AddMember, EndDrainPlan, PutConfiguration, RemoveMember, ReplaceMember, StartDrainPlan
from .configuration_succession import apply_configuration, settled_answer
from .consensus.registers import CONFIG, TABLE, VOTER_SET
from .consensus.voter_set import next_voter_set
from .drain_plans import end_plan, plans_of, start_plan, worker_drains_of, workers_in_use
from .http_responses import NO_QUORUM, NO_QUORUM_IN_TIME, make_response
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .runtime import Runtime
from .voter_changes import VoterChanges


class OperatorApi:
    """Answers operators. A call whose outcome is unclear is answered with 503: the caller repeats it."""

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
        """Take a new configuration, or tell what became of it before."""
        configuration, answer = call.configuration, None
        if self.quorum_contact.has_quorum_contact(self.runtime.now()):
            answer = settled_answer(configuration, self.quorum_io.consensus.value(CONFIG))
        answer = answer or await self.quorum_io.agree(
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
        """The configuration in force, as a quorum holds it now."""
        outcome = await self.quorum_io.agree(CONFIG, lambda value: (None, [value]))
        if outcome is None:
            return make_response(503, NO_QUORUM_IN_TIME)
        (value,) = outcome
        return (
            make_response(404, "no configuration yet")
            if value is None
            else web.json_response(value["config"])
        )

    async def change_drain_plan(self, command: StartDrainPlan | EndDrainPlan) -> web.Response:
        """Start, show, stop or revert a drain plan."""
        if isinstance(command, EndDrainPlan):
            answer = await self.quorum_io.agree(
                TABLE, lambda table: end_plan(table, command.name, command.state)
            )
        elif command.dry_run:
            read_only = lambda table: (  # noqa: E731
                None,
                (self._workers_of_plan(command, table), self._start_plan(command, table)[1]),
            )
            answer = await self.quorum_io.agree(TABLE, read_only)
            if answer is not None:
                return _dry_run_response(command, *answer)
        else:
            answer = await self.quorum_io.agree(TABLE, lambda table: self._start_plan(command, table))
        self.runtime.log.info("drain plan", step="drain", name=command.name, answer=answer)
        return make_response(*answer) if answer else make_response(503, NO_QUORUM_IN_TIME)

    def _start_plan(self, command: StartDrainPlan, table: Any) -> tuple[Any, tuple[int, str]]:
        instance_ids = self._workers_of_plan(command, table)
        in_use = set(workers_in_use(self.registry, command.service, worker_drains_of(table)))
        staying = len(in_use - set(instance_ids))
        return start_plan(table, command.name, command.service, instance_ids, command.wave, staying)

    def _workers_of_plan(self, command: StartDrainPlan, table: Any) -> list[str]:
        """The workers that a plan names, by the table that stands."""
        if command.name in plans_of(table):
            return plans_of(table)[command.name].instance_ids  # asked again
        registrations = self.registry.registrations
        instance_ids = [
            instance_id
            for instance_id in workers_in_use(self.registry, command.service, worker_drains_of(table))
            if (not command.instance_ids or instance_id in command.instance_ids)
            and command.zone in ("", registrations[instance_id].zone)
            and command.revision in ("", registrations[instance_id].revision)
        ]
        return instance_ids[: command.count or len(instance_ids)]

    async def change_voter_set(self, command: ReplaceMember | RemoveMember | AddMember) -> web.Response:
        """Change who votes: agreed by a majority of those who do."""
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
        is_agreed = await self.quorum_io.agree(VOTER_SET, next_voter_set(voter_set, voters))
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
    status, reason = answer
    waves = [instance_ids[i : i + command.wave] for i in range(0, len(instance_ids), command.wave)]
    return web.json_response({"Waves": waves, "Failure": "" if status == 200 else reason})


def _epoch_response(epoch: int) -> web.Response:
    return web.json_response({"Epoch": epoch})
