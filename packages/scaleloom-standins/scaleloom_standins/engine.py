"""Simulated model engine with batching, priorities and resumable streams."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

import trio

from scaleloom_core.records import Assignment
from scaleloom_fleet.http.clients import HttpClient
from scaleloom_fleet.platform.engine import EngineLoad, LoadOrder
from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.completions import (
    Prompt,
    count_prompt_tokens,
    generate_words,
    render_completion,
    render_event,
)
from scaleloom_standins.faults import FaultInjector
from scaleloom_standins.prefix_cache import PrefixCache

HTTP_OK = 200
STREAM_RETENTION_S = 5.0
STORE_RETRY_S = 0.5
STORE_TIMEOUT_S = 1800.0


@dataclass(frozen=True)
class EngineCosts:
    """
    Capacity of the engine and duration of its work.

    Parameters
    ----------
    batch : int
        Number of requests processed concurrently.
    prefill_s_per_token : float
        Time to process one prompt token that is not cached, in seconds.
    decode_s_per_token : float
        Time to generate one token in a batch of one request, in seconds.
    decode_s_per_other : float
        Additional time per token for each other request of the batch, in seconds.
    cache_tokens : int
        Capacity of the prefix cache in tokens.
    load_s : float
        Time to load weights, without fetching them, in seconds.
    """

    batch: int = 8
    prefill_s_per_token: float = 0.00002
    decode_s_per_token: float = 0.002
    decode_s_per_other: float = 0.0002
    cache_tokens: int = 200_000
    load_s: float = 0.2


@dataclass
class EngineStream:
    """Response of one request, kept for a time so that a caller can resume it."""

    parts: bytearray = field(default_factory=bytearray)
    is_done: bool = False
    is_cancelled: bool = False
    changed: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def append(self, part: bytes) -> None:
        """Append a part of the response and wake the readers."""
        self.parts += part
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the readers that wait for `changed`."""
        self.changed.set()
        self.changed = trio.Event()


class EngineSimulator:
    """
    State of the simulated engine.

    Parameters
    ----------
    costs : EngineCosts
        Capacity and durations.
    faults : FaultInjector
        Faults to inject.
    nursery : trio.Nursery
        Nursery of the tasks that generate responses.
    weight_store : Address or None
        Store to fetch weights from; without one, weights need no fetching.
    """

    def __init__(
        self,
        costs: EngineCosts,
        faults: FaultInjector,
        nursery: trio.Nursery,
        weight_store: Address | None = None,
    ) -> None:
        self.costs = costs
        self.faults = faults
        self.cache = PrefixCache(costs.cache_tokens)
        self.streams: dict[str, EngineStream] = {}
        self.loaded: Assignment | None = None
        self.is_loading = False
        self.newest_token = -1
        self.served: list[str] = []
        self.prompt_tokens = 0
        self.cached_prompt_tokens = 0
        self.peak_running = 0
        self.begun = 0
        self.weight_store = weight_store
        self.client = HttpClient(read_timeout_s=STORE_TIMEOUT_S)
        self.cancelled = 0
        self._nursery = nursery
        self._running = 0
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._arrivals = itertools.count()
        self._loads: deque[tuple[float, EngineLoad]] = deque(maxlen=1000)

    def start(
        self, stream_id: str, chat: str, priority: int, prompt: Prompt
    ) -> EngineStream:
        """Start generating a response."""
        stream = EngineStream()
        self.begun += 1
        self.streams[stream_id] = stream
        self._nursery.start_soon(
            self._generate, stream_id, stream, chat, priority, prompt
        )
        return stream

    def delayed_load(self) -> EngineLoad:
        """Return the load of the engine, delayed by the injected lag."""
        now_s = trio.current_time()
        self._loads.append((now_s, self._current_load()))
        seen = [item for at_s, item in self._loads if at_s <= now_s - self._lag_s()]
        return seen[-1] if seen else self._loads[0][1]

    def _current_load(self) -> EngineLoad:
        """Return the current load of the engine."""
        loaded = self.loaded
        return EngineLoad(
            running=self._running,
            waiting=len(self._waiting),
            model=loaded.model if loaded else None,
            version=loaded.version if loaded else 0,
            adapters=loaded.adapters if loaded else (),
            is_loading=self.is_loading,
        )

    def _lag_s(self) -> float:
        """Return the injected lag of reports, in seconds."""
        return self.faults.current.lag_s

    async def _generate(
        self,
        stream_id: str,
        stream: EngineStream,
        chat: str,
        priority: int,
        prompt: Prompt,
    ) -> None:
        """Generate one response and append it to `stream`."""
        try:
            with stream.scope:
                async with _BatchSlot(self, priority):
                    await self._prefill(chat, prompt)
                    await self._decode(stream_id, stream, prompt)
                self.served.append(stream_id)
        finally:
            stream.is_done = True
            stream.notify_readers()
            self._nursery.start_soon(self._discard_later, stream_id)

    async def _discard_later(self, stream_id: str) -> None:
        """Remove a finished response after its retention time."""
        await trio.sleep(STREAM_RETENTION_S)
        self.streams.pop(stream_id, None)

    async def _prefill(self, chat: str, prompt: Prompt) -> None:
        """Process the part of the prompt that is not cached."""
        tokens = count_prompt_tokens(prompt)
        cached = min(tokens, self.cache.cached_tokens(chat))
        self.prompt_tokens += tokens
        self.cached_prompt_tokens += cached
        await trio.sleep((tokens - cached) * self.costs.prefill_s_per_token)
        self.cache.store(chat, tokens, trio.current_time())
        if self.faults.current.lost_events > 0:
            self.faults.current.lost_events -= 1
            self.cache.drop_newest_event()

    def _token_s(self) -> float:
        """Return the time to generate the next token, in seconds."""
        other_count = self._running - 1
        added_s = other_count * self.costs.decode_s_per_other
        return self.costs.decode_s_per_token + added_s

    async def _decode(
        self, stream_id: str, stream: EngineStream, prompt: Prompt
    ) -> None:
        """Append the response to `stream` token by token."""
        words = generate_words(prompt)
        for index, word in enumerate(words):
            if index % self.faults.current.burst_tokens == 0:
                await trio.sleep(self._token_s())
            if prompt.stream:
                stream.append(render_event(stream_id, prompt.model, word, None))
        if prompt.stream:
            stream.append(
                render_event(stream_id, prompt.model, "", "stop") + b"data: [DONE]\n\n"
            )
        else:
            stream.append(render_completion(stream_id, prompt, "".join(words)))


