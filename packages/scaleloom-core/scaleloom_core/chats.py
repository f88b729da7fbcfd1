"""Identification of chats from the caller's requests."""

import msgspec

from scaleloom_core.hashing import digest_bytes
from scaleloom_core.ids import ChatId, CustomerId

OPENING_MESSAGES = 2


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"")


class ChatRequest(msgspec.Struct):
    """Fields of a completion request that placement needs."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    metadata: dict[str, str] | None = None


_DECODER = msgspec.json.Decoder(ChatRequest)


def parse_chat_request(body: bytes) -> ChatRequest:
    """
    Return the fields of the completion request in `body`.

    Raises
    ------
    msgspec.DecodeError
        If `body` is not JSON, or a field is missing or of the wrong type.
    """
    return _DECODER.decode(body)


def is_returning(request: ChatRequest) -> bool:
    """Return whether `request` continues an earlier turn."""
    return any(message.role == "assistant" for message in request.messages)


def derive_chat_id(
    customer: CustomerId, chat_name: str | None, request: ChatRequest
) -> ChatId:
    """
    Return the id that all turns of a chat share.

    Parameters
    ----------
    customer : CustomerId
        The caller; chats of different customers have different ids.
    chat_name : str or None
        The caller's name for the chat, if any.
    request : ChatRequest
        The request; its first messages identify a chat without a name.
    """
    if chat_name is None and request.metadata:
        chat_name = request.metadata.get("chat_id")
    if chat_name:
        return chat_id_from_name(customer, chat_name)
    opening = _encode_opening(request)
    return ChatId(digest_bytes(customer.encode() + b"\x00" + opening))


def chat_id_from_name(customer: CustomerId, chat_name: str) -> ChatId:
    """Return the id of the chat that `customer` named `chat_name`."""
    return ChatId(digest_bytes(f"{customer}\x00{chat_name}".encode()))


def _encode_opening(request: ChatRequest) -> bytes:
    """Return the first messages as bytes; every later turn repeats them."""
    opening = []
    for message in request.messages:
        if message.role == "assistant" or len(opening) == OPENING_MESSAGES:
            break
        opening.append((message.role, bytes(message.content)))
    return b"\x00".join(role.encode() + b":" + text for role, text in opening)
