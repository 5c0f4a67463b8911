"""The tools of the acceptance checks: what they count, and that wrong or missing input never counts as a pass."""

import json
import tomllib
from pathlib import Path

import pytest

from tests.acceptance import served, variant

SITE = """
name = "lab"
wire = "wire.json"
[nodes]
count = 7
zones = ["a", "b", "c"]
restart_delay_s = 3.0
[[capacity]]
type = "g2"
zone = "a"
count = 15
spot = 3
[[capacity]]
type = "g2"
zone = "c"
count = 10
spot = 4
[[machines]]
type = "g2"
zone = "b"
spot = false
count = 3
[[jobs]]
name = "x"
arrivals = { rate = 0.2 }
[[day]]
name = "rough"
faults = [{ at_s = 1.0, kind = "zone_cut", zone = "c" }, { at_s = 2.0, kind = "zone_partition", zones = ["a", "c"] }]
"""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    (tmp_path / "wire.json").write_text("{}")
    (tmp_path / "lab.days").write_text("sealed")
    (tmp_path / "lab.toml").write_text(SITE)
    return tmp_path / "lab.toml"


def test_a_variant_has_the_changed_numbers_and_the_files_that_the_bench_needs(site: Path) -> None:
    target = site.parent / "more"
    changes = {"--machines": "1.5", "--restart-delay": "0.2", "--arrivals": "2", "--controllers": "5"}
    assert variant.main([str(site), str(target), *(word for pair in changes.items() for word in pair)]) == 0
    made = tomllib.loads((target / "lab.toml").read_text())
    assert [(row["count"], row["spot"]) for row in made["capacity"]] == [(23, 5), (15, 6)]
    assert (made["machines"][0]["count"], made["machines"][0]["spot"]) == (5, False)
    assert (made["nodes"]["restart_delay_s"], made["nodes"]["count"]) == (0.2, 5)
    assert made["jobs"][0]["arrivals"]["rate"] == 0.4
    assert sorted(p.name for p in target.iterdir()) == ["lab.days", "lab.toml", "wire.json"]


def test_a_stream_replaces_the_class_of_arrays_that_arrives_most_often(site: Path) -> None:
    arrays = '[[jobs]]\nname = "%s"\nkind = "array"\ncpus = 8.0\narrivals = { rate = %g }\ntasks = { median = 35.0 }\n'
    plain = site.read_text()
    assert variant.main([str(site), str(site.parent / "none"), "--stream", "4"]) == 2, "no arrays"
    site.write_text(plain.replace("[[day]]", arrays % ("rare", 0.1) + arrays % ("often", 0.3) + "[[day]]"))
    assert variant.main([str(site), str(site.parent / "made"), "--stream", "4", "--cancelled", "0.25"]) == 0
    rows = {row["name"]: row for row in tomllib.loads((site.parent / "made" / "lab.toml").read_text())["jobs"]}
    assert (rows["often"]["arrivals"]["rate"], rows["often"]["tasks"]["max"], rows["often"]["cpus"]) == (4.0, 1.0, 1.0)
    assert (rows["rare"]["arrivals"]["rate"], rows["rare"]["tasks"]) == (0.1, {"median": 35.0})
    assert rows["often"]["cancelled"] == 0.25


