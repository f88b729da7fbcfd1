"""All settings of routers and sidecars: types, bounds, defaults, descriptions."""

from typing import Annotated

import msgspec
from msgspec import Meta

from scaleloom_core.admission import DEFAULT_QUEUE_FACTOR, DEFAULT_WARM_UP_S
from scaleloom_core.customer_shares import DEFAULT_RESERVE
from scaleloom_core.idempotency import (
    DEFAULT_ENTRY_LIMIT,
    DEFAULT_RETENTION_S,
    DEFAULT_SKEW_BOUND_S,
)
from scaleloom_core.load_bound import DEFAULT_BOUND_FLOOR, DEFAULT_BOUND_MULTIPLE
from scaleloom_core.ownership import DEFAULT_LEASE_S
from scaleloom_fleet.conf.fields import (
    MEBIBYTE,
    HostPort,
    IpAddress,
    Name,
    ObserveSection,
    Port,
    PositiveSeconds,
    Ratio,
    Seconds,
)


class InstanceSection(msgspec.Struct, frozen=True):
    """Identity and addresses of the process."""

    name: Annotated[
        Name, Meta(description="Name of the process in the platform's list.")
    ]
    data_centre: Annotated[Name, Meta(description="Data centre of the process.")]
    host: Annotated[IpAddress, Meta(description="IP address to listen on.")]
    http_port: Annotated[Port, Meta(description="TCP port for HTTP.")]
    control_port: Annotated[Port, Meta(description="UDP port for control datagrams.")]
    grpc_port: Annotated[Port, Meta(description="TCP port for control calls.")]
    fleet_secret: Annotated[
        str,
        Meta(min_length=8, description="Secret shared by all processes of the fleet."),
    ]


class PlatformSection(msgspec.Struct, frozen=True):
    """Addresses of the platform's services and how they are polled."""

    log_address: Annotated[
        HostPort, Meta(description="Address of the append-only log.")
    ]
    list_address: Annotated[
        HostPort, Meta(description="Address of the list of instances.")
    ]
    weight_store_address: Annotated[
        HostPort | None,
        Meta(description="Address of the weight store, for the cost of plans."),
    ] = None
    timeout_s: Annotated[
        PositiveSeconds,
        Meta(description="Timeout of calls to the platform, in seconds."),
    ] = 1.0
    log_poll_s: Annotated[
        PositiveSeconds,
        Meta(description="Interval for polling the log's tail, in seconds."),
    ] = 0.5
    list_poll_s: Annotated[
        PositiveSeconds, Meta(description="Interval for polling the list, in seconds.")
    ] = 1.0
    sync_s: Annotated[
        PositiveSeconds,
        Meta(description="Interval of a sidecar's synchronisation, in seconds."),
    ] = 2.0
    log_retention_s: Annotated[
        PositiveSeconds,
        Meta(description="How long the log keeps a record, in seconds."),
    ] = 86400.0


class LimitsSection(msgspec.Struct, frozen=True):
    """Limits on a request."""

    body_limit_bytes: Annotated[
        int, Meta(ge=1024, description="Largest request body, in bytes.")
    ] = (8 * MEBIBYTE)
    body_timeout_s: Annotated[
        PositiveSeconds,
        Meta(description="Timeout for receiving a request body, in seconds."),
    ] = 20.0
    connect_timeout_s: Annotated[
        PositiveSeconds,
        Meta(description="Timeout for connecting to a sidecar, in seconds."),
    ] = 0.5
    answer_pause_s: Annotated[
        PositiveSeconds, Meta(description="Longest pause within an answer, in seconds.")
    ] = 60.0
    deadline_s: Annotated[
        PositiveSeconds,
        Meta(description="Deadline of a request without one, in seconds."),
    ] = 120.0
    hop_limit: Annotated[
        int, Meta(ge=1, le=16, description="Sidecars tried before a request is shed.")
    ] = 5
    retry_ratio: Annotated[
        Ratio, Meta(description="Retries after failures, as a share of the requests.")
    ] = 0.15


class AdminSection(msgspec.Struct, frozen=True):
    """Who may use the administration API."""

    operators: Annotated[
        str, Meta(description="Pairs of name:SHA-256 of the token, comma-separated.")
    ] = ""


