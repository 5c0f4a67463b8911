"""A plan: what a pipeline file asks for, as it is sent to a node and recorded. Pure; both sides check it alike."""

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
ADDRESS = re.compile(r"[A-Za-z0-9_.-]{1,60}(?:@[A-Za-z0-9_.:+-]{1,60})?(?:~[1-9][0-9]{0,6})?")  # of a run
_JOB_ID = re.compile(wire.JOB_ID_PATTERN)
Path = tuple[str | int, ...]


class Step(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """One job of a plan: its description without id and prerequisites, in the protocol's spelling."""

    name: str
    job: dict[str, Any]
    needs: list[str] = []  # steps of this plan
    jobs: list[str] = []  # ids of other jobs that it needs
    repeat: bool = False  # runs anew in every run of the pipeline, whatever ran before
    attempt: int = 1  # of the run in which it was last begun anew


class Plan(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    name: str
    steps: list[Step]
    key: str = ""
    attempt: int = 1

    @property
    def base_run_name(self) -> str:
        return f"{self.name}@{self.key}" if self.key else self.name

    @property
    def run_name(self) -> str:
        """What the run is called: `name`, `name@key`, or with `~2` for the second attempt."""
        return self.base_run_name + (f"~{self.attempt}" if self.attempt > 1 else "")


class BadPlan(Exception):
    """It cannot be unpacked or is not a plan."""


@dataclass(slots=True, frozen=True)
class Problem:
    """What is wrong, and where in the plan."""

    path: Path
    text: str


def where(path: Path) -> str:
    """`steps[2].needs[0]`"""
    text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return text.lstrip(".")


# --- packed, as it is sent and recorded -----------------------------------------------------------


def pack(plan: Plan) -> str:
    """Deflated JSON as base64; the same plan gives the same text."""
    return base64.b64encode(zlib.compress(orjson.dumps(msgspec.to_builtins(plan)), 9)).decode("ascii")


def unpack(text: str) -> Plan:
    """Raises BadPlan; a small text that unpacks to a huge one is refused without being unpacked whole."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(base64.b64decode(text, validate=True), c.MAX_PLAN_BYTES)
        if inflater.unconsumed_tail or not inflater.eof:
            raise BadPlan("the plan is cut short or too large")
        return msgspec.convert(orjson.loads(data), Plan)
    except (binascii.Error, zlib.error, ValueError) as error:
        raise BadPlan(str(error)) from None


# --- what it says ---------------------------------------------------------------------------------


def order(plan: Plan) -> list[Step]:
    """Every step after those that it needs; raises graphlib.CycleError."""
    steps = {step.name: step for step in plan.steps}
    sorter = TopologicalSorter({name: step.needs for name, step in steps.items()})
    return [steps[name] for name in sorter.static_order()]


def job_specs(plan: Plan) -> dict[str, wire.JobSpec]:
    """The job of each step, by its name, in an order in which they can be submitted."""
    found: dict[str, wire.JobSpec] = {}
    for step in order(plan):
        needs = [found[name].id for name in step.needs] + step.jobs
        anew = step.repeat or step.attempt > 1
        again = f"{plan.base_run_name}~{step.attempt}/{step.name}" if anew else ""
        found[step.name] = with_content_id(step.job, plan.key, again, needs)
    return found


def digest(plan: Plan) -> str:
    """The same for every plan that asks for the same, in whatever order it is written."""
    asked = sorted((name, spec.id) for name, spec in job_specs(plan).items())
    return hashlib.sha256(orjson.dumps([plan.run_name, asked])).hexdigest()[: c.ID_HASH_DIGITS]


def problems(plan: Plan, repeats: Collection[str] | None = None) -> list[Problem]:
    """All that keeps the plan from being run; `repeats`: the classes that may run again, None if not known."""
    if found := structure(plan):
        return found
    try:
        named = job_specs(plan)
    except CycleError as error:
        cycle = list(dict.fromkeys(reversed(error.args[1])))
        index = {step.name: i for i, step in enumerate(plan.steps)}[cycle[0]]
        return [Problem(("steps", index, "needs"), "a circle of steps: " + " needs ".join([*cycle, cycle[0]]))]
    except msgspec.ValidationError:
        return list(_descriptions(plan))
    return list(_jobs(plan, named, repeats))


def structure(plan: Plan) -> list[Problem]:
    """What is wrong with names and needs alone, whatever the jobs are."""
    return list(_names(plan)) + list(_needs(plan))


def _names(plan: Plan) -> Iterator[Problem]:
    if not _is_name(plan.name):
        yield Problem(("name",), "a name is letters, digits, '_', '.' and '-', at most 60 of them")
    if not KEY.fullmatch(plan.key) or len(plan.key) > c.MAX_KEY_CHARS:
        yield Problem(("key",), "a key is letters, digits and any of _.:+-, at most 60 of them")
    if not 0 < len(plan.steps) <= c.MAX_STEPS:
        yield Problem(("steps",), f"{len(plan.steps)} steps; from 1 to {c.MAX_STEPS} are taken")
    first: dict[str, int] = {}
    for i, step in enumerate(plan.steps):
        if not _is_name(step.name):
            yield Problem(("steps", i, "name"), f"{step.name[:80]!r} cannot be a step's name")
        if first.setdefault(step.name, i) != i:
            yield Problem(("steps", i, "name"), f"steps[{first[step.name]}] is called {step.name!r} too")
        if not 1 <= step.attempt <= plan.attempt:
            yield Problem(("steps", i, "attempt"), "not an attempt of this run")


def _is_name(text: str) -> bool:
    return len(text) <= c.MAX_NAME_CHARS and NAME.fullmatch(text) is not None


def _needs(plan: Plan) -> Iterator[Problem]:
    names = {step.name: step for step in plan.steps}
    for i, step in enumerate(plan.steps):
        for n, need in enumerate(step.needs):
            path: Path = ("steps", i, "needs", n)
            if need not in names:
                yield Problem(path, f"no step is called {need!r}{meant(need, names)}")
            elif names[need].job.get(wire.KIND_FIELD) == wire.Kind.SERVICE.value:
                yield Problem(path, f"{need!r} is a service and never done")
        for n, job in enumerate(step.jobs):
            if not _JOB_ID.fullmatch(job):
                yield Problem(("steps", i, "jobs", n), f"{job[:80]!r} is not a job id")


def _descriptions(plan: Plan) -> Iterator[Problem]:
    for i, step in enumerate(plan.steps):
        try:
            with_content_id(step.job)
        except msgspec.ValidationError as error:
            yield Problem(("steps", i, "job"), str(error))


def _jobs(plan: Plan, named: dict[str, wire.JobSpec], repeats: Collection[str] | None) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for i, step in enumerate(plan.steps):
        spec = named[step.name]
        if first.setdefault(spec.id, step.name) != step.name:
            yield Problem(("steps", i), f"asks for the same job as {first[spec.id]!r}, which would run once")
        if step.repeat and repeats is not None and spec.job_class not in repeats:
            yield Problem(("steps", i, "repeat"), f"the operators let no job of class {spec.job_class!r} repeat")


def meant(word: str, words: Collection[str]) -> str:
    """`; did you mean "builder"?` where one of the words is near."""
    import difflib

    near = difflib.get_close_matches(word, words, 1)
    return f"; did you mean {near[0]!r}?" if near else ""


def differences(held: Plan, sent: Plan) -> list[str]:
    """What the plan sent asks for that the one recorded did not, and the other way round; most telling first."""
    old, new = {s.name: s for s in held.steps}, {s.name: s for s in sent.steps}
    found = [f"step {name!r} is new" for name in new if name not in old]
    found += [f"step {name!r} is missing" for name in old if name not in new]
    for name in [name for name in new if name in old]:
        before, after = _asked(old[name]), _asked(new[name])
        fields = [f for f in sorted({*before, *after}) if before.get(f) != after.get(f)]
        found += [f"step {name!r}: {f} was {before.get(f)!r} and is {after.get(f)!r}" for f in fields]
    return found[: c.MAX_DIFFERENCES_SHOWN]


def _asked(step: Step) -> dict[str, Any]:
    words = wire.job_from_wire({name: value for name, value in step.job.items() if value is not None})
    return {**words, "needs": sorted(step.needs), "jobs": sorted(step.jobs), "repeat": step.repeat}


# --- times --------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Timing:
    """In seconds after the run's start, by the owners' estimates alone; `slack_s` is inf without a deadline."""

    starts_s: float
    ends_s: float
    slack_s: float


def timing(plan: Plan) -> dict[str, Timing]:
    """How late each step may end without making a deadline late; nothing waits for machines here."""
    named = job_specs(plan)
    steps = {step.name: step for step in plan.steps}
    starts: dict[str, float] = {}
    ends: dict[str, float] = {}
    for name, spec in named.items():
        starts[name] = max((ends[need] for need in steps[name].needs), default=0.0)
        ends[name] = starts[name] + spec.estimate_s
    latest = {name: spec.deadline_s if spec.deadline_s is not None else math.inf for name, spec in named.items()}
    for name in reversed(named):
        for need in steps[name].needs:
            latest[need] = min(latest[need], latest[name] - named[name].estimate_s)
    return {name: Timing(starts[name], ends[name], latest[name] - ends[name]) for name in named}


def redone(plan: Plan, first: Collection[str]) -> Plan:
    """The next attempt: these steps and all that come after them run anew, the others are kept as they are."""
    anew = set(first)
    for step in order(plan):
        if anew.intersection(step.needs):
            anew.add(step.name)
    attempt = plan.attempt + 1
    steps = [msgspec.structs.replace(s, attempt=attempt) if s.name in anew else s for s in plan.steps]
    return msgspec.structs.replace(plan, steps=steps, attempt=attempt)
