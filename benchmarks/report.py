"""Write the comparison of placement policies and its plot into the docs."""

from pathlib import Path

import matplotlib

from benchmarks.placement import (
    DEFAULT_MULTIPLE,
    HORIZON_S,
    SEEDS,
    Figures,
    average_seeds,
    frontier_table,
    frontier_trials,
    markdown_table,
    run_trials,
    table_trials,
)

DOCS = Path(__file__).parent.parent / "docs" / "reference"
PAGE = """# Placement, measured

Written by `make placement` (seeds {seeds}, {horizon:g} simulated seconds each,
means over the seeds). The decision core is the real one; engines are fakes at
the interface: a prefix cache and the time that a request holds its place. "Bound
broken" counts admissions above {bound:g} times the true mean (floor 4).

{table}

## The frontier of one setting

`[bound] multiple` is how operators weigh skew against reuse; through churn:

{frontier}

![Reuse against skew](placement.png)
"""


def _plot(means: dict[tuple, Figures], frontier: dict[tuple, Figures]) -> None:
    """Plot reuse against skew for every placement policy under churn."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5), sharey=True)
    for axis, workload in zip(axes, ("appraisal desk", "cooperative")):
        for (name, situation, chooser, _), item in means.items():
            if (name, situation) == (workload, "churn"):
                axis.scatter(item.skew_p99, item.reuse, s=30)
                axis.annotate(chooser, (item.skew_p99, item.reuse), fontsize=8)
        line = [item for key, item in frontier.items() if key[0] == workload]
        axis.plot([i.skew_p99 for i in line], [i.reuse for i in line], "k--", lw=1)
        axis.set_title(f"{workload}, through churn")
        axis.set_xlabel("peak over mean load, 99th percentile")
    axes[0].set_ylabel("share of returning turns that find their prefix")
    figure.tight_layout()
    figure.savefig(DOCS / "placement.png", dpi=110)


def main() -> None:
    """Run the comparison, and write the page and its plot."""
    means = average_seeds(run_trials(table_trials()))
    frontier = average_seeds(run_trials(frontier_trials()))
    DOCS.mkdir(parents=True, exist_ok=True)
    _plot(means, frontier)
    page = PAGE.format(
        seeds=", ".join(map(str, SEEDS)),
        horizon=HORIZON_S,
        bound=DEFAULT_MULTIPLE,
        table=markdown_table(means),
        frontier=frontier_table(frontier),
    )
    (DOCS / "placement.md").write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
