"""A run's figures, and a page with plots of them."""

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


def figures(told: dict[str, Any], aims: dict[str, float]) -> dict[str, dict[str, float]]:
    """By kind of request: asked, served, served in aim, refused, unclear, and quantiles of served ones in
    s.
    """
    from hdrh.histogram import HdrHistogram

    found = {}
    by_kind: dict[str, list[dict]] = defaultdict(list)
    for order in told["orders"]:
        by_kind[order["kind"]].append(order)
    for kind, orders in sorted(by_kind.items()):
        histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS)
        faulty = sum(o["status"] // 100 == 4 and o["status"] != 429 for o in orders)
        good = [order for order in orders if order["status"] // 100 == 2]
        for order in good:
            histogram.record_value(min(max(int(order["took"] * 1000), LOWEST), HIGHEST))
        refused = sum(order["status"] in (429, 503) for order in orders)
        found[kind] = {
            "asked": len(orders),
            "served": len(good),
            "in aim": sum(order["took"] <= aims.get(kind, 1e9) for order in good),
            "refused": refused,
            "unclear": len(orders) - len(good) - refused - faulty,
            **{f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES},
        }
    return found


def plot(told: dict[str, Any], aims: dict[str, float]) -> list[str]:
    """Pictures as PNG in base64: served and asked a second, and how long it took."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    made = []
    kinds = sorted({order["kind"] for order in told["orders"]})
    for title, pick in (
        ("answers a second, and asked (dotted)", None),
        ("s until the answer, by second: median", 1),
    ):
        figure, axes = plt.subplots(figsize=(9, 3))
        for number, kind in enumerate(kinds):
            orders = [order for order in told["orders"] if order["kind"] == kind]
            seconds = range(int(max(order["at"] for order in orders)) + 1)
            by_second: dict[int, list[dict]] = defaultdict(list)
            for order in orders:
                by_second[int(order["at"])].append(order)
            good = {s: [o["took"] for o in by_second[s] if o["status"] // 100 == 2] for s in seconds}
            colour = f"C{number}"
            if pick is None:
                axes.plot(seconds, [len(good[s]) for s in seconds], color=colour, label=kind)
                axes.plot(seconds, [len(by_second[s]) for s in seconds], ":", color=colour)
            else:
                middle = [sorted(good[s])[len(good[s]) // 2] if good[s] else None for s in seconds]
                axes.plot(seconds, middle, color=colour, label=kind)
        for event in told["events"]:
            axes.axvline(event["at"], color="grey", linewidth=0.4)
        axes.set_title(title, fontsize=10)
        axes.legend(fontsize=8)
        picture = io.BytesIO()
        figure.savefig(picture, format="png", dpi=110, bbox_inches="tight")
        plt.close(figure)
        made.append(base64.b64encode(picture.getvalue()).decode())
    return made


def page(told: dict[str, Any], aims: dict[str, float]) -> str:
    found = figures(told, aims)
    names = list(next(iter(found.values()))) if found else []
    counts = Counter(finding["what"] for finding in told["findings"])
    audit = ", ".join(f"{what}: {count}" for what, count in counts.items()) or "The audit finds nothing."
    return PAGE.format(
        title=f"{told['scenario']}, seed {told['seed']}",
        audit=f"{audit} {told['tries']} tries, {told['effects']} lines in the ledgers.",
        head="<th></th>" + "".join(f"<th>{name}</th>" for name in names),
        rows="".join(
            f"<tr><td>{kind}</td>" + "".join(f"<td>{row[name]:.4g}</td>" for name in names) + "</tr>"
            for kind, row in found.items()
        ),
        plots="".join(f'<p><img src="data:image/png;base64,{picture}"></p>' for picture in plot(told, aims)),
        events="\n".join(json.dumps(event) for event in told["events"]),
    )
