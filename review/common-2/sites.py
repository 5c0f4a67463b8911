"""The two deployments of the first brief, with three controllers, as worlds of stand-ins."""

from pathlib import Path

from standin import World

BREADFRUIT = {"sku": "breadfruit-box", "cores": 16.0, "gpus": 0.0, "memory_gb": 64.0, "cache_gb": 70.0,
              "pull_gb_per_s": 0.3, "rate": 0.89, "market_price": 0.23, "ready_s": 15.0}  # fmt: skip
MEDIUM = {"sku": "kestrel-medium", "cores": 8.0, "gpus": 0.0, "memory_gb": 32.0, "cache_gb": 60.0,
          "pull_gb_per_s": 0.6, "rate": 0.33, "market_price": 0.11, "ready_s": 15.0}  # fmt: skip


def guild_member_portal(case, **changes):
    zones = ["st-elizabeth", "clarendon-hills", "portland-east"]
    return World(
        Path(case).parent, nodes=zones, zones=zones,
        times={"report_s": 2.5, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 34.0},
        state={"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 48},
        cloud={"rps": 3.0, "list_lag_s": 6.0},
        teams=[{"name": "tower-ops", "cpus": 200.0, "cpus_max": 672.0, "gpus": 0.0, "gpus_max": 0.0}],
        kinds=[{**BREADFRUIT, "yards": zones}], limits=(0.36, 266.0, 1500), **changes,
    )  # fmt: skip


def zarqa_air_stations(case, **changes):
    zones = ["amman-hills", "zarqa-east", "irbid-north", "aqaba-coast"]
    return World(
        Path(case).parent, nodes=zones[:3], zones=zones,
        times={"report_s": 3.0, "lease_s": 18.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 48.0},
        state={"rps": 150.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
        cloud={"rps": 4.0, "list_lag_s": 5.0},
        teams=[{"name": "web-services", "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0},
               {"name": "health-liaison", "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0}],
        kinds=[{**MEDIUM, "yards": zones}], **changes,
    )  # fmt: skip
