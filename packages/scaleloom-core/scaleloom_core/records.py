"""Records of the configuration log, and the objects that changes put."""

from typing import Union

import msgspec

from scaleloom_core.ids import (
    AdapterName,
    CustomerId,
    DataCentreName,
    Incarnation,
    ModelName,
    RecordId,
    ServiceName,
    SlotNumber,
    TargetId,
)

KEY_SLOT_COUNT = 64
EVERY_CUSTOMER = "*"


class Customer(msgspec.Struct, frozen=True, tag="customer"):
    """A customer, the digests of its keys and its relative share of capacity."""

    name: CustomerId
    key_sha256: tuple[str, ...]
    weight: float = 1.0
    priority: int = 0


class Model(msgspec.Struct, frozen=True, tag="model"):
    """A model that engines load, its customers and its number of replicas."""

    name: ModelName
    version: int = 1
    weight_bytes: int = 0
    adapters: tuple[AdapterName, ...] = ()
    customers: tuple[str, ...] = (EVERY_CUSTOMER,)
    replicas: int = 1


class Service(msgspec.Struct, frozen=True, tag="service"):
    """A plain service that requests are routed to."""

    name: ServiceName
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    kind_weight: float = 1.0


class Target(msgspec.Struct, frozen=True, tag="target"):
    """A target of a service or, without a service, an engine."""

    name: TargetId
    service: ServiceName | None = None
    capacity: int = 8
    is_leaving: bool = False
    checks_fencing: bool = False


class Burst(msgspec.Struct, frozen=True, tag="burst"):
    """Minimum number of replicas of a model for an expected burst."""

    name: str
    model: ModelName
    replicas: int


class DataCentre(msgspec.Struct, frozen=True, tag="data_centre"):
    """A data centre and its region."""

    name: DataCentreName
    region: str


class Assignment(msgspec.Struct, frozen=True, tag="assignment"):
    """Model that an engine loads, and the engines that must be ready before."""

    name: TargetId
    model: ModelName
    version: int
    adapters: tuple[AdapterName, ...] = ()
    role: str = "mixed"
    wait_for: tuple[TargetId, ...] = ()


ConfigObject = Union[Customer, Model, Service, Target, Burst, DataCentre, Assignment]


def tag_of(kind: type) -> str:
    """Return the name of the object type `kind` in records and keys."""
    return kind.__struct_config__.tag


def object_key(config_object: ConfigObject) -> str:
    """Return the key of `config_object` in the fold."""
    return f"{tag_of(type(config_object))}/{config_object.name}"


class Change(msgspec.Struct, frozen=True, tag="change"):
    """A confirmed plan: objects to put and keys to remove, atomically."""

    record_id: RecordId
    base_version: int
    author: str
    puts: tuple[ConfigObject, ...] = ()
    removals: tuple[str, ...] = ()
    depends_on: tuple[str, ...] = ()
    summary: str = ""


class SlotClaim(msgspec.Struct, frozen=True, tag="claim"):
    """A sidecar's claim of key slots; slots whose epoch has changed are skipped."""

    record_id: RecordId
    service: ServiceName
    slots: tuple[tuple[SlotNumber, int], ...]
    target: TargetId
    incarnation: Incarnation


class SlotRelease(msgspec.Struct, frozen=True, tag="release"):
    """Transfer of key slots to a successor that has received the owner's table."""

    record_id: RecordId
    service: ServiceName
    slots: tuple[tuple[SlotNumber, int], ...]
    target: TargetId
    incarnation: Incarnation
    transfer_id: str


class SlotOwner(msgspec.Struct, frozen=True):
    """Owner of a key slot, as folded from the log."""

    target: TargetId
    incarnation: Incarnation
    epoch: int
    is_first: bool = False
    transfer_id: str | None = None


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Complete state of the fold, which lets older records expire."""

    record_id: RecordId
    state: "FoldState"


class ChangeResult(msgspec.Struct, frozen=True):
    """Result of folding one record."""

    offset: int
    accepted: bool
    reason: str = ""
    author: str = ""


class FoldState(msgspec.Struct):
    """Configuration at one offset of the log."""

    version: int = -1
    objects: dict[str, ConfigObject] = {}
    changed_at: dict[str, int] = {}
    changed_by: dict[str, str] = {}
    slots: dict[str, dict[int, SlotOwner]] = {}
    verdicts: dict[str, ChangeResult] = {}
    snapshot_at: int = -1


Record = Union[Change, SlotClaim, SlotRelease, Snapshot]

_RECORD_DECODER = msgspec.json.Decoder(Record)
_STATE_DECODER = msgspec.json.Decoder(FoldState)
_ENCODER = msgspec.json.Encoder()


def encode_record(record: Record) -> bytes:
    """Return `record` in the encoding of the log."""
    return _ENCODER.encode(record)


def decode_record(payload: bytes) -> Record:
    """
    Return the record encoded in `payload`.

    Raises
    ------
    msgspec.DecodeError
        If `payload` is not a valid record.
    """
    return _RECORD_DECODER.decode(payload)


def encode_state(state: FoldState) -> bytes:
    """Return `state` in the encoding that is sent to a new process."""
    return _ENCODER.encode(state)


def decode_state(payload: bytes) -> FoldState:
    """Return the state encoded in `payload`."""
    return _STATE_DECODER.decode(payload)
