"""The operator's file, the commands on a store, and the service with its stages."""

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
    "text, words",
    [
        ("(store", "line 1, column 1: the text ends inside a list"),
        (")", "line 1, column 1: expected a list"),
        ('(store (folder "a)', "column 16: expected a list"),
        ("x", "line 1: expected a section"),
        ("\n(stor)", "line 2: stor: no such section; did you mean store?"),
        ("(store)", "line 1: store.folder: "),
        ('(store (folder "a"))\n(store (folder "b"))', "line 2: store: it is there twice"),
        ('(store\n (folder "a")\n (hol 1))', "line 3: store.hol: no such key; did you mean hold?"),
        ("(store\n (folder a))", "line 2: store.folder: expected a text"),
        ("(store folder)", "line 1: store: "),
        ('(store (folder "a")\n(hold 9))', "line 2: store.hold: expected seconds from 0 to 2, found 9"),
        (
            '(store (folder "a")\n(hold 1 2))',
            "line 2: store.hold: expected seconds from 0 to 2, found a list",
        ),
        ('(store (folder "a")\n(keep (60)))', "line 2: store.keep: "),
        ('(store (folder "a")\n(flush "apart"))', "line 2: store.flush: expected apart or in-loop"),
        ('(store (folder "a")\n(must-exist true))', "line 2: store.must-exist: expected yes or no"),
        ('(store (folder "a")\n(hold 1)\n(hold 1))', "line 3: store.hold: it is there twice"),
    ],
)
def test_a_faulty_key_of_the_operators_file_is_named_with_its_line(tmp_path, text, words):
    path = tmp_path / "operator.sexp"
    path.write_text(text)
    with pytest.raises(bylaws.Faulty) as found:
        bylaws.load(str(path))
    said = str(found.value)
    assert said.startswith(f"{path}: ") and words in said and "\n" not in said


@pytest.mark.parametrize("seed", range(30))
def test_a_spoilt_file_is_one_faulty_line_or_a_checked_value(seed, tmp_path):
    dice, path = random.Random(seed), tmp_path / "operator.sexp"
    text = open("deploy/operator.sexp", encoding="utf-8").read()
    for _ in range(20):
        at = dice.randrange(len(text))
        path.write_text(text[:at] + dice.choice('()";9\\é\n') + text[at + 1 :])
        try:
            assert isinstance(bylaws.load(str(path)), bylaws.Bylaws)
        except bylaws.Faulty as problem:
            assert "\n" not in str(problem)


def test_what_a_signal_lets_act_at_once_and_what_waits(tmp_path):
    path = tmp_path / "operator.sexp"
    path.write_text('(store (folder "a"))')
    was = bylaws.load(str(path))
    path.write_text('(store (folder "b") (hold 1) (keep 90))')
    held, now, later = bylaws.renewed(was, bylaws.load(str(path)))
    assert now == ["store.hold", "store.keep"] and later == ["store.folder"]
    assert held.store == was.store._replace(hold=1.0, keep=90.0)
    assert bylaws.renewed(was, bylaws.Bylaws(str(path)))[1:] == ([], ["store"])


@pytest.fixture
def kept(tmp_path):
    """A folder with a few hundred records in a table and a log."""
    folder = tmp_path / "store"
    store, dice, pairs = Store(Folder(str(folder)), lambda: 1000.0), random.Random(1), {}
    for k in range(300):
        pairs[b"k%04d" % k] = dice.randbytes(100).hex().encode()
        store.put(b"k%04d" % k, pairs[b"k%04d" % k])
        store.commit()
    for _ in store.compact():
        pass
    store.put(b"last", b"1")
    store.commit()
    store.close()
    return folder, {**pairs, b"last": b"1"}


