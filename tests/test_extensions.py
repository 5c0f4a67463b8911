"""Extensions of a node: one that raises or hangs disturbs neither the node nor other extensions."""

from pathlib import Path
from typing import Any

import pytest
import trio

from pepperlatch import features
from pepperlatch.controller.extensions import Extensions
from pepperlatch.controller.leadership import Term
from pepperlatch.policy.events import NullListener
from pepperlatch.protocol.http.server import Request, Response
from tests.fakes import World, job, run_scenario


class FaultyListener(NullListener):
    """Records the job events that it receives in `events`, and raises when a task starts."""

    def __init__(self, events: list[str]) -> None:
        self.events = events

    def job(self, job_id: str, what: str, now: float) -> None:
        self.events.append(f"{job_id} {what}")

    def started(self, attempt: Any, now: float) -> None:
        raise ValueError("a mistake")


class FaultyExtension:
    """Raises in every method, or hangs for a path that ends in "hang". `tokens`: of the terms that began."""

    name, prefix, paths = "faulty", "x/", ("/faulty", "/work/run-000001")
    operator_paths = ("/admin/faulty",)

    def __init__(self, core: Any) -> None:
        self.tokens: list[int] = []
        self.events: list[str] = []

    async def handle(self, request: Request) -> Response:
        if request.path.endswith("hang"):
            await trio.sleep_forever()
        raise ValueError("a mistake")

    def create_listener(self, leader: Any) -> Any:
        return FaultyListener(self.events)

    async def run(self) -> None:
        raise ValueError("a mistake")

    async def run_while_leading(self, term: Term) -> None:
        self.tokens.append(term.token)
        raise ValueError("a mistake")


def test_a_faulty_extension_does_not_disturb_the_node() -> None:
    made: list[FaultyExtension] = []

    def create(core: Any) -> FaultyExtension:
        made.append(FaultyExtension(core))
        return made[-1]

    async def scenario(world: World) -> None:
        world.expected_exceptions.add("extension faulty")
        assert (await world.ask(0, "GET", "/faulty/x"))[0] == 500
        assert world.nodes[0].containment.counts["extension faulty"] > 0
        assert (await world.ask(0, "GET", "/faultyx"))[0] == 404
        assert (await world.send("admin", "10.0.0.0:2", "GET", "/admin/faulty", None, 5.0))[0] == 500
        assert (await world.send("admin", "10.0.0.0:2", "GET", "/admin/view", None, 5.0))[0] == 200
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, 0, "GET", "/faulty/hang")
            assert (await world.submit(job(1)))[0] == 201  # and the extension gets no path of the jobs
            nursery.cancel_scope.cancel()
        leader = world.leader()
        world.kill(leader)
        await trio.sleep(1.0)
        with trio.fail_after(90):
            while await world.status(job(1)) != "done":
                await trio.sleep(1.0)
        assert sum(len(set(each.tokens)) for each in made) == 2  # it was called for both terms although it raised
        events = [event for each in made for event in each.events]
        assert set(events) == {"run-000001 ready"}  # it receives no events once it has raised
        assert not [key for key in world.state.keys if key.startswith("x/")]

    run_scenario(scenario, extensions=(create,))


def test_no_extension_may_claim_keys_that_are_taken() -> None:
    class ClaimsKeysOfJobs(FaultyExtension):
        prefix = "j/x/"

    for claim in ([ClaimsKeysOfJobs(None)], [FaultyExtension(None), FaultyExtension(None)]):
        with pytest.raises(ValueError, match="taken"):
            Extensions(claim)


def test_features_are_validated_and_a_missing_file_means_all_off(tmp_path: Path) -> None:
    assert features.load(tmp_path / "none.toml") == features.Features()
    assert features.load(Path("deploy/features.toml")).pipelines.repeats == []
    for text, place in (
        ("[pipelines]\non = 1", r"\$\.pipelines\.on"),
        ("[pipeline]\non = true", "pipeline"),
        ("[pipelines]\nrepeat = []", "repeat"),
        ("[pipelines", "Expected"),
    ):
        with pytest.raises(features.FeaturesError, match=place):
            features.parse(text)
