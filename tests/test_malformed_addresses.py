"""Addresses that are none, as a worker or the cloud may name them: requests to them are not sent, and nothing ends."""

import pytest
import trio

from pepperlatch.protocol.http.client import HttpNetwork, NotSent
from pepperlatch.settings import SettingsError, split_address
from tests.fakes import World, job, run_scenario

MALFORMED = [
    "", "nonsense", "10.1.0.1", ":80", "10.1.0.1:", "10.1.0.1:0", "10.1.0.1:65536", "10.1.0.1:²", "10.1.0.1:-1",
    "10.1.0.1:" + "9" * 5000,
]  # fmt: skip
NO_HOSTS = ["a..b:80", "x" * 300 + ":80", "\0:80", "\u00e9" * 70 + ":80", "10.1.0.1\r\nX: y:80"]


def repr_short(addr: str) -> str:
    return repr(addr[:16])


@pytest.mark.parametrize("addr", MALFORMED, ids=repr_short)
def test_a_malformed_address_is_told_as_such(addr: str) -> None:
    """Guards against ports whose digits int() refuses with another error than the documented one."""
    with pytest.raises(SettingsError):
        split_address(addr)


@pytest.mark.parametrize("addr", MALFORMED + NO_HOSTS, ids=repr_short)
def test_a_request_to_a_malformed_address_is_not_sent(addr: str) -> None:
    """Guards against an error that callers do not expect: a worker's address ended the leader."""

    async def main() -> int:
        network = HttpNetwork(2)
        with pytest.raises(NotSent):
            await network.request(addr, "GET", "/inspect")
        return network._open

    assert trio.run(main) == 0


@pytest.mark.parametrize("addr", ["", "nonsense", "10.1.0.1:65536"])
def test_a_worker_with_a_malformed_address_gets_tasks_in_answers_to_its_reports(addr: str) -> None:
    async def scenario(world: World) -> None:
        world.cloud.create("a").addr = addr
        world.cloud.capacity.clear()
        one = job(1, pieces=2)
        assert (await world.submit(one))[0] == 201
        await world.until(lambda: world.state.job_state("run-000001") == "done", 60)

    run_scenario(scenario)
