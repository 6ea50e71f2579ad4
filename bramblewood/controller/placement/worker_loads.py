"""What each worker of a service carries, by the policy's own books, and who can take more."""

from ...policy.manager import Manager
from ...policy.workers import Worker
from ...policy_mechanisms.averages import mean, median


class WorkerLoads:
    """The loads of one service's workers. Loads and heat are in requests a second."""

    def __init__(self, manager: Manager) -> None:
        self._manager = manager

    def usable_workers(self) -> list[Worker]:
        """The workers that slices may be assigned to."""
        return self._manager.usable_workers()

    def throughput(self) -> float:
        """Requests a second that a usual worker can do: its slots over the usual time of an answer; 0 while
        no time is known.
        """
        workers = [
            worker
            for worker in self._manager.usable_workers()
            if worker.response_times and mean(worker.response_times) > 0
        ]
        answer_time = median(mean(worker.response_times) for worker in workers)
        return median(worker.weight for worker in workers) / answer_time if answer_time else 0.0

    def capacity(self, worker: Worker) -> float:
        """Requests a second that this worker can do, as the policy estimates it."""
        return self._manager.planner.capacity(worker)

    def load_of(self, worker: Worker) -> float:
        """The larger of what the worker states and of what comes for it: a full worker can't tell how much
        more comes.
        """
        planner = self._manager.planner
        return max(planner.loads[worker], planner.own_loads[worker])

    def load_per_slot(self, worker: Worker) -> float:
        """The load over the worker's slots: what workers are ranked by."""
        return self.load_of(worker) / worker.weight

    def least_loaded(self, heat: float, excluding: Worker) -> Worker | None:
        """The worker with the least load a slot among those that may take this heat."""
        planner = self._manager.planner
        able = [
            worker
            for worker in self._manager.usable_workers()
            if worker is not excluding and planner.can_take(worker, heat)
        ]
        return min(able, key=lambda worker: (self.load_per_slot(worker), worker.name), default=None)

    def record_move(self, now: float, source: Worker, target: Worker, heat: float) -> None:
        """Book a move that the policy did not make itself."""
        planner = self._manager.planner
        for loads in (planner.loads, planner.own_loads):
            loads[source] = max(loads[source] - heat, 0.0)
            loads[target] += heat
        planner.recent_moves.append((now, source, target, heat))
