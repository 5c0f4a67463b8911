"""The settings files of a run's controllers, in the form in which a deployment passes them to `run.py --config`."""

from collections import Counter
from typing import Any

from pepperlatch.scale.addresses import Addresses, controller_name
from pepperlatch.scale.scenario import Scenario


def controller_zones(scenario: Scenario) -> list[str]:
    """The zone of each controller, by index.

    No zone gets a second controller before each has one; among the others, the region with the fewest controllers
    comes first, then the zone with the highest weight.
    """
    by_zone: Counter[str] = Counter()
    zone_names: list[str] = []
    by_region: Counter[str] = Counter()
    for _ in range(scenario.controllers):
        chosen = min(scenario.zones, key=lambda zone: (by_zone[zone.name], by_region[zone.region], -zone.weight))
        by_zone[chosen.name] += 1
        by_region[chosen.region] += 1
        zone_names.append(chosen.name)
    return zone_names


def settings_text(scenario: Scenario, addresses: Addresses, index: int) -> str:
    """The settings file (TOML) of one controller."""
    zones = controller_zones(scenario)
    lines = [
        f'node_name = "{controller_name(index)}"',
        f'zone = "{zones[index]}"',
        f'bind = "{addresses.controller(index)}"',
        f'peer_listen = "{addresses.controller_peers(index)}"',
    ]
    for other in range(scenario.controllers):
        if other != index:
            values = {
                "node_name": controller_name(other),
                "zone": zones[other],
                "endpoint": addresses.controller_peers(other),
            }
            lines += _table("[members]", values)
    lines += _table("outside", {"cloud": addresses.cloud(), "state": addresses.state()})
    lines += _table("params", {"nodes": scenario.controllers, "zones": [zone.name for zone in scenario.zones]})
    for number in range(scenario.teams.count):
        lines += _table("[params.teams]", _team(scenario, number))
    times, state, cloud = scenario.times, scenario.state, scenario.cloud
    lines += _table("params.workers", {name: getattr(times, name) for name in times.__struct_fields__})
    lines += _table("params.state", {name: getattr(state, name) for name in state.__struct_fields__})
    lines += _table("params.cloud", {name: getattr(cloud, name) for name in cloud.__struct_fields__})
    lines += _table("params.machine_limits", {"cpu": 1.0, "mem_mb": 300.0, "sockets": 8000})
    return "\n".join(lines) + "\n"


def _team(scenario: Scenario, number: int) -> dict[str, Any]:
    teams = scenario.teams
    return {"name": f"team-{number}", "cpus": teams.cpus, "cpus_max": teams.cpus_max, "gpus": 0.0, "gpus_max": 0.0}


def _table(name: str, values: dict[str, Any]) -> list[str]:
    return ["", f"[{name}]", *(f"{field} = {_value(value)}" for field, value in values.items())]


def _value(value: Any) -> str:
    if isinstance(value, list):
        return f"[{', '.join(_value(item) for item in value)}]"
    return f'"{value}"' if isinstance(value, str) else str(value)
