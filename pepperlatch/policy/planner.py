"""One round of planning: order the jobs, place, preempt, rent, drain, return. No I/O, no clock."""

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
from pepperlatch.policy.model import EPS, Attempt, Job, Machine, Phase, Status, allowed_on, fits_type
from pepperlatch.policy.operator_settings import OperatorSettings
from pepperlatch.policy.pace import PLACEMENT_WORK
from pepperlatch.policy.placement import Candidates
from pepperlatch.policy.quota import Use
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.policy.supply import ReplicaReserve
from pepperlatch.policy.zones import ZoneObservation, ZoneTracker
from pepperlatch.protocol.wire import RANK, JobSpec, Kind, Priority

log = logging.getLogger(__name__)
PREEMPTED_FOR = "stopped for "  # and a job: why a task had to leave
PREEMPTING_RANK = RANK[Priority.HIGH]  # and stronger: may preempt also beyond a guarantee


@dataclass(slots=True)
class Planner:
    cluster: Cluster
    settings: OperatorSettings
    blocked_until: dict[Offer, float] = field(default_factory=dict)  # refused offers, until when
    refusal_pause_s: dict[Offer, float] = field(default_factory=dict)
    requested: Counter[Offer] = field(default_factory=Counter)  # machines of hires on their way
    zones: ZoneTracker = field(default_factory=ZoneTracker)
    unreachable_zones: set[str] = field(default_factory=set)  # zones where nothing is rented
    last_drain_at: float = 0.0
    drains_begun: int = 0
    drains_cancelled: int = 0  # rounds in which an underused machine could not be drained
    last_drain_cancelled: tuple[str, str] = ("", "")  # the last of these, and why
    replan_after: float = 0.0  # when it is looked again at what waits though nothing has changed
    demands: list[Demand] = field(default_factory=list)
    reserve: ReplicaReserve = field(default_factory=ReplicaReserve)
    within_guarantee: set[str] = field(default_factory=set)  # jobs within their team's guarantee
    work_limit: float = math.inf  # how much a round may do before the rest is left to the next, see `pace`
    work_done: float = 0.0  # how much this one has done
    unfinished: bool = False  # the last round did enough before it came to all that waits: its pass goes on
    handled: set[str] = field(default_factory=set)  # jobs that earlier rounds of an unfinished pass have dealt with
    changed: bool = False  # something has changed since an unfinished pass began
    team_limits: dict[str, Reason] = field(default_factory=dict)  # teams that were at their limit in this round
    overdue_first: list[Job] = field(
        default_factory=list
    )  # jobs whose turn it is whatever the order, one a team at the most
    reserved: dict[str, Use] = field(
        default_factory=dict
    )  # of teams' limits, for gangs that waited long, in this round

    # --- placing ----------------------------------------------------------------------------------

    def report_max_age_s(self) -> float:
        return c.FRESH_REPORTS * self.cluster.params.workers.report_s

    def usable_machines(self, now: float) -> list[Machine]:
        unaccounted = self.cluster.unaccounted
        return [
            m for m in self.cluster.machines.values()
            if m.name not in unaccounted and placement.accepts_tasks(m, now, self.report_max_age_s())
        ]  # fmt: skip

    def placement_order(self, now: float) -> list[Job]:
        """Within a guarantee first, then by priority, then what can still meet its next aim soonest.

        A guarantee holds against other teams. Among a team's own jobs of one priority that have not run yet,
        what is not late goes first, on the places in the order that are the team's. What has run keeps its
        place, or work stopped for others could take the room back.
        """
        aims = self.cluster.params.objectives
        jobs = [j for j in self.cluster.jobs.values() if not j.over]
        inside = self.within_guarantee = quota.within_guarantee(jobs, self.cluster.quota.teams)
        waiting = [j for j in jobs if j.waiting]
        due = {j.spec.id: (supply.next_deadline(j, aims, j.spec.id in inside, now), j.version) for j in waiting}
        order = sorted(waiting, key=lambda j: (*self._placement_key(j), *due[j.spec.id]))
        groups: dict[tuple[str, int], list[int]] = {}
        for place, job in enumerate(order):
            if not job.ran:
                groups.setdefault((job.spec.team, job.rank), []).append(place)
        for places in groups.values():
            theirs = sorted((order[place] for place in places), key=lambda j: due[j.spec.id])
            for place, job in zip(places, theirs, strict=True):
                order[place] = job
        self.overdue_first = overdue_jobs.first_overdue_by_team(order, now)
        return (
            self.overdue_first + [job for job in order if job not in self.overdue_first]
            if self.overdue_first
            else order
        )

    def place_all(self, now: float) -> None:
        """Start what can start; `needs` keeps what found no room."""
        cluster = self.cluster
        cluster.count_hidden()
        rebuilding = cluster.rebuilding()
        machines = self.usable_machines(now)
        cheapest = self._cheapest_price(self.reserve.spec) if self.reserve.spec else float("inf")
        homes = [m for m in machines if not placement.would_pin(m, cheapest)]
        self.reserve.recount(
            homes, [j.spec for j in cluster.jobs.values() if not j.over], self.settings["spare_jobs"], self._start_s
        )
        self.team_limits = {}
        self.reserved = {}
        self.work_done = 0.0
        rebuilt = Reason(Why.REBUILDING, machines=len(cluster.unaccounted), among=len(cluster.machines))
        order = self.placement_order(now)
        every, machines = machines, placement.with_room_for_smallest(machines, (j.spec for j in order))
        before, self.demands = self.demands, []
        self.changed = self.unfinished and (self.changed or cluster.dirty)
        jobs = [job for job in order if job.spec.id not in self.handled]
        for job in self.overdue_first:
            if job.spec.id in self.handled:
                machines = self._reserve_for_overdue(job, machines, every, now)
        dealt_with = 0
        for job in jobs:
            if rebuilding and job.old:
                cluster.explain(job, rebuilt, now)
            elif now < job.not_before:
                cluster.explain(job, self._pause_reason(job), now)
            elif job.spec.kind is Kind.GANG:
                self._place_gang(job, machines, now)
                if job in self.overdue_first:
                    machines = self._reserve_for_overdue(job, machines, every, now)
            elif not self._place_tasks(job, machines, now):
                break
            dealt_with += 1
            if self.work_done >= self.work_limit:
                break
        self._end_round(order, jobs[:dealt_with], dealt_with == len(jobs), before)

    def _end_round(self, order: list[Job], dealt_with: list[Job], whole: bool, before: list[Demand]) -> None:
        """What is left of a pass is dealt with in the next round; until then it needs what it needed before."""
        if self.handled or not whole:
            now_known = {demand.job.spec.id: demand for demand in self.demands}
            gone = {job.spec.id for job in dealt_with}
            earlier = {demand.job.spec.id: demand for demand in before if demand.job.spec.id not in gone}
            demands = (now_known.get(job.spec.id) or _remaining_demand(earlier.get(job.spec.id)) for job in order)
            self.demands = [demand for demand in demands if demand is not None]
        self.handled = set() if whole else self.handled | {job.spec.id for job in dealt_with}
        self.cluster.dirty = whole and self.changed
        self.unfinished = not whole

    def _reserve_for_overdue(
        self, job: Job, machines: list[Machine], every: list[Machine], now: float
    ) -> list[Machine]:
        """The machines for those behind a gang whose turn it is: they leave it what comes free of its team's limit.

        Once it fits into that, also what comes free of the machines that will hold it first; of several gangs, of one.
        """
        if not job.waiting or not overdue_jobs.reserves_room(job, now):
            return machines
        fits = self._tasks_allowed(job.spec) >= job.spec.tasks
        self.reserved.setdefault(job.spec.team, Use()).add(job.spec, job.spec.tasks)
        first = next(other for other in self.overdue_first if overdue_jobs.reserves_room(other, now))
        if not fits or job is not first:
            return machines
        self.work_done += len(every)
        held = overdue_jobs.reserved_machines(job, every, self.cluster.params.zones)
        return [machine for machine in machines if machine not in held]

    def _tasks_allowed(self, spec: JobSpec) -> int:
        return self.cluster.quota.room(spec, self.reserved.get(spec.team))

    def _pause_reason(self, job: Job) -> Reason:
        """It failed on several machines, or a worker had no room for it after all."""
        if job.pause_s > 0:
            return Reason(Why.PAUSING, machines=len(job.failed_on), until=job.not_before)
        return Reason(Why.REFUSED, until=job.not_before)

    def _place_tasks(self, job: Job, machines: list[Machine], now: float) -> bool:
        """Whether the job was dealt with; not if the round has done enough while it still finds places."""
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
        spec, zones = job.spec, self.cluster.params.zones
        self.work_done += len(machines)
        if spec.one_zone and not job.live:
            best = placement.choose_zone(job, machines, zones)
            zones = [best] if best else []
        if (
            spec.kind is Kind.SERVICE
            and not job.ran
            and now - job.since < c.PIN_WAIT_S
            and self._cheap_machine_available(spec, now)
        ):
            cheapest = self._cheapest_price(spec)
            machines = [m for m in machines if not placement.would_pin(m, cheapest)]
        return Candidates(job, machines, zones, self._room_filter(job, now), self._start_s(spec))

    def _room_filter(self, job: Job, now: float) -> Callable[[Machine], bool]:
        """Whether the job may use a machine's room: some is kept for replicas, and some is too dear for patient work.

        What has waited long and runs nothing begins all the same: one task, or all of a gang.
        """
        spec, exempt, waits_for_cheap_room = (
            job.spec,
            self._exempt_from_reserve(job),
            self._waits_for_cheap_room(job, now),
        )
        waited_long = not job.live and now - job.idle_since > c.KEPT_ROOM_MOST_S

        def free(machine: Machine) -> bool:
            if waited_long and (spec.kind is Kind.GANG or not job.live):
                return True
            if waits_for_cheap_room and not (machine.spot or machine.kept()):
                return False
            return exempt or self.reserve.allows(spec, machine)

        return free

    def _exempt_from_reserve(self, job: Job) -> bool:
        """Guaranteed work that only ordinary machines may run need not wait for replicas that nobody has asked for.

        While services grow, the room kept for them is always short, and such work would never find any.
        """
        return not job.spec.spot and job.spec.id in self.within_guarantee

    def _start_s(self, spec: JobSpec) -> float:
        return supply.start_target_s(spec, self.cluster.params.objectives)

    def _waits_for_cheap_room(self, job: Job, now: float) -> bool:
        """Work beyond a guarantee that has much time left waits for cheap room, and lets dear machines get empty."""
        spec = job.spec
        if (
            spec.kind is not Kind.ARRAY
            or not spec.spot
            or spec.id in self.within_guarantee
            or self._tasks_per_slot(job, now) <= 1
        ):
            return False
        waited = now - job.since
        return waited < c.THRIFT_SHARE * (waited + supply.slack_s(job, self.cluster.params.objectives, now))

    def _cheapest_price(self, spec: JobSpec) -> float:
        """The lowest price of an ordinary machine that the task fits."""
        return min((t.price for t in self.cluster.types.values() if fits_type(spec, t)), default=0.0)

    def _cheap_machine_available(self, spec: JobSpec, now: float) -> bool:
        most = self._cheapest_price(spec) * c.PIN_RATIO
        return any(
            self.blocked_until.get(Offer(t.name, zone, False), 0.0) <= now
            for t in self.cluster.types.values() if t.price <= most and fits_type(spec, t)
            for zone in t.zones if allowed_on(spec, t.name, zone, False)
        )  # fmt: skip

    def _drain_target(self, job: Job, candidates: Candidates, machines: list[Machine]) -> Machine | None:
        """Where a drain promised the next task a place."""
        target = job.prefer.pop(job.waiting[0], None)
        return target if target is not None and target in machines and candidates.fits(target) else None

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """All tasks or none, under one attempt number."""
        cluster, spec = self.cluster, job.spec
        if job.live:
            cluster.explain(job, Reason(Why.LEAVING, tasks=len(job.live)), now)
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
        """The team's limit, as it stands when it first stops a job of the team in this round."""
        held = self.team_limits.get(spec.team)
        if held is None:
            held = self.team_limits[spec.team] = self.cluster.quota.at_limit(spec)
        return held

    def _record_demand(self, job: Job, count: int, now: float, free: tuple[str, int] | None = None) -> None:
        """`rent` says in the same round what is done about it, unless it is too soon after the last time."""
        if count <= 0:
            self.cluster.explain(job, self._team_limit(job.spec), now)
            return
        if job.reason.kind not in reasons.SUPPLY:
            self.cluster.explain(job, Reason(Why.NO_ROOM, tasks=count, each=reasons.each(job.spec)), now)
        self.demands.append(
            Demand(job, count, dict(Counter(a.machine.zone for a in job.live.values())), free_together=free)
        )

    # --- preempting -------------------------------------------------------------------------------

    def preempt(self, now: float) -> None:
        """Make room for what may preempt, stopping the tasks that lose least."""
        left = c.PREEMPT_MOST
        inside = self.within_guarantee
        machines = self.usable_machines(now) if self.demands else []
        running = (j for j in self.cluster.jobs.values() if j.live and j.spec.kind is Kind.ARRAY)
        last = max(map(self._placement_key, running), default=(False, 0))
        stopping: bool | None = None  # looked up only if somebody may be stopped
        for demand in self.demands:
            job = demand.job
            if left <= 0:
                return
            if (job.rank > PREEMPTING_RANK and job.spec.id not in inside) or now < job.preempt_after:
                continue
            if self._placement_key(job) >= last:  # nothing runs that would be placed later
                continue
            if stopping is None and (stopping := self._preemption_under_way()):
                return
            job.preempt_after = now + c.PREEMPT_PAUSE_S
            for victims in self._choose_victims(demand, machines, left, now):
                for victim in victims:
                    self.cluster.stop(victim, victim.job.spec.save_s, PREEMPTED_FOR + job.spec.id)
                left -= len(victims)

    def _choose_victims(self, demand: Demand, machines: list[Machine], left: int, now: float) -> list[list[Attempt]]:
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
        """Whether somebody still leaves for another; who is cancelled or drained makes no room that is spoken for."""
        return any(
            a.stopped_for.startswith(PREEMPTED_FOR) for m in self.cluster.machines.values() for a in m.attempts.values()
        )

    def _placement_key(self, job: Job) -> tuple[bool, int]:
        """Jobs are placed in this order, by age within it."""
        return (job.spec.id not in self.within_guarantee, job.rank)

    def _may_preempt(self, victim: Attempt, job: Job, inside: set[str]) -> bool:
        """Only what would also be placed after the job: else it takes the room back, again and again."""
        other, guaranteed = victim.job.spec, job.spec.id in inside
        if not victim.wanted or victim.phase is not Phase.THERE or other.kind is not Kind.ARRAY:
            return False
        if self._placement_key(victim.job) <= self._placement_key(job):
            return False
        if victim.job.rank > job.rank:
            return True
        return guaranteed and other.team != job.spec.team and self.cluster.quota.over_guarantee(other.team)

    def _cheapest_victims(self, job: Job, machines: list[Machine], count: int, now: float) -> list[list[Attempt]]:
        """Whom to stop for so many of the job's tasks: the cheapest, one task's room a machine."""
        found = []
        for n, machine in enumerate(self._allowed_machines(job, machines)):
            victims = self._victims_on(job, machine, now)
            if victims:
                found.append((sum(lost_work(a, now) for a in victims), n, victims))
        return [victims for _, _, victims in heapq.nsmallest(count, found)]

    def _allowed_machines(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Where its tasks may be, and no room is kept for replicas."""
        zones = set(placement.allowed_zones(job, self.cluster.params.zones))
        return [
            m for m in machines
            if m.zone in zones and allowed_on(job.spec, m.type.name, m.zone, m.spot)
            and not (self.reserve.is_short() and self.reserve.covers(job.spec, m))
        ]  # fmt: skip

    def _preemptable(self, job: Job, machine: Machine) -> list[Attempt]:
        return [a for a in machine.attempts.values() if self._may_preempt(a, job, self.within_guarantee)]

    def _victims_on(self, job: Job, machine: Machine, now: float) -> list[Attempt]:
        """Those on the machine that would have to go, least lost work first; empty if that is not enough."""
        spec = job.spec
        may = self._preemptable(job, machine)
        free = [machine.free_cpus, machine.free_gpus, machine.free_gb]
        demand = (spec.cpus, spec.gpus, spec.memory_gb)
        victims: list[Attempt] = []
        for victim in sorted(may, key=lambda a: lost_work(a, now)):
            if all(f >= n - EPS for f, n in zip(free, demand, strict=True)):
                return victims
            victims.append(victim)
            gains = (victim.job.spec.cpus, victim.job.spec.gpus, victim.job.spec.memory_gb)
            free = [f + g for f, g in zip(free, gains, strict=True)]
        return victims if all(f >= n - EPS for f, n in zip(free, demand, strict=True)) else []

    # --- renting ----------------------------------------------------------------------------------

    def booting_bins(self, now: float) -> list[Bin]:
        bins = [
            fleet.empty_bin(Offer(m.type.name, m.zone, m.spot), m.type)
            for m in self.cluster.machines.values()
            if self._expected_up(m, now)
        ]
        for offer, count in self.requested.items():
            bins += [fleet.empty_bin(offer, self.cluster.types[offer.type]) for _ in range(count)]
        return bins

    def _expected_up(self, machine: Machine, now: float) -> bool:
        if machine.status is Status.JOINING:
            return True
        return (
            machine.zone not in self.unreachable_zones
            and machine.status is Status.BOOTING
            and not machine.unexpected
            and now - machine.born < self.cluster.boots.expected_s(machine.type)
        )

    def offers_to_rent(self, now: float) -> list[Offer]:
        """What to ask the cloud for, after counting on what is already booting."""
        demands = [
            Demand(
                n.job,
                n.count,
                dict(n.tasks_per_zone),
                self._waits_for_cheap_room(n.job, now),
                self._tasks_per_slot(n.job, now),
            )
            for n in self.demands
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
        chosen = fleet.choose_offers(demands, list(self.cluster.types.values()), blocked, c.HIRE_COUNT_MOST)
        short = shortage.ShortageExplainer(
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
            reason = short.reason(left, demand.count, booted, finished)
            if demand.free_together is not None:
                zone, free = demand.free_together
                reason = msgspec.structs.replace(reason, free=free, zone=zone, gang=demand.job.spec.tasks)
            self.cluster.explain(demand.job, reason, now)
        return chosen

    def explain_renting_held(self, now: float) -> None:
        """Nothing may be rented now, so nobody is told of machines that will come."""
        for demand in self.demands:
            spec = demand.job.spec
            self.cluster.explain(demand.job, Reason(Why.HELD, tasks=demand.count, each=reasons.each(spec)), now)

    def _first_boot_at(self, now: float) -> float | None:
        """About when the first of the machines that are booting will be up."""
        booting = [
            m for m in self.cluster.machines.values() if m.status is Status.BOOTING and self._expected_up(m, now)
        ]
        return min((max(now, m.born + m.type.boot_s) for m in booting), default=None)

    def _reserve_demand(self, now: float) -> list[Demand]:
        """Room for replicas that is neither there nor booting; only on machines that a replica would not pin."""
        if self.reserve.spec is None or self.cluster.rebuilding():
            return []
        cheapest = self._cheapest_price(self.reserve.spec)
        homes = [t.name for t in self.cluster.types.values() if t.price <= c.PIN_RATIO * cheapest]
        coming = sum(
            room.slots(self.reserve.spec)
            for room in self.booting_bins(now)
            if not room.offer.spot and room.offer.type in homes
        )
        short = self.reserve.wanted_slots - self.reserve.free_slots() - coming
        spec = msgspec.structs.replace(self.reserve.spec, types=homes)
        return [Demand(Job(spec, 0, now, False), short)] if short > 0 else []

    def _assign_finishing_slots(self, demands: list[Demand], now: float) -> None:
        """What running tasks will free soon enough needs no new machine.

        Thousands run, so they are looked at only if somebody waits for places, and kept only if that is soon enough.
        """
        waiting = [(n, self._patience_s(n.job, now)) for n in demands if n.job.spec.kind is Kind.ARRAY and n.count > 0]
        if not waiting:
            return
        longest = max(patience_s for _, patience_s in waiting)
        places = [
            supply.FinishingSlot(a.machine, a.job.spec, free_in_s)
            for m in self.usable_machines(now) for a in m.attempts.values()
            if a.job.spec.kind is Kind.ARRAY and a.wanted and (free_in_s := supply.remaining_s(a, now)) <= longest
        ]  # fmt: skip
        places.sort(key=supply.BY_FREE_TIME)
        for demand, patience_s in waiting:
            supply.assign_finishing_slots(demand, places, patience_s)

    def _patience_s(self, job: Job, now: float) -> float:
        """How long the job's tasks may wait for places: at least as long as a new machine would take."""
        boot_s = min((kind.boot_s for kind in self.cluster.types.values()), default=0.0)
        return max(boot_s, supply.slack_s(job, self.cluster.params.objectives, now) - boot_s)

    def _tasks_per_slot(self, job: Job, now: float) -> int:
        if job.spec.kind is not Kind.ARRAY or job.spec.estimate_s <= 0:
            return 1
        boot_s = max((kind.boot_s for kind in self.cluster.types.values()), default=0.0)
        return 1 + max(0, int((self._patience_s(job, now) - boot_s) // (job.spec.estimate_s * c.ESTIMATE_CAUTION)))

    def observe_zone(self, name: str, observation: ZoneObservation, now: float) -> None:
        """Take in what is seen of a zone; nothing is rented where it would cost and never report."""
        changed = self.zones.observe(name, observation, now)
        self.unreachable_zones = self.zones.unreachable(now)
        if changed is not None:
            said = f"zone {name} is {changed.value}: {observation.silent} of {observation.up} machines are silent"
            log.info("%s", said)
            self.cluster.listener.noted("dark", said, now)

    def offer_refused(self, offer: Offer, now: float) -> None:
        pause = min(c.NO_CAPACITY_PAUSE_MOST_S, max(c.NO_CAPACITY_PAUSE_S, self.refusal_pause_s.get(offer, 0.0) * 2))
        self.refusal_pause_s[offer] = pause
        self.blocked_until[offer] = now + pause

    def offer_granted(self, offer: Offer) -> None:
        """There is some, or will be: we gave one back."""
        self.refusal_pause_s.pop(offer, None)
        self.blocked_until.pop(offer, None)

    # --- returning --------------------------------------------------------------------------------

    def machines_to_return(self, now: float) -> list[Machine]:
        """Machines without tasks that cost more than they may save."""
        idle = [m for m in self.cluster.machines.values() if not m.attempts and self._may_return(m, now)]
        out = []
        for machine in sorted(idle, key=self.reserve.slow_image_count):
            unusable = _takes_no_tasks(machine)
            if not unusable and self.reserve.needs_machine(machine):
                continue
            if unusable or machine.draining is not None or not self._is_needed(machine, now):
                self.reserve.remove_machine(machine)
                out.append(machine)
        return out

    def _may_return(self, machine: Machine, now: float) -> bool:
        """Up, and of no use by itself: what depends on the others is looked at for these few."""
        if machine.status is not Status.UP or machine.idle_since is None:
            return False
        if not (_takes_no_tasks(machine) or machine.draining is not None or self._idle_long(machine, now)):
            return False
        return not self.zones.keeps_machines(machine.zone, now)

    def _idle_long(self, machine: Machine, now: float) -> bool:
        """A spot machine is kept as much longer as it is cheaper: for the same money it may save a boot."""
        since = machine.idle_since if machine.idle_since is not None else now
        idle_s = self.settings["idle_s"] * machine.type.price / max(machine.price(), EPS)
        return now - since >= idle_s and now - machine.born >= c.MIN_CHARGE_S - c.CHARGE_SLACK_S

    # --- draining ---------------------------------------------------------------------------------

    def start_drain(self, now: float) -> None:
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
            attempt.job.prefer[attempt.task] = target
            self.cluster.stop(attempt, attempt.job.spec.save_s, "its machine is drained")

    def _report_drain_cancelled(self, machines: list[Machine], now: float) -> None:
        """Counted each round; told of the least used machine, and again only if it is another or for another reason."""
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
        """Whether a waiting task would go there; thrifty ones wait for cheaper room."""
        return any(
            machine.has_room(n.job.spec) and allowed_on(n.job.spec, machine.type.name, machine.zone, machine.spot)
            and (machine.spot or not self._waits_for_cheap_room(n.job, now))
            for n in self.demands
        )  # fmt: skip

    def stop_before_reclaim(self, now: float) -> None:
        """A spot machine about to be taken is drained; what will finish in time is left alone."""
        for machine in self.cluster.machines.values():
            if machine.notice_at is None:
                continue
            for attempt in list(machine.attempts.values()):
                if attempt.wanted and not self._finishes_by(attempt, machine.notice_at, now):
                    self.cluster.stop(attempt, attempt.job.spec.save_s, "the cloud takes its machine")

    def _finishes_by(self, attempt: Attempt, at: float, now: float) -> bool:
        if attempt.job.spec.estimate_s <= 0:
            return False
        began = attempt.running_at if attempt.running_at is not None else now
        return began + attempt.job.spec.estimate_s <= at


def _remaining_demand(demand: Demand | None) -> Demand | None:
    """What is left of a need of an earlier round; tasks may have been placed or ended since."""
    if demand is None or demand.job.over or not demand.job.waiting:
        return None
    return replace(demand, count=min(demand.count, len(demand.job.waiting)))


def _takes_no_tasks(machine: Machine) -> bool:
    """It takes no tasks any more, whatever waits."""
    return machine.quarantined or machine.notice_at is not None