def test_machines_and_faults_of_zones_left_out_move_to_the_remaining_zones(site: Path) -> None:
    target = site.parent / "two"
    assert variant.main([str(site), str(target), "--zones", "a,b"]) == 0
    made = tomllib.loads((target / "lab.toml").read_text())
    assert made["nodes"]["zones"] == ["a", "b"]
    assert [(row["zone"], row["count"], row["spot"]) for row in made["capacity"]] == [("a", 25, 7)]
    assert [fault["kind"] for fault in made["day"][0]["faults"]] == ["zone_cut"], "no partition within one zone"
    assert made["day"][0]["faults"][0]["zone"] == "a"


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["nowhere.toml", "x"], "nowhere.toml"),
        (["{site}", "x", "--machines", "-1"], "'-1' is not a positive number"),
        (["{site}", "x", "--machines", "many"], "'many' is not a positive number"),
        (["{site}", "x", "--zones", "a,q"], "'q' is none of a, b, c"),
        (["{site}", "x", "--zones", "a,a"], "each zone once"),
        (["{site}", "there"], "there: exists already"),
        (["{wire}", "x"], "wire.json"),
    ],
)
def test_a_wrong_argument_prints_one_line_and_writes_nothing(
    site: Path, words: list[str], said: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(site.parent)
    (site.parent / "there").mkdir()
    before = sorted(site.parent.rglob("*"))
    wire = site.parent / "wire.json"
    assert variant.main([word.format(site=site, wire=wire) for word in words]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert said in lines[0]
    assert sorted(site.parent.rglob("*")) == before


ROW = {"jobs": 4, "accepted": 4, "started": 4}
LOG = """
12.1 perch-1 job run-1: high gang of 2 x 10 cpus, train for red
12.2 perch-1 job run-2: high gang of 1 x 10 cpus, train for blue
12.3 perch-1 place run-1/0 try 7 on n-1, image held
12.4 perch-1 place run-1/1 try 7 on n-2, image held
"""


def report_in(folder: Path, more: dict[str, object] = {}, **classes: dict[str, float]) -> str:  # noqa: B006
    path = folder / f"report-{'-'.join([*classes, *more])}.json"
    largest = {name: {"jobs": 1, "started": 1} for name in classes}
    body = {"classes": classes, "teams": {"red": {"jobs": 3, "started": 3}}, "largest": largest, "ends_s": 600.0}
    path.write_text(json.dumps({**body, **more}))
    return str(path)


def test_the_least_served_comes_first_and_less_than_half_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert served.main([report_in(tmp_path, train=ROW, board={**ROW, "up": 0.8})]) == 0
    assert capsys.readouterr().out.splitlines()[0].split() == ["0.800", "of", "4", "jobs", "class", "board"]
    assert served.main([report_in(tmp_path, train={**ROW, "started": 1})]) == 1
    assert served.main([report_in(tmp_path, train=ROW, board={**ROW, "up": 0.4})]) == 1
    log = tmp_path / "log"
    log.write_text(LOG)
    assert served.main([report_in(tmp_path, train=ROW), "--log", str(log)]) == 1
    assert "0.000 of     1 jobs  pair     train for blue  BELOW HALF" in capsys.readouterr().out
    assert served.main([report_in(tmp_path, {"largest": {"train": {"jobs": 4, "started": 1}}}, train=ROW)]) == 1
    assert "largest  train  BELOW HALF" in capsys.readouterr().out


def test_the_largest_jobs_must_begin_within_four_minutes(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log = tmp_path / "log"
    job, place = "perch-1 job run-{}: x y of {} x 1 cpus, train for red\n", "1.1 perch-1 place run-{}/0 try 1 on m\n"
    small = "".join("1.0 " + job.format(n, 1) + place.format(n) for n in range(10, 19))
    large = "5.0 " + job.format(1, 9)
    began = "".join(f"{{at}} perch-2 place run-1/{n} try 1 on m\n" for n in range(9))
    words = [report_in(tmp_path, train=ROW), "--log", str(log)]
    for at, code in (("244.9", 0), ("245.1", 1)):
        log.write_text(small + large + "200.0 " + job.format(1, 9) + began.format(at=at))
        assert served.main(words) == code, at
    assert "NOT ALL BEGAN WITHIN FOUR MINUTES" in capsys.readouterr().out
    log.write_text(small + large.replace("5.0 ", "361.0 "))
    assert served.main(words) == 0, "the run ended before its four minutes were over"
    capsys.readouterr()


def test_unreadable_or_missing_input_is_named_and_fails(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log = tmp_path / "log"
    log.write_text(LOG)
    broken = tmp_path / "broken.json"
    broken.write_text('{"classes": {"train": {"jobs": 1}}, "teams": {}}')
    for words, said in [
        ([str(tmp_path / "none.json")], "none.json"),
        ([str(broken)], "accepted"),
        ([report_in(tmp_path)], "holds no class"),
        ([report_in(tmp_path, {"largest": {}}, train=ROW)], "nothing of the largest jobs of train"),
        ([report_in(tmp_path, train=ROW, board=ROW), "--log", str(log)], "says nothing of board"),
        ([report_in(tmp_path, train=ROW), "--log", str(tmp_path / "no-log")], "no-log"),
    ]:
        assert served.main(words) == 2
        assert said in capsys.readouterr().err
