"""
Tests that the soak judges gateways beside one bad peer.

Guards against judges that pass a part of an answer, or report what the soak itself cut.
"""

import json
import random

import trio
from nose2.tools import params
from returns.result import Success

from scaleloom_core.target_entries import EntryKey, ListedState
from scaleloom_fleet.http1.links import BodyDelimiter
from scaleloom_platform.documents import decode_target
from soak.arrival_records import Arrival
from soak.callers import CallerResult, Observations
from soak.crashes_in_answers import SINCE_CRASH_S, crash_in_answers
from soak.entry_checks import MIN_REQUESTS, check_sound_entries
from soak.head_checks import check_heads
from soak.long_routes import LONG
from soak.malformed_entries import malformed_entries
from soak.malformed_heads import MARK, HeadDefect, malformed_answer
from soak.processes import GatewayProcess
from soak.site import ENGINE, PLAIN, SoakSite
from soak.targets import SoakTarget
from soak.upload_answers import whole_upload_body
from soak.upload_checks import find_upload_problem
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer
from tests.fixtures.platform_store import PAGE_BYTES, StoreStandin
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget

AT_S = 100.0
CLOSE, LENGTH = BodyDelimiter.CONNECTION, BodyDelimiter.LENGTH


def _gateway(**fields: object) -> GatewayProcess:
    """Return a gateway that doesn't run."""
    return GatewayProcess("g-1", "127.0.0.1", 1, 2, None, **fields)


def _result(kind: str, answer: Answer, **fields: object) -> CallerResult:
    """Return what came of a request that was sent at `AT_S`."""
    gateway = _gateway(**fields)
    times_s = (AT_S, AT_S + 1.0)
    return CallerResult(kind, "r-1", gateway, 1, *times_s, answer, False, False)


def _site(service: str, **fields: object) -> SoakSite:
    """Return a site with one target."""
    fields = {"added_s": 0.0, **fields}
    target = SoakTarget(StubTarget("i-1"), None, service, random.Random(1), **fields)
    return SoakSite(random.Random(1), None, None, 0, targets=[target])


@params(
    ("file-once", b"", CLOSE, True),
    ("file-safe", b"early", CLOSE, True),
    ("file-safe", b"early", LENGTH, True),
    ("file-safe", b"9 bytes", CLOSE, False),
    ("file-stream", b"id: 1\ndata: r-1\n\n", CLOSE, True),
    ("file-stream", whole_upload_body("file-stream", "r-1", 9), CLOSE, False),
)
def test_a_part_that_ends_normally_is_no_answer_to_an_upload(
    kind, body, delimiter, is_broken
):
    answer = Answer(200, {}, body, True, delimiter)
    problem = find_upload_problem(_site(LONG), _result(kind, answer), 9)
    assert (problem is not None) is is_broken


@params(
    (Answer(502, {}, b"", True, LENGTH), {}, {}, False),
    (Answer(200, {}, b"early", False, CLOSE), {}, {}, False),
    (Answer(200, {}, b"early", True, CLOSE), {"disturbances_s": [AT_S]}, {}, False),
    (Answer(200, {}, b"early", True, LENGTH), {"disturbances_s": [AT_S]}, {}, True),
    (Answer(200, {}, b"", True, CLOSE), {}, {"path_disturbances_s": [AT_S]}, False),
    (Answer(200, {}, b"", True, CLOSE), {}, {"path_disturbances_s": [AT_S - 1]}, True),
)
def test_what_the_soak_cut_or_saw_broken_off_is_no_fault(
    answer, gateway, target, is_broken
):
    result = _result("file-once", answer, **gateway)
    problem = find_upload_problem(_site(LONG, **target), result, 9)
    assert (problem is not None) is is_broken


