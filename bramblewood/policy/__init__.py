"""All decisions of placement, by concern: used by the manager in service and by the controller."""
