"""All settings of a gateway: types, bounds, defaults and descriptions."""

from typing import Annotated

import msgspec
from msgspec import Meta

from scaleloom_core.process_limits import ProcessResources
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
    """Addresses on which a gateway listens."""

    front: Annotated[HostPort, Meta(description="Address for callers.")]
    ready: Annotated[
        HostPort, Meta(description="Address for the balancer's readiness checks.")
    ]
    peer_port: Annotated[
        Port,
        Meta(description="TCP and UDP port for other gateways, equal on all of them."),
    ]
    seeds: Annotated[
        str,
        Meta(
            description="Addresses of other gateways, separated by commas; their ports"
            " are ignored."
        ),
    ] = ""


class StoreSection(msgspec.Struct, frozen=True):
    """The platform's store and how it is polled."""

    adapter: Annotated[
        str,
        Meta(
            pattern=r"^[A-Za-z_][\w.]*$",
            description="Python module with the adapter to the platform's formats.",
        ),
    ]
    store: Annotated[HostPort, Meta(description="Address of the store.")]
    timeout_s: Annotated[
        PositiveSeconds, Meta(description="Timeout of calls to the store, in seconds.")
    ] = 1.0
    list_poll_s: Annotated[
        PositiveSeconds,
        Meta(description="Interval for polling the list of targets, in seconds."),
    ] = 0.7
    retry_s: Annotated[
        PositiveSeconds,
        Meta(description="Delay before a failed read is retried, in seconds."),
    ] = 0.3
    config_wait_s: Annotated[
        PositiveSeconds,
        Meta(description="Longest time that a call waits for a change, in seconds."),
    ] = 30.0


class CallersSection(msgspec.Struct, frozen=True):
    """Limits on callers that are not part of the configuration in the store."""

    body_timeout_s: Annotated[
        PositiveSeconds,
        Meta(description="Timeout for receiving a request body, in seconds."),
    ] = 10.0


class TargetsSection(msgspec.Struct, frozen=True):
    """Connections to targets."""

    connect_timeout_s: Annotated[
        PositiveSeconds,
        Meta(description="Timeout for connecting to a target, in seconds."),
    ] = 0.25
    silence_s: Annotated[
        PositiveSeconds,
        Meta(description="Longest time for sent bytes to be acknowledged, in seconds."),
    ] = 2.5
    once_idle_limit_s: Annotated[
        Seconds,
        Meta(
            description="Longest idle time of a connection that is reused for a request"
            " that must not be retried, in seconds."
        ),
    ] = 0.3


class FleetBoundsSection(msgspec.Struct, frozen=True):
    """Bounds that all gateways share."""

    load_multiple: Annotated[
        float,
        Meta(
            gt=1,
            description="Bound on load, as a multiple of the service's mean.",
        ),
    ] = 2.0
    retry_ratio: Annotated[
        Ratio, Meta(description="Retries allowed per request in the window.")
    ] = 0.2
    retry_extra: Annotated[
        float, Meta(ge=0, description="Retries allowed in the window in addition.")
    ] = 50.0
    retry_window_s: Annotated[
        PositiveSeconds, Meta(description="Length of the window, in seconds.")
    ] = 10.0


class RolloutsSection(msgspec.Struct, frozen=True):
    """Roll-outs of new versions of services."""

    is_enabled: Annotated[
        bool,
        Meta(description="Whether roll-out orders from operators are carried out."),
    ] = True
    exposure_share: Annotated[
        Ratio,
        Meta(
            description="Largest share of a service's requests for a version on trial."
        ),
    ] = 0.1
    exposure_slack: Annotated[
        float,
        Meta(ge=0, description="Requests allowed in addition, over all gateways."),
    ] = 50.0
    lateness_limit_s: Annotated[
        Seconds,
        Meta(
            description="How long after its deadline a successful roll-out waits for"
            " requests at the old version, in seconds; 0 cuts them at the deadline."
        ),
    ] = 15.0


