"""Remembers which machine holds which images.

The leader sends this to the other controllers, for the next leader. It is only a hint and sometimes wrong (after an
unseen eviction, or if a machine was restarted empty), which costs a fetch of the image; nothing that safety depends on
reads it. No I/O, no clock.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any

from pepperlatch.constants import core as c

ImageUse = tuple[int, str, str, float]  # number, machine, image, GB


@dataclass(slots=True)
class ImageMemory:
    """The latest use of each image on each machine, the most recent last; uses are numbered by each node for itself."""

    _uses: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    _number: int = 0

    def used(self, machine: str, image: str, gb: float) -> None:
        """Note that a task on the machine uses the image of `gb` GB; beyond MAX_IMAGE_USES the oldest is forgotten."""
        self._number += 1
        self._uses.pop((machine, image), None)
        self._uses[(machine, image)] = (self._number, gb)
        if len(self._uses) > c.MAX_IMAGE_USES:
            del self._uses[next(iter(self._uses))]

    def after(self, number: int) -> list[ImageUse]:
        """The uses after that number, the earliest first; at most MAX_IMAGE_USES_PER_ANSWER of them."""
        latest = ((held[0], *key, held[1]) for key, held in reversed(self._uses.items()))
        newer = list(takewhile(lambda use: use[0] > number, latest))
        return newer[-c.MAX_IMAGE_USES_PER_ANSWER :][::-1]

    def learn(self, uses: Any) -> int:
        """Take over another node's uses, skipping malformed ones; returns the highest of that node's numbers, or 0."""
        highest = 0
        for number, machine, image, gb in _well_formed(uses):
            self.used(machine, image, gb)
            highest = max(highest, number)
        return highest

    def on(self, machines: Iterable[str]) -> Iterator[ImageUse]:
        """The uses on these machines, the earliest first."""
        wanted = set(machines)
        for (machine, image), (number, gb) in self._uses.items():
            if machine in wanted:
                yield number, machine, image, gb


def _well_formed(uses: Any) -> Iterator[ImageUse]:
    for use in uses if isinstance(uses, list) else ():
        match use:
            case [int() as number, str() as machine, str() as image, int() | float() as gb]:
                yield number, machine, image, float(gb)
