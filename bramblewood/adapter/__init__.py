"""The simulator's wire: its message names, units and ids, and many managers in one process. No decisions."""
