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
    ControllerOnHangingDisk,
    LongLivedStorage,
    difference_reproduces_value,
    disk_of_schema_1,
    first_detecting_seed,
    make_storage,
    run_lifetimes,
)


@then("{count:d} disks hold exactly one written state, none older than the last acknowledged one")
def disks_hold_one_written_state(context, count, schema_1=False, min_acknowledged=10):
    acknowledged = sum(run_lifetimes(seed, schema_1) for seed in range(count))
    assert acknowledged > min_acknowledged * count, (
        "too few acknowledged batches for a test of their durability"
    )


@then(
    "{count:d} disks of schema version 1 hold exactly one written state, "
    "none older than the last acknowledged one"
)
def schema_1_disks_hold_one_written_state(context, count):
    disks_hold_one_written_state(context, count, True, 3)


@then(
    'with the fault "{fault}" at least one of {count:d} disks loses an acknowledged state '
    "or holds an unwritten one"
)
def fault_is_detected(context, fault, count):
    assert first_detecting_seed(fault, count) is not None, "no disk lost an acknowledged state"


@then("{count:d} differences, sent as JSON, reproduce the values that they were computed from")
def differences_reproduce_values(context, count):
    assert all(difference_reproduces_value(random.Random(seed)) for seed in range(count))


@given("a database with a table of {slices:d} slices")
def database_with_table(context, slices):
    context.long_lived = LongLivedStorage(slices)


@when("{count:d} moves are committed, and every 50 moves a service is emptied and refilled")
def commit_moves(context, count):
    context.long_lived.commit_moves(count, 50)


@then(
    "the database has at most {times:d} times the size of the table plus {rest:d} KiB, "
    "and the log at most {log:g} MB"
)
def sizes_are_bounded(context, times, rest, log):
    (database, log_size), table_size = context.long_lived.sizes(), len(json.dumps(context.long_lived.value))
    assert database <= times * table_size + rest * 1024 and log_size <= log * 1e6, (database, log_size)


@then("a start finds the table as it was committed")
def start_finds_table(context):
    value = context.long_lived.value
    context.long_lived.storage.database.close()
    context.long_lived.start()
    assert repr(context.long_lived.storage.stored_values["table"]) == repr(value)


@when("a value that is not JSON is committed, and then one move")
def commit_value_that_is_not_json(context):
    long_lived = context.long_lived
    row = ("table", (9,), (9,), {**long_lived.value, "n": 9, "odd": {1, 2}})
    context.problem = long_lived.storage.commit([([row], {"seen": 9}, None)])
    long_lived.commit_moves(1)


@then("the commit is refused, and a start finds the table as it was committed")
def commit_is_refused(context):
    assert context.problem.startswith("TypeError"), context.problem
    start_finds_table(context)


@when(
    "a text of {size:d} MB is added and removed, all but ten slices are removed, "
    "and {count:d} moves are committed"
)
def shrink_content(context, size, count):
    long_lived, services = context.long_lived, context.long_lived.value["s"]
    few = {name: dict([*entries.items()][:10]) for name, entries in services.items() if name == "service-0"}
    long_lived.commit({**long_lived.value, "text": "x" * size * 10**6})
    long_lived.commit({"n": long_lived.value["n"], "s": few})
    long_lived.commit_moves(count)


@then("the database has at most {rest:d} KiB, and the log at most {log:g} MB")
def files_have_shrunk(context, rest, log):
    sizes_are_bounded(context, 0, rest, log)


@when("a later program upgrades it to schema version {version:d}")
def set_schema_version(context, version):
    context.long_lived.storage.database.execute(f"pragma user_version={version}")
    context.long_lived.storage.database.close()
    context.files = {name: bytes(file.contents) for name, file in context.long_lived.disk.names.items()}


@then("a start refuses it with one line that names schema version {version:d}, and its files are unchanged")
def newer_version_is_refused(context, version):
    disk = context.long_lived.disk
    reason = str(make_storage(disk).open().err_value)
    assert f"schema version {version}" in reason and "\n" not in reason, reason
    assert {name: bytes(file.contents) for name, file in disk.names.items()} == context.files


