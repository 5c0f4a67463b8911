"""The leader's planner: orders jobs, places tasks, preempts, chooses machines to rent, drain and return.

It does no I/O and reads no clock: each method is given `now`, in seconds of the leader's steady clock. Decisions are
made on the `Cluster`, which tells the leader what to send and record; machines to rent or return are results.
"""

import heapq
import logging
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.policy import draining, fleet, gangs, overdue_jobs, placement, quota, reasons, shortage, supply
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.draining import lost_work
from pepperlatch.policy.fleet import Bin, Demand, Offer
from pepperlatch.policy.model import (
    EPS,
    Attempt,
    Job,
    Machine,
    Phase,
    Status,
    allowed_on,
    fits_type,
    task_size,
    times_into,
)
from pepperlatch.policy.operator_settings import OperatorSettings
from pepperlatch.policy.pace import PLACEMENT_WORK
from pepperlatch.policy.placement import Candidates
from pepperlatch.policy.quota import Usage
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.policy.supply import ReplicaReserve
from pepperlatch.policy.zones import ZoneObservation, ZoneTracker
from pepperlatch.protocol.wire import PRIORITY_RANK, JobSpec, Kind, Priority

log = logging.getLogger(__name__)
PREEMPTED_FOR = "stopped for "  # stated cause of a preemption; the id of the preempting job follows
# Jobs of this or a stronger rank may preempt beyond their team's guarantee.
PREEMPTING_RANK = PRIORITY_RANK[Priority.HIGH]


