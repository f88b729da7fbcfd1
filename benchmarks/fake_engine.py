"""A fake engine: a prefix cache and the time that a request holds its place."""

from collections import OrderedDict
from dataclasses import dataclass

from scaleloom_core.ids import ChatId, CustomerId

PREFILL_S_PER_TOKEN = 0.0002
DECODE_S_PER_TOKEN = 0.02
DECODE_S_PER_NEIGHBOUR = 0.0012


@dataclass(frozen=True)
class Turn:
    """One request of a chat."""

    customer: CustomerId
    chat: ChatId
    number: int
    prompt_tokens: int
    output_tokens: int
    time_left_s: float | None = None


class FakeEngine:
    """
    An engine's prefix cache and the time its requests take.

    Parameters
    ----------
    cache_tokens : int
        Tokens of prefixes that it keeps.
    batch : int
        Requests that it works on at once; more of them share its time.
    """

    def __init__(self, cache_tokens: int, batch: int) -> None:
        self._limit = cache_tokens
        self._batch = batch
        self._used = 0
        self._cached: OrderedDict[ChatId, int] = OrderedDict()

    def cached_tokens(self, chat: ChatId) -> int:
        """Return how much of a chat is cached."""
        return self._cached.get(chat, 0)

    def serve(self, turn: Turn, neighbours: int) -> tuple[int, float]:
        """Return the tokens found cached and how long the turn takes."""
        found = min(self.cached_tokens(turn.chat), turn.prompt_tokens)
        token_s = DECODE_S_PER_TOKEN + DECODE_S_PER_NEIGHBOUR * neighbours
        crowding = max(1.0, (neighbours + 1) / self._batch)
        prefill_s = (turn.prompt_tokens - found) * PREFILL_S_PER_TOKEN
        return found, crowding * (prefill_s + turn.output_tokens * token_s)

    def store(self, turn: Turn) -> list[ChatId]:
        """Keep a finished turn's prefix, and return the chats evicted."""
        self._used -= self._cached.pop(turn.chat, 0)
        self._cached[turn.chat] = turn.prompt_tokens + turn.output_tokens
        self._used += self._cached[turn.chat]
        evicted = []
        while self._used > self._limit and len(self._cached) > 1:
            chat, tokens = self._cached.popitem(last=False)
            self._used -= tokens
            evicted.append(chat)
        return evicted
