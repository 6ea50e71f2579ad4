"""The store against a plain dict, a disc that fails as discs do, and files damaged at every byte."""

import errno
import random
import select

import pytest

from bramblewood.store import frames, plan, recovery
from bramblewood.store.flush import Apart
from bramblewood.store.port import Folder
from bramblewood.store.recovery import Refused
from bramblewood.store.store import DAMAGE, WAITING, Store, Unreadable

from .simulation.simulated_disk import PowerCut, SimulatedDisk


@pytest.fixture(autouse=True)
def small(monkeypatch):
    """Limits so low that a short run seals, merges and begins logs many times."""
    for name, value in {"SEAL_BYTES": 1000, "LOG_BYTES": 400, "SEAL_LOGS": 5, "FEWEST": 3, "MOST": 5}.items():
        monkeypatch.setattr(plan, name, value)
    monkeypatch.setattr("bramblewood.store.table.BLOCK", 200)


class Clock:
    def __init__(self, at=1000.0):
        self.at = at

    def __call__(self):
        return self.at


def opened(disk, clock=None, **more):
    return Store(disk.port(), clock or Clock(), new_id=lambda: disk.rng.randbytes(16), **more)


def finish(steps):
    for _ in steps or ():
        pass


def batch(dice, keys=40):
    keys = [b"k%02d" % dice.randrange(keys) for _ in range(dice.randint(1, 6))]
    return [(key, None if dice.random() < 0.25 else dice.randbytes(dice.randrange(30)), 0) for key in keys]


def apply(state, operations):
    state = dict(state)
    for key, value, _ in operations:
        state.pop(key, None)
        if value is not None:
            state[key] = value
    return state


@pytest.mark.parametrize("seed", range(40))
def test_a_random_run_reads_as_a_plain_dict(seed):
    """Puts, deletes, expiry, snapshots, background work in steps, reopenings: compared after every step."""
    dice, disk, clock = random.Random(seed), SimulatedDisk(), Clock()
    store, state, until, snapshots, work = opened(disk, clock), {}, {}, [], None

    def alive():
        return {key: value for key, value in state.items() if until[key] > clock.at}

    for _ in range(250):
        what = dice.random()
        if what < 0.55:
            operations = [
                (key, value, dice.choice([0, 0, int(1000 * (clock.at + dice.randrange(1, 90)))]))
                for key, value, _ in batch(dice)
            ]
            store.write(operations)
            state = apply(state, operations)
            until |= {key: expiry / 1000 if expiry else 1e18 for key, _, expiry in operations}
        elif what < 0.65:
            snapshots.append((store.snapshot(), alive()))
        elif what < 0.72 and snapshots:
            snapshots.pop(dice.randrange(len(snapshots)))[0].close()
        elif what < 0.92:
            work = work or store.work()
            for _ in range(dice.randint(1, 20)):
                if work and next(work, None) is None and store.background is None:
                    work = None
        elif what < 0.95:
            clock.at += dice.randrange(40)
        elif what < 0.96:
            finish(work)
            finish(store.compact())
            work = None
        else:
            for snapshot, _ in snapshots:
                snapshot.close()
            store.close()
            store, snapshots, work = opened(disk, clock), [], None
            assert not store.damages and not store.dropped
        store.commit()
        assert store.promised == store.number
        prefix = dice.choice([b"", b"k1", b"k25"])
        assert dict(store.scan(prefix)) == {k: v for k, v in alive().items() if k.startswith(prefix)}
        key = b"k%02d" % dice.randrange(45)
        assert store.get(key) == alive().get(key)
        for snapshot, was in snapshots:
            assert list(snapshot.scan()) == sorted(was.items())
            assert snapshot.get(key) == was.get(key)
    store.close()


