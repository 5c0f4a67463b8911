"""Where the parts of a run listen: each has its own loopback address, and the run has a pair of ports for itself."""

import socket
from dataclasses import dataclass

from pepperlatch.constants import scale as c


class NoPort(Exception):
    """All ports from FIRST_PORT to LAST_PORT are in use."""


@dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses (host:port) of a run. Machines differ by loopback address, so that thousands share one port."""

    port: int

    def controller(self, index: int) -> str:
        """Where a controller serves users and workers."""
        return f"127.0.1.{index + 1}:{self.port}"

    def controller_peers(self, index: int) -> str:
        """Where a controller serves other controllers and operators."""
        return f"127.0.1.{index + 1}:{self.port + 1}"

    def state(self) -> str:
        return f"127.0.2.1:{self.port}"

    def cloud(self) -> str:
        return f"127.0.2.2:{self.port}"

    def host(self, index: int) -> str:
        """The control interface of a worker host process."""
        return f"127.0.3.{index + 1}:{self.port}"

    def users(self) -> str:
        """The control interface of the process of simulated users."""
        return f"127.0.4.1:{self.port}"

    def worker(self, number: int) -> str:
        """Where the worker on a machine listens for commands."""
        return f"127.20.{number // 250}.{number % 250 + 1}:{self.port}"


def controller_name(index: int) -> str:
    return f"node-{index}"


def machine_name(number: int) -> str:
    return f"n-{number:06d}"


def machine_number(name: str) -> int:
    return int(name.rpartition("-")[2])


def find_free_ports() -> Addresses:
    """The first pair of ports whose first one is free now. Raises NoPort.

    Nothing reserves the ports until the processes of the run listen on them, so two runs that start together choose the
    same ports. One or both of them then fail.
    """
    for port in range(c.FIRST_PORT, c.LAST_PORT, c.PORT_STEP):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.2.1", port))
            except OSError:
                continue
        return Addresses(port)
    raise NoPort(f"no free port from {c.FIRST_PORT} to {c.LAST_PORT}")
