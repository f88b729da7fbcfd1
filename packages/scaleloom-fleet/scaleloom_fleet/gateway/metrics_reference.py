"""Renders the table of metrics in the reference documentation; prints it when run."""

from scaleloom_fleet.gateway.metric_definitions import DEFINITIONS

_TABLE_HEAD = ["| name | kind | labels | meaning |", "|---|---|---|---|"]


def render_table() -> str:
    """Return the gateway's metrics as a Markdown table."""
    rows = [
        f"| `{item.name}` | {item.metric_type.value} | "
        f"{', '.join(f'`{label}`' for label in item.labels)} | {item.help} |"
        for item in DEFINITIONS
    ]
    return "\n".join([*_TABLE_HEAD, *rows]) + "\n"


if __name__ == "__main__":
    print(render_table(), end="")
