"""The emulator: audit, scenarios, fleets of two releases."""

import asyncio
import pathlib
import tempfile
from unittest import mock

from behave import given, then, when
from click.testing import CliRunner

from bramblewood.cli.gateway import gateway
from bramblewood.emulator.audit import Attempt, audit
from bramblewood.emulator.effect_log import Effect
from bramblewood.emulator.events import EventLog
from bramblewood.emulator.faults import FaultInjector
from bramblewood.emulator.machines import Machines
from bramblewood.emulator.processes import CURRENT, earlier_release, start
from bramblewood.emulator.scenario import needs_previous, scenario_of
from tests.approved import approve

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "example" / "lab"
HOT_KEY_SCENARIO = EXAMPLES / "club-crush.toml"
MIXED_FLEETS = {"rolling-upgrade.toml", "rolling-rollback.toml"}
# stands for an earlier text: it says how it was called, from which folder and with which settings
EARLIER_MAIN = "import os, sys\nprint(sys.argv[1:], os.getcwd(), os.environ['BRAMBLEWOOD_BOOT'])\n"


@given("clients' attempts")
def attempts(context):
    context.attempts = [
        Attempt(
            "pay" if int(row["effect"]) else "look",
            int(row["effect"]),
            row["order"],
            row["attempt"],
            "s",
            int(row["key"]),
            float(row["sent"]),
            float(row["ended"]),
            int(row["status"]),
            int(row["entries"]) if row["entries"] else None,
        )
        for row in context.table
    ]
    context.worker_ends = {}


@given("effects that ran")
def effects(context):
    context.effects = [
        Effect(row["order"], row["attempt"], int(row["key"]), "pay", 1, row["worker"], float(row["at"]))
        for row in context.table
    ]


@when("worker {worker} ended at {at:g}")
def worker_ended(context, worker, at):
    context.worker_ends[worker] = at


@then('the audit is "{name}"')
def audited(context, name):
    findings = audit(context.attempts, {"s": context.effects}, context.worker_ends)
    approve(name, [" | ".join(finding) for finding in findings])


@then('"{text}" is refused with "{why}"')
def refused(context, text, why):
    rest = 'name = "x"\nservices = []\nrequests = []\n'
    assert scenario_of((rest + text).encode()).err_value == why


@then("a fault at a machine that is not there is refused with its place")
def unknown_machine(context):
    text = HOT_KEY_SCENARIO.read_text()
    assert scenario_of(text.encode()).is_ok()
    why = scenario_of(text.replace('who = "desk-2"', 'who = "desk-9"').encode()).err_value
    assert why.startswith("faults.1.who: expected one of archive-1, "), why


@then("a lost disk of a proxy is refused, and a controller that only a replacement brings is known")
def no_disk(context):
    text = HOT_KEY_SCENARIO.read_text()
    lost = text.replace('"kill", who = "desk-2"', '"lose disk", who = "desk-2"')
    why = scenario_of(lost.encode()).err_value
    assert why.endswith("archive-1, archive-2, archive-3, found 'desk-2'"), why
    later = text.replace('who = "archive-1"', 'who = "archive-4"')
    brought = later.replace('"kill", who = "desk-2"', '"replace", who = "archive-2"')
    assert scenario_of(later.encode()).is_err() and scenario_of(brought.encode()).is_ok()


@then("a restart of a worker, and a worker of an earlier release, are refused with their places")
def no_worker_releases(context):
    text = (EXAMPLES / "rolling-upgrade.toml").read_text()
    for before, after, place in (
        ('who = "desk-1"', 'who = "padron-1"', "restarts.1.who: expected one of archive-1, "),
        ('previous = ["archive-1"', 'previous = ["padron-1"', "previous.0: expected one of archive-1, "),
    ):
        assert before in text
        why = scenario_of(text.replace(before, after).encode()).err_value
        assert why.startswith(place) and why.endswith("found 'padron-1'"), why


@given("a checkout of an earlier release")
def earlier_checkout(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name).resolve()
    package = context.folder / "bramblewood"
    package.mkdir()
    (package / "__init__.py").touch()
    (package / "__main__.py").write_text(EARLIER_MAIN)


