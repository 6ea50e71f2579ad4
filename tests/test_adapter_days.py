"""`python -m bramblewood.adapter` answers recorded days byte for byte as it did when they were recorded."""

import lzma
import subprocess
import sys
from pathlib import Path

import pytest

from bramblewood.adapter import host
from tests.adapter_days import SITES, Day, Site, files

ROOT = Path(__file__).parent.parent
WITHIN = 120.0  # s for one day; it takes some seconds


@pytest.mark.parametrize("name", SITES)
def test_answers_are_as_recorded(name: str) -> None:
    given, answered = (lzma.decompress(path.read_bytes()) for path in files(name))
    command = [sys.executable, "-m", "bramblewood.adapter"]
    ended = subprocess.run(command, input=given, capture_output=True, cwd=ROOT, timeout=WITHIN)
    assert (ended.returncode, ended.stderr) == (0, b"")
    lines = zip(ended.stdout.splitlines(), answered.splitlines(), strict=False)
    for number, (now, then) in enumerate(lines, 1):
        assert now == then, f"line {number} of the output"
    assert ended.stdout == answered


def test_recorded_days_hold_what_they_are_for() -> None:
    answered = b"".join(lzma.decompress(files(name)[1].read_bytes()) for name in SITES)
    for message in (b"set_weight", b"ration", b"pull", b"seal", b"sleep", b"follow", b"trace", b"ack"):
        assert answered.count(b'{"%s":' % message) > 2, message
    assert b'{"bug":' not in answered


def test_a_day_is_the_same_from_the_same_seed() -> None:
    def day() -> tuple[list[bytes], bytes]:
        made = Day(5, Site(turns=40))
        host.serve(made.lines(), made.out)
        return made.input, made.out.getvalue()

    assert day() == day()
