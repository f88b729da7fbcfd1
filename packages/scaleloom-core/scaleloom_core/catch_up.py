"""Catch-up from peers when the platform's store is slow or unavailable."""

import msgspec

from scaleloom_core.ids import InstanceId

# A working store sends a new configuration to every router. Requesting it from a
# peer as well would send it over each link twice, and over the link of one peer
# once for each router.
STORE_GRACE_S = 0.5
# A transfer that occupies the router's link for longer delays the answers to
# callers; the shortest latency objectives are 0.1 s.
MAX_TRANSFER_S = 0.1
# A single peer may have lost the store without having noticed.
MIN_FOLLOWED_PEERS = 2
# Number of routers that follow the store for the whole fleet. Each change ends one
# call of each. A fault that cuts off a third of the routers from the store affects
# all of them with a probability of 1 in 700.
FOLLOWERS = 6
BITS_PER_BYTE = 8


def is_slow_transfer(document_bytes: int, link_mbps: float) -> bool:
    """
    Return whether a document occupies the router's link for too long.

    Parameters
    ----------
    document_bytes : int
        Length of the document, in bytes.
    link_mbps : float
        Bandwidth of the link, in millions of bits a second.
    """
    transfer_s = document_bytes * BITS_PER_BYTE / (link_mbps * 1e6)
    return transfer_s > MAX_TRANSFER_S


def is_follower(document_bytes: int, link_mbps: float, rank: int) -> bool:
    """
    Return whether the router at `rank` follows the store for the others.

    Parameters
    ----------
    document_bytes : int
        Length of the current configuration, in bytes; 0 if there is none.
    link_mbps : float
        Bandwidth of the router's link, in millions of bits a second.
    rank : int
        Number of live routers that precede this one. The first ones always follow
        the store; otherwise nobody would follow it in a fleet that has only
        low-bandwidth links.
    """
    return rank < max_followers(document_bytes, link_mbps)


def max_followers(document_bytes: int, link_mbps: float) -> int:
    """Return how many routers with such a link follow the store for the others."""
    is_slow = is_slow_transfer(document_bytes, link_mbps)
    return MIN_FOLLOWED_PEERS if is_slow else FOLLOWERS


def follows_peers(
    document_bytes: int, link_mbps: float, followed_peers: int, rank: int
) -> bool:
    """
    Return whether to read configurations from peers instead of from the store.

    Peers send configurations compressed, unlike the store. They report a newer
    configuration at once, provided that enough of them follow the store.

    Parameters
    ----------
    document_bytes : int
        Length of the current configuration, in bytes; 0 if there is none.
    link_mbps : float
        Bandwidth of the router's link, in millions of bits a second.
    followed_peers : int
        Number of live peers that follow the store.
    rank : int
        Number of live routers that precede this one.
    """
    has_enough_peers = followed_peers >= MIN_FOLLOWED_PEERS
    return has_enough_peers and not is_follower(document_bytes, link_mbps, rank)


class DocumentVersions(msgspec.Struct, frozen=True):
    """
    Versions of the platform's documents that a router has.

    Parameters
    ----------
    config_version : int
        Version of the current configuration; -1 if there is none.
    list_position : int
        Position up to which the list of targets was read; -1 before any reading.
    list_digest : int
        Digest of the list's contents.
    """

    config_version: int
    list_position: int
    list_digest: int

    def has_newer_config(self, other: "DocumentVersions") -> bool:
        """Return whether this configuration is newer than that of `other`."""
        return self.config_version > other.config_version

    def has_newer_list(self, other: "DocumentVersions") -> bool:
        """Return whether this list is newer than that of `other`, and differs."""
        is_newer = self.list_position > other.list_position
        return is_newer and self.list_digest != other.list_digest


class CatchUp(msgspec.Struct):
    """
    Selection of peers to request newer documents from.

    One router reads the list of targets for all, so a newer list is requested from
    a peer at once. Configurations come from the store, and are requested from a
    peer only if the store is late.

    Parameters
    ----------
    store_grace_s : float
        Time by which the store may lag behind a peer, in seconds.
    """

    store_grace_s: float = STORE_GRACE_S
    _versions_by_peer: dict[InstanceId, DocumentVersions] = msgspec.field(
        default_factory=dict
    )
    _first_reported_s: dict[int, float] = msgspec.field(default_factory=dict)

    def record_peer(
        self, peer: InstanceId, versions: DocumentVersions, now_s: float
    ) -> None:
        """Record the document versions that `peer` reports."""
        self._versions_by_peer[peer] = versions
        self._first_reported_s.setdefault(versions.config_version, now_s)

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove `peer` until it reports again."""
        self._versions_by_peer.pop(peer, None)

    def peers_to_query(
        self, own: DocumentVersions, is_store_unavailable: bool, now_s: float
    ) -> list[InstanceId]:
        """Return the peers to request documents from now, in no particular order."""
        is_late = is_store_unavailable or self._is_config_late(own, now_s)
        return [
            peer
            for peer, versions in self._versions_by_peer.items()
            if versions.has_newer_list(own)
            or (is_late and versions.has_newer_config(own))
        ]

    def _is_config_late(self, own: DocumentVersions, now_s: float) -> bool:
        """Return whether a newer configuration has been overdue from the store."""
        version = own.config_version
        self._first_reported_s = {
            v: s for v, s in self._first_reported_s.items() if v > version
        }
        horizon_s = now_s - self.store_grace_s
        return version < 0 or any(
            s <= horizon_s for s in self._first_reported_s.values()
        )
