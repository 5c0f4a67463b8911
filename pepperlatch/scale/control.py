"""The control interface between the processes of a run, over HTTP on loopback: paths, messages and a client."""

from typing import Any, TypeVar

import msgspec
import trio

from pepperlatch.constants import scale as c
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.scale.machine import JobNeeds
from pepperlatch.scale.scenario import Scenario

(
    JOBS_PATH, BOOT_MACHINES_PATH, END_MACHINES_PATH, DISTURB_MACHINES_PATH, CUT_ZONE_PATH, START_MEASURING_PATH,
    STATISTICS_PATH, FLUSH_HISTORY_PATH, MACHINES_DIED_PATH,
) = (
    "/jobs", "/boot", "/end", "/disturb", "/cut", "/mark", "/statistics", "/flush", "/died",
)  # fmt: skip

Message = TypeVar("Message", bound=msgspec.Struct)


class ControlFailed(Exception):
    """A process of the run did not answer a control message with 200 in time; the message names address and path."""


class Plan(msgspec.Struct):
    """The file `plan.json`, which every simulated process reads when it starts.

    `port`: first port of the run; `folder`: where the processes write their histories and logs.
    """

    scenario: Scenario
    port: int
    folder: str


class JobDescriptions(msgspec.Struct):
    """What workers need to know of jobs, by job id. Users send it to all worker hosts before they submit a job."""

    needs: dict[str, JobNeeds]


class MachineNumbers(msgspec.Struct):
    """Numbers of machines that boot, are returned or have died."""

    numbers: list[int]


class MachineDisturbance(msgspec.Struct):
    """Machines that are to die, to restart, or to hang for `for_s` seconds."""

    action: str
    numbers: list[int]
    for_s: float = 0.0


class ZoneCut(msgspec.Struct):
    """The machines of a zone neither reach a controller nor are reached by one for `for_s` seconds."""

    zone: str
    for_s: float


def decode_message(body: bytes, message_type: type[Message]) -> Message:
    """The message in `body`. Raises msgspec.DecodeError if it is not a message of that type."""
    message: Message = msgspec.json.decode(body, type=message_type)
    return message


async def send(network: HttpNetwork, address: str, path: str, message: Any = None) -> Any:
    """Send a message; returns the answer. Raises ControlFailed without a 200 within CONTROL_TIMEOUT_S."""
    body = msgspec.to_builtins(message) if message is not None else {}
    try:
        status, answer = await network.request(address, "POST", path, body, c.CONTROL_TIMEOUT_S)
    except (NotSent, NoUsableResponse) as error:
        raise ControlFailed(f"{address}{path}: {error}") from None
    if status != 200:
        raise ControlFailed(f"{address}{path}: {status} {answer}")
    return answer


async def send_to_all(network: HttpNetwork, addresses: list[str], path: str, message: Any = None) -> list[Any]:
    """Send the same message to several processes at once; returns their answers in the order of the addresses.

    Raises ControlFailed if any of them failed, after all have been tried.
    """
    answers: list[Any] = [None] * len(addresses)
    failures: list[ControlFailed] = []

    async def one(index: int) -> None:
        try:
            answers[index] = await send(network, addresses[index], path, message)
        except ControlFailed as error:
            failures.append(error)

    async with trio.open_nursery() as nursery:
        for index in range(len(addresses)):
            nursery.start_soon(one, index)
    if failures:
        raise failures[0]
    return answers
