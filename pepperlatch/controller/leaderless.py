"""Return of machines that may hold a cancelled task, by a follower while nobody leads and nobody can be elected.

The leader sends all other controllers the list of these machines, and the addresses of a few machines that it reaches
(witnesses). A return needs no lease ("Machines that hang" in `docs/safety.md`). So a follower that has the list may ask
for it once the leader is silent and the state service, without which there is no successor, does not answer this node.
"""

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.peers import PeerProxy
from pepperlatch.controller.store import Replica
from pepperlatch.policy.cancellations import CancelledOn, return_after_s
from pepperlatch.protocol.cloud import CloudClient, CloudError
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.workers import WorkerClient
from pepperlatch.settings import WorkerTimings

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _ReturnCandidate:
    """A machine on the leader's latest list."""

    addr: str
    since: float  # steady time before which no user was told of the cancellation
    unanswered: int = 0  # probes without an answer since nobody leads


class MessageOrder(NamedTuple):
    """Orders the leaders' messages: by the term's token, then by the message's number in the term."""

    token: int
    number: int  # 0 from a leader of an earlier version, which numbers none


class LeaderlessReturns:
    """While nobody leads, probes the machines on the leader's latest list and returns those that nobody reaches.

    Times are of the steady clock, in seconds. `leads` says whether this node leads.
    """

    def __init__(
        self, times: WorkerTimings, clock: Callable[[], float], replica: Replica, leads: Callable[[], bool],
        workers: WorkerClient, peers: PeerProxy, cloud: CloudClient,
    ) -> None:  # fmt: skip
        self._times = times
        self._clock = clock
        self._replica = replica
        self._leads = leads
        self._workers = workers
        self._peers = peers
        self._cloud = cloud
        self._candidates: dict[str, _ReturnCandidate] = {}
        self._updated_at = float("inf")
        self._latest = MessageOrder(0, 0)  # of the message with the latest list
        self._witnesses: list[str] = []

    def update_machines(self, machines: list[CancelledOn], witnesses: list[str], sent_as: MessageOrder) -> None:
        """Take in the leader's latest list, which replaces the one before, and its witnesses.

        A machine that is no longer listed has shown that it holds no such task, or is gone. A message that arrives
        after a later one, of this leader or of its successor, is ignored.
        """
        if sent_as.token < self._latest.token or (sent_as.number and sent_as < self._latest):
            return
        self._latest = sent_as
        now = self._clock()
        self._updated_at = now
        self._witnesses = witnesses
        previous, self._candidates = self._candidates, {}
        for row in machines:
            since = now - row.ago_s - c.PROBE_TIMEOUT_S  # the message may have taken up to `PROBE_TIMEOUT_S`
            known = previous.get(row.machine)
            self._candidates[row.machine] = _ReturnCandidate(
                row.addr, since if known is None else min(since, known.since)
            )

    async def run(self) -> None:
        """Run until cancelled; a return that was requested by then may still be carried out."""
        while True:
            await trio.sleep(c.TICK_S)
            await self._return_unanswered()

    def _leaderless(self) -> bool:
        """Return whether the leader is silent, this node does not lead, and its reads of the state service are old."""
        now = self._clock()
        leader_silent = now - self._updated_at > c.LEADER_SILENT_S
        return leader_silent and not self._leads() and now - self._replica.current_at > c.HANDOVER_STALE_S

    def _due(self) -> dict[str, _ReturnCandidate]:
        """The machines on the latest list whose return is due now; none as long as a leader may return them itself."""
        if not self._leaderless():
            return {}
        now = self._clock()
        due_s, most_s = return_after_s(self._times), self._times.cancel_s
        names = sorted(name for name, machine in self._candidates.items() if due_s < now - machine.since <= most_s)
        return {name: self._candidates[name] for name in names[: c.MAX_NAMES_PER_RELEASE]}

    async def _return_unanswered(self) -> None:
        """Probe the machines whose return is due, and return those that no controller reaches.

        A probe without an answer counts only if this node reaches a witness, or if another controller's failure to
        reach the machine is conclusive (see `PeerProxy.inspect`). While this waits for answers, a leader may be heard
        again and replace the list, so what is due is determined anew after each wait.
        """
        if not self._due():
            return
        witness_reached = await self._peers.reaches_any(self._witnesses)
        async with trio.open_nursery() as nursery:
            for machine in self._due().values():
                nursery.start_soon(self._probe, machine, witness_reached)
        silent = [name for name, machine in self._due().items() if machine.unanswered >= c.MAX_UNANSWERED_PROBES]
        if silent:
            await self._release(silent)

    async def _probe(self, machine: _ReturnCandidate, witness_reached: bool) -> None:
        """Inspect one machine, directly and then through the other controllers, and count failed probes in a row."""
        with contextlib.suppress(NotSent, NoUsableResponse):
            await self._workers.inspect(machine.addr)
            machine.unanswered = 0
            return
        report, conclusive = await self._peers.inspect(machine.addr, self._witnesses)
        if report is not None:
            machine.unanswered = 0
        elif witness_reached or conclusive:
            machine.unanswered += 1

    async def _release(self, names: list[str]) -> None:
        """Ask the cloud to take machines back; they stay candidates if it does not confirm that."""
        log.info(
            "nobody leads: returning machines %s to the cloud; silent, and may hold a cancelled task", ", ".join(names)
        )
        try:
            await self._cloud.release(names)
        except CloudError as error:
            log.info("the cloud did not confirm the return of machines, retrying while nobody leads: %s", error)
            return
        for name in names:
            self._candidates.pop(name, None)
