"""The command line: its overview, what a start imports, earlier names."""

import http.server
import inspect
import json
import os
import subprocess
import sys
import tempfile
import threading

from behave import given, then, when
from click.testing import CliRunner

from bramblewood.cli.app import app
from bramblewood.cli.command_names import EARLIER_NAMES, GATEWAY_COMMANDS, MANAGER_COMMANDS, current_name
from bramblewood.cli.gateway import gateway
from bramblewood.cli.overview import overview
from bramblewood.controller.storage import Storage
from bramblewood.emulator.operator import configuration
from tests.approved import approve

ROUTES = [
    ["a", "h", "/a/", "pure", 2, 0.5, 1, 2, "s"],
    ["b", "h", "/b/", "pure", 2, 0.5, 1, 2, "t"],
]


def worker(service: str, address: str, phase: str, silent: bool) -> dict:
    return {
        "service": service,
        "address": address,
        "zone": "z",
        "slots": 4,
        "phase": phase,
        "seq": 3,
        "cold": 0.0,
        "revision": "v1",
        "heard": 0.4,
        "silent": silent,
    }


def plan(state: str, why: str) -> dict:
    under_way = {"10.0.0.8": [2, 1, 0.3]}
    waits = {"step": "closing", "sending": ["10.0.0.9"], "keys": True, "under way": under_way}
    done = {"step": "out", "sending": [], "keys": False, "under way": {}}
    return {"service": "s", "state": state, "why": why, "wave": 2, "workers": {"w1": waits, "w2": done}}


TABLE = {
    "n": 5,
    "s": {
        "s": {"0": ["w1", "", 0.0, 4, "", ""], "32768": ["w2", "w1", 0.0, 5, "h", "w3"]},
        "t": {"0": ["w4", "w5", 0.5, 2, "", ""]},
    },
}
VIEWS = {
    "roll": {
        "w1": worker("s", "10.0.1.1:80", "ready", False),
        "w2": worker("s", "10.0.1.2:80", "draining", True),
        "w4": worker("t", "10.0.1.4:80", "ready", False),
        "w5": worker("t", "10.0.1.5:80", "ready", False),
    },
    "table": TABLE,
    "holds": [{"service": "s", "from": 0, "life": "w1", "until": 4.2}],
    "plans": {"night": plan("running", ""), "noon": plan("ended", "stopped by an operator")},
    "sessions": {
        "me": "10.0.0.4",
        "whole": True,
        "votes": True,
        "scribe": "10.0.0.5",
        "voters": ["10.0.0.4", "10.0.0.5"],
        "archives": {"10.0.0.5": {"heard": 0.1, "whole": True}, "10.0.0.6": {"heard": 7.5, "whole": False}},
        "desks": ["10.0.0.8", "10.0.0.9"],
    },
    "history": {"2": "b2", "10": "aa", "1": "c3"},
}
CONFIGURATION = configuration("r10", ROUTES, [["s", True], ["t", None]])
PLANNED = {"Waves": [["w1", "w2"], ["w4"]], "Failure": "2 workers stay, 3 are needed"}


class ViewHandler(http.server.BaseHTTPRequestHandler):
    """A controller's inner and Control addresses in one, with answers that never change."""

    def respond(self, status: int, value: object) -> None:
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        if self.path == "/bramblewood/config":
            return self.respond(200, CONFIGURATION)
        name = self.path.removeprefix("/view/")
        self.respond(200 if name in VIEWS else 404, VIEWS.get(name, {}))

    def do_POST(self) -> None:
        order = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if order["Do"] == "plan":
            return self.respond(200, PLANNED)
        refused = order["Name"] == "refused"
        self.respond(409 if refused else 200, {"Failure": "no plan refused"} if refused else {})

    def log_message(self, format: str, *args: object) -> None:
        pass


def first_sentence(text: str) -> str:
    return f"{' '.join(inspect.cleandoc(text).split()).partition('. ')[0].removesuffix('.')}."


@then("the overview lists every command of the gateway and of the manager with its summary")
def lists_all(context):
    listed = " ".join(overview().split())
    for name, (_, summary) in GATEWAY_COMMANDS.items():
        assert summary == first_sentence(gateway.get_command(None, name).help), name
        assert f"{name} {summary}" in listed, name
    help_of = {command.callback.__name__: command.callback.__doc__ for command in app.registered_commands}
    help_of |= {group.name: group.typer_instance.info.help for group in app.registered_groups}
    assert help_of.keys() == MANAGER_COMMANDS.keys()
    for name, summary in MANAGER_COMMANDS.items():
        assert summary == first_sentence(help_of[name]), name
        assert f"{name} {summary}" in listed, name
    assert not any(f" {earlier} " in listed for earlier in EARLIER_NAMES)


