"""Draws the evenings that ``python -m bench load --out SERIES.json`` wrote.

``python -m bench.draw OUT.png SEED SERIES.json...``
"""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

LABELS = {
    "cost": "cost planner",
    "bounded-lazy": "bounded loads, not returning",
    "greedy": "greedy",
    "rendezvous": "rendezvous",
}
COLOURS = {
    "cost": "tab:blue",
    "bounded-lazy": "tab:orange",
    "greedy": "tab:green",
    "rendezvous": "tab:grey",
}
LINE_WIDTH = 0.9


def draw_service(top: Axes, bottom: Axes, service: str, runs: list[dict]) -> None:
    """Draw imbalance above and churn below, over the minutes of one evening."""
    top.set_title(service, fontsize=9)
    for run in runs:
        policy = run["policy"]
        if policy not in LABELS:
            continue
        style = {"color": COLOURS[policy], "label": LABELS[policy], "linewidth": LINE_WIDTH}
        top.plot(run["imbalance"], **style)
        bottom.plot(run["keys_moved"], **style)
    top.plot(runs[0]["floor"], color="black", linewidth=0.6, label="hottest key's bound")
    top.axhline(1.15, color="red", linewidth=0.5, linestyle="--")
    top.set_ylim(1.0, 3.0)
    bottom.set_yscale("symlog", linthresh=100)
    bottom.set_ylim(bottom=0)
    bottom.set_xlabel("minutes", fontsize=8)


def main(argv: list[str]) -> int:
    """Draw the runs of one seed into one picture."""
    target, seed, *sources = argv
    runs = [run for source in sources for run in json.loads(Path(source).read_text())]
    runs = [run for run in runs if run["seed"] == int(seed)]
    services = list(dict.fromkeys(run["service"] for run in runs))
    figure, axes = pyplot.subplots(
        2, len(services), figsize=(4.5 * len(services), 5.0), sharex=True, squeeze=False
    )
    for column, service in enumerate(services):
        mine = [run for run in runs if run["service"] == service]
        draw_service(axes[0][column], axes[1][column], service, mine)
    axes[0][0].set_ylabel("imbalance, max/mean", fontsize=8)
    axes[1][0].set_ylabel("keys moved by choice", fontsize=8)
    axes[0][0].legend(fontsize=6, loc="upper right")
    figure.tight_layout()
    figure.savefig(target, dpi=90)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
