"""Interface between the gateway and its platform, implemented by an adapter."""

import importlib
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Result

from scaleloom_core import routing
from scaleloom_core.evacuations import EvacuationChange
from scaleloom_core.ids import EntryKey, ServiceName, Version
from scaleloom_core.rollouts.orders import RolloutChange
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.routing import MAX_NUMBER, RoutingTable
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.conf.checks import CheckMessage
from scaleloom_fleet.http1.links import OutgoingRequest


class Topic(Enum):
    """Topics of the platform's store that the gateway reads or writes."""

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


# Each is in another part of the store and may be up while others are down.
COPY_TOPICS = (Topic.FIRST_COPY, Topic.SECOND_COPY, Topic.THIRD_COPY)


class HeaderNames(msgspec.Struct, frozen=True):
    """
    Header names of the platform that the gateway reads or sets.

    Names are spelled as they are sent. The value of `deadline` is in milliseconds, that
    of `prompt_parts` lists the parts of a prompt in order.

    Parameters
    ----------
    reserved : frozenset of bytes
        Names in lower case that only the gateway may send to a target. The value that a
        caller sends is removed.
    begun_by : bytes
        Header with the id of the request whose answer brought the first event of the
        stream that a caller resumes.
    leaving : bytes
        Header with the value ``1`` in the answers of a draining target.
    """

    request_id: bytes
    deadline: bytes
    prompt_parts: bytes
    last_event_id: bytes
    begun_by: bytes
    customer: bytes
    expected_target: bytes
    not_run: bytes
    priority: bytes
    cache_source: bytes
    leaving: bytes
    reserved: frozenset[bytes]


Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Integer = routing.Integer
# What decoding raises; the last one for values nested too deeply.
UNREADABLE = (msgspec.DecodeError, RecursionError)


class KeyedValue(msgspec.Struct, frozen=True):
    """A record to be written; an empty value deletes its key."""

    key: str
    value: bytes


class StoredRecord(msgspec.Struct, frozen=True):
    """The newest record of one key."""

    key: str
    value: bytes
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """
    One page of the newest records of a topic, by key.

    Parameters
    ----------
    end : int
        The offset after the last record of the topic.
    """

    records: list[StoredRecord]
    has_more: bool
    end: int


class RecordBatch(msgspec.Struct, frozen=True):
    """Records from an offset on; a record without a value deletes its key."""

    end: int
    records: list[StoredRecord]


class PlatformAdapter(msgspec.Struct, frozen=True):
    """
    Names, formats and calls of the platform; contains no routing decisions.

    Parameters
    ----------
    newest_request : callable
        The call for a topic's newest records after a key.
    read_request : callable
        The call for a topic's records from an offset on; the store waits up to the
        given number of milliseconds if there are none.
    append_request : callable
        The call that appends all records or none. If an offset is given, the append
        succeeds only if the topic ends there.
    decode_end : callable
        Returns where a topic ends after a successful append.
    read_evacuation : callable
        Returns what a record of the configuration topic says of an evacuation, or None
        if it is about something else.
    read_rollout : callable
        Returns what such a record says of a roll-out, or why it cannot be read; None if
        it is about something else.
    rollout_status : callable
        Returns the key and the value that show operators the stage of a service's
        roll-out to a version.
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


def check_adapter(module_name: str) -> list[CheckMessage]:
    """Return the problem with the module `module_name` as an adapter, if any."""
    try:
        load_adapter(module_name)
    except (ImportError, AttributeError) as error:
        number, section, key = "scaleloom.E011", "platform", "adapter"
        hint = "Name a module with an ADAPTER that the process can import."
        return [CheckMessage(number, section, key, module_name, str(error), hint)]
    return []


def load_adapter(module_name: str) -> PlatformAdapter:
    """Return the ``ADAPTER`` of the module `module_name`."""
    return importlib.import_module(module_name).ADAPTER
