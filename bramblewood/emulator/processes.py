"""Settings files and processes of a gateway on loopback, of this checkout or of an earlier release."""

import asyncio
import json
import os
import pathlib
import sys
from typing import NamedTuple

CHECKOUT = pathlib.Path(__file__).resolve().parent.parent.parent


class Release(NamedTuple):
    """A checkout of the repository to start programs from, and its names of the two programs."""

    checkout: pathlib.Path
    proxy: str = "proxy"
    controller: str = "controller"


CURRENT = Release(CHECKOUT)


def earlier_release(checkout: str) -> Release:
    """A checkout with the names that the programs had first; later texts know them too."""
    return Release(pathlib.Path(checkout).resolve(), "desk", "archive")


def write_settings(
    path: str,
    ip: str,
    seeds: list[str],
    inner: int,
    listen: dict[str, str],
    zones: tuple[str, list[str]] = ("here", ["here"]),
    bind: str = "",
    bounds: tuple[str, ...] = (),
    notice: bool = True,
    first: bool = True,
) -> str:
    """Write a settings file; its path.

    inner: first port of `PortRange`. listen: `BindMap`. zones: the machine's own and all. bind: `BindIp`.
    notice: `NoticeCrowds`. first: `FirstBoot`.
    """
    folder, name = os.path.split(path)
    lines = [
        f'NodeName = "{name.removesuffix(".toml")}"',
        f'Ip = "{ip}"',
        f'Zone = "{zones[0]}"',
        f"SeedNodes = {json.dumps(seeds)}",
        f"FirstBoot = {json.dumps(first)}",
        f"PortRange = [{inner},{inner + 10}]",
        f'DataDir = "{folder}/{name}.d"',
        f"Bounds = {json.dumps(list(bounds))}",
        *([f'BindIp = "{bind}"'] if bind else []),
        *(["NoticeCrowds = false"] if not notice else []),
        "[Zones]",
        *(f'{zone} = "lab"' for zone in zones[1]),
        "[BindMap]",
        *(f'{listener} = "{address}"' for listener, address in listen.items()),
    ]
    pathlib.Path(path).write_text("\n".join(lines) + "\n")
    return path


async def start(
    arguments: list[str], settings: str, log: str | None = None, checkout: pathlib.Path = CHECKOUT
) -> asyncio.subprocess.Process:
    """A `bramblewood` process of a checkout by its settings file; its output goes to a file, or nowhere."""
    output = open(log, "ab") if log else asyncio.subprocess.DEVNULL  # noqa: SIM115 (closed below)
    try:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bramblewood",
            *arguments,
            env={**os.environ, "BRAMBLEWOOD_BOOT": settings},
            cwd=checkout,
            stdout=output,
            stderr=output,
        )
    finally:
        if log:
            output.close()
