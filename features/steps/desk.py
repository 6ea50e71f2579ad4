import asyncio

from behave import given, then, when

from tests.approved import approve
from tests.desk_play import Play


@given("a desk before")
def desk(context):
    context.scripts = {
        row["worker"]: [step.strip() for step in row["script"].split(",") if step.strip()]
        for row in context.table
    }
    context.asked = []


@when("clients ask")
def asks(context):
    context.asked = [(r["method"], r["path"], r["id"], r["body"], r["fields"]) for r in context.table]


@then('the exchange is "{name}"')
def exchange(context, name):
    async def play():
        made = Play()
        await made.start(context.scripts)
        for method, path, request, body, fields in context.asked:
            await made.ask(method, path, request, body, *[f for f in fields.split("; ") if f])
        await made.end()
        return made.lines

    approve(name, asyncio.run(play()))
