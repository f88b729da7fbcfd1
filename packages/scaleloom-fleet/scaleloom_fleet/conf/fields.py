"""Types of settings, and the section that all roles share."""

from typing import Annotated

import msgspec
from msgspec import Meta

MEBIBYTE = 1 << 20

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
IpAddress = Annotated[str, Meta(pattern=r"^[0-9.]+$|^[0-9a-fA-F:]+$")]
HostPort = Annotated[str, Meta(pattern=r"^(\[[0-9a-fA-F:]+\]|[0-9.]+):[0-9]+$")]
# The kernel's limits on silence are 32-bit numbers of milliseconds, up to 24 days.
MAX_SECONDS = 1e6
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
Ratio = Annotated[float, Meta(ge=0, le=1)]


class ObserveSection(msgspec.Struct, frozen=True):
    """Logs, metrics and traces."""

    log_level: Annotated[
        str,
        Meta(
            pattern="^(DEBUG|INFO|WARNING|ERROR)$",
            description="Lowest level that is logged.",
        ),
    ] = "INFO"
    statsd_address: Annotated[
        HostPort | None,
        Meta(
            description="Address of the statsd server; if empty, no metrics are sent."
        ),
    ] = None
    trace_ratio: Annotated[
        Ratio, Meta(description="Share of requests for which a new trace is recorded.")
    ] = 0.01
