"""The data that a leader shows to viewers: rows of jobs with a revision number, machines, teams and costs.

The terminal console and the report are both built from this data. Each answer is read from the leader's state without
yielding to other tasks, so it is consistent. A job's row is rebuilt only after an event of that job; no rows are kept
while there is no viewer.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from pepperlatch.console import rows
from pepperlatch.console.recorder import Recorder
from pepperlatch.console.rows import JobRow, Query, to_builtins
from pepperlatch.constants import console as c
from pepperlatch.controller.store import JobEntry, Replica
from pepperlatch.controller.users import JobProgress, recorded_reason
from pepperlatch.policy.model import Job, Machine, Status
from pepperlatch.policy.reasons import PLACING, Reason, Why
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import JobState

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

_RUNNING, _QUEUED = JobState.RUNNING.value, JobState.QUEUED.value


class ChangesExpired(Exception):
    """The changes since the requested revision are no longer known: the client must take a new snapshot."""


class ViewModel:
    """The job rows of one term of leadership.

    `revision` grows with each refresh that changed a visible row; `_change_log` holds the revision of each change.
    """

    def __init__(self, leader: "Leader", recorder: Recorder) -> None:
        self.leader = leader
        self.recorder = recorder
        self.revision = 0
        self.oldest_revision = 0  # changes up to and including this revision are no longer known
        self.rows: dict[str, JobRow] = {}
        self._changed: dict[str, int] = {}  # revision of each row's last change, also of removed rows
        self._change_log: list[tuple[int, str]] = []  # ascending; entries of rows that changed again are stale
        self._published_at: dict[str, float] = {}  # steady clock, s
        self._ended_at: dict[str, float] = {}  # finished jobs, oldest first; steady clock, s
        self._totals: tuple[int, dict[str, Any]] = (-1, {})  # revision and the totals computed at it
        self._deferred_count = 0  # changed rows that wait because only their text differs (see refresh)
        self._reason_texts: dict[int, tuple[Reason, str]] = {}  # by id() of the reason
        self._last_result: tuple[int, Query, list[JobRow]] | None = None  # revision, query and rows, for the next page

    # --- building rows ----------------------------------------------------------------------------

    def refresh(self, max_rows: int = c.ROWS_PER_BATCH) -> None:
        """Rebuild the rows of at most `max_rows` changed jobs; the first time, all unfinished jobs count as changed.

        A row of which only the text has changed is shown again at most every MIN_TEXT_REFRESH_S.
        `pending` is the number of jobs left for later calls.
        """
        now, wall_offset = self.leader.clock(), self.leader.wall() - self.leader.clock()
        dirty = self.recorder.dirty
        if dirty is None:
            dirty = set(self.leader.replica.prerequisites.unfinished())
            self.recorder.dirty = dirty
        revision, deferred = self.revision + 1, set()
        for job_id in [dirty.pop() for _ in range(min(max_rows, len(dirty)))]:
            previous = self.rows.get(job_id)
            row = self._build_row(job_id, previous, wall_offset)
            if row is None:
                continue
            if previous is None or _visibly_differs(previous, row):
                self._publish_row(row, revision, now)
            elif previous.text != row.text:
                if now - self._published_at[job_id] >= c.MIN_TEXT_REFRESH_S:
                    self._publish_row(row, revision, now)
                else:
                    deferred.add(job_id)
        dirty |= deferred
        self._deferred_count = len(deferred)
        self._drop_ended(revision, now)
        if self._change_log and self._change_log[-1][0] == revision:
            self.revision = revision
        if len(self._change_log) > 2 * len(self.rows) + c.MAX_PAGE_ROWS:
            self._compact()

    def pending(self) -> int:
        """Number of changed jobs whose rows are not rebuilt yet; those with nothing but a new text do not count."""
        return max(0, len(self.recorder.dirty or ()) - self._deferred_count)

    def discard_rows(self) -> None:
        """Drop all rows while there is no viewer. A viewer that returns has to take a new snapshot."""
        self.oldest_revision = self.revision = self.revision + 1
        self.recorder.dirty = None
        self._last_result = None
        for container in (self.rows, self._changed, self._change_log, self._published_at, self._ended_at):
            container.clear()

    def _publish_row(self, row: JobRow, revision: int, now: float) -> None:
        self.rows[row.id] = row
        self._changed[row.id] = revision
        self._published_at[row.id] = now
        self._change_log.append((revision, row.id))
        if row.state in rows.FINAL_STATES:
            self._ended_at.setdefault(row.id, now)

    def _drop_ended(self, revision: int, now: float) -> None:
        while self._ended_at:
            job_id, ended_at = next(iter(self._ended_at.items()))
            if now - ended_at < c.MAX_ENDED_JOB_AGE_S and len(self._ended_at) <= c.MAX_ENDED_JOBS:
                return
            del self._ended_at[job_id], self.rows[job_id], self._published_at[job_id]
            self._changed[job_id] = revision
            self._change_log.append((revision, job_id))

    def _compact(self) -> None:
        """Drop stale entries of the change log, and all but the last MAX_PAGE_ROWS entries of removed rows."""
        current = [(revision, job_id) for revision, job_id in self._change_log if self._changed.get(job_id) == revision]
        removed = [entry for entry in current if entry[1] not in self.rows]
        for revision, job_id in removed[: -c.MAX_PAGE_ROWS]:
            self.oldest_revision = max(self.oldest_revision, revision)
            del self._changed[job_id]
        self._change_log = [entry for entry in current if entry[1] in self._changed]

    def _build_row(self, job_id: str, previous: JobRow | None, wall_offset: float) -> JobRow | None:
        """The job's current row, or None if there is nothing to show.

        `wall_offset`: seconds to add to the steady clock to get the time of day.
        """
        job = self.leader.cluster.jobs.get(job_id)
        entry = self.leader.replica.jobs.get(job_id)
        if entry is None:
            return None
        if job is not None and not job.over:
            return _row_from_job(job, self._reason_text(job.reason), entry.record.at, wall_offset, previous)
        if previous is None and entry.state in wire.FINAL_JOB_STATES:
            return None
        return row_from_record(job_id, entry, self.leader.replica, wall_offset + self.leader.clock(), previous)

    def _reason_text(self, reason: Reason) -> str:
        """The reason's text, cached because many jobs share one reason object."""
        known = self._reason_texts.get(id(reason))
        if known is None or known[0] is not reason:
            if len(self._reason_texts) >= c.MAX_PAGE_ROWS:
                self._reason_texts.clear()
            known = self._reason_texts[id(reason)] = (reason, reason.text())
        return known[1]

    # --- answers ----------------------------------------------------------------------------------

    def page(self, query: Query) -> dict[str, Any]:
        """One page of rows; `next` is the cursor of the following page.

        Following pages come from the same result unless another query is answered in between. In either case a client
        gets a consistent copy by applying the changes since the first page's revision.
        """
        wanted = msgspec.structs.replace(query, after="")
        cached = self._last_result
        if cached is None or cached[1] != wanted or (not query.after and cached[0] != self.revision):
            cached = self._last_result = (self.revision, wanted, rows.select(self.rows.values(), query))
        found, after = rows.page(cached[2], query)
        return {
            "jobs": to_builtins(found), "next": after, "shown": len(cached[2]), "pending": self.pending(),
            "revision": cached[0],
        }  # fmt: skip

    def changes(self, query: Query, since: int) -> dict[str, Any]:
        """Rows that changed after revision `since`, oldest change first, up to about `query.most` bytes.

        `upto` in the answer is the `since` of the next request. Raises ChangesExpired if `since` is too old or unknown.
        """
        if since < self.oldest_revision or since > self.revision:
            raise ChangesExpired
        found: list[JobRow] = []
        gone: list[str] = []
        size, upto = 0, since
        for revision, job_id in self._change_log[bisect_right(self._change_log, (since, "\uffff")) :]:
            if self._changed.get(job_id) != revision:
                continue
            if size >= query.most and revision > upto:  # never split a revision
                return {"jobs": to_builtins(found), "gone": gone, "upto": upto, "more": True}
            row = self.rows.get(job_id)
            if row is not None and query.matches(row):
                found.append(row)
                size += 200 + len(row.text)
            else:
                gone.append(job_id)
                size += len(job_id) + 3
            upto = revision
        return {"jobs": to_builtins(found), "gone": gone, "upto": self.revision, "more": False}

    def totals(self) -> dict[str, Any]:
        """Job counts by state and by reason, cached for the current revision."""
        if self._totals[0] != self.revision:
            self._totals = (self.revision, rows.totals(self.rows.values()))
        return self._totals[1]

    def queue_position(self, job_id: str) -> dict[str, Any] | None:
        """Position of a job without a placement in the order of the last planning round, and the jobs before it.

        None if the job was not in that round.
        """
        demands = self.leader.planner.demands
        position = next((n for n, demand in enumerate(demands) if demand.job.spec.id == job_id), None)
        if position is None:
            return None
        before = demands[:position]
        return {
            "place": position + 1,
            "of": len(demands),
            "before": [
                {"id": n.job.spec.id, "team": n.job.spec.team, "priority": n.job.spec.priority.value, "tasks": n.count}
                for n in before[: c.MAX_JOBS_AHEAD_SHOWN]
            ],
            "before_by_team": dict(Counter(n.job.spec.team for n in before)),
            "within_guarantee": job_id in self.leader.planner.within_guarantee,
        }

    def overview(self) -> dict[str, Any]:
        """Everything but the job rows: totals, teams, machines, drains, refused offers, costs, recoveries, history."""
        leader = self.leader
        cluster, planner = leader.cluster, leader.planner
        now = leader.clock()
        self.recorder.costs.charge(cluster.machines.values(), now)
        return {
            **self.totals(),
            "waits_for_others": leader.replica.waiting_for_others(),
            "teams": [self._team(team.name) for team in leader.settings.params.teams],
            "machines": machine_totals(cluster.machines.values(), cluster.unverified),
            "rebuilding": len(cluster.unverified),
            "drains": {"begun": planner.drains_begun, "cancelled": planner.drains_cancelled},
            "dark_zones": sorted(planner.unreachable_zones),
            "refused_offers": [
                {"type": o.type, "zone": o.zone, "spot": o.spot, "until_s": round(until - now, 1)}
                for o, until in sorted(planner.blocked_until.items(), key=lambda item: item[1]) if until > now
            ],
            "money": self.recorder.costs.summary(now),
            "recoveries": self.recorder.recoveries.summary(),
            "history": {
                "lines": len(self.recorder.history), "bytes": self.recorder.history.size(),
                "dropped": self.recorder.history.dropped,
            },
        }  # fmt: skip

    def _team(self, name: str) -> dict[str, Any]:
        quota = self.leader.cluster.quota
        unseen = quota.unverified.get(name)
        return {**quota.shown(name), "cpus_unseen": unseen.cpus if unseen else 0.0}

    def machines(self) -> list[dict[str, Any]]:
        """Every machine with its state and the reason for that state."""
        cluster, now = self.leader.cluster, self.leader.clock()
        return [
            {
                "name": m.name, "type": m.type.name, "zone": m.zone, "spot": m.spot, "state": state, "why": why,
                "tasks": len(m.attempts), "used_share": round(m.used_share(), 3),
                "silent_s": round(now - m.last_report_at, 1) if m.last_report_at >= 0 else None,
                "images": len(m.images),
            }
            for m in cluster.machines.values() for state, why in [machine_state(m, m.name in cluster.unverified)]
        ]  # fmt: skip


