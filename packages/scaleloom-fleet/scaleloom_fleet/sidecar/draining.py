"""Announcement to routers and peers that this target is draining."""

from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member, Role
from scaleloom_fleet.sidecar.load_sampling import pool_peers
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import Datagram, Leaving


def start_draining(state: SidecarState) -> None:
    """Stop admitting requests, and announce it once to routers and pool peers."""
    if state.admission.is_draining:
        return
    state.admission.start_draining()
    for member in [
        *state.membership.listed_members(Role.ROUTER),
        *_peer_members(state),
    ]:
        address = Address(member.host, member.control_port)
        state.datagrams.send(address, Datagram(leaving=Leaving()))


def _peer_members(state: SidecarState) -> list[Member]:
    """Return the peers that count this target in the mean load of the pool."""
    members = [state.membership.find(InstanceId(peer)) for peer in pool_peers(state)]
    return [member for member in members if member is not None]
