"""Prompts and responses of the simulated engine, in the format of the chat API."""

import hashlib

import msgspec

DEFAULT_TOKENS = 16
BYTES_PER_TOKEN = 4
EVENT_SEPARATOR = b"\n\n"


class Message(msgspec.Struct):
    """Message of a prompt."""

    role: str
    content: str = ""


class Prompt(msgspec.Struct):
    """Fields of a completion request that the simulated engine uses."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int = DEFAULT_TOKENS


def count_prompt_tokens(prompt: Prompt) -> int:
    """Return the length of a prompt in tokens."""
    return sum(len(message.content) for message in prompt.messages) // BYTES_PER_TOKEN


def generate_words(prompt: Prompt) -> list[str]:
    """Return the words of a response; the first one identifies the last message."""
    question = prompt.messages[-1].content if prompt.messages else ""
    digest = hashlib.sha256(question.encode()).hexdigest()[:16]
    count = max(1, prompt.max_tokens)
    return [f"answer-to-{digest}", *(f" word{index}" for index in range(1, count))]


def render_event(stream_id: str, model: str, text: str, finish: str | None) -> bytes:
    """Return a chunk of a streamed response as a server-sent event."""
    choice = {
        "index": 0,
        "delta": {"content": text} if finish is None else {},
        "finish_reason": finish,
    }
    event = {
        "id": stream_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def render_completion(stream_id: str, prompt: Prompt, text: str) -> bytes:
    """Return a response that is not streamed."""
    tokens = count_prompt_tokens(prompt)
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    answer = {
        "id": stream_id,
        "object": "chat.completion",
        "created": 0,
        "model": prompt.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": tokens,
            "completion_tokens": prompt.max_tokens,
            "total_tokens": tokens + prompt.max_tokens,
        },
    }
    return msgspec.json.encode(answer)


def split_events(data: bytes) -> list[bytes]:
    """Split `data` into events; an incomplete event at its end is kept as the last."""
    events = data.split(EVENT_SEPARATOR)
    rest = events.pop()
    complete = [event + EVENT_SEPARATOR for event in events]
    return [*complete, rest] if rest else complete
