"""Operators' orders to move a service to another version of its software."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import ServiceName, Version

UNKNOWN_POSITION = -1


class RolloutOrder(msgspec.Struct, array_like=True, frozen=True):
    """
    One order.

    Parameters
    ----------
    version : Version
        The one that is to serve.
    duration_s : float
        The time in which a verdict is asked for, in seconds.
    position : int
        Where the order lies in the operators' topic; tells it from a later
        order for the same version.
    """

    service: ServiceName
    version: Version
    duration_s: float
    position: int


class RolloutChange(msgspec.Struct, frozen=True):
    """What one record says: an order for a service, or that there is none."""

    service: ServiceName
    order: RolloutOrder | None


class RolloutOrders(msgspec.Struct, array_like=True, frozen=True):
    """
    The newest order of each service, as far as the operators' topic was read.

    Parameters
    ----------
    position : int
        How many records of the topic this takes into account; -1 before any
        reading. What was read further is the newer, whoever tells it.
    orders : tuple of RolloutOrder
        Those that stand, by service.
    """

    position: int = UNKNOWN_POSITION
    orders: tuple[RolloutOrder, ...] = ()

    def is_newer_than(self, other: "RolloutOrders") -> bool:
        """Return whether this rests on more of the topic than `other`."""
        return self.position > other.position

    def followed_by(
        self, changes: Iterable[RolloutChange], position: int
    ) -> "RolloutOrders":
        """Return what stands after `changes`, which end at `position`."""
        standing = {order.service: order for order in self.orders}
        for change in changes:
            if change.order is not None:
                standing[change.service] = change.order
            else:
                standing.pop(change.service, None)
        orders = sorted(standing.values(), key=lambda order: order.service)
        return RolloutOrders(position, tuple(orders))
