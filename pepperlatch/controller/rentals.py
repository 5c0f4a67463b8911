"""What a leader has to do with the cloud: hiring, lists, prices and returns, each recorded before it is asked for."""

import logging
from collections import Counter

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leader_task import LeaderTask
from pepperlatch.controller.writer import Write
from pepperlatch.policy.fleet import Offer
from pepperlatch.policy.model import Machine, Status
from pepperlatch.protocol import wire
from pepperlatch.protocol.cloud import CloudClient, CloudTrouble, NoCapacity

log = logging.getLogger(__name__)


class Rentals:
    def __init__(self, leader_task: LeaderTask, cloud: CloudClient) -> None:
        self._leader_task = leader_task
        self._cloud = cloud
        self._hires = 0
        self._hire_of: dict[str, set[str]] = {}  # hire record -> its machines that are not recorded yet

    def rent(self, now: float) -> None:
        """A few calls at once, the largest first: what waits for its turn is asked for with what comes meanwhile."""
        free = c.HIRES_AT_ONCE - len(self._leader_task.planner.asked)
        if free <= 0:
            return
        chosen = Counter(self._leader_task.planner.rent(now))
        for offer, count in chosen.most_common(free):
            self._hire(offer, count)

    def _hire(self, offer: Offer, count: int) -> None:
        """The request's name is recorded first: its machines can then never be forgotten."""
        self._hires += 1
        name = f"{self._leader_task.settings.node}-{self._leader_task.term.token}-{self._hires}"
        self._leader_task.planner.asked[offer] += count
        record = store.HireRecord(offer.type, offer.zone, offer.spot, count)
        self._hire_of[name] = {""}

        def recorded(applied: bool) -> None:
            self._leader_task.spawn(self._ask, name, record)

        self._leader_task.writer.add(Write([wire.put(store.HIRE + name, wire.to_plain(record))], recorded))

    def repeat_hire(self, name: str, record: store.HireRecord) -> None:
        """An earlier leader's hire: asking again gives the same answer, or rents what it wanted."""
        offer = Offer(record.type, record.zone, record.spot)
        if record.type in self._leader_task.cluster.types:
            self._leader_task.planner.asked[offer] += record.count
        self._hire_of[name] = {""}
        self._leader_task.spawn(self._ask, name, record)

    async def _ask(self, name: str, record: store.HireRecord) -> None:
        offer = Offer(record.type, record.zone, record.spot)
        names: list[str] | None = []
        while not self._leader_task.term.over:
            while not self._leader_task.term.lease_valid(self._leader_task.clock()):
                await trio.sleep(c.STATE_RETRY_S)
                if self._leader_task.term.over:
                    return
            try:
                names = await self._cloud.hire(name, record.type, record.zone, record.spot, record.count)
            except NoCapacity:
                names = None
            except CloudTrouble as error:
                log.info("hire %s: %s", name, error)
                await trio.sleep(c.CLOUD_RETRY_S)
                continue
            break
        self._leader_task.command_loop.enqueue(lambda: self._hired(name, offer, record.count, names))

    def _hired(self, hire: str, offer: Offer, count: int, names: list[str] | None) -> None:
        now = self._leader_task.clock()
        self._leader_task.planner.asked[offer] -= count
        if self._leader_task.planner.asked[offer] <= 0:
            del self._leader_task.planner.asked[offer]
        if names is None or len(names) < count:
            self._leader_task.planner.refused(offer, now)
        else:
            self._leader_task.planner.granted(offer)
        kind = self._leader_task.cluster.types.get(offer.type)
        log.info("hired %s of %d: %s %s%s", names, count, offer.type, offer.zone, " spot" if offer.spot else "")
        fresh = {""}
        for name in names or []:
            known = self._leader_task.cluster.machines.get(name)
            if (
                kind is None
                or name in self._leader_task.cluster.gone
                or (known is not None and known.status is not Status.BOOTING)
            ):
                continue
            fresh.add(name)
            if known is not None:
                known.unexpected = False
            else:
                machine = Machine(name, kind, offer.zone, offer.spot, "", Status.BOOTING, now)
                self._leader_task.cluster.machines[name] = machine
                self._leader_task.cluster.listener.machine(machine, "hired", "", now)
        self._hire_of[hire] = fresh
        self.off_hire("")
        self._leader_task.cluster.dirty = True

    def off_hire(self, name: str) -> None:
        """A hire's record goes once all its machines are recorded themselves, or gone."""
        for hire, names in list(self._hire_of.items()):
            names.discard(name)
            if not names:
                del self._hire_of[hire]
                self._leader_task.writer.add(Write([wire.delete(store.HIRE + hire)], lambda ok: None))

    # --- the cloud's other calls ------------------------------------------------------------------

    async def types_loop(self) -> None:
        while not self._leader_task.term.over:
            try:
                types = await self._cloud.types()
                self._leader_task.command_loop.enqueue(lambda t=types: self._on_types(t))  # type: ignore[misc]
                await trio.sleep(c.PRICES_EVERY_S)
            except CloudTrouble:
                await trio.sleep(c.CLOUD_RETRY_S)

    def _on_types(self, types: list[wire.MachineType]) -> None:
        """Machine types are kept for nodes that start while the cloud is away."""
        for kind in types:
            known = self._leader_task.cluster.types.get(kind.name)
            if known is not None:
                known.price, known.spot_price, known.zones = kind.price, kind.spot_price, kind.zones
            else:
                self._leader_task.cluster.types[kind.name] = kind
                self._leader_task.cluster.dirty = True
        held = {kind.name: kind.zones for kind in self._leader_task.replica.types}
        if held != {kind.name: kind.zones for kind in types}:
            value_kb = self._leader_task.settings.params.state.value_kb
            for change in store.type_changes(types, len(self._leader_task.replica.type_pieces), value_kb):
                self._leader_task.writer.add(Write([change], lambda ok: None))

    async def list_loop(self) -> None:
        while not self._leader_task.term.over:
            try:
                listed = await self._cloud.machines()
                self._leader_task.command_loop.enqueue(lambda x=listed: self._on_list(x))  # type: ignore[misc]
            except CloudTrouble as error:
                log.info("machine list: %s", error)
            await trio.sleep(c.CLOUD_LIST_EVERY_S)

    def _on_list(self, listed: list[wire.Listed]) -> None:
        now = self._leader_task.clock()
        names = {item.name for item in listed}
        for item in listed:
            machine = self._leader_task.cluster.machines.get(item.name)
            kind = self._leader_task.cluster.types.get(item.type)
            if machine is None and kind is not None and item.name not in self._leader_task.cluster.gone:
                log.info("unexpected machine %s in the list", item.name)
                machine = Machine(
                    item.name, kind, item.zone, item.spot, item.addr or "", Status.BOOTING, now - item.age_s
                )
                self._leader_task.cluster.machines[item.name] = machine
                self._leader_task.cluster.dirty = True
            if machine is not None:
                machine.listed = True
                if machine.status is Status.BOOTING:  # a repeated hire, or a report, tells nothing of its age
                    machine.born = min(machine.born, now - item.age_s)
                if item.state == wire.FAILED:
                    self._leader_task.cluster.release(machine, "failed")
        lag = self._leader_task.settings.params.cloud.list_lag_s * c.LIST_LAG_TIMES + c.CLOUD_LIST_EVERY_S
        for machine in list(self._leader_task.cluster.machines.values()):
            if (
                machine.name not in names
                and machine.status is Status.BOOTING
                and (machine.listed or now - machine.born > 2 * lag)
            ):
                self._leader_task.cluster.release(machine, "not listed any more")

    async def release_loop(self) -> None:
        """Return machines while the lease is sure; a request without an answer holds up those behind it."""
        while not self._leader_task.term.over:
            await trio.sleep(c.TICK_S / 5)
            names = sorted(self._leader_task.cluster.to_release)[: c.RELEASE_MOST]
            if names and self._leader_task.term.lease_valid(self._leader_task.clock()):
                await self._release(names)

    async def release_cancelled_loop(self) -> None:
        """Return machines that may hold a cancelled task, sure or not, behind nobody: their time is short.

        Why that needs no lease: "Machines that hang" in `docs/safety.md`.
        """
        while not self._leader_task.term.over:
            await trio.sleep(c.TICK_S / 5)
            machines = self._leader_task.cluster.machines
            names = [name for name in self._leader_task.cluster.to_release if name in machines]
            urgent = sorted(name for name in names if not machines[name].return_needs_lease)[: c.RELEASE_MOST]
            if urgent:
                await self._release(urgent)

    async def _release(self, names: list[str]) -> None:
        self._leader_task.cluster.releasing.update(names)
        try:
            await self._cloud.release(names)
            self._leader_task.command_loop.enqueue(lambda: self._released(names))
            self._leader_task.cluster.to_release.difference_update(names)
        except CloudTrouble as error:
            log.info("release: %s", error)
            await trio.sleep(c.CLOUD_RETRY_S)

    def _released(self, names: list[str]) -> None:
        now = self._leader_task.clock()
        for name in names:
            machine = self._leader_task.cluster.machines.get(name)
            if machine is not None:
                self._leader_task.planner.granted(Offer(machine.type.name, machine.zone, machine.spot))
            self._leader_task.cluster.remove_machine(name, now)
            self._leader_task.writer.add(Write([wire.delete(store.MACHINE + name)], lambda ok: None))
            self.off_hire(name)
