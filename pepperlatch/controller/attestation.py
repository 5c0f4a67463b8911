"""Attestation of cancellations: how a leader keeps tasks alive while the state service answers no controller.

A leader may renew tasks' leases only for the lease extension (`lease_extension_seconds`, G in `docs/safety.md`) after
its copy was proven current, since other controllers may have confirmed cancellations to users since then. Only
controllers confirm them. So if every other controller attests which cancellations it may have confirmed, and none of
them knows a later leader, the leader knows as much as a read would have shown, and the lease extension begins anew
("Attestation of cancellations" in `docs/safety.md`).
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
PEER_ATTEST, PEER_CANCELLED = "/peer/vouch", "/peer/cancelled"


class AttestationRequest(msgspec.Struct):
    """Sent by the leader to every other controller."""

    token: int
    revision: int  # up to which the requesting leader has read


class CancelledJob(msgspec.Struct):
    """A cancelled job's id, its record (`store.JobRecord`) and the version of its key."""

    id: str
    record: dict[str, Any]
    version: int


class Attestation(msgspec.Struct):
    """One controller's answer: who leads as far as it knows, and which cancellations it may have confirmed to users."""

    token: int  # of the leader that it knows; 0 if it knows none
    cancelled: list[CancelledJob]
    whole: bool  # whether these are all jobs cancelled since the revision that this node or an earlier process knew of
    more: bool = False  # there are later ones, to be requested from the last version in `cancelled` on


class PeerAttestation:
    """Requests attestations for this node while it leads, and gives them to the leader while it does not.

    `clock` is the steady clock in seconds. Created by the node; `contacts.py` calls it as long as reads fail.
    """

    def __init__(
        self, network: Network, peers: list[Peer], watcher: store.StateWatcher, leadership: Leadership,
        clock: Callable[[], float],
    ) -> None:  # fmt: skip
        self._network = network
        self._peers = peers
        self._watcher = watcher
        self._replica = watcher.replica
        self._leadership = leadership
        self._clock = clock

    # --- serving requests -------------------------------------------------------------------------

    def serve_request(self, body: bytes) -> Response:
        """Answer a leader's request for an attestation; 400 if it is malformed."""
        try:
            request = wire.convert(orjson.loads(body), AttestationRequest)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        return Response(200, wire.to_plain(self._attest(request)))

    def _attest(self, request: AttestationRequest) -> Attestation:
        """Return the cancellations since the requested revision that this node knows.

        At most about `MAX_ATTESTED_CANCELLATIONS` are returned, the earliest ones.
        """
        leader_key, term = self._replica.leader, self._leadership.term
        leads = [term.token] if term is not None and not term.over else []
        token = max([leader_key[1] if leader_key is not None else 0, *leads])
        found = self._replica.cancelled_since(request.revision)
        shown = found or []
        # One revision may cancel several jobs: all of them are sent, or none.
        last = shown[: c.MAX_ATTESTED_CANCELLATIONS][-1][0] if shown else 0
        rows = [
            CancelledJob(job_id, wire.to_plain(self._replica.jobs[job_id].record), version)
            for version, job_id in shown
            if version <= last
        ]
        # A node that has read all keys also knows what an earlier process on it confirmed to users.
        known, more = self._replica.loaded and found is not None, len(rows) < len(shown)
        return Attestation(token, rows, known and not more, known and more)

    def serve_cancelled(self, body: bytes) -> Response:
        """Take in a cancellation that another controller has had confirmed, before it answers its user."""
        try:
            row = wire.convert(orjson.loads(body), CancelledJob)
            record = wire.convert(row.record, store.JobRecord)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        if not store.is_job_id(row.id) or record.state != wire.JobState.CANCELLED.value:
            return Response(400, {"error": "wanted: a job that is cancelled"})
        self._watcher.learn([(row.id, record, row.version)])
        return Response(200, {})

    # --- sending requests -------------------------------------------------------------------------

    async def request_attestations(self, term: Term) -> None:
        """Request attestations for this leader's copy from all other controllers.

        If all are complete, the copy counts as current when this was called; if one knows a later leader, the term
        ends. When this is cancelled, cancellations received so far are applied, and nothing is proven.
        """
        sent = self._clock()
        attestations: list[Attestation] = []

        async def collect(peer: Peer) -> None:
            revision = self._replica.revision
            while True:
                attestation = await self._request_one(peer, AttestationRequest(term.token, revision))
                if attestation is None:
                    return
                rows = attestation.cancelled
                self._watcher.learn([(row.id, row.record, row.version) for row in rows])
                if not attestation.more or not rows or rows[-1].version <= revision:
                    attestations.append(attestation)
                    return
                # Request the rest. What was confirmed to users before the first request is in one of the answers.
                revision = rows[-1].version

        async with trio.open_nursery() as nursery:
            for peer in self._peers:
                nursery.start_soon(collect, peer)
        # A controller that knows only an earlier leader is merely behind, which is harmless. A leader that is elected
        # after this call counts from its own election.
        if any(attestation.token > term.token for attestation in attestations):
            log.info("another controller knows a leader with a token higher than %d; ending this term", term.token)
            term.over = True
        elif len(attestations) == len(self._peers) and all(attestation.whole for attestation in attestations):
            term.attested_at = max(term.attested_at, sent)
            if all(attestation.token == term.token for attestation in attestations):
                term.attested_latest_at = max(term.attested_latest_at, sent)

    async def notify_leader(self, job_id: str, record: store.JobRecord, version: int) -> None:
        """Notify the leader of a confirmed cancellation before the user is answered, so that it starts no such task.

        Usually takes a few ms, at most `CANCEL_NOTIFY_TIMEOUT_S`. A leader that does not answer learns of it from its
        watch. If this is cancelled, the leader may have been notified or not.
        """
        leader_key = self._replica.leader
        peer = next((p for p in self._peers if leader_key is not None and p.node == leader_key[0]), None)
        if peer is None:
            return
        body = wire.to_plain(CancelledJob(job_id, wire.to_plain(record), version))
        with contextlib.suppress(NotSent, NoUsableResponse):
            await self._network.request(peer.addr, "POST", PEER_CANCELLED, body, c.CANCEL_NOTIFY_TIMEOUT_S)

    async def _request_one(self, peer: Peer, request: AttestationRequest) -> Attestation | None:
        """Return one controller's attestation; None if it does not answer, or not as expected."""
        try:
            body = wire.to_plain(request)
            status, answer = await self._network.request(peer.addr, "POST", PEER_ATTEST, body, c.PROBE_TIMEOUT_S)
            attestation: Attestation | None = wire.convert(answer, Attestation) if status == 200 else None
            return attestation
        except (NotSent, NoUsableResponse, msgspec.ValidationError):
            return None
