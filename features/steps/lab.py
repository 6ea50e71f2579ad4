import pathlib

from behave import given, then, when

from bramblewood.emulator.audit import Try, audit
from bramblewood.emulator.effect_log import Line
from bramblewood.emulator.scenario import scenario_of
from tests.approved import approve

CRUSH = pathlib.Path(__file__).parent.parent.parent / "example" / "lab" / "club-crush.toml"


@given("clients' tries")
def tries(context):
    context.tries = [
        Try(
            "pay" if int(r["effect"]) else "look",
            int(r["effect"]),
            r["order"],
            r["attempt"],
            "s",
            int(r["key"]),
            float(r["sent"]),
            float(r["ended"]),
            int(r["status"]),
            int(r["lines"]) if r["lines"] else None,
        )
        for r in context.table
    ]
    context.ends = {}


@given("lines in the ledger")
def lines(context):
    context.lines = [
        Line(r["order"], r["attempt"], int(r["key"]), "pay", 1, r["worker"], float(r["at"]))
        for r in context.table
    ]


@when("{worker} ended at {at:g}")
def ended(context, worker, at):
    context.ends[worker] = at


@then('the audit is "{name}"')
def audited(context, name):
    approve(
        name, [" | ".join(finding) for finding in audit(context.tries, {"s": context.lines}, context.ends)]
    )


@then('"{text}" is refused with "{why}"')
def refused(context, text, why):
    rest = 'name = "x"\nservices = []\nrequests = []\n'
    assert scenario_of((rest + text).encode()).err_value == why


@then("a fault at a machine that is not there is refused with its place")
def nobody(context):
    text = CRUSH.read_text()
    assert scenario_of(text.encode()).is_ok()
    why = scenario_of(text.replace('who = "desk-2"', 'who = "desk-9"').encode()).err_value
    assert why.startswith("faults.1.who: expected one of archive-1, "), why


@then("so is a lost disk of a desk, and an archive that only a replacement brings is known")
def no_disk(context):
    text = CRUSH.read_text()
    lost = text.replace('"kill", who = "desk-2"', '"lose disk", who = "desk-2"')
    why = scenario_of(lost.encode()).err_value
    assert why.endswith("archive-1, archive-2, archive-3, found 'desk-2'"), why
    later = text.replace('who = "archive-1"', 'who = "archive-4"')
    brought = later.replace('"kill", who = "desk-2"', '"replace", who = "archive-2"')
    assert scenario_of(later.encode()).is_err() and scenario_of(brought.encode()).is_ok()