def _visibly_differs(one: JobRow, other: JobRow) -> bool:
    """Whether a field changed that viewers are shown at once.

    A text with new numbers alone may wait for MIN_TEXT_REFRESH_S.
    """
    return (
        one.why != other.why or one.since != other.since or one.state != other.state or one.waiting != other.waiting
        or one.running != other.running or one.done != other.done
    )  # fmt: skip


def _row_from_job(job: Job, text: str, accepted: float, wall_offset: float, previous: JobRow | None) -> JobRow:
    """The row of a job that the leader works on.

    `wall_offset`: seconds to add to the steady clock to get the time of day. The time of day drifts against the steady
    clock, so `since` keeps its previous value while the reason is unchanged and the difference is below
    SPAN_START_TOLERANCE_S.
    """
    spec, reason = job.spec, job.reason
    running = job.running() if job.live else 0
    why, since = reason.kind._value_, _floor_tenths(wall_offset + job.reason_since)
    if previous is not None and previous.why == why and abs(previous.since - since) < c.SPAN_START_TOLERANCE_S:
        since = previous.since
    return JobRow(
        spec.id, spec.team, spec.job_class, spec.kind._value_, spec.priority._value_,
        _RUNNING if running else _QUEUED, spec.tasks, why, text, _floor_tenths(accepted), since, len(job.done), running,
        len(job.waiting), _floor_tenths(wall_offset + reason.until) if reason.until is not None else None,
        _floor_tenths(wall_offset + job.due_at) if job.due_at is not None else None,
    )  # fmt: skip


