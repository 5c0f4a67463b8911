"""Returns of machines that may hold a cancelled task, by a follower while nobody leads and nobody can be elected.

The leader tells all other controllers which machines these are, and a few that it hears of. A return needs no lease
("Machines that hang" in `docs/safety.md`), so whoever was told may ask for it once the leader is silent and the state
service, without which nobody succeeds it, answers this node no more.
"""

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.peers import Peers
from pepperlatch.controller.store import Replica
from pepperlatch.policy.cancellations import CancelledOn, return_after_s
from pepperlatch.protocol.cloud import CloudClient, CloudError
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.workers import WorkerClient
from pepperlatch.settings import WorkerTimings

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Told:
    """A machine that the leader named."""

    addr: str
    since: float  # no user was told earlier
    unanswered: int = 0  # questions since nobody leads


class LeaderlessReturns:
    """Asks the machines that the leader named last, and returns those that nobody reaches."""

    def __init__(
        self, times: WorkerTimings, clock: Callable[[], float], replica: Replica, leads: Callable[[], bool],
        workers: WorkerClient, peers: Peers, cloud: CloudClient,
    ) -> None:  # fmt: skip
        self._times = times
        self._clock = clock
        self._replica = replica
        self._leads = leads
        self._workers = workers
        self._peers = peers
        self._cloud = cloud
        self._told: dict[str, _Told] = {}
        self._told_at = float("inf")
        self._witnesses: list[str] = []

    def told(self, machines: list[CancelledOn], witnesses: list[str]) -> None:
        """By the leader. What it does not name any more has shown that it holds no such task, or is gone."""
        now = self._clock()
        self._told_at = now
        self._witnesses = witnesses
        held, self._told = self._told, {}
        for row in machines:
            since = now - row.ago_s - c.PROBE_TIMEOUT_S  # so long the message may have been under way
            known = held.get(row.machine)
            self._told[row.machine] = _Told(row.addr, since if known is None else min(since, known.since))

    async def run(self) -> None:
        """Until cancelled. A request that was sent by then may be carried out."""
        while True:
            await trio.sleep(c.TICK_S)
            if self._told and self._leaderless():
                await self._return_unanswered()

    def _leaderless(self) -> bool:
        now = self._clock()
        leader_silent = now - self._told_at > c.LEADER_SILENT_S
        return leader_silent and not self._leads() and now - self._replica.current_at > c.HANDOVER_STALE_S

    async def _return_unanswered(self) -> None:
        """Those whose time has come and that neither this node nor another reaches, though some machine is reached."""
        now = self._clock()
        due_s, most_s = return_after_s(self._times), self._times.cancel_s
        due = [name for name, held in self._told.items() if due_s < now - held.since <= most_s]
        due = sorted(due)[: c.MAX_NAMES_PER_RELEASE]
        if not due:
            return
        reaches = await self._peers.reaches(self._witnesses)
        async with trio.open_nursery() as nursery:
            for name in due:
                nursery.start_soon(self._ask, self._told[name], reaches)
        silent = [name for name in due if name in self._told and self._told[name].unanswered >= c.MAX_UNANSWERED_PROBES]
        if silent and self._leaderless():
            await self._release(silent)

    async def _ask(self, held: _Told, reaches: bool) -> None:
        with contextlib.suppress(NotSent, NoUsableResponse):
            await self._workers.inspect(held.addr)
            held.unanswered = 0
            return
        report, heard = await self._peers.inspect(held.addr, self._witnesses)
        if report is not None:
            held.unanswered = 0
        elif reaches or heard:
            held.unanswered += 1

    async def _release(self, names: list[str]) -> None:
        log.info("nobody leads: return %s: silent, perhaps with a cancelled task", ", ".join(names))
        try:
            await self._cloud.release(names)
        except CloudError as error:
            log.info("release: %s", error)
            return
        for name in names:
            self._told.pop(name, None)
