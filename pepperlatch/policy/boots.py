"""How long machines take to boot, as seen: in an hour of slow boots none is taken to never come up too soon. No I/O."""

from collections import deque
from dataclasses import dataclass, field

from pepperlatch.constants import core as c
from pepperlatch.protocol.wire import MachineType


@dataclass(slots=True)
class Boots:
    """The latest boots of each type in this term; the next leader learns anew, by what the cloud says at first."""

    seen: dict[str, deque[float]] = field(default_factory=dict)
    slow_s: dict[str, float] = field(default_factory=dict)  # what nine of ten of them took at most, if there are a few

    def came_up(self, kind: MachineType, seconds: float) -> None:
        if seconds < c.MIN_BOOT_S:  # it was up before we knew of it
            return
        seen = self.seen.setdefault(kind.name, deque(maxlen=c.MAX_BOOTS_REMEMBERED))
        seen.append(seconds)
        if len(seen) >= c.MIN_BOOT_SAMPLES:
            self.slow_s[kind.name] = sorted(seen)[int(c.SLOW_BOOT_QUANTILE * (len(seen) - 1))]

    def expected_s(self, kind: MachineType) -> float:
        """So long a machine that is booting is counted on."""
        slow_s = self.slow_s.get(kind.name, 0.0)
        return max(c.BOOT_EXPECTED_FACTOR * kind.boot_s, c.SLOW_BOOT_FACTOR * slow_s) + c.BOOT_MARGIN_S

    def patience_s(self, kind: MachineType) -> float:
        """After this a booting machine is taken to never come up."""
        slow_s = self.slow_s.get(kind.name, 0.0)
        return max(
            c.MIN_BOOT_TIMEOUT_S,
            kind.boot_s * c.BOOT_TIMEOUT_FACTOR,
            c.BOOT_TIMEOUT_FACTOR * slow_s / c.BOOT_EXPECTED_FACTOR,
        )