def _floor_tenths(seconds: float) -> float:
    return int(seconds * 10) / 10


def row_from_record(
    job_id: str,
    entry: JobEntry,
    replica: Replica,
    wall: float,
    previous: JobRow | None = None,
    progress: JobProgress | None = None,
) -> JobRow | None:
    """A job's row made from its record: for jobs that wait for others or are finished, and on a follower for all jobs.

    `wall`: time of day, s. `previous`: the job's row so far; a finished job without one gets no row. `progress`: what
    the leader last reported to a follower about the job.
    """
    spec, reason = entry.record.spec, recorded_reason(replica, job_id)
    if entry.state in wire.FINAL_JOB_STATES:
        if previous is None:
            return None
        text = reason.text() if reason is not None else entry.state.value
        done = previous.tasks if entry.state is JobState.DONE else previous.done
        why = reason.kind.value if reason is not None else previous.why
        since = previous.since if rows.is_final(previous) else round(wall, 1)
        return msgspec.structs.replace(
            previous, state=entry.state.value, why=why, text=text, done=done, running=0, waiting=0, since=since,
            until=None,
        )  # fmt: skip
    if spec is None:
        return None
    running, done, since = 0, 0, entry.record.at
    if reason is None:
        reason = PLACING
        if progress is not None:
            reason, running, done, since = progress.reason, progress.running, progress.done, wall - progress.waited_s
    state = JobState.RUNNING if running else JobState.QUEUED
    return JobRow(
        job_id, spec.team, spec.job_class, spec.kind.value, spec.priority.value, state.value, spec.tasks,
        reason.kind.value, reason.text(), round(entry.record.at, 1), round(since, 1), done, running,
        0 if reason.kind in (Why.RUNNING, Why.STARTING, Why.FETCHING) else spec.tasks - done - running,
        due=round(entry.record.at + spec.deadline_s, 1) if spec.deadline_s else None,
    )  # fmt: skip