class _BatchSlot:
    """Slot in the batch, assigned by priority and then in order of arrival."""

    def __init__(self, engine: EngineSimulator, priority: int) -> None:
        self._engine = engine
        self._priority = priority

    async def __aenter__(self) -> None:
        engine = self._engine
        if engine._running >= engine.costs.batch:
            slot_freed = trio.Event()
            entry = (-self._priority, next(engine._arrivals), slot_freed)
            heapq.heappush(engine._waiting, entry)
            try:
                await slot_freed.wait()
            except trio.Cancelled:
                if entry in engine._waiting:
                    engine._waiting.remove(entry)
                    heapq.heapify(engine._waiting)
                raise
        engine._running += 1
        engine.peak_running = max(engine.peak_running, engine._running)

    async def __aexit__(self, *exc_info: object) -> None:
        engine = self._engine
        engine._running -= 1
        if engine._waiting:
            heapq.heappop(engine._waiting)[2].set()


async def load_assignment(engine: EngineSimulator, order: LoadOrder) -> None:
    """Load the assignment of `order`; fetch weights if there is a weight store."""
    assignment = order.assignment
    previous = engine.loaded
    keeps_weights = (
        previous is not None
        and previous.model == assignment.model
        and previous.version == assignment.version
    )
    if not keeps_weights:
        engine.is_loading = True
        engine.cache.clear(trio.current_time())
        await trio.sleep(engine.costs.load_s)
        await _fetch_weights(engine, order)
        engine.is_loading = False
    engine.loaded = assignment


async def _fetch_weights(engine: EngineSimulator, order: LoadOrder) -> None:
    """Fetch weights from the store; retry without limit while it is unavailable."""
    if engine.weight_store is None:
        return
    path = f"/weights/{order.assignment.model}?bytes={order.weight_bytes}"
    url = engine.weight_store.url(path)
    while True:
        answer = (await engine.client.request("GET", url)).value_or(None)
        if answer is not None and answer.status == HTTP_OK:
            return
        await trio.sleep(STORE_RETRY_S)
