"""Pipeline files are planned, or refused whole with the position of each mistake; order and format change nothing."""

import hashlib
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from pepperlatch.constants import pipelines as c
from pepperlatch.controller.users import check_job
from pepperlatch.pipelines import canonical, model
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.compile import compile_file
from pepperlatch.pipelines.document import InvalidFile
from pepperlatch.protocol import wire
from tests.pipelines.helpers import job_description

ROOT = Path(__file__).parents[2]
VALID_FILE = """name: billing
team: red
deadline: 10min
defaults: {class: x, cpus: 2, memory_gb: 1, estimate: 10 s}
steps:
  - {name: collect, image: collect}
  - name: render
    image: "render-{parish}"
    needs: collect
    matrix: {parish: [ann, james]}
  - {name: send, image: send, needs: [render], priority: high}
"""


def mistakes(text: str | bytes) -> list[str]:
    """The mistakes of an invalid file `f`, one line each."""
    with pytest.raises(InvalidFile) as refused:
        compile_file(text.encode("utf-8") if isinstance(text, str) else text)
    return [mistake.format("f") for mistake in refused.value.mistakes]


def test_file_compiles_to_jobs_with_one_deadline_and_slack() -> None:
    plan = compile_file(VALID_FILE.encode()).plan
    assert [step.name for step in plan.steps] == ["collect", "render-ann", "render-james", "send"]
    named = plans.job_specs(plan)
    assert [spec.deadline_s for spec in named.values()] == [None, None, None, 600.0]
    assert set(named["send"].needs or ()) == {named["render-ann"].id, named["render-james"].id}
    times = plans.timing(plan)
    assert times["send"] == plans.Timing(20.0, 30.0, 570.0) and times["collect"].slack_s == 570.0


@pytest.mark.parametrize(
    ("change", "line"),
    [
        (lambda t: t.replace("deadline", "deadlin"), "f:3:1: deadlin: no such field; did you mean 'deadline'?"),
        (lambda t: t.replace("needs: collect", "needs: colect"),
         "f:9:12: steps[1].needs: no step is called 'colect'; did you mean 'collect'?"),
        (lambda t: t.replace("name: send", "name: collect"),
         "f:11:12: steps[2].name: steps[0] is called 'collect' too"),
        (lambda t: t.replace("name: collect,", "name: collect, needs: send,"),
         "f:6:28: steps[0].needs: a circle of steps: collect needs send needs render-ann needs collect"),
        (lambda t: t.replace("cpus: 2", "cpus: many"), "f:4:28: defaults.cpus: should be a valid number, not 'many'"),
        (lambda t: t.replace("cpus: 2", "cpus: -2"),
         "f:4:28: defaults.cpus: should be greater than or equal to 0, not '-2'"),
        (lambda t: t.replace("estimate: 10 s", "estimate: soon"),
         "f:4:55: defaults.estimate: a time is a number of seconds, or one with a unit: \"90 s\", \"15min\", \"2h\", "
         "\"1d\", not 'soon'"),
        (lambda t: t.replace("cpus: 2, ", ""),
         "f:6:5: steps[0]: 'cpus' is missing: give it here or in `defaults`"),
        (lambda t: t.replace("{parish}", "{parrish}"),
         "f:8:12: steps[1].image: no matrix of this step has 'parrish'; did you mean 'parish'?"),
        (lambda t: t.replace("render-{parish}", "render"),
         "f:7:5: steps[1]: asks for the same job as 'render-ann', which would run once"),
        (lambda t: t.replace("team: red", "team: 7"), "f:2:7: team: should be a valid string, not 7: quote it"),
        (lambda t: t.replace("name: collect", "name: a/b"), "f:6:12: steps[0].name: "),
        (lambda t: t.replace("team: red", "team: red\nteam: blue"), "f:3:1: 'team' stands here twice, first in line 2"),
        (lambda t: t.replace("steps:", "steps: &a [*a]\nx:"), "f:5:8: an alias to something that it is part of"),
        (lambda t: t + "---\nname: other\n", "f:12:1: a second document; a file holds one pipeline"),
        (lambda t: t.replace("team: red", "team: !!python/object:os.system x"), "f:2:7: the tag "),
        (lambda t: t.replace("team: red", "team: [red"), "f:3:9: "),
        (lambda t: "", "f:1:1: the file is empty"),
        (lambda t: t.replace("team: red", "<<: {}"), "f:2:1: merging is not supported"),
        (lambda t: t.replace("team: red", "schedule: {cron: '0 25 * * *', timezone: UTC}"), "f:2:18: schedule.cron: "),
        (lambda t: t.replace("team: red", "schedule: {cron: '0 6 * * *', timezone: Asia/Aman}"),
         "f:2:41: schedule.timezone: 'Asia/Aman' is no zone of the tz database, such as 'Asia/Amman' or 'UTC'"),
        (lambda t: t.replace("red", "é").encode("latin-1"), "f:2:7: not UTF-8 text"),
        (lambda t: "a: " + "[" * 300, "f:1:27: nested more than 24 deep"),
        (lambda t: t + "#" * c.MAX_FILE_BYTES, f"f:1:1: the file has {len(VALID_FILE) + c.MAX_FILE_BYTES} bytes"),
        (lambda t: "a: &a [1,1,1,1,1,1,1,1,1,1]\n" + "".join(
            f"{chr(98 + n)}: &{chr(98 + n)} [{','.join(['*' + chr(97 + n)] * 10)}]\n" for n in range(9)),
         "more than 200000 values once aliases are written out"),
    ],
)  # fmt: skip
def test_file_with_a_mistake_is_refused_with_its_position(change: Callable[[str], Any], line: str) -> None:
    found = mistakes(change(VALID_FILE))
    assert line in found[0]


