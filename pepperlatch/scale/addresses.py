"""Where the parts of a run listen: each has its own loopback address, and the run has a pair of ports for itself."""

import socket
from dataclasses import dataclass, field

from pepperlatch.constants import scale as c

STATE_HOST = "127.0.2.1"
RESERVATION_HOST = "127.0.5.1"  # only for reservations: no part of a run listens there


class NoPort(Exception):
    """All ports from FIRST_PORT to LAST_PORT are in use or reserved."""


@dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses (host:port) of a run. Machines differ by loopback address, so that thousands share one port.

    `reservation`: a socket that reserves the ports for the run; None in the processes that are only told the port.
    """

    port: int
    reservation: socket.socket | None = field(default=None, repr=False, compare=False)

    def controller(self, index: int) -> str:
        """Where a controller serves users and workers."""
        return f"127.0.1.{index + 1}:{self.port}"

    def controller_peers(self, index: int) -> str:
        """Where a controller serves other controllers and operators."""
        return f"127.0.1.{index + 1}:{self.port + 1}"

    def state(self) -> str:
        return f"{STATE_HOST}:{self.port}"

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
    """The first pair of ports whose first one is free and that no other run has reserved. Raises NoPort.

    The pair is reserved for as long as the result exists: no process of the run listens yet, so another run that starts
    now would find the same ports free.
    """
    for port in range(c.FIRST_PORT, c.LAST_PORT, c.PORT_STEP):
        reservation = _reserve(port)
        if reservation is None:
            continue
        if _is_free(port):
            return Addresses(port, reservation)
        reservation.close()
    raise NoPort(f"no free port from {c.FIRST_PORT} to {c.LAST_PORT}")


def _reserve(port: int) -> socket.socket | None:
    """A socket that reserves the port for this run until it is closed; None if another run has reserved it."""
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_HOST, port))
        reservation.listen()
    except OSError:
        reservation.close()
        return None
    return reservation


def _is_free(port: int) -> bool:
    """Whether no process listens on the port as a run does."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((STATE_HOST, port))
        except OSError:
            return False
    return True
