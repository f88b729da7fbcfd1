"""Decompression of data from other processes, up to a given size."""

import zlib


def decompress(data: bytes, limit_bytes: int) -> bytes:
    """
    Return the decompressed `data`.

    Raises
    ------
    zlib.error
        If `data` is invalid, truncated, or longer than `limit_bytes` in full.
    """
    stream = zlib.decompressobj()
    # A limit of 0 would mean none.
    document = stream.decompress(data, limit_bytes + 1)
    if not stream.eof or len(document) > limit_bytes:
        raise zlib.error("data is truncated or too long")
    return document
