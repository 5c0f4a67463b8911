"""Cuts lists to what a message may hold, by the bytes that they take as JSON."""

from typing import TypeVar

import msgspec
import orjson

T = TypeVar("T")


def first_that_fit(items: list[T], max_bytes: int) -> list[T]:
    """The first of the items that take at most `max_bytes` bytes together in a message."""
    left = max_bytes
    for count, item in enumerate(items):
        left -= len(orjson.dumps(msgspec.to_builtins(item))) + 1
        if left < 0:
            return items[:count]
    return items
