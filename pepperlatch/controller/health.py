"""Fencing of machines after taking over, and probing, giving up and returning of machines that fall silent.

A machine is "late" if it is up and no report of it has come for several report intervals. It is "silent" if it is late
and not just waiting for its first fencing after a takeover. To give a machine up is to release it: its tasks are
started elsewhere and the cloud is asked to take it back.
"""

import contextlib
import heapq
import logging
import math
from collections import Counter
from collections.abc import Callable

import trio

from pepperlatch.constants import core as c
from pepperlatch.constants import zones as z
from pepperlatch.controller.leader_context import LeaderContext
from pepperlatch.controller.peers import PeerProxy
from pepperlatch.policy.cancellations import Decision, LeaderView, decide
from pepperlatch.policy.cluster import SILENT, SILENT_CANCELLED
from pepperlatch.policy.model import Machine, Status
from pepperlatch.policy.zones import ZoneObservation, ZoneTracker
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.wire import Report
from pepperlatch.protocol.workers import WorkerClient

log = logging.getLogger(__name__)


class LostZoneBudget:
    """Limits how many machines of cut-off zones are given up in one check: a few, and none unless room is needed."""

    def __init__(self, zones: ZoneTracker, needed: bool) -> None:
        self._zones = zones
        self._left = z.MAX_GIVEN_UP_PER_CHECK if needed else 0

    def allows(self, zone: str) -> bool:
        """Return whether one more machine of the zone may be given up, and count it."""
        if not self._zones.partitioned(zone):
            return True
        self._left -= 1
        return self._left >= 0


