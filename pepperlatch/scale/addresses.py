"""Where each part of a run listens: loopback addresses of its own on a pair of ports that the run has for itself."""

import socket
from dataclasses import dataclass

from pepperlatch.constants import scale as c


class NoPort(Exception):
    """Every port that a run may take is in use."""


@dataclass(frozen=True, slots=True)
class Addresses:
    """A machine is told by its loopback address, so that thousands of them share a port."""

    port: int

    def controller(self, index: int) -> str:
        return f"127.0.1.{index + 1}:{self.port}"

    def controller_peers(self, index: int) -> str:
        return f"127.0.1.{index + 1}:{self.port + 1}"

    def state(self) -> str:
        return f"127.0.2.1:{self.port}"

    def cloud(self) -> str:
        return f"127.0.2.2:{self.port}"

    def host(self, index: int) -> str:
        """The control interface of a process of hollow workers."""
        return f"127.0.3.{index + 1}:{self.port}"

    def users(self) -> str:
        return f"127.0.4.1:{self.port}"

    def worker(self, number: int) -> str:
        return f"127.20.{number // 250}.{number % 250 + 1}:{self.port}"


def controller_name(index: int) -> str:
    return f"node-{index}"


def machine_name(number: int) -> str:
    return f"n-{number:06d}"


def machine_number(name: str) -> int:
    return int(name.rpartition("-")[2])


def free_ports() -> Addresses:
    """Ports that nobody listens on now. Raises NoPort."""
    for port in range(c.FIRST_PORT, c.LAST_PORT, c.PORT_STEP):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.2.1", port))
            except OSError:
                continue
        return Addresses(port)
    raise NoPort(f"no free port from {c.FIRST_PORT} to {c.LAST_PORT}")
