"""A hollow cloud: machines of one type in all zones, rented, listed late and returned; hosts run their workers."""

import math
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.scale.addresses import Addresses, machine_name, machine_number
from pepperlatch.scale.limits import RateLimit
from pepperlatch.scale.scenario import Scenario

MACHINE_TYPE = "m1"
BOOT_S = 5.0  # s; quick, for a run lasts minutes
PRICE, SPOT_PRICE = 1.0, 0.3  # an hour; nothing in a run depends on the amounts


class Fleet:
    """Which numbers of machines lie in which zone: spread by the zones' weights, the same in all processes."""

    def __init__(self, scenario: Scenario) -> None:
        self._zones = scenario.zones
        self.size = scenario.workers + scenario.spare_workers
        self._zone_of = self._spread()

    def _spread(self) -> list[str]:
        """Each next machine goes to the zone that is furthest below its share."""
        total = sum(zone.weight for zone in self._zones)
        given = Counter[str]()
        order: list[str] = []
        for number in range(self.size):
            behind = max(self._zones, key=lambda zone: zone.weight / total * (number + 1) - given[zone.name])
            given[behind.name] += 1
            order.append(behind.name)
        return order

    def zone(self, number: int) -> str:
        return self._zone_of[number]


@dataclass(slots=True)
class _Rented:
    number: int
    since: float
    up_at: float


class Cloud:
    """`boot`, `end`: told the numbers of machines that begin to boot, or are gone."""

    def __init__(
        self,
        scenario: Scenario,
        addresses: Addresses,
        clock: Callable[[], float],
        boot: Callable[[list[int]], None],
        end: Callable[[list[int]], Awaitable[None]],
    ) -> None:
        self._scenario = scenario
        self._addresses = addresses
        self._clock = clock
        self._boot = boot
        self._end = end
        self._fleet = Fleet(scenario)
        self._budget = RateLimit(scenario.cloud.rps, 2.0)
        started = clock()
        self._rented = {number: _Rented(number, started, started) for number in range(scenario.workers)}
        self._next = scenario.workers
        self._hires: dict[str, list[str]] = {}
        self.counts: Counter[str] = Counter()

    async def handle(self, request: Request) -> Response:
        self.counts[f"{request.method} {request.path.partition('?')[0]}"] += 1
        if not self._budget.take(self._clock()):
            self.counts["refused 429"] += 1
            return Response(429, {"error": "too many requests"})
        url = urlsplit(request.path)
        try:
            if url.path == wire.TYPES_PATH:
                return Response(200, {"builds": [self._type()]})
            if url.path == wire.RELEASE_PATH:
                return await self._release(orjson.loads(request.body)["perches"])
            if request.method == "POST":
                return self._hire(orjson.loads(request.body))
            return self._list({name: values[0] for name, values in parse_qs(url.query).items()})
        except (KeyError, TypeError, ValueError) as error:
            return Response(400, {"error": f"malformed: {error}"})

    def _type(self) -> dict[str, Any]:
        shape = self._scenario.machine
        kind = wire.MachineType(
            MACHINE_TYPE, shape.cpus, 0.0, shape.memory_gb, shape.cache_gb, shape.fetch_gb_per_s,
            PRICE, SPOT_PRICE, BOOT_S, [zone.name for zone in self._scenario.zones],
        )  # fmt: skip
        plain: dict[str, Any] = wire.to_plain(kind)
        return plain

    def _hire(self, body: Any) -> Response:
        name, zone, count = body["hire"], body["yard"], min(int(body["count"]), c.MAX_MACHINES_PER_HIRE)
        if name not in self._hires:
            numbers = [] if body["loaners"] else self._free(zone, count)
            if not numbers:
                return Response(503, {"error": "no capacity"})
            now = self._clock()
            for number in numbers:
                self._rented[number] = _Rented(number, now, now + BOOT_S)
            self._boot(numbers)
            self._hires[name] = [machine_name(number) for number in numbers]
        return Response(200, {"perches": self._hires[name]})

    def _free(self, zone: str, count: int) -> list[int]:
        """Names are never used twice, so spare machines are taken in their order."""
        found: list[int] = []
        while self._next < self._fleet.size and len(found) < count and self._fleet.zone(self._next) == zone:
            found.append(self._next)
            self._next += 1
        return found

    async def _release(self, names: list[str]) -> Response:
        numbers = [machine_number(name) for name in names]
        gone = [number for number in numbers if self._rented.pop(number, None) is not None]
        await self._end(gone)
        return Response(200, {})

    def died(self, numbers: list[int]) -> None:
        """Machines that stopped by themselves; they are listed as failed from now on."""
        for number in numbers:
            if number in self._rented:
                self._rented[number].up_at = math.inf

    def _list(self, query: dict[str, str]) -> Response:
        """As it was `list_lag_s` ago, which new machines tell."""
        most, as_of = min(int(query.get("page", "500")), 500), self._clock() - self._scenario.cloud.list_lag_s
        first = machine_number(query["after"]) + 1 if query.get("after") else 0
        known = sorted(
            number for number, rented in self._rented.items() if number >= first and self._shown(rented, as_of)
        )
        rows = [self._row(self._rented[number], as_of) for number in known[:most]]
        return Response(200, {"perches": rows, "truncated": len(known) > most})

    def _shown(self, rented: _Rented, as_of: float) -> bool:
        return rented.since <= as_of or rented.number < self._scenario.workers

    def _row(self, rented: _Rented, as_of: float) -> dict[str, Any]:
        failed = rented.up_at == math.inf
        status = (
            wire.LISTED_FAILED
            if failed
            else "running"
            if rented.up_at <= as_of or rented.up_at <= rented.since
            else wire.LISTED_BOOTING
        )
        listed = wire.ListedMachine(
            machine_name(rented.number), MACHINE_TYPE, self._fleet.zone(rented.number), False, status,
            max(0.0, as_of - rented.since), self._addresses.worker(rented.number),
        )  # fmt: skip
        plain: dict[str, Any] = wire.to_plain(listed)
        return plain
