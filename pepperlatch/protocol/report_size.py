"""How many bytes tasks take in the report of their worker, which the protocol limits to 64 KiB as a request.

A larger report is refused by every controller: the worker's lease ends, and with it all tasks on its machine. So
a machine gets only as many tasks as its report can hold, in whatever state they are and however the worker spaces
its JSON.
"""

import json

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import Cause, JobSpec, TaskReport, TaskState

MAX_TASK_BYTES = c.MAX_BODY_BYTES - c.REPORT_HEADER_BYTES  # bytes that all tasks in a report may take
_ROW_END = ", "  # between two tasks


def _fixed_bytes() -> int:
    """Bytes of a task in a report without the lengths of its values."""
    row = TaskReport("", 0, TaskState.EXITED, Cause.ALONE, saved=False)
    values = f"0{TaskState.EXITED.value}{Cause.ALONE.value}"
    return len(json.dumps(wire.to_plain(row))) + len(_ROW_END) - len(values)


_FIXED_BYTES = _fixed_bytes()
TASK_BYTES_BESIDE_ID = (  # the most bytes of one task without the id of its job
    _FIXED_BYTES
    + len("/")
    + c.TASK_NUMBER_CHARS
    + c.INTEGER_CHARS  # of the attempt
    + max(len(state.value) for state in TaskState)
    + max(len(cause.value) for cause in Cause)
)


def task_bytes(spec: JobSpec) -> int:
    """The most bytes that one task of the job takes in a report, in any state. Ids are ASCII."""
    return TASK_BYTES_BESIDE_ID + len(spec.id)


def reported_bytes(task: TaskReport) -> int:
    """The most bytes that a task which was reported takes in later reports while its state stays the same."""
    cause_chars = len(task.end_cause.value) if task.end_cause is not None else 0
    return _FIXED_BYTES + len(task.task) + len(str(task.attempt)) + len(task.state.value) + cause_chars
