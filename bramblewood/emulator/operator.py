"""An operator's configurations, written from the protocol."""

ROUTE_FIELDS = [
    "Label",
    "Hostname",
    "PathPrefix",
    "RouteType",
    "TimeoutS",
    "TargetLatencyS",
    "Priority",
    "MaxAttempts",
    "Target",
]
SERVICE_FIELDS = ["Label", "Sharded"]


def configuration(
    revision: str,
    routes: list[list],
    services: list[list],
    service_fields: list[str] = SERVICE_FIELDS,
    **more: object,
) -> dict:
    """A configuration as it is put; routes and services as records, in the order of their fields."""
    return {
        "Revision": revision,
        "ParentVersion": 0,
        "RouteList": {"ColumnNames": ROUTE_FIELDS, "Records": routes},
        "ServiceList": {"ColumnNames": service_fields, "Records": services},
        **more,
    }
