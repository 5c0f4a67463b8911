"""Which machine holds which images: what the leader saw, told to the others so that the next one knows it, too.

Advice only. It is wrong at times (an eviction nobody saw, a machine that came back empty), which costs a fetch; nothing
that a rule rests on reads it. No I/O, no clock.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any

from pepperlatch.constants import core as c

Use = tuple[int, str, str, float]  # number, machine, image, GB


@dataclass(slots=True)
class ImageMemory:
    """Uses by machine and image, the latest last; each has a number of this node's own."""

    _uses: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    _number: int = 0

    def used(self, machine: str, image: str, gb: float) -> None:
        self._number += 1
        self._uses.pop((machine, image), None)
        self._uses[(machine, image)] = (self._number, gb)
        if len(self._uses) > c.MAX_IMAGE_USES:
            del self._uses[next(iter(self._uses))]

    def after(self, number: int) -> list[Use]:
        """The uses after that number, the earliest first; a bounded count of them."""
        latest = ((held[0], *key, held[1]) for key, held in reversed(self._uses.items()))
        news = list(takewhile(lambda use: use[0] > number, latest))
        return news[-c.MAX_IMAGE_USES_PER_ANSWER :][::-1]

    def learn(self, uses: Any) -> int:
        """Take in what another node told, leave what is not of that form; the highest of its numbers, or 0."""
        highest = 0
        for number, machine, image, gb in _sound(uses):
            self.used(machine, image, gb)
            highest = max(highest, number)
        return highest

    def on(self, machines: Iterable[str]) -> Iterator[Use]:
        """The uses on these machines, the earliest first."""
        wanted = set(machines)
        for (machine, image), (number, gb) in self._uses.items():
            if machine in wanted:
                yield number, machine, image, gb


def _sound(uses: Any) -> Iterator[Use]:
    for use in uses if isinstance(uses, list) else ():
        match use:
            case [int() as number, str() as machine, str() as image, int() | float() as gb]:
                yield number, machine, image, float(gb)