def run(*words):
    done = subprocess.run(
        [sys.executable, "-m", "bramblewood", *map(str, words)], timeout=60, capture_output=True, text=True
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout, done.stderr


def test_the_commands_on_a_sound_folder_and_back_out_of_an_export(kept, tmp_path):
    folder, pairs = kept
    code, out, _ = run("store", "info", folder, "--json")
    found = json.loads(out)
    assert code == 0 and found["tables"] == 1 and found["batch"] == 301 and len(found["files"]) >= 5
    code, out, _ = run("store", "check", folder)
    assert code == 0 and out.endswith("sound\n") and "301 keys" in out
    assert run("store", "get", folder, "k0007") == (0, pairs[b"k0007"].decode() + "\n", "")
    assert run("store", "get", folder, "none")[0] == 1
    code, out, _ = run("store", "list", folder, "k000", "--values")
    assert code == 0 and [row.split("\t")[0] for row in out.splitlines()] == [f"k000{k}" for k in range(10)]
    assert run("store", "export", folder, tmp_path / "out")[0] == 0
    assert run("store", "import", tmp_path / "out", tmp_path / "new")[0] == 0
    again = Store(Folder(str(tmp_path / "new")), lambda: 1000.0)
    assert dict(again.scan()) == pairs
    assert run("store", "compact", tmp_path / "new")[0] == 2  # another process has it open
    again.close()
    assert run("store", "compact", tmp_path / "new", "--json")[0] == 0
    data = (tmp_path / "out").read_bytes()
    for cut in (0, 50, 3000, len(data) - 1, len(data) - 25):
        (tmp_path / "cut").write_bytes(data[:cut])
        code, _, err = run("store", "import", tmp_path / "cut", tmp_path / "never")
        assert code == 2 and err.count("\n") == 1 and not (tmp_path / "never").exists()


def test_a_damaged_folder_is_named_record_by_record_and_repaired_beside(kept, tmp_path):
    folder, pairs = kept
    table = next(path for path in folder.iterdir() if path.name.endswith(".table"))
    data = bytearray(table.read_bytes())
    data[3000] ^= 1
    table.write_bytes(data)
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    code, out, _ = run("store", "check", folder, "--json")
    found = json.loads(out)["damaged"]
    assert code == 1 and len(found) == 1 and found[0]["file"] == table.name and found[0]["lost"]
    assert found[0]["offset"] <= 3000
    code, out, _ = run("store", "repair", folder, tmp_path / "repaired", "--json")
    told = json.loads(out)
    assert code == 1 and len(told["lost"]) == 1 and 200 < told["keys"] < 301
    assert before == {path.name: path.read_bytes() for path in folder.iterdir()}
    again = Store(Folder(str(tmp_path / "repaired")), lambda: 1000.0)
    assert set(dict(again.scan()).items()) < set(pairs.items())
    again.close()
    assert run("store", "check", tmp_path / "repaired")[0] == 0
    assert run("store", "repair", folder, tmp_path / "repaired")[0] == 2  # never over something
    for words in (("store", "check", tmp_path / "nowhere"), ("store", "compact", tmp_path / "nowhere")):
        code, _, err = run(*words)
        assert code == 2 and err.count("\n") == 1


def test_what_is_remembered_and_made_of_it_is_shown(tmp_path):
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
    code, out, _ = run("ledger", "show", folder, "--json")
    found = json.loads(out)
    assert code == 0 and found["closed"]["birch"]["version"] == 44 and found["life"]["number"] == 3
    assert found["admitted"][0]["table"] == -1 and found["slices"] == {"4": {"alder": 1.0}}
    code, out, _ = run("ledger", "explain", folder, "birch")
    assert code == 0 and "version 44" in out and "5.500" in out
    assert run("ledger", "explain", folder, "oak")[0] == 1


@pytest.fixture
def kept_site(tmp_path, monkeypatch):
    from bramblewood.net.program import service as program

    real = program.Service
    terms = bylaws.StoreTerms(str(tmp_path / "st"), "in-loop", False, 0.001, 0.25, 86400.0)
    told = bylaws.Bylaws(str(tmp_path / "operator.sexp"), terms)
    monkeypatch.setattr(program, "Service", lambda *words: real(*words, bylaws=told))
    site = Site()
    yield site
    site.close()
    for stage in site.service.stages:
        stage.close()


def test_a_stage_that_raises_is_passed_over_and_lets_no_further_try_through(kept_site):
    site, stage = kept_site, kept_site.service.stages[0]
    sent = []
    site.service.relay_calls.submit = lambda orders: sent.extend(orders)
    site.service.manager.handle = lambda now, batch: [
        events.SetRoute(0, "s1", 1.0),
        events.SetAdmission(0, (), 1.0, events.RETRY_UNSTARTED),
        events.WorkerEjected("s1", 5.0, 1),
    ]

    def defect(*_):
        raise RuntimeError("a defect")

    stage.memory.weigh = defect
    site.service.inbox.append(events.TimerFired("turn"))
    site.service.turn(0)
    assert sent == [events.SetRoute(0, "s1", 1.0)]
    assert "stage failed" in [what for what, _ in site.lines]


def test_a_signal_takes_the_operators_file_whole_or_not_at_all(kept_site, tmp_path, monkeypatch):
    site = kept_site
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
    said = [more for what, more in site.lines if what == "new operator's file taken"]
    assert said == [{"at_once": ["store.hold"], "at_the_next_start": ["store.must-exist"]}]


def test_a_folder_that_cannot_be_used_is_one_line_at_the_start(tmp_path):
    config = config_file(tmp_path, pytest.MonkeyPatch())
    (tmp_path / "file").write_text("")
    operator = tmp_path / "operator.sexp"
    operator.write_text(f'(store (folder "{tmp_path}/file/below"))')
    told = configuration.read(path=str(config))
    assert told.name
    done = subprocess.run(
        [sys.executable, "-m", "bramblewood", "serve", "--operator", str(operator)],
        env={**os.environ, "EDGE_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "store.folder" in done.stderr
