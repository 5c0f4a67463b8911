"""How long a silent machine that may hold a task of a cancelled job is waited for. No I/O, no clock.

`cancel_s` after a user was told, nothing of the job may be on a machine. A machine that hangs proves nothing by the end
of its lease, for it ends that only once it goes on; its return by the cloud proves all. So it is returned while every
step that may fail once still fits before that bound ("Machines that hang" in `docs/safety.md`).
"""

from pepperlatch.constants import core as c
from pepperlatch.settings import Workers


def return_after_s(workers: Workers) -> float:
    """Seconds after a cancellation at which a silent machine that may hold a task of the job is asked to be returned.

    The leader may end at that very moment, and the answer to its successor's first request may be lost.
    """
    successor_s = c.LEADER_LEASE_MS / 1000 + c.ELECTION_S
    silence_s = c.SILENT_REPORTS * workers.report_s + 2 * c.PROBE_S  # asked directly, then through others
    lost_request_s = c.CLOUD_REQUEST_S + c.CLOUD_RETRY_S
    takes_s = successor_s + silence_s + lost_request_s + c.RETURN_CONFIRM_S + 2 * c.TICK_S
    return max(0.0, workers.cancel_s - takes_s)
