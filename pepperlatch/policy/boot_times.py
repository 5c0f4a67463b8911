"""Observed boot times, so that no machine is given up too soon while boots are slow. No I/O, no clock."""

from collections import deque
from dataclasses import dataclass, field

from pepperlatch.constants import core as c
from pepperlatch.protocol.wire import MachineType


@dataclass(slots=True)
class BootTimes:
    """The latest boot times of each machine type in this term.

    They are not stored: the next leader starts from the boot times that the cloud states.
    """

    seen: dict[str, deque[float]] = field(default_factory=dict)  # by type: the latest boot times in seconds
    slow_s: dict[str, float] = field(default_factory=dict)  # by type: their 90th percentile, if there are a few

    def came_up(self, kind: MachineType, seconds: float) -> None:
        """Note that a machine of this type came up `seconds` after its renting."""
        if seconds < c.MIN_BOOT_S:  # it was up before this leader knew of it
            return
        seen = self.seen.setdefault(kind.name, deque(maxlen=c.MAX_BOOTS_REMEMBERED))
        seen.append(seconds)
        if len(seen) >= c.MIN_BOOT_SAMPLES:
            self.slow_s[kind.name] = sorted(seen)[int(c.SLOW_BOOT_QUANTILE * (len(seen) - 1))]

    def expected_s(self, kind: MachineType) -> float:
        """Seconds after its renting for which a booting machine is expected to come up."""
        slow_s = self.slow_s.get(kind.name, 0.0)
        return max(c.BOOT_EXPECTED_FACTOR * kind.boot_s, c.SLOW_BOOT_FACTOR * slow_s) + c.BOOT_MARGIN_S

    def give_up_after_s(self, kind: MachineType) -> float:
        """Seconds after its renting from which on a booting machine is taken to have failed, and is returned."""
        slow_s = self.slow_s.get(kind.name, 0.0)
        return max(
            c.MIN_BOOT_TIMEOUT_S,
            kind.boot_s * c.BOOT_TIMEOUT_FACTOR,
            c.BOOT_TIMEOUT_FACTOR * slow_s / c.BOOT_EXPECTED_FACTOR,
        )
