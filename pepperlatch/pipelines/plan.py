"""A plan: the content of a pipeline file in the form that is sent to a controller and recorded. No I/O, no clock.

The command line and the controllers check plans with the same functions.
"""

import base64
import binascii
import hashlib
import math
import re
import zlib
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from graphlib import CycleError, TopologicalSorter
from typing import Any

import msgspec
import orjson

from pepperlatch.constants import pipelines as c
from pepperlatch.pipelines.canonical import with_content_id
from pepperlatch.protocol import wire

NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_.-]*[A-Za-z0-9])?")
KEY = re.compile(r"[A-Za-z0-9_.:+-]*")
RUN_NAME = re.compile(r"[A-Za-z0-9_.-]{1,60}(?:@[A-Za-z0-9_.:+-]{1,60})?(?:~[1-9][0-9]{0,6})?")
_JOB_ID = re.compile(wire.JOB_ID_PATTERN)
Path = tuple[str | int, ...]


class Step(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """One job of a plan. `job`: its description with the protocol's field names, without id and prerequisites."""

    name: str
    job: dict[str, Any]
    needs: list[str] = []  # names of steps of this plan that have to be done before
    jobs: list[str] = []  # ids of other jobs that have to be done before
    repeat: bool = False  # gets a job of its own in every run of the pipeline, whatever ran before
    attempt: int = 1  # attempt of the run in which the step's job was created


class Plan(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The steps of one run of a pipeline. `key` distinguishes the runs of a pipeline, `attempt` counts from 1."""

    name: str
    steps: list[Step]
    key: str = ""
    attempt: int = 1

    @property
    def base_run_name(self) -> str:
        """The name that all attempts of the run share: `name` or `name@key`."""
        return f"{self.name}@{self.key}" if self.key else self.name

    @property
    def run_name(self) -> str:
        """The name of the run: `base_run_name`, with `~2` for the second attempt and so on."""
        return self.base_run_name + (f"~{self.attempt}" if self.attempt > 1 else "")


class InvalidPlan(Exception):
    """The text cannot be unpacked or holds no plan."""


@dataclass(slots=True, frozen=True)
class Problem:
    """A problem of a plan: what is wrong, and where in the plan it is."""

    path: Path
    text: str


def format_path(path: Path) -> str:
    """Format a path for users, for example `steps[2].needs[0]`."""
    text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return text.lstrip(".")


# --- the packed form that is sent and recorded ----------------------------------------------------


def pack(plan: Plan) -> str:
    """The plan as deflated JSON in base64; the same plan gives the same text."""
    return base64.b64encode(zlib.compress(orjson.dumps(msgspec.to_builtins(plan)), 9)).decode("ascii")


def unpack(text: str) -> Plan:
    """Unpack a packed plan. Raises InvalidPlan.

    A text that unpacks to more than MAX_PLAN_BYTES is refused without being unpacked whole.
    """
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(base64.b64decode(text, validate=True), c.MAX_PLAN_BYTES)
        if inflater.unconsumed_tail or not inflater.eof:
            raise InvalidPlan("the plan is cut short or too large")
        return msgspec.convert(orjson.loads(data), Plan)
    except (binascii.Error, zlib.error, ValueError) as error:
        raise InvalidPlan(str(error)) from None


# --- content and checks ---------------------------------------------------------------------------


def topological_order(plan: Plan) -> list[Step]:
    """The steps in an order in which each comes after those that it needs. Raises graphlib.CycleError."""
    steps = {step.name: step for step in plan.steps}
    sorter = TopologicalSorter({name: step.needs for name, step in steps.items()})
    return [steps[name] for name in sorter.static_order()]


def job_specs(plan: Plan) -> dict[str, wire.JobSpec]:
    """The job of each step by step name, each after those that it needs, so they can be submitted in this order.

    Raises graphlib.CycleError, or msgspec.ValidationError if a description is malformed.
    """
    found: dict[str, wire.JobSpec] = {}
    for step in topological_order(plan):
        needs = [found[name].id for name in step.needs] + step.jobs
        own_job = step.repeat or step.attempt > 1
        again = f"{plan.base_run_name}~{step.attempt}/{step.name}" if own_job else ""
        found[step.name] = with_content_id(step.job, plan.key, again, needs)
    return found


def digest(plan: Plan) -> str:
    """A hash of the run's name and its jobs; the order of steps and fields does not change it."""
    content = sorted((name, spec.id) for name, spec in job_specs(plan).items())
    return hashlib.sha256(orjson.dumps([plan.run_name, content])).hexdigest()[: c.ID_HASH_DIGITS]


def find_problems(plan: Plan, repeats: Collection[str] | None = None) -> list[Problem]:
    """All reasons why the plan cannot be run. `repeats`: classes of jobs that may run again, None if not known."""
    if found := find_structure_problems(plan):
        return found
    try:
        specs = job_specs(plan)
    except CycleError as error:
        cycle = list(dict.fromkeys(reversed(error.args[1])))
        index = {step.name: i for i, step in enumerate(plan.steps)}[cycle[0]]
        return [Problem(("steps", index, "needs"), "a circle of steps: " + " needs ".join([*cycle, cycle[0]]))]
    except msgspec.ValidationError:
        return list(_description_problems(plan))
    return list(_job_problems(plan, specs, repeats))


def find_structure_problems(plan: Plan) -> list[Problem]:
    """The problems of names and needs alone; the jobs' descriptions are not checked."""
    return list(_name_problems(plan)) + list(_need_problems(plan))


def _name_problems(plan: Plan) -> Iterator[Problem]:
    if not _is_valid_name(plan.name):
        yield Problem(("name",), "a name is letters, digits, '_', '.' and '-', at most 60 of them")
    if not KEY.fullmatch(plan.key) or len(plan.key) > c.MAX_KEY_CHARS:
        yield Problem(("key",), "a key is letters, digits and any of _.:+-, at most 60 of them")
    if not 0 < len(plan.steps) <= c.MAX_STEPS:
        yield Problem(("steps",), f"{len(plan.steps)} steps; from 1 to {c.MAX_STEPS} are taken")
    first: dict[str, int] = {}
    for i, step in enumerate(plan.steps):
        if not _is_valid_name(step.name):
            yield Problem(("steps", i, "name"), f"{step.name[:80]!r} cannot be a step's name")
        if first.setdefault(step.name, i) != i:
            yield Problem(("steps", i, "name"), f"steps[{first[step.name]}] is called {step.name!r} too")
        if not 1 <= step.attempt <= plan.attempt:
            yield Problem(("steps", i, "attempt"), "not an attempt of this run")


def _is_valid_name(text: str) -> bool:
    return len(text) <= c.MAX_NAME_CHARS and NAME.fullmatch(text) is not None


def _need_problems(plan: Plan) -> Iterator[Problem]:
    names = {step.name: step for step in plan.steps}
    for i, step in enumerate(plan.steps):
        for n, need in enumerate(step.needs):
            path: Path = ("steps", i, "needs", n)
            if need not in names:
                yield Problem(path, f"no step is called {need!r}{suggestion(need, names)}")
            elif names[need].job.get(wire.KIND_FIELD) == wire.Kind.SERVICE.value:
                yield Problem(path, f"{need!r} is a service and never done")
        for n, job in enumerate(step.jobs):
            if not _JOB_ID.fullmatch(job):
                yield Problem(("steps", i, "jobs", n), f"{job[:80]!r} is not a job id")


def _description_problems(plan: Plan) -> Iterator[Problem]:
    for i, step in enumerate(plan.steps):
        try:
            with_content_id(step.job)
        except msgspec.ValidationError as error:
            yield Problem(("steps", i, "job"), str(error))


def _job_problems(plan: Plan, specs: dict[str, wire.JobSpec], repeats: Collection[str] | None) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for i, step in enumerate(plan.steps):
        spec = specs[step.name]
        if first.setdefault(spec.id, step.name) != step.name:
            yield Problem(("steps", i), f"asks for the same job as {first[spec.id]!r}, which would run once")
        if step.repeat and repeats is not None and spec.job_class not in repeats:
            yield Problem(("steps", i, "repeat"), f"the operators let no job of class {spec.job_class!r} repeat")


def suggestion(word: str, words: Collection[str]) -> str:
    """The ending of an error text that suggests the most similar of the words; empty if none is similar."""
    import difflib

    matches = difflib.get_close_matches(word, words, 1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def differences(recorded: Plan, sent: Plan) -> list[str]:
    """What differs between the recorded plan and the sent one, as texts for users.

    New and missing steps come first, then changed fields; at most MAX_DIFFERENCES_SHOWN in all.
    """
    old, new = {s.name: s for s in recorded.steps}, {s.name: s for s in sent.steps}
    found = [f"step {name!r} is new" for name in new if name not in old]
    found += [f"step {name!r} is missing" for name in old if name not in new]
    for name in [name for name in new if name in old]:
        before, after = _comparable_fields(old[name]), _comparable_fields(new[name])
        fields = [f for f in sorted({*before, *after}) if before.get(f) != after.get(f)]
        found += [f"step {name!r}: {f} was {before.get(f)!r} and is {after.get(f)!r}" for f in fields]
    return found[: c.MAX_DIFFERENCES_SHOWN]


def _comparable_fields(step: Step) -> dict[str, Any]:
    """What a step asks for, by the names that users see."""
    job = wire.job_from_wire({name: value for name, value in step.job.items() if value is not None})
    return {**job, "needs": sorted(step.needs), "jobs": sorted(step.jobs), "repeat": step.repeat}


# --- times --------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Timing:
    """Estimated start and end of a step, in seconds after the run's start.

    `slack_s`: by how many seconds it may end later without a deadline being missed; inf without a deadline.
    """

    starts_s: float
    ends_s: float
    slack_s: float


def timing(plan: Plan) -> dict[str, Timing]:
    """The timing of each step by name, from the users' estimates alone, as if no job waited for machines."""
    specs = job_specs(plan)
    steps = {step.name: step for step in plan.steps}
    starts: dict[str, float] = {}
    ends: dict[str, float] = {}
    for name, spec in specs.items():
        starts[name] = max((ends[need] for need in steps[name].needs), default=0.0)
        ends[name] = starts[name] + spec.estimate_s
    latest = {name: spec.deadline_s if spec.deadline_s is not None else math.inf for name, spec in specs.items()}
    for name in reversed(specs):
        for need in steps[name].needs:
            latest[need] = min(latest[need], latest[name] - specs[name].estimate_s)
    return {name: Timing(starts[name], ends[name], latest[name] - ends[name]) for name in specs}


def next_attempt(plan: Plan, from_steps: Collection[str]) -> Plan:
    """The plan of the next attempt: these steps and all that need them run again, the others keep their jobs."""
    run_again = set(from_steps)
    for step in topological_order(plan):
        if run_again.intersection(step.needs):
            run_again.add(step.name)
    attempt = plan.attempt + 1
    steps = [msgspec.structs.replace(s, attempt=attempt) if s.name in run_again else s for s in plan.steps]
    return msgspec.structs.replace(plan, steps=steps, attempt=attempt)
