"""The simulated cloud: rents out and takes back machines of one type, and lists them with a delay.

The worker host processes run the workers of its machines.
"""

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
from pepperlatch.scale.rate_limit import RateLimit
from pepperlatch.scale.scenario import Scenario

MACHINE_TYPE = "m1"
BOOT_DURATION_S = 5.0  # s; short, because a run lasts minutes
ON_DEMAND_PRICE, SPOT_PRICE = 1.0, 0.3  # of a machine for an hour; nothing in a run depends on the amounts


class Fleet:
    """The zone of each machine, by number, spread by the zones' weights; the same in all processes of a run."""

    def __init__(self, scenario: Scenario) -> None:
        self._zones = scenario.zones
        self.size = scenario.workers + scenario.spare_workers
        self._zone_of = self._spread()

    def _spread(self) -> list[str]:
        """Zone names by machine number: each machine goes to the zone that is furthest below its share."""
        total = sum(zone.weight for zone in self._zones)
        assigned = Counter[str]()
        zone_names: list[str] = []
        for number in range(self.size):
            chosen = max(self._zones, key=lambda zone: zone.weight / total * (number + 1) - assigned[zone.name])
            assigned[chosen.name] += 1
            zone_names.append(chosen.name)
        return zone_names

    def zone(self, number: int) -> str:
        return self._zone_of[number]


@dataclass(slots=True)
class _RentedMachine:
    number: int
    rented_at: float
    running_from: float  # end of booting; infinite once the machine has failed


class SimulatedCloud:
    """Serves the cloud's API. `clock`: a monotonic clock in seconds.

    `on_boot` and `on_end` are called with the numbers of machines that begin to boot, and that were returned.
    """

    def __init__(
        self,
        scenario: Scenario,
        addresses: Addresses,
        clock: Callable[[], float],
        on_boot: Callable[[list[int]], None],
        on_end: Callable[[list[int]], Awaitable[None]],
    ) -> None:
        self._scenario = scenario
        self._addresses = addresses
        self._clock = clock
        self._on_boot = on_boot
        self._on_end = on_end
        self._fleet = Fleet(scenario)
        self._request_limit = RateLimit(scenario.cloud.rps, 2.0)
        started = clock()
        self._rented = {number: _RentedMachine(number, started, started) for number in range(scenario.workers)}
        self._next_spare = scenario.workers
        self._granted_requests: dict[str, list[str]] = {}
        self.counts: Counter[str] = Counter()

    async def handle(self, request: Request) -> Response:
        """Answer a request: 429 above the rate limit, 400 if it is malformed."""
        self.counts[f"{request.method} {request.path.partition('?')[0]}"] += 1
        if not self._request_limit.take(self._clock()):
            self.counts["refused 429"] += 1
            return Response(429, {"error": "too many requests"})
        url = urlsplit(request.path)
        try:
            if url.path == wire.TYPES_PATH:
                return Response(200, {"builds": [self._machine_type()]})
            if url.path == wire.RELEASE_PATH:
                return await self._release(orjson.loads(request.body)["perches"])
            if request.method == "POST":
                return self._rent(orjson.loads(request.body))
            return self._list({name: values[0] for name, values in parse_qs(url.query).items()})
        except (KeyError, TypeError, ValueError) as error:
            return Response(400, {"error": f"malformed: {error}"})

    def _machine_type(self) -> dict[str, Any]:
        shape = self._scenario.machine
        machine_type = wire.MachineType(
            MACHINE_TYPE, shape.cpus, 0.0, shape.memory_gb, shape.cache_gb, shape.fetch_gb_per_s,
            ON_DEMAND_PRICE, SPOT_PRICE, BOOT_DURATION_S, [zone.name for zone in self._scenario.zones],
        )  # fmt: skip
        plain: dict[str, Any] = wire.to_plain(machine_type)
        return plain

    def _rent(self, body: Any) -> Response:
        name, zone, count = body["hire"], body["yard"], min(int(body["count"]), c.MAX_MACHINES_PER_HIRE)
        if name not in self._granted_requests:
            numbers = [] if body["loaners"] else self._take_spare_machines(zone, count)
            if not numbers:
                return Response(503, {"error": "no capacity"})
            now = self._clock()
            for number in numbers:
                self._rented[number] = _RentedMachine(number, now, now + BOOT_DURATION_S)
            self._on_boot(numbers)
            self._granted_requests[name] = [machine_name(number) for number in numbers]
        return Response(200, {"perches": self._granted_requests[name]})

    def _take_spare_machines(self, zone: str, count: int) -> list[int]:
        """The numbers of up to `count` spare machines of the zone, in ascending order: no name is used twice.

        It stops at the first machine of another zone, even if the zone has spare machines after that one.
        """
        taken: list[int] = []
        while self._next_spare < self._fleet.size and len(taken) < count and self._fleet.zone(self._next_spare) == zone:
            taken.append(self._next_spare)
            self._next_spare += 1
        return taken

    async def _release(self, names: list[str]) -> Response:
        numbers = [machine_number(name) for name in names]
        released = [number for number in numbers if self._rented.pop(number, None) is not None]
        await self._on_end(released)
        return Response(200, {})

    def mark_failed(self, numbers: list[int]) -> None:
        """List machines that died without being returned as failed from now on."""
        for number in numbers:
            if number in self._rented:
                self._rented[number].running_from = math.inf

    def _list(self, query: dict[str, str]) -> Response:
        """A page of the machines as they were `list_lag_s` ago, so that new machines appear late."""
        page_size, as_of = min(int(query.get("page", "500")), 500), self._clock() - self._scenario.cloud.list_lag_s
        first_number = machine_number(query["after"]) + 1 if query.get("after") else 0
        listed_numbers = sorted(
            number
            for number, rented in self._rented.items()
            if number >= first_number and self._is_listed(rented, as_of)
        )
        rows = [self._row(self._rented[number], as_of) for number in listed_numbers[:page_size]]
        return Response(200, {"perches": rows, "truncated": len(listed_numbers) > page_size})

    def _is_listed(self, rented: _RentedMachine, as_of: float) -> bool:
        """Whether the machine was rented by then; those rented from the start always were."""
        return rented.rented_at <= as_of or rented.number < self._scenario.workers

    def _row(self, rented: _RentedMachine, as_of: float) -> dict[str, Any]:
        failed = rented.running_from == math.inf
        status = (
            wire.LISTED_FAILED
            if failed
            else "running"
            if rented.running_from <= as_of or rented.running_from <= rented.rented_at
            else wire.LISTED_BOOTING
        )
        listed = wire.ListedMachine(
            machine_name(rented.number), MACHINE_TYPE, self._fleet.zone(rented.number), False, status,
            max(0.0, as_of - rented.rented_at), self._addresses.worker(rented.number),
        )  # fmt: skip
        plain: dict[str, Any] = wire.to_plain(listed)
        return plain