def python(code: str, *arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-c", code, *arguments], capture_output=True, text=True, timeout=30, check=False
    )


def run_main(prelude: str, *arguments: str) -> subprocess.CompletedProcess:
    """`bramblewood ARGUMENTS` in a process of its own, after `prelude`."""
    return python(f"import sys\n{prelude}\nfrom bramblewood.__main__ import run\nrun()", *arguments)


@then("the overview is printed without click and without typer")
def without_libraries(context):
    done = run_main("sys.modules['click'] = sys.modules['typer'] = None", "--help")
    assert (done.returncode, done.stdout) == (0, f"{overview()}\n"), done.stderr


@then('a start of "{program}" imports of the commands only "{modules}"')
def imports(context, program, modules):
    report = (
        "import atexit\n"
        "names = lambda: sorted(name[16:] for name in sys.modules if name.startswith('bramblewood.cli.'))\n"
        "atexit.register(lambda: print(*names()))"
    )
    done = run_main(report, program, "--boot", "/nonexistent")
    assert done.returncode == 2, done
    assert done.stdout.split() == sorted([*modules.split(), "command_names", "gateway"]), done.stdout


@then('"{one}" and "{other}" open their listeners early, and "{neither}" opens none')
def early(context, one, other, neither):
    report = (
        "import bramblewood.common.listeners as listeners\n"
        "listeners.open_listeners_early = lambda names: print('early', *names, "
        "'bramblewood.cli.gateway' in sys.modules) or {}"
    )
    for program in (one, other):
        assert run_main(report, program).stdout == "early Front ReadyProbe False\n"
    assert run_main(report, neither).stdout == ""


@given("a controller that shows fixed views")
def fixed_views(context):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ViewHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.address = f"127.0.0.1:{server.server_address[1]}"


def call(words: str, address: str, controller_option: str):
    """One command with the options that it takes."""
    arguments = words.split()
    if arguments[0] == "explain" or arguments[:2] == ["config", "get"]:
        arguments += ["--control", address]
    if arguments[:2] != ["config", "get"]:
        arguments += [controller_option, address]
    return CliRunner().invoke(gateway, arguments)


@when("these commands are called, each by its present and its earlier name")
def calls(context):
    context.called = [
        (
            row["present"],
            row["earlier"],
            call(row["present"], context.address, "--controller"),
            call(row["earlier"], context.address, "--archive"),
        )
        for row in context.table
    ]


def notice(earlier: str) -> str:
    """The line on standard error for this call by an earlier name."""
    name = earlier.split()[0]
    return f"bramblewood: `{name}` is now called `{current_name(name)}`\n" if name in EARLIER_NAMES else ""


@then('both print the same, an earlier name that differs names the present one, and it is "{name}"')
def same_output(context, name):
    lines = []
    for present, earlier, now, before in context.called:
        assert all(isinstance(one.exception, SystemExit | None) for one in (now, before)), present
        assert (now.exit_code, now.stdout) == (before.exit_code, before.stdout), present
        assert before.stderr == notice(earlier) + now.stderr, before.stderr
        lines += [f"$ {present}", *now.output.splitlines(), f"exit code {now.exit_code}", ""]
    approve(name, lines)


@given("a controller's folder")
def folder(context):
    place = tempfile.TemporaryDirectory()
    context.add_cleanup(place.cleanup)
    context.folder = os.path.join(place.name, "data")
    storage = Storage(context.folder)
    storage.open().unwrap()
    value = {"n": 1, "config": configuration("r1", ROUTES, [["s", True]]), "past": {"1": "0"}}
    assert storage.commit([([("config", (1, "a", 1), (1, "a", 1), value)], {"disk": "5e21"}, None)]) is None
    storage.database.close()


@then("storage check, show and export answer alike under their earlier name")
def storage_alike(context):
    for words in ("check", "check --json", "show", "show --json", "export"):
        now, before = (
            CliRunner().invoke(gateway, [name, *words.split(), context.folder])
            for name in ("storage", "shelf")
        )
        assert now.exit_code == before.exit_code == 0, (words, now.output)
        assert now.stdout == before.stdout and now.stdout.strip(), words
        assert (now.stderr, before.stderr) == ("", notice("shelf")), before.stderr
