"""Placement of chats on targets by weighted rendezvous hashing over hash slots."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from scaleloom_core.hashing import hash_text, rendezvous_score
from scaleloom_core.ids import ChatId, TargetId

CANDIDATE_COUNT = 4
HASH_SLOT_COUNT = 16384

# Keeps the tables of a router within 6 MB for 29 models.
CACHED_SLOT_LIMIT = 1024


class PoolMember(msgspec.Struct, frozen=True):
    """Target of a pool, with its relative capacity."""

    target: TargetId
    weight: float = 1.0
    is_same_region: bool = True


class PlacementTable:
    """
    Hash slots of one pool, the targets that serve a model and version.

    The candidates of a slot are ranked on first use and cached, so that a change
    of the members costs nothing up front and most requests cost one lookup.

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
        Return the candidates for `chat`, best first, starting with its home.

        Members in the router's region come before all others, because the turns
        of a chat normally stay in one region. Within a region the data centre is
        ignored, since a chat that returns through another data centre would
        otherwise lose its cached prefix.
        """
        slot = hash_text(chat) % HASH_SLOT_COUNT
        ranked = self._candidates_by_slot.get(slot)
        if ranked is None:
            ranked = self._rank(slot)
            if len(self._candidates_by_slot) >= CACHED_SLOT_LIMIT:
                self._candidates_by_slot.clear()
            self._candidates_by_slot[slot] = ranked
        return ranked

    def _rank(self, slot: int) -> tuple[TargetId, ...]:
        """Return the candidates of the hash slot `slot`, best first."""
        name = str(slot)
        ranked = sorted(
            self.members,
            key=lambda member: (
                member.is_same_region,
                rendezvous_score(name, member.target, member.weight),
            ),
            reverse=True,
        )
        return tuple(member.target for member in ranked[:CANDIDATE_COUNT])


class CandidateRole(Enum):
    """Reason for offering a request to a target."""

    HOME = "home"
    REDIRECTED = "redirected"
    FORMER_HOME = "former_home"
    FALLBACK = "fallback"
    LAST_RESORT = "last_resort"


class Offer(msgspec.Struct, frozen=True):
    """Offer of a request to a target, which may not redirect a final offer."""

    target: TargetId
    role: CandidateRole
    is_final: bool


class CandidateSearch(msgspec.Struct):
    """
    Search for a target among the candidates of one request.

    Parameters
    ----------
    candidates : tuple of TargetId
        The candidates from `PlacementTable.candidates`, best first.
    hop_limit : int
        Number of offers after which the request is shed.
    """

    candidates: tuple[TargetId, ...]
    hop_limit: int = 4
    _offered: set[TargetId] = msgspec.field(default_factory=set)
    _pending: list[Offer] = msgspec.field(default_factory=list)
    _hops: int = 0

    @property
    def home(self) -> TargetId | None:
        """Return the target that records where the chat is served, or None."""
        return self.candidates[0] if self.candidates else None

    def next_offer(self) -> Offer | None:
        """Return the next offer, or None if the request is to be shed."""
        if self._hops >= self.hop_limit:
            return None
        offer = self._next_pending() or self._next_candidate()
        if offer is None:
            return None
        self._hops += 1
        self._offered.add(offer.target)
        return offer

    def apply_redirect(self, offer: Offer, alternative: TargetId | None) -> None:
        """
        Apply the answer that another target may hold the prefix.

        The target of `offer` has a free slot and lacks only the prefix, so it gets
        a final offer if the other target declines.
        """
        if offer.role is CandidateRole.FORMER_HOME:
            self._offer_to_former_home(alternative)
            return
        retry = Offer(offer.target, CandidateRole.LAST_RESORT, is_final=True)
        self._pending.insert(0, retry)
        former = alternative or self._second_choice(offer.target)
        self._offer_to_former_home(former)

    def apply_deferral(self, offer: Offer, alternative: TargetId | None) -> None:
        """Apply the answer that a target could serve the request but prefers a peer."""
        retry = Offer(offer.target, CandidateRole.LAST_RESORT, is_final=True)
        self._pending.insert(0, retry)
        if alternative is not None and alternative not in self._offered:
            peer = Offer(alternative, CandidateRole.REDIRECTED, is_final=True)
            self._pending.insert(0, peer)

    def apply_refusal(self, alternative: TargetId | None) -> None:
        """Apply a refusal of a target without free slots, which may name another."""
        if alternative is not None and alternative not in self._offered:
            self._pending.append(
                Offer(alternative, CandidateRole.REDIRECTED, is_final=True)
            )

    def _offer_to_former_home(self, target: TargetId | None) -> None:
        """Offer the request next to `target`, which may hold the prefix."""
        if target is not None and target not in self._offered:
            offer = Offer(target, CandidateRole.FORMER_HOME, is_final=False)
            self._pending.insert(0, offer)

    def _next_pending(self) -> Offer | None:
        """Remove and return the next offer that an answer led to, or None."""
        return self._pending.pop(0) if self._pending else None

    def _next_candidate(self) -> Offer | None:
        """Return an offer to the next candidate in rendezvous order, or None."""
        for target in self.candidates:
            if target not in self._offered:
                is_first = not self._offered
                role = CandidateRole.HOME if is_first else CandidateRole.FALLBACK
                return Offer(target, role, is_final=not is_first)
        return None

    def _second_choice(self, home: TargetId) -> TargetId | None:
        """Return the best candidate except `home`, its predecessor if `home` is new."""
        for target in self.candidates:
            if target != home:
                return target
        return None


def rendezvous_leader(slot: str, members: Iterator[str] | list[str]) -> str | None:
    """Return the member with the highest rendezvous score for `slot`, or None."""
    return max(
        members, key=lambda member: rendezvous_score(slot, member, 1.0), default=None
    )
