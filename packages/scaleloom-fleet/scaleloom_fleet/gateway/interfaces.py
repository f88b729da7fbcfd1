"""What the gateway needs of the platform it runs on, filled by an adapter."""

import importlib
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec
from returns.result import Result

from scaleloom_core.evacuations import EvacuationChange
from scaleloom_core.ids import EntryKey, ServiceName, Version
from scaleloom_core.listed import ListedTarget
from scaleloom_core.rollouts.orders import RolloutChange
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.routing import RoutingTable
from scaleloom_fleet.http1.links import OutgoingRequest


class Topic(Enum):
    """What the gateway keeps in the platform's store or reads from it."""

    CONFIG = "config"
    TARGETS = "targets"
    ROUTERS = "routers"
    FIRST_COPY = "first_copy"
    SECOND_COPY = "second_copy"
    THIRD_COPY = "third_copy"
    HOLDERS = "holders"
    DECISIONS = "decisions"
    CRASHES = "crashes"
    STATUS = "status"


# Each lies in another part of the store, which may be up when others are down.
COPY_TOPICS = (Topic.FIRST_COPY, Topic.SECOND_COPY, Topic.THIRD_COPY)


class HeaderNames(msgspec.Struct, frozen=True):
    """
    How the platform spells the headers that the gateway reads or sets.

    Every name is as it is sent; `deadline` counts milliseconds, `prompt_parts`
    names the parts of a prompt in order.

    Parameters
    ----------
    reserved : frozenset of bytes
        In lower case, what only the gateway may tell a target. A caller's own
        value never reaches one.
    leaving : bytes
        By which a target that leaves says so in its answers, as ``1``.
    """

    request_id: bytes
    deadline: bytes
    prompt_parts: bytes
    last_event_id: bytes
    customer: bytes
    expected_target: bytes
    not_run: bytes
    priority: bytes
    cache_source: bytes
    leaving: bytes
    reserved: frozenset[bytes]


class KeyedValue(msgspec.Struct, frozen=True):
    """A record to be written; an empty value drops its key."""

    key: str
    value: bytes


class StoredRecord(msgspec.Struct, frozen=True):
    """The newest record of one key."""

    key: str
    value: bytes
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """
    A part of the newest records of a topic, by key.

    Parameters
    ----------
    end : int
        The offset after the last record of the topic.
    """

    records: list[StoredRecord]
    has_more: bool
    end: int


class RecordBatch(msgspec.Struct, frozen=True):
    """Records from an offset on; a record without a value drops its key."""

    end: int
    records: list[StoredRecord]


class PlatformAdapter(msgspec.Struct, frozen=True):
    """
    The platform's names, formats and calls; nothing here decides anything.

    Parameters
    ----------
    newest_request : callable
        The call for a topic's newest records after a key.
    read_request : callable
        The call for a topic's records from an offset on, waiting for some
        milliseconds if there are none.
    append_request : callable
        The call that appends records, all or none, on the condition that the
        topic ends at an offset if one is given.
    decode_end : callable
        Where a topic ends after an append that was carried out.
    read_evacuation : callable
        What a record of the configuration's topic says of an evacuation, if
        it is one.
    read_rollout : callable
        What such a record says of a roll-out, or why it cannot be read; None
        if it is about something else.
    rollout_status : callable
        The key and the value that tell operators how far a roll-out of a
        service to a version has come.
    """

    headers: HeaderNames
    ready_path: bytes
    config_key: str
    newest_request: Callable[[Topic, str | None], OutgoingRequest]
    read_request: Callable[[Topic, int, int], OutgoingRequest]
    append_request: Callable[[Topic, Sequence[KeyedValue], int | None], OutgoingRequest]
    decode_end: Callable[[bytes], Result[int, str]]
    decode_newest: Callable[[bytes], Result[NewestPage, str]]
    decode_batch: Callable[[bytes, int], Result[RecordBatch, str]]
    decode_routing: Callable[[bytes], Result[RoutingTable, str]]
    decode_target: Callable[[EntryKey, bytes], Result[ListedTarget, str]]
    read_evacuation: Callable[[StoredRecord], EvacuationChange | None]
    read_rollout: Callable[[StoredRecord], Result[RolloutChange, str] | None]
    rollout_status: Callable[[ServiceName, Version, Stage], tuple[str, bytes]]


def load_adapter(module_name: str) -> PlatformAdapter:
    """Return the adapter that the module `module_name` offers as ``ADAPTER``."""
    return importlib.import_module(module_name).ADAPTER
