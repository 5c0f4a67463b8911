"""What a run measures: delays as histograms, and what the kernel reports of processes in /proc."""

import os
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from pepperlatch.constants import scale as c

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


class Delays:
    """A histogram of delays in seconds, which can be sent to another process and merged there.

    Delays below 1 microsecond or above MAX_DELAY_US are counted as these bounds.
    """

    def __init__(self, encoded: str = "") -> None:
        self._histogram = HdrHistogram.decode(encoded) if encoded else HdrHistogram(1, c.MAX_DELAY_US, 3)

    def add(self, seconds: float) -> None:
        self._histogram.record_value(min(c.MAX_DELAY_US, max(1, round(seconds * 1e6))))

    def merge(self, other: "Delays") -> None:
        self._histogram.add(other._histogram)

    def encoded(self) -> str:
        """The histogram as text, for the constructor."""
        packed: bytes = self._histogram.encode()
        return packed.decode("ascii")

    def count(self) -> int:
        return int(self._histogram.get_total_count())

    def percentile_s(self, percent: float) -> float:
        """The delay in seconds that `percent` percent of all delays do not exceed; 0 if there are none."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1e6 if self.count() else 0.0

    def summary(self) -> dict[str, float]:
        return {
            "count": self.count(), "p50_s": self.percentile_s(50), "p95_s": self.percentile_s(95),
            "p99_s": self.percentile_s(99), "max_s": self.percentile_s(100),
        }  # fmt: skip


@dataclass
class WorkerHostStatistics:
    """What the workers of one worker host process counted since measuring began."""

    answers: Counter[str] = field(default_factory=Counter)  # by "CONTROLLER-INDEX STATUS"; status 0: no answer
    traffic: Counter[str] = field(default_factory=Counter)  # requests and bytes by kind
    delays: Delays = field(default_factory=Delays)

    def to_plain(self) -> dict[str, Any]:
        """The statistics in a form that can be sent as JSON."""
        return {"answers": dict(self.answers), "traffic": dict(self.traffic), "delays": self.delays.encoded()}

    def add_plain(self, plain: dict[str, Any]) -> None:
        """Add the statistics that a worker host process has sent (see `to_plain`)."""
        self.answers.update(plain["answers"])
        self.traffic.update(plain["traffic"])
        self.delays.merge(Delays(plain["delays"]))


@dataclass(slots=True)
class ProcessSample:
    """What a process uses. `cpu_s`: processor time since it started, in seconds. All zeros if the process is gone."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0
    sockets: int = 0


def sample_process(pid: int) -> ProcessSample:
    """What the process with this id uses now."""
    folder = Path(f"/proc/{pid}")
    try:
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = int((folder / "statm").read_text().split()[1])
        sockets = sum(1 for link in (folder / "fd").iterdir() if _is_socket(link))
    except (OSError, IndexError):
        return ProcessSample()
    return ProcessSample((int(fields[11]) + int(fields[12])) / _TICKS_PER_S, pages * _PAGE_MB, sockets)


def _is_socket(link: Path) -> bool:
    try:
        return os.readlink(link).startswith("socket:")
    except OSError:
        return False


def machine_cpu_s() -> float:
    """Processor time in seconds that this machine has used since it booted, on all cores together."""
    fields = [int(field) for field in Path("/proc/stat").read_text().splitlines()[0].split()[1:]]
    idle = fields[3] + fields[4]
    return (sum(fields[:8]) - idle) / _TICKS_PER_S


def memory_available_mb() -> float:
    """Memory in MB (1024 kB) that new processes may use without swapping; 0 if the kernel does not say."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) / 1024
    return 0.0
