"""Guards against a CI run that passes over a failure which KNOWN-RED.txt does not list."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci/known_red.py"
SCENARIO, TEST = "features/leases.feature: A lease expires", "tests/test_leases.py::test_expiry[3]"
RED_SCENARIO = f"test: {SCENARIO}\nseen: not within 20 s\nissue: 43\n"
RED_TEST = f"test: {TEST}\nseen: 2 != 3\nissue: 43\n"


def judge(folder: Path, listed: str, scenario: str, test: str, exits: tuple[int, int] | None = None):
    """Run the script on results of one scenario and one test, each "passed" or its error."""
    passed = scenario == "passed", test == "passed"
    step = {
        "result": {"status": "passed"} if passed[0] else {"status": "failed", "error_message": [scenario]}
    }
    element = {
        "type": "scenario",
        "name": "A lease expires",
        "status": step["result"]["status"],
        "steps": [step],
    }
    features = [{"location": "features/leases.feature:1", "elements": [element]}]
    (folder / "behave.json").write_text(json.dumps(features))
    failure = "" if passed[1] else f"<failure>{test}</failure>"
    case = f'<testcase classname="tests.test_leases" name="test_expiry[3]">{failure}</testcase>'
    (folder / "pytest.xml").write_text(f"<testsuites><testsuite>{case}</testsuite></testsuites>")
    if listed:
        (folder / "KNOWN-RED.txt").write_text(listed)
    behave_exit, pytest_exit = exits or (int(not passed[0]), int(not passed[1]))
    files = (
        folder / "KNOWN-RED.txt",
        folder / "behave.json",
        behave_exit,
        folder / "pytest.xml",
        pytest_exit,
    )
    return subprocess.run([sys.executable, SCRIPT, *map(str, files)], capture_output=True, text=True)


def test_all_passed_without_a_list(tmp_path):
    result = judge(tmp_path, "", "passed", "passed")

    assert (result.returncode, result.stdout.splitlines()[-1]) == (0, "2 passed, 0 failed")


@pytest.mark.parametrize(("scenario", "test"), [("no quorum", "passed"), ("passed", "2 != 3")])
def test_a_failure_that_is_not_listed_fails_the_run_and_is_printed(tmp_path, scenario, test):
    result = judge(tmp_path, "test: tests/test_other.py::test_x\nissue: 43\n", scenario, test)

    assert result.returncode == 1
    assert ("no quorum" if test == "passed" else "2 != 3") in result.stdout
    assert "known red, was not run: test: tests/test_other.py::test_x" in result.stdout


@pytest.mark.parametrize(
    ("listed", "scenario", "test"),
    [(RED_SCENARIO, "not within 20 s", "passed"), (RED_TEST, "passed", "2 != 3")],
)
def test_a_listed_failure_is_printed_and_passed_over(tmp_path, listed, scenario, test):
    result = judge(tmp_path, listed, scenario, test)

    assert result.returncode == 0
    assert f"known red, failed: {listed.strip()}" in result.stdout
    assert result.stdout.splitlines()[-1] == "1 passed, 1 failed"


def test_a_listed_test_that_passes_is_printed(tmp_path):
    result = judge(tmp_path, f"{RED_SCENARIO}\n{RED_TEST}", "passed", "2 != 3")

    assert result.returncode == 0 and f"known red, passed: {RED_SCENARIO.strip()}" in result.stdout


@pytest.mark.parametrize("exits", [(0, 2), (2, 0), (1, 0), (0, 1)])
def test_an_exit_code_that_no_failed_test_accounts_for_fails_the_run(tmp_path, exits):
    assert judge(tmp_path, RED_TEST, "passed", "passed", exits).returncode == 1


def test_an_entry_without_a_test_is_refused(tmp_path):
    result = judge(tmp_path, "seen: 2 != 3\n", "passed", "passed")

    assert result.returncode == 1 and "expected an entry that begins with 'test: '" in result.stderr


def test_a_failure_without_a_text_still_counts_as_failed(tmp_path):
    result = judge(tmp_path, RED_SCENARIO, "not within 20 s", "")

    assert result.returncode == 1 and f"FAILED {TEST}" in result.stdout


def test_a_scenario_that_was_not_run_counts_as_failed(tmp_path):
    judge(tmp_path, "", "passed", "passed")
    features = json.loads((tmp_path / "behave.json").read_text())
    features[0]["elements"][0] |= {"status": "untested", "steps": [{"name": "a step"}]}
    (tmp_path / "behave.json").write_text(json.dumps(features))
    files = ("KNOWN-RED.txt", "behave.json", 1, "pytest.xml", 0)
    arguments = [str(tmp_path / name) if isinstance(name, str) else str(name) for name in files]
    result = subprocess.run([sys.executable, SCRIPT, *arguments], capture_output=True, text=True)

    assert result.returncode == 1 and f"FAILED {SCENARIO}" in result.stdout