def machine_state(machine: Machine, unverified: bool) -> tuple[str, str]:
    """The machine's state in one word, and its reason (may be empty). `unverified`: no report since the takeover."""
    if machine.status is Status.LEAVING:
        return "leaving", machine.release_reason
    if machine.status is not Status.UP:
        return machine.status.value, ""
    if unverified:
        return "unaccounted", "not heard of since the takeover"
    if machine.quarantined:
        return "quarantined", "two different tasks failed there in a row"
    if machine.reclaim_at is not None:
        return "noticed", "the cloud takes it back"
    if machine.draining is not None:
        return "draining", machine.draining
    if machine.probes or machine.isolated_probes:
        return "silent", "does not answer; others are asked"
    return ("busy" if machine.attempts else "idle"), ""


def machine_totals(machines: Iterable[Machine], unverified: set[str]) -> list[dict[str, Any]]:
    """Machine counts by type, zone, spot or not, and state. `unverified`: names, see `machine_state`."""
    counts = Counter(
        (m.type.name, m.zone, m.spot, machine_state(m, m.name in unverified)[0]) for m in machines
    )  # fmt: skip
    return [
        {"type": name, "zone": zone, "spot": spot, "state": state, "count": count}
        for (name, zone, spot, state), count in sorted(counts.items())
    ]
