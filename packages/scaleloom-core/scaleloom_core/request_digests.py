"""A digest that identifies a request and its retries."""

import xxhash

from scaleloom_core.ids import CustomerId, RequestDigest

_LENGTH_BYTES = 8


def request_digest(
    customer: CustomerId | None, method: bytes, host: bytes, target: bytes, body: bytes
) -> RequestDigest:
    """
    Return the 64-bit digest of a request, the same on every router.

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
    return RequestDigest(digest.intdigest())
