"""Tests of the operator's file, of the store and ledger commands, and of the service with a durable store."""

import json
import os
import random
import subprocess
import sys

import pytest

from bramblewood import events
from bramblewood.ledger import records
from bramblewood.net.program import configuration
from bramblewood.operator import bylaws
from bramblewood.store.port import Folder
from bramblewood.store.store import Store

from .test_service import Site, config_file


@pytest.mark.parametrize(
    "text, message",
    [
        ("(store", "line 1, column 1: the text ends inside a list"),
        (")", "line 1, column 1: expected a list"),
        ('(store (folder "a)', "column 16: expected a list"),
        ("x", "line 1: expected a section"),
        ("\n(stor)", "line 2: stor: unknown section; did you mean store?"),
        ("(store)", "line 1: store.folder: "),
        ('(store (folder "a"))\n(store (folder "b"))', "line 2: store: duplicate section"),
        ('(store\n (folder "a")\n (hol 1))', "line 3: store.hol: unknown key; did you mean hold?"),
        ("(store\n (folder a))", "line 2: store.folder: expected a string"),
        ("(store folder)", "line 1: store: "),
        ('(store (folder "a")\n(hold 9))', "line 2: store.hold: expected seconds from 0 to 2, found 9"),
        (
            '(store (folder "a")\n(hold 1 2))',
            "line 2: store.hold: expected seconds from 0 to 2, found a list",
        ),
        ('(store (folder "a")\n(keep (60)))', "line 2: store.keep: "),
        ('(store (folder "a")\n(flush "apart"))', "line 2: store.flush: expected apart or in-loop"),
        ('(store (folder "a")\n(must-exist true))', "line 2: store.must-exist: expected yes or no"),
        ('(store (folder "a")\n(hold 1)\n(hold 1))', "line 3: store.hold: duplicate key"),
    ],
)
def test_error_in_operators_file_is_one_line_with_path_line_and_key(tmp_path, text, message):
    path = tmp_path / "operator.sexp"
    path.write_text(text)
    with pytest.raises(bylaws.Faulty) as raised:
        bylaws.load(str(path))
    error = str(raised.value)
    assert error.startswith(f"{path}: ") and message in error and "\n" not in error


@pytest.mark.parametrize("seed", range(30))
def test_corrupted_operators_file_loads_or_raises_one_line_error(seed, tmp_path):
    rng, path = random.Random(seed), tmp_path / "operator.sexp"
    text = open("deploy/operator.sexp", encoding="utf-8").read()
    for _ in range(20):
        offset = rng.randrange(len(text))
        path.write_text(text[:offset] + rng.choice('()";9\\é\n') + text[offset + 1 :])
        try:
            assert isinstance(bylaws.load(str(path)), bylaws.OperatorSettings)
        except bylaws.Faulty as error:
            assert "\n" not in str(error)


def test_reload_applies_reloadable_keys_and_defers_the_others(tmp_path):
    path = tmp_path / "operator.sexp"
    path.write_text('(store (folder "a"))')
    current = bylaws.load(str(path))
    path.write_text('(store (folder "b") (hold 1) (keep 90))')
    effective, at_once, at_next_start = bylaws.renewed(current, bylaws.load(str(path)))
    assert at_once == ["store.hold", "store.keep"] and at_next_start == ["store.folder"]
    assert effective.store == current.store._replace(hold=1.0, keep=90.0)
    assert bylaws.renewed(current, bylaws.OperatorSettings(str(path)))[1:] == ([], ["store"])


@pytest.fixture
def populated_store(tmp_path):
    """Returns the directory of a closed store and its key-value pairs: 300 in a table and one in the log."""
    folder = tmp_path / "store"
    store, rng, pairs = Store(Folder(str(folder)), lambda: 1000.0), random.Random(1), {}
    for k in range(300):
        pairs[b"k%04d" % k] = rng.randbytes(100).hex().encode()
        store.put(b"k%04d" % k, pairs[b"k%04d" % k])
        store.commit()
    for _ in store.compact():
        pass
    store.put(b"last", b"1")
    store.commit()
    store.close()
    return folder, {**pairs, b"last": b"1"}


