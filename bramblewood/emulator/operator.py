"""An operator's configurations, written from the protocol."""

from .scenario import Scenario

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
EMULATOR_SERVICE_FIELDS = ["Label", "Sharded", "MaxConns", "HealthPath", "ReadCopies"]
MAX_CONNECTIONS = 200  # of a proxy to a worker
MAX_ATTEMPTS = 2  # of a proxy for one request
HOST = "lab.example"  # of all the emulator's routes


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


def scenario_configuration(scenario: Scenario, revision: int) -> dict:
    """The configuration of a scenario's requests and services, as the successor of the revision before."""
    routes = [
        [
            request["name"],
            HOST,
            f"/{request['name']}/",
            "effectful" if request.get("adds") else "pure",
            request["deadline_s"],
            request["aim_s"],
            request.get("priority", 1),
            MAX_ATTEMPTS,
            request["service"],
            request.get("stays"),
        ]
        for request in scenario["requests"]
    ]
    services = [
        [service["name"], service.get("keyed"), MAX_CONNECTIONS, "/health", service.get("copies")]
        for service in scenario["services"]
    ]
    made = configuration(f"r{revision}", routes, services, EMULATOR_SERVICE_FIELDS)
    made["ParentVersion"] = f"r{revision - 1}" if revision > 1 else 0
    made["RouteList"]["ColumnNames"] = [*ROUTE_FIELDS, "Pinned"]
    return made
