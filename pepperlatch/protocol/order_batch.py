"""Orders to a worker in one message: a request's body or an answer's line, of at most 64 KiB by the protocol."""

from collections.abc import Iterable
from typing import Any

import orjson

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire

Order = dict[str, Any]


class OrderBatch:
    """The orders for one message, made by `wire.launch`, `wire.kill` and `wire.reap`.

    Orders that do not fit are left to the sender's next message. The batch takes none after the first that did not fit,
    so that small ones cannot pass it by again and again.
    """

    def __init__(self) -> None:
        self.orders: list[Order] = []
        self.full = False
        self._room = c.MAX_ORDERS_BYTES

    def add(self, orders: Iterable[Order]) -> bool:
        """Add the orders if all of them fit; returns whether they did."""
        group = list(orders)
        size = sum(len(orjson.dumps(order)) + 1 for order in group)
        if self.full or size > self._room:
            self.full = True
            return False
        self._room -= size
        self.orders += group
        return True


def limit_answer(answer: dict[str, Any]) -> dict[str, Any]:
    """The answer to a report with as many of its first orders as one message may hold.

    For answers of a leader of an earlier version, which does not limit them. The worker's next report shows the leader
    which orders are left. A launch is not separated from a kill of the same attempt that follows it: without the kill
    the worker would start a task that is to be stopped.
    """
    orders = wire.answer_orders(answer)
    if len(orders) * c.MAX_ORDER_BYTES <= c.MAX_ORDERS_BYTES:
        return answer
    batch, start = OrderBatch(), 0
    while start < len(orders) and not batch.full:
        end = start + 1
        while end < len(orders) and wire.ordered_attempt(orders[end]) == wire.ordered_attempt(orders[start]):
            end += 1
        batch.add(orders[start:end])
        start = end
    return wire.report_answer(wire.answer_token(answer), batch.orders)