def test_a_clock_set_back_brings_nothing_back():
    disk, clock = SimulatedDisk(), Clock()
    store = opened(disk, clock)
    store.put(b"a", b"1", clock.at + 5)
    clock.at += 10
    assert store.get(b"a") is None
    clock.at -= 9
    assert store.get(b"a") is None
    store.put(b"b", b"1")
    store.commit()
    store.close()
    assert opened(disk, Clock(3.0)).get(b"a") is None


def workload(disk, history, promised, seed=1, batches=60):
    """A seeded workload with seals and merges; history: the state after each batch; promised[0]: the last."""
    dice, store = random.Random(seed), opened(disk)
    for _ in range(batches):
        operations = batch(dice)
        history.append(apply(history[-1], operations))
        store.write(operations)
        if dice.random() < 0.6:
            store.commit()
            promised[0] = store.promised
        if dice.random() < 0.5:
            for _ in range(dice.randint(1, 30)):
                if store.background is None and store.work() is None:
                    break
                next(store.background, None)
    store.close()
    promised[0] = store.promised
    return store


def test_a_power_cut_after_any_file_call_leaves_a_promised_state_or_a_later_one():
    """Guards every promise: cut anywhere, under any loss; then cut again during the recovery."""
    whole = SimulatedDisk()
    workload(whole, [{}], [0])
    met = 0
    for cut in range(whole.call_count):
        disk, history, promised = SimulatedDisk(), [{}], [0]
        disk.power_cut_at = cut
        with pytest.raises(PowerCut):
            workload(disk, history, promised)
        for loss in range(3):
            dice = random.Random(cut * 10 + loss)
            back = disk.after_power_cut(dice)
            if dice.random() < 0.5:  # and once more, amid the recovery
                back.power_cut_at = dice.randrange(1, 60)
                try:
                    opened(back).close()
                except PowerCut:
                    met += 1
                back = back.after_power_cut(dice)
            store = opened(back)
            found = dict(store.scan())
            assert found in history[promised[0] :], (cut, loss, promised)
            assert all(damage.kept for damage in store.damages), (cut, loss, store.damages)
            store.put(b"after", b"1")
            store.commit()
            store.close()
            again = opened(back)
            assert dict(again.scan()) == {**found, b"after": b"1"} and not again.dropped
    assert whole.call_count > 250 and met > 100


@pytest.mark.parametrize("seed", range(30))
def test_failing_flushes_and_no_space_delay_promises_and_lose_none(seed):
    """The store is read as ever meanwhile, says so once, and promises again by itself."""
    dice, disk, clock = random.Random(seed), SimulatedDisk(), Clock()
    store, state, bad = opened(disk, clock), {}, [False]
    kinds = ("flush", "write", "create", "flush folder")
    error = dice.choice([errno.EIO, errno.ENOSPC])
    disk.errors = {kind: lambda: error if bad[0] and dice.random() < 0.7 else 0 for kind in kinds}
    lasting, notices = {0: {}}, []
    for step in range(200):
        bad[0] = step % 50 > 25
        clock.at += 0.5
        operations = batch(dice)
        state = apply(state, operations)
        lasting[store.write(operations)] = state
        store.commit()
        if step % 3 == 0 and (store.background or store.work()):
            next(store.background, None)
        while store.notices:
            notices.append((step, store.notices.popleft().what))
        assert dict(store.scan()) == state
        back = disk.after_power_cut(random.Random(step))
        if step % 10 == 0:
            again = opened(back, clock)
            assert dict(again.scan()) in [lasting[n] for n in range(store.promised, store.number + 1)]
            assert all(damage.kept for damage in again.damages)
    clock.at += 60
    bad[0] = False
    store.put(b"end", b"1")
    store.commit()
    assert store.promised == store.number and dict(store.scan()) == {**state, b"end": b"1"}
    cant = [step for step, what in notices if what == "store can't write"]
    can = [step for step, what in notices if what == "store writes again"]
    assert cant and len(cant) - 1 <= len(can) <= len(cant)
    store.close()


