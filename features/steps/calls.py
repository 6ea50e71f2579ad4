import copy
import json

from behave import given, then, when

from bramblewood.archive.accession import PutConfig, Refusal, decode, succeed
from bramblewood.archive.program import answer
from tests.approved import approve
from tests.desk_play import CONFIG


@given("a register that holds r{number:d}")
def register(context, number):
    context.stands = {"n": number, "config": {}, "past": {}}
    context.lines = []


def told(context, method, path, body):
    """What a call is answered, as `Archive.serve` would."""
    command = decode(method, path, body)
    if command.is_err():
        refusal: Refusal = command.err_value
        return f"{refusal.status} {refusal.reason}" + f" (Allow: {refusal.allow})" * bool(refusal.allow)
    if isinstance(command.ok_value, PutConfig):
        after, (status, reason) = succeed(command.ok_value.edition, context.stands)
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


@when("a worker's call holds 60,000 bytes in any one of its fields, or under any odd name, path or method")
def large(context):
    much, path = "x" * 60_000, "/bramblewood/instances/i-1"
    beat = {
        "Address": "10.0.0.1:80",
        "Summary": {"Target": "s", "Zone": "z", "Revision": "v1", "Slots": 2},
        "Condition": {"Phase": "ready", "CallSeq": 4, "ColdLeftS": 0},
    }
    bodies = [without(beat, f"{at}={json.dumps(much)}") for at in ("Address", "Summary", "Condition", much)]
    for part in ("Summary", "Condition"):
        bodies += [without(beat, f"{part}.{name}={json.dumps(much)}") for name in [*beat[part], much]]
    calls = [("PUT", path, json.dumps(body)) for body in [*bodies, [much], much]]
    calls += [("PUT", path, much), ("PUT", path + much, "{}"), (much, path, ""), (much, much, "")]
    context.told = [decode(method, path, body.encode()) for method, path, body in calls]


@then("each answer is a 2xx or has its reason, in 4 KiB with its head")
def small(context):
    reasons = [told.err_value.reason for told in context.told if told.is_err()]
    assert len(reasons) >= 10 and all(reasons)
    most = max(len(answer(400, reason, {"Allow": "PUT, DELETE"}).body) for reason in reasons)
    assert most < 4096 - 512, most


@then('the answers are "{name}"')
def answers(context, name):
    approve(name, context.lines)


@then("the register holds r{number:d}")
def holds(context, number):
    assert context.stands["n"] == number
