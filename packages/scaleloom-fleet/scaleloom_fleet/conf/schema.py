"""Every setting of a router and a sidecar, with type, bounds, default and effect."""

from typing import Annotated

import msgspec
from msgspec import Meta

from scaleloom_core.admission import DEFAULT_QUEUE_FACTOR, DEFAULT_WARM_UP_S
from scaleloom_core.load import DEFAULT_BOUND_FLOOR, DEFAULT_BOUND_MULTIPLE
from scaleloom_core.once import (
    DEFAULT_ENTRY_LIMIT,
    DEFAULT_RETENTION_S,
    DEFAULT_SKEW_BOUND_S,
)
from scaleloom_core.ownership import DEFAULT_LEASE_S
from scaleloom_core.shares import DEFAULT_RESERVE
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
    """Who this process is and where it listens."""

    name: Annotated[Name, Meta(description="Name in the platform's list.")]
    data_centre: Annotated[Name, Meta(description="Data centre it stands in.")]
    host: Annotated[IpAddress, Meta(description="IP number to listen on.")]
    http_port: Annotated[Port, Meta(description="TCP port for HTTP.")]
    control_port: Annotated[Port, Meta(description="UDP port for control datagrams.")]
    grpc_port: Annotated[Port, Meta(description="TCP port for control calls.")]
    fleet_secret: Annotated[
        str, Meta(min_length=8, description="Shared by all processes of the fleet.")
    ]


class PlatformSection(msgspec.Struct, frozen=True):
    """Where the platform's services are and how they are read."""

    log_address: Annotated[HostPort, Meta(description="The append-only log.")]
    list_address: Annotated[HostPort, Meta(description="The list of instances.")]
    weight_store_address: Annotated[
        HostPort | None, Meta(description="The weight store, for the cost of plans.")
    ] = None
    timeout_s: Annotated[
        PositiveSeconds, Meta(description="Longest wait for the platform.")
    ] = 1.0
    log_poll_s: Annotated[
        PositiveSeconds, Meta(description="Time between readings of the log's tail.")
    ] = 0.5
    list_poll_s: Annotated[
        PositiveSeconds, Meta(description="Time between readings of the list.")
    ] = 1.0
    sync_s: Annotated[
        PositiveSeconds, Meta(description="Time between a sidecar's questions.")
    ] = 2.0
    log_retention_s: Annotated[
        PositiveSeconds, Meta(description="How long the log keeps a record.")
    ] = 86400.0


class LimitsSection(msgspec.Struct, frozen=True):
    """Bounds on what one request may take."""

    body_limit_bytes: Annotated[
        int, Meta(ge=1024, description="Longest request body.")
    ] = (8 * MEBIBYTE)
    body_timeout_s: Annotated[
        PositiveSeconds, Meta(description="Longest time to receive a body.")
    ] = 20.0
    connect_timeout_s: Annotated[
        PositiveSeconds, Meta(description="Longest time to reach a sidecar.")
    ] = 0.5
    answer_pause_s: Annotated[
        PositiveSeconds, Meta(description="Longest pause within an answer.")
    ] = 60.0
    deadline_s: Annotated[
        PositiveSeconds, Meta(description="Deadline of a request that states none.")
    ] = 120.0
    hop_limit: Annotated[
        int, Meta(ge=1, le=16, description="Sidecars asked before shedding.")
    ] = 5
    retry_ratio: Annotated[
        Ratio, Meta(description="Retries after failures, as a share of requests.")
    ] = 0.15


class AdminSection(msgspec.Struct, frozen=True):
    """Who may use the administration API."""

    operators: Annotated[
        str, Meta(description="Pairs name:SHA-256 of the token, separated by commas.")
    ] = ""


class StopSection(msgspec.Struct, frozen=True):
    """How a process stops."""

    notice_s: Annotated[
        Seconds,
        Meta(description="Time between failing health and closing the controller."),
    ] = 5.0
    drain_limit_s: Annotated[
        PositiveSeconds, Meta(description="Longest wait for requests in flight.")
    ] = 120.0


class TargetSection(msgspec.Struct, frozen=True):
    """The target that a sidecar stands before, as the only way to it."""

    address: Annotated[HostPort, Meta(description="Where the target listens.")]
    kind: Annotated[
        str, Meta(pattern="^(engine|service)$", description="engine or service.")
    ]
    service: Annotated[
        Name | None, Meta(description="The service that the target runs, if any.")
    ] = None
    capacity: Annotated[
        int, Meta(ge=1, description="Requests that the target works on at once.")
    ] = 8
    event_poll_s: Annotated[
        PositiveSeconds, Meta(description="Time between readings of cache events.")
    ] = 1.0
    resume_wait_s: Annotated[
        Seconds, Meta(description="How long an unread stream waits to be resumed.")
    ] = 2.0


class BoundSection(msgspec.Struct, frozen=True):
    """The load bound and what is let through."""

    multiple: Annotated[
        float, Meta(gt=1, le=10, description="Bound on load over the pool's mean.")
    ] = DEFAULT_BOUND_MULTIPLE
    floor: Annotated[
        int, Meta(ge=1, description="Load that is always allowed, in requests.")
    ] = DEFAULT_BOUND_FLOOR
    queue_factor: Annotated[
        float, Meta(ge=1, description="Places as a multiple of the capacity.")
    ] = DEFAULT_QUEUE_FACTOR
    reserve: Annotated[
        Ratio, Meta(description="Share of places kept for customers under their share.")
    ] = DEFAULT_RESERVE
    warm_up_s: Annotated[
        Seconds, Meta(description="How long a new target defers to former homes.")
    ] = DEFAULT_WARM_UP_S
    sample_interval_s: Annotated[
        PositiveSeconds, Meta(description="Time between samples of the pool.")
    ] = 0.25
    sample_peers: Annotated[
        int, Meta(ge=1, le=64, description="Peers sampled each time.")
    ] = 8


class LeaseSection(msgspec.Struct, frozen=True):
    """Ownership of keys that may run at most once."""

    lease_s: Annotated[
        PositiveSeconds,
        Meta(description="How long an owner runs work after reading the log's tail."),
    ] = DEFAULT_LEASE_S
    skew_bound_s: Annotated[
        PositiveSeconds, Meta(description="How far two clocks may differ.")
    ] = DEFAULT_SKEW_BOUND_S
    retention_s: Annotated[
        PositiveSeconds, Meta(description="Retry window: how long a key is kept.")
    ] = DEFAULT_RETENTION_S
    entry_limit: Annotated[int, Meta(ge=1, description="Most keys remembered.")] = (
        DEFAULT_ENTRY_LIMIT
    )
    suspect_s: Annotated[
        PositiveSeconds, Meta(description="Silence after which an owner is replaced.")
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
