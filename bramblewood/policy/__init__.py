"""The placement policy, one concern per module. The manager in service and the controller both use it."""
