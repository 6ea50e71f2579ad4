"""Serves many managers over the simulator's protocol, with its message names, units and ids."""
