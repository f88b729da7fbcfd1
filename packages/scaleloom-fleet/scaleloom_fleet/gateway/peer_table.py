"""The other routers of the fleet, and which of them are heard."""

from scaleloom_fleet.utils.addresses import Address

SILENT_INTERVAL_S = 1.0
SILENT_INTERVALS = 3
# By then all routers that started together have told each other of themselves.
RANK_SETTLES_S = 2 * SILENT_INTERVAL_S


class PeerTable:
    """
    The other routers, and when each was last heard.

    Parameters
    ----------
    own : Address
        This router's control address, which is no peer.
    """

    def __init__(self, own: Address) -> None:
        self._own = own
        self.heard_s: dict[Address, float] = {}
        self._following: set[Address] = set()

    def add(self, address: Address) -> None:
        """Take in a router that may be there."""
        if address != self._own:
            self.heard_s.setdefault(address, float("-inf"))

    def note_heard(self, address: Address, now_s: float, follows_store: bool) -> None:
        """Note that a router was heard, and whether it follows the store."""
        if address == self._own:
            return
        self.heard_s[address] = now_s
        if follows_store:
            self._following.add(address)
        else:
            self._following.discard(address)

    def followed_peers(self, now_s: float) -> int:
        """Return how many routers that are heard follow the store."""
        return len(self._following.intersection(self.lively(now_s)))

    def lively(self, now_s: float) -> list[Address]:
        """Return the routers that were heard a moment ago."""
        horizon_s = now_s - SILENT_INTERVALS * SILENT_INTERVAL_S
        return [peer for peer, at_s in self.heard_s.items() if at_s > horizon_s]

    def rank(self, now_s: float) -> int:
        """Return this router's place among those that are heard."""
        own = str(self._own)
        return sum(str(peer) < own for peer in self.lively(now_s))

    def silent(self, now_s: float) -> list[Address]:
        """Return the other routers."""
        lively = set(self.lively(now_s))
        return [peer for peer in self.heard_s if peer not in lively]
