"""Every setting of a gateway, with its type, bounds, default and effect."""

from typing import Annotated

import msgspec
from msgspec import Meta

from scaleloom_core.own_limits import OwnMeans
from scaleloom_fleet.conf.fields import (
    HostPort,
    Name,
    ObserveSection,
    Port,
    PositiveSeconds,
    Ratio,
    Seconds,
)
from scaleloom_fleet.utils.addresses import Address, parse_address


class ListenSection(msgspec.Struct, frozen=True):
    """Where a gateway listens."""

    front: Annotated[HostPort, Meta(description="For callers.")]
    ready: Annotated[HostPort, Meta(description="For the balancer's questions.")]
    peer_port: Annotated[
        Port, Meta(description="TCP and UDP port for other gateways, the same on all.")
    ]
    seeds: Annotated[
        str,
        Meta(
            description="Addresses of other gateways, separated by commas; only their"
            " hosts count."
        ),
    ] = ""


class StoreSection(msgspec.Struct, frozen=True):
    """The platform's store, and how it is read."""

    adapter: Annotated[
        str,
        Meta(
            pattern=r"^[A-Za-z_][\w.]*$",
            description="Python module that knows the platform's names and formats.",
        ),
    ]
    store: Annotated[HostPort, Meta(description="Where the store listens.")]
    timeout_s: Annotated[
        PositiveSeconds, Meta(description="Longest wait for an answer of the store.")
    ] = 1.0
    list_poll_s: Annotated[
        PositiveSeconds, Meta(description="Time between readings of the targets.")
    ] = 0.7
    retry_s: Annotated[
        PositiveSeconds, Meta(description="Time before a failed reading is repeated.")
    ] = 0.3
    config_wait_s: Annotated[
        PositiveSeconds,
        Meta(description="How long one call waits for a new configuration."),
    ] = 20.0


class CallersSection(msgspec.Struct, frozen=True):
    """How a gateway treats its callers, besides what the configuration says."""

    body_timeout_s: Annotated[
        PositiveSeconds, Meta(description="Longest time to receive a body.")
    ] = 10.0


class TargetsSection(msgspec.Struct, frozen=True):
    """How a gateway reaches targets."""

    connect_timeout_s: Annotated[
        PositiveSeconds, Meta(description="Longest time to reach a target.")
    ] = 0.25
    silence_s: Annotated[
        PositiveSeconds,
        Meta(description="How long sent bytes may stay unacknowledged."),
    ] = 0.8
    once_idle_limit_s: Annotated[
        Seconds,
        Meta(
            description="Longest idle time of a connection that carries a request"
            " that must not be repeated."
        ),
    ] = 0.3


class FleetBoundsSection(msgspec.Struct, frozen=True):
    """Bounds that all gateways keep together."""

    load_multiple: Annotated[
        float, Meta(gt=1, description="Bound on load over the service's mean.")
    ] = 2.0
    retry_ratio: Annotated[
        Ratio, Meta(description="Repeats for each request in the window.")
    ] = 0.2
    retry_extra: Annotated[
        float, Meta(ge=0, description="Repeats in the window beyond that.")
    ] = 50.0
    retry_window_s: Annotated[
        PositiveSeconds, Meta(description="Length of the window.")
    ] = 10.0


class RolloutsSection(msgspec.Struct, frozen=True):
    """How services are moved to other versions of their software."""

    is_enabled: Annotated[
        bool, Meta(description="Whether operators' orders of roll-outs are obeyed.")
    ] = True
    exposure_share: Annotated[
        Ratio,
        Meta(description="Share of a service's requests that a version on trial gets."),
    ] = 0.1
    exposure_slack: Annotated[
        float, Meta(ge=0, description="Requests beyond that, from all gateways.")
    ] = 50.0
    lateness_limit_s: Annotated[
        Seconds,
        Meta(
            description="How long after its deadline a good roll-out waits for"
            " requests at the old version; 0 cuts them at the deadline."
        ),
    ] = 15.0


