"""Routes whose answers take long, so that silences fall within them."""

from tests.fixtures.gateways import route

SLOW_SUFFIX = "-slow"
SLOW_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 1_000_000
# The kinds of request as on the routes whose answers come at once.
SLOW_KINDS = ("safe", "once", "stream", "stream-once")
# Four events take about half a second.
SLOW_PAUSE_RANGE_S = (0.05, 0.2)


def slow_routes() -> list[dict[str, object]]:
    """Return a route of each kind with a long time-out."""
    timeout_ms = int(1000 * SLOW_TIMEOUT_S)

    def slow(kind: str, name: str, **fields: object) -> dict[str, object]:
        return route(name + SLOW_SUFFIX, kind, timeout_ms=timeout_ms, **fields)

    return [
        slow("safe", "safe", attempts=2),
        slow("unsafe", "once"),
        slow("stream", "stream", attempts=3, resumable=True),
        slow("stream", "stream-once"),
    ]


def slow_path(kind: str) -> str:
    """Return the path of a request of `kind` whose answer takes long."""
    return f"/{kind}{SLOW_SUFFIX}/1"


def is_slow_path(path: str) -> bool:
    """Return whether the answer to a request for `path` takes long."""
    return f"{SLOW_SUFFIX}/" in path
