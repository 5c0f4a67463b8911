"""What hollow machines and users saw, written as it happens; the observer judges it afterwards."""

import heapq
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec


class Event(msgspec.Struct, tag_field="event"):
    """`at`: by the steady clock that all processes of the machine share, in seconds."""

    at: float


class JobDescribed(Event, tag="described"):
    """A user is about to submit a job for the first time."""

    job: str
    team: str
    job_class: str
    shape: str
    tasks: int
    cpus: float
    zone: str | None = None
    one_zone: bool = False
    spread: bool = False


class TaskStarted(Event, tag="started"):
    """The task has its image: it is on its machine from here on."""

    machine: str
    zone: str
    task: str
    attempt: int


class TaskStopped(Event, tag="stopped"):
    """The task has left its machine, `done` if it completed."""

    machine: str
    task: str
    attempt: int
    done: bool


class Answered(Event, tag="answered"):
    """A user's request has an answer. `status` 0: none came. `state`: what it said of the job."""

    asked_at: float
    request: str
    job: str
    status: int
    state: str | None = None


class LeaseEnded(Event, tag="lease"):
    """A worker's lease ended. `expected`: by a trouble that the scenario has caused."""

    machine: str
    expected: bool
    tasks: int


class TroubleBegan(Event, tag="trouble"):
    text: str


AnyEvent = JobDescribed | TaskStarted | TaskStopped | Answered | LeaseEnded | TroubleBegan
_decoder: "msgspec.json.Decoder[AnyEvent]" = msgspec.json.Decoder(AnyEvent)


class HistoryWriter:
    """Appends events to a file of its process; buffered, so close it."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab", buffering=1 << 16)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: AnyEvent) -> None:
        self._file.write(self._encoder.encode(event) + b"\n")

    def flush(self) -> None:
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def read(path: Path) -> Iterator[AnyEvent]:
    """A line that was cut off by the end of its process is left out."""
    with path.open("rb") as file:
        for line in file:
            try:
                yield _decoder.decode(line)
            except msgspec.DecodeError:
                return


def merged(histories: Iterable[Iterable[AnyEvent]]) -> Iterator[AnyEvent]:
    """All events in the order of their times; each history is in order already."""
    return heapq.merge(*histories, key=lambda event: event.at)
