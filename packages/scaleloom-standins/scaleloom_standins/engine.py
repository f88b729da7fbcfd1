"""A stand-in for a model engine: batching, priorities, resumable streams."""

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
    answer_words,
    prompt_tokens,
    render_event,
    render_whole,
)
from scaleloom_standins.faults import FaultBox
from scaleloom_standins.prefix_cache import PrefixCache

HTTP_OK = 200
UNREAD_LIMIT_S = 5.0
STORE_RETRY_S = 0.5
STORE_LIMIT_S = 1800.0


@dataclass(frozen=True)
class EngineCosts:
    """
    What work costs the engine.

    Parameters
    ----------
    batch : int
        Requests worked on at once.
    prefill_s_per_token : float
        Time to read one token that is not cached, in seconds.
    decode_s_per_token : float
        Time to give one token while alone, in seconds.
    decode_s_per_neighbour : float
        How much each other request of the batch adds to that, in seconds.
    cache_tokens : int
        Tokens of prefixes that are kept.
    load_s : float
        Time to load weights, in seconds.
    """

    batch: int = 8
    prefill_s_per_token: float = 0.00002
    decode_s_per_token: float = 0.002
    decode_s_per_neighbour: float = 0.0002
    cache_tokens: int = 200_000
    load_s: float = 0.2


@dataclass
class EngineStream:
    """One answer, kept until it is read to its end or given up."""

    parts: bytearray = field(default_factory=bytearray)
    is_done: bool = False
    is_cancelled: bool = False
    has_news: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def put(self, part: bytes) -> None:
        """Add a part."""
        self.parts += part
        self.announce()

    def announce(self) -> None:
        """Wake the readers."""
        self.has_news.set()
        self.has_news = trio.Event()


class EngineModel:
    """
    The engine's state.

    Parameters
    ----------
    costs : EngineCosts
        What work costs.
    faults : FaultBox
        What is wrong with it.
    nursery : trio.Nursery
        Where answers are generated.
    weight_store : Address or None
        Where weights come from; without one they are at hand.
    """

    def __init__(
        self,
        costs: EngineCosts,
        faults: FaultBox,
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
        self.client = HttpClient(read_timeout_s=STORE_LIMIT_S)
        self.cancelled = 0
        self._nursery = nursery
        self._running = 0
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._arrivals = itertools.count()
        self._reports: deque[tuple[float, EngineLoad]] = deque(maxlen=1000)

    def begin(
        self, stream_id: str, chat: str, priority: int, prompt: Prompt
    ) -> EngineStream:
        """Start generating an answer."""
        stream = EngineStream()
        self.begun += 1
        self.streams[stream_id] = stream
        self._nursery.start_soon(
            self._generate, stream_id, stream, chat, priority, prompt
        )
        return stream

    def report(self) -> EngineLoad:
        """Return the engine's load, as it was some time ago."""
        now_s = trio.current_time()
        self._reports.append((now_s, self._report_now()))
        seen = [item for at_s, item in self._reports if at_s <= now_s - self._lag_s()]
        return seen[-1] if seen else self._reports[0][1]

    def _report_now(self) -> EngineLoad:
        """Return the engine's load as it is."""
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
        """Return how old reports are."""
        return self.faults.now.lag_s

    async def _generate(
        self,
        stream_id: str,
        stream: EngineStream,
        chat: str,
        priority: int,
        prompt: Prompt,
    ) -> None:
        """Generate one answer into its stream."""
        try:
            with stream.scope:
                async with _Place(self, priority):
                    await self._prefill(chat, prompt)
                    await self._decode(stream_id, stream, prompt)
                self.served.append(stream_id)
        finally:
            stream.is_done = True
            stream.announce()
            self._nursery.start_soon(self._forget, stream_id)

    async def _forget(self, stream_id: str) -> None:
        """Let an answer go after nobody can want it any more."""
        await trio.sleep(UNREAD_LIMIT_S)
        self.streams.pop(stream_id, None)

    async def _prefill(self, chat: str, prompt: Prompt) -> None:
        """Read the prompt, as far as it is not cached."""
        tokens = prompt_tokens(prompt)
        cached = min(tokens, self.cache.cached_tokens(chat))
        self.prompt_tokens += tokens
        self.cached_prompt_tokens += cached
        await trio.sleep((tokens - cached) * self.costs.prefill_s_per_token)
        self.cache.store(chat, tokens, trio.current_time())
        if self.faults.now.lost_events > 0:
            self.faults.now.lost_events -= 1
            self.cache.lose_event()

    def _token_s(self) -> float:
        """Return how long the next token takes, in seconds."""
        neighbours = self._running - 1
        slowed_s = neighbours * self.costs.decode_s_per_neighbour
        return self.costs.decode_s_per_token + slowed_s

    async def _decode(
        self, stream_id: str, stream: EngineStream, prompt: Prompt
    ) -> None:
        """Give the answer token by token."""
        words = answer_words(prompt)
        for index, word in enumerate(words):
            if index % self.faults.now.burst_tokens == 0:
                await trio.sleep(self._token_s())
            if prompt.stream:
                stream.put(render_event(stream_id, prompt.model, word, None))
        if prompt.stream:
            stream.put(
                render_event(stream_id, prompt.model, "", "stop") + b"data: [DONE]\n\n"
            )
        else:
            stream.put(render_whole(stream_id, prompt, "".join(words)))


class _Place:
    """A place in the batch, given by priority and then by arrival."""

    def __init__(self, model: EngineModel, priority: int) -> None:
        self._model = model
        self._priority = priority

    async def __aenter__(self) -> None:
        model = self._model
        if model._running >= model.costs.batch:
            turn = trio.Event()
            entry = (-self._priority, next(model._arrivals), turn)
            heapq.heappush(model._waiting, entry)
            try:
                await turn.wait()
            except trio.Cancelled:
                if entry in model._waiting:
                    model._waiting.remove(entry)
                    heapq.heapify(model._waiting)
                raise
        model._running += 1
        model.peak_running = max(model.peak_running, model._running)

    async def __aexit__(self, *exc_info: object) -> None:
        model = self._model
        model._running -= 1
        if model._waiting:
            heapq.heappop(model._waiting)[2].set()


async def load_assignment(model: EngineModel, order: LoadOrder) -> None:
    """Load what an order asks for, through the weight store if there is one."""
    assignment = order.assignment
    before = model.loaded
    keeps_weights = (
        before is not None
        and before.model == assignment.model
        and before.version == assignment.version
    )
    if not keeps_weights:
        model.is_loading = True
        model.cache.clear(trio.current_time())
        await trio.sleep(model.costs.load_s)
        await _fetch_weights(model, order)
        model.is_loading = False
    model.loaded = assignment


async def _fetch_weights(model: EngineModel, order: LoadOrder) -> None:
    """Fetch weights from the store, again and again while it is down."""
    if model.weight_store is None:
        return
    path = f"/weights/{order.assignment.model}?bytes={order.weight_bytes}"
    url = model.weight_store.url(path)
    while True:
        answer = (await model.client.request("GET", url)).value_or(None)
        if answer is not None and answer.status == HTTP_OK:
            return
        await trio.sleep(STORE_RETRY_S)
