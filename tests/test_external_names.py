"""Guards against a change of a name that leaves the process, such as a key on the wire or a metric.

`tests/data/external_names.txt` lists the names by the file in which each is written out.
"""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
NAMES_FILE = ROOT / "tests/data/external_names.txt"


def read_sections() -> dict[tuple[str, str], list[str]]:
    """Names by section, which is (what they are, path of the file that writes them out)."""
    sections: dict[tuple[str, str], list[str]] = {}
    for line in NAMES_FILE.read_text().splitlines():
        if line.startswith("# "):
            description, _, path = line.removeprefix("# ").rpartition(": ")
            names = sections.setdefault((description, path), [])
        elif line and not line.startswith(";"):
            names.append(line)
    return sections


def docstrings(tree: ast.Module) -> set[ast.Constant]:
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)):
            if ast.get_docstring(node, clean=False) is not None:
                found.add(node.body[0].value)
    return found


def written_texts(path: Path) -> list[str]:
    """The texts of a file that can leave the process; of Python its strings, fields and keywords."""
    if path.suffix != ".py":
        return [path.read_text()]
    tree = ast.parse(path.read_text())
    ignored = docstrings(tree)
    texts = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node not in ignored:
            texts.append(node.value)
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            texts.append(node.target.id)  # a field
        elif isinstance(node, ast.keyword) and node.arg:
            texts.append(node.arg)  # such as the values that `startup_settings.renamed` maps
    return texts


def is_written(name: str, texts: list[str]) -> bool:
    """Whether a text is the name, or holds it between characters that can't belong to a name."""
    pattern = re.compile(rf"(?<![\w]){re.escape(name)}(?![\w])")
    return any(text == name or pattern.search(text) for text in texts)


@pytest.mark.parametrize("section", read_sections(), ids=lambda section: section[1])
def test_every_external_name_is_still_written_out(section: tuple[str, str]) -> None:
    texts = written_texts(ROOT / section[1])

    assert [name for name in read_sections()[section] if not is_written(name, texts)] == []


def test_a_renamed_external_name_is_noticed() -> None:
    texts = ["heartbeat", "scribes", "pulse of a peer"]

    assert is_written("pulse", texts)
    assert not is_written("scribe", texts)
    assert not is_written("beat", texts)
