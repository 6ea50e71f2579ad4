"""Placement: which worker serves which slice of a service's keys.

The coordinator runs one `PlacementPlanner`. It feeds proxies' reports and the worker registry to one
`ServicePlacement` a service, and turns what these decide into `SliceChanges` of the agreed slice table.
Everything here is pure: no clock, no sockets; times are handed in (s, monotonic clock).

    planner             all services: reports in, changes out
    service_placement   one service: the policy's manager, kept in step with the agreed table
    service_load        one service's requests by slice and key, as proxies report them
    worker_loads        what each worker of a service carries, and who can take more
    rebalancing         splits of hot slices and relief of overloaded workers, beside the policy's own moves
    replica_placement   which workers hold read replicas of hot keys
    slice_changes       what a move, a split or a release does to the agreed slice table
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
