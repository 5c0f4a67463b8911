"""What the processes of a run tell each other, on loopback: messages, and a client for them."""

from typing import Any, TypeVar

import msgspec
import trio

from pepperlatch.constants import scale as c
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.scale.machine import JobNeeds
from pepperlatch.scale.scenario import Scenario

JOBS, BOOT, END, DISTURB, CUT, MARK, STATISTICS, FLUSH, DIED = (
    "/jobs", "/boot", "/end", "/disturb", "/cut", "/mark", "/statistics", "/flush", "/died",
)  # fmt: skip

Message = TypeVar("Message", bound=msgspec.Struct)


class ControlFailed(Exception):
    """A process of the run did not answer as it should."""


class Plan(msgspec.Struct):
    """What every process of a run is given, as a file."""

    scenario: Scenario
    port: int
    folder: str


class Jobs(msgspec.Struct):
    """Descriptions that users upload for the workers."""

    needs: dict[str, JobNeeds]


class Numbers(msgspec.Struct):
    """Machines, by their numbers."""

    numbers: list[int]


class Disturbance(msgspec.Struct):
    """Machines that die, restart or hang for `for_s` seconds."""

    action: str
    numbers: list[int]
    for_s: float = 0.0


class Cut(msgspec.Struct):
    """No machine of the zone reaches a controller, or is reached by one, for so long."""

    zone: str
    for_s: float


def decoded(body: bytes, kind: type[Message]) -> Message:
    """A message of that kind. Raises msgspec.DecodeError if it is none."""
    message: Message = msgspec.json.decode(body, type=kind)
    return message


async def tell(network: HttpNetwork, address: str, path: str, message: Any = None) -> Any:
    """Send a message; what was answered. Raises ControlFailed."""
    body = msgspec.to_builtins(message) if message is not None else {}
    try:
        status, answer = await network.request(address, "POST", path, body, c.CONTROL_TIMEOUT_S)
    except (NotSent, NoUsableResponse) as error:
        raise ControlFailed(f"{address}{path}: {error}") from None
    if status != 200:
        raise ControlFailed(f"{address}{path}: {status} {answer}")
    return answer


async def tell_all(network: HttpNetwork, addresses: list[str], path: str, message: Any = None) -> list[Any]:
    """The same to several at once; their answers in that order. Raises ControlFailed once all were told."""
    answers: list[Any] = [None] * len(addresses)
    failures: list[ControlFailed] = []

    async def one(index: int) -> None:
        try:
            answers[index] = await tell(network, addresses[index], path, message)
        except ControlFailed as error:
            failures.append(error)

    async with trio.open_nursery() as nursery:
        for index in range(len(addresses)):
            nursery.start_soon(one, index)
    if failures:
        raise failures[0]
    return answers
