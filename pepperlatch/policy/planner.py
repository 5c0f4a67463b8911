"""One round of planning: order the jobs, place, preempt, rent, drain, return. No I/O, no clock."""

import heapq
import logging
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.policy import draining, fleet, gangs, placement, quota, reasons, shortage, supply, turns
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.draining import lost_work
from pepperlatch.policy.fleet import Bin, Need, Offer
from pepperlatch.policy.model import EPS, Attempt, Job, Machine, Phase, Status, allowed_on, fits_type
from pepperlatch.policy.pace import PLACEMENT_WORK
from pepperlatch.policy.placement import Candidates
from pepperlatch.policy.quota import Use
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.policy.supply import Spare
from pepperlatch.policy.tuning import Tuning
from pepperlatch.policy.zones import Seen, Zones
from pepperlatch.protocol.wire import PRIORITY_RANK, JobSpec, Kind, Priority

log = logging.getLogger(__name__)
STOPPED_FOR = "stopped for "  # and a job: why a task had to leave
URGENT = PRIORITY_RANK[Priority.HIGH]  # and stronger: may preempt also beyond a guarantee


@dataclass(slots=True)
class Planner:
    cluster: Cluster
    tuning: Tuning
    blocked: dict[Offer, float] = field(default_factory=dict)  # refused offers, until when
    pauses: dict[Offer, float] = field(default_factory=dict)
    asked: Counter[Offer] = field(default_factory=Counter)  # machines of hires on their way
    zones: Zones = field(default_factory=Zones)
    dark: set[str] = field(default_factory=set)  # zones where nothing is rented
    drained_at: float = 0.0
    drains_begun: int = 0
    drains_cancelled: int = 0  # rounds in which an underused machine could not be drained
    drain_cancelled: tuple[str, str] = ("", "")  # the last of these, and why
    look_after: float = 0.0  # when it is looked again at what waits though nothing has changed
    needs: list[Need] = field(default_factory=list)
    spare: Spare = field(default_factory=Spare)
    inside: set[str] = field(default_factory=set)  # jobs within their team's guarantee
    work_most: float = math.inf  # how much a round may do before the rest is left to the next, see `pace`
    work: float = 0.0  # how much this one has done
    unfinished: bool = False  # the last round did enough before it came to all that waits: its pass goes on
    passed: set[str] = field(default_factory=set)  # jobs that earlier rounds of an unfinished pass have dealt with
    changed: bool = False  # something has changed since an unfinished pass began
    limits: dict[str, Reason] = field(default_factory=dict)  # teams that were at their limit in this round
    ahead: list[Job] = field(default_factory=list)  # jobs whose turn it is whatever the order, one a team at the most
    kept: dict[str, Use] = field(default_factory=dict)  # of teams' limits, for gangs that waited long, in this round

    # --- placing ----------------------------------------------------------------------------------

    def fresh_s(self) -> float:
        return c.FRESH_REPORTS * self.cluster.params.workers.report_s

    def usable(self, now: float) -> list[Machine]:
        unaccounted = self.cluster.unaccounted
        return [
            m for m in self.cluster.machines.values()
            if m.name not in unaccounted and placement.usable(m, now, self.fresh_s())
        ]  # fmt: skip

    def ordered(self, now: float) -> list[Job]:
        """Within a guarantee first, then by priority, then what can still meet its next aim soonest.

        A guarantee holds against other teams. Among a team's own jobs of one priority that have not run yet,
        what is not late goes first, on the places in the order that are the team's. What has run keeps its
        place, or work stopped for others could take the room back.
        """
        aims = self.cluster.params.objectives
        jobs = [j for j in self.cluster.jobs.values() if not j.over]
        inside = self.inside = quota.within_guarantee(jobs, self.cluster.quota.teams)
        waiting = [j for j in jobs if j.waiting]
        due = {j.spec.id: (supply.next_due(j, aims, j.spec.id in inside, now), j.version) for j in waiting}
        order = sorted(waiting, key=lambda j: (*self._place_key(j), *due[j.spec.id]))
        groups: dict[tuple[str, int], list[int]] = {}
        for place, job in enumerate(order):
            if not job.ran:
                groups.setdefault((job.spec.team, job.rank), []).append(place)
        for places in groups.values():
            theirs = sorted((order[place] for place in places), key=lambda j: due[j.spec.id])
            for place, job in zip(places, theirs, strict=True):
                order[place] = job
        self.ahead = turns.ahead(order, now)
        return self.ahead + [job for job in order if job not in self.ahead] if self.ahead else order

    def place_all(self, now: float) -> None:
        """Start what can start; `needs` keeps what found no room."""
        cluster = self.cluster
        cluster.count_hidden()
        rebuilding = cluster.rebuilding()
        machines = self.usable(now)
        cheapest = self._cheapest(self.spare.spec) if self.spare.spec else float("inf")
        homes = [m for m in machines if not placement.pinned(m, cheapest)]
        self.spare.count(
            homes, [j.spec for j in cluster.jobs.values() if not j.over], self.tuning["spare_jobs"], self._start_s
        )
        self.limits = {}
        self.kept = {}
        self.work = 0.0
        rebuilt = Reason(Why.REBUILDING, machines=len(cluster.unaccounted), among=len(cluster.machines))
        order = self.ordered(now)
        every, machines = machines, placement.roomy(machines, (j.spec for j in order))
        before, self.needs = self.needs, []
        self.changed = self.unfinished and (self.changed or cluster.dirty)
        jobs = [job for job in order if job.spec.id not in self.passed]
        for job in self.ahead:
            if job.spec.id in self.passed:
                machines = self._hold_back(job, machines, every, now)
        dealt_with = 0
        for job in jobs:
            if rebuilding and job.old:
                cluster.explain(job, rebuilt, now)
            elif now < job.not_before:
                cluster.explain(job, self._pausing(job), now)
            elif job.spec.kind is Kind.GANG:
                self._place_gang(job, machines, now)
                if job in self.ahead:
                    machines = self._hold_back(job, machines, every, now)
            elif not self._place_tasks(job, machines, now):
                break
            dealt_with += 1
            if self.work >= self.work_most:
                break
        self._end_round(order, jobs[:dealt_with], dealt_with == len(jobs), before)

    def _end_round(self, order: list[Job], dealt_with: list[Job], whole: bool, before: list[Need]) -> None:
        """What is left of a pass is dealt with in the next round; until then it needs what it needed before."""
        if self.passed or not whole:
            now_known = {need.job.spec.id: need for need in self.needs}
            gone = {job.spec.id for job in dealt_with}
            earlier = {need.job.spec.id: need for need in before if need.job.spec.id not in gone}
            needs = (now_known.get(job.spec.id) or _still(earlier.get(job.spec.id)) for job in order)
            self.needs = [need for need in needs if need is not None]
        self.passed = set() if whole else self.passed | {job.spec.id for job in dealt_with}
        self.cluster.dirty = whole and self.changed
        self.unfinished = not whole

    def _hold_back(self, job: Job, machines: list[Machine], every: list[Machine], now: float) -> list[Machine]:
        """The machines for those behind a gang whose turn it is: they leave it what comes free of its team's limit.

        Once it fits into that, also what comes free of the machines that will hold it first; of several gangs, of one.
        """
        if not job.waiting or not turns.holds(job, now):
            return machines
        fits = self._room(job.spec) >= job.spec.tasks
        self.kept.setdefault(job.spec.team, Use()).add(job.spec, job.spec.tasks)
        first = next(other for other in self.ahead if turns.holds(other, now))
        if not fits or job is not first:
            return machines
        self.work += len(every)
        held = turns.held_for(job, every, self.cluster.params.zones)
        return [machine for machine in machines if machine not in held]

    def _room(self, spec: JobSpec) -> int:
        return self.cluster.quota.room(spec, self.kept.get(spec.team))

    def _pausing(self, job: Job) -> Reason:
        """It failed on several machines, or a worker had no room for it after all."""
        if job.pause_s > 0:
            return Reason(Why.PAUSING, machines=len(job.failed_on), until=job.not_before)
        return Reason(Why.REFUSED, until=job.not_before)

    def _place_tasks(self, job: Job, machines: list[Machine], now: float) -> bool:
        """Whether the job was dealt with; not if the round has done enough while it still finds places."""
        cluster = self.cluster
        room = self._room(job.spec)
        if room > 0:
            candidates = self._candidates(job, machines, now)
            while job.waiting and room > 0:
                machine = self._preferred(job, candidates, machines) or candidates.best()
                if machine is None:
                    break
                cluster.place(job, job.waiting.popleft(), machine, now)
                candidates.took(machine)
                self.spare.took(machine)
                self.work += PLACEMENT_WORK
                room -= 1
                if job.waiting and room > 0 and self.work >= self.work_most:
                    return False
        if job.waiting:
            self._unplaced(job, min(room, len(job.waiting)), now)
        else:
            cluster.explain(job, reasons.STARTING, now)
        return True

    def _candidates(self, job: Job, machines: list[Machine], now: float) -> Candidates:
        spec, zones = job.spec, self.cluster.params.zones
        self.work += len(machines)
        if spec.one_zone and not job.live:
            best = placement.choose_zone(job, machines, zones)
            zones = [best] if best else []
        if (
            spec.kind is Kind.SERVICE
            and not job.ran
            and now - job.since < c.REPLICA_PRICE_WAIT_S
            and self._cheap_to_be_had(spec, now)
        ):
            cheapest = self._cheapest(spec)
            machines = [m for m in machines if not placement.pinned(m, cheapest)]
        return Candidates(job, machines, zones, self._free_for(job, now), self._start_s(spec))

    def _free_for(self, job: Job, now: float) -> Callable[[Machine], bool]:
        """Whether the job may use a machine's room: some is kept for replicas, and some is too dear for patient work.

        What has waited long and runs nothing begins all the same: one task, or all of a gang.
        """
        spec, entitled, thrifty = job.spec, self._entitled(job), self._thrifty(job, now)
        waited_long = not job.live and now - job.idle_since > c.MAX_RESERVATION_WAIT_S

        def free(machine: Machine) -> bool:
            if waited_long and (spec.kind is Kind.GANG or not job.live):
                return True
            if thrifty and not (machine.spot or machine.kept()):
                return False
            return entitled or self.spare.allows(spec, machine)

        return free

    def _entitled(self, job: Job) -> bool:
        """Guaranteed work that only ordinary machines may run need not wait for replicas that nobody has asked for.

        While services grow, the room kept for them is always short, and such work would never find any.
        """
        return not job.spec.spot and job.spec.id in self.inside

    def _start_s(self, spec: JobSpec) -> float:
        return supply.start_s(spec, self.cluster.params.objectives)

    def _thrifty(self, job: Job, now: float) -> bool:
        """Work beyond a guarantee that has much time left waits for cheap room, and lets dear machines get empty."""
        spec = job.spec
        if spec.kind is not Kind.ARRAY or not spec.spot or spec.id in self.inside or self._turns(job, now) <= 1:
            return False
        waited = now - job.since
        return waited < c.CHEAP_ROOM_WAIT_SHARE * (waited + supply.slack_s(job, self.cluster.params.objectives, now))

    def _cheapest(self, spec: JobSpec) -> float:
        """The lowest price of an ordinary machine that the task fits."""
        return min((t.price for t in self.cluster.types.values() if fits_type(spec, t)), default=0.0)

    def _cheap_to_be_had(self, spec: JobSpec, now: float) -> bool:
        most = self._cheapest(spec) * c.MAX_REPLICA_PRICE_FACTOR
        return any(
            self.blocked.get(Offer(t.name, zone, False), 0.0) <= now
            for t in self.cluster.types.values() if t.price <= most and fits_type(spec, t)
            for zone in t.zones if allowed_on(spec, t.name, zone, False)
        )  # fmt: skip

    def _preferred(self, job: Job, candidates: Candidates, machines: list[Machine]) -> Machine | None:
        """Where a drain promised the next task a place."""
        target = job.prefer.pop(job.waiting[0], None)
        return target if target is not None and target in machines and candidates.fits(target) else None

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """All tasks or none, under one attempt number."""
        cluster, spec = self.cluster, job.spec
        if job.live:
            cluster.explain(job, Reason(Why.LEAVING, tasks=len(job.live)), now)
            return
        if self._room(spec) < spec.tasks:
            cluster.explain(job, self._limited(spec), now)
            return
        candidates = self._candidates(job, machines, now)
        number = cluster.new_number()
        placed: list[Attempt] = []
        while job.waiting and (machine := candidates.best()) is not None:
            placed.append(cluster.place(job, job.waiting.popleft(), machine, now, number))
            self.work += PLACEMENT_WORK
            candidates.took(machine)
            self.spare.took(machine)
        if job.waiting:
            for attempt in placed:
                cluster.undo(attempt)
                self.spare.took(attempt.machine)
            self._unplaced(job, spec.tasks, now, placement.free_together(job, machines))
        else:
            cluster.explain(job, reasons.STARTING, now)

    def _limited(self, spec: JobSpec) -> Reason:
        """The team's limit, as it stands when it first stops a job of the team in this round."""
        held = self.limits.get(spec.team)
        if held is None:
            held = self.limits[spec.team] = self.cluster.quota.at_limit(spec)
        return held

    def _unplaced(self, job: Job, count: int, now: float, free: tuple[str, int] | None = None) -> None:
        """`rent` says in the same round what is done about it, unless it is too soon after the last time."""
        if count <= 0:
            self.cluster.explain(job, self._limited(job.spec), now)
            return
        if job.reason.kind not in reasons.SUPPLY:
            self.cluster.explain(job, Reason(Why.NO_ROOM, tasks=count, each=reasons.each(job.spec)), now)
        self.needs.append(Need(job, count, dict(Counter(a.machine.zone for a in job.live.values())), free=free))

    # --- preempting -------------------------------------------------------------------------------

    def preempt(self, now: float) -> None:
        """Make room for what may preempt, stopping the tasks that lose least."""
        left = c.MAX_PREEMPTIONS_PER_ROUND
        inside = self.inside
        machines = self.usable(now) if self.needs else []
        running = (j for j in self.cluster.jobs.values() if j.live and j.spec.kind is Kind.ARRAY)
        last = max(map(self._place_key, running), default=(False, 0))
        stopping: bool | None = None  # looked up only if somebody may be stopped
        for need in self.needs:
            job = need.job
            if left <= 0:
                return
            if (job.rank > URGENT and job.spec.id not in inside) or now < job.preempt_after:
                continue
            if self._place_key(job) >= last:  # nothing runs that would be placed later
                continue
            if stopping is None and (stopping := self._stopping()):
                return
            job.preempt_after = now + c.PREEMPT_PAUSE_S
            for victims in self._chosen(need, machines, left, now):
                for victim in victims:
                    self.cluster.stop(victim, victim.job.spec.save_s, STOPPED_FOR + job.spec.id)
                left -= len(victims)

    def _chosen(self, need: Need, machines: list[Machine], left: int, now: float) -> list[list[Attempt]]:
        job = need.job
        if job.spec.kind is not Kind.GANG:
            return self._victims(job, machines, min(need.count, left), now)
        open_to = [m for m in self._open_to(job, machines) if self._entitled(job) or self.spare.allows(job.spec, m)]
        victims = gangs.room_for(job, open_to, lambda m: self._stoppable(job, m), now)
        return [victims] if len(victims) <= left else []

    def _stopping(self) -> bool:
        """Whether somebody still leaves for another; who is cancelled or drained makes no room that is spoken for."""
        return any(
            a.stopped_for.startswith(STOPPED_FOR) for m in self.cluster.machines.values() for a in m.attempts.values()
        )

    def _place_key(self, job: Job) -> tuple[bool, int]:
        """Jobs are placed in this order, by age within it."""
        return (job.spec.id not in self.inside, job.rank)

    def _may_stop(self, victim: Attempt, job: Job, inside: set[str]) -> bool:
        """Only what would also be placed after the job: else it takes the room back, again and again."""
        other, guaranteed = victim.job.spec, job.spec.id in inside
        if not victim.wanted or victim.phase is not Phase.THERE or other.kind is not Kind.ARRAY:
            return False
        if self._place_key(victim.job) <= self._place_key(job):
            return False
        if victim.job.rank > job.rank:
            return True
        return guaranteed and other.team != job.spec.team and self.cluster.quota.over_guarantee(other.team)

    def _victims(self, job: Job, machines: list[Machine], count: int, now: float) -> list[list[Attempt]]:
        """Whom to stop for so many of the job's tasks: the cheapest, one task's room a machine."""
        found = []
        for n, machine in enumerate(self._open_to(job, machines)):
            victims = self._enough(job, machine, now)
            if victims:
                found.append((sum(lost_work(a, now) for a in victims), n, victims))
        return [victims for _, _, victims in heapq.nsmallest(count, found)]

    def _open_to(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Where its tasks may be, and no room is kept for replicas."""
        zones = set(placement.zones_open(job, self.cluster.params.zones))
        return [
            m for m in machines
            if m.zone in zones and allowed_on(job.spec, m.type.name, m.zone, m.spot)
            and not (self.spare.short() and self.spare.guards(job.spec, m))
        ]  # fmt: skip

    def _stoppable(self, job: Job, machine: Machine) -> list[Attempt]:
        return [a for a in machine.attempts.values() if self._may_stop(a, job, self.inside)]

    def _enough(self, job: Job, machine: Machine, now: float) -> list[Attempt]:
        """Those on the machine that would have to go, least lost work first; empty if that is not enough."""
        spec = job.spec
        may = self._stoppable(job, machine)
        free = [machine.free_cpus, machine.free_gpus, machine.free_gb]
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        victims: list[Attempt] = []
        for victim in sorted(may, key=lambda a: lost_work(a, now)):
            if all(f >= n - EPS for f, n in zip(free, need, strict=True)):
                return victims
            victims.append(victim)
            gains = (victim.job.spec.cpus, victim.job.spec.gpus, victim.job.spec.memory_gb)
            free = [f + g for f, g in zip(free, gains, strict=True)]
        return victims if all(f >= n - EPS for f, n in zip(free, need, strict=True)) else []

    # --- renting ----------------------------------------------------------------------------------

    def booting_bins(self, now: float) -> list[Bin]:
        bins = [
            fleet.bin_of(Offer(m.type.name, m.zone, m.spot), m.type)
            for m in self.cluster.machines.values()
            if self._coming(m, now)
        ]
        for offer, count in self.asked.items():
            bins += [fleet.bin_of(offer, self.cluster.types[offer.type]) for _ in range(count)]
        return bins

    def _coming(self, machine: Machine, now: float) -> bool:
        if machine.status is Status.JOINING:
            return True
        return (
            machine.zone not in self.dark
            and machine.status is Status.BOOTING
            and not machine.unexpected
            and now - machine.born < self.cluster.boots.expected_s(machine.type)
        )

    def rent(self, now: float) -> list[Offer]:
        """What to ask the cloud for, after counting on what is already booting."""
        needs = [
            Need(n.job, n.count, dict(n.spread), self._thrifty(n.job, now), self._turns(n.job, now)) for n in self.needs
        ]
        wanted = len(needs)
        bins = self.booting_bins(now)
        least = fleet.smallest(needs)
        fleet.fill_all(bins, needs, least)
        after_boot = [need.count for need in needs]
        self._count_on_finishing(needs, now)
        after_finish = [need.count for need in needs]
        needs += self._spare_need(now)
        blocked = {offer for offer, until in self.blocked.items() if until > now} | set(self.asked)
        blocked |= {
            Offer(t.name, zone, spot)
            for t in self.cluster.types.values()
            for zone in self.dark
            for spot in (False, True)
        }
        chosen = fleet.choose(needs, list(self.cluster.types.values()), blocked, c.MAX_MACHINES_PER_HIRE)
        short = shortage.Shortage(
            self.cluster.types, self.blocked, set(self.asked), self.dark, bins, self._first_up(now), now
        )
        for need, booted, finished, left in zip(self.needs, after_boot, after_finish, needs[:wanted], strict=True):
            reason = short.reason(left, need.count, booted, finished)
            if need.free is not None:
                zone, free = need.free
                reason = msgspec.structs.replace(reason, free=free, zone=zone, gang=need.job.spec.tasks)
            self.cluster.explain(need.job, reason, now)
        return chosen

    def hold(self, now: float) -> None:
        """Nothing may be rented now, so nobody is told of machines that will come."""
        for need in self.needs:
            spec = need.job.spec
            self.cluster.explain(need.job, Reason(Why.HELD, tasks=need.count, each=reasons.each(spec)), now)

    def _first_up(self, now: float) -> float | None:
        """About when the first of the machines that are booting will be up."""
        booting = [m for m in self.cluster.machines.values() if m.status is Status.BOOTING and self._coming(m, now)]
        return min((max(now, m.born + m.type.boot_s) for m in booting), default=None)

    def _spare_need(self, now: float) -> list[Need]:
        """Room for replicas that is neither there nor booting; only on machines that a replica would not pin."""
        if self.spare.spec is None or self.cluster.rebuilding():
            return []
        cheapest = self._cheapest(self.spare.spec)
        homes = [t.name for t in self.cluster.types.values() if t.price <= c.MAX_REPLICA_PRICE_FACTOR * cheapest]
        coming = sum(
            room.slots(self.spare.spec)
            for room in self.booting_bins(now)
            if not room.offer.spot and room.offer.type in homes
        )
        short = self.spare.wanted - self.spare.free() - coming
        spec = msgspec.structs.replace(self.spare.spec, types=homes)
        return [Need(Job(spec, 0, now, False), short)] if short > 0 else []

    def _count_on_finishing(self, needs: list[Need], now: float) -> None:
        """What running tasks will free soon enough needs no new machine.

        Thousands run, so they are looked at only if somebody waits for places, and kept only if that is soon enough.
        """
        waiting = [(n, self._patience_s(n.job, now)) for n in needs if n.job.spec.kind is Kind.ARRAY and n.count > 0]
        if not waiting:
            return
        longest = max(patience_s for _, patience_s in waiting)
        places = [
            supply.Place(a.machine, a.job.spec, free_in_s)
            for m in self.usable(now) for a in m.attempts.values()
            if a.job.spec.kind is Kind.ARRAY and a.wanted and (free_in_s := supply.remaining_s(a, now)) <= longest
        ]  # fmt: skip
        places.sort(key=supply.SOONEST)
        for need, patience_s in waiting:
            supply.absorb(need, places, patience_s)

    def _patience_s(self, job: Job, now: float) -> float:
        """How long the job's tasks may wait for places: at least as long as a new machine would take."""
        boot_s = min((kind.boot_s for kind in self.cluster.types.values()), default=0.0)
        return max(boot_s, supply.slack_s(job, self.cluster.params.objectives, now) - boot_s)

    def _turns(self, job: Job, now: float) -> int:
        if job.spec.kind is not Kind.ARRAY or job.spec.estimate_s <= 0:
            return 1
        boot_s = max((kind.boot_s for kind in self.cluster.types.values()), default=0.0)
        return 1 + max(
            0, int((self._patience_s(job, now) - boot_s) // (job.spec.estimate_s * c.ESTIMATE_SAFETY_FACTOR))
        )

    def look_at_zone(self, name: str, seen: Seen, now: float) -> None:
        """Take in what is seen of a zone; nothing is rented where it would cost and never report."""
        changed = self.zones.look(name, seen, now)
        self.dark = self.zones.dark(now)
        if changed is not None:
            said = f"zone {name} is {changed.value}: {seen.silent} of {seen.up} machines are silent"
            log.info("%s", said)
            self.cluster.listener.noted("dark", said, now)

    def refused(self, offer: Offer, now: float) -> None:
        pause = min(c.MAX_NO_CAPACITY_PAUSE_S, max(c.NO_CAPACITY_PAUSE_S, self.pauses.get(offer, 0.0) * 2))
        self.pauses[offer] = pause
        self.blocked[offer] = now + pause

    def granted(self, offer: Offer) -> None:
        """There is some, or will be: we gave one back."""
        self.pauses.pop(offer, None)
        self.blocked.pop(offer, None)

    # --- returning --------------------------------------------------------------------------------

    def idle(self, now: float) -> list[Machine]:
        """Machines without tasks that cost more than they may save."""
        idle = [m for m in self.cluster.machines.values() if not m.attempts and self._may_return(m, now)]
        out = []
        for machine in sorted(idle, key=self.spare.worth):
            broken = _broken(machine)
            if not broken and self.spare.needs(machine):
                continue
            if broken or machine.draining is not None or not self._needed(machine, now):
                self.spare.drop(machine)
                out.append(machine)
        return out

    def _may_return(self, machine: Machine, now: float) -> bool:
        """Up, and of no use by itself: what depends on the others is looked at for these few."""
        if machine.status is not Status.UP or machine.idle_since is None:
            return False
        if not (_broken(machine) or machine.draining is not None or self._idle_long(machine, now)):
            return False
        return not self.zones.kept(machine.zone, now)

    def _idle_long(self, machine: Machine, now: float) -> bool:
        """A spot machine is kept as much longer as it is cheaper: for the same money it may save a boot."""
        since = machine.idle_since if machine.idle_since is not None else now
        idle_s = self.tuning["idle_s"] * machine.type.price / max(machine.price(), EPS)
        return now - since >= idle_s and now - machine.born >= c.MIN_CHARGE_S - c.RETURN_LEAD_S

    # --- draining ---------------------------------------------------------------------------------

    def drain(self, now: float) -> None:
        if now - self.drained_at < self.tuning["drain_every_s"]:
            return
        self.drained_at = now
        machines = self.usable(now)
        knobs = self.tuning
        choice = draining.choose(
            machines,
            knobs["drain_threshold"],
            knobs["drain_age_s"],
            knobs["drain_lost_s"],
            now,
            lambda m: self._needed(m, now),
        )
        if choice is None:
            self._drain_cancelled(machines, now)
            return
        self.drains_begun += 1
        choice.machine.draining = "underused"
        self.cluster.to_record.add(choice.machine)
        self.cluster.listener.machine(choice.machine, "draining", f"{len(choice.moves)} tasks move", now)
        for attempt, target in choice.moves:
            attempt.job.prefer[attempt.task] = target
            self.cluster.stop(attempt, attempt.job.spec.save_s, "its machine is drained")

    def _drain_cancelled(self, machines: list[Machine], now: float) -> None:
        """Counted each round; told of the least used machine, and again only if it is another or for another reason."""
        knobs = self.tuning
        low = draining.underused(machines, knobs["drain_threshold"])
        self.drains_cancelled += bool(low)
        if not low:
            return
        why = draining.why_not(
            low[0], machines, knobs["drain_age_s"], knobs["drain_lost_s"], now, lambda m: self._needed(m, now)
        )
        if (low[0].name, why) != self.drain_cancelled:
            self.drain_cancelled = (low[0].name, why)
            self.cluster.listener.machine(low[0], "drain cancelled", why, now)

    def _needed(self, machine: Machine, now: float) -> bool:
        """Whether a waiting task would go there; thrifty ones wait for cheaper room."""
        return any(
            machine.has_room(n.job.spec) and allowed_on(n.job.spec, machine.type.name, machine.zone, machine.spot)
            and (machine.spot or not self._thrifty(n.job, now))
            for n in self.needs
        )  # fmt: skip

    def notices(self, now: float) -> None:
        """A spot machine about to be taken is drained; what will finish in time is left alone."""
        for machine in self.cluster.machines.values():
            if machine.notice_at is None:
                continue
            for attempt in list(machine.attempts.values()):
                if attempt.wanted and not self._finishes(attempt, machine.notice_at, now):
                    self.cluster.stop(attempt, attempt.job.spec.save_s, "the cloud takes its machine")

    def _finishes(self, attempt: Attempt, at: float, now: float) -> bool:
        if attempt.job.spec.estimate_s <= 0:
            return False
        began = attempt.running_at if attempt.running_at is not None else now
        return began + attempt.job.spec.estimate_s <= at


def _still(need: Need | None) -> Need | None:
    """What is left of a need of an earlier round; tasks may have been placed or ended since."""
    if need is None or need.job.over or not need.job.waiting:
        return None
    return replace(need, count=min(need.count, len(need.job.waiting)))


def _broken(machine: Machine) -> bool:
    """It takes no tasks any more, whatever waits."""
    return machine.quarantined or machine.notice_at is not None
