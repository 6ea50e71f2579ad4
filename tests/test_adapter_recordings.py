"""`python -m bramblewood.adapter` replies to the recorded runs byte for byte as when they were recorded."""

import lzma
import subprocess
import sys
from pathlib import Path

import pytest

from bramblewood.adapter import host
from tests.adapter_recordings import SITES, AdapterRun, Site, recording_paths

ROOT = Path(__file__).parent.parent
RUN_TIMEOUT = 120.0  # s for one run, which takes a few seconds


@pytest.mark.parametrize("name", SITES)
def test_replies_equal_the_recording(name: str) -> None:
    recorded_input, recorded_output = (lzma.decompress(path.read_bytes()) for path in recording_paths(name))
    command = [sys.executable, "-m", "bramblewood.adapter"]
    result = subprocess.run(command, input=recorded_input, capture_output=True, cwd=ROOT, timeout=RUN_TIMEOUT)
    assert (result.returncode, result.stderr) == (0, b"")
    lines = zip(result.stdout.splitlines(), recorded_output.splitlines(), strict=False)
    for number, (actual, recorded) in enumerate(lines, 1):
        assert actual == recorded, f"line {number} of the output"
    assert result.stdout == recorded_output


def test_recordings_contain_each_kind_of_reply_and_no_bug() -> None:
    output = b"".join(lzma.decompress(recording_paths(name)[1].read_bytes()) for name in SITES)
    for message in (b"set_weight", b"ration", b"pull", b"seal", b"sleep", b"follow", b"trace", b"ack"):
        assert output.count(b'{"%s":' % message) > 2, message
    assert b'{"bug":' not in output


def test_equal_seeds_give_equal_runs() -> None:
    def run() -> tuple[list[bytes], bytes]:
        adapter_run = AdapterRun(5, Site(turns=40))
        host.serve(adapter_run.input_lines(), adapter_run.output)
        return adapter_run.input, adapter_run.output.getvalue()

    assert run() == run()
