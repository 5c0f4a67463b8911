"""The history of a run: events that machines and users write as they happen, for the observer to check afterwards.

Each process appends to a file of its own, one JSON object a line.
"""

import heapq
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec


class Event(msgspec.Struct, tag_field="event"):
    """`at`: seconds of the monotonic clock, which all processes of the machine share.

    Breaches show events by their `repr`, so the names of these classes and their fields are part of results.
    """

    at: float


class JobDescribed(Event, tag="described"):
    """A user is about to submit the job for the first time."""

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
    """The task's image has been fetched; from now on the task runs on the machine."""

    machine: str
    zone: str
    task: str
    attempt: int


class TaskStopped(Event, tag="stopped"):
    """The task does not run on the machine any more. `done`: it completed."""

    machine: str
    task: str
    attempt: int
    done: bool


class Answered(Event, tag="answered"):
    """A user's request (submit, cancel or poll) ended. `status`: 0 without an answer. `state`: the job's, if stated."""

    asked_at: float
    request: str
    job: str
    status: int
    state: str | None = None


class LeaseEnded(Event, tag="lease"):
    """A worker's lease expired with `tasks` tasks. `expected`: a trouble of the scenario explains it."""

    machine: str
    expected: bool
    tasks: int


class TroubleBegan(Event, tag="trouble"):
    """The runner is about to inject a trouble. `text`: its `repr`, so names of classes in `scenario` are part of it."""

    text: str


AnyEvent = JobDescribed | TaskStarted | TaskStopped | Answered | LeaseEnded | TroubleBegan
_decoder: "msgspec.json.Decoder[AnyEvent]" = msgspec.json.Decoder(AnyEvent)


class HistoryWriter:
    """Appends events to a file. Writes are buffered: what was not flushed or closed is lost with the process."""

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
    """The events in a file. Reading ends at the first line that is not an event, such as one cut off by a kill."""
    with path.open("rb") as file:
        for line in file:
            try:
                yield _decoder.decode(line)
            except msgspec.DecodeError:
                return


def merged(histories: Iterable[Iterable[AnyEvent]]) -> Iterator[AnyEvent]:
    """All events ordered by time. Each of `histories` must be in that order already."""
    return heapq.merge(*histories, key=lambda event: event.at)
