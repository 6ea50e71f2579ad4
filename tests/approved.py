"""Approved transcripts: what an exchange gave, against the file that a person has read and approved.

`APPROVE=1` writes the file anew; the difference then shows in the commit.
"""

import difflib
import os
import pathlib

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "features" / "approved"


def approve(name: str, lines: list[str]) -> None:
    path, text = FOLDER / f"{name}.txt", "\n".join(lines) + "\n"
    if os.environ.get("APPROVE"):
        path.write_text(text)
    stands = path.read_text() if path.exists() else ""
    if stands != text:
        shown = difflib.unified_diff(stands.splitlines(), text.splitlines(), "approved", "now", lineterm="")
        raise AssertionError("\n".join(shown))