def run_command(*arguments):
    """Runs a command in a separate process. Returns its exit code, stdout and stderr."""
    process = subprocess.run(
        [sys.executable, "-m", "bramblewood", *map(str, arguments)],
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert "Traceback" not in process.stderr
    return process.returncode, process.stdout, process.stderr


def test_store_commands_succeed_on_intact_store_and_exported_pairs_import_unchanged(
    populated_store, tmp_path
):
    folder, pairs = populated_store
    code, out, _ = run_command("store", "info", folder, "--json")
    info = json.loads(out)
    assert code == 0 and info["tables"] == 1 and info["batch"] == 301 and len(info["files"]) >= 5
    code, out, _ = run_command("store", "check", folder)
    assert code == 0 and out.endswith("sound\n") and "301 keys" in out
    assert run_command("store", "get", folder, "k0007") == (0, pairs[b"k0007"].decode() + "\n", "")
    assert run_command("store", "get", folder, "none")[0] == 1
    code, out, _ = run_command("store", "list", folder, "k000", "--values")
    assert code == 0 and [row.split("\t")[0] for row in out.splitlines()] == [f"k000{k}" for k in range(10)]
    assert run_command("store", "export", folder, tmp_path / "out")[0] == 0
    assert run_command("store", "import", tmp_path / "out", tmp_path / "new")[0] == 0
    reopened = Store(Folder(str(tmp_path / "new")), lambda: 1000.0)
    assert dict(reopened.scan()) == pairs
    assert run_command("store", "compact", tmp_path / "new")[0] == 2  # the test has the store open
    reopened.close()
    assert run_command("store", "compact", tmp_path / "new", "--json")[0] == 0
    data = (tmp_path / "out").read_bytes()
    for length in (0, 50, 3000, len(data) - 1, len(data) - 25):
        (tmp_path / "truncated").write_bytes(data[:length])
        code, _, err = run_command("store", "import", tmp_path / "truncated", tmp_path / "not_created")
        assert code == 2 and err.count("\n") == 1 and not (tmp_path / "not_created").exists()


def test_check_reports_damaged_record_and_repair_writes_intact_keys_to_new_directory(
    populated_store, tmp_path
):
    folder, pairs = populated_store
    table = next(path for path in folder.iterdir() if path.name.endswith(".table"))
    data = bytearray(table.read_bytes())
    data[3000] ^= 1
    table.write_bytes(data)
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    code, out, _ = run_command("store", "check", folder, "--json")
    damaged = json.loads(out)["damaged"]
    assert code == 1 and len(damaged) == 1 and damaged[0]["file"] == table.name and damaged[0]["lost"]
    assert damaged[0]["offset"] <= 3000
    code, out, _ = run_command("store", "repair", folder, tmp_path / "repaired", "--json")
    repaired = json.loads(out)
    assert code == 1 and len(repaired["lost"]) == 1 and 200 < repaired["keys"] < 301
    assert before == {path.name: path.read_bytes() for path in folder.iterdir()}
    reopened = Store(Folder(str(tmp_path / "repaired")), lambda: 1000.0)
    assert set(dict(reopened.scan()).items()) < set(pairs.items())
    reopened.close()
    assert run_command("store", "check", tmp_path / "repaired")[0] == 0
    # The target directory exists, and repair does not overwrite it.
    assert run_command("store", "repair", folder, tmp_path / "repaired")[0] == 2
    for arguments in (("store", "check", tmp_path / "nowhere"), ("store", "compact", tmp_path / "nowhere")):
        code, _, err = run_command(*arguments)
        assert code == 2 and err.count("\n") == 1


def test_ledger_show_and_explain_report_the_stored_records(tmp_path):
    folder = tmp_path / "store"
    store = Store(Folder(str(folder)), lambda: 1000.0)
    for key, record in (
        (records.worker_key(b"w", "birch"), records.Closed("draining", 5.5, 44, 990.0)),
        (records.admit_key(-1, 1), records.Admitted(1.0, 1, True, 980.0, 3, 2)),
        (records.slice_key(4), records.Lines({"alder": 1.0}, 980.0, 1)),
        (records.LIFE, records.Life(3, 970.0, 999.0, 1024, 0.0, 45, 2)),
    ):
        store.put(key, records.value_of(record))
    store.commit()
    store.close()
    code, out, _ = run_command("ledger", "show", folder, "--json")
    shown = json.loads(out)
    assert code == 0 and shown["closed"]["birch"]["version"] == 44 and shown["life"]["number"] == 3
    assert shown["admitted"][0]["table"] == -1 and shown["slices"] == {"4": {"alder": 1.0}}
    code, out, _ = run_command("ledger", "explain", folder, "birch")
    assert code == 0 and "version 44" in out and "5.500" in out
    assert run_command("ledger", "explain", folder, "oak")[0] == 1


@pytest.fixture
def site_with_store(tmp_path, monkeypatch):
    """Yields a site whose service has a durable store and flushes it in the event loop."""
    from bramblewood.net.program import service as program

    service_class = program.Service
    terms = bylaws.StoreTerms(str(tmp_path / "st"), "in-loop", False, 0.001, 0.25, 86400.0)
    settings = bylaws.OperatorSettings(str(tmp_path / "operator.sexp"), terms)
    monkeypatch.setattr(program, "Service", lambda *arguments: service_class(*arguments, bylaws=settings))
    site = Site()
    yield site
    site.close()
    for stage in site.service.stages:
        stage.close()


def test_turn_after_stage_failure_skips_the_stage_and_sends_no_retry_permission(site_with_store):
    site, stage = site_with_store, site_with_store.service.stages[0]
    sent = []
    site.service.relay_calls.submit = lambda orders: sent.extend(orders)
    site.service.manager.handle = lambda now, batch: [
        events.SetRoute(0, "s1", 1.0),
        events.SetAdmission(0, (), 1.0, events.RETRY_UNSTARTED),
        events.WorkerEjected("s1", 5.0, 1),
    ]

    def raise_defect(*_):
        raise RuntimeError("a defect")

    stage.memory.weigh = raise_defect
    site.service.inbox.append(events.TimerFired("turn"))
    site.service.turn(0)
    assert sent == [events.SetRoute(0, "s1", 1.0)]
    assert "stage failed" in [event for event, _ in site.lines]


def test_reload_rejects_invalid_operators_file_and_applies_valid_one(site_with_store, tmp_path, monkeypatch):
    site = site_with_store
    config_file(tmp_path, monkeypatch)
    path, terms = tmp_path / "operator.sexp", site.service.bylaws.store
    for text in ("(store", f'(store (folder "{terms.folder}") (flush in-loop) (hold 3))'):
        path.write_text(text)
        site.service.request_reload(1, None)
        site.wait(0.1)
        assert site.service.bylaws.store == terms
    path.write_text(f'(store (folder "{terms.folder}") (flush in-loop) (must-exist yes) (hold 1))')
    site.service.request_reload(1, None)
    site.wait(0.1)
    assert site.service.stages[0].terms.hold == 1.0
    fields = [values for event, values in site.lines if event == "new operator's file taken"]
    assert fields == [{"at_once": ["store.hold"], "at_the_next_start": ["store.must-exist"]}]


def test_serve_with_unusable_store_directory_exits_with_one_line_error(tmp_path):
    config = config_file(tmp_path, pytest.MonkeyPatch())
    (tmp_path / "file").write_text("")
    operator = tmp_path / "operator.sexp"
    operator.write_text(f'(store (folder "{tmp_path}/file/below"))')
    manager_configuration = configuration.read(path=str(config))
    assert manager_configuration.name
    process = subprocess.run(
        [sys.executable, "-m", "bramblewood", "serve", "--operator", str(operator)],
        env={**os.environ, "EDGE_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert process.returncode == 2 and process.stderr.count("\n") == 1 and "store.folder" in process.stderr
