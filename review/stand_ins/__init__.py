"""Stand-ins of the cases: a small deployment, its platform and operator, workers and clients."""
