"""Edge cases: malformed HTTP and settings, the command line, and the policies as pure functions."""

import contextlib
import subprocess
import sys
from pathlib import Path
from typing import Any

import h11
import pytest
import trio
import trio.testing

from pepperlatch.command import cli, client
from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leadership import lease_extension_seconds
from pepperlatch.policy import draining, fleet, quota
from pepperlatch.policy.model import Attempt, Job, Machine, Phase, Status
from pepperlatch.policy.supply import FinishingSlot, ReplicaReserve, assign_finishing_slots, slack_s
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.protocol.token_bucket import TokenBucket
from pepperlatch.settings import Objective, SettingsError, Team, parse
from tests.fakes import World, job, run_scenario, settings_of

TYPE = wire.convert(
    {"sku": "m8", "cores": 8.0, "gpus": 0.0, "memory_gb": 32.0, "cache_gb": 20.0, "pull_gb_per_s": 1.0, "rate": 1.0,
     "market_price": 0.3, "ready_s": 5.0, "yards": ["a", "b"]}, wire.MachineType
)  # fmt: skip


def spec_of(number: int, **changes: Any) -> wire.JobSpec:
    """The spec of a job that `tests.fakes.job` makes from these arguments."""
    spec: wire.JobSpec = wire.convert(job(number, **changes), wire.JobSpec)
    return spec


def machine(name: str, zone: str = "a", spot: bool = False) -> Machine:
    """A machine of 8 CPUs that is up and last reported at 0 s."""
    return Machine(name, TYPE, zone, spot, "", Status.UP, 0.0, last_report_at=0.0, reached_at=0.0, heartbeat_at=0.0)


def run_on(where: Machine, one: Job, task: int, since: float = 0.0) -> Attempt:
    """Let the task run on the machine since this time, in seconds, and return its attempt."""
    attempt = Attempt(one, task, task + 1, where, since, Phase.CONFIRMED, wire.TaskState.RUNNING, since)
    one.live[task] = attempt
    where.add(attempt)
    return attempt


def new_job(number: int, **changes: Any) -> Job:
    return Job(spec_of(number, **changes), number, 0.0, False)


# --- HTTP -----------------------------------------------------------------------------------------


