"""Routes of a service whose requests and answers may be long."""

from tests.fixtures.gateways import route

LONG = "long"
LONG_MAX_BODY_BYTES = 4 * 1024 * 1024
# The kinds of request whose answers are long, and those whose bodies are.
LONG_KINDS = ("long-safe", "long-once", "long-stream", "long-resumable")
RESUMABLE_KIND = "long-resumable"
FILE_KINDS = ("file-safe", "file-once")
LONG_AT_MOST_ONCE_KINDS = ("long-once", "file-once")
# A body of the maximum length takes long when many others are sent at once.
FILE_TIMEOUT_S = 4.0


def long_routes() -> list[dict[str, object]]:
    """Return a route of each kind."""
    timeout_ms = int(1000 * FILE_TIMEOUT_S)
    return [
        route("long-safe", "safe", service=LONG, attempts=2),
        route("long-once", "unsafe", service=LONG),
        route("long-stream", "stream", service=LONG, attempts=2),
        route(RESUMABLE_KIND, "stream", service=LONG, attempts=2, resumable=True),
        route("file-safe", "safe", service=LONG, attempts=2, timeout_ms=timeout_ms),
        route("file-once", "unsafe", service=LONG, timeout_ms=timeout_ms),
    ]


def is_long_kind(kind: str) -> bool:
    """Return whether requests of `kind` are for the service with long messages."""
    return kind in LONG_KINDS or kind in FILE_KINDS