class GatewayStopSection(msgspec.Struct, frozen=True):
    """Shutdown of a gateway."""

    notice_s: Annotated[
        Seconds,
        Meta(
            description="Time from failing readiness to closing connections, in"
            " seconds."
        ),
    ] = 2.7
    grace_s: Annotated[
        PositiveSeconds,
        Meta(description="Longest time from the stop signal to the exit, in seconds."),
    ] = 8.0


class GatewayInstanceSection(msgspec.Struct, frozen=True):
    """Identity and place of a gateway."""

    name: Annotated[Name, Meta(description="Name of the gateway in logs.")]
    data_centre: Annotated[Name, Meta(description="Data centre of the gateway.")]
    link_mbps: Annotated[
        float,
        Meta(gt=0, description="Capacity of the network link, in Mbit/s."),
    ] = 1000.0


class LimitsSection(msgspec.Struct, frozen=True):
    """Resources of the gateway process; 0 sets no limit."""

    cores: Annotated[
        float, Meta(gt=0, description="Processor cores of the machine.")
    ] = 1.0
    processor_share: Annotated[
        float, Meta(gt=0, description="Share of the cores that the process may use.")
    ] = 1.0
    memory_mb: Annotated[
        float, Meta(ge=0, description="Memory that the process may use, in MB.")
    ] = 0.0
    descriptors: Annotated[
        int, Meta(ge=0, description="File descriptors that the process may open.")
    ] = 0
    file_descriptors: Annotated[
        int, Meta(ge=0, description="Descriptors reserved for files.")
    ] = 0
    link_queue_s: Annotated[
        Seconds,
        Meta(
            description="Requests are refused while sent bytes wait longer for the"
            " link, in seconds."
        ),
    ] = 0.0
    long_transfer_share: Annotated[
        Ratio,
        Meta(
            description="Share of the link that long answers and uploads keep while"
            " short ones fill it, from 0 to 1."
        ),
    ] = 0.05
    lateness_s: Annotated[
        Seconds,
        Meta(
            description="Requests are refused while all timers of the process run"
            " later, in seconds."
        ),
    ] = 0.0


class GatewayObserveSection(ObserveSection, frozen=True):
    """Logs, metrics and traces."""

    metrics_address: Annotated[
        HostPort | None,
        Meta(description="Address of the metrics page; if empty, none is served."),
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
    def process_resources(self) -> ProcessResources:
        """Return the resources of this process for `ProcessLimits`."""
        limits = self.limits
        return ProcessResources(
            descriptors=max(0, limits.descriptors - limits.file_descriptors),
            memory_mb=limits.memory_mb,
            link_mbps=self.instance.link_mbps,
            link_queue_s=limits.link_queue_s,
            long_transfer_share=limits.long_transfer_share,
            lateness_s=limits.lateness_s,
        )

    @property
    def front_address(self) -> Address:
        """Return the address for callers."""
        return parse_address(self.listen.front)

    @property
    def ready_address(self) -> Address:
        """Return the address for the balancer's readiness checks."""
        return parse_address(self.listen.ready)

    @property
    def peer_address(self) -> Address:
        """Return the address for other gateways."""
        return Address(self.front_address.host, self.listen.peer_port)

    @property
    def store_address(self) -> Address:
        """Return the address of the store."""
        return parse_address(self.platform.store)

    @property
    def statsd_address(self) -> Address | None:
        """Return the address of the statsd server, or None."""
        address = self.observe.statsd_address
        return parse_address(address) if address else None

    @property
    def metrics_address(self) -> Address | None:
        """Return the address of the metrics page, or None."""
        address = self.observe.metrics_address
        return parse_address(address) if address else None

    @property
    def seed_hosts(self) -> list[str]:
        """Return the hosts of the gateways given as seeds, also if they are invalid."""
        seeds = [seed.strip() for seed in self.listen.seeds.split(",")]
        return [seed.partition(":")[0] for seed in seeds if seed]
