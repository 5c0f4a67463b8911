"""The command line: the requests it sends, the progress it reports while it waits, and its exit codes."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
import trio
import trio.testing

from pepperlatch.command import cli, preferences, retrying_client
from pepperlatch.command.retrying_client import NoAnswer, RetryingClient
from pepperlatch.pipelines import canonical
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.pipelines.helpers import job_description
from tests.pipelines.test_files import VALID_FILE

Answer = tuple[int, str, Any]
NODE_A, NODE_B = "10.0.0.1:1", "10.0.0.2:1"


class Network:
    """Records requests and answers them by a function, which may also raise NotSent or NoUsableResponse."""

    def __init__(self, answer: Callable[[str, str, str, Any], Answer]) -> None:
        self.answer = answer
        self.requests: list[tuple[str, str, str, Any]] = []

    async def request_with_retry_after(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 0.0
    ) -> Answer:
        self.requests.append((addr, method, path, body))
        return self.answer(addr, method, path, body)


def outcome_of(network: Network, nodes: list[str], timeout_s: float) -> tuple[Any, float, list[str]]:
    """The outcome of one GET request, the virtual seconds it took, and the retries that were reported."""
    reports: list[str] = []

    async def main() -> tuple[Any, float]:
        try:
            outcome: Any = await RetryingClient(nodes, timeout_s, reports.append, network).request("GET", "/x")
        except NoAnswer as error:
            outcome = str(error)
        return outcome, trio.current_time() - began

    clock = trio.testing.MockClock(autojump_threshold=0)
    began = clock.current_time()
    outcome, took = trio.run(main, clock=clock)
    return outcome, took, reports


def test_nodes_are_tried_in_turn_and_each_retry_is_reported() -> None:
    def answer(addr: str, *rest: Any) -> Answer:
        if addr == NODE_A:
            raise NotSent("refused")
        return (200, "", {"fine": True}) if len(network.requests) > 3 else (503, "2", {"error": "busy"})

    network = Network(answer)
    outcome, took, reports = outcome_of(network, [NODE_A, NODE_B], 60.0)
    assert outcome == (200, {"fine": True}) and [row[0] for row in network.requests] == [NODE_A, NODE_B, NODE_A, NODE_B]
    assert 2.0 <= took < 3.0  # Retry-After is honoured
    assert reports[0] == f"{NODE_A} cannot be reached; going on for 60 s" and "503 busy" in reports[1]


def test_retries_end_at_the_timeout_or_at_the_first_final_response() -> None:
    def lost(*request: Any) -> Answer:
        raise NoUsableResponse("silence")

    outcome, took, reports = outcome_of(Network(lost), [NODE_A], 10.0)
    assert outcome == f"{NODE_A} gave no answer" and took <= 10.0 and len(reports) >= 5
    for status in (200, 201, 400, 404, 409, 422, 500):
        outcome, took, reports = outcome_of(Network(lambda *r, s=status: (s, "30", None)), [NODE_A], 10.0)  # type: ignore[misc]
        assert (outcome[0], took, reports) == (status, 0.0, [])
    # a pause that would outlast the timeout is not begun
    assert outcome_of(Network(lambda *r: (429, "30", {})), [NODE_A], 10.0)[1] == 0.0


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Any:
    """Runs a command against a network in memory; gives exit code, standard output, standard error and requests."""
    monkeypatch.setenv("PEPPERLATCH_CONFIG", str(tmp_path / "config.toml"))
    monkeypatch.setattr("pepperlatch.constants.core.USER_POLL_INTERVAL_S", 0.0)

    def run_command(answer: Callable[[str, str, str, Any], Answer], *args: str) -> tuple[int, str, str, list[Any]]:
        network = Network(answer)
        monkeypatch.setattr(retrying_client, "HttpNetwork", lambda max_connections: network)
        code = cli.main(list(args))
        out, err = capsys.readouterr()
        return code, out, err, network.requests

    return run_command


def accept(addr: str, method: str, path: str, body: Any) -> Answer:
    return 201, "", {"name_id": body["name_id"], "status": "queued"}


def test_a_job_without_an_id_gets_the_same_id_as_in_a_pipeline(run: Any, tmp_path: Path) -> None:
    job = job_description()
    file = tmp_path / "job.json"
    file.write_bytes(orjson.dumps(job))
    code, out, _, sent = run(accept, "submit", "--node", NODE_A, "--key", "k", "--output", "json", str(file))
    assert code == 0 and orjson.loads(out)["name_id"] == canonical.with_content_id(job, "k").id
    assert sent[0][:3] == (NODE_A, "POST", "/work") and sent[0][3].keys() - job.keys() == {"name_id"}
    file.write_bytes(orjson.dumps({**job, "name_id": "run-mine"}))
    assert run(accept, "submit", "--node", NODE_A, str(file))[3][0][3]["name_id"] == "run-mine"
    refused = run(lambda *r: (422, "", {"error": "unknown team"}), "submit", "--node", NODE_A, str(file))
    assert refused[0] == 1 and "unknown team" in refused[1]
    file.write_text("[1]", "utf-8")
    assert run(accept, "submit", "--node", NODE_A, str(file))[0] == 2
    file.write_bytes(orjson.dumps({**job, "bundle": "x" * 70_000}))
    assert "65536 bytes" in run(accept, "submit", "--node", NODE_A, str(file))[2]


def test_a_job_is_repeated_only_if_its_class_may_repeat(run: Any, tmp_path: Path) -> None:
    def answer(addr: str, method: str, path: str, body: Any) -> Answer:
        return (200, "", {"repeats": ["again"]}) if path == "/pipelines" else accept(addr, method, path, body)

    file = tmp_path / "job.json"
    file.write_bytes(orjson.dumps(job_description()))
    code, _, err, sent = run(answer, "submit", "--node", NODE_A, "--again", str(file))
    assert code == 2 and "class x" in err and len(sent) == 1
    file.write_bytes(orjson.dumps(job_description(jobclass="again")))
    ids = [run(answer, "submit", "--node", NODE_A, "--again", str(file))[3][1][3]["name_id"] for _ in range(2)]
    assert ids[0] != ids[1]


def test_wait_reports_progress_and_the_exit_code_depends_on_the_final_state(run: Any) -> None:
    for final_state, wanted_code in (("done", 0), ("withdrawn", 1)):
        states = iter(["queued", "queued", "running", final_state])

        def answer(addr: str, method: str, path: str, body: Any, states: Any = states) -> Answer:
            return 200, "", {"name_id": "run-a", "status": next(states), "done": 0, "running": 0, "reason": "limit"}

        code, out, err, _ = run(answer, "status", "--node", NODE_A, "run-a", "--wait")
        assert code == wanted_code and err.count(" is ") == 3 and final_state in out and "limit" in out
    assert run(lambda *r: (404, "", {"error": "no such job"}), "status", "--node", NODE_A, "run-b")[0] == 1


def test_a_pipeline_is_planned_locally_and_sent_as_one_request(run: Any, tmp_path: Path) -> None:
    file = tmp_path / "billing.yaml"
    file.write_text(VALID_FILE, "utf-8")

    def answer(addr: str, method: str, path: str, body: Any) -> Answer:
        if method == "PUT":
            return 200, "", {"run": "billing@k", "phase": "sent", "steps": 4}
        rows = [{"step": "a", "name_id": "run-a", "status": "done", "tasks": 1}]
        if "after" not in path:
            return 200, "", {"run": "billing@k", "status": "done", "phase": "sent", "total": 2, "rows": rows, "next": 1}
        return 200, "", {"run": "billing@k", "status": "done", "phase": "sent", "total": 2, "rows": rows}

    code, out, _, sent = run(answer, "pipeline", "run", "--node", NODE_A, "--key", "k", "--wait", str(file))
    assert code == 0 and [row[2] for row in sent][:2] == ["/pipelines/billing@k"] * 2 and out.count("run-a") == 2

    def differs(*request: Any) -> Answer:
        return 409, "", {"error": "sent before", "differs": ["step 'a' is new"]}

    code, _, err, _ = run(differs, "pipeline", "run", "--node", NODE_A, str(file))
    assert code == 1 and "step 'a' is new" in err
    file.write_text(VALID_FILE.replace("steps:", "stepps:"), "utf-8")
    code, out, err, sent = run(answer, "pipeline", "run", "--node", NODE_A, str(file))
    assert code == 2 and not sent and not out and "did you mean 'steps'" in err


def test_options_override_variables_and_variables_override_the_file(monkeypatch: pytest.MonkeyPatch, run: Any) -> None:
    file = preferences.file_path()
    file.write_text(f'nodes = ["{NODE_A}"]\noutput = "json"\ntimeout_s = 5', "utf-8")

    def answer(*request: Any) -> Answer:
        return 200, "", {"name_id": "run-a", "status": "queued", "done": 0, "running": 0}

    code, out, _, sent = run(answer, "status", "run-a")
    assert (code, sent[0][0]) == (0, NODE_A) and orjson.loads(out)["status"] == "queued"
    monkeypatch.setenv("PEPPERLATCH_NODES", f"{NODE_B}, {NODE_A}")
    assert run(answer, "status", "run-a")[3][0][0] == NODE_B
    assert run(answer, "status", "--node", "10.0.0.3:1", "run-a")[3][0][0] == "10.0.0.3:1"
    monkeypatch.setenv("PEPPERLATCH_OUTPUT", "loud")
    code, _, err, _ = run(answer, "status", "run-a")
    assert code == 2 and "PEPPERLATCH_OUTPUT" in err
    monkeypatch.delenv("PEPPERLATCH_OUTPUT")
    file.write_text("node = []", "utf-8")
    assert "node" in run(answer, "status", "run-a")[2]
    monkeypatch.delenv("PEPPERLATCH_NODES")
    file.unlink()
    assert "--node" in run(answer, "status", "run-a")[2]


def test_every_command_has_help_and_shell_completion_works(capsys: pytest.CaptureFixture[str]) -> None:
    def walk(group: Any, path: list[str]) -> None:
        for name, command in group.commands.items():
            assert cli.main([*path, name, "--help"]) == 0
            assert len(command.help or "") > 20, name
            if hasattr(command, "commands"):
                walk(command, [*path, name])

    walk(cli.cli, [])
    assert "pipeline run billing.yaml" in re.sub(r"\s+", " ", capsys.readouterr().out)
    for shell in ("bash", "zsh", "fish"):
        assert cli.main(["completion", shell]) == 0 and "_PEPPERLATCH_COMPLETE" in capsys.readouterr().out
    assert cli.main(["pipelin"]) == 2 and cli.main(["status"]) == 2
