"""Machines that a leader commands with a newer token than the one of its term: followers treat them like all others."""

from typing import Any

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.heartbeats.delegation import DelegatedAnswers
from pepperlatch.policy.delegation import DelegationAnswer
from tests.cuts.test_sessions import TOKEN, report
from tests.fakes import LEASE_S, REPORT_S, World, job, run_scenario


async def start_service_beside_a_reaped_task(world: World) -> tuple[dict[str, Any], int]:
    """Start a service of one replica, and run a task on its machine until that has a newer token; returns both."""
    world.cloud.create("a")
    await trio.sleep(7)
    service = job(1, shape="daemon", pieces=1)
    await world.submit(service)
    await world.until(lambda: world.running(service) == 1, 40)
    await world.submit(job(2, pieces=1, expected_s=1.0))
    token = world.nodes[world.leader()].leader.term.token  # type: ignore[union-attr]
    await world.until(lambda: world.hosts(service)[0].token > token, 30)
    assert len(world.hosts(service)[0].tasks) == 1, "the ended task was reaped"
    await trio.sleep(2 * REPORT_S)
    return service, token


def test_a_service_on_a_machine_with_a_newer_token_survives_an_outage_in_which_the_leader_dies() -> None:
    async def scenario(world: World) -> None:
        service, _ = await start_service_beside_a_reaped_task(world)
        world.state.down = True
        await trio.sleep(1)
        world.kill(world.leader())
        await trio.sleep(LEASE_S + 3)
        world.state.down = False
        await trio.sleep(LEASE_S + 3)
        assert (world.running(service), world.observer.starts["run-000001"]) == (1, 1)

    run_scenario(scenario)


def test_followers_answer_heartbeats_of_a_machine_with_a_newer_token() -> None:
    async def scenario(world: World) -> None:
        service, token = await start_service_beside_a_reaped_task(world)
        node = world.nodes[world.hosts(service)[0].reports_to]
        statement = node.heartbeats.delegated_answers.statement(token, trio.current_time())
        assert [grant.machine for grant in statement.held] == [world.hosts(service)[0].name]

    run_scenario(scenario)


def test_a_lease_is_renewed_only_for_tokens_that_the_leader_is_known_to_have_used() -> None:
    """A token above those may be a later leader's."""

    async def scenario(world: World) -> None:
        await trio.sleep(2)
        follower = next(node for index, node in world.nodes.items() if index != world.leader())
        handler = follower.heartbeats
        contact = handler.leader_contact
        handler._state.last_success_at = float("-inf")  # the state service is not reached
        handler._renewal_revoked_until = handler._began_at = float("-inf")
        handler._replica.current_at = trio.current_time()
        newest = contact.newest_token
        assert newest >= contact.token
        assert handler._may_renew_lease(report(1, 1, token=newest))
        assert not handler._may_renew_lease(report(1, 1, token=newest + 1))
        handler._note_token(contact.token, newest + 4)
        assert handler._may_renew_lease(report(1, 1, token=newest + 4))
        handler._note_token(contact.token + 1, newest + 9)  # another leader's answer
        assert not handler._may_renew_lease(report(1, 1, token=newest + 9))
        assert not handler._may_renew_lease(report(1, 1, token=contact.token - 1))

    run_scenario(scenario)


def test_a_grant_holds_for_the_token_that_the_worker_showed_to_the_leader() -> None:
    follower = DelegatedAnswers(REPORT_S, LEASE_S, 0.0, lambda job_id: False)
    stated = follower.statement(TOKEN, 1.0)
    follower.on_leader_answer(stated, DelegationAnswer(10.0, 0), TOKEN, 1.0)
    first = report(1, 1, TOKEN + 5)
    follower.on_forwarded(first)
    follower.on_answered(first, 1, TOKEN, 1.0)
    assert not follower.try_answer(report(1, 2, TOKEN + 6), TOKEN, 2.0)
    assert not follower.try_answer(report(1, 2, TOKEN), TOKEN, 2.0)
    assert follower.try_answer(report(1, 2, TOKEN + 5), TOKEN, 2.0)


def test_a_token_that_reaping_waits_for_is_written_if_nothing_else_is() -> None:
    async def scenario(world: World) -> None:
        world.cloud.create("a")
        await trio.sleep(7)
        service = job(1, shape="daemon", pieces=1)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 1, 40)
        host, key = world.hosts(service)[0], next(iter(world.hosts(service)[0].tasks))
        host.end_task(host.tasks[key], "error")
        await world.until(lambda: key not in host.tasks, c.NEWER_TOKEN_INTERVAL_S + 3 * REPORT_S)
        revision = world.state.revision
        await trio.sleep(20)
        assert world.state.revision - revision <= 1, "nothing is written when nothing waits"

    run_scenario(scenario)