@dataclass(slots=True)
class Planner:
    """The planning state of one leader's term.

    A pass over all waiting jobs takes one round or several: a round ends when it has done `work_limit`, and the next
    one goes on with the jobs that are not in `handled`. In each round the leader calls `stop_before_reclaim`,
    `place_all`, `preempt`, and then `offers_to_rent` or, while its leadership is not proven, `explain_renting_held`.
    The health check calls `observe_zone`, `machines_to_return` and `start_drain`.
    """

    cluster: Cluster
    settings: OperatorSettings
    blocked_until: dict[Offer, float] = field(default_factory=dict)  # when a refused offer may be requested again
    refusal_pause_s: dict[Offer, float] = field(default_factory=dict)  # pause after an offer's last refusal
    requested: Counter[Offer] = field(default_factory=Counter)  # machines in rent requests without an answer yet
    zones: ZoneTracker = field(default_factory=ZoneTracker)
    unreachable_zones: set[str] = field(default_factory=set)  # nothing is rented in these zones
    last_drain_at: float = 0.0  # when a drain was last considered
    drains_begun: int = 0
    drains_cancelled: int = 0  # rounds in which an underused machine could not be drained
    last_drain_cancelled: tuple[str, str] = ("", "")  # the machine of the last such round, and the reason
    replan_after: float = 0.0  # from then on waiting jobs are planned again even if nothing has changed
    demands: list[Demand] = field(default_factory=list)  # tasks that found no room, in placement order
    reserve: ReplicaReserve = field(default_factory=ReplicaReserve)
    within_guarantee: set[str] = field(default_factory=set)  # jobs within their team's guarantee
    work_limit: float = math.inf  # work that a round may do before it leaves the rest to the next; see `pace`
    work_done: float = 0.0  # work that the present round has done
    unfinished: bool = False  # the last round reached its work limit before all waiting jobs: its pass goes on
    handled: set[str] = field(default_factory=set)  # jobs dealt with by earlier rounds of an unfinished pass
    changed: bool = False  # something has changed since an unfinished pass began
    team_limits: dict[str, Reason] = field(default_factory=dict)  # teams that were at their limit in this round
    overdue_first: list[Job] = field(default_factory=list)  # overdue jobs that go first, at most one of each team
    reserved: dict[str, Usage] = field(default_factory=dict)  # of each team's limit, for overdue gangs, in this round

    # --- placing ----------------------------------------------------------------------------------

    def report_max_age_s(self) -> float:
        """How old the last report of a machine may be, in seconds, for it to get new tasks."""
        return c.FRESH_REPORTS * self.cluster.params.workers.report_s

    def usable_machines(self, now: float) -> list[Machine]:
        """Machines that accept tasks now, without those that have not been verified since the takeover."""
        unverified = self.cluster.unverified
        return [
            m for m in self.cluster.machines.values()
            if m.name not in unverified and placement.accepts_tasks(m, now, self.report_max_age_s())
        ]  # fmt: skip

    def placement_order(self, now: float) -> list[Job]:
        """Waiting jobs: those within a guarantee first, then by priority, then by their next objective that can be met.

        A guarantee counts only against other teams. A team's own jobs of one priority that have not run yet are sorted
        among the positions that they hold together, those that are not late first. A job that has run keeps its
        position; otherwise preempted work could take the room back. Overdue jobs go before all others, one of each
        team.
        """
        objectives = self.cluster.params.objectives
        jobs = [j for j in self.cluster.jobs.values() if not j.over]
        inside = self.within_guarantee = quota.within_guarantee(jobs, self.cluster.quota.teams)
        waiting = [j for j in jobs if j.waiting]
        due = {j.spec.id: (supply.next_deadline(j, objectives, j.spec.id in inside, now), j.version) for j in waiting}
        order = sorted(waiting, key=lambda j: (*self._placement_key(j), *due[j.spec.id]))
        groups: dict[tuple[str, int], list[int]] = {}
        for position, job in enumerate(order):
            if not job.ran:
                groups.setdefault((job.spec.team, job.rank), []).append(position)
        for positions in groups.values():
            resorted = sorted((order[position] for position in positions), key=lambda j: due[j.spec.id])
            for position, job in zip(positions, resorted, strict=True):
                order[position] = job
        self.overdue_first = overdue_jobs.first_overdue_by_team(order, now)
        return (
            self.overdue_first + [job for job in order if job not in self.overdue_first]
            if self.overdue_first
            else order
        )

    def place_all(self, now: float) -> None:
        """Place waiting tasks until the round has done `work_limit`; `demands` then holds the tasks without room."""
        cluster = self.cluster
        cluster.count_unverified_usage()
        rebuilding = cluster.rebuilding()
        machines = self.usable_machines(now)
        cheapest = self._cheapest_price(self.reserve.spec) if self.reserve.spec else float("inf")
        replica_machines = [m for m in machines if not placement.would_pin(m, cheapest)]
        self.reserve.recount(
            replica_machines,
            [j.spec for j in cluster.jobs.values() if not j.over],
            self.settings["spare_jobs"],
            self._start_target_s,
        )
        self.team_limits = {}
        self.reserved = {}
        self.work_done = 0.0
        rebuilding_reason = Reason(Why.REBUILDING, machines=len(cluster.unverified), among=len(cluster.machines))
        order = self.placement_order(now)
        all_usable, machines = machines, placement.with_room_for_smallest(machines, (j.spec for j in order))
        before, self.demands = self.demands, []
        self.changed = self.unfinished and (self.changed or cluster.dirty)
        jobs = [job for job in order if job.spec.id not in self.handled]
        for job in self.overdue_first:
            if job.spec.id in self.handled:
                machines = self._reserve_for_overdue(job, machines, all_usable, now)
        dealt_with = 0
        for job in jobs:
            if rebuilding and job.from_earlier_term:
                cluster.explain(job, rebuilding_reason, now)
            elif now < job.not_before:
                cluster.explain(job, self._pause_reason(job), now)
            elif job.spec.kind is Kind.GANG:
                self._place_gang(job, machines, now)
                if job in self.overdue_first:
                    machines = self._reserve_for_overdue(job, machines, all_usable, now)
            elif not self._place_tasks(job, machines, now):
                break
            dealt_with += 1
            if self.work_done >= self.work_limit:
                break
        self._end_round(order, jobs[:dealt_with], dealt_with == len(jobs), before)

    def _end_round(self, order: list[Job], dealt_with: list[Job], pass_complete: bool, before: list[Demand]) -> None:
        """Merge the round's demands into those of its pass, which `pass_complete` ends.

        A job that this round did not deal with keeps the demand that it had `before`, as far as its tasks still wait.
        """
        if self.handled or not pass_complete:
            now_known = {demand.job.spec.id: demand for demand in self.demands}
            renewed = {job.spec.id for job in dealt_with}
            earlier = {demand.job.spec.id: demand for demand in before if demand.job.spec.id not in renewed}
            demands = (now_known.get(job.spec.id) or _remaining_demand(earlier.get(job.spec.id)) for job in order)
            self.demands = [demand for demand in demands if demand is not None]
        self.handled = set() if pass_complete else self.handled | {job.spec.id for job in dealt_with}
        self.cluster.dirty = pass_complete and self.changed
        self.unfinished = not pass_complete

    def _reserve_for_overdue(
        self, job: Job, machines: list[Machine], all_usable: list[Machine], now: float
    ) -> list[Machine]:
        """The machines that jobs placed after an overdue gang may use; `all_usable`: before anything was reserved.

        The gang's size is reserved from its team's limit. Once the gang fits into that limit, the machines that are
        expected to hold it first are reserved too, but in one round only those of the first such gang.
        """
        if not job.waiting or not overdue_jobs.reserves_room(job, now):
            return machines
        fits = self._tasks_allowed(job.spec) >= job.spec.tasks
        self.reserved.setdefault(job.spec.team, Usage()).add(job.spec, job.spec.tasks)
        first = next(other for other in self.overdue_first if overdue_jobs.reserves_room(other, now))
        if not fits or job is not first:
            return machines
        self.work_done += len(all_usable)
        reserved = overdue_jobs.reserved_machines(job, all_usable, self.cluster.params.zones)
        return [machine for machine in machines if machine not in reserved]

    def _tasks_allowed(self, spec: JobSpec) -> int:
        """How many more tasks of the job its team's limit allows, without what is reserved for overdue gangs."""
        return self.cluster.quota.room(spec, self.reserved.get(spec.team))

    def _pause_reason(self, job: Job) -> Reason:
        """Why the job pauses: it failed on several machines, or a worker had no room for it after all."""
        if job.pause_s > 0:
            return Reason(Why.BACKOFF, machines=len(job.failed_on), until=job.not_before)
        return Reason(Why.REFUSED, until=job.not_before)

    def _place_tasks(self, job: Job, machines: list[Machine], now: float) -> bool:
        """Place the job's tasks; False if the round reached its work limit while the job still found room."""
        cluster = self.cluster
        room = self._tasks_allowed(job.spec)
        if room > 0:
            candidates = self._candidates(job, machines, now)
            while job.waiting and room > 0:
                machine = self._drain_target(job, candidates, machines) or candidates.best()
                if machine is None:
                    break
                cluster.place(job, job.waiting.popleft(), machine, now)
                candidates.placed_on(machine)
                self.reserve.update_machine(machine)
                self.work_done += PLACEMENT_WORK
                room -= 1
                if job.waiting and room > 0 and self.work_done >= self.work_limit:
                    return False
        if job.waiting:
            self._record_demand(job, min(room, len(job.waiting)), now)
        else:
            cluster.explain(job, reasons.STARTING, now)
        return True

    def _candidates(self, job: Job, machines: list[Machine], now: float) -> Candidates:
        """The machines for the job's tasks, best first.

        For its first `REPLICA_PRICE_WAIT_S` seconds a new service avoids expensive machines that its replicas alone
        would keep in use, if a cheap one can be rented.
        """
        spec, zones = job.spec, self.cluster.params.zones
        self.work_done += len(machines)
        if spec.one_zone and not job.live:
            best = placement.choose_zone(job, machines, zones)
            zones = [best] if best else []
        if (
            spec.kind is Kind.SERVICE
            and not job.ran
            and now - job.since < c.REPLICA_PRICE_WAIT_S
            and self._cheap_machine_available(spec, now)
        ):
            cheapest = self._cheapest_price(spec)
            machines = [m for m in machines if not placement.would_pin(m, cheapest)]
        return Candidates(job, machines, zones, self._room_filter(job, now), self._start_target_s(spec))

    def _room_filter(self, job: Job, now: float) -> Callable[[Machine], bool]:
        """A test of whether the job may use a machine: its room may be kept for replicas, or be too expensive for now.

        A job that runs nothing and has waited for `MAX_RESERVATION_WAIT_S` seconds may start one task, or a whole gang,
        anywhere.
        """
        spec, exempt, cheap_only = job.spec, self._exempt_from_reserve(job), self._waits_for_cheap_room(job, now)
        waited_long = not job.live and now - job.idle_since > c.MAX_RESERVATION_WAIT_S

        def free(machine: Machine) -> bool:
            if waited_long and (spec.kind is Kind.GANG or not job.live):
                return True
            if cheap_only and not (machine.spot or machine.exempt_from_draining()):
                return False
            return exempt or self.reserve.allows(spec, machine)

        return free

    def _exempt_from_reserve(self, job: Job) -> bool:
        """Whether the job may use room kept for replicas: guaranteed work that may not run on spot machines.

        While services grow, the reserve is always short, and such work would never find room.
        """
        return not job.spec.spot and job.spec.id in self.within_guarantee

    def _start_target_s(self, spec: JobSpec) -> float:
        return supply.start_target_s(spec, self.cluster.params.objectives)

    def _waits_for_cheap_room(self, job: Job, now: float) -> bool:
        """Whether the job's tasks wait for spot machines or for ordinary ones that replicas keep anyway.

        Tasks of arrays beyond a guarantee do if they have much time left, so that the other ordinary machines become
        empty.
        """
        spec = job.spec
        if (
            spec.kind is not Kind.ARRAY
            or not spec.spot
            or spec.id in self.within_guarantee
            or self._tasks_per_slot(job, now) <= 1
        ):
            return False
        waited = now - job.since
        return waited < c.CHEAP_ROOM_WAIT_SHARE * (waited + supply.slack_s(job, self.cluster.params.objectives, now))

    def _cheapest_price(self, spec: JobSpec) -> float:
        """The lowest price of an ordinary machine that the task fits."""
        return min((t.price for t in self.cluster.types.values() if fits_type(spec, t)), default=0.0)

    def _cheap_machine_available(self, spec: JobSpec, now: float) -> bool:
        """Whether a machine that a single replica may keep can be rented: no refusal blocks its offer."""
        most = self._cheapest_price(spec) * c.MAX_REPLICA_PRICE_FACTOR
        return any(
            self.blocked_until.get(Offer(t.name, zone, False), 0.0) <= now
            for t in self.cluster.types.values() if t.price <= most and fits_type(spec, t)
            for zone in t.zones if allowed_on(spec, t.name, zone, False)
        )  # fmt: skip

    def _drain_target(self, job: Job, candidates: Candidates, machines: list[Machine]) -> Machine | None:
        """The machine to which a drain moves the job's next task, if it still fits there."""
        target = job.drain_targets.pop(job.waiting.first(), None)
        return target if target is not None and target in machines and candidates.fits(target) else None

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """Place all tasks of the gang under one attempt number, or none."""
        cluster, spec = self.cluster, job.spec
        if job.live:
            cluster.explain(job, Reason(Why.EARLIER_ATTEMPT_STOPPING, tasks=len(job.live)), now)
            return
        if self._tasks_allowed(spec) < spec.tasks:
            cluster.explain(job, self._team_limit(spec), now)
            return
        candidates = self._candidates(job, machines, now)
        number = cluster.new_number()
        placed: list[Attempt] = []
        while job.waiting and (machine := candidates.best()) is not None:
            placed.append(cluster.place(job, job.waiting.popleft(), machine, now, number))
            self.work_done += PLACEMENT_WORK
            candidates.placed_on(machine)
            self.reserve.update_machine(machine)
        if job.waiting:
            for attempt in placed:
                cluster.undo(attempt)
                self.reserve.update_machine(attempt.machine)
            self._record_demand(job, spec.tasks, now, placement.free_together(job, machines))
        else:
            cluster.explain(job, reasons.STARTING, now)

    def _team_limit(self, spec: JobSpec) -> Reason:
        """The reason for a job at its team's limit, with the numbers of when the limit first applied in this round."""
        reason = self.team_limits.get(spec.team)
        if reason is None:
            reason = self.team_limits[spec.team] = self.cluster.quota.at_limit(spec)
        return reason

    def _record_demand(self, job: Job, count: int, now: float, free: tuple[str, int] | None = None) -> None:
        """Record that `count` tasks found no room; with 0 the job is at its team's limit.

        `offers_to_rent` states the final reason in the same round, unless it is too soon to call it again.
        `free` is set for gangs: the zone where most tasks have room at once, and how many.
        """
        if count <= 0:
            self.cluster.explain(job, self._team_limit(job.spec), now)
            return
        if job.reason.kind not in reasons.SUPPLY:
            self.cluster.explain(job, Reason(Why.NO_ROOM, tasks=count, each=reasons.task_size_text(job.spec)), now)
        self.demands.append(
            Demand(job, count, dict(Counter(a.machine.zone for a in job.live.values())), free_together=free)
        )

    # --- preempting -------------------------------------------------------------------------------

    def preempt(self, now: float) -> None:
        """Make room for jobs that may preempt, by stopping the tasks that lose least work.

        At most `MAX_PREEMPTIONS_PER_ROUND` tasks are stopped in a round. Jobs with unplaced tasks may preempt within
        their team's guarantee, or if their priority is high or stronger.
        """
        left = c.MAX_PREEMPTIONS_PER_ROUND
        inside = self.within_guarantee
        machines = self.usable_machines(now) if self.demands else []
        running = (j for j in self.cluster.jobs.values() if j.live and j.spec.kind is Kind.ARRAY)
        last = max(map(self._placement_key, running), default=(False, 0))
        under_way: bool | None = None  # determined only if some task may be stopped
        for demand in self.demands:
            job = demand.job
            if left <= 0:
                return
            if (job.rank > PREEMPTING_RANK and job.spec.id not in inside) or now < job.preempt_after:
                continue
            if self._placement_key(job) >= last:  # no running array would be placed after this job
                continue
            if under_way is None and (under_way := self._preemption_under_way()):
                return
            job.preempt_after = now + c.PREEMPT_PAUSE_S
            for victims in self._choose_victims(demand, machines, left, now):
                for victim in victims:
                    self.cluster.stop(victim, victim.job.spec.save_s, PREEMPTED_FOR + job.spec.id)
                left -= len(victims)

    def _choose_victims(self, demand: Demand, machines: list[Machine], left: int, now: float) -> list[list[Attempt]]:
        """The attempts to stop: a list for each of at most `left` machines, or one of at most `left` for a gang."""
        job = demand.job
        if job.spec.kind is not Kind.GANG:
            return self._cheapest_victims(job, machines, min(demand.count, left), now)
        allowed = [
            m
            for m in self._allowed_machines(job, machines)
            if self._exempt_from_reserve(job) or self.reserve.allows(job.spec, m)
        ]
        victims = gangs.victims_for_gang(job, allowed, lambda m: self._preemptable(job, m), now)
        return [victims] if len(victims) <= left else []

    def _preemption_under_way(self) -> bool:
        """Whether a preempted task is not gone yet; the room of cancelled and drained ones is meant for no job."""
        return any(
            a.stop_reason.startswith(PREEMPTED_FOR) for m in self.cluster.machines.values() for a in m.attempts.values()
        )

    def _placement_key(self, job: Job) -> tuple[bool, int]:
        """Sort key of placement; jobs with the same key are placed by their next deadline, then by age."""
        return (job.spec.id not in self.within_guarantee, job.rank)

    def _may_preempt(self, victim: Attempt, job: Job, inside: set[str]) -> bool:
        """Whether the job may stop the victim; a victim placed earlier would take the room back, again and again."""
        other, guaranteed = victim.job.spec, job.spec.id in inside
        if not victim.wanted or victim.phase is not Phase.CONFIRMED or other.kind is not Kind.ARRAY:
            return False
        if self._placement_key(victim.job) <= self._placement_key(job):
            return False
        if victim.job.rank > job.rank:
            return True
        return guaranteed and other.team != job.spec.team and self.cluster.quota.over_guarantee(other.team)

    def _cheapest_victims(self, job: Job, machines: list[Machine], count: int, now: float) -> list[list[Attempt]]:
        """The attempts to stop for `count` of the job's tasks: those that lose least work, one slot on each machine."""
        found = []
        for n, machine in enumerate(self._allowed_machines(job, machines)):
            victims = self._victims_on(job, machine, now)
            if victims:
                found.append((sum(lost_work(a, now) for a in victims), n, victims))
        return [victims for _, _, victims in heapq.nsmallest(count, found)]

    def _allowed_machines(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Machines where the job's tasks may run and whose room is not kept for replicas."""
        zones = set(placement.allowed_zones(job, self.cluster.params.zones))
        return [
            m for m in machines
            if m.zone in zones and allowed_on(job.spec, m.type.name, m.zone, m.spot)
            and not (self.reserve.is_short() and self.reserve.covers(job.spec, m))
        ]  # fmt: skip

    def _preemptable(self, job: Job, machine: Machine) -> list[Attempt]:
        return [a for a in machine.attempts.values() if self._may_preempt(a, job, self.within_guarantee)]

    def _victims_on(self, job: Job, machine: Machine, now: float) -> list[Attempt]:
        """The attempts on the machine to stop for one task, least lost work first; empty if no slot can be made."""
        candidates = self._preemptable(job, machine)
        free, needed = machine.free_size(), task_size(job.spec)
        victims: list[Attempt] = []
        for victim in sorted(candidates, key=lambda a: lost_work(a, now)):
            if free.holds(needed):
                return victims
            victims.append(victim)
            free = free.plus(task_size(victim.job.spec))
        return victims if free.holds(needed) else []

    # --- renting ----------------------------------------------------------------------------------

    def booting_bins(self, now: float) -> list[Bin]:
        """The empty room of machines that are booting or requested."""
        bins = [
            fleet.empty_bin(Offer(m.type.name, m.zone, m.spot), m.type)
            for m in self.cluster.machines.values()
            if self._expected_up(m, now)
        ]
        for offer, count in self.requested.items():
            bins += [fleet.empty_bin(offer, self.cluster.types[offer.type]) for _ in range(count)]
        return bins

    def _expected_up(self, machine: Machine, now: float) -> bool:
        """Whether the machine is not up yet and can be counted on to come up soon."""
        if machine.status is Status.JOINING:
            return True
        return (
            machine.zone not in self.unreachable_zones
            and machine.status is Status.BOOTING
            and not machine.unexpected
            and now - machine.created_at < self.cluster.boot_times.expected_s(machine.type)
        )

    def offers_to_rent(self, now: float) -> list[Offer]:
        """Machines to request from the cloud, one offer for each, at most `MAX_MACHINES_PER_HIRE`.

        Demands are first assigned to booting machines and to the slots of tasks that finish in time. The reason why its
        tasks wait is stated for each job. The leader calls this only while its leadership is proven.
        """
        demands = [
            Demand(
                d.job,
                d.count,
                dict(d.tasks_per_zone),
                self._waits_for_cheap_room(d.job, now),
                self._tasks_per_slot(d.job, now),
            )
            for d in self.demands
        ]
        wanted = len(demands)
        bins = self.booting_bins(now)
        least = fleet.smallest_task(demands)
        fleet.fill_all(bins, demands, least)
        after_boot = [demand.count for demand in demands]
        self._assign_finishing_slots(demands, now)
        after_finish = [demand.count for demand in demands]
        demands += self._reserve_demand(now)
        blocked = {offer for offer, until in self.blocked_until.items() if until > now} | set(self.requested)
        blocked |= {
            Offer(t.name, zone, spot)
            for t in self.cluster.types.values()
            for zone in self.unreachable_zones
            for spot in (False, True)
        }
        chosen = fleet.choose_offers(demands, list(self.cluster.types.values()), blocked, c.MAX_MACHINES_PER_HIRE)
        explainer = shortage.ShortageExplainer(
            self.cluster.types,
            self.blocked_until,
            set(self.requested),
            self.unreachable_zones,
            bins,
            self._first_boot_at(now),
            now,
        )
        for demand, booted, finished, left in zip(
            self.demands, after_boot, after_finish, demands[:wanted], strict=True
        ):
            reason = explainer.reason(left, demand.count, booted, finished)
            if demand.free_together is not None:
                zone, free = demand.free_together
                reason = msgspec.structs.replace(reason, free=free, zone=zone, gang=demand.job.spec.tasks)
            self.cluster.explain(demand.job, reason, now)
        return chosen

    def explain_renting_held(self, now: float) -> None:
        """Called instead of `offers_to_rent` while nothing may be rented: states that as the reason of all demands."""
        for demand in self.demands:
            spec = demand.job.spec
            self.cluster.explain(
                demand.job, Reason(Why.NO_RENTING, tasks=demand.count, each=reasons.task_size_text(spec)), now
            )

    def _first_boot_at(self, now: float) -> float | None:
        """When, about, the first of the booting machines will be up; None if none boots."""
        booting = [
            m for m in self.cluster.machines.values() if m.status is Status.BOOTING and self._expected_up(m, now)
        ]
        return min((max(now, m.created_at + m.type.boot_s) for m in booting), default=None)

    def _reserve_demand(self, now: float) -> list[Demand]:
        """Replica slots missing from the reserve, neither free nor booting; only on types that a replica may keep."""
        if self.reserve.spec is None or self.cluster.rebuilding():
            return []
        cheapest = self._cheapest_price(self.reserve.spec)
        type_names = [t.name for t in self.cluster.types.values() if t.price <= c.MAX_REPLICA_PRICE_FACTOR * cheapest]
        booting = sum(
            room.slots(self.reserve.spec)
            for room in self.booting_bins(now)
            if not room.offer.spot and room.offer.type in type_names
        )
        short = self.reserve.wanted_slots - self.reserve.free_slots() - booting
        spec = msgspec.structs.replace(self.reserve.spec, types=type_names)
        return [Demand(Job(spec, 0, now, False), short)] if short > 0 else []

    def _assign_finishing_slots(self, demands: list[Demand], now: float) -> None:
        """Reduce the demands by the slots that running tasks will free soon enough.

        Thousands of tasks run, so they are examined only if an array waits, and kept only if they finish in time.
        """
        waiting = [
            (d, self._max_slot_wait_s(d.job, now)) for d in demands if d.job.spec.kind is Kind.ARRAY and d.count > 0
        ]
        if not waiting:
            return
        longest = max(max_wait_s for _, max_wait_s in waiting)
        slots = [
            supply.FinishingSlot(a.machine, a.job.spec, free_in_s)
            for m in self.usable_machines(now) for a in m.attempts.values()
            if a.job.spec.kind is Kind.ARRAY and a.wanted and (free_in_s := supply.remaining_s(a, now)) <= longest
        ]  # fmt: skip
        slots.sort(key=supply.BY_FREE_TIME)
        for demand, max_wait_s in waiting:
            supply.assign_finishing_slots(demand, slots, max_wait_s)

    def _max_slot_wait_s(self, job: Job, now: float) -> float:
        """How long, in seconds, the job's tasks may wait for slots: at least as long as a new machine would take."""
        boot_s = min((kind.boot_s for kind in self.cluster.types.values()), default=0.0)
        return max(boot_s, supply.slack_s(job, self.cluster.params.objectives, now) - boot_s)

    def _tasks_per_slot(self, job: Job, now: float) -> int:
        """How many tasks of the job one slot can run one after the other before the job is late."""
        if job.spec.kind is not Kind.ARRAY or job.spec.estimate_s <= 0:
            return 1
        boot_s = max((kind.boot_s for kind in self.cluster.types.values()), default=0.0)
        left_s = self._max_slot_wait_s(job, now) - boot_s
        return 1 + times_into(left_s, job.spec.estimate_s * c.ESTIMATE_SAFETY_FACTOR)

    def observe_zone(self, name: str, observation: ZoneObservation, now: float) -> None:
        """Apply an observation of a zone; nothing is rented where a machine would cost money and could not report."""
        changed = self.zones.observe(name, observation, now)
        self.unreachable_zones = self.zones.unreachable(now)
        if changed is not None:
            said = f"zone {name} is {changed.value}: {observation.silent} of {observation.up} machines are silent"
            log.info("%s", said)
            self.cluster.listener.noted("dark", said, now)

    def offer_refused(self, offer: Offer, now: float) -> None:
        """Block an offer that the cloud has no capacity for; the pause doubles with each refusal, up to a limit."""
        pause = min(c.MAX_NO_CAPACITY_PAUSE_S, max(c.NO_CAPACITY_PAUSE_S, self.refusal_pause_s.get(offer, 0.0) * 2))
        self.refusal_pause_s[offer] = pause
        self.blocked_until[offer] = now + pause

    def offer_granted(self, offer: Offer) -> None:
        """Unblock an offer: the cloud has capacity, or will have it because a machine of this offer is returned."""
        self.refusal_pause_s.pop(offer, None)
        self.blocked_until.pop(offer, None)

    # --- returning --------------------------------------------------------------------------------

    def machines_to_return(self, now: float) -> list[Machine]:
        """Idle machines that no demand and no reserve needs any more, and those without tasks that get no new ones.

        The caller returns them to the cloud. Machines with the fewest images that are slow to fetch are judged first.
        """
        idle = [m for m in self.cluster.machines.values() if not m.attempts and self._may_return(m, now)]
        returned = []
        for machine in sorted(idle, key=self.reserve.slow_image_count):
            unusable = _takes_no_tasks(machine)
            if not unusable and self.reserve.needs_machine(machine):
                continue
            if unusable or machine.draining is not None or not self._is_needed(machine, now):
                self.reserve.remove_machine(machine)
                returned.append(machine)
        return returned

    def _may_return(self, machine: Machine, now: float) -> bool:
        """Whether the machine by itself may be returned.

        It is up and has been idle for long, drains or gets no new tasks, and its zone's machines are not kept.
        """
        if machine.status is not Status.UP or machine.idle_since is None:
            return False
        if not (_takes_no_tasks(machine) or machine.draining is not None or self._idle_long(machine, now)):
            return False
        return not self.zones.keeps_machines(machine.zone, now)

    def _idle_long(self, machine: Machine, now: float) -> bool:
        """Whether it has been idle for `idle_s` seconds and its minimum charge is used up.

        A spot machine is kept longer by as much as it is cheaper: for the same money it may save a boot.
        """
        since = machine.idle_since if machine.idle_since is not None else now
        idle_s = self.settings["idle_s"] * machine.type.price / max(machine.price(), EPS)
        return now - since >= idle_s and now - machine.created_at >= c.MIN_CHARGE_S - c.RETURN_LEAD_S

    # --- draining ---------------------------------------------------------------------------------

    def start_drain(self, now: float) -> None:
        """Begin to drain at most one underused machine every `drain_every_s` seconds; its tasks stop and move."""
        if now - self.last_drain_at < self.settings["drain_every_s"]:
            return
        self.last_drain_at = now
        machines = self.usable_machines(now)
        settings = self.settings
        choice = draining.choose_drain(
            machines,
            settings["drain_threshold"],
            settings["drain_age_s"],
            settings["drain_lost_s"],
            now,
            lambda m: self._is_needed(m, now),
        )
        if choice is None:
            self._report_drain_cancelled(machines, now)
            return
        self.drains_begun += 1
        choice.machine.draining = "underused"
        self.cluster.to_record.add(choice.machine)
        self.cluster.listener.machine(choice.machine, "draining", f"{len(choice.moves)} tasks move", now)
        for attempt, target in choice.moves:
            attempt.job.drain_targets[attempt.task] = target
            self.cluster.stop(attempt, attempt.job.spec.save_s, "its machine is drained")

    def _report_drain_cancelled(self, machines: list[Machine], now: float) -> None:
        """Count the round, and report why the least used machine is not drained, unless that was reported last."""
        settings = self.settings
        low = draining.underused(machines, settings["drain_threshold"])
        self.drains_cancelled += bool(low)
        if not low:
            return
        why = draining.reason_not_drained(
            low[0], machines, settings["drain_age_s"], settings["drain_lost_s"], now, lambda m: self._is_needed(m, now)
        )
        if (low[0].name, why) != self.last_drain_cancelled:
            self.last_drain_cancelled = (low[0].name, why)
            self.cluster.listener.machine(low[0], "drain cancelled", why, now)

    def _is_needed(self, machine: Machine, now: float) -> bool:
        """Whether a waiting task would be placed there; tasks that wait for cheap room go to spot machines only."""
        return any(
            machine.has_room(d.job.spec) and allowed_on(d.job.spec, machine.type.name, machine.zone, machine.spot)
            and (machine.spot or not self._waits_for_cheap_room(d.job, now))
            for d in self.demands
        )  # fmt: skip

    def stop_before_reclaim(self, now: float) -> None:
        """Stop the tasks of spot machines that the cloud is about to take back, except those that finish in time."""
        for machine in self.cluster.machines.values():
            if machine.reclaim_at is None:
                continue
            for attempt in list(machine.attempts.values()):
                if attempt.wanted and not self._finishes_by(attempt, machine.reclaim_at, now):
                    self.cluster.stop(attempt, attempt.job.spec.save_s, "the cloud takes its machine")

    def _finishes_by(self, attempt: Attempt, at: float, now: float) -> bool:
        """Whether the task will end by the time `at`, as its estimate says; False without an estimate."""
        if attempt.job.spec.estimate_s <= 0:
            return False
        began = attempt.running_at if attempt.running_at is not None else now
        return began + attempt.job.spec.estimate_s <= at


def _remaining_demand(demand: Demand | None) -> Demand | None:
    """The rest of a demand of an earlier round; tasks may have been placed or have ended since."""
    if demand is None or demand.job.over or not demand.job.waiting:
        return None
    return replace(demand, count=min(demand.count, len(demand.job.waiting)))


def _takes_no_tasks(machine: Machine) -> bool:
    """Whether the machine gets no new tasks, whatever waits: it is quarantined, or the cloud takes it back."""
    return machine.quarantined or machine.reclaim_at is not None
