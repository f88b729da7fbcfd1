"""Reading of JSON documents from the platform's services and from engines."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_fleet.http.answer_ends import is_json
from scaleloom_fleet.http.clients import ClientAnswer, HttpClient

HTTP_OK = 200
Document = TypeVar("Document")


async def fetch_json(
    client: HttpClient, url: str, document_type: type[Document], timeout_s: float
) -> Result[Document, str]:
    """Fetch and decode the document at `url`; the error says why that failed."""
    outcome = await client.request(
        "GET", url, timeout_s=timeout_s, proves_complete=is_json
    )
    return outcome.alt(lambda fault: fault.detail).bind(
        lambda response: decode_document(response, document_type)
    )


def decode_document(
    response: ClientAnswer, document_type: type[Document]
) -> Result[Document, str]:
    """Decode the body of `response`; the error says why that failed."""
    if response.status != HTTP_OK:
        return Failure(f"The server responded with status {response.status}.")
    try:
        return Success(msgspec.json.decode(response.body, type=document_type))
    except msgspec.DecodeError as error:
        return Failure(str(error))
