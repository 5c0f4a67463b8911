"""What the controllers know together while the state service answers none of them.

A leader may keep tasks alive for G after its copy was proven current, for others may have confirmed cancellations
since. Only controllers confirm them. So a leader that hears from every other one what that one may have told users,
and that none of them leads, knows as much as a reading would have told it, and G begins anew ("Vouching" in
`docs/safety.md`).
"""

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
from pepperlatch.protocol.http.client import Lost, Network, NotSent
from pepperlatch.protocol.http.server import Response
from pepperlatch.settings import Peer

log = logging.getLogger(__name__)
PEER_VOUCH = "/peer/vouch"


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
        rows = [
            Cancelled(job_id, wire.to_plain(self._replica.jobs[job_id].record), version)
            for version, job_id in (found or [])[: c.VOUCH_MOST]
        ]
        # Whoever has read all keys knows what an earlier process of this node told users.
        whole = self._replica.loaded and found is not None and len(found) <= c.VOUCH_MOST
        return Statement(token, rows, whole)

    # --- asking -----------------------------------------------------------------------------------

    async def ask(self, term: Term) -> None:
        """Have the others vouch for this leader's copy. Cancelled, what some have told is known, and proves nothing."""
        sent = self._clock()
        statements: list[Statement] = []

        async def one(peer: Peer) -> None:
            statement = await self._ask(peer, Question(term.token, self._replica.revision))
            if statement is not None:
                self._watched.learn([(row.id, row.record, row.version) for row in statement.cancelled])
                statements.append(statement)

        async with trio.open_nursery() as nursery:
            for peer in self._peers:
                nursery.start_soon(one, peer)
        # One that knows an earlier leader only has had no news. Who wins after this reckons from then on.
        if any(statement.token > term.token for statement in statements):
            log.info("another controller knows a later leader than %d", term.token)
            term.over = True
        elif len(statements) == len(self._peers) and all(statement.whole for statement in statements):
            term.vouched_at = max(term.vouched_at, sent)

    async def _ask(self, peer: Peer, question: Question) -> Statement | None:
        try:
            body = wire.to_plain(question)
            status, answer = await self._network.request(peer.addr, "POST", PEER_VOUCH, body, c.PROBE_S)
            statement: Statement | None = wire.convert(answer, Statement) if status == 200 else None
            return statement
        except (NotSent, Lost, msgspec.ValidationError):
            return None
