import copy
import json

from behave import given, then, when

from bramblewood.controller.commands import PutConfiguration, Rejection, decode
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.http_responses import make_response
from tests.approved import approve
from tests.simulation.proxy import CONFIG


@given("a register that holds r{number:d}")
def register(context, number):
    context.stands = {"n": number, "config": {}, "past": {}}
    context.lines = []


def told(context, method, path, body):
    """What a call is answered, as `Archive.serve` would."""
    command = decode(method, path, body)
    if command.is_err():
        refusal: Rejection = command.err_value
        return f"{refusal.status} {refusal.reason}" + f" (Allow: {refusal.allow})" * bool(refusal.allow)
    if isinstance(command.ok_value, PutConfiguration):
        after, (status, reason) = apply_configuration(command.ok_value.configuration, context.stands)
        context.stands = after or context.stands
        return f"{status} {reason}".strip()
    return f"is {command.ok_value}"


def without(config, change):
    """A configuration with one thing changed: `a.b.0=value`."""
    made = copy.deepcopy(config)
    for part in filter(None, change.split("; ")):
        path, _, value = part.partition("=")
        *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
        at = made
        for step in steps:
            at = at[step]
        at[last] = json.loads(value)
    return made


@when("the operator puts")
def puts(context):
    base = {**CONFIG, "Revision": "r5", "ParentVersion": "r3"}
    for row in context.table:
        body = json.dumps(without(base, row["change"])).encode()
        body = body[: len(body) // 2] if row["what"] == "cut short" else body
        context.lines.append(f"{row['what']}: {told(context, 'PUT', '/bramblewood/config', body)}")


@when("callers send")
def sends(context):
    for row in context.table:
        answer = told(context, row["method"], row["path"], row["body"].encode())
        context.lines.append(f"{row['method']} {row['path']} {row['body']}: {answer}")


@then("a call with {much:d} bytes in any one field, in its path or method is refused within 4 KiB")
def large(context, much):
    many, path = "x" * much, "/bramblewood/instances/i-1"
    beat = {"Address": "10.0.0.1:80", "Summary": {"Target": "s"}}
    beat["Condition"] = {"Phase": "ready", "CallSeq": 4}
    fields = ["Address", "Summary", "Summary.Slots", "Condition"]
    fields += [f"Condition.{name}" for name in ("Phase", "CallSeq", "ColdLeftS")]
    calls = [("PUT", path, json.dumps(without(beat, f'{field}="{many}"'))) for field in fields]
    calls += [("PUT", path, many), ("PUT", path + many, "{}"), (many, path, ""), (many, many, "")]
    for method, at, body in calls:
        reason = decode(method, at, body.encode()).err_value.reason
        assert len(make_response(400, reason, {"Allow": "PUT, DELETE"}).body) < 4096 - 512  # for its head


@then('the answers are "{name}"')
def answers(context, name):
    approve(name, context.lines)


@then("the register holds r{number:d}")
def holds(context, number):
    assert context.stands["n"] == number
