"""bramblewood: a central planner that tells plain proxies which worker serves which slice of keys."""

__version__ = "0.3.0"
