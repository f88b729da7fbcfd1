"""Callers that send chats with several turns to a fleet and check the responses."""

import hashlib
import itertools
import random
from dataclasses import dataclass, field

import httpcore
import msgspec
import trio

from scaleloom_fleet.http.clients import NEVER_SENT_ERRORS, TRANSPORT_ERRORS, HttpClient
from scaleloom_fleet.utils.addresses import Address

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.3
EVENT_END = "\n\n"
END_EVENT = "data: [DONE]" + EVENT_END
ERROR_KEY = "error"
HTTP_OK = 200


@dataclass
class Tally:
    """Counts of results, and times to the first part of a response."""

    turns: int = 0
    served: int = 0
    shed: int = 0
    refused: int = 0
    foreign: int = 0
    truncated: int = 0
    lost: int = 0
    retried: int = 0
    first_token_s: list[float] = field(default_factory=list)


@dataclass
class Balancer:
    """Round-robin balancer over the routers, as run by the platform."""

    routers: dict[str, Address]
    _counter: itertools.count = field(default_factory=itertools.count)

    def remove(self, name: str) -> None:
        """Remove router `name` from the rotation."""
        self.routers.pop(name, None)

    def choose(self) -> Address:
        """Return the address of the next router."""
        addresses = list(self.routers.values())
        return addresses[next(self._counter) % len(addresses)]


@dataclass
class Caller:
    """Caller of one customer; keeps a tally of the results."""

    client: HttpClient
    balancer: Balancer
    key: str
    model: str
    tally: Tally = field(default_factory=Tally)

    def headers(self, **extra: str) -> dict[str, str]:
        """Return the headers of a request; underscores in `extra` become hyphens."""
        return {
            "authorization": f"Bearer {self.key}",
            "content-type": "application/json",
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }

    async def run_chat(self, number: int, turns: int, pause_s: float) -> None:
        """Run one chat; each turn sends all earlier messages again."""
        generator = random.Random(number)
        messages = [
            {"role": "system", "content": f"Desk {self.key}. " + "rules " * 200}
        ]
        for turn in range(turns):
            question = f"{self.key} chat {number} turn {turn} " + "log line " * 100
            messages.append({"role": "user", "content": question})
            answer = await self.ask(f"chat-{number}", messages)
            if answer is None:
                return
            messages.append({"role": "assistant", "content": answer})
            await trio.sleep(pause_s * generator.uniform(0.5, 1.5))

    async def ask(self, chat: str, messages: list[dict], tokens: int = 8) -> str | None:
        """Return the answer to one turn, with retries; None if all attempts fail."""
        self.tally.turns += 1
        body = msgspec.json.encode(
            {
                "model": self.model,
                "messages": messages,
                "stream": True,
                "max_tokens": tokens,
            }
        )
        for _ in range(MAX_ATTEMPTS):
            text = await self._attempt(chat, body, messages[-1]["content"], tokens)
            if text is not None:
                self.tally.served += 1
                return text
            self.tally.retried += 1
            await trio.sleep(RETRY_DELAY_S)
        self.tally.lost += 1
        return None

    async def _attempt(
        self, chat: str, body: bytes, question: str, tokens: int
    ) -> str | None:
        """Return the answer of one attempt, or None if a retry is needed."""
        url = self.balancer.choose().url("/v1/chat/completions")
        started_s = trio.current_time()
        parts: list[bytes] = []
        try:
            headers = self.headers(x_chat_id=chat)
            async with self.client.stream("POST", url, headers, body) as response:
                async for part in response.aiter_stream():
                    if not parts:
                        self.tally.first_token_s.append(trio.current_time() - started_s)
                    parts.append(part)
        except (*NEVER_SENT_ERRORS, *TRANSPORT_ERRORS):
            return None
        return self._check_answer(response, b"".join(parts).decode(), question, tokens)

    def _check_answer(
        self, response: httpcore.Response, text: str, question: str, tokens: int
    ) -> str | None:
        """Return the answer if it is complete; count answers to other questions."""
        if response.status != HTTP_OK:
            self.tally.shed += 1
            return None
        if not text.endswith(END_EVENT):
            self.tally.truncated += not ends_with_error(text)
            return None
        answer = join_events(text)
        if answer != expected_answer(question, tokens):
            self.tally.foreign += 1
        return answer


def ends_with_error(text: str) -> bool:
    """Return whether the last event of a stream is whole and tells of an error."""
    if not text.endswith(EVENT_END):
        return False
    last = text.removesuffix(EVENT_END).rpartition(EVENT_END)[2]
    try:
        return ERROR_KEY in msgspec.json.decode(last.removeprefix("data: "), type=dict)
    except msgspec.DecodeError:
        return False


def join_events(text: str) -> str:
    """Return the answer contained in a complete event stream."""
    words = []
    for line in text.split("\n"):
        if not line.startswith("data: {"):
            continue
        event = msgspec.json.decode(line[len("data: ") :])
        words.append(event["choices"][0]["delta"].get("content", ""))
    return "".join(words)


def expected_answer(question: str, tokens: int) -> str:
    """Return the response of the simulated engine to `question`."""
    digest = hashlib.sha256(question.encode()).hexdigest()[:16]
    return f"answer-to-{digest}" + "".join(f" word{i}" for i in range(1, tokens))
