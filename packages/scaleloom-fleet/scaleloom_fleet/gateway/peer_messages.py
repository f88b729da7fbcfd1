"""What routers send each other."""

import msgspec

from scaleloom_core.crash_table import End
from scaleloom_core.evacuations import Evacuations
from scaleloom_core.fleet_roster import FleetMember, GroupId
from scaleloom_core.rollouts.evidence import SeenAnswers
from scaleloom_core.rollouts.orders import RolloutOrders
from scaleloom_core.rollouts.stages import Standing
from scaleloom_core.target_outcomes import Outcomes


class RolloutNews(msgspec.Struct, array_like=True, frozen=True):
    """
    What one router or its group says of one roll-out.

    Parameters
    ----------
    is_grounded : bool
        Whether the former versions are those that the log of decisions tells.
    clear : int
        How many of the routers that this speaks for have left the version that
        is replaced; told until the roll-out has ended.
    seen : SeenAnswers
        Since the last report; told until the roll-out has ended.
    """

    standing: Standing
    is_grounded: bool
    clear: int = 0
    seen: SeenAnswers = SeenAnswers()


class PeerReport(msgspec.Struct, array_like=True, frozen=True):
    """
    One router's report of itself or of its group, sent in a datagram.

    Parameters
    ----------
    sender : FleetMember
        The router, by its control address as ``host:port``.
    group : GroupId
        The group to which the sender reports.
    config_version : int
        The configuration in force there; -1 if none is.
    list_position : int
        How far it has read the list of targets.
    list_digest : int
        Stands for what the list says.
    list_age_ms : int
        How old its list may be, in milliseconds.
    held : dict of int to int
        Requests held, by the target's number.
    holdings : list of tuple of int
        Prompt parts that targets were seen to read lately, by their numbers.
    outcomes : dict of int to Outcomes
        How requests fared since the last report, by the target's number.
    speaks_for : int
        The routers of the group if the report speaks for all of them: then what
        is held and was seen is the group's. 0 if it speaks for the sender.
    others : list of FleetMember
        The other members of the group, now and then in a report for all of them.
    evacuations : Evacuations
        Those that the sender knows to stand.
    orders : RolloutOrders
        Those that the sender knows to stand.
    rollouts : list of RolloutNews
        Of each service with an order, as of the sender or of its group.
    ends : list of End
        Targets that ended lately, and what was under way there.
    """

    sender: FleetMember
    group: GroupId
    config_version: int
    list_position: int
    list_digest: int
    list_age_ms: int
    held: dict[int, int]
    holdings: list[tuple[int, int]] = []
    outcomes: dict[int, Outcomes] = {}
    speaks_for: int = 0
    others: list[FleetMember] = []
    evacuations: Evacuations = Evacuations()
    orders: RolloutOrders = RolloutOrders()
    rollouts: list[RolloutNews] = []
    ends: list[End] = []


class PeerQuery(msgspec.Struct, array_like=True, frozen=True):
    """What the asking router knows already, so that it is not sent again."""

    config_version: int
    list_position: int
    list_digest: int


class PeerDocuments(msgspec.Struct, array_like=True, frozen=True):
    """
    What the store told one router, for another that it told less.

    Parameters
    ----------
    config : bytes
        The configuration, compressed; empty if the asking router knows it.
    targets : bytes
        Entries of the list of targets by their keys, compressed; empty if the
        asking router knows the list.
    is_change : bool
        Whether these are only the entries that differ from what it knows.
    gone : list of str
        The keys that it knows and that are listed no more.
    """

    config: bytes
    list_position: int
    list_age_ms: int
    targets: bytes = b""
    is_change: bool = False
    gone: list[str] = []