def test_background_work_that_fails_is_tried_again_later_and_not_each_turn():
    """Guards against a notice and an attempt in every turn while only tables can't be written."""
    clock, tries = Clock(), []
    store = opened(SimulatedDisk(), clock)

    def refused(*_):
        tries.append(clock.at)
        raise OSError(errno.EACCES, "Permission denied")
        yield

    for k in range(60):
        store.put(b"k%d" % k, bytes(40))
        store.commit()
    store._written = refused
    for _ in range(100):
        finish(store.work())
    assert len(tries) == 1 and len(store.notices) == 1
    clock.at += 1.0
    finish(store.work())
    assert len(tries) == 2
    del store._written
    clock.at += 60.0
    finish(store.work())
    assert store.failures == 0 and len(store.tables) == 1


def test_what_waits_for_a_promise_stays_bounded(monkeypatch):
    monkeypatch.setattr("bramblewood.store.store.UNPROMISED", 4000)
    disk, clock, dice = SimulatedDisk(), Clock(), random.Random(2)
    store, state = opened(disk, clock), {}
    disk.free_bytes = 0
    for _ in range(400):
        operations = batch(dice)
        state = apply(state, operations)
        store.write(operations)
        store.commit()
    assert store.trouble and sum(len(w.payload) for w in store.waiting) < 6000
    disk.free_bytes = None
    clock.at += 60
    store.commit()
    assert store.promised == store.number
    store.close()
    assert dict(opened(disk, clock).scan()) == state


def lived(seed=3, batches=40):
    """A folder that has seen logs, seals and merges, and its last state."""
    disk, history = SimulatedDisk(random.Random(seed)), [{}]
    workload(disk, history, [0], seed, batches)
    return disk, history


def judge(disk, history, what, cleanly=False):
    """Opened after damage: all of the last state, or the loss is said; it goes on, and says so once more."""
    try:
        store = opened(disk)
    except Refused:
        assert not cleanly, what
        return
    lost = [damage for damage in store.damages if not damage.kept]
    snapshot = store.snapshot()
    found = dict(snapshot.scan())
    found = {key: value for key, value in found.items() if not key.startswith(DAMAGE)}
    if not lost and not snapshot.holes:
        assert found == history[-1], what
    for hole in snapshot.holes:
        for key in set(history[-1]) - set(found):
            if hole.covers(key):
                with pytest.raises(Unreadable):
                    snapshot.get(key)
    for key, value in found.items():  # never a value that was not told
        assert any(state.get(key) == value for state in history), what
    snapshot.close()
    store.put(b"after", b"1")
    store.commit()
    store.close()
    again = opened(disk)
    assert again.get(b"after") == b"1"
    marks = [key for key, _ in again.scan(DAMAGE)]
    told = marks or any(not damage.kept for damage in again.damages)
    assert bool(told) == bool(lost), (what, lost, again.damages)


def damaged(disk, name, change):
    back = disk.copy()
    back.names[name].contents = bytearray(change(bytes(back.names[name].contents)))
    back.names[name].durable = bytes(back.names[name].contents)
    return back


def test_every_file_cut_at_every_byte_and_every_byte_changed():
    """Guards against a cut at a record's exact end, which looks like a clean shorter log."""
    disk, history = lived()
    assert {name.rpartition(".")[2] for name in disk.names} == {"log", "table", "manifest", "witness"}
    for name in disk.file_names():
        size = len(disk.names[name].contents)
        step = 1 if name != recovery.WITNESS else 7
        for at in range(0, size, step):
            judge(damaged(disk, name, lambda data, at=at: data[:at]), history, (name, "cut", at))
        for at in range(0, size, step):
            for bit in range(8) if at < frames.HEAD.size else (at % 8,):
                judge(
                    damaged(
                        disk,
                        name,
                        lambda data, at=at, bit=bit: (
                            data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]
                        ),
                    ),
                    history,
                    (name, "changed", at, bit),
                )


