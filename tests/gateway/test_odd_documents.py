"""
Tests of documents with numbers too large, values nested too deeply and odd addresses.

Guards against one odd entry that ends the tasks of a router, or that hides the sound
ones beside it: thousands of them in each topic, and in the configuration.
"""

import json
from collections.abc import Iterator

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    Site,
    config,
    entry,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.states import captured_states
from tests.gateway.test_hostile_neighbours import OTHER_TOPICS, paths, replaced

MARK = "--mark--"
ODD_JSON = (
    *("9" * 30, "-" + "9" * 30, "9" * 400, "-" + "9" * 400, "9" * 4000, "9" * 10_000),
    *("1e308", "1e400", "NaN", "-Infinity", "0." + "0" * 400 + "1"),
    *("[" * 20_000, '{"a":' * 10_000, "[" * 900 + "]" * 900),
    *('"\\u0000"', '"\\ud800"', json.dumps("n" * 20_000)),
)
ODD_ADDRESSES = (
    *("127.0.0.1:65536", "127.0.0.1:99999999", "127.0.0.1:0", "127.0.0.1:-1"),
    *("127.0.0.1:" + "9" * 5000, "127.0.0.1:²", "127.0.0.1:٣٣", "127.0.0.1:+80"),
    *("127.0.0.1", ":80", "[::1]:80", "localhost:80", "127.0.0.1:8 0", "0:0:0"),
)
# Neither can be sent in a head.
ODD_ENTRY_KEYS = ("\x00", "i\n1", "i\r\n1: 2", " i", "i ", "\x7f", "i\t")
ORDER = {"service": "plain", "target-version": "v2", "duration-s": 5.0}
ENTRY_COUNT = 3000
FOLLOWED_S = 3.0
CALLER_STATUSES = {200, 400, 401, 404, 408, 413, 431, 502, 503, 504}


def odd_jsons(document: object, odd_values=ODD_JSON) -> Iterator[bytes]:
    """Yield `document` as JSON with each part replaced by odd values."""
    for path in paths(document):
        text = json.dumps(replaced(document, path, MARK))
        for value in odd_values:
            yield text.replace(f'"{MARK}"', value).encode()


def odd_configs() -> Iterator[bytes]:
    """Yield odd configurations, each newer than the one before."""
    whole = config(1)
    whole["routes"] = whole["routes"][:1]
    whole["services"][0] |= {"engine": {"slots": 8, "kv-capacity": 1000}}
    whole["services"][0] |= {"cold-start-s": 1.0, "cold-per-s": 1.0}
    whole["routes"][0]["backends"] = [{"service": "plain", "weight": 1}]
    for number, document in enumerate(odd_jsons(whole)):
        yield document.replace(b'"version": 1', b'"version": %d' % (2 * number + 2))


@runs_on_paused_clock
async def test_callers_are_answered_whatever_the_configuration_holds():
    with captured_states() as states:
        async with running_site() as site:
            for number, document in enumerate(odd_configs()):
                site.store.topic(CONFIG_TOPIC).append("config", document)
                await trio.sleep(0.1)
                answer = await site.ask("/safe/1", f"r-{number}")
                assert answer.status in CALLER_STATUSES, document[:2000]
                assert answer.is_complete, document[:2000]
                sound = config(2 * number + 3)
                site.store.put(CONFIG_TOPIC, "config", sound)

                async def is_followed(version=sound["version"]) -> bool:
                    return states[0].routing.version >= version

                await eventually(is_followed, FOLLOWED_S)
            assert (await site.ask("/safe/1", "r-last")).status == 200


def odd_entries(site: Site) -> Iterator[bytes]:
    """Yield odd entries of targets."""
    # Those that can be read all the same are of a service that nobody asks for.
    sound = {**entry(site.runners[0]), "service": "x", "version": "v1", "born": 1}
    yield from odd_jsons(sound)
    for address in ODD_ADDRESSES:
        yield json.dumps({**sound, "address": address}).encode()


async def _check_list_is_followed(site: Site) -> None:
    """Check that changes of the sound entries are followed, also by a new router."""
    first, second = site.runners
    site.drop_entry(first)

    async def only_second_is_used() -> bool:
        before = first.runs.total()
        answers = [await site.ask("/safe/1", f"r-{n}") for n in range(4)]
        assert all(answer.status == 200 for answer in answers), answers
        return first.runs.total() == before

    await eventually(only_second_is_used, FOLLOWED_S)
    started = site.start_gateway(site.store_port)
    await started.wait_ready()

    async def serves() -> bool:
        return (await started.ask(request_bytes("/safe/1", "r-new"))).status == 200

    await eventually(serves, FOLLOWED_S)
    assert not started.stopped.is_set()
    assert second.runs["r-new"]


@runs_on_paused_clock
async def test_sound_entries_are_followed_among_odd_ones():
    async with running_site() as site:
        for number, odd in enumerate(odd_entries(site)):
            site.store.topic(TARGETS_TOPIC).append(f"i-0-{number:04}", odd)
        for key in ODD_ENTRY_KEYS:
            site.store.put(TARGETS_TOPIC, key, entry(site.runners[0]))
        await trio.sleep(FOLLOWED_S)
        await _check_list_is_followed(site)


@runs_on_paused_clock
async def test_sound_entries_are_followed_among_thousands_of_odd_ones():
    async with running_site() as site:
        odd = [item for item in odd_entries(site) if len(item) < 2000]
        for number in range(ENTRY_COUNT):
            key = f"i-{number % 4}-{number:04}"
            site.store.topic(TARGETS_TOPIC).append(key, odd[number % len(odd)])
        await trio.sleep(FOLLOWED_S)
        await _check_list_is_followed(site)


KEYS = (
    *("evacuate/b", "rollout/plain", "rollout/" + "n" * 200, "plain", "config"),
    *("targets", "evacuations", "rollouts", "holders", "g-1", "127.0.0.1:99999999"),
    *("127.0.0.9:0", "9" * 200, "0123456789abcdef/ended/ffffffffffffffff"),
    "0123456789abcdef/tried/ffffffffffffffff",
)


@params(*OTHER_TOPICS)
@runs_on_paused_clock
async def test_sound_entries_are_followed_beside_odd_records_of_other_topics(topic):
    records = [*odd_jsons(ORDER), *map(str.encode, ODD_JSON)]
    async with running_site() as site:
        for number, key in enumerate(KEYS):
            for record in records[number % 3 :: 3]:
                site.store.topic(topic).append(key, record)
            await trio.sleep(0.1)
        for number in range(ENTRY_COUNT):
            site.store.topic(topic).append(f"odd-{number:04}", b"9" * 400)
        await trio.sleep(FOLLOWED_S)
        await _check_list_is_followed(site)
        site.store.put(CONFIG_TOPIC, "config", config(9))
