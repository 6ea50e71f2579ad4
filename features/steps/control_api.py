import copy
import json

from behave import given, then, when

from bramblewood.controller.command_decoding import CONFIGURATION_PATH, decode
from bramblewood.controller.commands import PutConfiguration, Rejection
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.http_responses import make_response
from tests.approved import approve
from tests.simulation.proxy import CONFIG


@given("a register that holds r{number:d}")
def register(context, number):
    context.register_value = {"n": number, "config": {}, "past": {}}
    context.answers = []


def answer_to(context, method, path, body):
    """What a call is answered: the rejection, what becomes of a configuration, or the decoded command."""
    decoded = decode(method, path, body)
    if decoded.is_err():
        rejection: Rejection = decoded.err_value
        allowed = f" (Allow: {rejection.allow})" if rejection.allow else ""
        return f"{rejection.status} {rejection.reason}{allowed}"
    command = decoded.ok_value
    if isinstance(command, PutConfiguration):
        following, answer = apply_configuration(command.configuration, context.register_value)
        context.register_value = following or context.register_value
        return f"{answer.status} {answer.reason}".strip()
    return f"is {command}"


def with_changes(body, changes):
    """A JSON value with some parts changed, such as `a.b.0=value; c=value`."""
    changed = copy.deepcopy(body)
    for change in filter(None, changes.split("; ")):
        path, _, value = change.partition("=")
        *parents, last = [int(key) if key.isdigit() else key for key in path.split(".")]
        parent = changed
        for key in parents:
            parent = parent[key]
        parent[last] = json.loads(value)
    return changed


@when("the operator puts")
def put_configurations(context):
    base = {**CONFIG, "Revision": "r5", "ParentVersion": "r3"}
    for row in context.table:
        body = json.dumps(with_changes(base, row["change"])).encode()
        body = body[: len(body) // 2] if row["what"] == "cut short" else body
        context.answers.append(f"{row['what']}: {answer_to(context, 'PUT', CONFIGURATION_PATH, body)}")


@when("callers send")
def send_calls(context):
    for row in context.table:
        answer = answer_to(context, row["method"], row["path"], row["body"].encode())
        context.answers.append(f"{row['method']} {row['path']} {row['body']}: {answer}")


@then("a call with {much:d} bytes in any one field, in its path or method is rejected within 4 KiB")
def large(context, much):
    many, path = "x" * much, "/bramblewood/instances/i-1"
    heartbeat = {"Address": "10.0.0.1:80", "Summary": {"Target": "s"}}
    heartbeat["Condition"] = {"Phase": "ready", "CallSeq": 4}
    fields = ["Address", "Summary", "Summary.Slots", "Condition"]
    fields += [f"Condition.{name}" for name in ("Phase", "CallSeq", "ColdLeftS")]
    calls = [("PUT", path, json.dumps(with_changes(heartbeat, f'{field}="{many}"'))) for field in fields]
    calls += [("PUT", path, many), ("PUT", path + many, "{}"), (many, path, ""), (many, many, "")]
    for method, at, body in calls:
        reason = decode(method, at, body.encode()).err_value.reason
        assert len(make_response(400, reason, {"Allow": "PUT, DELETE"}).body) < 4096 - 512  # for its head


@then('the answers are "{name}"')
def answers(context, name):
    approve(name, context.answers)


@then("the register holds r{number:d}")
def holds(context, number):
    assert context.register_value["n"] == number
