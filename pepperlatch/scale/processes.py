"""The processes of a run: started, looked at, killed and, whatever happens, ended by their ids."""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from pepperlatch.constants import scale as c
from pepperlatch.scale.measures import ProcessSample, sample

PROJECT_ROOT = Path(__file__).resolve().parent.parent.parent


@dataclass
class Process:
    """One part of a run; it may have several lives. `cpu_s`: of all lives since the last mark."""

    name: str
    command: list[str]
    log: Path
    running: "subprocess.Popen[bytes] | None" = None
    lives: int = 0
    memory_mb: float = 0.0  # the most seen
    sockets: int = 0  # the most seen
    _ended_cpu_s: float = 0.0
    _latest: ProcessSample = field(default_factory=ProcessSample)
    _marked_cpu_s: float = 0.0

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.running = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=PROJECT_ROOT,
                start_new_session=True, env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )  # fmt: skip
        self.lives += 1

    def look(self) -> None:
        if self.running is None or self.running.poll() is not None:
            return
        self._latest = sample(self.running.pid)
        self.memory_mb = max(self.memory_mb, self._latest.memory_mb)
        self.sockets = max(self.sockets, self._latest.sockets)

    def mark(self) -> None:
        """Measuring begins."""
        self.memory_mb, self.sockets = 0.0, 0
        self.look()
        self._marked_cpu_s = self._ended_cpu_s + self._latest.cpu_s

    def cpu_s(self) -> float:
        return self._ended_cpu_s + self._latest.cpu_s - self._marked_cpu_s

    def alive(self) -> bool:
        return self.running is not None and self.running.poll() is None

    def kill(self) -> None:
        """`kill -9`; what it has used is kept."""
        if self.running is None:
            return
        self.look()
        if self.alive():
            self.running.send_signal(signal.SIGKILL)
        self.running.wait()
        self._ended_cpu_s += self._latest.cpu_s
        self._latest = ProcessSample()
        self.running = None


def end_all(processes: list[Process]) -> None:
    """Ask all to end, and kill what has not after a while."""
    for process in processes:
        if process.running is not None and process.alive():
            process.running.terminate()
    until = time.monotonic() + c.STOP_TIMEOUT_S
    for process in processes:
        if process.running is None:
            continue
        try:
            process.running.wait(max(0.0, until - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.running.kill()
            process.running.wait()


def hollow(name: str, role: str, folder: Path, index: int = 0) -> Process:
    """A process of the tool's own."""
    command = [sys.executable, "-m", "pepperlatch.scale.process", role, str(folder / "plan.json"), str(index)]
    return Process(name, command, folder / f"{name}.log")


def controller(name: str, program: Path, folder: Path) -> Process:
    """A controller, by the program that a platform starts."""
    return Process(
        name, [sys.executable, str(program), "--config", str(folder / f"{name}.toml")], folder / f"{name}.log"
    )
