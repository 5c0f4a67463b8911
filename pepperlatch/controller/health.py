"""Machines that do not answer: fenced after taking over, asked about when silent, given up in the end."""

import contextlib
import heapq
import logging
import math
from collections import Counter
from collections.abc import Callable

import trio

from pepperlatch.constants import core as c
from pepperlatch.constants import zones as z
from pepperlatch.controller.duty import Duty
from pepperlatch.controller.peers import Peers
from pepperlatch.policy.cancellations import Decision, Seen, decide
from pepperlatch.policy.cluster import SILENT, SILENT_CANCELLED
from pepperlatch.policy.model import Machine, Status
from pepperlatch.policy.zones import Seen as ZoneSeen
from pepperlatch.policy.zones import Zones
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.wire import Report
from pepperlatch.protocol.workers import WorkerClient

log = logging.getLogger(__name__)


class Portion:
    """How many machines of lost zones may be given up in one look: a few at once, and only if room is needed."""

    def __init__(self, zones: Zones, needed: bool) -> None:
        self._zones = zones
        self._left = z.MAX_GIVEN_UP_PER_CHECK if needed else 0

    def allows(self, zone: str) -> bool:
        if not self._zones.cut(zone):
            return True
        self._left -= 1
        return self._left >= 0


class Health:
    def __init__(
        self, duty: Duty, workers: WorkerClient, peers: Peers, on_report: Callable[[Report, float, bool], None]
    ) -> None:  # fmt: skip
        self._duty = duty
        self._workers = workers
        self._peers = peers
        self._on_report = on_report
        self._fencing = trio.CapacityLimiter(c.MAX_CONCURRENT_FENCES)
        self._reached: list[str] = []  # looked up once a look, not once a machine

    # --- fencing ----------------------------------------------------------------------------------

    async def fence(self, machine: Machine) -> None:
        """Show the machine our token, so that no earlier leader can command it any more.

        A bounded number at once: hundreds together would miss their deadlines on our share of a core, be
        tried again, and keep the leader from its lease. What does not answer goes to the end of the line.
        """
        while not self._duty.term.over:
            async with self._fencing:
                if machine.name not in self._duty.cluster.unaccounted or self._duty.term.over:
                    return
                with contextlib.suppress(NotSent, NoUsableResponse):
                    executed, report = await self._show_token(machine, max(1, machine.session))
                    if not executed and report.session != max(1, machine.session):
                        executed, _ = await self._show_token(machine, report.session)
                    if executed:
                        return
            await trio.sleep(c.FENCE_RETRY_S)

    async def _show_token(self, machine: Machine, session: int) -> tuple[bool, Report]:
        """Directly, or through another controller if a cut lies between: its reports are passed on then."""
        through_others, sent = False, self._duty.clock()
        try:
            executed, report = await self._workers.command(
                machine.addr, self._duty.term.token, session, [], c.FENCE_TIMEOUT_S
            )
        except (NotSent, NoUsableResponse):
            machine.fence_failed = True
            fenced = await self._peers.fence(machine.addr, machine.zone, self._duty.term.token, session)
            executed, report, through_others = fenced.executed, fenced.report, True
        self._duty.owner.post(lambda: self._fenced(machine, report, sent, through_others))
        return executed, report

    def _fenced(self, machine: Machine, report: Report, sent: float, through_others: bool) -> None:
        if through_others:
            machine.relay_until = self._duty.clock() + c.FORWARD_PERIOD_S
        self._on_report(report, sent, through_others)

    # --- silence ----------------------------------------------------------------------------------

    def look(self, now: float, sure: bool) -> None:
        cluster, planner = self._duty.cluster, self._duty.planner
        quiet = self._quiet(now)
        self._look_at_zones(quiet, now)
        silent = [m for m in quiet if m.seen_at >= 0 or m.fence_failed or m.name not in cluster.unaccounted]
        if silent:
            self._reached = cluster.last_heard()
        for machine in self._worth_asking(silent):
            if not machine.probing:
                machine.probing = True
                self._duty.spawn(self._probe, machine)
        zones = {m.zone for m in cluster.machines.values()}
        kept_zones = {zone for zone in zones if planner.zones.kept(zone, now)}
        elsewhere = sum(1 for m in silent if m.zone not in kept_zones)
        many = elsewhere > max(1, c.MANY_SILENT_SHARE * len(cluster.machines))
        for machine in cluster.machines.values():
            if machine.status is Status.BOOTING and machine.zone not in kept_zones and self._overdue(machine, now):
                cluster.release(machine, "never came up")
            if machine.unheard >= c.MAX_LOST_LAUNCH_ANSWERS or any(not a.wanted for a in machine.attempts.values()):
                cluster.touched.add(machine)
        if sure:
            self._give_up([machine for machine in quiet if machine.zone not in kept_zones], many, now)
        self._return_cancelled(quiet, kept_zones, sure, now)
        if sure and not cluster.rebuilding():
            for machine in planner.idle(now):
                cluster.release(machine, machine.draining or ("quarantined" if machine.quarantined else "idle"))
        planner.drain(now)
        if now >= planner.look_after and (planner.needs or any(j.waiting for j in cluster.jobs.values())):
            cluster.dirty = True

    def _overdue(self, machine: Machine, now: float) -> bool:
        return now - machine.born > self._duty.cluster.boots.patience_s(machine.type)

    def _give_up(self, quiet: list[Machine], many: bool, now: float) -> None:
        """Of those that were not heard of for long."""
        planner = self._duty.planner
        portion = Portion(planner.zones, bool(planner.needs))
        for machine in quiet:
            if self._given_up(machine, many, now) and portion.allows(machine.zone):
                self._duty.cluster.release(machine, SILENT)

    def _look_at_zones(self, quiet: list[Machine], now: float) -> None:
        cluster, settings = self._duty.cluster, self._duty.settings
        up = Counter(m.zone for m in cluster.machines.values() if m.status is Status.UP)
        lost = Counter(m.zone for m in quiet)
        answers: dict[str, bool] = {settings.zone: True}
        for peer in settings.peers:
            heard_at = max(cluster.peer_heard.get(peer.node, cluster.started), cluster.started)
            answers[peer.zone] = answers.get(peer.zone, False) or now - heard_at <= z.CONTROLLER_ANSWER_VALID_S
        for zone in settings.params.zones:
            self._duty.planner.look_at_zone(zone, ZoneSeen(up[zone], lost[zone], answers.get(zone)), now)

    def _worth_asking(self, silent: list[Machine]) -> list[Machine]:
        """All, but a few only of a zone that is cut off: those that were asked least."""
        zones, out = self._duty.planner.zones, []
        cut: dict[str, list[Machine]] = {}
        for machine in silent:
            if zones.cut(machine.zone) and machine.name not in self._duty.cluster.unaccounted:
                cut.setdefault(machine.zone, []).append(machine)
            else:
                out.append(machine)
        for machines in cut.values():
            out += heapq.nsmallest(z.PROBES_PER_CHECK, machines, key=lambda m: (m.probes + m.probes_unheard, m.name))
        return out

    def _quiet(self, now: float) -> list[Machine]:
        """Not heard of for long; sooner right after taking over, for fencing asks every machine.

        Hundreds are fenced one after the other: one whose turn has not come tells of its zone, but not of itself.
        """
        cluster, report_s = self._duty.cluster, self._duty.settings.params.workers.report_s
        least_s = min(c.FENCE_SILENT_S, c.SILENT_REPORTS * report_s)
        out = []
        for machine in cluster.machines.values():
            if machine.status is not Status.UP or now - machine.seen_at <= least_s:
                continue
            fenced = machine.seen_at < 0 and machine.name in cluster.unaccounted
            patience_s = c.FENCE_SILENT_S if fenced else c.SILENT_REPORTS * report_s
            if now - max(machine.seen_at, cluster.started) > patience_s:
                out.append(machine)
        return out

    def _given_up(self, machine: Machine, many: bool, now: float) -> bool:
        """Silent machines are given up one by one; many at once mean that the network is at fault.

        While no other controller can be asked, a cut looks like a dead machine: then only the end of its
        lease decides, after which nothing runs there any more.
        """
        if now - max(machine.seen_at, self._duty.cluster.started) > c.MAX_SILENCE_S:
            return True
        fenced = machine.seen_at < 0  # two tries to fence it came before
        asked = machine.probes >= (1 if fenced else c.MAX_UNANSWERED_PROBES)
        return not many and (asked or (machine.probes_unheard > 0 and self._duty.cluster.lease_over(machine, now)))

    def _return_cancelled(self, quiet: list[Machine], kept_zones: set[str], sure: bool, now: float) -> None:
        """Silent machines that may hold a cancelled task are returned in time, however many are silent.

        Also those whose return was decided for another reason, and may not be sent while the lease is unsure.
        """
        cluster, workers = self._duty.cluster, self._duty.settings.params.workers
        seen = Seen(cluster.started, sure, self._heard_at(), kept_zones)
        departed_since = cluster.departed_since(now)
        leaving = [cluster.machines[name] for name in cluster.to_release if name in cluster.machines]
        for machine in [*quiet, *leaving]:
            since = cluster.cancelled_since(machine, departed_since)
            decision = decide(machine, since, seen, workers, now)
            self._log_kept(machine, since, decision, now)
            if decision is Decision.RETURN:
                machine.return_needs_lease = False
                cluster.release(machine, SILENT_CANCELLED)

    def _heard_at(self) -> float:
        """When a machine or another controller was last heard of."""
        machines = (machine.reached_at for machine in self._duty.cluster.machines.values())
        return max([*machines, *self._duty.cluster.peer_heard.values()], default=-math.inf)

    def _log_kept(self, machine: Machine, since: float, decision: Decision, now: float) -> None:
        """Say what is decided of a machine that may hold a cancelled task: once, and when that changes."""
        if decision is Decision.NOTHING or decision.value == machine.kept_because:
            return
        machine.kept_because = decision.value
        log.info(
            "%s may hold a task cancelled %.1f s ago, is silent for %.1f s: %s",
            machine.name, now - since, now - machine.seen_at, decision.value, extra={"machine": machine.name},
        )  # fmt: skip

    async def _probe(self, machine: Machine) -> None:
        report: Report | None = None
        sent = self._duty.clock()
        with contextlib.suppress(NotSent, NoUsableResponse):
            report = await self._workers.inspect(machine.addr)
        through_others, heard = False, True
        if report is None and (machine.probes + 1 >= c.MAX_UNANSWERED_PROBES or machine.seen_at < 0):
            report, heard = await self._peers.inspect(machine.addr, self._reached)
            through_others = report is not None
        self._duty.owner.post(lambda: self._probed(machine, report, sent, through_others, heard))

    def _probed(
        self, machine: Machine, report: Report | None, sent: float, through_others: bool, heard: bool
    ) -> None:  # fmt: skip
        machine.probing = False
        if through_others:  # its reports are passed on, see Cluster.relayed
            machine.relay_until = self._duty.clock() + c.FORWARD_PERIOD_S
        machine.probes += heard
        machine.probes_unheard += not heard
        if report is not None:
            machine.probes = machine.probes_unheard = 0
            self._on_report(report, sent, through_others)