def test_all_mistakes_of_a_file_are_listed_in_order() -> None:
    text = VALID_FILE.replace("needs: collect", "needs: colect").replace("{parish}", "{perish}").replace("send}", "x}")
    assert [line.split(" ")[0] for line in mistakes(text)] == ["f:8:12:", "f:9:12:"]
    text = VALID_FILE.replace("team:", "teem:").replace("estimate", "estimat").replace("matrix", "matrx")
    assert [line.split(" ")[0] for line in mistakes(text)] == ["f:2:1:", "f:4:45:", "f:10:5:"]


@pytest.mark.parametrize("file", sorted((ROOT / "examples").glob("*.yaml")), ids=lambda file: file.stem)
def test_examples_compile_without_a_late_step(file: Path) -> None:
    plan = compile_file(file.read_bytes()).plan
    assert len(plan.steps) >= 4 and all(0 < time.slack_s < 3600 for time in plans.timing(plan).values())


def test_schema_has_every_field_of_the_examples() -> None:
    made = model.schema()
    fields = set(made["$defs"]["Step"]["properties"])
    for file in (ROOT / "examples").glob("*.yaml"):
        read = yaml.safe_load(file.read_text("utf-8"))
        assert {*read} <= {*made["properties"]}
        assert all({*step} <= fields for step in read["steps"])
    assert made["$defs"]["Step"]["additionalProperties"] is False


# --- generated files ------------------------------------------------------------------------------

unlikely = st.one_of(
    st.none(), st.booleans(), st.integers(-(10**40), 10**40), st.floats(), st.text(max_size=8), st.just([]), st.just({})
)
words = st.text("abc-.", min_size=1, max_size=3)
steps = st.lists(
    st.fixed_dictionaries(
        {"name": words, "image": words},
        optional={
            "needs": st.lists(words, max_size=3), "count": st.integers(1, 9), "estimate": st.sampled_from([3, "2min"]),
            "matrix": st.dictionaries(words, st.lists(st.integers(0, 3), min_size=1, max_size=3), max_size=2),
            "kind": st.sampled_from(["array", "gang", "service"]), "cpus": unlikely, "x": unlikely,
            "deadline": st.one_of(st.integers(0, 99), unlikely), "types": st.lists(words, max_size=2),
        },
    ),
    min_size=1, max_size=6,
)  # fmt: skip
files = st.fixed_dictionaries(
    {"name": words, "steps": steps, "defaults": st.just({"class": "x", "cpus": 1, "memory_gb": 1, "estimate": 1})},
    optional={"team": words, "key": words, "deadline": st.integers(1, 99), "z": unlikely},
)
seeded = settings(derandomize=True, database=None, deadline=None, max_examples=150)


