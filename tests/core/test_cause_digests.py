"""Tests of the digests that identify requests and prompt parts."""

from itertools import combinations

from scaleloom_core.cause_digests import is_prompt_part, part_digest, request_digest

FIRST = ("desk", b"POST", b"desk.example", b"/stream/1?page=2", b"a body")


def test_the_same_request_has_the_same_digest():
    assert request_digest(*FIRST) == request_digest(*FIRST)


def test_another_caller_path_or_body_is_another_request():
    others = [
        FIRST,
        ("other", *FIRST[1:]),
        (None, *FIRST[1:]),
        (FIRST[0], b"GET", *FIRST[2:]),
        (*FIRST[:2], b"other.example", *FIRST[3:]),
        (*FIRST[:3], b"/stream/1?page=3", FIRST[4]),
        (*FIRST[:4], b"a bodz"),
        (*FIRST[:4], b""),
    ]
    assert len({request_digest(*parts) for parts in others}) == len(others)


def test_another_split_of_the_same_bytes_is_another_request():
    requests = [("d", b"GET", b"h", target, body) for target, body in _splits(b"/abc")]
    assert all(
        request_digest(*one) != request_digest(*other)
        for one, other in combinations(requests, 2)
    )


def test_digests_distinguish_prompt_parts_from_requests():
    parts = [part_digest(f"{number:x}") for number in range(64)]
    requests = [request_digest(*FIRST[:4], b"%d" % number) for number in range(64)]
    assert all(map(is_prompt_part, parts))
    assert not any(map(is_prompt_part, requests))
    assert len(set(parts)) == len(parts)


def _splits(data: bytes) -> list[tuple[bytes, bytes]]:
    """Return every way to split `data` in two."""
    return [(data[:at], data[at:]) for at in range(len(data) + 1)]
