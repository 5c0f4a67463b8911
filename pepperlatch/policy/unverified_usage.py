"""What tasks that nobody has seen may use after a takeover, by team, so that no team's limit is exceeded with them."""

from collections.abc import Iterable, Sequence

from pepperlatch.policy.cancelled_tasks import UnverifiedCancellation
from pepperlatch.policy.model import Job, Machine
from pepperlatch.policy.quota import Usage


def unseen_usage(
    jobs: Iterable[Job], cancelled: Iterable[UnverifiedCancellation], machines: Sequence[Machine | None]
) -> dict[str, Usage]:
    """Usage by team of the unreported tasks of jobs from earlier terms, also of cancelled jobs.

    `machines` are those that may run them, None for one of unknown type. They count up to what these machines hold: a
    worker refuses tasks that it has no room for.
    """
    usage: dict[str, Usage] = {}
    for job in jobs:
        if job.from_earlier_term and not job.over:
            unseen = job.spec.tasks - len(job.done) - len(job.live)
            usage.setdefault(job.spec.team, Usage()).add(job.spec, unseen)
    for gone in cancelled:
        usage.setdefault(gone.spec.team, Usage()).add(gone.spec, gone.unseen)
    _limit_to_capacity(usage, machines)
    return usage


def _limit_to_capacity(usage: dict[str, Usage], machines: Sequence[Machine | None]) -> None:
    """Limit each team's usage to the machines' capacity, if that is known."""
    known = [machine for machine in machines if machine is not None]
    if len(known) < len(machines):
        return
    cpus, gpus = sum(m.type.cpus for m in known), sum(m.type.gpus for m in known)
    for use in usage.values():
        use.cpus, use.gpus = min(use.cpus, cpus), min(use.gpus, gpus)
