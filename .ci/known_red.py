"""Judges the results of the tests. Failures that KNOWN-RED.txt lists are printed, any other fails the run.

    known_red.py KNOWN-RED.txt BEHAVE.json BEHAVE_EXIT_CODE PYTEST.xml PYTEST_EXIT_CODE

An entry of KNOWN-RED.txt is a paragraph. Its first line is `test: ` and the id of the test. Further lines
give the command and seed, what was seen and the issue. The id of a scenario is
`features/NAME.feature: SCENARIO`, that of a pytest test is its node id. Exit code 0: every test passed, but
for those listed. Exit code 1: another one failed, or a runner ended with an error that no test accounts for.
"""

import json
import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path

ENTRY_START = "test: "
PASSED = ("passed", "skipped")
TEST_FAILED = 1  # exit code of both runners when tests failed; a higher one is an error of the run itself


def listed_tests(path: Path) -> dict[str, str]:
    """The entries of KNOWN-RED.txt, by test id; none where the file is missing."""
    if not path.exists():
        return {}
    paragraphs = [text.strip() for text in path.read_text().split("\n\n")]
    entries = [text for text in paragraphs if text and not text.startswith("#")]
    found = {}
    for entry in entries:
        first_line = entry.splitlines()[0]
        if not first_line.startswith(ENTRY_START):
            raise SystemExit(
                f"{path}: expected an entry that begins with {ENTRY_START!r}, found {first_line!r}"
            )
        found[first_line.removeprefix(ENTRY_START)] = entry
    return found


def behave_results(path: Path) -> dict[str, str]:
    """The error of each scenario by its id, "" for one that passed."""
    results: dict[str, str] = {}
    for feature in json.loads(path.read_text()):
        file = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            errors = []
            for step in element["steps"]:
                result = step.get("result", {"status": "untested"})
                if result["status"] not in (*PASSED, "untested"):
                    lines = result.get("error_message", [result["status"]])
                    errors.append(lines if isinstance(lines, str) else "\n".join(lines))
            if element["status"] not in PASSED and not errors:
                errors.append(element["status"])
            test = f"{file}: {element['name']}"
            results[test] = "\n".join(filter(None, [results.get(test, ""), *errors]))
    return results


def pytest_results(path: Path) -> dict[str, str]:
    """The error of each test by its node id, "" for one that passed."""
    results = {}
    for case in ElementTree.parse(path).iter("testcase"):
        errors = [
            child.text or child.get("message") or child.tag
            for child in case
            if child.tag in ("failure", "error")
        ]
        results[f"{case.get('classname', '').replace('.', '/')}.py::{case.get('name')}"] = "\n".join(errors)
    return results


def problems(runner: str, results: dict[str, str], exit_code: int, listed: dict[str, str]) -> list[str]:
    """What makes a run of this runner fail."""
    failed = {test: error for test, error in results.items() if error}
    found = [f"FAILED {test}\n{error}" for test, error in failed.items() if test not in listed]
    if exit_code > TEST_FAILED or (exit_code and not failed):
        found.append(f"{runner} ended with exit code {exit_code}")
    if not results:
        found.append(f"{runner} ran no test")
    return found


def main(known_red: str, behave_file: str, behave_exit: str, pytest_file: str, pytest_exit: str) -> int:
    """Print what failed, listed or not, and the entries that passed; the exit code."""
    listed = listed_tests(Path(known_red))
    scenarios, tests = behave_results(Path(behave_file)), pytest_results(Path(pytest_file))
    results = scenarios | tests
    for test, entry in listed.items():
        outcome = "was not run" if test not in results else "failed" if results[test] else "passed"
        print(f"known red, {outcome}: {entry}")
    found = problems("behave", scenarios, int(behave_exit), listed)
    found += problems("pytest", tests, int(pytest_exit), listed)
    print("\n".join(found))
    failed = [test for test, error in results.items() if error]
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
