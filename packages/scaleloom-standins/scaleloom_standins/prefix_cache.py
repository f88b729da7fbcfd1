"""Prefix cache of the simulated engine, with an event log that can lose events."""

import itertools
from collections import OrderedDict, deque

from scaleloom_fleet.platform.engine import CacheEvent

MAX_EVENTS = 5000


class PrefixCache:
    """Cached prompt prefixes by chat, evicted in least-recently-used order."""

    def __init__(self, limit_tokens: int) -> None:
        self._limit_tokens = limit_tokens
        self._tokens_by_chat: OrderedDict[str, int] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._sequence = itertools.count()

    def cached_tokens(self, chat: str) -> int:
        """Return the number of cached tokens of the prompt of `chat`."""
        return self._tokens_by_chat.get(chat, 0)

    def store(self, chat: str, tokens: int, now_s: float) -> None:
        """Store the prefix of `chat` and evict others beyond the token limit."""
        self._tokens_by_chat[chat] = tokens
        self._tokens_by_chat.move_to_end(chat)
        self._publish(chat, False, now_s)
        while sum(self._tokens_by_chat.values()) > self._limit_tokens:
            evicted, _ = self._tokens_by_chat.popitem(last=False)
            self._publish(evicted, True, now_s)

    def clear(self, now_s: float) -> None:
        """Evict everything."""
        for chat in self._tokens_by_chat:
            self._publish(chat, True, now_s)
        self._tokens_by_chat.clear()

    def events_after(self, sequence: int, before_s: float) -> list[CacheEvent]:
        """Return the events after `sequence` that were published up to `before_s`."""
        return [
            event
            for at_s, event in self._events
            if event.sequence > sequence and at_s <= before_s
        ]

    def _publish(self, chat: str, is_evicted: bool, now_s: float) -> None:
        """Publish one event."""
        event = CacheEvent(next(self._sequence), chat, is_evicted)
        self._events.append((now_s, event))

    def drop_newest_event(self) -> None:
        """Drop the newest event, which leaves a gap in the sequence."""
        if self._events:
            self._events.pop()
