"""Whole controllers and proxies in one process, from a seed: the real programs, each on an event loop of its
own whose clock is the simulation's.

Between them are connections that delay, hold up in one direction or both, and break; machines freeze, thaw
and restart; workers send heartbeats, deregister and lease keys; an operator puts configurations. The rules
are checked at every step.
"""

from .fleet import Fleet
from .rules import RuleViolation
from .timing import CONNECTION_PATIENCE

__all__ = ["CONNECTION_PATIENCE", "Fleet", "RuleViolation"]
