"""A cluster of whole controllers and proxies, simulated in one process from a seed.

The real programs run, each on an event loop of its own that uses the simulated clock. The simulated
connections delay messages, block them in one direction or both, and break. Machines freeze, thaw and restart.
Simulated workers send heartbeats, deregister and lease keys, and a simulated operator puts and gets
configurations. The rules are checked at every step.
"""

from .fleet import Fleet
from .rules import RuleViolation
from .timing import TCP_USER_TIMEOUT

__all__ = ["TCP_USER_TIMEOUT", "Fleet", "RuleViolation"]
