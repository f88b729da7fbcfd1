"""Reads operators' roll-out orders from the records of their topic."""

import logging

from returns.result import Failure

from scaleloom_core.rollouts.orders import RolloutChange, RolloutOrder, RolloutOrders
from scaleloom_fleet.gateway.interfaces import PlatformAdapter, StoredRecord

_logger = logging.getLogger("scaleloom.rollouts")


def read_orders(
    adapter: PlatformAdapter, records: list[StoredRecord], known: RolloutOrders
) -> list[RolloutChange]:
    """
    Return the changes to roll-out orders that `records` contain.

    An unreadable record changes nothing. If it hides an earlier record, because
    only the newest record of each key was read, the order in `known` stays active.
    """
    changes: list[RolloutChange] = []
    for record in records:
        reading = adapter.read_rollout(record)
        if isinstance(reading, Failure):
            fields = {"key": record.key, "why": reading.failure()}
            _logger.error("unreadable roll-out order ignored", extra=fields)
            changes += _active_before(record, adapter, known)
        elif reading is not None:
            changes.append(reading.unwrap())
    return changes


def _active_before(
    record: StoredRecord, adapter: PlatformAdapter, known: RolloutOrders
) -> list[RolloutChange]:
    """Return the order that was active under the key of `record`, if any."""
    withdrawal = StoredRecord(record.key, b"", record.offset)
    service = adapter.read_rollout(withdrawal).unwrap().service
    active: list[RolloutOrder] = [
        order
        for order in known.orders
        if order.service == service and order.position < record.offset
    ]
    return [RolloutChange(service, order) for order in active]
