"""Teams' usage, limits and guarantees of CPUs and GPUs.

A limit of 0 means no limit: on a platform with GPUs, teams get their share in GPUs alone, although their tasks use CPUs
as well. A guarantee counts only the resources that it is given in.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.constants import core as c
from pepperlatch.policy.model import EPS, Job
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol.wire import JobSpec, Kind
from pepperlatch.settings import Team


@dataclass(slots=True)
class Usage:
    """CPUs and GPUs that tasks take."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Add this number of tasks of the job; a negative number subtracts."""
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks


@dataclass(slots=True)
class Quota:
    """Usage per team. A task counts from the planning of its launch until it is proven gone."""

    teams: dict[str, Team]
    used: dict[str, Usage] = field(default_factory=dict)
    unverified: dict[str, Usage] = field(default_factory=dict)  # usage by tasks that may run unreported

    def of(self, team: str) -> Usage:
        """The team's usage by known tasks; changes to it count."""
        return self.used.setdefault(team, Usage())

    def room(self, spec: JobSpec, reserved: Usage | None = None) -> int:
        """How many more tasks of the job its team's limit allows now; `reserved` is left for another job of the team.

        The number of the job's tasks if the team has no limit, 0 if the team is unknown.
        """
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        used, unverified, reserved = self.of(spec.team), self.unverified.get(spec.team, Usage()), reserved or Usage()
        rooms = [
            (most - now + EPS) // each  # not finite for a tiny amount
            for each, most, now in (
                (spec.cpus, team.cpus_max, used.cpus + unverified.cpus + reserved.cpus),
                (spec.gpus, team.gpus_max, used.gpus + unverified.gpus + reserved.gpus),
            )
            if each > 0 and most > 0
        ]
        return int(max(0.0, min([c.MAX_TASKS, *rooms]))) if rooms else spec.tasks

    def shown(self, name: str) -> dict[str, object]:
        """A team's usage, guarantee and limit, as the operators' view shows them."""
        team, used = self.teams[name], self.of(name)
        return {
            "name": name,
            "cpus": used.cpus, "cpus_guaranteed": team.cpus, "cpus_limit": team.cpus_max,
            "gpus": used.gpus, "gpus_guaranteed": team.gpus, "gpus_limit": team.gpus_max,
        }  # fmt: skip

    def at_limit(self, spec: JobSpec) -> Reason:
        """The reason that states which limit leaves no room for another task of the job, and what counts against it."""
        team, used, unverified = self.teams.get(spec.team), self.of(spec.team), self.unverified.get(spec.team, Usage())
        if team is None:
            return Reason(Why.TEAM_LIMIT, team=spec.team, unit="CPUs")
        if spec.gpus > 0 and 0 < team.gpus_max < used.gpus + unverified.gpus + spec.gpus - EPS:
            gpus = used.gpus + unverified.gpus
            return Reason(
                Why.TEAM_LIMIT, team=team.name, unit="GPUs", used=gpus, most=team.gpus_max, unseen=unverified.gpus
            )  # fmt: skip
        cpus = used.cpus + unverified.cpus
        return Reason(
            Why.TEAM_LIMIT, team=team.name, unit="CPUs", used=cpus, most=team.cpus_max, unseen=unverified.cpus
        )  # fmt: skip

    def over_guarantee(self, team_name: str) -> bool:
        """Whether the team uses more than it is guaranteed, or is guaranteed nothing."""
        team, used = self.teams.get(team_name), self.of(team_name)
        return team is None or not guaranteed(team, used)


def guaranteed(team: Team, use: Usage) -> bool:
    """Whether the usage is within the team's guarantee, in each resource that the guarantee is given in."""
    pairs = [(most, now) for most, now in ((team.cpus, use.cpus), (team.gpus, use.gpus)) if most > 0]
    return any(now > 0 for _, now in pairs) and all(now <= most + EPS for most, now in pairs)


def beyond_limit(spec: JobSpec, team: Team) -> str:
    """The reason to refuse a job that can never run within its team's limit, with the numbers; empty if it can run."""
    tasks = 1 if spec.kind is Kind.ARRAY else spec.tasks
    for unit, each, most in (("CPUs", spec.cpus, team.cpus_max), ("GPUs", spec.gpus, team.gpus_max)):
        if 0 < most < each * tasks - EPS:
            return f"needs {each * tasks:g} {unit} at once, more than the limit of its team {team.name}: {most:g}"
    return ""


def within_guarantee(jobs: Iterable[Job], teams: dict[str, Team]) -> set[str]:
    """Ids of the jobs that fit into their team's guarantee together with the team's earlier unfinished jobs."""
    sums: dict[str, Usage] = {}
    inside: set[str] = set()
    for job in sorted(jobs, key=lambda j: j.version):
        team = teams.get(job.spec.team)
        total = sums.setdefault(job.spec.team, Usage())
        total.add(job.spec, job.spec.tasks - len(job.done))
        if team is not None and guaranteed(team, total):
            inside.add(job.spec.id)
    return inside
