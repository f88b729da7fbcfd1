"""Ordered candidates for a chat, by weighted rendezvous hashing over slots."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from scaleloom_core.hashing import hash_text, rendezvous_score
from scaleloom_core.ids import ChatId, TargetId

CANDIDATE_COUNT = 4
SLOT_COUNT = 16384

# At 29 models this keeps a router's tables within 6 MB.
CACHED_SLOT_LIMIT = 1024


class PoolMember(msgspec.Struct, frozen=True):
    """One target that serves a pool, with its relative capacity."""

    target: TargetId
    weight: float = 1.0
    is_near: bool = True


class PlacementTable:
    """
    The slot table of one pool: the targets that serve one model and version.

    A slot's candidates are worked out when first asked for and kept for a
    while, so that a change of the members costs nothing up front and a request
    mostly costs one lookup.

    Parameters
    ----------
    members : list of PoolMember
        The targets that serve the pool.
    """

    def __init__(self, members: list[PoolMember]) -> None:
        self.members = members
        self._candidates_by_slot: dict[int, tuple[TargetId, ...]] = {}

    def candidates(self, chat: ChatId) -> tuple[TargetId, ...]:
        """
        Return the best targets for `chat`, the home first.

        Members of the router's own region come before all others, since a
        chat's turns stay in a region while it lives; inside a region the data
        centre does not count, or a chat that returns through another data
        centre would lose its prefix.
        """
        slot = hash_text(chat) % SLOT_COUNT
        found = self._candidates_by_slot.get(slot)
        if found is None:
            found = self._rank(slot)
            if len(self._candidates_by_slot) >= CACHED_SLOT_LIMIT:
                self._candidates_by_slot.clear()
            self._candidates_by_slot[slot] = found
        return found

    def _rank(self, slot: int) -> tuple[TargetId, ...]:
        """Return the candidates of `slot`, best first."""
        name = str(slot)
        ranked = sorted(
            self.members,
            key=lambda member: (
                member.is_near,
                rendezvous_score(name, member.target, member.weight),
            ),
            reverse=True,
        )
        return tuple(member.target for member in ranked[:CANDIDATE_COUNT])


class Standing(Enum):
    """Why a target is offered a request."""

    HOME = "home"
    REDIRECTED = "redirected"
    FORMER_HOME = "former_home"
    FALLBACK = "fallback"
    LAST_RESORT = "last_resort"


class Offer(msgspec.Struct, frozen=True):
    """A request offered to a target, and how far the search has come."""

    target: TargetId
    standing: Standing
    is_final: bool


class RouteSearch(msgspec.Struct):
    """
    One request's walk over its candidates.

    Parameters
    ----------
    candidates : tuple of TargetId
        Best first, from `PlacementTable.candidates`.
    hop_limit : int
        How many targets may be asked before the request is shed.
    """

    candidates: tuple[TargetId, ...]
    hop_limit: int = 4
    _asked: set[TargetId] = msgspec.field(default_factory=set)
    _pending: list[Offer] = msgspec.field(default_factory=list)
    _hops: int = 0

    @property
    def home(self) -> TargetId | None:
        """Return the target that keeps track of the chat."""
        return self.candidates[0] if self.candidates else None

    def next_offer(self) -> Offer | None:
        """Return whom to ask next, or None once the request is to be shed."""
        if self._hops >= self.hop_limit:
            return None
        offer = self._take_pending() or self._take_candidate()
        if offer is None:
            return None
        self._hops += 1
        self._asked.add(offer.target)
        return offer

    def note_redirect(self, offer: Offer, alternative: TargetId | None) -> None:
        """
        Take in that `offer`'s target knows a warmer place.

        The target itself is asked again, for good, if the warmer place
        declines, since it has room and only lacks the prefix.
        """
        if offer.standing is Standing.FORMER_HOME:
            self._follow(alternative)
            return
        again = Offer(offer.target, Standing.LAST_RESORT, is_final=True)
        self._pending.insert(0, again)
        former = alternative or self._second_choice(offer.target)
        self._follow(former)

    def note_send_on(self, offer: Offer, alternative: TargetId | None) -> None:
        """Take in that a target has room, but would rather see a peer take it."""
        again = Offer(offer.target, Standing.LAST_RESORT, is_final=True)
        self._pending.insert(0, again)
        if alternative is not None and alternative not in self._asked:
            peer = Offer(alternative, Standing.REDIRECTED, is_final=True)
            self._pending.insert(0, peer)

    def note_refusal(self, alternative: TargetId | None) -> None:
        """Take in that a target has no room and perhaps knows who has."""
        if alternative is not None and alternative not in self._asked:
            self._pending.append(Offer(alternative, Standing.REDIRECTED, is_final=True))

    def _follow(self, target: TargetId | None) -> None:
        """Ask next whether `target` holds the prefix."""
        if target is not None and target not in self._asked:
            offer = Offer(target, Standing.FORMER_HOME, is_final=False)
            self._pending.insert(0, offer)

    def _take_pending(self) -> Offer | None:
        """Return the next target that a refusal named."""
        return self._pending.pop(0) if self._pending else None

    def _take_candidate(self) -> Offer | None:
        """Return the next candidate in rendezvous order."""
        for target in self.candidates:
            if target not in self._asked:
                is_first = not self._asked
                standing = Standing.HOME if is_first else Standing.FALLBACK
                return Offer(target, standing, is_final=not is_first)
        return None

    def _second_choice(self, home: TargetId) -> TargetId | None:
        """Return the best candidate but `home`: its predecessor if it joined."""
        for target in self.candidates:
            if target != home:
                return target
        return None


def leader(slot: str, members: Iterator[str] | list[str]) -> str | None:
    """Return the member that rendezvous hashing names for `slot`."""
    return max(
        members, key=lambda member: rendezvous_score(slot, member, 1.0), default=None
    )
