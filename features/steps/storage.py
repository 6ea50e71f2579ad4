import json
import os
import random
import sqlite3
import tempfile
from unittest import mock

from behave import given, then, when
from click.testing import CliRunner

from bramblewood.cli.storage import storage as storage_commands
from bramblewood.controller.storage import Storage
from tests.simulation.storage_failures import (
    PROMISE,
    HangingDisk,
    LongLivedStorage,
    difference_leads_to_value,
    disk_of_schema_1,
    first_seed_found,
    play,
    storage_on,
)


@then("{count:d} disks hold exactly one state that was written, none before what was acknowledged")
def disks(context, count, old=False, each=10):
    kept = sum(play(seed, old) for seed in range(count))
    assert kept > each * count, "hardly anything was acknowledged: the cuts prove nothing"


@then(
    "{count:d} disks of schema version 1 hold exactly one state that was written, "
    "none before what was acknowledged"
)
def old_disks(context, count):
    disks(context, count, True, 3)


@then('with "{fault}" one of {count:d} disks shows it')
def fault_found(context, fault, count):
    assert first_seed_found(fault, count) is not None, "no disk lost anything"


@then("{count:d} differences, sent as JSON, lead to the value they were made for")
def differences(context, count):
    assert all(difference_leads_to_value(random.Random(seed)) for seed in range(count))


@given("a database with a table of {slices:d} slices")
def growing(context, slices):
    context.play = LongLivedStorage(slices)


@when("{count:d} moves are committed, with a service emptied and filled now and then")
def moves(context, count):
    context.play.move(count, 50)


@then("the database holds at most {times:d} times the table's text and {rest:d} KiB, and the log {log:g} MB")
def bounded(context, times, rest, log):
    (database, log_size), text = context.play.sizes(), len(json.dumps(context.play.value))
    assert database <= times * text + rest * 1024 and log_size <= log * 1e6, (database, log_size)


@then("a start finds the table as it was left")
def started(context):
    value = context.play.value
    context.play.storage.database.close()
    context.play.start()
    assert repr(context.play.storage.stored_values["table"]) == repr(value)


@when("a value that is no JSON is committed amid others")
def no_json(context):
    play = context.play
    row = ("table", (9,), (9,), {**play.value, "n": 9, "odd": {1, 2}})
    context.problem = play.storage.commit([([row], {"seen": 9}, None)])
    play.move(1)


@then("it is refused, and a start finds the table as it was left")
def not_json_refused(context):
    assert context.problem.startswith("TypeError"), context.problem
    started(context)


@when("a text of {size:d} MB comes and goes, then all but ten slices, and {count:d} moves are committed")
def shrunk(context, size, count):
    play, services = context.play, context.play.value["s"]
    few = {name: dict([*entries.items()][:10]) for name, entries in services.items() if name == "service-0"}
    play.commit({**play.value, "text": "x" * size * 10**6})
    play.commit({"n": play.value["n"], "s": few})
    play.move(count)


@then("the database holds at most {rest:d} KiB, and the log {log:g} MB")
def given_back(context, rest, log):
    bounded(context, 0, rest, log)


@when("a later program has made schema version {version:d} of it")
def later_version(context, version):
    context.play.storage.database.execute(f"pragma user_version={version}")
    context.play.storage.database.close()
    context.files = {name: bytes(inode.contents) for name, inode in context.play.disk.names.items()}


@then("it is refused with one line that names schema version {version:d}, and no byte of it has changed")
def refused(context, version):
    disk = context.play.disk
    reason = str(storage_on(disk).open().err_value)
    assert f"schema version {version}" in reason and "\n" not in reason, reason
    assert {name: bytes(inode.contents) for name, inode in disk.names.items()} == context.files


@when("a database is opened three folders deep in a folder that is there")
def deep(context):
    place = tempfile.TemporaryDirectory()
    context.add_cleanup(place.cleanup)
    context.synced, context.place = [], os.path.realpath(place.name)
    sync, connect = os.fsync, sqlite3.connect

    def fsync(port):
        context.synced.append(os.path.relpath(os.readlink(f"/proc/self/fd/{port}"), context.place))
        sync(port)

    def connected(path, **words):
        context.synced.append("the database")
        return connect(path, **words)

    with mock.patch("os.fsync", fsync), mock.patch("sqlite3.connect", connected):
        assert Storage(os.path.join(context.place, "a", "b", "c")).open().is_ok()


@then("each new folder was synced into the one above before the database was made")
def synced(context):
    assert context.synced == [".", "a", "a/b", "the database"], context.synced


@then("check, show and export tell the same of a disk of schema version 1 and of what a start makes of it")
def commands(context):
    disk, history = disk_of_schema_1(random.Random(1))
    with tempfile.TemporaryDirectory() as folder:
        for name, inode in disk.names.items():
            with open(os.path.join(folder, os.path.basename(name)), "wb") as file:
                file.write(inode.contents)
        run = lambda *words: CliRunner().invoke(storage_commands, [*words, folder])  # noqa: E731
        before = [run(command) for command in ("check", "show", "export")]
        storage = Storage(folder)
        facts, registers, _ = storage.open().ok_value
        assert {"facts": facts, "registers": registers} == history.states[0]
        assert storage.database.execute("pragma auto_vacuum").fetchone() == (1,)
        after = [run(command) for command in ("check", "show", "export")]
        facts = {"born": None, "voters": None, "disk": "0a0b0c0d"}  # as a controller goes on to write
        assert storage.commit([([], facts, None)]) is None
        assert json.loads(run("export").output)["facts"] == {"disk": "0a0b0c0d"}
        assert run("check").output == "sound\n"
    assert [result.output for result in before] == [result.output for result in after]
    assert [result.exit_code for result in after] == [0, 0, 0] and after[0].output == "sound\n"
    config = json.loads(after[2].output)["registers"]["config"]
    assert config["value"] == history.states[0]["registers"]["config"][2]


@given("a controller whose disk hangs as it syncs")
def hangs(context):
    context.play = HangingDisk()
    context.add_cleanup(context.play.end)


@when("it is to promise a proposal at {now:g}")
def promise(context, now):
    context.play.promise(now)


@then("nothing of it goes out, and at {soon:g} it may act for the controllers, at {late:g} not")
def held(context, soon, late):
    assert not context.play.sent
    is_current = context.play.controller.quorum_contact.is_current
    assert is_current(soon) and not is_current(late)


@when("the disk answers again")
def answers(context):
    context.play.answer()


@then("the promise goes out, lies there after a power cut, and the controller may act again")
def goes(context):
    assert context.play.sent == [("b", PROMISE)] and context.play.controller.quorum_contact.is_current(20.0)
    assert context.play.after_power_cut()["config"][0] == (1, 7, "b", 1)


@when("the power is cut")
def cut(context):
    context.play.disk.power_cut_at = context.play.disk.calls - 1


@then("nothing of it went out, and what lay there before lies there still")
def no_effects(context):
    context.play.answer()
    assert not context.play.sent
    promised, accepted, value = context.play.after_power_cut()["config"]
    assert (accepted, value) == ((1, 3, "a", 1), {"n": 1})
    assert promised in (accepted, (1, 7, "b", 1))  # a promise that nobody was told of may be there or not
