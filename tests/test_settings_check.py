"""`check --boot`: a file that is faulty, and one that can't be read."""

from pathlib import Path

from click.testing import CliRunner

from bramblewood.cli.settings_check import check


def exit_code(path: Path) -> int:
    result = CliRunner().invoke(check, ["--boot", str(path)])
    assert result.output.count("\n") == 1 and str(path) in result.output
    return result.exit_code


def test_a_missing_file_is_not_a_fault_in_a_file(tmp_path: Path) -> None:
    assert exit_code(tmp_path / "boot.toml") == 2


def test_a_folder_can_not_be_read(tmp_path: Path) -> None:
    assert exit_code(tmp_path) == 2


def test_a_faulty_file_has_a_fault(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text("Ip = 7\n")
    assert exit_code(path) == 1
