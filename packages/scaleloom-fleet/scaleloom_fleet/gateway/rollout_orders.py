"""Operators' orders of roll-outs, read from the records of their topic."""

import logging

from returns.result import Failure

from scaleloom_core.rollouts.orders import RolloutChange, RolloutOrder, RolloutOrders
from scaleloom_fleet.gateway.interfaces import PlatformAdapter, StoredRecord

_logger = logging.getLogger("scaleloom.rollouts")


def read_orders(
    adapter: PlatformAdapter, records: list[StoredRecord], known: RolloutOrders
) -> list[RolloutChange]:
    """
    Return what `records` say of roll-outs.

    A record that cannot be read changes nothing: where it hides the one before
    in a reading of the newest records, what is `known` stands.
    """
    changes: list[RolloutChange] = []
    for record in records:
        reading = adapter.read_rollout(record)
        if isinstance(reading, Failure):
            fields = {"key": record.key, "why": reading.failure()}
            _logger.error("order of a roll-out unreadable", extra=fields)
            changes += _hidden_by(record, adapter, known)
        elif reading is not None:
            changes.append(reading.unwrap())
    return changes


def _hidden_by(
    record: StoredRecord, adapter: PlatformAdapter, known: RolloutOrders
) -> list[RolloutChange]:
    """Return the order that stood under the key of `record`, if one did."""
    taken_back = StoredRecord(record.key, b"", record.offset)
    service = adapter.read_rollout(taken_back).unwrap().service
    standing: list[RolloutOrder] = [
        order
        for order in known.orders
        if order.service == service and order.position < record.offset
    ]
    return [RolloutChange(service, order) for order in standing]
