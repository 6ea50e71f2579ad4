"""Settings files and processes of a gateway on loopback."""

import asyncio
import json
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def boot(
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
    """Write a settings file; zones: the machine's own and all; first: `FirstBoot`. Its path."""
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
        *(f'{key} = "{place}"' for key, place in listen.items()),
    ]
    pathlib.Path(path).write_text("\n".join(lines) + "\n")
    return path


async def start(words: list[str], path: str, log: str | None = None) -> asyncio.subprocess.Process:
    """A program of ours by its settings file; its log goes to a file, or nowhere."""
    out = open(log, "ab") if log else asyncio.subprocess.DEVNULL
    try:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bramblewood",
            *words,
            env={**os.environ, "BRAMBLEWOOD_BOOT": path},
            cwd=ROOT,
            stdout=out,
            stderr=out,
        )
    finally:
        if log:
            out.close()