class GatewayStopSection(msgspec.Struct, frozen=True):
    """How a gateway stops."""

    notice_s: Annotated[
        Seconds,
        Meta(description="Time between failing readiness and ending connections."),
    ] = 2.7
    grace_s: Annotated[
        PositiveSeconds,
        Meta(description="Time after which a process that was asked to stop is gone."),
    ] = 8.0


class GatewayInstanceSection(msgspec.Struct, frozen=True):
    """Who a gateway is."""

    name: Annotated[Name, Meta(description="Name in logs.")]
    data_centre: Annotated[Name, Meta(description="Data centre it stands in.")]
    link_mbps: Annotated[
        float,
        Meta(gt=0, description="What its link carries, in millions of bits a second."),
    ] = 1000.0


class LimitsSection(msgspec.Struct, frozen=True):
    """What a gateway's machine gives it; 0 sets no limit."""

    cores: Annotated[float, Meta(gt=0, description="Cores of the machine.")] = 1.0
    processor_share: Annotated[
        float, Meta(gt=0, description="The share of them that is the process's.")
    ] = 1.0
    memory_mb: Annotated[
        float, Meta(ge=0, description="Memory that the process may take.")
    ] = 0.0
    descriptors: Annotated[
        int, Meta(ge=0, description="Descriptors that the process may open.")
    ] = 0
    file_descriptors: Annotated[
        int, Meta(ge=0, description="How many of these are kept for files.")
    ] = 0
    link_queue_s: Annotated[
        Seconds,
        Meta(
            description="Requests are refused while sent bytes wait longer for the"
            " link."
        ),
    ] = 0.0
    lateness_s: Annotated[
        Seconds,
        Meta(
            description="Requests are refused while all timers of the process are"
            " later."
        ),
    ] = 0.0


class GatewayObserveSection(ObserveSection, frozen=True):
    """Logs, metrics and traces."""

    metrics_address: Annotated[
        HostPort | None,
        Meta(description="Where the metrics page is served; none serves none."),
    ] = None


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of a gateway."""

    instance: GatewayInstanceSection
    listen: ListenSection
    platform: StoreSection
    callers: CallersSection = CallersSection()
    targets: TargetsSection = TargetsSection()
    bounds: FleetBoundsSection = FleetBoundsSection()
    rollouts: RolloutsSection = RolloutsSection()
    stop: GatewayStopSection = GatewayStopSection()
    limits: LimitsSection = LimitsSection()
    observe: GatewayObserveSection = GatewayObserveSection()

    @property
    def means(self) -> OwnMeans:
        """Return what this gateway has, as its limits see it."""
        given = self.limits
        return OwnMeans(
            descriptors=max(0, given.descriptors - given.file_descriptors),
            memory_mb=given.memory_mb,
            link_mbps=self.instance.link_mbps,
            link_queue_s=given.link_queue_s,
            lateness_s=given.lateness_s,
        )

    @property
    def front_address(self) -> Address:
        """Return where callers connect."""
        return parse_address(self.listen.front)

    @property
    def ready_address(self) -> Address:
        """Return where the balancer asks."""
        return parse_address(self.listen.ready)

    @property
    def peer_address(self) -> Address:
        """Return where other gateways reach this one."""
        return Address(self.front_address.host, self.listen.peer_port)

    @property
    def store_address(self) -> Address:
        """Return where the store listens."""
        return parse_address(self.platform.store)

    @property
    def statsd_address(self) -> Address | None:
        """Return where metrics are sent, if anywhere."""
        listed = self.observe.statsd_address
        return parse_address(listed) if listed else None

    @property
    def metrics_address(self) -> Address | None:
        """Return where the metrics page is served, if anywhere."""
        listed = self.observe.metrics_address
        return parse_address(listed) if listed else None

    @property
    def seed_hosts(self) -> list[str]:
        """Return the hosts of the gateways that the settings name."""
        named = [seed.strip() for seed in self.listen.seeds.split(",")]
        return [parse_address(seed).host for seed in named if seed]