def test_a_malformed_entry_is_refused_or_gets_no_requests():
    rng = random.Random(2)
    drawn = [
        document for _ in range(60) for document in malformed_entries(rng, 8).values()
    ]
    decoded = [decode_target(EntryKey("wrong"), document) for document in drawn]
    accepted = [each.unwrap() for each in decoded if isinstance(each, Success)]
    assert len(accepted) < len(drawn) / 4
    assert {target.state for target in accepted} <= {ListedState.DRAINING}


def _site_with_joined(is_used: bool, **struck: object) -> SoakSite:
    """Return a site whose second target was listed beside malformed entries."""
    site = _site(PLAIN)
    site.gateways = [_gateway(**struck)]
    joined = SoakTarget(StubTarget("i-2"), None, PLAIN, random.Random(1), added_s=AT_S)
    joined.disturbances_s.append(AT_S)
    site.targets.append(joined)
    site.joined_beside_malformed.append(joined)
    times_s = (AT_S + 1.0, AT_S + 1.1)
    arrival = Arrival("r-1", "g-1", "i-1", PLAIN, *times_s, True)
    site.targets[0].arrivals += [arrival] * MIN_REQUESTS
    joined.arrivals += [arrival] * is_used
    return site


@params(
    (True, {}, 0),
    (False, {}, 1),
    (False, {"disturbances_s": [AT_S + 1.0]}, 0),
    (False, {"stopping_s": [AT_S - 1.0]}, 0),
)
def test_a_sound_target_beside_malformed_entries_must_be_used(is_used, struck, count):
    site = _site_with_joined(is_used, **struck)
    assert len(check_sound_entries(site, Observations())) == count


@params(
    (Answer(502, {}, b"", True), 0),
    (Answer(None), 0),
    (Answer(200, {}, b"", True), 0),
    (Answer(200, {MARK: "folded-line"}, b"", True), 1),
    (Answer(600, {}, b"", True), 1),
    (Answer(99, {}, b"", True), 1),
)
def test_a_head_that_is_none_must_not_reach_a_caller(answer, count):
    observations = Observations([_result("safe", answer)])
    assert len(check_heads(_site(PLAIN), observations)) == count


@params(*HeadDefect)
def test_a_defective_head_has_a_mark_and_one_defect(defect):
    request = ReceivedRequest("GET", "/safe/1", {"request-id": "r-1"}, b"", None)
    head, _, body = malformed_answer(StubTarget("i-1"), request, defect).partition(
        b"\r\n\r\n"
    )
    lines = head.split(b"\r\n")
    sound = (b"HTTP/1.1 200 OK", b"Request-Id: r-1", b"Response-Seal: seal-i-1")
    mark = f"{MARK}: {defect.value}".encode()
    usual = (*sound, mark, b"Content-Length: %d" % len(body))
    assert mark in lines
    assert len([line for line in lines if line not in usual]) in (1, 2)


@params((SINCE_CRASH_S - 1.0, 0), (SINCE_CRASH_S + 1.0, 1))
@runs_on_paused_clock
async def test_no_target_crashes_behind_parts_soon_after_another(since_s, count):
    site = SoakSite(random.Random(1), None, None, 0)
    crashed_s = trio.current_time() - since_s
    for service in (PLAIN, ENGINE):
        site.targets += [_site(service).targets[0] for _ in range(3)]
        site.removed_targets += _site(
            service, removed_s=crashed_s, ended_s=crashed_s
        ).targets
    crashed: list[SoakTarget] = []
    site.crash_target = crashed.append
    await crash_in_answers(site, random.Random(1))
    assert len(crashed) == count


@params(
    (1, PAGE_BYTES + 1, 1, False),
    (3, 300_000, 3, False),
    (4, 400_000, 2, True),
    (600, 1, 500, True),
)
def test_a_page_of_the_store_has_no_more_than_it_may(stored, size, count, has_more):
    store, topic = StoreStandin(), "keyed.servers"
    for number in range(stored):
        store.topic(topic).append(f"k-{number:03}", b"x" * size)
    answer = store._newest(store.topic(topic), None)
    page = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert (len(page["items"]), page["more"]) == (count, has_more)
