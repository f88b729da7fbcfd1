"""Operators' orders to move a service to another software version."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import ServiceName, Version

UNKNOWN_POSITION = -1


class RolloutOrder(msgspec.Struct, array_like=True, frozen=True):
    """
    An operator's order for one service.

    Parameters
    ----------
    version : Version
        The version to which the service moves.
    duration_s : float
        The time until a decision is due, in seconds.
    position : int
        The position of the order in the operators' topic, which distinguishes it
        from a later order for the same version.
    """

    service: ServiceName
    version: Version
    duration_s: float
    position: int


class RolloutChange(msgspec.Struct, frozen=True):
    """The content of one record: a service's order, or its withdrawal."""

    service: ServiceName
    order: RolloutOrder | None


class RolloutOrders(msgspec.Struct, array_like=True, frozen=True):
    """
    The newest order of each service in the part of the operators' topic that was read.

    Parameters
    ----------
    position : int
        The number of records of the topic that are included; -1 before the first
        read. Of two copies, the one with the higher position is newer.
    orders : tuple of RolloutOrder
        The active orders, sorted by service.
    """

    position: int = UNKNOWN_POSITION
    orders: tuple[RolloutOrder, ...] = ()

    def is_newer_than(self, other: "RolloutOrders") -> bool:
        """Return whether more of the topic is included than in `other`."""
        return self.position > other.position

    def with_changes(
        self, changes: Iterable[RolloutChange], position: int
    ) -> "RolloutOrders":
        """Return the active orders after `changes`, which end at `position`."""
        active = {order.service: order for order in self.orders}
        for change in changes:
            if change.order is not None:
                active[change.service] = change.order
            else:
                active.pop(change.service, None)
        orders = sorted(active.values(), key=lambda order: order.service)
        return RolloutOrders(position, tuple(orders))