def exchange(*pieces: bytes, pause_s: float = 0.0) -> bytes:
    """All that a server sends in answer to these bytes until it closes, or within 200 virtual seconds.

    The client pauses before each piece. An exception that leaves the connection is raised here.
    """

    async def handler(request: Request) -> Response:
        if request.path == "/crash":
            raise RuntimeError("a fault of ours")
        return Response(200, {"bytes": len(request.body)})

    async def main() -> bytes:
        client_end, server_end = trio.testing.memory_stream_pair()
        received = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server(handler, 10)._connection, server_end)
            with contextlib.suppress(trio.BrokenResourceError):
                for piece in pieces:
                    await trio.sleep(pause_s)
                    await client_end.send_all(piece)
            with trio.move_on_after(200):
                while chunk := await client_end.receive_some(65536):
                    received += chunk
            await client_end.aclose()  # the server notices and returns
        return received

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_http_requests_are_answered_at_once_or_closed_at_a_deadline() -> None:
    assert exchange(b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400")
    big = b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70000
    assert exchange(big).startswith(b"HTTP/1.1 400")
    declared = b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n"
    for sent in (b"x", b"x" * 300_000):  # answered at once, and what is sent meanwhile is still read
        assert b"larger than 65536 bytes" in exchange(declared + sent)
    for other in (b"GET / HTTP/2.0\r\nHost: x\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"GET / HTTP/3\r\n\r\n"):
        assert exchange(other).startswith(b"HTTP/1.1 505") and b"HTTP/1.1 is" in exchange(other)
    assert exchange(b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc") == b""
    assert exchange(b"GET /crash HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").startswith(b"HTTP/1.1 500")
    two = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi" * 2
    assert exchange(two).count(b"HTTP/1.1 200") == 2


def test_requests_whose_answers_have_no_body_do_not_end_a_controller() -> None:
    """Guards against a HEAD or CONNECT request that ended a controller with an error of the HTTP library."""
    head = exchange(b"HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    answers = head.split(b"HTTP/1.1 200")[1:]
    assert len(answers) == 2
    assert [answer.lower().count(b"content-length: 11") for answer in answers] == [1, 1]
    assert answers[0].endswith(b"\r\n\r\n") and answers[1].endswith(b'{"bytes":0}')
    assert exchange(b"HEAD /crash HTTP/1.1\r\nHost: x\r\n\r\n").startswith(b"HTTP/1.1 500")
    connect = exchange(b"CONNECT example.org:443 HTTP/1.1\r\nHost: example.org\r\n\r\n")
    assert connect.startswith(b"HTTP/1.1 405") and b"CONNECT" in connect


@pytest.mark.parametrize("pause_s", [c.REQUEST_READ_S / 4, c.REQUEST_READ_S / 2, c.REQUEST_READ_S + 0.1])
def test_an_upload_that_outlasts_its_deadline_ends_only_its_connection(pause_s: float) -> None:
    """Guards against a negative time to wait, which ended a controller when data came just as the deadline passed."""
    head = b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"
    assert exchange(head, *[b"x"] * 100, pause_s=pause_s) == b""


def test_a_piece_that_came_as_the_deadline_passed_is_read_without_a_negative_wait() -> None:
    async def main() -> Any:
        client_end, server_end = trio.testing.memory_stream_pair()
        connection = h11.Connection(h11.SERVER)
        await client_end.send_all(b"GET / HTTP/1.1\r\n")
        return await Server(answer_nothing, 1)._event(connection, server_end, -0.5)

    assert isinstance(trio.run(main), h11.ConnectionClosed)


async def answer_nothing(request: Request) -> Response:
    return Response(200)


def test_malformed_jobs_never_crash_a_node() -> None:
    async def scenario(world: World) -> None:
        bodies: list[Any] = [
            b"",
            b"[]",
            b"null",
            b"{",
            b'{"name_id": 5}',
            b'{"name_id": "run-1", "cores": NaN}',
            b"\xff\xfe",
        ]
        bodies += [
            job(1, cores=1e999),
            job(1, pieces=0),
            job(1, pieces="2"),
            job(1, name_id="run-a/b"),
            job(1, name_id="x" * 300),
        ]
        bodies += [job(1, bundle="x" * 40_000)]
        bodies += [
            {k: v for k, v in job(1).items() if k != name} for name in ("crew", "cores", "shape", "loaners", "bundle")
        ]
        for body in bodies:
            raw = body if isinstance(body, bytes) else None
            response = await world.nodes[0].handle(Request("POST", "/work", raw)) if raw is not None else None
            status = response.status if response else (await world.ask(0, "POST", "/work", body))[0]
            assert status == 400, body
        optional = {k: v for k, v in job(2).items() if k not in ("builds", "yard", "due_s")}
        assert (await world.submit(optional))[0] == 201
        assert (await world.submit(job(3, bundle="x" * 20_000)))[
            0
        ] == 201  # the description is stored in several pieces
        for path in ("/work/", "/work/a/b/c", "/work/run-1/cancel/x", "/nothing"):
            assert (await world.ask(0, "GET", path))[0] == 404

    run_scenario(scenario)


# --- settings and command line --------------------------------------------------------------------


def test_a_wrong_setting_ends_the_program_with_one_line_that_names_it(tmp_path: Path) -> None:
    good = 'node_name="n"\nzone="a"\nbind="1.1.1.1:1"\npeer_listen="1.1.1.1:2"\nunknown=1\n'
    with pytest.raises(SettingsError, match="params"):
        parse(good + '[outside]\ncloud="1.1.1.1:3"\nstate="1.1.1.1:4"\n')
    with pytest.raises(SettingsError, match="bind"):
        parse(good.replace("bind", "bond"))
    file = tmp_path / "node.toml"
    file.write_text("node_name = 3", "utf-8")
    done = subprocess.run(
        [sys.executable, "run.py", "--config", str(file)],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "node_name" in done.stderr


def test_the_command_line_has_help_and_parses_settings_changes(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["--help"]) == 0 and "submit" in capsys.readouterr().out
    assert cli.main(["submit", "--node", "127.0.0.1:1", "/no/such/file"]) == 2
    assert client.parse_settings_change(["version=3", "idle_s=20"]) == {"version": 3, "settings": {"idle_s": 20.0}}
    with pytest.raises(ValueError, match="version"):
        client.parse_settings_change(["idle_s=20"])


# --- drains ---------------------------------------------------------------------------------------


def chosen_drain(
    machines: list[Machine], now: float = 5.0, needed: bool = False, age_s: float = 600.0
) -> draining.Drain | None:
    return draining.choose_drain(machines, 0.30, age_s, 8.0, now, lambda m: needed)


def test_the_least_used_machine_is_drained_onto_the_fullest_busy_one_in_its_zone() -> None:
    low, full, fuller, far = machine("low"), machine("full"), machine("fuller"), machine("far", "b")
    one = new_job(1, cores=2.0, pieces=20)
    move = run_on(low, one, 0)
    for n, (where, count) in enumerate(((full, 2), (fuller, 3), (far, 3))):
        for i in range(count):
            run_on(where, one, 1 + 4 * n + i)
    choice = chosen_drain([low, full, fuller, far, machine("idle")])
    assert choice is not None and choice.machine is low
    assert choice.moves == [(move, fuller)]


def test_one_task_without_a_destination_prevents_the_drain() -> None:
    low, other = machine("low"), machine("other")
    run_on(low, new_job(1, cores=2.0, memory_gb=20.0), 0)
    run_on(other, new_job(2, cores=6.0, memory_gb=20.0), 0)
    assert chosen_drain([low, other]) is None


def test_a_machine_that_is_needed_or_holds_old_gang_or_last_replica_tasks_is_not_drained() -> None:
    def world(**changes: Any) -> list[Machine]:
        low, other = machine("low"), machine("other")
        run_on(low, new_job(1, cores=2.0, **changes), 0)
        run_on(other, new_job(2, cores=4.0), 0)
        return [low, other]

    assert chosen_drain(world()) is not None
    assert chosen_drain(world(), needed=True) is None
    for shape, now, why in (
        ("sweep", 20.0, "would lose over 8 s of work"), ("group", 5.0, "is of a gang"),
        ("daemon", 5.0, "is the only replica that runs"),
    ):  # fmt: skip
        machines = world(shape=shape)
        reason = draining.reason_not_drained(machines[0], machines, 600.0, 8.0, now, lambda m: False)
        assert reason.endswith(why), reason
    assert chosen_drain(world(), now=5.0, age_s=4.0) is None
    assert chosen_drain(world(), now=20.0) is None, "20 s of work would be lost"
    assert chosen_drain(world(shape="group")) is None
    assert chosen_drain(world(shape="daemon")) is None


def test_a_replica_moves_within_its_zone_only() -> None:
    low, far, near = machine("low"), machine("far", "b"), machine("near")
    replica_job = new_job(1, shape="daemon", cores=2.0)
    run_on(low, replica_job, 0)
    run_on(far, replica_job, 1)
    run_on(far, new_job(2, cores=2.0), 0)
    assert chosen_drain([low, far], now=100.0) is None
    run_on(near, new_job(3, cores=4.0), 0, since=99.0)
    assert chosen_drain([low, far, near], now=100.0) is None, "it would be away while its image is fetched"
    near.used_image(replica_job.spec.image, replica_job.spec.image_gb)
    choice = chosen_drain([low, far, near], now=100.0)
    assert choice is not None and choice.moves[0][1] is near


# --- other policies -------------------------------------------------------------------------------


def test_jobs_within_a_guarantee_are_counted_in_order_of_arrival() -> None:
    teams = {"red": Team("red", 8.0, 16.0)}
    jobs = [new_job(1, pieces=2, cores=2.0), new_job(2, pieces=4, cores=2.0), new_job(3, pieces=1, cores=0.5)]
    assert quota.within_guarantee(jobs, teams) == {"run-000001"}
    room = quota.Quota(teams)
    room.of("red").add(jobs[0].spec, 7)
    assert room.room(jobs[1].spec) == 1
    room.unverified = {"red": quota.Usage(2.0, 0.0)}
    assert room.room(jobs[1].spec) == 0


def test_offers_depend_on_tasks_per_slot_zones_and_price() -> None:
    flexible = fleet.Demand(new_job(1, pieces=16, cores=4.0, loaners=True), 16, tasks_per_slot=4)
    assert fleet.choose_offers([flexible], [TYPE], set(), 50) == [
        fleet.Offer("m8", "a", True),
        fleet.Offer("m8", "a", True),
    ]
    spread = fleet.Demand(new_job(2, pieces=2, cores=2.0, apart=True), 2)
    assert {offer.zone for offer in fleet.choose_offers([spread], [TYPE], set(), 50)} == {"a", "b"}
    blocked = {fleet.Offer("m8", zone, spot) for zone in "ab" for spot in (True, False)}
    assert fleet.choose_offers([fleet.Demand(new_job(3), 2)], [TYPE], blocked, 50) == []


def test_slots_of_finishing_tasks_reduce_the_demand_of_jobs_that_can_wait() -> None:
    one = new_job(1, cores=2.0, pieces=9, expected_s=10.0)
    places = [FinishingSlot(machine("m"), one.spec, free_in_s) for free_in_s in (5.0, 50.0)]
    need = fleet.Demand(one, 4)
    assign_finishing_slots(need, places, 26.0)
    assert need.count == 1, "three turns of 10 s in the first place, the second comes too late"
    objectives = [Objective("wait", "x", 100.0), Objective("finished", "x", 60.0), Objective("wait", "other", 1.0)]
    assert 0 < slack_s(one, objectives, 20.0) < 40.0


def test_room_reserved_for_replicas_is_not_used_by_other_jobs() -> None:
    host, one = machine("host"), spec_of(1, shape="daemon", cores=4.0, pieces=1, bundle="web")
    reserve = ReplicaReserve()
    reserve.recount([host], [one], 1.0)
    sweep = spec_of(2, cores=4.0)
    assert reserve.allows(sweep, host) and reserve.allows(one, host)
    host.reserve_room(sweep)
    reserve.update_machine(host)
    assert not reserve.allows(sweep, host) and reserve.allows(one, host)
    assert reserve.needs_machine(host) and not reserve.is_short()


def test_bitmaps_of_done_tasks_fit_the_value_size_limit() -> None:
    """Large values are stored in the form that every version reads, small ones in finer pieces; reads combine both."""
    replica = store.Replica()
    saved: set[int] = set()
    rounds = (({0, 7, 8, 32767, 32768}, 16.0), ({9, 12_000, 20_000, 99_999}, 2.0))
    for revision, (fresh, value_kb) in enumerate(rounds, 1):
        done = saved | fresh
        savings = store.done_task_writes(replica, "run-1", done, saved, value_kb)
        assert all(store.fits_value(s.value, value_kb) for s in savings)
        replica.apply(wire.Changes(revision, [wire.Change(revision, put=s.key, value=s.value) for s in savings]))
        saved = replica.done_tasks("run-1")
        assert saved == done
    assert any(s.key.startswith(store.DONE_FINE) for s in savings)
    large, version = replica.done["run-1"][0]
    assert version == 1 and len(large) == 4096  # stored while larger values were allowed; never rewritten
    assert set(replica.leftover_keys("run-1")) >= {f"{store.DONE}run-1/0", f"{store.DONE_FINE}run-1/4"}


def test_an_older_change_never_undoes_a_newer_one() -> None:
    replica = store.Replica()
    key = store.JOB + "run-1"
    replica.reload(3, [wire.KeyValue(key, {"state": "done"}, 9)])
    replica.apply(wire.Changes(10, [wire.Change(4, put=key, value={"state": "queued"})]))
    assert replica.jobs["run-1"].state is wire.JobState.DONE


def test_the_token_bucket_limits_its_rate_and_an_extended_lease_ends_before_the_cancel_time() -> None:
    bucket = TokenBucket(10.0)
    assert bucket.take(1.0) == 0.0
    waits = [bucket.take(1.0) for _ in range(20)]
    assert waits[0] == 0.0 and 0.9 < waits[-1] < 1.2
    assert bucket.take(1.0, urgent=True) == 0.0
    params = settings_of(0).params.workers
    assert lease_extension_seconds(params.cancel_s, params.lease_s) + params.lease_s < params.cancel_s - 0.9
