"""Compiles a pipeline file to a plan, or reports all its mistakes with their positions. Used by the command line."""

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

_PLACEHOLDER = re.compile(r"\{(\w[\w.-]*)\}")  # stands for a matrix value
_INVALID_NAME_CHARS = re.compile(r"[^A-Za-z0-9_.-]+")
# Values of the fields that neither a step nor `defaults` sets; the names are those of `model.Shared`.
_DEFAULTS = {
    "kind": "array", "count": 1, "gpus": 0.0, "image_gb": 0.0, "types": None, "zone": None, "one_zone": False,
    "spread": False, "spot": False, "checkpoint_every": 0.0, "checkpoint_cost": 0.0, "priority": "normal",
}  # fmt: skip
# Fields that a step or `defaults` must set; a service needs no `estimate`.
_REQUIRED = ("job_class", "team", "cpus", "memory_gb", "image", "estimate")
# Fields of a pipeline file that have another name in `wire.job_to_wire`.
_JOB_FIELDS = {
    "count": "tasks", "estimate": "estimate_s", "checkpoint_every": "checkpoint_s", "checkpoint_cost": "save_s",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class CompiledFile:
    """The content of a pipeline file; `schedule` as it is sent to a controller, None if the file has none."""

    plan: plans.Plan
    schedule: dict[str, Any] | None


def compile_file(data: bytes, key: str | None = None, team: str = "") -> CompiledFile:
    """Compile a file. Raises InvalidFile with all its mistakes.

    `key`: replaces the file's own key, unless it is None. `team`: the team of the steps for which the file names none.
    """
    parsed = document.load(data)
    try:
        file = model.Pipeline.model_validate(parsed.value)
    except ValidationError as error:
        raise InvalidFile(list(_schema_mistakes(parsed, error))) from None
    builder = _PlanBuilder(parsed, file, team)
    plan = builder.plan(file.key if key is None else key)
    problems = plans.find_structure_problems(plan) if builder.mistakes else plans.find_problems(plan)
    mistakes = (
        builder.mistakes + [builder.mistake(problem) for problem in problems] + list(_schedule_mistakes(parsed, file))
    )
    if mistakes:
        raise InvalidFile(mistakes)
    return CompiledFile(plan, file.schedule.model_dump() if file.schedule is not None else None)


def _schedule_mistakes(parsed: Document, file: model.Pipeline) -> Iterator[Mistake]:
    if file.schedule is None:
        return
    from pepperlatch.pipelines import schedules

    problem = schedules.find_problem(file.schedule.cron, file.schedule.timezone)
    if problem is not None:
        path: Path = ("schedule", problem[0])
        yield Mistake(parsed.position(path), problem[1], plans.format_path(path))
    if file.key:
        yield Mistake(
            parsed.position(("key",), key=True), "a scheduled pipeline takes its key from the due time", "key"
        )


# --- errors against the schema --------------------------------------------------------------------


def _schema_mistakes(parsed: Document, error: ValidationError) -> Iterator[Mistake]:
    """One mistake for each value, even where pydantic reports an error for each type that the value may have."""
    seen: set[Path] = set()
    for row in error.errors(include_url=False):
        path = _path_in_file(row["loc"], parsed.value)
        if path in seen:
            continue
        seen.add(path)
        if row["type"] == "extra_forbidden":
            name = str(row["loc"][-1])
            text = f"no such field{plans.suggestion(name, _field_names(path[:-1]))}"
            yield Mistake(parsed.position(path, key=True), text, plans.format_path(path))
        elif row["type"] == "missing":
            yield Mistake(parsed.position(path[:-1]), f"{path[-1]!r} is missing", plans.format_path(path[:-1]))
        else:
            yield Mistake(parsed.position(path), _schema_error_text(row), plans.format_path(path))


def _path_in_file(loc: tuple[Any, ...], value: Any) -> Path:
    """The path of a pydantic error without the names of union branches, which do not occur in the file."""
    path: list[str | int] = []
    for number, part in enumerate(loc):
        inside = (isinstance(value, dict) and part in value) or (isinstance(value, list) and isinstance(part, int))
        if inside:
            value = value[part]
            path.append(part)
        elif number == len(loc) - 1 and isinstance(value, dict):
            path.append(part)
    return tuple(path)


def _schema_error_text(row: Any) -> str:
    """The text for users of one of pydantic's errors."""
    text = str(row["msg"]).removeprefix("Value error, ").replace("Input should be", "should be")
    if row["type"] == "model_type":
        text = "should be a mapping of fields"
    given = row["input"]
    if isinstance(given, bool | int | float) and row["type"] == "string_type":
        return f"{text}, not {given!r}: quote it"
    shown = given if isinstance(given, str | int | float | bool | None) else type(given).__name__
    return f"{text}, not {str(shown)[:80]!r}" if given is not None else f"{text}, not empty"


def _field_names(path: Path) -> list[str]:
    """The fields that the mapping at `path` may have."""
    model_class: type[BaseModel] = model.Pipeline
    if path[:1] == ("steps",):
        model_class = model.Step
    elif path[:1] == ("defaults",):
        model_class = model.Shared
    elif path[:1] == ("schedule",):
        model_class = model.Schedule
    return [info.alias or name for name, info in model_class.model_fields.items()]


# --- building the plan ----------------------------------------------------------------------------


@dataclass(slots=True)
class _PlanBuilder:
    """Builds the plan of a file that fits the schema, and collects the mistakes that the schema cannot find."""

    parsed: Document
    file: model.Pipeline
    team: str
    mistakes: list[Mistake] = field(default_factory=list)
    _file_indexes: list[int] = field(default_factory=list)  # for each step of the plan: index of its step in the file

    def plan(self, key: str) -> plans.Plan:
        """The plan with this key; each matrix is expanded to a step for each combination of its values."""
        expanded = [(i, step, values) for i, step in enumerate(self.file.steps) for values in _combinations(step)]
        self._file_indexes = [i for i, _, _ in expanded]
        expanded_names: dict[str, list[str]] = {}
        for _, step, values in expanded:
            expanded_names.setdefault(step.name, []).append(_expanded_name(step, values))
        needed = {need for step in self.file.steps for need in step.needs}
        steps = [self._step(i, step, values, expanded_names, step.name in needed) for i, step, values in expanded]
        if len(steps) > c.MAX_STEPS:
            self._add_mistake(
                ("steps",), f"{len(steps)} steps once each matrix is written out; at most {c.MAX_STEPS} are taken"
            )
        return plans.Plan(self.file.name, steps, key)

    def _step(
        self, i: int, step: model.Step, values: dict[str, Any], expanded_names: dict[str, list[str]], needed: bool
    ) -> plans.Step:
        needs = [name for need in step.needs for name in expanded_names.get(need, [need])]
        job = self._job(i, step, values)
        deadline = step.deadline if step.deadline is not None or needed else self.file.deadline
        if deadline is not None:
            job["deadline_s"] = deadline
        name = _expanded_name(step, values)
        return plans.Step(name, wire.job_to_wire(job), needs, list(step.after_jobs), step.repeat)

    def _job(self, i: int, step: model.Step, values: dict[str, Any]) -> dict[str, Any]:
        """The job's fields by the names that users see.

        A field is taken from the step, else from `defaults`, else from _DEFAULTS. A team that neither the step nor
        `defaults` names is the file's, else the builder's `team`.
        """
        fields: dict[str, Any] = {**_DEFAULTS, "team": self.file.team or self.team or None}
        fields |= self.file.defaults.model_dump(exclude_none=True) | step.model_dump(
            include=set(model.Shared.model_fields), exclude_none=True
        )
        if fields["kind"] == "service":
            fields.setdefault("estimate", 0.0)
        for name in _REQUIRED:
            if fields.get(name) is None:
                shown_name = model.Shared.model_fields[name].alias or name
                self._add_mistake(("steps", i), f"{shown_name!r} is missing: give it here or in `defaults`")
                fields[name] = ""
        for name in ("image", "zone"):
            if isinstance(fields[name], str):
                fields[name] = self._substitute(("steps", i, name), fields[name], values)
        if fields["types"] is not None:
            fields["types"] = [self._substitute(("steps", i, "types"), text, values) for text in fields["types"]]
        fields["kind"] = wire.Kind[fields["kind"].upper()].value
        fields["priority"] = wire.Priority[fields["priority"].upper()].value
        return {_JOB_FIELDS.get(name, name): value for name, value in fields.items() if value is not None}

    def _substitute(self, path: Path, text: str, values: dict[str, Any]) -> str:
        """The text with `{name}` replaced by the matrix value of that name."""
        for placeholder in _PLACEHOLDER.findall(text):
            if placeholder not in values:
                self._add_mistake(
                    path, f"no matrix of this step has {placeholder!r}{plans.suggestion(placeholder, values)}"
                )
        return _PLACEHOLDER.sub(lambda match: str(values.get(match[1], match[0])), text)

    def _add_mistake(self, path: Path, text: str) -> None:
        mistake = Mistake(self.parsed.position(path), text, plans.format_path(path))
        if mistake not in self.mistakes:
            self.mistakes.append(mistake)

    def mistake(self, problem: plans.Problem) -> Mistake:
        """A problem of the plan as a mistake with its position in the file."""
        path = problem.path
        if path[:1] == ("steps",) and len(path) > 1 and isinstance(path[1], int):
            path = self._existing_path(("steps", self._file_indexes[path[1]], *path[2:]))
        return Mistake(self.parsed.position(path), problem.text, plans.format_path(path))

    def _existing_path(self, path: Path) -> Path:
        """The path itself if it exists in the file, else its first three parts.

        A need that a matrix expands has another index in the plan than in the file, so the position is only near: that
        of another need, or of the list of needs.
        """
        return path if path in self.parsed.positions else path[:3]


def _combinations(step: model.Step) -> list[dict[str, Any]]:
    """The values of each combination of the step's matrix by name; one empty combination without a matrix."""
    if not step.matrix:
        return [{}]
    names = list(step.matrix)
    return [dict(zip(names, values, strict=True)) for values in _bounded_product(step.matrix)]


def _bounded_product(matrix: dict[str, list[Any]]) -> list[tuple[Any, ...]]:
    """At most one combination more than MAX_STEPS, so that a small file cannot produce a billion of them."""
    return list(itertools.islice(itertools.product(*matrix.values()), c.MAX_STEPS + 1))


def _expanded_name(step: model.Step, values: dict[str, Any]) -> str:
    """The name of an expanded step, for example `render-St.-Ann` for `render` with the value `St. Ann`."""
    suffixes = [_INVALID_NAME_CHARS.sub("-", str(value)).strip("-._") or "none" for value in values.values()]
    return "-".join([step.name, *suffixes])