@when("a proxy and a controller are started from it, and from this text")
def start_both(context):
    earlier = earlier_release(str(context.folder))

    async def log_of(command: str, checkout: pathlib.Path) -> str:
        log = context.folder / f"{command}.log"
        process = await start([command], "/nonexistent", str(log), checkout)
        await process.wait()
        return log.read_text()

    async def all_logs() -> dict[str, str]:
        releases = [(release, role) for release in (earlier, CURRENT) for role in ("proxy", "controller")]
        commands = [(getattr(release, role), release.checkout) for release, role in releases]
        logs = await asyncio.gather(*(log_of(command, checkout) for command, checkout in commands))
        return dict(zip((command for command, _ in commands), logs, strict=True))

    context.logs = asyncio.run(all_logs())


@then(
    'the earlier release was called "{proxy}" and "{controller}" in its folder, and this text '
    '"{new_proxy}" and "{new_controller}"'
)
def started_from(context, proxy, controller, new_proxy, new_controller):
    assert context.logs.keys() == {proxy, controller, new_proxy, new_controller}
    for command in (proxy, controller):
        assert context.logs[command] == f"['{command}'] {context.folder} /nonexistent\n", context.logs
    for command in (new_proxy, new_controller):
        assert "/nonexistent: No such file or directory" in context.logs[command], context.logs


@then('a run of "{upgrade}" and of "{rollback}" without --previous ends with exit code {code:d}')
def not_without_previous(context, upgrade, rollback, code):
    for name in (upgrade, rollback):
        result = CliRunner().invoke(gateway, ["emulator", "run", str(EXAMPLES / name)])
        assert result.exit_code == code, result.output
        assert result.stderr.endswith("--previous must name a checkout of it\n"), result.stderr


@then("so does one whose --previous names a folder that is no checkout")
def no_checkout(context):
    with tempfile.TemporaryDirectory() as folder:
        arguments = ["emulator", "run", str(EXAMPLES / "rolling-upgrade.toml"), "--previous", folder]
        result = CliRunner().invoke(gateway, arguments)
        assert result.exit_code == 2, result.output
        assert result.stderr == f"bramblewood: {folder}: no checkout of bramblewood\n", result.stderr


@then("each example scenario is accepted, and only these two need --previous")
def examples(context):
    scenarios = {path.name: scenario_of(path.read_bytes()) for path in EXAMPLES.glob("*.toml")}
    assert all(scenario.is_ok() for scenario in scenarios.values()), scenarios
    need = {name for name, scenario in scenarios.items() if needs_previous(scenario.ok_value)}
    assert need == MIXED_FLEETS and len(scenarios) > len(need), need


@when("the restarts of a machine to each release are played on processes that note what is done")
def restarts(context):
    context.done = []
    scenario = scenario_of(HOT_KEY_SCENARIO.read_bytes()).ok_value
    machines = Machines(scenario, 1, "/nonexistent", 0)
    earlier = earlier_release("/nonexistent")

    async def terminate(name: str) -> int:
        context.done.append(("terminate", name, machines.releases.get(name, CURRENT)))
        return 0

    async def start_program(name: str) -> None:
        context.done.append(("start", name, machines.releases[name]))

    async def play() -> None:
        injector = FaultInjector(machines, EventLog(lambda line: None), earlier)
        for release in ("previous", "current"):
            await injector.restart({"at": 0, "who": "desk-1", "release": release, "for_s": 0})

    with (
        mock.patch.object(machines, "terminate", terminate),
        mock.patch.object(machines, "start", start_program),
    ):
        asyncio.run(play())
    context.earlier = earlier


@then("each is terminated, waited for, and started from its release")
def restarted(context):
    earlier = context.earlier
    assert context.done == [
        ("terminate", "desk-1", CURRENT),
        ("start", "desk-1", earlier),
        ("terminate", "desk-1", earlier),
        ("start", "desk-1", CURRENT),
    ], context.done
