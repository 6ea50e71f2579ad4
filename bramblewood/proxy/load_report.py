"""The load report that a proxy sends to the coordinator. No I/O.

It contains request counts, statistics of workers, and the remaining work at workers that drain plans and
rollouts take out of use.
"""

from ..common.messages import LoadReport
from .load_balancing import LoadBalancer


def take_report(load_balancer: LoadBalancer, elapsed: float, now: float) -> LoadReport:
    """Return the report of the last `elapsed` s and reset all counts. now: s of the loop's clock."""
    workers = {}
    for instance_id, observation in load_balancer.observations.by_instance.items():
        if (row := observation.take_statistics()) is not None:
            workers[instance_id] = row
    by_range, by_key = load_balancer.request_counts.take()
    report = LoadReport(round(elapsed, 3), by_range, workers, by_key or None)
    rollout_counts = load_balancer.rollout_trials.report()
    if load_balancer.slices.drain_steps or rollout_counts:
        in_flight = remaining_work(load_balancer, now)
        report = report._replace(
            table_version=load_balancer.slices.version, in_flight=in_flight, rollout_counts=rollout_counts
        )
    return report


def leaving_workers(load_balancer: LoadBalancer) -> set[str]:
    """Return the workers in drain plans, and those with observations that an undecided rollout excludes."""
    leaving = set(load_balancer.slices.drain_steps)
    if load_balancer.rollout_trials.any_undecided:
        leaving.update(filter(load_balancer.is_excluded_by_rollout, load_balancer.observations.by_instance))
    return leaving


def remaining_work(load_balancer: LoadBalancer, now: float) -> dict[str, list]:
    """Return this proxy's remaining work at each worker that is leaving, by instance id.

    Each row consists of the number of idempotent requests in flight, the number of non-idempotent requests
    in flight plus the number of keys bound to the worker, and the time (s) since the worker last had no
    request of this proxy in flight. Workers without remaining work are omitted.
    """
    remaining = {}
    for instance_id in leaving_workers(load_balancer):
        observation = load_balancer.observations.by_instance.get(instance_id)
        bound_keys = load_balancer.affinity.count_bound(now, instance_id)
        in_flight = observation.in_flight if observation is not None else 0
        if not in_flight and not bound_keys:
            continue
        non_idempotent = observation.non_idempotent_in_flight if observation is not None else 0
        in_flight_time = round(now - observation.in_flight_since, 2) if in_flight else 0.0
        remaining[instance_id] = [in_flight - non_idempotent, non_idempotent + bound_keys, in_flight_time]
    return remaining
