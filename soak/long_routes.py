"""Routes of a service whose requests and answers may be long."""

from tests.fixtures.gateways import route

LONG = "long"
LONG_MAX_BODY_BYTES = 4 * 1024 * 1024
# More than the kernel takes for a target that reads nothing: 4 MiB, and a window.
UPLOAD_RANGE_BYTES = (5_000_000, 6_000_000)
# The kinds of request whose answers are long, and those whose bodies are.
LONG_KINDS = ("long-safe", "long-once", "long-stream", "long-resumable")
RESUMABLE_KIND = "long-resumable"
FILE_KINDS = ("file-safe", "file-once")
UPLOAD_STREAM_KINDS = ("file-stream", "file-resumable")
UPLOAD_KINDS = (*FILE_KINDS, *UPLOAD_STREAM_KINDS)
LONG_AT_MOST_ONCE_KINDS = ("long-once", "file-once")
# A body of the maximum length takes long when many others are sent at once.
FILE_TIMEOUT_S = 4.0


def long_routes() -> list[dict[str, object]]:
    """Return a route of each kind."""
    timeout_ms = int(1000 * FILE_TIMEOUT_S)
    uploads = {"service": LONG, "timeout_ms": timeout_ms}
    return [
        route("long-safe", "safe", service=LONG, attempts=2),
        route("long-once", "unsafe", service=LONG),
        route("long-stream", "stream", service=LONG, attempts=2),
        route(RESUMABLE_KIND, "stream", service=LONG, attempts=2, resumable=True),
        route("file-safe", "safe", attempts=2, **uploads),
        route("file-once", "unsafe", **uploads),
        route("file-stream", "stream", attempts=2, **uploads),
        route("file-resumable", "stream", attempts=2, resumable=True, **uploads),
    ]


def is_long_kind(kind: str) -> bool:
    """Return whether requests of `kind` are for the service with long messages."""
    return kind in LONG_KINDS or kind in UPLOAD_KINDS
