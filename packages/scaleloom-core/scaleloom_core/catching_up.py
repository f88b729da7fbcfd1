"""When a router asks a peer for what the platform's store has not told it."""

import msgspec

from scaleloom_core.ids import InstanceId

# A store that works gives a configuration to every router by itself. Asking a
# peer as well would send it over each link twice, and over one peer's link
# once for every router.
STORE_LEAD_S = 0.5
# A configuration that fills the own link for longer delays callers' answers;
# the shortest objectives of the users' sheets are 0.1 s.
HEAVY_TRANSFER_S = 0.1
# One peer may be cut from the store and not know it yet.
LEAST_FOLLOWED = 2
# So many routers follow the store for a whole fleet. Each change ends one call
# of each; that all of them are cut off at once, by a fault that takes a third
# of the routers, happens once in 700 times.
FOLLOWERS = 6
BITS_PER_BYTE = 8


def is_heavy(document_bytes: int, link_mbps: float) -> bool:
    """
    Return whether a document fills the own link for too long.

    Parameters
    ----------
    link_mbps : float
        What the link carries, in millions of bits a second.
    """
    transfer_s = document_bytes * BITS_PER_BYTE / (link_mbps * 1e6)
    return transfer_s > HEAVY_TRANSFER_S


def is_follower(document_bytes: int, link_mbps: float, rank: int) -> bool:
    """
    Return whether the router at `rank` follows the store for the others.

    Parameters
    ----------
    document_bytes : int
        The length of the configuration in force; 0 if none is.
    rank : int
        The own place among the routers that are heard. The first ones always
        follow the store, or a fleet of thin links alone would leave it together.
    """
    wanted = LEAST_FOLLOWED if is_heavy(document_bytes, link_mbps) else FOLLOWERS
    return rank < wanted


def follows_peers(
    document_bytes: int, link_mbps: float, followed_peers: int, rank: int
) -> bool:
    """
    Return whether to take configurations from peers rather than from the store.

    The store sends them as they are, peers send them packed. Peers tell at once
    that a newer one is in force with them, if enough of them follow the store.

    Parameters
    ----------
    document_bytes : int
        The length of the configuration in force; 0 if none is.
    followed_peers : int
        How many peers are heard that follow the store themselves.
    rank : int
        The own place among the routers that are heard.
    """
    is_told = followed_peers >= LEAST_FOLLOWED
    return is_told and not is_follower(document_bytes, link_mbps, rank)


class Knowledge(msgspec.Struct, frozen=True):
    """
    What one router knows of the platform's documents.

    Parameters
    ----------
    config_version : int
        The configuration in force; -1 if none is.
    list_position : int
        How far the list of targets was read; -1 if it never was.
    list_digest : int
        Stands for what the list says.
    """

    config_version: int
    list_position: int
    list_digest: int

    def has_newer_config(self, other: "Knowledge") -> bool:
        """Return whether this configuration is newer than the one of `other`."""
        return self.config_version > other.config_version

    def has_newer_list(self, other: "Knowledge") -> bool:
        """Return whether this list is newer than the one of `other`, and differs."""
        is_newer = self.list_position > other.list_position
        return is_newer and self.list_digest != other.list_digest


class CatchUp(msgspec.Struct):
    """
    Knows which peers are ahead, and since when a configuration is missing.

    The list of targets is read by one router for all, so a peer that has a
    newer one is asked at once. A configuration comes from the store, and from
    a peer only if the store is late with it.

    Parameters
    ----------
    store_lead_s : float
        How long the store may be behind a peer, in seconds.
    """

    store_lead_s: float = STORE_LEAD_S
    _told: dict[InstanceId, Knowledge] = msgspec.field(default_factory=dict)
    _heard_s: dict[int, float] = msgspec.field(default_factory=dict)

    def note(self, peer: InstanceId, told: Knowledge, now_s: float) -> None:
        """Take in what `peer` says that it knows."""
        self._told[peer] = told
        self._heard_s.setdefault(told.config_version, now_s)

    def forget(self, peer: InstanceId) -> None:
        """Ask `peer` for nothing until it is heard again."""
        self._told.pop(peer, None)

    def peers_to_ask(
        self, own: Knowledge, is_store_away: bool, now_s: float
    ) -> list[InstanceId]:
        """Return the peers that should be asked now, in no particular order."""
        is_late = is_store_away or self._is_config_late(own, now_s)
        return [
            peer
            for peer, told in self._told.items()
            if told.has_newer_list(own) or (is_late and told.has_newer_config(own))
        ]

    def _is_config_late(self, own: Knowledge, now_s: float) -> bool:
        """Return whether a newer configuration was heard of long enough ago."""
        version = own.config_version
        self._heard_s = {v: s for v, s in self._heard_s.items() if v > version}
        horizon_s = now_s - self.store_lead_s
        return version < 0 or any(s <= horizon_s for s in self._heard_s.values())
