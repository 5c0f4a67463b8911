"""From a pipeline file to a plan, or to all that is wrong with it, each with its place."""

import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel, ValidationError

from pepperlatch.constants import pipelines as c
from pepperlatch.pipelines import document, model
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.document import Document, InvalidFile, Mistake, Path
from pepperlatch.protocol import wire

_WORD = re.compile(r"\{(\w[\w.-]*)\}")
_UNFIT = re.compile(r"[^A-Za-z0-9_.-]+")
_FILLED = {
    "kind": "array", "count": 1, "gpus": 0.0, "image_gb": 0.0, "types": None, "zone": None, "one_zone": False,
    "spread": False, "spot": False, "checkpoint_every": 0.0, "checkpoint_cost": 0.0, "priority": "normal",
}  # fmt: skip
_NEEDED = ("job_class", "team", "cpus", "memory_gb", "image", "estimate")
_NAMES = {
    "count": "tasks", "estimate": "estimate_s", "checkpoint_every": "checkpoint_s", "checkpoint_cost": "save_s",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class CompiledFile:
    """What a file asks for; `schedule` as it is sent, None if it has none."""

    plan: plans.Plan
    schedule: dict[str, Any] | None


def compile_file(data: bytes, key: str | None = None, team: str = "") -> CompiledFile:
    """The plan of a file. `key` goes before the file's own, `team` after everything in it. Raises InvalidFile."""
    read = document.load(data)
    try:
        file = model.Pipeline.model_validate(read.value)
    except ValidationError as error:
        raise InvalidFile(list(_invalid(read, error))) from None
    builder = _Builder(read, file, team)
    plan = builder.plan(file.key if key is None else key)
    wrong = plans.find_structure_problems(plan) if builder.found else plans.find_problems(plan)
    found = builder.found + [builder.mistake(problem) for problem in wrong] + list(_unscheduled(read, file))
    if found:
        raise InvalidFile(found)
    return CompiledFile(plan, file.schedule.model_dump() if file.schedule is not None else None)


def _unscheduled(read: Document, file: model.Pipeline) -> Iterator[Mistake]:
    if file.schedule is None:
        return
    from pepperlatch.pipelines import schedules

    wrong = schedules.find_problem(file.schedule.cron, file.schedule.timezone)
    if wrong is not None:
        path: Path = ("schedule", wrong[0])
        yield Mistake(read.place(path), wrong[1], plans.format_path(path))
    if file.key:
        yield Mistake(read.place(("key",), key=True), "a scheduled pipeline takes its key from the due time", "key")


# --- what the schema does not allow ---------------------------------------------------------------


def _invalid(read: Document, error: ValidationError) -> Iterator[Mistake]:
    """One mistake for each value; what stands in several forms is named once."""
    seen: set[Path] = set()
    for row in error.errors(include_url=False):
        path = _in_file(row["loc"], read.value)
        if path in seen:
            continue
        seen.add(path)
        if row["type"] == "extra_forbidden":
            word = str(row["loc"][-1])
            text = f"no such field{plans.suggestion(word, _fields(path[:-1]))}"
            yield Mistake(read.place(path, key=True), text, plans.format_path(path))
        elif row["type"] == "missing":
            yield Mistake(read.place(path[:-1]), f"{path[-1]!r} is missing", plans.format_path(path[:-1]))
        else:
            yield Mistake(read.place(path), _said(row), plans.format_path(path))


def _in_file(loc: tuple[Any, ...], value: Any) -> Path:
    """Without the branches of a union, which stand in no file."""
    path: list[str | int] = []
    for number, part in enumerate(loc):
        inside = (isinstance(value, dict) and part in value) or (isinstance(value, list) and isinstance(part, int))
        if inside:
            value = value[part]
            path.append(part)
        elif number == len(loc) - 1 and isinstance(value, dict):
            path.append(part)
    return tuple(path)


def _said(row: Any) -> str:
    text = str(row["msg"]).removeprefix("Value error, ").replace("Input should be", "should be")
    if row["type"] == "model_type":
        text = "should be a mapping of fields"
    given = row["input"]
    if isinstance(given, bool | int | float) and row["type"] == "string_type":
        return f"{text}, not {given!r}: quote it"
    shown = given if isinstance(given, str | int | float | bool | None) else type(given).__name__
    return f"{text}, not {str(shown)[:80]!r}" if given is not None else f"{text}, not empty"


def _fields(path: Path) -> list[str]:
    kind: type[BaseModel] = model.Pipeline
    if path[:1] == ("steps",):
        kind = model.Step
    elif path[:1] == ("defaults",):
        kind = model.Shared
    elif path[:1] == ("schedule",):
        kind = model.Schedule
    return [info.alias or name for name, info in kind.model_fields.items()]


# --- what stands in it ----------------------------------------------------------------------------


@dataclass(slots=True)
class _Builder:
    read: Document
    file: model.Pipeline
    team: str
    found: list[Mistake] = field(default_factory=list)
    _origin: list[int] = field(default_factory=list)  # of each step of the plan, its number in the file

    def plan(self, key: str) -> plans.Plan:
        spread = [(i, step, values) for i, step in enumerate(self.file.steps) for values in _combinations(step)]
        self._origin = [i for i, _, _ in spread]
        named: dict[str, list[str]] = {}
        for _, step, values in spread:
            named.setdefault(step.name, []).append(_called(step, values))
        needed = {need for step in self.file.steps for need in step.needs}
        steps = [self._step(i, step, values, named, step.name in needed) for i, step, values in spread]
        if len(steps) > c.MAX_STEPS:
            self._wrong(
                ("steps",), f"{len(steps)} steps once each matrix is written out; at most {c.MAX_STEPS} are taken"
            )
        return plans.Plan(self.file.name, steps, key)

    def _step(
        self, i: int, step: model.Step, values: dict[str, Any], named: dict[str, list[str]], needed: bool
    ) -> plans.Step:
        needs = [name for need in step.needs for name in named.get(need, [need])]
        job = self._job(i, step, values)
        deadline = step.deadline if step.deadline is not None or needed else self.file.deadline
        if deadline is not None:
            job["deadline_s"] = deadline
        name = _called(step, values)
        return plans.Step(name, wire.job_to_wire(job), needs, list(step.after_jobs), step.repeat)

    def _job(self, i: int, step: model.Step, values: dict[str, Any]) -> dict[str, Any]:
        """By this project's names; the step's own word, then the defaults', then the file's."""
        asked: dict[str, Any] = {**_FILLED, "team": self.file.team or self.team or None}
        asked |= self.file.defaults.model_dump(exclude_none=True) | step.model_dump(
            include=set(model.Shared.model_fields), exclude_none=True
        )
        if asked["kind"] == "service":
            asked.setdefault("estimate", 0.0)
        for name in _NEEDED:
            if asked.get(name) is None:
                word = model.Shared.model_fields[name].alias or name
                self._wrong(("steps", i), f"{word!r} is missing: give it here or in `defaults`")
                asked[name] = ""
        for name in ("image", "zone"):
            if isinstance(asked[name], str):
                asked[name] = self._filled(("steps", i, name), asked[name], values)
        if asked["types"] is not None:
            asked["types"] = [self._filled(("steps", i, "types"), text, values) for text in asked["types"]]
        asked["kind"] = wire.Kind[asked["kind"].upper()].value
        asked["priority"] = wire.Priority[asked["priority"].upper()].value
        return {_NAMES.get(name, name): value for name, value in asked.items() if value is not None}

    def _filled(self, path: Path, text: str, values: dict[str, Any]) -> str:
        for word in _WORD.findall(text):
            if word not in values:
                self._wrong(path, f"no matrix of this step has {word!r}{plans.suggestion(word, values)}")
        return _WORD.sub(lambda match: str(values.get(match[1], match[0])), text)

    def _wrong(self, path: Path, text: str) -> None:
        mistake = Mistake(self.read.place(path), text, plans.format_path(path))
        if mistake not in self.found:
            self.found.append(mistake)

    def mistake(self, problem: plans.Problem) -> Mistake:
        """A problem of the plan, where it stands in the file."""
        path = problem.path
        if path[:1] == ("steps",) and len(path) > 1 and isinstance(path[1], int):
            path = self._needs_in_file(("steps", self._origin[path[1]], *path[2:]))
        return Mistake(self.read.place(path), problem.text, plans.format_path(path))

    def _needs_in_file(self, path: Path) -> Path:
        """A need that a matrix has multiplied has another number in the plan; the list is near enough then."""
        return path if path in self.read.places else path[:3]


def _combinations(step: model.Step) -> list[dict[str, Any]]:
    if not step.matrix:
        return [{}]
    names = list(step.matrix)
    return [dict(zip(names, values, strict=True)) for values in _bounded(step.matrix)]


def _bounded(matrix: dict[str, list[Any]]) -> list[tuple[Any, ...]]:
    """As many as are taken and one more, so that a small file cannot ask for a billion."""
    return list(itertools.islice(itertools.product(*matrix.values()), c.MAX_STEPS + 1))


def _called(step: model.Step, values: dict[str, Any]) -> str:
    """`render` with a region `St. Ann` is `render-St.-Ann`."""
    fit = [_UNFIT.sub("-", str(value)).strip("-._") or "none" for value in values.values()]
    return "-".join([step.name, *fit])
