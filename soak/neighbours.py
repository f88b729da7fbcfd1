"""What neighbours of gateways did that takes much of them, and what was seen of it."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from soak.processes import GatewayProcess


@dataclass
class EndlessPeriod:
    """A time in which a neighbour sent without an end, on trio's clock."""

    description: str
    from_s: float
    to_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class StartTrouble:
    """A trouble of a gateway's start, and when it was over, on trio's clock."""

    description: str
    gateway: GatewayProcess
    ended_s: float


@dataclass(frozen=True, slots=True)
class ReadinessProbe:
    """
    One call of a readiness page.

    Parameters
    ----------
    length_s : float
        How long it took until the page was answered or closed, or was given up.
    status : int or None
        None if there was no answer.
    is_given_up : bool
        Whether the connection was open and no answer came in time.
    """

    gateway: GatewayProcess
    sent_s: float
    length_s: float
    status: int | None
    is_given_up: bool


@dataclass(frozen=True, slots=True)
class MemoryPeak:
    """The most memory that one process of a gateway had, in millions of bytes."""

    memory_mb: float
    at_s: float


@dataclass
class NeighbourRecord:
    """
    What neighbours did, and what was seen of the gateways.

    Parameters
    ----------
    busy : set of str
        The kinds of fault that go on, of which there is one at a time.
    surge : trio.Event
        Set while many callers send long bodies.
    surge_to : GatewayProcess or None
        The gateway that they send them to; None for all.
    uploads : trio.Event
        Set while callers send the uploads that targets answer early.
    are_answers_long : bool
        Whether callers ask for answers longer than what a gateway holds back.
    memory_peaks : dict of tuple to MemoryPeak
        By the gateway's name and the number of its process.
    long_problems : list of str
        What was wrong with long answers.
    met : list of str
        What the gateways met, in the order of its beginning or end.
    """

    busy: set[str] = field(default_factory=set)
    surge: trio.Event = field(default_factory=trio.Event)
    surge_to: GatewayProcess | None = None
    uploads: trio.Event = field(default_factory=trio.Event)
    are_answers_long: bool = False
    endless_periods: list[EndlessPeriod] = field(default_factory=list)
    start_troubles: list[StartTrouble] = field(default_factory=list)
    probes: list[ReadinessProbe] = field(default_factory=list)
    memory_peaks: dict[tuple[str, int], MemoryPeak] = field(default_factory=dict)
    long_problems: list[str] = field(default_factory=list)
    met: list[str] = field(default_factory=list)

    @contextmanager
    def alone(self, kind: str) -> Iterator[bool]:
        """Yield whether no other fault of `kind` goes on, and note that one does."""
        if kind in self.busy:
            yield False
            return
        self.busy.add(kind)
        try:
            yield True
        finally:
            self.busy.discard(kind)

    @contextmanager
    def sending(self, description: str) -> Iterator[None]:
        """Record a time in which a neighbour sends without an end."""
        period = EndlessPeriod(description, trio.current_time())
        self.endless_periods.append(period)
        self.met.append(description)
        try:
            yield
        finally:
            period.to_s = trio.current_time()
