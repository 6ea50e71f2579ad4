"""Start, configuration, signals and the turn."""