class StopSection(msgspec.Struct, frozen=True):
    """Shutdown of a process."""

    notice_s: Annotated[
        Seconds,
        Meta(
            description="Wait before closing, so that others notice the stop, in"
            " seconds."
        ),
    ] = 5.0
    drain_limit_s: Annotated[
        PositiveSeconds,
        Meta(description="Longest wait for requests in flight, in seconds."),
    ] = 120.0


class TargetSection(msgspec.Struct, frozen=True):
    """The target of a sidecar, which only the sidecar sends requests to."""

    address: Annotated[HostPort, Meta(description="Address of the target.")]
    kind: Annotated[
        str,
        Meta(
            pattern="^(engine|service)$",
            description="Kind of target: engine or service.",
        ),
    ]
    service: Annotated[
        Name | None, Meta(description="Service that the target runs, if any.")
    ] = None
    capacity: Annotated[
        int, Meta(ge=1, description="Requests that the target processes concurrently.")
    ] = 8
    event_poll_s: Annotated[
        PositiveSeconds,
        Meta(description="Interval for polling cache events, in seconds."),
    ] = 1.0
    resume_wait_s: Annotated[
        Seconds,
        Meta(description="How long an unread stream can be resumed, in seconds."),
    ] = 2.0


class BoundSection(msgspec.Struct, frozen=True):
    """The load bound and admission."""

    multiple: Annotated[
        float,
        Meta(
            gt=1, le=10, description="Bound on load, as a multiple of the pool's mean."
        ),
    ] = DEFAULT_BOUND_MULTIPLE
    floor: Annotated[
        int, Meta(ge=1, description="Load that is always allowed, in requests.")
    ] = DEFAULT_BOUND_FLOOR
    queue_factor: Annotated[
        float, Meta(ge=1, description="Slots as a multiple of the capacity.")
    ] = DEFAULT_QUEUE_FACTOR
    reserve: Annotated[
        Ratio,
        Meta(description="Share of slots reserved for customers under their share."),
    ] = DEFAULT_RESERVE
    warm_up_s: Annotated[
        Seconds,
        Meta(description="How long a new target defers to former homes, in seconds."),
    ] = DEFAULT_WARM_UP_S
    sample_interval_s: Annotated[
        PositiveSeconds,
        Meta(description="Interval for sampling peers' load, in seconds."),
    ] = 0.25
    sample_peers: Annotated[
        int, Meta(ge=1, le=64, description="Peers in each sample.")
    ] = 8


class LeaseSection(msgspec.Struct, frozen=True):
    """Ownership of idempotency keys, whose requests run at most once."""

    lease_s: Annotated[
        PositiveSeconds,
        Meta(
            description="How long an owner may run requests after reading the log's"
            " tail, in seconds."
        ),
    ] = DEFAULT_LEASE_S
    skew_bound_s: Annotated[
        PositiveSeconds,
        Meta(description="Largest difference between two clocks, in seconds."),
    ] = DEFAULT_SKEW_BOUND_S
    retention_s: Annotated[
        PositiveSeconds,
        Meta(description="Retry window: how long a key is kept, in seconds."),
    ] = DEFAULT_RETENTION_S
    entry_limit: Annotated[
        int, Meta(ge=1, description="Largest number of keys kept.")
    ] = DEFAULT_ENTRY_LIMIT
    suspect_s: Annotated[
        PositiveSeconds,
        Meta(description="Silence after which an owner is replaced, in seconds."),
    ] = 3.0


class RouterSettings(msgspec.Struct, frozen=True):
    """All settings of a router."""

    instance: InstanceSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    admin: AdminSection = AdminSection()
    stop: StopSection = StopSection()
    observe: ObserveSection = ObserveSection()


class SidecarSettings(msgspec.Struct, frozen=True):
    """All settings of a sidecar."""

    instance: InstanceSection
    platform: PlatformSection
    target: TargetSection
    bound: BoundSection = BoundSection()
    lease: LeaseSection = LeaseSection()
    limits: LimitsSection = LimitsSection()
    stop: StopSection = StopSection()
    observe: ObserveSection = ObserveSection()
