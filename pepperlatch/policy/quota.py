"""Teams: what they use, may use and are guaranteed.

A limit of 0 is none (DEPLOY): teams of a platform with GPUs are given their share in GPUs alone, and their tasks use
CPUs all the same. So 0 leaves that resource without a limit, and a guarantee is counted in what it is given in.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.policy.model import EPS, Job
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol.wire import JobSpec, Kind
from pepperlatch.settings import Team


@dataclass(slots=True)
class Usage:
    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, tasks: int) -> None:
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks


@dataclass(slots=True)
class Quota:
    """Usage per team, counted from sending a launch until the task is proven gone."""

    teams: dict[str, Team]
    used: dict[str, Usage] = field(default_factory=dict)
    unverified: dict[str, Usage] = field(default_factory=dict)  # what unseen machines may be running

    def of(self, team: str) -> Usage:
        return self.used.setdefault(team, Usage())

    def room(self, spec: JobSpec, kept: Usage | None = None) -> int:
        """How many more tasks like this the team's limit allows now; `kept` is left for another job of the team."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        used, hidden, kept = self.of(spec.team), self.unverified.get(spec.team, Usage()), kept or Usage()
        rooms = [
            int((most - now + EPS) // each)
            for each, most, now in (
                (spec.cpus, team.cpus_max, used.cpus + hidden.cpus + kept.cpus),
                (spec.gpus, team.gpus_max, used.gpus + hidden.gpus + kept.gpus),
            )
            if each > 0 and most > 0
        ]
        return max(0, min(rooms, default=spec.tasks))

    def shown(self, name: str) -> dict[str, object]:
        """A team's use against its guarantee and its limit, for operators."""
        team, used = self.teams[name], self.of(name)
        return {
            "name": name,
            "cpus": used.cpus, "cpus_guaranteed": team.cpus, "cpus_limit": team.cpus_max,
            "gpus": used.gpus, "gpus_guaranteed": team.gpus, "gpus_limit": team.gpus_max,
        }  # fmt: skip

    def at_limit(self, spec: JobSpec) -> Reason:
        """The limit that leaves no room for another task of the job, with what counts against it."""
        team, used, hidden = self.teams.get(spec.team), self.of(spec.team), self.unverified.get(spec.team, Usage())
        if team is None:
            return Reason(Why.TEAM_LIMIT, team=spec.team, unit="CPUs")
        if spec.gpus > 0 and 0 < team.gpus_max < used.gpus + hidden.gpus + spec.gpus - EPS:
            gpus = used.gpus + hidden.gpus
            return Reason(
                Why.TEAM_LIMIT, team=team.name, unit="GPUs", used=gpus, most=team.gpus_max, unseen=hidden.gpus
            )  # fmt: skip
        cpus = used.cpus + hidden.cpus
        return Reason(Why.TEAM_LIMIT, team=team.name, unit="CPUs", used=cpus, most=team.cpus_max, unseen=hidden.cpus)

    def over_guarantee(self, team_name: str) -> bool:
        team, used = self.teams.get(team_name), self.of(team_name)
        return team is None or not guaranteed(team, used)


def guaranteed(team: Team, use: Usage) -> bool:
    """Whether so much use lies within what the team is guaranteed, in each resource that it is given in."""
    pairs = [(most, now) for most, now in ((team.cpus, use.cpus), (team.gpus, use.gpus)) if most > 0]
    return any(now > 0 for _, now in pairs) and all(now <= most + EPS for most, now in pairs)


def beyond_limit(spec: JobSpec, team: Team) -> str:
    """Which limit of its team the job can never keep to, with the numbers; empty if it can."""
    tasks = 1 if spec.kind is Kind.ARRAY else spec.tasks
    for unit, each, most in (("CPUs", spec.cpus, team.cpus_max), ("GPUs", spec.gpus, team.gpus_max)):
        if 0 < most < each * tasks - EPS:
            return f"needs {each * tasks:g} {unit} at once, more than the limit of its team {team.name}: {most:g}"
    return ""


def within_guarantee(jobs: Iterable[Job], teams: dict[str, Team]) -> set[str]:
    """Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs."""
    sums: dict[str, Usage] = {}
    inside: set[str] = set()
    for job in sorted(jobs, key=lambda j: j.version):
        team = teams.get(job.spec.team)
        total = sums.setdefault(job.spec.team, Usage())
        total.add(job.spec, job.spec.tasks - len(job.done))
        if team is not None and guaranteed(team, total):
            inside.add(job.spec.id)
    return inside
