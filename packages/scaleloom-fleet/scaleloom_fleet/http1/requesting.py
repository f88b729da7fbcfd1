"""One request over a link, and the answer to it."""

import trio

from scaleloom_fleet.http1.answers import AnswerHead, AnswerProtocolError
from scaleloom_fleet.http1.links import Link
from scaleloom_fleet.http1.outgoing_requests import OutgoingRequest


async def exchange(
    link: Link, request: OutgoingRequest, body_limit_bytes: int
) -> tuple[AnswerHead, bytes]:
    """
    Send `request` and return the head and the whole body of the answer.

    Raises
    ------
    AnswerProtocolError, ConnectionLost
        If no complete answer arrived.
    """
    link.start(request)
    await link.send_remaining()
    head = await link.read_head()
    return head, await link.read_body(body_limit_bytes)


async def read_while_sending(link: Link) -> AnswerHead:
    """
    Return the head of the answer, sending the rest of the request meanwhile.

    A server may answer before it has read the whole request.

    Raises
    ------
    AnswerProtocolError
        If the connection ended before the head or the answer is malformed.
    """
    if not link.has_unsent:
        return await link.read_head()
    failure: AnswerProtocolError | None = None
    head: AnswerHead | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.send_remaining)
        try:
            head = await link.read_head()
        except AnswerProtocolError as error:
            failure = error
        nursery.cancel_scope.cancel()
    if head is None:
        raise failure or AnswerProtocolError(
            "connection ended before the head of the answer"
        )
    return head
