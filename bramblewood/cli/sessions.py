"""The command `sessions`."""

import click

from .controller_client import get_view
from .options import BOOT, CONTROLLER, JSON
from .output import write_result
from .views import SessionsView


def session_lines(view: SessionsView) -> list[str]:
    """A line for the controller that was asked, and one for each controller and proxy that it hears."""
    state = lambda current: "whole" if current else "without a majority"  # noqa: E731
    lines = [
        f"{view['me']}: {state(view['whole'])}, {'votes' if view['votes'] else 'does not vote'}; "
        f"scribe {view['scribe']}; voters {', '.join(view['voters'])}"
    ]
    lines += [
        f"archive {peer}: heard {session['heard']} s ago, {state(session['whole'])}"
        for peer, session in sorted(view["archives"].items())
    ]
    return lines + [f"desk {proxy}" for proxy in view["desks"]]


@click.command()
@CONTROLLER
@BOOT
@JSON
def sessions(controller: str | None, boot: str | None, as_json: bool) -> None:
    """Show which controllers and proxies are connected, as one controller sees it."""
    view = get_view(controller, boot, "sessions")
    write_result(view, as_json, session_lines(view))
