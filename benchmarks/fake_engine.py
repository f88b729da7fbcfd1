"""A simulated engine: a prefix cache and the time that a request takes."""

from collections import OrderedDict
from dataclasses import dataclass

from scaleloom_core.ids import ChatId, CustomerId

PREFILL_S_PER_TOKEN = 0.0002
DECODE_S_PER_TOKEN = 0.02
DECODE_S_PER_CONCURRENT_REQUEST = 0.0012


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
    Simulated prefix cache of an engine and service time of its requests.

    Parameters
    ----------
    cache_tokens : int
        Capacity of the prefix cache, in tokens.
    batch : int
        Requests that the engine serves at once at full speed; a larger number
        slows all of them down.
    """

    def __init__(self, cache_tokens: int, batch: int) -> None:
        self._limit = cache_tokens
        self._batch = batch
        self._used = 0
        self._cached: OrderedDict[ChatId, int] = OrderedDict()

    def cached_tokens(self, chat: ChatId) -> int:
        """Return the number of cached tokens of a chat."""
        return self._cached.get(chat, 0)

    def serve(self, turn: Turn, concurrent_requests: int) -> tuple[int, float]:
        """Return the cached tokens of the prompt and the service time in seconds."""
        cached = min(self.cached_tokens(turn.chat), turn.prompt_tokens)
        token_s = (
            DECODE_S_PER_TOKEN + DECODE_S_PER_CONCURRENT_REQUEST * concurrent_requests
        )
        slowdown = max(1.0, (concurrent_requests + 1) / self._batch)
        prefill_s = (turn.prompt_tokens - cached) * PREFILL_S_PER_TOKEN
        return cached, slowdown * (prefill_s + turn.output_tokens * token_s)

    def store(self, turn: Turn) -> list[ChatId]:
        """Cache the prefix of a finished turn and return the evicted chats."""
        self._used -= self._cached.pop(turn.chat, 0)
        self._cached[turn.chat] = turn.prompt_tokens + turn.output_tokens
        self._used += self._cached[turn.chat]
        evicted = []
        while self._used > self._limit and len(self._cached) > 1:
            chat, tokens = self._cached.popitem(last=False)
            self._used -= tokens
            evicted.append(chat)
        return evicted
