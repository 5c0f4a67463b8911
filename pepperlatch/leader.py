"""What a node does while it leads: carries out what the cluster and the planner decide."""

import contextlib
import logging
from collections.abc import Callable
from typing import Any

import trio

from pepperlatch import constants as c
from pepperlatch import fleet, store, wire
from pepperlatch.cloud import CloudClient, CloudTrouble, NoCapacity
from pepperlatch.cluster import SILENT, Cluster
from pepperlatch.fleet import Offer
from pepperlatch.http.client import Lost, NotSent
from pepperlatch.leadership import Term
from pepperlatch.model import Job, Machine, Status
from pepperlatch.owner import Owner, Reply
from pepperlatch.peers import Peers
from pepperlatch.planner import Planner
from pepperlatch.settings import Settings
from pepperlatch.state import Away, StateClient, Unsure
from pepperlatch.store import Replica
from pepperlatch.tuning import Tuning
from pepperlatch.wire import JobState, Report
from pepperlatch.workers import WorkerClient
from pepperlatch.writer import Write, Writer

log = logging.getLogger(__name__)
Clock = Callable[[], float]
BeatAnswer = dict[str, Any] | None


class Leader:
    """Lives for one term. All methods run in the owner; coroutines post their results back to it."""

    def __init__(
        self, settings: Settings, term: Term, replica: Replica, state: StateClient, cloud: CloudClient,
        workers: WorkerClient, owner: Owner, clock: Clock, wall: Clock, peers: Peers,
    ) -> None:  # fmt: skip
        self.settings = settings
        self.term = term
        self._replica = replica
        self._state = state
        self._cloud = cloud
        self._workers = workers
        self._owner = owner
        self._clock = clock
        self._wall = wall
        self._peers = peers
        now = clock()
        self.cluster = Cluster(settings.node, term.token, settings.params, now, term.hold_s, self._spec_if_over)
        self.planner = Planner(self.cluster, Tuning(replica.tuning[0]))
        self._tuning_version = replica.tuning[1]
        self.writer = Writer(state, term, settings.params.state.txn_ops)
        self.ready = False
        self._beats: list[tuple[Machine, int, Reply[BeatAnswer]]] = []
        self._hires = 0
        self._hire_of: dict[str, set[str]] = {}  # hire record -> its machines that are not recorded yet
        self._persist_at = 0.0
        self._rented_at = 0.0
        self._plan_after = 0.0
        self._fencing = trio.CapacityLimiter(c.FENCE_AT_ONCE)
        self._housekeep_at = 0.0
        self.nursery: trio.Nursery | None = None

    # --- life -------------------------------------------------------------------------------------

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            fleet_pairs = await self._read_fleet()
            if fleet_pairs is None:
                return
            self._owner.post(lambda: self._start(fleet_pairs))
            for task in (self.writer.run, self._types_loop, self._list_loop, self._release_loop):
                nursery.start_soon(task)
            while not self.term.over:
                await trio.sleep(c.TICK_S / 2)
            nursery.cancel_scope.cancel()

    async def _read_fleet(self) -> list[wire.KeyValue] | None:
        while not self.term.over:
            try:
                if self._replica.revision >= self.term.token:
                    return (await self._state.read_all(store.FLEET))[1]
            except (Away, Unsure):
                pass
            await trio.sleep(c.WATCH_GAP_S)
        return None

    def _start(self, pairs: list[wire.KeyValue]) -> None:
        """Take over: all that is recorded is loaded, then every machine fenced."""
        now = self._clock()
        cluster = self.cluster
        cluster.types = {kind.name: kind for kind in self._replica.types}
        for job_id, entry in self._replica.jobs.items():
            if entry.state not in wire.FINAL:
                self._add_job(job_id)
        for pair in pairs:
            if pair.key.startswith(store.MACHINE):
                self._load_machine(pair.key[len(store.MACHINE) :], wire.convert(pair.value, store.MachineRecord), now)
        for pair in pairs:
            if pair.key.startswith(store.HIRE):
                self._repeat_hire(pair.key[len(store.HIRE) :], wire.convert(pair.value, store.HireRecord))
        self.ready = True
        log.info("took over with %d machines, %d jobs", len(cluster.machines), len(cluster.jobs))

    def _load_machine(self, name: str, record: store.MachineRecord, now: float) -> None:
        kind = self.cluster.types.get(record.type)
        if kind is None:
            log.error("machine %s is of unknown type %s: returned", name, record.type)
            self.cluster.unaccounted.add(name)  # it may run tasks until it is gone
            self.cluster.to_release.add(name)
            return
        machine = Machine(name, kind, record.zone, record.spot, record.addr, Status.UP, now, draining=record.draining)
        machine.up_at = machine.idle_since = now
        machine.listed = True
        self.cluster.machines[name] = machine
        self.cluster.unaccounted.add(name)
        self._spawn(self._fence, machine)

    def _spawn(self, task: Callable[..., Any], *args: Any) -> None:
        if self.nursery is not None and not self.term.over:
            self.nursery.start_soon(task, *args)

    async def _fence(self, machine: Machine) -> None:
        """Show the machine our token, so that no earlier leader can command it any more.

        A bounded number at once: hundreds together would miss their deadlines on our share of a core, be
        tried again, and keep the leader from its lease. What does not answer goes to the end of the line.
        """
        while not self.term.over:
            async with self._fencing:
                if machine.name not in self.cluster.unaccounted or self.term.over:
                    return
                with contextlib.suppress(NotSent, Lost):
                    executed, report = await self._show_token(machine, max(1, machine.session))
                    if not executed and report.session != max(1, machine.session):
                        executed, _ = await self._show_token(machine, report.session)
                    if executed:
                        return
            await trio.sleep(c.FENCE_PAUSE_S)

    async def _show_token(self, machine: Machine, session: int) -> tuple[bool, Report]:
        """Directly, or through another controller if a cut lies between: its reports are passed on then."""
        through_others = False
        try:
            executed, report = await self._workers.command(machine.addr, self.term.token, session, [], c.FENCE_TRY_S)
        except (NotSent, Lost):
            fenced = await self._peers.fence(machine.addr, machine.zone, self.term.token, session)
            executed, report, through_others = fenced.executed, fenced.report, True
        self._owner.post(lambda: self._fenced(machine, report, through_others))
        return executed, report

    def _fenced(self, machine: Machine, report: Report, through_others: bool) -> None:
        if through_others:
            machine.relay_until = self._clock() + c.RELAY_STICKY_S
        self._direct_report(report)

    # --- jobs -------------------------------------------------------------------------------------

    def _spec_if_over(self, job_id: str) -> wire.JobSpec | None:
        entry = self._replica.jobs.get(job_id)
        return entry.record.spec if entry is not None and entry.state in wire.FINAL else None

    def _add_job(self, job_id: str) -> None:
        entry = self._replica.jobs[job_id]
        if entry.record.spec is None:
            return
        chunks = self._replica.done.get(job_id, {})
        done = {task for chunk, (bits, _) in chunks.items() for task in store.done_tasks(bits, chunk)}
        submitted = self._clock() - max(0.0, self._wall() - entry.record.at)
        spec = entry.record.spec
        self.cluster.add_job(spec, entry.version, submitted, done)
        log.info("job %s: %s %s of %d x %g cpus", job_id, spec.priority.name.lower(), spec.kind.name.lower(), spec.tasks, spec.cpus)

    def on_jobs(self, touched: set[str]) -> None:
        """The watch has shown changes of these jobs."""
        if not self.ready:
            return
        for job_id in touched:
            entry = self._replica.jobs[job_id]
            known = self.cluster.jobs.get(job_id)
            if entry.state in wire.FINAL:
                self.cluster.end_job(job_id, self._clock())
            elif known is None:
                self._add_job(job_id)
            else:
                known.version = entry.version
        if self._replica.tuning[1] != self._tuning_version:
            self._tuning_version = self._replica.tuning[1]
            self.planner.tuning = Tuning(self._replica.tuning[0])

    # --- reports ----------------------------------------------------------------------------------

    def on_beat(self, report: Report, reply: Reply[BeatAnswer]) -> None:
        now = self._clock()
        if not self.ready or not self.term.may_answer(now):
            reply.give(None)
            return
        machine = self.cluster.on_report(report, now, beat=True)
        self._after_report()
        if machine is None:
            reply.give(None)
            return
        self._beats.append((machine, report.seq, reply))

    def _direct_report(self, report: Report) -> None:
        self.cluster.on_report(report, self._clock(), beat=False)
        self._after_report()

    def _after_report(self) -> None:
        if self.cluster.higher_token:
            log.info("a worker has seen a higher token than %d", self.term.token)
            self.term.over = True

    # --- after every batch ------------------------------------------------------------------------

    def settle(self) -> None:
        if not self.ready or self.term.over:
            self._refuse_beats()
            return
        now = self._clock()
        sure, may = self.term.sure(now), self.term.may_answer(now)
        if now - self._housekeep_at >= c.TICK_S:
            self._housekeep_at = now
            self.cluster.expire(now)
            self._housekeep(now, sure)
        if self.cluster.dirty and may and now >= self._plan_after:
            self._plan(now, sure)
        self._answer_beats(now, sure, may)
        if may:
            self._send_direct(now)
        if sure:
            self._persist(now)
            self._record(now)

    def _plan(self, now: float, sure: bool) -> None:
        """A long round is followed by a long rest: reports and leases come before planning."""
        self.planner.notices(now)
        self.planner.place_all(now)
        self.planner.preempt(now)
        if sure and now - self._rented_at >= c.RENT_GAP_S:
            self._rented_at = now
            self._rent(now)
        took = self._clock() - now
        self._plan_after = now + took + max(c.PLAN_GAP_S, c.PLAN_REST * took)
        if took > c.PLAN_LONG_S:
            log.info("a round of planning took %.3f s", took)

    def _refuse_beats(self) -> None:
        beats, self._beats = self._beats, []
        for _, _, reply in beats:
            reply.give(None)

    def _answer_beats(self, now: float, sure: bool, may: bool) -> None:
        beats, self._beats = self._beats, []
        for machine, seq, reply in beats:
            if not may:
                reply.give(None)
                continue
            machine.answered_at = now
            orders = self.cluster.orders_for_beat(machine, sure, now) if seq == machine.seq else []
            reply.give(wire.report_answer(self.term.token, orders))

    def _send_direct(self, now: float) -> None:
        touched, self.cluster.touched = self.cluster.touched, set()
        for machine in touched:
            if machine.status is not Status.UP or machine.name in self.cluster.unaccounted:
                continue
            if machine.sending or now < machine.send_after:
                self.cluster.touched.add(machine)
                continue
            orders, launched = self.cluster.orders_direct(machine, now)
            if orders:
                machine.sending = True
                self._spawn(self._command, machine, orders, launched)

    async def _command(self, machine: Machine, orders: list[dict[str, Any]], launched: list[Any]) -> None:
        executed: bool | None = None
        report: Report | None = None
        pause = 0.0
        try:
            executed, report = await self._workers.command(machine.addr, self.term.token, machine.session, orders)
        except NotSent:
            executed, pause = False, c.COMMAND_S / 2
        except Lost:
            pause = c.COMMAND_S
        self._owner.post(lambda: self._commanded(machine, report, launched, executed, pause))

    def _commanded(self, machine: Machine, report: Report | None, launched: list[Any], executed: bool | None, pause: float) -> None:
        now = self._clock()
        machine.sending = False
        machine.send_after = now + pause
        if report is not None:
            self._direct_report(report)
        self.cluster.direct_result(machine, launched, executed, now)
        self.cluster.touched.add(machine)

    # --- what lasts -------------------------------------------------------------------------------

    def _record(self, now: float) -> None:
        for machine in self.cluster.to_record:
            record = store.MachineRecord(machine.addr, machine.type.name, machine.zone, machine.spot, machine.draining)
            self.writer.add(Write([wire.put(store.MACHINE + machine.name, wire.to_plain(record))], lambda ok, m=machine: self._recorded(m, ok)))  # type: ignore[misc]
        self.cluster.to_record.clear()

    def _recorded(self, machine: Machine, applied: bool) -> None:
        self._owner.post(lambda: self._now_recorded(machine.name))

    def _now_recorded(self, name: str) -> None:
        self.cluster.recorded(name, self._clock())
        self._off_hire(name)

    def _off_hire(self, name: str) -> None:
        """A hire's record goes once all its machines are recorded themselves, or gone."""
        for hire, names in list(self._hire_of.items()):
            names.discard(name)
            if not names:
                del self._hire_of[hire]
                self.writer.add(Write([wire.delete(store.HIRE + hire)], lambda ok: None))

    def _persist(self, now: float) -> None:
        if not self.cluster.unsaved:
            return
        partly = now - self._persist_at >= c.PERSIST_GAP_S
        for job_id in list(self.cluster.unsaved):
            job = self.cluster.jobs.get(job_id)
            if job is None or job.over:
                self.cluster.unsaved.discard(job_id)
            elif job.finishing:
                continue
            elif len(job.done) == job.spec.tasks:
                self._finish(job)
            elif partly and len(job.saved) < len(job.done):
                self._persist_at = now
                self._save_tasks(job)

    def _finish(self, job: Job) -> None:
        """The job is over; nobody is told before the state service holds that."""
        job_id = job.spec.id
        job.finishing = True
        record = store.JobRecord(JobState.DONE.value, tasks=job.spec.tasks)
        changes = [wire.put(store.JOB + job_id, wire.to_plain(record))]
        changes += [wire.delete(store.done_key(job_id, chunk)) for chunk in self._replica.done.get(job_id, {})]

        def done(applied: bool) -> None:
            log.info("job %s done%s", job_id, "" if applied else ", but it was changed meanwhile")
            job.finishing = False

        self.writer.add(Write(changes, done, [wire.when(store.JOB + job_id, job.version)]))
        self.cluster.unsaved.discard(job_id)

    def _save_tasks(self, job: Job) -> None:
        """Each chunk is conditional on its version, so that a late older write cannot undo a newer."""
        job_id = job.spec.id
        job.finishing = True
        tasks = set(job.done)
        chunks = {task // c.BITMAP_CHUNK_TASKS for task in tasks - job.saved}
        held = self._replica.done.get(job_id, {})
        when = [wire.when(store.done_key(job_id, n), held[n][1] if n in held else 0) for n in chunks]
        changes = [wire.put(store.done_key(job_id, n), store.bitmap(tasks, n)) for n in chunks]

        def done(applied: bool) -> None:
            self._owner.post(lambda: self._saved(job, tasks if applied else set()))

        self.writer.add(Write(changes, done, when))

    def _saved(self, job: Job, tasks: set[int]) -> None:
        job.finishing = False
        for chunk, (bits, _) in self._replica.done.get(job.spec.id, {}).items():
            tasks |= store.done_tasks(bits, chunk)
        job.saved |= tasks
        job.done |= tasks
        if len(job.saved) < len(job.done) or len(job.done) == job.spec.tasks:
            self.cluster.unsaved.add(job.spec.id)
        else:
            self.cluster.unsaved.discard(job.spec.id)

    # --- renting ----------------------------------------------------------------------------------

    def _rent(self, now: float) -> None:
        chosen = self.planner.rent(now)
        for offer in set(chosen):
            self._hire(offer, chosen.count(offer))

    def _hire(self, offer: Offer, count: int) -> None:
        """The request's name is recorded first: its machines can then never be forgotten."""
        self._hires += 1
        name = f"{self.settings.node}-{self.term.token}-{self._hires}"
        self.planner.asked[offer] += count
        record = store.HireRecord(offer.type, offer.zone, offer.spot, count)
        self._hire_of[name] = {""}

        def recorded(applied: bool) -> None:
            self._spawn(self._ask, name, record)

        self.writer.add(Write([wire.put(store.HIRE + name, wire.to_plain(record))], recorded))

    def _repeat_hire(self, name: str, record: store.HireRecord) -> None:
        """An earlier leader's hire: asking again gives the same answer, or rents what it wanted."""
        offer = Offer(record.type, record.zone, record.spot)
        if record.type in self.cluster.types:
            self.planner.asked[offer] += record.count
        self._hire_of[name] = {""}
        self._spawn(self._ask, name, record)

    async def _ask(self, name: str, record: store.HireRecord) -> None:
        offer = Offer(record.type, record.zone, record.spot)
        names: list[str] | None = []
        while not self.term.over:
            while not self.term.sure(self._clock()):
                await trio.sleep(c.STATE_RETRY_S)
                if self.term.over:
                    return
            try:
                names = await self._cloud.hire(name, record.type, record.zone, record.spot, record.count)
            except NoCapacity:
                names = None
            except CloudTrouble as error:
                log.info("hire %s: %s", name, error)
                await trio.sleep(c.CLOUD_RETRY_S)
                continue
            break
        self._owner.post(lambda: self._hired(name, offer, record.count, names))

    def _hired(self, hire: str, offer: Offer, count: int, names: list[str] | None) -> None:
        now = self._clock()
        self.planner.asked[offer] -= count
        if self.planner.asked[offer] <= 0:
            del self.planner.asked[offer]
        if names is None or len(names) < count:
            self.planner.refused(offer, now)
        else:
            self.planner.granted(offer)
        kind = self.cluster.types.get(offer.type)
        log.info("hired %s of %d: %s %s%s", names, count, offer.type, offer.zone, " spot" if offer.spot else "")
        fresh = {""}
        for name in names or []:
            known = self.cluster.machines.get(name)
            if kind is None or name in self.cluster.gone or (known is not None and known.status is not Status.BOOTING):
                continue
            fresh.add(name)
            if known is None:
                self.cluster.machines[name] = Machine(name, kind, offer.zone, offer.spot, "", Status.BOOTING, now)
        self._hire_of[hire] = fresh
        self._off_hire("")
        self.cluster.dirty = True

    # --- the cloud's other calls ------------------------------------------------------------------

    async def _types_loop(self) -> None:
        while not self.term.over:
            try:
                types = await self._cloud.types()
                self._owner.post(lambda t=types: self._on_types(t))  # type: ignore[misc]
                await trio.sleep(c.PRICES_EVERY_S)
            except CloudTrouble:
                await trio.sleep(c.CLOUD_RETRY_S)

    def _on_types(self, types: list[wire.MachineType]) -> None:
        """Machine types are kept for nodes that start while the cloud is away."""
        for kind in types:
            known = self.cluster.types.get(kind.name)
            if known is not None:
                known.price, known.spot_price, known.zones = kind.price, kind.spot_price, kind.zones
            else:
                self.cluster.types[kind.name] = kind
                self.cluster.dirty = True
        held = {kind.name: kind.zones for kind in self._replica.types}
        if held != {kind.name: kind.zones for kind in types}:
            self.writer.add(Write([wire.put(store.TYPES, {"types": wire.to_plain(types)})], lambda ok: None))

    async def _list_loop(self) -> None:
        while not self.term.over:
            try:
                listed = await self._cloud.machines()
                self._owner.post(lambda x=listed: self._on_list(x))  # type: ignore[misc]
            except CloudTrouble as error:
                log.info("machine list: %s", error)
            await trio.sleep(c.CLOUD_LIST_EVERY_S)

    def _on_list(self, listed: list[wire.Listed]) -> None:
        now = self._clock()
        names = {item.name for item in listed}
        for item in listed:
            machine = self.cluster.machines.get(item.name)
            kind = self.cluster.types.get(item.type)
            if machine is None and kind is not None and item.name not in self.cluster.gone:
                log.info("unexpected machine %s in the list", item.name)
                machine = Machine(item.name, kind, item.zone, item.spot, item.addr or "", Status.BOOTING, now - item.age_s)
                self.cluster.machines[item.name] = machine
                self.cluster.dirty = True
            if machine is not None:
                machine.listed = True
                if item.state == wire.FAILED:
                    self.cluster.release(machine, "failed")
        lag = self.settings.params.cloud.list_lag_s * c.LIST_LAG_TIMES + c.CLOUD_LIST_EVERY_S
        for machine in list(self.cluster.machines.values()):
            if machine.name not in names and machine.status is Status.BOOTING and (machine.listed or now - machine.born > 2 * lag):
                self.cluster.release(machine, "not listed any more")

    async def _release_loop(self) -> None:
        while not self.term.over:
            await trio.sleep(c.TICK_S / 5)
            names = sorted(self.cluster.to_release)[: c.RELEASE_MOST]
            if not names or not self.term.sure(self._clock()):
                continue
            self.cluster.releasing.update(names)
            try:
                await self._cloud.release(names)
                self._owner.post(lambda x=names: self._released(x))  # type: ignore[misc]
                self.cluster.to_release.difference_update(names)
            except CloudTrouble as error:
                log.info("release: %s", error)
                await trio.sleep(c.CLOUD_RETRY_S)

    def _released(self, names: list[str]) -> None:
        now = self._clock()
        for name in names:
            machine = self.cluster.machines.get(name)
            if machine is not None:
                self.planner.granted(Offer(machine.type.name, machine.zone, machine.spot))
            self.cluster.remove_machine(name, now)
            self.writer.add(Write([wire.delete(store.MACHINE + name)], lambda ok: None))
            self._off_hire(name)

    # --- housekeeping -----------------------------------------------------------------------------

    def _housekeep(self, now: float, sure: bool) -> None:
        cluster, planner = self.cluster, self.planner
        silent = self._silent(now)
        for machine in silent:
            if not machine.probing:
                machine.probing = True
                self._spawn(self._probe, machine)
        many = len(silent) > max(1, c.SILENT_MANY_SHARE * len(cluster.machines))
        for machine in cluster.machines.values():
            overdue = machine.status is Status.BOOTING and now - machine.born > fleet.patience_s(machine.type)
            if overdue:
                cluster.release(machine, "never came up")
            elif machine.status is Status.UP and sure and self._given_up(machine, many, now):
                cluster.release(machine, SILENT)
            if any(not a.wanted for a in machine.attempts.values()):
                cluster.touched.add(machine)
        if sure and not cluster.rebuilding():
            for machine in planner.idle(now):
                cluster.release(machine, machine.draining or ("quarantined" if machine.quarantined else "idle"))
        planner.drain(now)
        if planner.needs or any(j.waiting for j in cluster.jobs.values()):
            cluster.dirty = True

    def _silent(self, now: float) -> list[Machine]:
        """Not heard of for long. Right after taking over, fencing has just asked every machine: those are silent sooner."""
        cluster, report_s = self.cluster, self.settings.params.workers.report_s
        out = []
        for machine in cluster.machines.values():
            if machine.status is not Status.UP:
                continue
            fenced = machine.seen_at < 0 and machine.name in cluster.unaccounted
            patience_s = c.FENCE_SILENT_S if fenced else c.SILENT_REPORTS * report_s
            if now - max(machine.seen_at, cluster.started) > patience_s:
                out.append(machine)
        return out

    def _given_up(self, machine: Machine, many: bool, now: float) -> bool:
        """Silent machines are given up one by one; many at once mean that the network is at fault."""
        if now - max(machine.seen_at, self.cluster.started) > c.SILENT_LONG_S:
            return True
        fenced = machine.seen_at < 0  # two tries to fence it came before
        return machine.probes >= (1 if fenced else c.SILENT_PROBES) and not many

    async def _probe(self, machine: Machine) -> None:
        report: Report | None = None
        with contextlib.suppress(NotSent, Lost):
            report = await self._workers.inspect(machine.addr)
        through_others, heard = False, True
        if report is None and (machine.probes + 1 >= c.SILENT_PROBES or machine.seen_at < 0):
            report, heard = await self._peers.inspect(machine.addr)
            through_others = report is not None
        self._owner.post(lambda: self._probed(machine, report, through_others, heard))

    def _probed(self, machine: Machine, report: Report | None, through_others: bool, heard: bool) -> None:
        machine.probing = False
        if through_others:  # its reports are passed on, see Cluster.relayed
            machine.relay_until = self._clock() + c.RELAY_STICKY_S
        if heard or machine.seen_at >= 0:  # right after a crash of all, nobody is there to be asked yet
            machine.probes += 1
        if report is not None:
            machine.probes = 0
            self._direct_report(report)
