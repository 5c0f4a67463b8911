"""What a run measures: delays as histograms, and what the kernel says of processes."""

import os
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from pepperlatch.constants import scale as c

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


class Delays:
    """Delays in seconds; can be sent to another process and added up there."""

    def __init__(self, encoded: str = "") -> None:
        self._histogram = HdrHistogram.decode(encoded) if encoded else HdrHistogram(1, c.MAX_DELAY_US, 3)

    def add(self, seconds: float) -> None:
        self._histogram.record_value(min(c.MAX_DELAY_US, max(1, round(seconds * 1e6))))

    def add_all(self, other: "Delays") -> None:
        self._histogram.add(other._histogram)

    def encoded(self) -> str:
        packed: bytes = self._histogram.encode()
        return packed.decode("ascii")

    def count(self) -> int:
        return int(self._histogram.get_total_count())

    def at(self, percent: float) -> float:
        """The delay within which so many percent lie, in seconds; 0 if there are none."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1e6 if self.count() else 0.0

    def summary(self) -> dict[str, float]:
        return {
            "count": self.count(), "p50_s": self.at(50), "p95_s": self.at(95), "p99_s": self.at(99),
            "max_s": self.at(100),
        }  # fmt: skip


@dataclass
class HostStatistics:
    """Of one process of hollow workers since the last mark."""

    answers: Counter[str] = field(default_factory=Counter)  # by "controller status"
    traffic: Counter[str] = field(default_factory=Counter)  # requests and bytes by kind
    delays: Delays = field(default_factory=Delays)

    def plain(self) -> dict[str, Any]:
        return {"answers": dict(self.answers), "traffic": dict(self.traffic), "delays": self.delays.encoded()}

    def add_plain(self, plain: dict[str, Any]) -> None:
        """Add what another process has told."""
        self.answers.update(plain["answers"])
        self.traffic.update(plain["traffic"])
        self.delays.add_all(Delays(plain["delays"]))


@dataclass(slots=True)
class ProcessSample:
    """`cpu_s`: processor time since the process began. Zeros for a process that is gone."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0
    sockets: int = 0


def sample(pid: int) -> ProcessSample:
    folder = Path(f"/proc/{pid}")
    try:
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = int((folder / "statm").read_text().split()[1])
        sockets = sum(1 for link in (folder / "fd").iterdir() if _is_socket(link))
    except (OSError, IndexError):
        return ProcessSample()
    return ProcessSample((int(fields[11]) + int(fields[12])) / _TICKS, pages * _PAGE_MB, sockets)


def _is_socket(link: Path) -> bool:
    try:
        return os.readlink(link).startswith("socket:")
    except OSError:
        return False


def machine_cpu_s() -> float:
    """Processor time that all processes of this machine have used."""
    fields = [int(field) for field in Path("/proc/stat").read_text().splitlines()[0].split()[1:]]
    idle = fields[3] + fields[4]
    return (sum(fields[:8]) - idle) / _TICKS


def memory_available_mb() -> float:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) / 1024
    return 0.0