def test_a_lost_doubled_older_or_foreign_file_has_a_stated_answer():
    disk, history = lived()
    older, _ = lived(batches=25)
    other, _ = lived(seed=9)
    for name in disk.file_names():
        lost = disk.copy()
        del lost.names[name]
        judge(lost, history, (name, "lost"))
        doubled = disk.copy()
        doubled.names[name + " (copy)"] = doubled.names[name]
        judge(doubled, history, (name, "doubled"), cleanly=True)
        kind = name.rpartition(".")[2]
        if kind != "witness":
            doubled = disk.copy()
            doubled.names[f"{99999:08d}.{kind}"] = doubled.names[name]
            judge(doubled, history, (name, "under a higher number"), cleanly=True)
        for source in (older, other):
            if name in source.names:
                swapped = disk.copy()
                swapped.names[name] = source.copy().names[name]
                judge(swapped, history, (name, "of another copy"))


def test_a_file_of_a_later_version_is_refused_and_nothing_is_touched():
    disk, _ = lived()
    for name in disk.file_names():
        data = bytearray(disk.names[name].contents)
        data[8:10] = (frames.VERSION + 1).to_bytes(2, "little")
        data[12:16] = frames.crc32c(bytes(data[:12])).to_bytes(4, "little")
        newer = damaged(disk, name, lambda _, data=data: data)
        before = {n: bytes(inode.contents) for n, inode in newer.names.items()}
        with pytest.raises(Refused, match="version 2"):
            opened(newer)
        assert before == {n: bytes(inode.contents) for n, inode in newer.names.items()}


def test_a_batch_with_a_right_checksum_that_holds_no_operations_is_damage():
    """Guards against a start that never ends: the search behind it found the same batch again."""
    disk = SimulatedDisk()
    store = opened(disk)
    for k in range(5):
        store.put(b"k%d" % k, b"1")
        if k == 2:
            store.waiting[-1] = store.waiting[-1]._replace(payload=b"none")
        store.commit()
    store.close()
    again = opened(disk)
    assert [key for key, _ in again.scan(b"k")] == [b"k0", b"k1", b"k3", b"k4"]
    assert ["batch 3 lost" in damage.what for damage in again.damages] == [True]


def test_two_processes_on_one_folder_and_a_store_that_has_to_be_there():
    disk = SimulatedDisk()
    store = opened(disk, must_exist=True)
    assert store.damages and store.fresh
    with pytest.raises(Refused, match="another process"):
        opened(disk)
    store.close()
    assert not opened(disk, must_exist=True).damages


def test_read_errors_are_holes_or_refusals_and_never_older_values():
    disk, history = lived()
    for bad in range(1, 60):
        back, count = disk.copy(), [0]

        def refuse(count=count, bad=bad):
            count[0] += 1
            return errno.EIO if count[0] == bad else 0

        back.errors = {"read": refuse}
        try:
            store = opened(back)
        except Refused:
            continue
        back.errors = {}
        found = dict(store.scan())
        if not any(not damage.kept for damage in store.damages):
            assert found == history[-1]


def test_on_a_real_folder_flushed_by_a_process_of_its_own(tmp_path):
    clock, dice, state = Clock(), random.Random(4), {}
    folder = Folder(str(tmp_path / "store"))
    store = Store(folder, clock, Apart(folder))
    for step in range(120):
        operations = batch(dice)
        state = apply(state, operations)
        store.write(operations)
        store.commit()
        if step == 60:
            store.flusher.process.kill()  # guards against waiting for ever for an answer
        if store.background or store.work():
            next(store.background, WAITING)
        clock.at += 1
    for _ in range(200):
        store.commit()
        clock.at += 1.0
        if store.promised == store.number:
            break
        select.select([store.flusher.waker()], [], [], 1.0)  # the process takes a moment to start
    assert store.promised == store.number and store.failures == 0
    store.close()
    again = Store(Folder(str(tmp_path / "store")), clock)
    assert dict(again.scan()) == state and not again.damages
    again.close()
