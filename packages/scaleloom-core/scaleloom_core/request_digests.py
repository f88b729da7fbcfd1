"""What stays the same when a request comes again, as one number."""

import xxhash

from scaleloom_core.ids import CustomerId, RequestDigest

_LENGTH_BYTES = 8


def request_digest(
    customer: CustomerId | None, method: bytes, host: bytes, target: bytes, body: bytes
) -> RequestDigest:
    """
    Return the 64-bit number that stands for a request, whoever takes it.

    A caller's name for a single try is no part of it, and neither is any other
    header: what a request does to a target lies in who sends what to where.

    Parameters
    ----------
    target : bytes
        The path with its query.
    """
    digest = xxhash.xxh3_64()
    for part in ((customer or "").encode(), method, host, target, body):
        # Told apart by their lengths, so that no two requests read alike.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return RequestDigest(digest.intdigest())