class Health:
    """Watches the machines during one term; `check` runs in the command loop, coroutines enqueue their results there.

    `on_report(report, sent_at, through_others)` takes in a report that this asked for: when the request was sent, in
    seconds of the steady clock, and whether another controller forwarded it.
    """

    def __init__(
        self, context: LeaderContext, workers: WorkerClient, peers: PeerProxy,
        on_report: Callable[[Report, float, bool], None],
    ) -> None:  # fmt: skip
        self._context = context
        self._workers = workers
        self._peers = peers
        self._on_report = on_report
        self._fencing = trio.CapacityLimiter(c.MAX_CONCURRENT_FENCES)
        self._witnesses: list[str] = []  # addresses that other controllers try, to know whether they are cut off

    # --- fencing ----------------------------------------------------------------------------------

    async def fence(self, machine: Machine) -> None:
        """Show the machine this term's token, so that no earlier leader can command it; retry until that succeeds.

        At most `MAX_CONCURRENT_FENCES` run at once. Hundreds would miss their deadlines on the leader's share of a
        core, be retried, and keep the leader from renewing its lease. A machine that does not answer goes to the end of
        the queue.
        """
        while not self._context.term.over:
            async with self._fencing:
                if machine.name not in self._context.cluster.unverified or self._context.term.over:
                    return
                with contextlib.suppress(NotSent, NoUsableResponse):
                    session = max(1, machine.session)
                    executed, report = await self._show_token(machine, session)
                    if not executed and report.session != session:
                        executed, _ = await self._show_token(machine, report.session)
                    if executed:
                        return
            await trio.sleep(c.FENCE_RETRY_S)

    async def _show_token(self, machine: Machine, session: int) -> tuple[bool, Report]:
        """Show this term's token directly, or else through another controller.

        Another controller that succeeds then forwards the machine's reports. Returns whether the worker executed the
        command, and its report. Raises NoUsableResponse if no controller reaches the machine.

        """
        through_others, sent = False, self._context.clock()
        try:
            executed, report = await self._workers.command(
                machine.addr, self._context.term.token, session, [], c.FENCE_TIMEOUT_S
            )
        except (NotSent, NoUsableResponse):
            machine.fence_failed = True
            fenced = await self._peers.fence(machine.addr, machine.zone, self._context.term.token, session)
            executed, report, through_others = fenced.executed, fenced.report, True
        self._context.command_loop.enqueue(lambda: self._on_fence_result(machine, report, sent, through_others))
        return executed, report

    def _on_fence_result(self, machine: Machine, report: Report, sent: float, through_others: bool) -> None:
        if through_others:
            machine.forwarding_until = self._context.clock() + c.FORWARD_PERIOD_S
        self._on_report(report, sent, through_others)

    # --- silent machines --------------------------------------------------------------------------

    def check(self, now: float, lease_valid: bool) -> None:
        """Probe silent machines, and release those that are to be given up, returned, or are idle.

        Called every `TICK_S` by the leader. While the lease is not valid, only machines that may hold a cancelled task
        are released, and those that never came up.
        """
        cluster, planner = self._context.cluster, self._context.planner
        late = self._late_machines(now)
        self._update_zones(late, now)
        silent = [m for m in late if m.last_report_at >= 0 or m.fence_failed or m.name not in cluster.unverified]
        if silent:
            self._witnesses = cluster.latest_reporters()
        for machine in self._worth_probing(silent):
            if not machine.probing:
                machine.probing = True
                self._context.spawn(self._probe, machine)
        zones = {m.zone for m in cluster.machines.values()}
        kept_zones = {zone for zone in zones if planner.zones.keeps_machines(zone, now)}
        elsewhere = sum(1 for m in silent if m.zone not in kept_zones)
        many_silent = elsewhere > max(1, c.MANY_SILENT_SHARE * len(cluster.machines))
        for machine in cluster.machines.values():
            if machine.status is Status.BOOTING and machine.zone not in kept_zones and self._boot_overdue(machine, now):
                cluster.release(machine, "never came up")
            if machine.lost_answers >= c.MAX_LOST_LAUNCH_ANSWERS or any(
                not a.wanted for a in machine.attempts.values()
            ):
                cluster.machines_to_command.add(machine)
        if lease_valid:
            self._give_up([machine for machine in late if machine.zone not in kept_zones], many_silent, now)
        self._return_cancelled(late, kept_zones, lease_valid, now)
        if lease_valid and not cluster.rebuilding():
            for machine in planner.machines_to_return(now):
                cluster.release(machine, machine.draining or ("quarantined" if machine.quarantined else "idle"))
        planner.start_drain(now)
        if now >= planner.replan_after and (planner.demands or any(j.waiting for j in cluster.jobs.values())):
            cluster.dirty = True

    def _boot_overdue(self, machine: Machine, now: float) -> bool:
        return now - machine.created_at > self._context.cluster.boot_times.give_up_after_s(machine.type)

    def _give_up(self, late: list[Machine], many_silent: bool, now: float) -> None:
        """Release those of the late machines that are to be given up."""
        planner = self._context.planner
        budget = LostZoneBudget(planner.zones, bool(planner.demands))
        for machine in late:
            if self._should_give_up(machine, many_silent, now) and budget.allows(machine.zone):
                self._context.cluster.release(machine, SILENT)

    def _update_zones(self, late: list[Machine], now: float) -> None:
        """Tell the planner for each zone how many machines are up and late, and whether a controller there answers."""
        cluster, settings = self._context.cluster, self._context.settings
        up = Counter(m.zone for m in cluster.machines.values() if m.status is Status.UP)
        lost = Counter(m.zone for m in late)
        answers: dict[str, bool] = {settings.zone: True}
        for peer in settings.peers:
            heard_at = max(cluster.peer_answered_at.get(peer.node, cluster.started), cluster.started)
            answers[peer.zone] = answers.get(peer.zone, False) or now - heard_at <= z.CONTROLLER_ANSWER_VALID_S
        for zone in settings.params.zones:
            self._context.planner.observe_zone(zone, ZoneObservation(up[zone], lost[zone], answers.get(zone)), now)

    def _worth_probing(self, silent: list[Machine]) -> list[Machine]:
        """Return all silent machines, but only a few in each cut-off zone: those with the fewest probes so far."""
        zones, out = self._context.planner.zones, []
        cut: dict[str, list[Machine]] = {}
        for machine in silent:
            if zones.partitioned(machine.zone) and machine.name not in self._context.cluster.unverified:
                cut.setdefault(machine.zone, []).append(machine)
            else:
                out.append(machine)
        for machines in cut.values():
            out += heapq.nsmallest(z.PROBES_PER_CHECK, machines, key=lambda m: (m.probes + m.isolated_probes, m.name))
        return out

    def _late_machines(self, now: float) -> list[Machine]:
        """Return the late machines; one that is being fenced and has not reported in this term is late sooner.

        Fencing asks every machine, hundreds one after the other. A machine that has not been tried yet counts in the
        state of its zone, but is not treated as silent itself.
        """
        cluster, report_s = self._context.cluster, self._context.settings.params.workers.report_s
        least_s = min(c.FENCE_SILENT_S, c.SILENT_REPORTS * report_s)
        out = []
        for machine in cluster.machines.values():
            if machine.status is not Status.UP or now - machine.last_report_at <= least_s:
                continue
            fenced = machine.last_report_at < 0 and machine.name in cluster.unverified
            limit_s = c.FENCE_SILENT_S if fenced else c.SILENT_REPORTS * report_s
            if now - max(machine.last_report_at, cluster.started) > limit_s:
                out.append(machine)
        return out

    def _should_give_up(self, machine: Machine, many_silent: bool, now: float) -> bool:
        """Return whether to give up a silent machine; if many are silent at once, the network is at fault and none is.

        While no other controller can be asked, a network cut looks like a dead machine. Then only the end of the
        machine's lease decides, after which nothing runs there any more. After `MAX_SILENCE_S` it is always given up.
        """
        if now - max(machine.last_report_at, self._context.cluster.started) > c.MAX_SILENCE_S:
            return True
        fenced = machine.last_report_at < 0  # fencing has been tried twice before
        probed_enough = machine.probes >= (1 if fenced else c.MAX_UNANSWERED_PROBES)
        return not many_silent and (
            probed_enough or (machine.isolated_probes > 0 and self._context.cluster.lease_over(machine, now))
        )

    def _return_cancelled(self, late: list[Machine], kept_zones: set[str], lease_valid: bool, now: float) -> None:
        """Return silent machines that may hold a cancelled task before the bound for it, however many are silent.

        Includes machines whose return was decided for another reason and waits for the lease to be valid.
        """
        cluster, workers = self._context.cluster, self._context.settings.params.workers
        seen = LeaderView(cluster.started, lease_valid, self._last_heard_at(), kept_zones)
        unverified_cancelled_since = cluster.unverified_cancelled_since(now)
        leaving = [cluster.machines[name] for name in cluster.to_release if name in cluster.machines]
        for machine in [*late, *leaving]:
            since = cluster.cancelled_since(machine, unverified_cancelled_since)
            decision = decide(machine, since, seen, workers, now)
            self._log_decision(machine, since, decision, now)
            if decision is Decision.RETURN:
                machine.return_needs_lease = False
                cluster.release(machine, SILENT_CANCELLED)

    def _last_heard_at(self) -> float:
        """Return when any machine or other controller was last heard from, in seconds of the steady clock."""
        machines = (machine.reached_at for machine in self._context.cluster.machines.values())
        return max([*machines, *self._context.cluster.peer_answered_at.values()], default=-math.inf)

    def _log_decision(self, machine: Machine, since: float, decision: Decision, now: float) -> None:
        """Log the decision about a machine that may hold a cancelled task, once and whenever it changes."""
        if decision is Decision.NOTHING or decision.value == machine.logged_decision:
            return
        machine.logged_decision = decision.value
        log.info(
            "machine %s may hold a task cancelled %.1f s ago and has been silent for %.1f s: %s",
            machine.name, now - since, now - machine.last_report_at, decision.value, extra={"machine": machine.name},
        )  # fmt: skip

    async def _probe(self, machine: Machine) -> None:
        """Ask a silent machine for a report.

        Other controllers are asked to try too if it was never seen, or may be given up after this probe.
        """
        report: Report | None = None
        sent = self._context.clock()
        with contextlib.suppress(NotSent, NoUsableResponse):
            report = await self._workers.inspect(machine.addr)
        through_others, conclusive = False, True
        if report is None and (machine.probes + 1 >= c.MAX_UNANSWERED_PROBES or machine.last_report_at < 0):
            report, conclusive = await self._peers.inspect(machine.addr, self._witnesses)
            through_others = report is not None
        self._context.command_loop.enqueue(
            lambda: self._on_probe_result(machine, report, sent, through_others, conclusive)
        )

    def _on_probe_result(
        self, machine: Machine, report: Report | None, sent: float, through_others: bool, conclusive: bool
    ) -> None:  # fmt: skip
        machine.probing = False
        if through_others:  # its reports are forwarded, see Cluster.machines_needing_forwarding
            machine.forwarding_until = self._context.clock() + c.FORWARD_PERIOD_S
        machine.probes += conclusive
        machine.isolated_probes += not conclusive
        if report is not None:
            machine.probes = machine.isolated_probes = 0
            self._on_report(report, sent, through_others)
