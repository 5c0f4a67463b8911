"""The schema of a pipeline file: its fields with types and bounds. `schema` publishes it for editors.

Docstrings and descriptions of the models, and the models' names, are part of the published schema.
"""

import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, WithJsonSchema

from pepperlatch.constants import core
from pepperlatch.constants import pipelines as c

_UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(ms|s|min|m|h|d)")


def _parse_seconds(value: Any) -> Any:
    """A text such as "15min" as a number of seconds; other values as they are. Raises ValueError on other texts."""
    if not isinstance(value, str):
        return value
    parts = _DURATION.fullmatch(value)
    if parts is None:
        raise ValueError('a time is a number of seconds, or one with a unit: "90 s", "15min", "2h", "1d"')
    return float(parts[1]) * _UNIT_SECONDS[parts[2]]


def _as_list(value: Any) -> Any:
    """A single text as a list of one; other values as they are."""
    return [value] if isinstance(value, str) else value


Name = Annotated[
    str, Field(min_length=1, max_length=c.MAX_NAME_CHARS, pattern=r"^[A-Za-z0-9](?:[A-Za-z0-9_.-]*[A-Za-z0-9])?$")
]
Text = Annotated[str, Field(min_length=1, max_length=1000)]
Amount = Annotated[float, Field(ge=0, le=core.MAX_AMOUNT, allow_inf_nan=False)]
Seconds = Annotated[
    Amount,
    BeforeValidator(_parse_seconds),
    WithJsonSchema(
        {"anyOf": [{"type": "number", "minimum": 0}, {"type": "string", "pattern": f"^{_DURATION.pattern}$"}]}
    ),
]
TextOrList = Annotated[
    list[Text],
    BeforeValidator(_as_list),
    WithJsonSchema({"anyOf": [{"type": "string"}, {"type": "array", "items": {"type": "string"}}]}),
]
MatrixValue = str | int | float | bool


# Base of the models: unknown fields are errors, and values are not converted to other types.
class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, populate_by_name=True)


class Shared(_Strict):
    """What a step asks for; in `defaults` for all steps that do not say otherwise."""

    job_class: Text | None = Field(None, alias="class", description="class of jobs; its aims apply")
    team: Text | None = Field(None, description="whose guarantee and limit apply")
    kind: Literal["array", "gang", "service"] | None = Field(
        None, description="array: independent tasks. gang: all at once or none. service: replicas until cancelled"
    )
    count: Annotated[int, Field(ge=1, le=core.MAX_TASKS)] | None = Field(None, description="number of tasks; 1")
    cpus: Amount | None = Field(None, description="of each task")
    gpus: Amount | None = Field(None, description="of each task; 0")
    memory_gb: Amount | None = Field(None, description="GB, of each task")
    image: Text | None = Field(None, description="what a machine must have before a task starts")
    image_gb: Amount | None = Field(None, description="GB to fetch")
    types: TextOrList | None = Field(None, description="machine types that are allowed; any")
    zone: Text | None = Field(None, description="the only allowed zone; any")
    one_zone: bool | None = Field(None, description="all tasks in the same zone")
    spread: bool | None = Field(None, description="at most half of the tasks, rounded up, in one zone")
    spot: bool | None = Field(None, description="may use machines that can be taken back")
    estimate: Seconds | None = Field(None, description="run time of a task; needed unless it is a service")
    checkpoint_every: Seconds | None = Field(None, description="progress after which a task saves; 0: never")
    checkpoint_cost: Seconds | None = Field(None, description="what a task needs to save when it is stopped; 0")
    priority: Literal["production", "high", "normal", "low"] | None = Field(None, description="normal")


class Step(Shared):
    name: Name
    needs: TextOrList = Field([], description="steps that have to be done before")
    after_jobs: TextOrList = Field([], description="ids of other jobs that have to be done before")
    deadline: Seconds | None = Field(None, description="after the run's start")
    matrix: dict[Name, Annotated[list[MatrixValue], Field(min_length=1)]] | None = Field(
        None, description="a step for each combination; {name} in image, zone and types stands for its value"
    )
    repeat: bool = Field(False, description="runs anew in every run; its class must be allowed to")


class Schedule(_Strict):
    """Runs the pipeline by itself, the due time as its key."""

    cron: Text = Field(description="minute, hour, day of month, month, day of week")
    timezone: Text = Field(description="of the tz database, such as Asia/Amman")
    missed: Literal["run", "skip"] = Field("run", description="what becomes of the latest due time missed in an outage")


class Pipeline(_Strict):
    """A pipeline of jobs with one deadline for the whole."""

    name: Name
    key: Annotated[str, Field(max_length=c.MAX_KEY_CHARS, pattern=r"^[A-Za-z0-9_.:+-]*$")] = Field(
        "", description="the occasion; the same jobs under another key are other jobs"
    )
    team: Text | None = Field(None, description="of all steps that name none")
    deadline: Seconds | None = Field(None, description="after the run's start; of all steps that nothing comes after")
    schedule: Schedule | None = Field(None, description="taken up by `pepperlatch pipeline schedule add`")
    defaults: Shared = Field(default_factory=lambda: Shared())
    steps: Annotated[list[Step], Field(min_length=1, max_length=c.MAX_STEPS)]


def schema() -> dict[str, Any]:
    """The JSON schema (draft 2020-12) of a pipeline file."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **Pipeline.model_json_schema(by_alias=True)}