@when("a database is opened three missing folders below an existing folder")
def open_below_missing_folders(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.calls, context.folder = [], os.path.realpath(temporary.name)
    fsync, connect = os.fsync, sqlite3.connect

    def record_fsync(descriptor):
        context.calls.append(os.path.relpath(os.readlink(f"/proc/self/fd/{descriptor}"), context.folder))
        fsync(descriptor)

    def record_connect(path, **options):
        context.calls.append("the database")
        return connect(path, **options)

    with mock.patch("os.fsync", record_fsync), mock.patch("sqlite3.connect", record_connect):
        assert Storage(os.path.join(context.folder, "a", "b", "c")).open().is_ok()


@then("each new folder was synced into its parent before the database was created")
def folders_were_synced(context):
    assert context.calls == [".", "a", "a/b", "the database"], context.calls


@then("check, show and export print the same before and after a start upgrades a disk of schema version 1")
def commands_print_the_same(context):
    disk, history = disk_of_schema_1(random.Random(1))
    with tempfile.TemporaryDirectory() as folder:
        for name, disk_file in disk.names.items():
            with open(os.path.join(folder, os.path.basename(name)), "wb") as file:
                file.write(disk_file.contents)
        run = lambda *arguments: CliRunner().invoke(storage_commands, [*arguments, folder])  # noqa: E731
        before = [run(command) for command in ("check", "show", "export")]
        storage = Storage(folder)
        facts, registers, _ = storage.open().ok_value
        assert {"facts": facts, "registers": registers} == history.states[0]
        assert storage.database.execute("pragma auto_vacuum").fetchone() == (1,)
        after = [run(command) for command in ("check", "show", "export")]
        # A controller writes these facts after the upgrade.
        facts = {
            "born": None,
            "voters": None,
            "disk": "0a0b0c0d",
        }
        assert storage.commit([([], facts, None)]) is None
        assert json.loads(run("export").output)["facts"] == {"disk": "0a0b0c0d"}
        assert run("check").output == "sound\n"
    assert [result.output for result in before] == [result.output for result in after]
    assert [result.exit_code for result in after] == [0, 0, 0] and after[0].output == "sound\n"
    config = json.loads(after[2].output)["registers"]["config"]
    assert config["value"] == history.states[0]["registers"]["config"][2]


@given("a controller whose disk hangs during a sync")
def controller_on_hanging_disk(context):
    context.hanging = ControllerOnHangingDisk()
    context.add_cleanup(context.hanging.close)


@when("it writes a promise at {now:g}")
def write_promise(context, now):
    context.hanging.promise(now)


@then("no message is sent, and the controller is current at {early:g} but not at {late:g}")
def messages_are_delayed(context, early, late):
    assert not context.hanging.sent
    is_current = context.hanging.controller.quorum_contact.is_current
    assert is_current(early) and not is_current(late)


@when("the disk responds again")
def disk_responds(context):
    context.hanging.resume()


@then("the promise is sent, survives a power cut, and the controller is current again")
def promise_is_sent(context):
    assert context.hanging.sent == [("b", PROMISE)] and context.hanging.controller.quorum_contact.is_current(
        20.0
    )
    assert context.hanging.registers_after_power_cut()["config"][0] == (1, 7, "b", 1)


@when("the power is cut")
def cut_power(context):
    context.hanging.disk.power_cut_at = context.hanging.disk.call_count - 1


@then("no message was sent, and the content from before the write is still stored")
def earlier_content_is_stored(context):
    context.hanging.resume()
    assert not context.hanging.sent
    promised, accepted, value = context.hanging.registers_after_power_cut()["config"]
    assert (accepted, value) == ((1, 3, "a", 1), {"n": 1})
    # The promise was not sent, so it may be stored or not.
    assert promised in (accepted, (1, 7, "b", 1))
