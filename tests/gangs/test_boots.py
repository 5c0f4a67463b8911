"""Boots that take longer than the cloud says."""

from pepperlatch.policy.boots import Boots
from pepperlatch.protocol import wire
from tests.fakes import GPU_PLATFORM

KIND: wire.MachineType = wire.convert({**GPU_PLATFORM.machine, "ready_s": 60.0}, wire.MachineType)


def test_slow_boots_are_learned_and_forgotten_and_nothing_healthy_is_given_up_for_them() -> None:
    """Seen: boots of twice the usual time were rented anew after 101 s, and some returned after 180 s."""
    boots = Boots()
    usual = (boots.expected_s(KIND), boots.patience_s(KIND))
    assert usual == (101.0, 180.0)
    for seconds in (0.1, 0.2, 120.0, 125.0, 130.0):
        boots.came_up(KIND, seconds)
    assert (boots.expected_s(KIND), boots.patience_s(KIND)) == usual, "three say nothing"
    for seconds in (140.0, 150.0, 160.0, 170.0):
        boots.came_up(KIND, seconds)
    assert boots.expected_s(KIND) > 160.0
    assert boots.patience_s(KIND) > 270.0
    for _ in range(20):
        boots.came_up(KIND, 60.0)
    assert (boots.expected_s(KIND), boots.patience_s(KIND)) == usual
