"""Measurements, each a ratio to a plain baseline in the same run: `python -m benchmarks.store`."""
