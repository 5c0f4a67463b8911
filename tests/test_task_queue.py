"""The queue of waiting tasks: the same as a plain list, with work that does not grow with the tasks that wait."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.model import Machine, Status
from pepperlatch.policy.task_queue import TaskQueue
from pepperlatch.protocol import wire
from tests.fakes import CPU_PLATFORM, job, settings_of

TASKS, RUNNING = 100_000, 400


@given(
    start=st.lists(st.integers(0, 8), unique=True),
    operations=st.lists(st.tuples(st.sampled_from(["remove", "appendleft", "popleft", "clear"]), st.integers(0, 8))),
)
@settings(max_examples=300, deadline=None)
def test_the_queue_behaves_as_a_list(start: list[int], operations: list[tuple[str, int]]) -> None:
    queue, expected = TaskQueue(start), list(start)
    for name, task in operations:
        if name == "remove":
            queue.remove(task)
            expected = [other for other in expected if other != task]
        elif name == "appendleft":
            queue.appendleft(task)
            expected = expected if task in expected else [task, *expected]
        elif name == "clear":
            queue.clear()
            expected = []
        elif expected:
            assert queue.first() == expected[0]
            assert queue.popleft() == expected.pop(0)
        assert (list(queue), len(queue), bool(queue)) == (expected, len(expected), bool(expected))
        assert all((task in queue) == (task in expected) for task in range(10))


class CountingQueue(TaskQueue):
    """Counts how many tasks are walked over."""

    walked = 0

    def __iter__(self):  # type: ignore[no-untyped-def]
        for task in super().__iter__():
            self.walked += 1
            yield task


def test_adopting_and_finishing_tasks_does_not_walk_all_that_wait() -> None:
    """Guards against 5 ms of a leader's time for each task that ends while 100,000 wait: reports came too late."""
    cluster = Cluster("perch-0", 5, settings_of(0).params, 0.0, 8.0, lambda job_id: None)
    kind = wire.convert({**CPU_PLATFORM.machine, "cores": 64.0, "memory_gb": 256.0}, wire.MachineType)
    cluster.types = {kind.name: kind}
    array = cluster.add_job(wire.convert(job(1, pieces=TASKS, cores=0.1, memory_gb=0.1), wire.JobSpec), 1, 0.0, set())
    assert list(array.waiting) == list(range(TASKS))
    queue = CountingQueue(range(TASKS))
    array.waiting = queue
    cluster.machines["n-1"] = Machine("n-1", kind, "a", False, "10.1.0.1:1", Status.UP, 0.0)
    for seq, (state, cause) in enumerate([(wire.TaskState.RUNNING, None), (wire.TaskState.EXITED, wire.Cause.DONE)], 1):
        tasks = [wire.TaskReport(f"run-000001/{TASKS - 1 - n}", 1, state, cause) for n in range(RUNNING)]
        report = wire.Report("n-1", "10.1.0.1:1", kind.name, "a", False, 1, seq, 5, tasks)
        assert cluster.on_report(report, float(seq), heartbeat=True) is not None
    assert len(array.waiting) == TASKS - RUNNING and len(array.done) == RUNNING
    assert queue.walked == 0
