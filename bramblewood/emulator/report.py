"""A run's figures, and a page with plots of them.

run: what run.json holds. targets: the latency target in s by kind of request.
"""

import base64
import io
import json
from collections import Counter, defaultdict
from typing import Any

PAGE = """<!doctype html><meta charset="utf-8"><title>{title}</title>
<style>
body{{font:15px sans-serif;max-width:60em;margin:2em auto}}
table{{border-collapse:collapse}}
td,th{{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}}
td:first-child{{text-align:left}}
</style>
<h1>{title}</h1><p>{audit}</p>
<table><tr>{head}</tr>{rows}</table>
{plots}
<h2>What happened</h2><pre>{events}</pre>"""
LOWEST, HIGHEST, DIGITS = 1, 60_000, 3  # ms that the histogram tells apart
QUANTILES = (50.0, 99.0, 99.9)
PLOT_SIZE, PLOT_DPI = (9, 3), 110  # inches, dots an inch

Result = dict[str, Any]  # how an order ended: clients.OrderResult as run.json has it


def is_served(result: Result) -> bool:
    """Whether an order was answered as done."""
    return result["status"] // 100 == 2


def figures(run: dict[str, Any], targets: dict[str, float]) -> dict[str, dict[str, float]]:
    """By kind of request: asked, served, served in time ("in aim"), refused, unclear, and quantiles in s of
    served ones.
    """
    by_kind: dict[str, list[Result]] = defaultdict(list)
    for result in run["orders"]:
        by_kind[result["kind"]].append(result)
    return {kind: kind_figures(results, targets.get(kind, 1e9)) for kind, results in sorted(by_kind.items())}


def kind_figures(results: list[Result], target: float) -> dict[str, float]:
    """The figures of one kind of request."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS)
    served = [result for result in results if is_served(result)]
    for result in served:
        histogram.record_value(min(max(int(result["took"] * 1000), LOWEST), HIGHEST))
    refused = sum(result["status"] in (429, 503) for result in results)
    invalid = sum(result["status"] // 100 == 4 and result["status"] != 429 for result in results)
    return {
        "asked": len(results),
        "served": len(served),
        "in aim": sum(result["took"] <= target for result in served),
        "refused": refused,
        "unclear": len(results) - len(served) - refused - invalid,
        **{f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES},
    }


def results_by_second(results: list[Result]) -> list[list[Result]]:
    """The orders that began in each second of the run."""
    seconds: list[list[Result]] = [[] for _ in range(int(max(result["at"] for result in results)) + 1)]
    for result in results:
        seconds[int(result["at"])].append(result)
    return seconds


def plot_rates(axes: Any, kind: str, seconds: list[list[Result]], colour: str) -> None:
    """Orders served a second, and asked."""
    axes.plot([sum(map(is_served, results)) for results in seconds], color=colour, label=kind)
    axes.plot([len(results) for results in seconds], ":", color=colour)


def plot_medians(axes: Any, kind: str, seconds: list[list[Result]], colour: str) -> None:
    """The median time of the orders served, by second."""
    times = [sorted(result["took"] for result in results if is_served(result)) for results in seconds]
    axes.plot([one[len(one) // 2] if one else None for one in times], color=colour, label=kind)


def plots(run: dict[str, Any]) -> list[str]:
    """Pictures as PNG in base64: served and asked a second, and how long it took."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    pictures = []
    by_kind: dict[str, list[Result]] = defaultdict(list)
    for result in run["orders"]:
        by_kind[result["kind"]].append(result)
    for title, plot in (
        ("answers a second, and asked (dotted)", plot_rates),
        ("s until the answer, by second: median", plot_medians),
    ):
        figure, axes = plt.subplots(figsize=PLOT_SIZE)
        for number, (kind, results) in enumerate(sorted(by_kind.items())):
            plot(axes, kind, results_by_second(results), f"C{number}")
        for event in run["events"]:
            axes.axvline(event["at"], color="grey", linewidth=0.4)
        axes.set_title(title, fontsize=10)
        axes.legend(fontsize=8)
        picture = io.BytesIO()
        figure.savefig(picture, format="png", dpi=PLOT_DPI, bbox_inches="tight")
        plt.close(figure)
        pictures.append(base64.b64encode(picture.getvalue()).decode())
    return pictures


def page(run: dict[str, Any], targets: dict[str, float]) -> str:
    """The page of a run, as HTML."""
    rows = figures(run, targets)
    names = list(next(iter(rows.values()))) if rows else []
    counts = Counter(finding["what"] for finding in run["findings"])
    audit = ", ".join(f"{what}: {count}" for what, count in counts.items()) or "The audit finds nothing."
    return PAGE.format(
        title=f"{run['scenario']}, seed {run['seed']}",
        audit=f"{audit} {run['tries']} tries, {run['effects']} lines in the ledgers.",
        head="<th></th>" + "".join(f"<th>{name}</th>" for name in names),
        rows="".join(
            f"<tr><td>{kind}</td>" + "".join(f"<td>{row[name]:.4g}</td>" for name in names) + "</tr>"
            for kind, row in rows.items()
        ),
        plots="".join(f'<p><img src="data:image/png;base64,{picture}"></p>' for picture in plots(run)),
        events="\n".join(json.dumps(event) for event in run["events"]),
    )
