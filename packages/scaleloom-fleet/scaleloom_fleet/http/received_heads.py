"""Whether what a library has read is the head of an answer."""

import httpcore

from scaleloom_fleet.http1.answer_heads import find_parsed_fault


class HeadInvalid(httpcore.RemoteProtocolError):
    """Raised if the head of an answer is not valid."""


def check_head(response: httpcore.Response) -> None:
    """
    Check the head of an answer, as far as the library shows it.

    Raises
    ------
    HeadInvalid
        If it is not the head of an answer; the request may have run.
    """
    version = response.extensions.get("http_version", b"HTTP/1.1")
    reason = response.extensions.get("reason_phrase", b"")
    fault = find_parsed_fault(version, response.status, reason, response.headers)
    if fault is not None:
        raise HeadInvalid(f"head of the answer is not valid: {fault.value}")
