"""Placement decides which worker serves which slice of a service's keys.

The coordinator runs one `PlacementPlanner`. The planner passes the proxies' reports and the worker registry
to one `ServicePlacement` per service, and turns their decisions into `SliceChanges` of the agreed slice
table.

A slice is a range of keys and is identified by its first key. The heat of a slice is the policy's estimate
of the requests per second that it receives. A keyed service (`Service.keyed`) is sliced by the keys of its
requests, and each of its slices has one owner at a time. Other services are sliced by a hash of the request
id.

No module of this package does I/O or reads a clock. Callers pass the time, in s of the monotonic clock.

    planner             converts reports into changes of the slice table, for all services
    service_placement   runs the policy's manager for one service, updated from the agreed table
    service_load        holds one service's request counts by key range and by key, as proxies report them
    worker_loads        holds the load of each worker of a service, and finds workers with spare capacity
    rebalancing         splits hot slices and offloads overloaded workers, in addition to the policy's moves
    replica_placement   chooses the workers that hold read replicas of hot keys
    slice_changes       applies moves, splits and releases to the agreed slice table
"""

from .planner import PlacementPlanner
from .service_load import worker_report
from .slice_changes import (
    Assignment,
    SliceChanges,
    SliceSplit,
    apply_slice_changes,
    clear_previous_owner,
    raise_fencing_tokens,
)

__all__ = [
    "Assignment",
    "PlacementPlanner",
    "SliceChanges",
    "SliceSplit",
    "apply_slice_changes",
    "clear_previous_owner",
    "raise_fencing_tokens",
    "worker_report",
]
