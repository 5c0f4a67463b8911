"""Metrics in the Prometheus text format, through prometheus_client. Imported at the first scrape.

Labels are reasons, causes, teams, machine types and zones: nothing that grows with the number of jobs or machines.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from pepperlatch import __version__
from pepperlatch.console.model import machine_totals
from pepperlatch.console.recorder import Recorder
from pepperlatch.controller.extensions import ExtensionContext

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LeaderAndRecorder = tuple["Leader", Recorder] | None


class Collector:
    """Reads all values at the time of the scrape. A follower exposes only values about its own node."""

    def __init__(self, core: ExtensionContext, leader_and_recorder: LeaderAndRecorder) -> None:
        self._core = core
        leader = core.current_leader()
        self._leader_and_recorder = (
            leader_and_recorder
            if leader_and_recorder is not None
            and leader_and_recorder[0] is leader
            and not leader_and_recorder[0].term.over
            else None
        )

    def collect(self) -> Iterator[Metric]:
        node = self._core.settings.node
        yield _gauge("pepperlatch_info", "Version of this node", ("node", "version"), {(node, __version__): 1})
        yield _gauge(
            "pepperlatch_leads", "1 on the node that leads", (), {(): float(self._leader_and_recorder is not None)}
        )
        reachable = float(self._core.state.reachable())
        yield _gauge("pepperlatch_state_service_up", "1 if the state service answers this node", (), {(): reachable})
        text = "Unexpected exceptions that this node has contained"
        contained = CounterMetricFamily("pepperlatch_contained_exceptions", text, labels=("part",))
        for part, count in sorted(self._core.contained_exceptions.items()):
            contained.add_metric((part,), count)
        yield contained
        if self._leader_and_recorder is not None:
            yield from self._leader_metrics(*self._leader_and_recorder)

    def _leader_metrics(self, leader: "Leader", recorder: Recorder) -> Iterator[Metric]:
        cluster = leader.cluster
        jobs: Counter[tuple[str, ...]] = Counter()
        tasks: Counter[tuple[str, ...]] = Counter()
        for job in cluster.jobs.values():
            if not job.over:
                jobs[(job.reason.kind.value, job.spec.priority.value)] += 1
                tasks[(job.reason.kind.value,)] += len(job.waiting)
        jobs[("needs", "")] = leader.replica.waiting_for_others()
        yield _gauge("pepperlatch_jobs", "Unfinished jobs by stated reason", ("reason", "priority"), jobs)
        yield _gauge("pepperlatch_tasks_waiting", "Tasks without a place, by reason", ("reason",), tasks)
        machines: Counter[tuple[str, ...]] = Counter()
        for row in machine_totals(cluster.machines.values(), cluster.unverified):
            machines[(row["type"], row["zone"], "spot" if row["spot"] else "ordinary", row["state"])] += row["count"]
        yield _gauge("pepperlatch_machines", "Machines", ("type", "zone", "kind", "state"), machines)
        now = leader.clock()
        unverified_cancelled_since = cluster.unverified_cancelled_since(now)
        since = (cluster.cancelled_since(machine, unverified_cancelled_since) for machine in cluster.machines.values())
        ages = [now - moment for moment in since if math.isfinite(moment)]
        text = "Machines that may hold a task of a cancelled job, as far as reports have shown"
        yield _gauge("pepperlatch_machines_owing", text, (), {(): len(ages)})
        text = "Seconds since the first of these cancellations"
        yield _gauge("pepperlatch_machines_owing_oldest_seconds", text, (), {(): max(ages, default=0.0)})
        used = {(name,): cluster.quota.of(name).cpus for name in cluster.quota.teams}
        yield _gauge("pepperlatch_team_cpus", "CPUs that a team's tasks use", ("team",), used)
        most = {(name,): team.cpus_max for name, team in cluster.quota.teams.items()}
        yield _gauge("pepperlatch_team_cpus_limit", "CPUs that a team may use", ("team",), most)
        yield from self._counters(recorder, leader)

    def _counters(self, recorder: Recorder, leader: "Leader") -> Iterator[Metric]:
        recorder.costs.charge(leader.cluster.machines.values(), leader.clock())
        spent = CounterMetricFamily("pepperlatch_spent", "Money since this node leads", labels=("type", "kind"))
        for (name, kind), cost in sorted(recorder.costs.by_machine.items()):
            spent.add_metric((name, kind), cost)
        yield spent
        text = "Tasks that ended undone since this node leads"
        lost = CounterMetricFamily("pepperlatch_tasks_lost", text, labels=("cause",))
        for row in recorder.recoveries.summary():
            lost.add_metric((row["cause"],), row["lost"])
        yield lost


def _gauge(name: str, text: str, labels: tuple[str, ...], values: Mapping[Any, float]) -> Metric:
    gauge = GaugeMetricFamily(name, text, labels=labels)
    for key in sorted(values):
        gauge.add_metric(key, values[key])
    return gauge


def render_metrics(core: ExtensionContext, leader_and_recorder: LeaderAndRecorder) -> tuple[str, bytes]:
    """Content type and body of the answer to one scrape."""
    registry = CollectorRegistry()
    registry.register(Collector(core, leader_and_recorder))
    return CONTENT_TYPE, generate_latest(registry)
