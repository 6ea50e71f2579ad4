import contextlib
import io
import json
import os
import tempfile
from dataclasses import replace

import logbook
from behave import then
from click.testing import CliRunner

from bramblewood.cli.gateway import gateway
from bramblewood.common import logs
from bramblewood.common.settings import Bounds, Settings, parse_settings, reread_seeds
from tests.approved import approve

DOCUMENTED_SETTINGS = {
    "NodeName": '"core-1"',
    "Ip": '"10.0.0.4"',
    "Zone": '"east"',
    "PortRange": "[7540,7555]",
    "SeedNodes": '["10.0.0.4:8544","10.0.0.5:8544"]',
    "BindMap": '{Control = "10.0.0.4:8544"}',
    "Zones": '{east = "here", west = "here"}',
    "ContractList": '["base","own"]',
    "Tolerance": "{Machines = 2, Zones = 0, Regions = 0}",
    "Counted": "true",
}


def file_content(lines: str) -> bytes:
    """Return the documented example with these fields, `NAME = VALUE` separated by "; "."""
    changed_fields = dict(line.split(" = ", 1) for line in lines.split("; ") if line)
    return "\n".join(
        f"{name} = {value}" for name, value in {**DOCUMENTED_SETTINGS, **changed_fields}.items()
    ).encode()


def approved_text(settings: Settings) -> str:
    """Return the compared settings as JSON, with the bounds that differ from their defaults."""
    bounds = {name: value for name, value in vars(settings.bounds).items() if value != getattr(Bounds, name)}
    fields = {
        "bounds": bounds,
        "tolerance": vars(settings.tolerance),
        "losses": settings.tolerance.tolerated_losses,
        "counted": settings.counts_for_tolerance,
        "seeds": settings.seed_addresses,
        "unsupported": settings.unsupported,
        "memory": settings.memory_limit,
        "descriptors": settings.descriptor_limit,
    }
    return json.dumps(fields)


@then('these settings are parsed as in the approved "{name}"')
def settings_parsed_as_approved(context, name):
    texts = []
    for row in context.table:
        parsed = parse_settings(file_content(row["lines"]))
        texts.append(f"{row['case']}: {parsed.map(approved_text).unwrap_or_else(str)}")
    approve(name, texts)


@then("a program logs at its start which parts are in force and which it does not support")
def logs_rule_parts(context):
    settings, output = parse_settings(file_content('ContractList = ["base","tides"]')).ok_value, io.StringIO()
    with contextlib.redirect_stdout(output), logs.JsonLineHandler(settings.name).applicationbound():
        logs.log_started(logbook.Logger(settings.name), settings.unsupported, contract=settings.rule_parts)
    first, second = map(json.loads, output.getvalue().splitlines())
    assert (first["event"], first["contract"]) == ("started", ["base", "tides"])
    assert (second["event"], second["what"]) == ("settings not supported", ["ContractList: tides"])


def write_settings(context, lines: str) -> str:
    with tempfile.NamedTemporaryFile("wb", suffix=".toml", delete=False) as file:
        file.write(file_content(lines))
    context.add_cleanup(os.unlink, file.name)
    return file.name


@then('"{program}" started with "{lines}" ends with "{message}"')
def program_does_not_start(context, program, lines, message):
    path = write_settings(context, lines)
    result = CliRunner().invoke(gateway, [program, "--boot", path])
    assert (result.exit_code, result.output) == (2, f"bramblewood: {path}: {message}\n"), result.output


@then('rereading "{valid}" returns the seed {ip}, and rereading "{invalid}" returns none')
def rereading_returns_seeds(context, valid, ip, invalid):
    settings = parse_settings(file_content("")).ok_value
    with logbook.TestHandler().applicationbound() as log:
        for lines, seeds in ((valid, (ip,)), (invalid, ())):
            path = write_settings(context, lines)
            assert reread_seeds(replace(settings, path=path), logbook.Logger("core-1")) == seeds
        assert log.has_info("settings file reread") and log.has_warning("settings file invalid")
