"""
Digests of the possible causes of a crash: a request, or a part of its prompt.

The highest bit tells the two kinds apart, so that they share one table, one log and one
kind of report.
"""

import xxhash

from scaleloom_core.ids import CauseDigest, CustomerId

_LENGTH_BYTES = 8
_PART_BIT = 1 << 63


def request_digest(
    customer: CustomerId | None, method: bytes, host: bytes, target: bytes, body: bytes
) -> CauseDigest:
    """
    Return the digest of a request and its retries, the same on every router.

    Headers are left out, including the caller's id of a single attempt: the effect of
    a request on a target depends on who sends which content to which address.

    Parameters
    ----------
    customer : CustomerId or None
        The customer that sends the request.
    method, host, body : bytes
        Parts of the request.
    target : bytes
        The path with its query.
    """
    digest = xxhash.xxh3_64()
    for part in ((customer or "").encode(), method, host, target, body):
        # Each part is prefixed with its length, so that different splits of the same
        # bytes have different digests.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return CauseDigest(digest.intdigest() & ~_PART_BIT)


def part_digest(part: str) -> CauseDigest:
    """Return the digest of the prompt part with the id `part`, for all callers."""
    return CauseDigest(xxhash.xxh3_64_intdigest(part.encode()) | _PART_BIT)


def is_prompt_part(cause: CauseDigest) -> bool:
    """Return whether `cause` is a prompt part and not a request."""
    return cause >= _PART_BIT
