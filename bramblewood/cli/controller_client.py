"""Calls of the commands to controllers: at inner addresses for views and orders, at Control addresses for
the configuration.

A call goes from address to address until one answers it: as PROTOCOL asks of callers of `control`, it follows
307 and goes on to the next after a failure, a 5xx, a 408 or 429.
"""

import json
import urllib.error
import urllib.request
from typing import Any, NamedTuple

from ..common.errors import BramblewoodError
from .exit_codes import PROBLEM_FOUND
from .options import load_settings
from .output import fail

ANSWER_TIMEOUT = 3.0  # s for a controller's answer
MAX_REDIRECTS = 2  # times that a call goes where a 307 points; PROTOCOL, "The operator"


class Response(NamedTuple):
    """A clear answer of a controller."""

    status: int
    body: bytes

    def json(self) -> Any:
        """The body's value; an empty map where there is no body."""
        return json.loads(self.body or b"{}")


class NoClearAnswer(BramblewoodError):
    """The call has to go elsewhere: to `location` where a 307 names one, else to the next address."""

    step = "call"

    def __init__(self, reason: str, address: str, location: str = "") -> None:
        super().__init__(f"{address}: {reason}", peer=address)
        self.location = location


def call(addresses: list[str], method: str, path: str, body: bytes | None = None) -> Response:
    """The answer of the first address that gives a clear one; ends the command where none does."""
    reason = "no address given"
    for address in addresses:
        url = f"http://{address}{path}"
        for _ in range(1 + MAX_REDIRECTS):
            try:
                return _send(address, url, method, body)
            except NoClearAnswer as problem:
                reason, url = str(problem), problem.location
            if not url:
                break
    fail(f"no archive answers: {reason}")


def _send(address: str, url: str, method: str, body: bytes | None) -> Response:
    request = urllib.request.Request(url, data=body, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT) as answer:
            return Response(answer.status, answer.read())
    except urllib.error.HTTPError as problem:
        refused = Response(problem.code, problem.read())
        if problem.code not in (307, 408, 429) and problem.code < 500:
            return refused
        location = problem.headers.get("Location", "") if problem.code == 307 else ""
        reason = f"{problem.code} {failure_reason(refused.body)}".strip()
        raise NoClearAnswer(reason, address, location) from None
    except OSError as problem:
        raise NoClearAnswer(str(getattr(problem, "reason", problem)), address) from None


def failure_reason(body: bytes) -> str:
    """The reason that a refusal gives; empty where it gives none."""
    try:
        return json.loads(body)["Failure"]
    except (ValueError, KeyError, TypeError):
        return ""


def inner_addresses(controller: str | None, boot: str | None) -> list[str]:
    """The inner address given, else those of the settings' seeds."""
    if controller:
        return [controller]
    settings = load_settings(boot)
    return [f"{ip}:{settings.peer_port}" for ip in settings.seed_hosts()]


def control_addresses(control: str | None, boot: str | None) -> list[str]:
    """The Control address given, else those of the settings' seeds."""
    return [control] if control else list(load_settings(boot).seed_addresses)


def get_view(controller: str | None, boot: str | None, name: str) -> Any:
    """What a controller shows under `/view/NAME`."""
    response = call(inner_addresses(controller, boot), "GET", f"/view/{name}")
    if response.status != 200:
        fail(f"{response.status} {failure_reason(response.body)}".strip())
    return json.loads(response.body)


def post_order(controller: str | None, boot: str | None, path: str, order: dict) -> Response:
    """The answer to an operator's order."""
    return call(inner_addresses(controller, boot), "POST", path, json.dumps(order).encode())


def get_configuration(control: str | None, boot: str | None) -> Any:
    """The configuration in force, as it was put; ends the command where there is none yet."""
    response = call(control_addresses(control, boot), "GET", "/bramblewood/config")
    if response.status != 200:
        fail("no configuration yet", PROBLEM_FOUND)
    return json.loads(response.body)


def put_configuration(control: str | None, boot: str | None, configuration: Any) -> Response:
    """The answer to a new configuration."""
    body = json.dumps(configuration).encode()
    return call(control_addresses(control, boot), "PUT", "/bramblewood/config", body)


def start_rollout(
    control: str | None, boot: str | None, service: str, version: str, seconds: float
) -> Response:
    """The answer to the order of a rollout."""
    order = {"Target": service, "TargetVersion": version, "DurationS": seconds}
    body = json.dumps(order).encode()
    return call(control_addresses(control, boot), "POST", "/bramblewood/rollouts", body)
