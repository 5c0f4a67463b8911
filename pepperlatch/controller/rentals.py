"""The leader's requests to the cloud: renting and returning machines, the list of machines, types and prices.

A hire is recorded in the state service before it is requested, so that no leader can lose track of the machines.
"""

import logging
from collections import Counter

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leader_context import LeaderContext
from pepperlatch.controller.writer import Write
from pepperlatch.policy.fleet import Offer
from pepperlatch.policy.model import Machine, Status
from pepperlatch.protocol import wire
from pepperlatch.protocol.cloud import CloudClient, CloudError, NoCapacity

log = logging.getLogger(__name__)


class Rentals:
    """Rents and returns machines during one term; the `..._loop` coroutines run until the term is over.

    `_open_hires` maps the name of each recorded hire to its machines that have no record of their own yet. While the
    request has no answer it holds "" in their place.
    """

    def __init__(self, context: LeaderContext, cloud: CloudClient) -> None:
        self._context = context
        self._cloud = cloud
        self._hire_count = 0
        self._open_hires: dict[str, set[str]] = {}

    def rent(self, now: float) -> None:
        """Request the machines that the planner wants, the largest requests first.

        At most `MAX_CONCURRENT_HIRES` requests are open at once. The rest is requested in later calls, together with
        what is wanted by then.
        """
        free = c.MAX_CONCURRENT_HIRES - len(self._context.planner.requested)
        if free <= 0:
            return
        chosen = Counter(self._context.planner.offers_to_rent(now))
        for offer, count in chosen.most_common(free):
            self._hire(offer, count)

    def _hire(self, offer: Offer, count: int) -> None:
        """Record the hire under a name of its own, then request it; a later leader repeats what is recorded."""
        self._hire_count += 1
        name = f"{self._context.settings.node}-{self._context.term.token}-{self._hire_count}"
        self._context.planner.requested[offer] += count
        record = store.HireRecord(offer.type, offer.zone, offer.spot, count)
        self._open_hires[name] = {""}

        def on_outcome(applied: bool) -> None:
            self._context.spawn(self._request_hire, name, record)

        self._context.writer.add(Write([wire.put(store.HIRE + name, wire.to_plain(record))], on_outcome))

    def repeat_hire(self, name: str, record: store.HireRecord) -> None:
        """Repeat a hire that an earlier leader recorded.

        The cloud answers a repeated name as it did before, or rents the machines now if the request was lost.
        """
        offer = Offer(record.type, record.zone, record.spot)
        if record.type in self._context.cluster.types:
            self._context.planner.requested[offer] += record.count
        self._open_hires[name] = {""}
        self._context.spawn(self._request_hire, name, record)

    async def _request_hire(self, name: str, record: store.HireRecord) -> None:
        """Request a hire until the cloud answers or the term is over, and only while the leader's lease is valid."""
        offer = Offer(record.type, record.zone, record.spot)
        names: list[str] | None = []
        while not self._context.term.over:
            while not self._context.term.lease_valid(self._context.clock()):
                await trio.sleep(c.STATE_RETRY_S)
                if self._context.term.over:
                    return
            try:
                names = await self._cloud.hire(name, record.type, record.zone, record.spot, record.count)
            except NoCapacity:
                names = None
            except CloudError as error:
                log.info("hire request %s failed, trying again: %s", name, error)
                await trio.sleep(c.CLOUD_RETRY_PAUSE_S)
                continue
            break
        self._context.command_loop.enqueue(lambda: self._on_hired(name, offer, record.count, names))

    def _on_hired(self, hire: str, offer: Offer, count: int, names: list[str] | None) -> None:
        """Take in the answer to a hire: the names of the machines, or None if the cloud has no capacity."""
        now = self._context.clock()
        self._context.planner.requested[offer] -= count
        if self._context.planner.requested[offer] <= 0:
            del self._context.planner.requested[offer]
        if names is None or len(names) < count:
            self._context.planner.offer_refused(offer, now)
        else:
            self._context.planner.offer_granted(offer)
        kind = self._context.cluster.types.get(offer.type)
        log.info(
            "the cloud answered a hire with machines %s (None: no capacity) of %d requested: type %s, zone %s%s",
            names,
            count,
            offer.type,
            offer.zone,
            " spot" if offer.spot else "",
        )
        unrecorded = {""}
        for name in names or []:
            known = self._context.cluster.machines.get(name)
            if (
                kind is None
                or name in self._context.cluster.removed_machines
                or (known is not None and known.status is not Status.BOOTING)
            ):
                continue
            unrecorded.add(name)
            if known is not None:
                known.unexpected = False
            else:
                machine = Machine(name, kind, offer.zone, offer.spot, "", Status.BOOTING, now)
                self._context.cluster.machines[name] = machine
                self._context.cluster.listener.machine(machine, "hired", "", now)
        self._open_hires[hire] = unrecorded
        self.drop_from_hires("")
        self._context.cluster.dirty = True

    def drop_from_hires(self, name: str) -> None:
        """Note that a machine is recorded or gone, and delete each hire's record that no machine needs any more."""
        for hire, names in list(self._open_hires.items()):
            names.discard(name)
            if not names:
                del self._open_hires[hire]
                self._context.writer.add(Write([wire.delete(store.HIRE + hire)], lambda ok: None))

    # --- types, lists and returns -----------------------------------------------------------------

    async def types_loop(self) -> None:
        """Read machine types and prices every `PRICE_POLL_INTERVAL_S`."""
        while not self._context.term.over:
            try:
                types = await self._cloud.types()
                self._context.command_loop.enqueue(lambda t=types: self._on_types(t))  # type: ignore[misc]
                await trio.sleep(c.PRICE_POLL_INTERVAL_S)
            except CloudError:
                await trio.sleep(c.CLOUD_RETRY_PAUSE_S)

    def _on_types(self, types: list[wire.MachineType]) -> None:
        """Take in types and prices; types are recorded for nodes that start while the cloud is unavailable."""
        for kind in types:
            known = self._context.cluster.types.get(kind.name)
            if known is not None:
                known.price, known.spot_price, known.zones = kind.price, kind.spot_price, kind.zones
            else:
                self._context.cluster.types[kind.name] = kind
                self._context.cluster.dirty = True
        held = {kind.name: kind.zones for kind in self._context.replica.types}
        if held != {kind.name: kind.zones for kind in types}:
            value_kb = self._context.settings.params.state.value_kb
            for change in store.type_changes(types, len(self._context.replica.type_pieces), value_kb):
                self._context.writer.add(Write([change], lambda ok: None))

    async def list_loop(self) -> None:
        """Read the list of rented machines every `CLOUD_LIST_INTERVAL_S`."""
        while not self._context.term.over:
            try:
                listed = await self._cloud.machines()
                self._context.command_loop.enqueue(lambda x=listed: self._on_list(x))  # type: ignore[misc]
            except CloudError as error:
                log.info("reading the cloud's list of machines failed, trying again: %s", error)
            await trio.sleep(c.CLOUD_LIST_INTERVAL_S)

    def _on_list(self, listed: list[wire.ListedMachine]) -> None:
        """Take in the cloud's list: add unknown machines, release failed ones and those that vanish while booting."""
        now = self._context.clock()
        names = {item.name for item in listed}
        for item in listed:
            machine = self._context.cluster.machines.get(item.name)
            kind = self._context.cluster.types.get(item.type)
            if machine is None and kind is not None and item.name not in self._context.cluster.removed_machines:
                log.info("the cloud lists machine %s, which this leader does not know: adding it", item.name)
                machine = Machine(
                    item.name, kind, item.zone, item.spot, item.addr or "", Status.BOOTING, now - item.age_s
                )
                self._context.cluster.machines[item.name] = machine
                self._context.cluster.dirty = True
            if machine is not None:
                machine.listed = True
                if machine.status is Status.BOOTING:  # a repeated hire or a report does not tell its age
                    machine.created_at = min(machine.created_at, now - item.age_s)
                if item.state == wire.LISTED_FAILED:
                    self._context.cluster.release(machine, "failed")
        lag_s = self._context.settings.params.cloud.list_lag_s * c.LIST_LAG_FACTOR + c.CLOUD_LIST_INTERVAL_S
        for machine in list(self._context.cluster.machines.values()):
            if (
                machine.name not in names
                and machine.status is Status.BOOTING
                and (machine.listed or now - machine.created_at > 2 * lag_s)
            ):
                self._context.cluster.release(machine, "not listed any more")

    async def release_loop(self) -> None:
        """Return released machines while the lease is valid; a request without an answer delays those behind it."""
        while not self._context.term.over:
            await trio.sleep(c.TICK_S / 5)
            names = sorted(self._context.cluster.to_release)[: c.MAX_NAMES_PER_RELEASE]
            if names and self._context.term.lease_valid(self._context.clock()):
                await self._release(names)

    async def release_cancelled_loop(self) -> None:
        """Return machines that may hold a cancelled task, whether or not the lease is valid.

        Their time is short, so they don't wait behind the requests of `release_loop`. Why this needs no lease is said
        in `docs/safety.md`, "Machines that hang".
        """
        while not self._context.term.over:
            await trio.sleep(c.TICK_S / 5)
            machines = self._context.cluster.machines
            names = [name for name in self._context.cluster.to_release if name in machines]
            urgent = sorted(name for name in names if not machines[name].return_needs_lease)[: c.MAX_NAMES_PER_RELEASE]
            if urgent:
                await self._release(urgent)

    async def _release(self, names: list[str]) -> None:
        """Ask the cloud to take machines back; after an error they stay in `Cluster.to_release` to be tried again."""
        self._context.cluster.release_requested.update(names)
        try:
            await self._cloud.release(names)
            self._context.command_loop.enqueue(lambda: self._on_released(names))
            self._context.cluster.to_release.difference_update(names)
        except CloudError as error:
            log.info("returning machines to the cloud failed, trying again: %s", error)
            await trio.sleep(c.CLOUD_RETRY_PAUSE_S)

    def _on_released(self, names: list[str]) -> None:
        now = self._context.clock()
        for name in names:
            machine = self._context.cluster.machines.get(name)
            if machine is not None:
                self._context.planner.offer_granted(Offer(machine.type.name, machine.zone, machine.spot))
            self._context.cluster.remove_machine(name, now)
            self._context.writer.add(Write([wire.delete(store.MACHINE + name)], lambda ok: None))
            self.drop_from_hires(name)
