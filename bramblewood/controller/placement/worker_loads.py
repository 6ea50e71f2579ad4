"""Reads the load of each worker of a service from the policy's load accounting, and finds workers with spare
capacity.
"""

from ...policy.manager import Manager
from ...policy.workers import Worker
from ...policy_mechanisms.averages import mean, median


class WorkerLoads:
    """The loads of one service's workers. Loads, heat and capacities are in requests per second."""

    def __init__(self, manager: Manager) -> None:
        self._manager = manager

    def usable_workers(self) -> list[Worker]:
        """Return the workers that slices may be assigned to."""
        return self._manager.usable_workers()

    def throughput(self) -> float:
        """Return the requests per second that a typical worker can serve.

        This is the median number of slots divided by the median response time (s). It is 0 while no response
        time is known.
        """
        workers = [
            worker
            for worker in self._manager.usable_workers()
            if worker.response_times and mean(worker.response_times) > 0
        ]
        response_time = median(mean(worker.response_times) for worker in workers)
        return median(worker.weight for worker in workers) / response_time if response_time else 0.0

    def capacity(self, worker: Worker) -> float:
        """Return the policy's estimate of the requests per second that this worker can serve."""
        return self._manager.planner.capacity(worker)

    def load_of(self, worker: Worker) -> float:
        """Return the larger of the load that the worker reports and the heat of its slices.

        The load that a worker with no free slot reports does not show by how much its slices exceed its
        capacity.
        """
        planner = self._manager.planner
        return max(planner.loads[worker], planner.own_loads[worker])

    def load_per_slot(self, worker: Worker) -> float:
        """Return the worker's load divided by its slots. Workers are ranked by this figure."""
        return self.load_of(worker) / worker.weight

    def least_loaded(self, heat: float, excluding: Worker) -> Worker | None:
        """Return the worker with the least load per slot among those that may take a slice of this heat.

        Return None if no other worker may take it.
        """
        planner = self._manager.planner
        candidates = [
            worker
            for worker in self._manager.usable_workers()
            if worker is not excluding and planner.can_take(worker, heat)
        ]
        return min(candidates, key=lambda worker: (self.load_per_slot(worker), worker.name), default=None)

    def record_move(self, now: float, source: Worker, target: Worker, heat: float) -> None:
        """Record in the policy's load accounting a move that the policy did not decide."""
        planner = self._manager.planner
        for loads in (planner.loads, planner.own_loads):
            loads[source] = max(loads[source] - heat, 0.0)
            loads[target] += heat
        planner.recent_moves.append((now, source, target, heat))
