"""What a leader has to do with the cloud: hiring, lists, prices and returns, each recorded before it is asked for."""

import logging
from collections import Counter

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.duty import Duty
from pepperlatch.controller.writer import Write
from pepperlatch.policy.fleet import Offer
from pepperlatch.policy.model import Machine, Status
from pepperlatch.protocol import wire
from pepperlatch.protocol.cloud import CloudClient, CloudError, NoCapacity

log = logging.getLogger(__name__)


class Rentals:
    def __init__(self, duty: Duty, cloud: CloudClient) -> None:
        self._duty = duty
        self._cloud = cloud
        self._hires = 0
        self._hire_of: dict[str, set[str]] = {}  # hire record -> its machines that are not recorded yet

    def rent(self, now: float) -> None:
        """A few calls at once, the largest first: what waits for its turn is asked for with what comes meanwhile."""
        free = c.MAX_CONCURRENT_HIRES - len(self._duty.planner.asked)
        if free <= 0:
            return
        chosen = Counter(self._duty.planner.rent(now))
        for offer, count in chosen.most_common(free):
            self._hire(offer, count)

    def _hire(self, offer: Offer, count: int) -> None:
        """The request's name is recorded first: its machines can then never be forgotten."""
        self._hires += 1
        name = f"{self._duty.settings.node}-{self._duty.term.token}-{self._hires}"
        self._duty.planner.asked[offer] += count
        record = store.HireRecord(offer.type, offer.zone, offer.spot, count)
        self._hire_of[name] = {""}

        def recorded(applied: bool) -> None:
            self._duty.spawn(self._ask, name, record)

        self._duty.writer.add(Write([wire.put(store.HIRE + name, wire.to_plain(record))], recorded))

    def repeat_hire(self, name: str, record: store.HireRecord) -> None:
        """An earlier leader's hire: asking again gives the same answer, or rents what it wanted."""
        offer = Offer(record.type, record.zone, record.spot)
        if record.type in self._duty.cluster.types:
            self._duty.planner.asked[offer] += record.count
        self._hire_of[name] = {""}
        self._duty.spawn(self._ask, name, record)

    async def _ask(self, name: str, record: store.HireRecord) -> None:
        offer = Offer(record.type, record.zone, record.spot)
        names: list[str] | None = []
        while not self._duty.term.over:
            while not self._duty.term.sure(self._duty.clock()):
                await trio.sleep(c.STATE_RETRY_S)
                if self._duty.term.over:
                    return
            try:
                names = await self._cloud.hire(name, record.type, record.zone, record.spot, record.count)
            except NoCapacity:
                names = None
            except CloudError as error:
                log.info("hire %s: %s", name, error)
                await trio.sleep(c.CLOUD_RETRY_PAUSE_S)
                continue
            break
        self._duty.owner.post(lambda: self._hired(name, offer, record.count, names))

    def _hired(self, hire: str, offer: Offer, count: int, names: list[str] | None) -> None:
        now = self._duty.clock()
        self._duty.planner.asked[offer] -= count
        if self._duty.planner.asked[offer] <= 0:
            del self._duty.planner.asked[offer]
        if names is None or len(names) < count:
            self._duty.planner.refused(offer, now)
        else:
            self._duty.planner.granted(offer)
        kind = self._duty.cluster.types.get(offer.type)
        log.info("hired %s of %d: %s %s%s", names, count, offer.type, offer.zone, " spot" if offer.spot else "")
        fresh = {""}
        for name in names or []:
            known = self._duty.cluster.machines.get(name)
            if (
                kind is None
                or name in self._duty.cluster.gone
                or (known is not None and known.status is not Status.BOOTING)
            ):
                continue
            fresh.add(name)
            if known is not None:
                known.unexpected = False
            else:
                machine = Machine(name, kind, offer.zone, offer.spot, "", Status.BOOTING, now)
                self._duty.cluster.machines[name] = machine
                self._duty.cluster.listener.machine(machine, "hired", "", now)
        self._hire_of[hire] = fresh
        self.off_hire("")
        self._duty.cluster.dirty = True

    def off_hire(self, name: str) -> None:
        """A hire's record goes once all its machines are recorded themselves, or gone."""
        for hire, names in list(self._hire_of.items()):
            names.discard(name)
            if not names:
                del self._hire_of[hire]
                self._duty.writer.add(Write([wire.delete(store.HIRE + hire)], lambda ok: None))

    # --- the cloud's other calls ------------------------------------------------------------------

    async def types_loop(self) -> None:
        while not self._duty.term.over:
            try:
                types = await self._cloud.types()
                self._duty.owner.post(lambda t=types: self._on_types(t))  # type: ignore[misc]
                await trio.sleep(c.PRICE_POLL_INTERVAL_S)
            except CloudError:
                await trio.sleep(c.CLOUD_RETRY_PAUSE_S)

    def _on_types(self, types: list[wire.MachineType]) -> None:
        """Machine types are kept for nodes that start while the cloud is away."""
        for kind in types:
            known = self._duty.cluster.types.get(kind.name)
            if known is not None:
                known.price, known.spot_price, known.zones = kind.price, kind.spot_price, kind.zones
            else:
                self._duty.cluster.types[kind.name] = kind
                self._duty.cluster.dirty = True
        held = {kind.name: kind.zones for kind in self._duty.replica.types}
        if held != {kind.name: kind.zones for kind in types}:
            value_kb = self._duty.settings.params.state.value_kb
            for change in store.type_changes(types, len(self._duty.replica.type_pieces), value_kb):
                self._duty.writer.add(Write([change], lambda ok: None))

    async def list_loop(self) -> None:
        while not self._duty.term.over:
            try:
                listed = await self._cloud.machines()
                self._duty.owner.post(lambda x=listed: self._on_list(x))  # type: ignore[misc]
            except CloudError as error:
                log.info("machine list: %s", error)
            await trio.sleep(c.CLOUD_LIST_INTERVAL_S)

    def _on_list(self, listed: list[wire.ListedMachine]) -> None:
        now = self._duty.clock()
        names = {item.name for item in listed}
        for item in listed:
            machine = self._duty.cluster.machines.get(item.name)
            kind = self._duty.cluster.types.get(item.type)
            if machine is None and kind is not None and item.name not in self._duty.cluster.gone:
                log.info("unexpected machine %s in the list", item.name)
                machine = Machine(
                    item.name, kind, item.zone, item.spot, item.addr or "", Status.BOOTING, now - item.age_s
                )
                self._duty.cluster.machines[item.name] = machine
                self._duty.cluster.dirty = True
            if machine is not None:
                machine.listed = True
                if machine.status is Status.BOOTING:  # a repeated hire, or a report, tells nothing of its age
                    machine.born = min(machine.born, now - item.age_s)
                if item.state == wire.LISTED_FAILED:
                    self._duty.cluster.release(machine, "failed")
        lag = self._duty.settings.params.cloud.list_lag_s * c.LIST_LAG_FACTOR + c.CLOUD_LIST_INTERVAL_S
        for machine in list(self._duty.cluster.machines.values()):
            if (
                machine.name not in names
                and machine.status is Status.BOOTING
                and (machine.listed or now - machine.born > 2 * lag)
            ):
                self._duty.cluster.release(machine, "not listed any more")

    async def release_loop(self) -> None:
        """Return machines while the lease is sure; a request without an answer holds up those behind it."""
        while not self._duty.term.over:
            await trio.sleep(c.TICK_S / 5)
            names = sorted(self._duty.cluster.to_release)[: c.MAX_NAMES_PER_RELEASE]
            if names and self._duty.term.sure(self._duty.clock()):
                await self._release(names)

    async def release_cancelled_loop(self) -> None:
        """Return machines that may hold a cancelled task, sure or not, behind nobody: their time is short.

        Why that needs no lease: "Machines that hang" in `docs/safety.md`.
        """
        while not self._duty.term.over:
            await trio.sleep(c.TICK_S / 5)
            machines = self._duty.cluster.machines
            names = [name for name in self._duty.cluster.to_release if name in machines]
            urgent = sorted(name for name in names if not machines[name].return_needs_lease)[: c.MAX_NAMES_PER_RELEASE]
            if urgent:
                await self._release(urgent)

    async def _release(self, names: list[str]) -> None:
        self._duty.cluster.releasing.update(names)
        try:
            await self._cloud.release(names)
            self._duty.owner.post(lambda: self._released(names))
            self._duty.cluster.to_release.difference_update(names)
        except CloudError as error:
            log.info("release: %s", error)
            await trio.sleep(c.CLOUD_RETRY_PAUSE_S)

    def _released(self, names: list[str]) -> None:
        now = self._duty.clock()
        for name in names:
            machine = self._duty.cluster.machines.get(name)
            if machine is not None:
                self._duty.planner.granted(Offer(machine.type.name, machine.zone, machine.spot))
            self._duty.cluster.remove_machine(name, now)
            self._duty.writer.add(Write([wire.delete(store.MACHINE + name)], lambda ok: None))
            self.off_hire(name)
