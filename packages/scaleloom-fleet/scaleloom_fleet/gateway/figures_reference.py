"""The documented table of the metrics page; printed when run."""

from scaleloom_fleet.gateway.figures import DEFINITIONS

_HEAD = ["| name | kind | labels | meaning |", "|---|---|---|---|"]


def render_table() -> str:
    """Return every metric of a gateway's page as the rows of a table."""
    rows = [
        f"| `{item.name}` | {item.form.value} | "
        f"{', '.join(f'`{label}`' for label in item.labels)} | {item.help} |"
        for item in DEFINITIONS
    ]
    return "\n".join([*_HEAD, *rows]) + "\n"


if __name__ == "__main__":
    print(render_table(), end="")
