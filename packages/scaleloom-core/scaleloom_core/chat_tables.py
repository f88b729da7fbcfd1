"""Bounded tables of a target's chats: cached ones, and ones served elsewhere."""

from collections import OrderedDict
from dataclasses import dataclass

from scaleloom_core.ids import ChatId, TargetId

DEFAULT_CACHED_LIMIT = 8192
DEFAULT_DISPLACED_LIMIT = 4096
DEFAULT_DISPLACED_TTL_S = 3600.0


class CachedChats:
    """
    Chats whose prefix is probably cached by this target, oldest first.

    Parameters
    ----------
    limit : int
        Maximum number of chats; the oldest is removed first.
    """

    def __init__(self, limit: int = DEFAULT_CACHED_LIMIT) -> None:
        self._limit = limit
        self._last_served_s: OrderedDict[ChatId, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of chats in the table."""
        return len(self._last_served_s)

    def __contains__(self, chat: ChatId) -> bool:
        """Return whether the prefix of `chat` is probably cached."""
        return chat in self._last_served_s

    def record_served(self, chat: ChatId, now_s: float) -> None:
        """Record that `chat` was served by this target."""
        self._last_served_s[chat] = now_s
        self._last_served_s.move_to_end(chat)
        if len(self._last_served_s) > self._limit:
            self._last_served_s.popitem(last=False)

    def record_evicted(self, chat: ChatId) -> None:
        """Remove a chat whose prefix the engine evicted."""
        self._last_served_s.pop(chat, None)

    def clear(self) -> None:
        """Remove all chats, since the engine's cache was emptied."""
        self._last_served_s.clear()

    def record_event_gap(self, before_s: float) -> None:
        """
        Remove chats that may have been evicted during a gap in the engine's events.

        Chats served at `before_s` or later are kept, because the engine evicts the
        least recently used prefixes first.
        """
        for chat, served_s in list(self._last_served_s.items()):
            if served_s >= before_s:
                break
            del self._last_served_s[chat]


@dataclass
class _Displacement:
    """Target that serves a chat, and when the chat was last used."""

    target: TargetId
    used_at_s: float


class DisplacedChats:
    """
    Directory of chats whose home is this target but which another target serves.

    Parameters
    ----------
    limit : int
        Maximum number of chats; the least recently used is removed first.
    ttl_s : float
        Time after which an unused entry expires, in seconds.
    """

    def __init__(
        self,
        limit: int = DEFAULT_DISPLACED_LIMIT,
        ttl_s: float = DEFAULT_DISPLACED_TTL_S,
    ) -> None:
        self._limit = limit
        self._ttl_s = ttl_s
        self._entries: OrderedDict[ChatId, _Displacement] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of chats in the table."""
        return len(self._entries)

    def record(self, chat: ChatId, target: TargetId, now_s: float) -> None:
        """Record that `target` serves `chat`."""
        self._entries[chat] = _Displacement(target, now_s)
        self._entries.move_to_end(chat)
        if len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def find(self, chat: ChatId, now_s: float) -> TargetId | None:
        """Return the target that serves `chat`, or None if that is not known."""
        entry = self._entries.get(chat)
        if entry is None:
            return None
        if entry.used_at_s + self._ttl_s < now_s:
            del self._entries[chat]
            return None
        entry.used_at_s = now_s
        self._entries.move_to_end(chat)
        return entry.target

    def remove(self, chat: ChatId) -> None:
        """Remove `chat`, which is served by its home again."""
        self._entries.pop(chat, None)
