"""The processes of a run: starts, samples, kills and stops them. Only processes that the run started are signalled."""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from pepperlatch.constants import scale as c
from pepperlatch.scale.measures import ProcessSample, sample_process

PROJECT_ROOT = Path(__file__).resolve().parent.parent.parent


@dataclass
class Process:
    """A controller or simulated process of a run. It may be killed and started again; its figures cover all starts."""

    name: str
    command: list[str]
    log: Path
    popen: "subprocess.Popen[bytes] | None" = None
    start_count: int = 0  # since the beginning of the run
    memory_mb: float = 0.0  # highest sample since measuring began
    sockets: int = 0  # highest sample since measuring began
    _finished_cpu_s: float = 0.0  # processor time of earlier starts, as of their last sample
    _latest_sample: ProcessSample = field(default_factory=ProcessSample)
    _cpu_s_before_measuring: float = 0.0  # processor time used before measuring began

    def start(self) -> None:
        """Start the program in a session of its own; its output is appended to the log file."""
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=PROJECT_ROOT,
                start_new_session=True, env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )  # fmt: skip
        self.start_count += 1

    def update_usage(self) -> None:
        """Sample the processor time, memory and sockets; does nothing if the process is not running."""
        if self.popen is None or self.popen.poll() is not None:
            return
        self._latest_sample = sample_process(self.popen.pid)
        self.memory_mb = max(self.memory_mb, self._latest_sample.memory_mb)
        self.sockets = max(self.sockets, self._latest_sample.sockets)

    def start_measuring(self) -> None:
        """Discard what was measured so far; the figures count from now on."""
        self.memory_mb, self.sockets = 0.0, 0
        self.update_usage()
        self._cpu_s_before_measuring = self._finished_cpu_s + self._latest_sample.cpu_s

    def cpu_s(self) -> float:
        """Processor time in seconds since measuring began, as of the last sample."""
        return self._finished_cpu_s + self._latest_sample.cpu_s - self._cpu_s_before_measuring

    def is_running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it; its processor time is kept."""
        if self.popen is None:
            return
        self.update_usage()
        if self.is_running():
            self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()
        self._finished_cpu_s += self._latest_sample.cpu_s
        self._latest_sample = ProcessSample()
        self.popen = None


def stop_all(processes: list[Process]) -> None:
    """Send SIGTERM to all, then SIGKILL to those still running after STOP_TIMEOUT_S in total."""
    for process in processes:
        if process.popen is not None and process.is_running():
            process.popen.terminate()
    deadline = time.monotonic() + c.STOP_TIMEOUT_S
    for process in processes:
        if process.popen is None:
            continue
        try:
            process.popen.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.popen.kill()
            process.popen.wait()


def simulated_process(name: str, role: str, folder: Path, index: int = 0) -> Process:
    """A process of the tool itself; `role` and `index` are arguments of `process_entry`."""
    command = [sys.executable, "-m", "pepperlatch.scale.process_entry", role, str(folder / "plan.json"), str(index)]
    return Process(name, command, folder / f"{name}.log")


def controller_process(name: str, program: Path, folder: Path) -> Process:
    """A controller. `program`: the `run.py` that also starts it in production, of this source tree or another."""
    return Process(
        name, [sys.executable, str(program), "--config", str(folder / f"{name}.toml")], folder / f"{name}.log"
    )
