"""Tests of requests to a small fleet that runs in separate processes."""

import msgspec
import openai
import trio

from scaleloom_standins.local_fleet import LocalFleet
from scaleloom_standins.traffic import expected_answer
from tests.fixtures.fleets import (
    CUSTOMER_KEY,
    MODEL,
    OTHER_KEY,
    SERVICE,
    runs_in_trio,
    small_fleet,
)

POLL_INTERVAL_S = 0.05
MESSAGES = [{"role": "user", "content": "Draft the objection for rol 12."}]


def _headers(key: str = CUSTOMER_KEY, **more: str) -> dict[str, str]:
    return {
        "authorization": f"Bearer {key}",
        "content-type": "application/json",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


async def _call(fleet: LocalFleet, method: str, path: str, headers, body=b""):
    url = fleet.address("r1").url(path)
    return (await fleet.client.request(method, url, headers, body)).unwrap()


async def _check_openai_client(fleet: LocalFleet) -> None:
    def use_client() -> None:
        url = fleet.address("r1").url("/v1")
        client = openai.OpenAI(api_key=CUSTOMER_KEY, base_url=url, max_retries=0)
        completion = client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=5
        )
        expected_text = expected_answer(MESSAGES[0]["content"], 5)
        assert completion.choices[0].message.content == expected_text
        stream = client.chat.completions.create(
            model=f"{MODEL}:land-use", messages=MESSAGES, max_tokens=5, stream=True
        )
        streamed_text = "".join(
            event.choices[0].delta.content or "" for event in stream
        )
        assert streamed_text == expected_text
        assert [model.id for model in client.models.list()] == [
            MODEL,
            f"{MODEL}:land-use",
        ]

    await trio.to_thread.run_sync(use_client)


async def _check_bad_input(fleet: LocalFleet) -> None:
    path = "/v1/chat/completions"
    good = msgspec.json.encode({"model": MODEL, "messages": MESSAGES})
    unknown = msgspec.json.encode({"model": "nothing", "messages": MESSAGES})
    cases = [
        (_headers("wrong-key"), good, 401, "unauthenticated"),
        ({}, good, 401, "unauthenticated"),
        (_headers(), b"{broken", 400, "bad_request"),
        (_headers(), b'{"model": 3, "messages": []}', 400, "bad_request"),
        (_headers(), unknown, 404, "unknown_model"),
        (_headers(x_deadline_s="soon"), good, 400, "bad_request"),
        (_headers(), b"x" * (9 << 20), 413, "body_too_large"),
    ]
    for headers, body, status, kind in cases:
        answer = await _call(fleet, "POST", path, headers, body)
        problem = msgspec.json.decode(answer.body)
        assert (answer.status, problem["kind"]) == (status, kind), problem
        assert problem["outcome"] == "not_run"
        assert answer.headers["content-type"] == "application/problem+json"
    answer = await _call(fleet, "GET", path, _headers())
    assert answer.status == 405
    answer = await _call(fleet, "GET", "/nowhere", _headers())
    assert answer.status == 404


async def _check_idempotency_key(fleet: LocalFleet) -> None:
    path = f"/services/{SERVICE}/rol/7"
    answer = await _call(fleet, "POST", path, _headers(), b"forest")
    assert msgspec.json.decode(answer.body)["kind"] == "key_required"
    first = await _call(
        fleet, "POST", path, _headers(idempotency_key="tag-7"), b"forest"
    )
    replayed = await _call(
        fleet, "POST", path, _headers(idempotency_key="tag-7"), b"forest"
    )
    assert (first.status, replayed.body) == (200, first.body)
    assert replayed.headers["x-scaleloom-replayed"] == "1"
    other_body = await _call(
        fleet, "POST", path, _headers(idempotency_key="tag-7"), b"orchard"
    )
    assert msgspec.json.decode(other_body.body)["kind"] == "key_reused"


async def _check_keys_are_private_to_a_customer(fleet: LocalFleet) -> None:
    path = f"/v1/requests/{SERVICE}/tag-7"
    own_answer = await _call(fleet, "GET", path, _headers())
    assert own_answer.status == 200 and b"forest" in own_answer.body
    other_customer_answer = await _call(fleet, "GET", path, _headers(OTHER_KEY))
    assert msgspec.json.decode(other_customer_answer.body)["kind"] == "key_unknown"
    unauthenticated_answer = await _call(fleet, "GET", path, _headers("wrong-key"))
    assert unauthenticated_answer.status == 401


async def _check_disconnected_caller(fleet: LocalFleet) -> None:
    body = msgspec.json.encode(
        {"model": MODEL, "messages": MESSAGES, "stream": True, "max_tokens": 3000}
    )
    url = fleet.address("r1").url("/v1/chat/completions")
    async with fleet.client.stream("POST", url, _headers(), body) as response:
        async for _ in response.aiter_stream():
            break
    with trio.fail_after(5):
        while await _total_load(fleet):
            await trio.sleep(POLL_INTERVAL_S)


async def _total_load(fleet: LocalFleet) -> int:
    targets = (await fleet.status("r1"))["targets"]
    return sum(item["report"]["load"] for item in targets)


@runs_in_trio
async def test_requests_of_callers():
    async with small_fleet() as fleet:
        await _check_openai_client(fleet)
        await _check_bad_input(fleet)
        await _check_idempotency_key(fleet)
        await _check_keys_are_private_to_a_customer(fleet)
        await _check_disconnected_caller(fleet)
        health = await _call(fleet, "GET", "/health", {})
        assert health.status == 200
