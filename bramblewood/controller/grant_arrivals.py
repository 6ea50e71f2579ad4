"""Records when the grants of this controller can have arrived at their workers. No I/O.

A grant that is recorded before it is sent can arrive until MAX_CALL_TRANSIT after the latest time at which it
may be sent. Its result narrows this down: an answer proves that it has arrived, and a connection that never
opened proves that it will not arrive. All times are in s of this controller's steady clock.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from http import HTTPStatus

from ..common.timeouts import MAX_CALL_TRANSIT

# results of a call, in addition to the HTTP statuses
NO_ANSWER = 0  # the call may have arrived
CONNECTION_REFUSED = -1
NOT_SENT = -2  # no connection opened in time, or no quorum contact was left
NOT_ARRIVED: Collection[int] = (CONNECTION_REFUSED, NOT_SENT)


@dataclass
class WorkerArrivals:
    """The latest times at which grants can have arrived at one worker."""

    finished: float = -math.inf  # of the grants whose results are known
    planned: float = -math.inf  # of the grants in flight
    in_flight: int = 0

    @property
    def latest(self) -> float:
        """Of all grants."""
        return max(self.finished, self.planned) if self.in_flight else self.finished


class GrantArrivals:
    """The arrivals at all workers, by instance id."""

    def __init__(self) -> None:
        self.by_instance: dict[str, WorkerArrivals] = {}

    def latest(self, instance_id: str) -> float:
        """Return the latest time at which a recorded grant can have arrived at this worker."""
        arrivals = self.by_instance.get(instance_id)
        return arrivals.latest if arrivals is not None else -math.inf

    def grant_planned(self, instance_id: str, send_by: float) -> None:
        """Record a grant that will be sent, at the latest at `send_by`."""
        arrivals = self.by_instance.setdefault(instance_id, WorkerArrivals())
        arrivals.in_flight += 1
        arrivals.planned = max(arrivals.planned, send_by + MAX_CALL_TRANSIT)

    def grant_finished(self, now: float, instance_id: str, status: HTTPStatus | int) -> None:
        """Record the result of a planned grant: an HTTP status, or a result such as NO_ANSWER."""
        arrivals = self.by_instance.get(instance_id)
        if arrivals is None or not arrivals.in_flight:
            return
        arrivals.in_flight -= 1
        if status == NO_ANSWER:  # it may have been written at any time until now, and may be on its way
            arrivals.finished = max(arrivals.finished, arrivals.planned, now + MAX_CALL_TRANSIT)
        elif status not in NOT_ARRIVED:
            arrivals.finished = max(arrivals.finished, now)
        if not arrivals.in_flight:
            arrivals.planned = -math.inf
