"""The JSON views and the metrics that operators' tools read from one controller.

They show the state that this controller holds. A request changes nothing and sends nothing to other
controllers.
"""

from typing import Any

from aiohttp import web

from ..common import metrics
from ..common.slice_table import DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS
from .consensus.registers import CONFIG, TABLE
from .coordinator_loop import CoordinatorLoop
from .drain_plans import plans_of, worker_drains_of
from .http_responses import make_response
from .peer_sessions import PeerSessions
from .proxy_sessions import ProxySessions
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .rollouts import rollout_states_of
from .runtime import Runtime
from .voter_changes import VoterChanges

EMPTY_TABLE = {"n": 0, "s": {}}  # the view before a table is chosen: version 0 without services


class Introspection:
    """Serves the views, by path, and the metrics.

    The JSON keys of the views and the names of the metrics are fixed, because operators' tools rely on them.
    They keep older terms: archives are controllers, desks are proxies, the scribe is the coordinator, holds
    are leases of keys, a life is a worker's instance id, and a controller that is current is called whole.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        sessions: PeerSessions,
        proxy_sessions: ProxySessions,
        voter_changes: VoterChanges,
        coordinator_loop: CoordinatorLoop,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.sessions, self.proxy_sessions = sessions, proxy_sessions
        self.voter_changes, self.coordinator_loop = voter_changes, coordinator_loop
        self.registry = coordinator_loop.registry
        self.views = {
            "/view/roll": self._registry_view,
            "/view/members": self._members_view,
            "/view/plans": self._drain_plans_view,
            "/view/rollouts": self._rollouts_view,
            "/view/table": self._table_view,
            "/view/holds": self._leases_view,
            "/view/sessions": self._sessions_view,
            "/view/history": self._configuration_history,
        }

    def respond(self, path: str) -> web.Response:
        """Returns the view or the metrics at this path, or a response with status 404 if there are none.

        The response does not need quorum contact. Its header `X-Local-View` names this controller and whether
        it is current.
        """
        now = self.runtime.now()
        if path in self.views:
            response = web.json_response(self.views[path](now))
        elif path == "/metrics":
            response = web.Response(text=metrics.format_metrics(self._metrics(now)))
        else:
            response = make_response(404, "no such view")
        is_current = int(self.quorum_contact.is_current(now))
        response.headers["X-Local-View"] = f"{self.runtime.own_address}; whole={is_current}"
        return response

    def _registry_view(self, now: float) -> dict[str, Any]:
        """Returns all registrations, with the seconds since the worker's last heartbeat.

        "silent" is whether the heartbeats of the worker have timed out.
        """
        timed_out = self.coordinator_loop.registry_exchange.timed_out_workers(now)
        return {
            instance_id: {
                **registration.to_view(),
                "heard": round(now - self.registry.last_contact_at.get(instance_id, 0.0), 2),
                "silent": instance_id in timed_out,
            }
            for instance_id, registration in self.registry.registrations.items()
        }

    def _members_view(self, now: float) -> dict[str, Any]:
        """Returns the voters and other controllers, and whether a voter set change is in flight."""
        changes = self.voter_changes
        view = changes.membership.view(
            self.runtime.own_address,
            self.quorum_io.consensus.voter_set,
            changes.peer_statuses(now),
            self.quorum_io.versions(),
        )
        return {**view, "change": "a change is being agreed" if changes.is_proposal_in_flight else ""}

    def _drain_plans_view(self, now: float) -> dict[str, Any]:
        """Returns the drain plans, and for each of their workers what its next step waits for."""
        table = self.quorum_io.consensus.value(TABLE)
        return {
            name: {
                **plan.stored(),
                "workers": {
                    instance_id: self._draining_worker_view(now, table, instance_id, step, version)
                    for instance_id, (plan_name, step, version) in worker_drains_of(table).items()
                    if plan_name == name
                },
            }
            for name, plan in plans_of(table).items()
        }

    def _draining_worker_view(
        self, now: float, table: Any, instance_id: str, step: str, version: int
    ) -> dict[str, Any]:
        """Returns the step of a worker, what the step waits for, and whether the worker owns keys."""
        progress = self.coordinator_loop.drain_progress
        work = progress.work_in_flight(now, instance_id)
        return {
            "step": step,
            "sending": progress.unconfirmed_proxies(now, version) if step == DRAIN_IN_PROGRESS else [],
            "under way": {proxy: [*in_flight] for proxy, in_flight in work.items()},
            "keys": step != DRAIN_ANNOUNCED and progress.owns_keys(table, instance_id),
        }

    def _rollouts_view(self, now: float) -> dict[str, Any]:
        """Returns the last rollout of each service, with the evidence that this controller has."""
        table = self.quorum_io.consensus.value(TABLE)
        return self.coordinator_loop.rollout_progress.view(now, table)

    def _table_view(self, now: float) -> dict[str, Any]:
        """Returns the chosen slice table, or EMPTY_TABLE if none is chosen yet."""
        return self.quorum_io.consensus.value(TABLE) or EMPTY_TABLE

    def _leases_view(self, now: float) -> list[dict[str, Any]]:
        """Returns the key leases that this controller granted, with the seconds that remain of each."""
        leases = self.coordinator_loop.key_leases
        return [
            {
                "service": service,
                "from": start,
                "life": instance_id,
                "fence": fencing_token,
                "until": round(sent_at + leases.lease_duration - now, 2),
            }
            for (service, start), (instance_id, fencing_token, sent_at) in sorted(leases.granted.items())
        ]

    def _sessions_view(self, now: float) -> dict[str, Any]:
        """Returns the state of this controller, its sessions with other controllers, and the proxies."""
        consensus = self.quorum_io.consensus
        return {
            "me": self.runtime.own_address,
            "epoch": consensus.epoch,
            "voters": sorted(consensus.voters),
            "votes": consensus.is_active_voter,
            "whole": self.quorum_contact.is_current(now),
            "scribe": self.quorum_contact.coordinator(now),
            "archives": {
                peer: {
                    "heard": round(now - session.received_at, 2),
                    "whole": session.is_current and self.sessions.is_present(now, peer),
                    "votes": session.is_voting,
                }
                for peer, session in self.sessions.by_peer.items()
            },
            "desks": sorted(self.sessions.all_proxies(now, list(self.proxy_sessions.connected))),
        }

    def _configuration_history(self, now: float) -> dict[str, Any]:
        """Returns the digests of the latest revisions of the configuration, by revision."""
        value = self.quorum_io.consensus.value(CONFIG)
        return value["past"] if value else {}

    def _metrics(self, now: float) -> dict[str, float]:
        """Returns the values of the metrics by name."""
        consensus = self.quorum_io.consensus
        timed_out = self.coordinator_loop.registry_exchange.timed_out_workers(now)
        return {
            "archive_whole": int(self.quorum_contact.is_current(now)),
            "archive_votes": int(consensus.is_active_voter),
            "archive_scribe": int(self.coordinator_loop.is_coordinator),
            "archive_desks": len(self.proxy_sessions.connected),
            "archive_workers": len(self.registry.registrations),
            "archive_silent_workers": len(timed_out),
            "archive_config_version": consensus.version(CONFIG),
            "archive_table_version": consensus.version(TABLE),
            "archive_writes_waiting": self.quorum_io.writes_in_flight,
            "archive_rollouts_undecided": sum(
                state.is_undecided for state in rollout_states_of(consensus.value(TABLE)).values()
            ),
            **self.coordinator_loop.lease_calls.counts,
        }
