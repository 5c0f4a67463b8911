"""What the controllers know together while the state service answers none of them.

A leader may keep tasks alive for G after its copy was proven current, for others may have confirmed cancellations
since. Only controllers confirm them. So a leader that hears from every other one what that one may have told users,
and that none of them leads, knows as much as a reading would have told it, and G begins anew ("Vouching" in
`docs/safety.md`).
"""

import contextlib
import logging
from collections.abc import Callable
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leadership import Leadership, Term
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Response
from pepperlatch.settings import Peer

log = logging.getLogger(__name__)
PEER_VOUCH, PEER_CANCELLED = "/peer/vouch", "/peer/cancelled"


class Question(msgspec.Struct):
    token: int
    revision: int  # up to which the asking leader has read


class Cancelled(msgspec.Struct):
    id: str
    record: dict[str, Any]
    version: int


class Statement(msgspec.Struct):
    """Of one controller: who leads, as far as it knows, and what it may have told users."""

    token: int  # 0: nobody
    cancelled: list[Cancelled]
    whole: bool  # whether these are all jobs cancelled since the leader's reading that it or a life before it knew of
    more: bool = False  # there are later ones than these, to be asked for by the last revision given


class Vouching:
    def __init__(
        self, network: Network, peers: list[Peer], watched: store.Watched, leadership: Leadership,
        clock: Callable[[], float],
    ) -> None:  # fmt: skip
        self._network = network
        self._peers = peers
        self._watched = watched
        self._replica = watched.replica
        self._leadership = leadership
        self._clock = clock

    # --- being asked ------------------------------------------------------------------------------

    def serve(self, body: bytes) -> Response:
        try:
            question = wire.convert(orjson.loads(body), Question)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        return Response(200, wire.to_plain(self._statement(question)))

    def _statement(self, question: Question) -> Statement:
        held, term = self._replica.leader, self._leadership.term
        leads = [term.token] if term is not None and not term.over else []
        token = max([held[1] if held is not None else 0, *leads])
        found = self._replica.cancelled_since(question.revision)
        shown = found or []
        last = (
            shown[: c.MAX_ATTESTED_CANCELLATIONS][-1][0] if shown else 0
        )  # a revision may cancel several: all of them or none
        rows = [
            Cancelled(job_id, wire.to_plain(self._replica.jobs[job_id].record), version)
            for version, job_id in shown
            if version <= last
        ]
        # Whoever has read all keys knows what an earlier process of this node told users.
        known, more = self._replica.loaded and found is not None, len(rows) < len(shown)
        return Statement(token, rows, known and not more, known and more)

    def serve_cancelled(self, body: bytes) -> Response:
        """Another controller has had a cancellation confirmed, and tells this one before it tells the user."""
        try:
            row = wire.convert(orjson.loads(body), Cancelled)
            record = wire.convert(row.record, store.JobRecord)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        if not store.is_job_id(row.id) or record.state != wire.JobState.CANCELLED.value:
            return Response(400, {"error": "wanted: a job that is cancelled"})
        self._watched.learn([(row.id, record, row.version)])
        return Response(200, {})

    # --- asking -----------------------------------------------------------------------------------

    async def ask(self, term: Term) -> None:
        """Have the others vouch for this leader's copy. Cancelled, what some have told is known, and proves nothing."""
        sent = self._clock()
        statements: list[Statement] = []

        async def one(peer: Peer) -> None:
            revision = self._replica.revision
            while True:
                statement = await self._ask(peer, Question(term.token, revision))
                if statement is None:
                    return
                rows = statement.cancelled
                self._watched.learn([(row.id, row.record, row.version) for row in rows])
                if not statement.more or not rows or rows[-1].version <= revision:
                    statements.append(statement)
                    return
                revision = rows[-1].version  # the rest: what was told before the first question is in one of them

        async with trio.open_nursery() as nursery:
            for peer in self._peers:
                nursery.start_soon(one, peer)
        # One that knows an earlier leader only has had no news. Who wins after this reckons from then on.
        if any(statement.token > term.token for statement in statements):
            log.info("another controller knows a later leader than %d", term.token)
            term.over = True
        elif len(statements) == len(self._peers) and all(statement.whole for statement in statements):
            term.vouched_at = max(term.vouched_at, sent)

    async def tell(self, job_id: str, record: store.JobRecord, version: int) -> None:
        """Let the leader know of a cancellation before its user does, so that it starts nothing of it any more.

        Seldom more than a few ms; a leader that does not answer has it from its watch. Cancelled, it may know or not.
        """
        held = self._replica.leader
        peer = next((p for p in self._peers if held is not None and p.node == held[0]), None)
        if peer is None:
            return
        body = wire.to_plain(Cancelled(job_id, wire.to_plain(record), version))
        with contextlib.suppress(NotSent, NoUsableResponse):
            await self._network.request(peer.addr, "POST", PEER_CANCELLED, body, c.CANCEL_NOTIFY_TIMEOUT_S)

    async def _ask(self, peer: Peer, question: Question) -> Statement | None:
        try:
            body = wire.to_plain(question)
            status, answer = await self._network.request(peer.addr, "POST", PEER_VOUCH, body, c.PROBE_TIMEOUT_S)
            statement: Statement | None = wire.convert(answer, Statement) if status == 200 else None
            return statement
        except (NotSent, NoUsableResponse, msgspec.ValidationError):
            return None
