"""Replies to the datagrams of sidecars."""

from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import MemberState
from scaleloom_fleet.control.config_store import to_wire
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.clock import now_s
from scaleloom_wire.control_pb2 import Datagram, SyncReply, SyncRequest

MAX_RECORDS_BYTES = 1000
MILLISECONDS_PER_S = 1000


def answer_datagram(state: RouterState, datagram: Datagram) -> Datagram | None:
    """Handle one datagram and return the reply, or None if none is expected."""
    kind = datagram.WhichOneof("body")
    if kind == "leaving":
        state.membership.mark_draining(InstanceId(datagram.sender), now_s())
        return None
    if kind != "sync_request":
        return None
    request = datagram.sync_request
    if request.is_leaving:
        state.membership.mark_draining(InstanceId(datagram.sender), now_s())
    if request.version > state.config.fold.version:
        state.log_feed.read_now()
    return Datagram(sync_reply=_sync_reply(state, datagram.sender, request))


def _sync_reply(state: RouterState, sender: str, request: SyncRequest) -> SyncReply:
    """Return the state of the log and the records that the sender lacks."""
    feed = state.log_feed
    age_s = now_s() - feed.tail_read_at_s
    is_tail_known = age_s < float("inf")
    listed_state = _listed_state(state, sender)
    return SyncReply(
        tail_version=feed.tail_version,
        tail_age_ms=int(age_s * MILLISECONDS_PER_S) + 1 if is_tail_known else 0,
        is_tail_known=is_tail_known,
        version=state.config.fold.version,
        is_listed=listed_state is not MemberState.GONE,
        is_listed_leaving=listed_state is MemberState.DRAINING,
        records=_records_for_datagram(state, request.version),
    )


def _listed_state(state: RouterState, sender: str) -> MemberState:
    """Return the state of the sender in the instance list, not in its datagram."""
    member = state.membership.find(InstanceId(sender))
    if member is None or not state.membership.is_listed(InstanceId(sender)):
        return MemberState.GONE
    return member.state


def _records_for_datagram(state: RouterState, after_version: int) -> list:
    """Return the next records, as many as fit into a datagram."""
    entries = state.config.records_after(after_version) or []
    size = 0
    fitting = []
    for entry in entries:
        size += len(entry.payload)
        if size > MAX_RECORDS_BYTES:
            break
        fitting.append(entry)
    return to_wire(fitting)
