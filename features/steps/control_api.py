import copy
import json

from behave import given, then, when

from bramblewood.controller.command_decoding import CONFIGURATION_PATH, decode
from bramblewood.controller.commands import PutConfiguration, Rejection
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.http_responses import make_response
from tests.approved import approve
from tests.simulation.proxy import CONFIG


@given("the configuration register holds r{revision:d}")
def set_register_value(context, revision):
    context.register_value = {"n": revision, "config": {}, "past": {}}
    context.answers = []


def answer_to(context, method, path, body):
    """Returns the answer to a call as text.

    A configuration is applied to the register value of the context. No other command is executed; its text is
    that of the decoded command.
    """
    decoded = decode(method, path, body)
    if decoded.is_err():
        rejection: Rejection = decoded.err_value
        allowed = f" (Allow: {rejection.allow})" if rejection.allow else ""
        return f"{rejection.status} {rejection.reason}{allowed}"
    command = decoded.ok_value
    if isinstance(command, PutConfiguration):
        next_value, answer = apply_configuration(command.configuration, context.register_value)
        context.register_value = next_value or context.register_value
        return f"{answer.status} {answer.reason}".strip()
    return f"is {command}"


def with_changes(body, changes):
    """Returns a copy of a JSON value with some values replaced.

    changes: paths and JSON values, such as `a.b.0=value; c=value`.
    """
    changed = copy.deepcopy(body)
    for change in filter(None, changes.split("; ")):
        path, _, value = change.partition("=")
        *parents, last = [int(key) if key.isdigit() else key for key in path.split(".")]
        parent = changed
        for key in parents:
            parent = parent[key]
        parent[last] = json.loads(value)
    return changed


@when("the operator puts configurations with these changes")
def put_configurations(context):
    base = {**CONFIG, "Revision": "r5", "ParentVersion": "r3"}
    for row in context.table:
        body = json.dumps(with_changes(base, row["change"])).encode()
        body = body[: len(body) // 2] if row["case"] == "truncated body" else body
        context.answers.append(f"{row['case']}: {answer_to(context, 'PUT', CONFIGURATION_PATH, body)}")


@when("these calls are sent")
def send_calls(context):
    for row in context.table:
        answer = answer_to(context, row["method"], row["path"], row["body"].encode())
        context.answers.append(f"{row['method']} {row['path']} {row['body']}: {answer}")


@then("a call with {size:d} bytes in one field, the path or the method is rejected in less than 4 KiB")
def assert_rejection_is_short(context, size):
    long_text, path = "x" * size, "/bramblewood/instances/i-1"
    heartbeat = {"Address": "10.0.0.1:80", "Summary": {"Target": "s"}}
    heartbeat["Condition"] = {"Phase": "ready", "CallSeq": 4}
    fields = ["Address", "Summary", "Summary.Slots", "Condition"]
    fields += [f"Condition.{name}" for name in ("Phase", "CallSeq", "ColdLeftS")]
    calls = [("PUT", path, json.dumps(with_changes(heartbeat, f'{field}="{long_text}"'))) for field in fields]
    calls += [
        ("PUT", path, long_text),
        ("PUT", path + long_text, "{}"),
        (long_text, path, ""),
        (long_text, long_text, ""),
    ]
    for method, call_path, body in calls:
        reason = decode(method, call_path, body.encode()).err_value.reason
        # 512 bytes are left for the headers
        assert len(make_response(400, reason, {"Allow": "PUT, DELETE"}).body) < 4096 - 512


@then('the answers are "{name}"')
def assert_answers(context, name):
    approve(name, context.answers)


@then("the register then holds r{revision:d}")
def assert_register_revision(context, revision):
    assert context.register_value["n"] == revision
