"""Callers that hold returning chats with a fleet and judge what they get."""

import hashlib
import itertools
import random
from dataclasses import dataclass, field

import httpcore
import msgspec
import trio

from scaleloom_fleet.http.clients import NEVER_SENT_ERRORS, TRANSPORT_ERRORS, HttpClient
from scaleloom_fleet.utils.addresses import Address

CALLER_RETRY_LIMIT = 6
CALLER_RETRY_S = 0.3
END_MARK = "data: [DONE]"
HTTP_OK = 200


@dataclass
class Tally:
    """What callers got."""

    turns: int = 0
    served: int = 0
    shed: int = 0
    refused: int = 0
    foreign: int = 0
    truncated: int = 0
    lost: int = 0
    asked_again: int = 0
    first_token_s: list[float] = field(default_factory=list)


@dataclass
class Balancer:
    """The platform's balancer: one live router after another."""

    routers: dict[str, Address]
    _turn: itertools.count = field(default_factory=itertools.count)

    def drop(self, name: str) -> None:
        """Send nobody to `name` any more."""
        self.routers.pop(name, None)

    def choose(self) -> Address:
        """Return the next router."""
        addresses = list(self.routers.values())
        return addresses[next(self._turn) % len(addresses)]


@dataclass
class Caller:
    """One customer's callers."""

    client: HttpClient
    balancer: Balancer
    key: str
    model: str
    tally: Tally = field(default_factory=Tally)

    def headers(self, **more: str) -> dict[str, str]:
        """Return the headers of a request."""
        return {
            "authorization": f"Bearer {self.key}",
            "content-type": "application/json",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    async def hold_chat(self, number: int, turns: int, pause_s: float) -> None:
        """Hold one chat, each turn repeating all before it."""
        choose = random.Random(number)
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
            await trio.sleep(pause_s * choose.uniform(0.5, 1.5))

    async def ask(self, chat: str, messages: list[dict], tokens: int = 8) -> str | None:
        """Return the whole answer to one turn, asking again as a client would."""
        self.tally.turns += 1
        body = msgspec.json.encode(
            {
                "model": self.model,
                "messages": messages,
                "stream": True,
                "max_tokens": tokens,
            }
        )
        for _ in range(CALLER_RETRY_LIMIT):
            text = await self._try(chat, body, messages[-1]["content"], tokens)
            if text is not None:
                self.tally.served += 1
                return text
            self.tally.asked_again += 1
            await trio.sleep(CALLER_RETRY_S)
        self.tally.lost += 1
        return None

    async def _try(self, chat: str, body: bytes, asked: str, tokens: int) -> str | None:
        """Return the answer of one try, or None if the caller must ask again."""
        url = self.balancer.choose().url("/v1/chat/completions")
        began_s = trio.current_time()
        parts: list[bytes] = []
        try:
            headers = self.headers(x_chat_id=chat)
            async with self.client.stream("POST", url, headers, body) as response:
                async for part in response.aiter_stream():
                    if not parts:
                        self.tally.first_token_s.append(trio.current_time() - began_s)
                    parts.append(part)
        except (*NEVER_SENT_ERRORS, *TRANSPORT_ERRORS):
            return None
        return self._judge(response, b"".join(parts).decode(), asked, tokens)

    def _judge(
        self, response: httpcore.Response, text: str, asked: str, tokens: int
    ) -> str | None:
        """Return the answer if it is whole and answers what was asked."""
        if response.status != HTTP_OK:
            self.tally.shed += 1
            return None
        if END_MARK not in text:
            self.tally.truncated += "error" not in text
            return None
        answer = join_events(text)
        if answer != expected_answer(asked, tokens):
            self.tally.foreign += 1
        return answer


def join_events(text: str) -> str:
    """Return the answer that a whole event stream carries."""
    words = []
    for line in text.split("\n"):
        if not line.startswith("data: {"):
            continue
        event = msgspec.json.decode(line[len("data: ") :])
        words.append(event["choices"][0]["delta"].get("content", ""))
    return "".join(words)


def expected_answer(asked: str, tokens: int) -> str:
    """Return what the stand-in engine answers to `asked`."""
    mark = hashlib.sha256(asked.encode()).hexdigest()[:16]
    return f"answer-to-{mark}" + "".join(f" word{i}" for i in range(1, tokens))
