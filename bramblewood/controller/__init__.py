"""The controller (control plane): keeps the agreed state and decides which worker serves what."""
