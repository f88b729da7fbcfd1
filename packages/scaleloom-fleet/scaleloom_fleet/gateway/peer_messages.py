"""Messages that routers send to each other."""

import msgspec

from scaleloom_core.crash_history import Crash
from scaleloom_core.evacuations import Evacuations
from scaleloom_core.fleet_roster import FleetMember, GroupId
from scaleloom_core.rollouts.evidence import AnswerTallies
from scaleloom_core.rollouts.orders import RolloutOrders
from scaleloom_core.rollouts.stages import RolloutSnapshot
from scaleloom_core.target_outcomes import Outcomes


class RolloutReport(msgspec.Struct, array_like=True, frozen=True):
    """
    The state of one roll-out, as one router or its group reports it.

    Parameters
    ----------
    snapshot : RolloutSnapshot
        The state of the roll-out.
    is_log_based : bool
        Whether the replaced versions are those in the log of decisions.
    drained_count : int
        How many of the reporting routers no longer use the version that is
        replaced; reported until the roll-out has ended.
    answers : AnswerTallies
        Responses since the last report; reported until the roll-out has ended.
    """

    snapshot: RolloutSnapshot
    is_log_based: bool
    drained_count: int = 0
    answers: AnswerTallies = AnswerTallies()


class PeerReport(msgspec.Struct, array_like=True, frozen=True):
    """
    A router's report for itself or for its group, sent in a datagram.

    Parameters
    ----------
    sender : FleetMember
        The reporting router; its id is its peer address as ``host:port``.
    group : GroupId
        The group to which the sender reports.
    config_version : int
        The version of the configuration in force at the sender; -1 if none is.
    list_position : int
        The offset up to which the sender has read the list of targets.
    list_digest : int
        A digest of the list's content.
    list_age_ms : int
        An upper bound of the age of the sender's list, in milliseconds.
    in_flight : dict of int to int
        Requests in flight, by target key.
    holdings : list of tuple of int
        Prompt parts that targets have recently read, as pairs of part key and
        target key.
    outcomes : dict of int to Outcomes
        Outcomes of requests since the last report, by target key.
    group_size : int
        The number of routers in the group if the report is for the whole group;
        requests in flight, holdings and outcomes are then those of the group. 0 if
        the report is for the sender alone.
    others : list of FleetMember
        The other members of the group, in some of the reports for a group.
    evacuations : Evacuations
        The evacuations in force at the sender.
    orders : RolloutOrders
        The roll-out orders in force at the sender.
    rollouts : list of RolloutReport
        The roll-out of each service that has an order.
    crashes : list of Crash
        Recent crashes of targets, with the requests that were in flight there.
    """

    sender: FleetMember
    group: GroupId
    config_version: int
    list_position: int
    list_digest: int
    list_age_ms: int
    in_flight: dict[int, int]
    holdings: list[tuple[int, int]] = []
    outcomes: dict[int, Outcomes] = {}
    group_size: int = 0
    others: list[FleetMember] = []
    evacuations: Evacuations = Evacuations()
    orders: RolloutOrders = RolloutOrders()
    rollouts: list[RolloutReport] = []
    crashes: list[Crash] = []


class PeerQuery(msgspec.Struct, array_like=True, frozen=True):
    """Which versions the querying router already has, so that they are not sent."""

    config_version: int
    list_position: int
    list_digest: int


class PeerDocuments(msgspec.Struct, array_like=True, frozen=True):
    """
    The documents that the querying router lacks.

    Parameters
    ----------
    config : bytes
        The configuration, compressed; empty if the querying router has it.
    targets : bytes
        Entries of the list of targets by their keys, compressed; empty if the
        querying router has the list.
    is_delta : bool
        Whether `targets` holds only entries that differ from the querying
        router's list.
    removed_keys : list of str
        Keys in the querying router's list that are no longer listed.
    """

    config: bytes
    list_position: int
    list_age_ms: int
    targets: bytes = b""
    is_delta: bool = False
    removed_keys: list[str] = []