def planned_or_refused(data: bytes) -> plans.Plan | None:
    """The valid plan of a file, or None if it is refused with positions; anything else fails the test."""
    try:
        plan = compile_file(data).plan
    except InvalidFile as error:
        assert error.mistakes and all(
            m.position.line >= 1 and m.position.column >= 1 and m.text for m in error.mistakes
        )
        return None
    assert plans.find_problems(plan) == []
    for spec in plans.job_specs(plan).values():
        check_job(wire.to_plain(spec))  # a controller refuses none of them as malformed
    assert plans.unpack(plans.pack(plan)) == plan
    return plan


@seeded
@given(st.one_of(st.binary(max_size=60), st.text(":-[]{}&*!a1 \n\"'#|>%@`,?", max_size=60).map(str.encode)))
def test_any_bytes_are_planned_or_refused_with_a_place(data: bytes) -> None:
    planned_or_refused(data)


@seeded
@given(files, st.integers(0, 2**32))
def test_any_file_is_planned_or_refused_and_order_and_format_change_nothing(file: dict[str, Any], seed: int) -> None:
    plan = planned_or_refused(yaml.safe_dump(file, sort_keys=False).encode())
    shuffled = {**file, "steps": random.Random(seed).sample(file["steps"], len(file["steps"]))}
    other = planned_or_refused(yaml.safe_dump(shuffled, sort_keys=True, default_flow_style=True).encode())
    assert (plan is None) == (other is None)
    if plan is not None and other is not None:
        assert plans.digest(plan) == plans.digest(other)
        assert {s: spec.id for s, spec in plans.job_specs(plan).items()} == {
            s: x.id for s, x in plans.job_specs(other).items()
        }


def test_job_id_depends_on_the_content_alone() -> None:
    """The expected id is a literal: if versions computed different ids, a job sent to two versions would run twice."""
    description = job_description(builds=["m8", "g8"], due_s=60)
    known = canonical.with_content_id(description, "2026-12").id
    form = (
        b'{"again":"","job":{"apart":false,"builds":["g8","m8"],"bundle":"img","cores":2.0,"crew":"red","due_s":60.0,'
        b'"expected_s":10.0,"gpus":0.0,"jobclass":"x","loaners":false,"memory_gb":1.0,"one_zone":false,"pieces":2,'
        b'"pull_gb":1.0,"shape":"sweep","snapshot_cost_s":0.0,"snapshot_every_s":0.0,"urgency":"standard"},'
        b'"key":"2026-12","v":1}'
    )
    assert known == "run-" + hashlib.sha256(form).hexdigest()[:40] == "run-0e48c1923d6c96a3982557186d101917bfd1f050"
    same = [
        {**description, "builds": ["g8", "m8", "g8"]},
        {**description, "cores": 2, "due_s": 60.0, "unknown": 1},
        dict(reversed(description.items())),
        {name: value for name, value in description.items() if value is not None},
    ]
    assert {canonical.with_content_id(job, "2026-12").id for job in same} == {known}
    others = [
        {**description, "cores": 3.0},
        {**description, "builds": None},
        {**description, "urgency": "low"},
        {**description, "due_s": None},
    ]
    ids = {canonical.with_content_id(job, "2026-12").id for job in others}
    ids |= {canonical.with_content_id(description).id, canonical.with_content_id(description, "2026-12", "a").id}
    assert len(ids) == 6 and known not in ids
