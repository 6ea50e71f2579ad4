"""Simulators and judges: whole machines in one process, from a seed, on a virtual clock and network."""
