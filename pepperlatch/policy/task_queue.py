"""The queue of a job's tasks that wait to be placed.

An array has up to 100,000 tasks, so taking out one of them must not walk the others.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from enum import IntEnum


class _Entry(IntEnum):
    """What the queue's order holds of a task."""

    ABSENT = 0
    QUEUED = 1
    REMOVED = 2  # still in the order, to be skipped


class TaskQueue:
    """Numbers of tasks in the order in which they are placed; each at most once.

    All operations but iteration and `clear` take constant time on average. A task that was removed and is queued again
    before its old place was reached costs one walk, which drops the old places of all removed tasks.
    """

    def __init__(self, tasks: Iterable[int] = ()) -> None:
        self._order = deque(tasks)
        self._entries = bytearray(max(self._order, default=-1) + 1)
        for task in self._order:
            self._entries[task] = _Entry.QUEUED
        self._count = len(self._order)

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[int]:
        return (task for task in self._order if self._entries[task] == _Entry.QUEUED)

    def __contains__(self, task: int) -> bool:
        return self._entry(task) == _Entry.QUEUED

    def first(self) -> int:
        """The task that is placed next. Raises IndexError if there is none."""
        while self._entries[self._order[0]] == _Entry.REMOVED:
            self._entries[self._order.popleft()] = _Entry.ABSENT
        return self._order[0]

    def popleft(self) -> int:
        """Remove and return the task that is placed next. Raises IndexError if there is none."""
        task = self.first()
        self._order.popleft()
        self._entries[task] = _Entry.ABSENT
        self._count -= 1
        return task

    def appendleft(self, task: int) -> None:
        """Queue a task before all others; no effect if it is queued."""
        if self._entry(task) == _Entry.QUEUED:
            return
        if self._entry(task) == _Entry.REMOVED:
            self._drop_removed()
        if task >= len(self._entries):
            self._entries.extend(bytes(task + 1 - len(self._entries)))
        self._order.appendleft(task)
        self._entries[task] = _Entry.QUEUED
        self._count += 1

    def remove(self, task: int) -> None:
        """Remove the task if it is queued."""
        if task in self:
            self._entries[task] = _Entry.REMOVED
            self._count -= 1

    def clear(self) -> None:
        """Remove all tasks."""
        self._order.clear()
        self._entries = bytearray(len(self._entries))
        self._count = 0

    def _entry(self, task: int) -> int:
        return self._entries[task] if task < len(self._entries) else _Entry.ABSENT

    def _drop_removed(self) -> None:
        queued = deque(self)
        for task in self._order:
            if self._entries[task] == _Entry.REMOVED:
                self._entries[task] = _Entry.ABSENT
        self._order = queued
