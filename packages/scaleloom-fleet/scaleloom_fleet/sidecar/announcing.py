"""Telling the fleet that this target takes no new work."""

from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member, Role
from scaleloom_fleet.sidecar.sampling import find_peers
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_wire.control_pb2 import Datagram, Leaving


def leave(state: SidecarState) -> None:
    """Take no new work, and tell routers and the pool if that is news."""
    if state.admission.is_leaving:
        return
    state.admission.leave()
    for member in [*state.membership.listed(Role.ROUTER), *_pool_members(state)]:
        address = Address(member.host, member.control_port)
        state.datagrams.tell(address, Datagram(leaving=Leaving()))


def _pool_members(state: SidecarState) -> list[Member]:
    """Return the peers whose mean load no longer counts this target."""
    found = [state.membership.find(InstanceId(peer)) for peer in find_peers(state)]
    return [member for member in found if member is not None]
