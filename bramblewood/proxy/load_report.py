"""The load report that a proxy sends to the coordinator: requests counted, workers observed, drains. Pure."""

from ..common.messages import LoadReport
from .load_balancing import LoadBalancer


def take_report(load_balancer: LoadBalancer, elapsed: float, now: float) -> LoadReport:
    """The report of the last `elapsed` s; all counts begin anew."""
    workers = {}
    for instance_id, observation in load_balancer.observations.by_instance.items():
        if (row := observation.take_statistics()) is not None:
            workers[instance_id] = row
    by_range, by_key = load_balancer.request_counts.take()
    report = LoadReport(round(elapsed, 3), by_range, workers, by_key or None)
    if load_balancer.slices.drain_steps:
        in_flight = remaining_work(load_balancer, now)
        report = report._replace(table_version=load_balancer.slices.version, in_flight=in_flight)
    return report


def remaining_work(load_balancer: LoadBalancer, now: float) -> dict[str, list]:
    """By instance id of workers in a drain plan, what this proxy has there.

    That is: idempotent requests in flight, non-idempotent ones with the keys bound to the worker, and for how
    long (s) the oldest is in flight. Workers at which there is nothing are left out.
    """
    remaining = {}
    for instance_id in load_balancer.slices.drain_steps:
        observation = load_balancer.observations.by_instance.get(instance_id)
        bound_keys = load_balancer.affinity.count_bound(now, instance_id)
        in_flight = observation.in_flight if observation is not None else 0
        if not in_flight and not bound_keys:
            continue
        non_idempotent = observation.non_idempotent_in_flight if observation is not None else 0
        oldest = round(now - observation.oldest_in_flight_at, 2) if in_flight else 0.0
        remaining[instance_id] = [in_flight - non_idempotent, non_idempotent + bound_keys, oldest]
    return remaining
