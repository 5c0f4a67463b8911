"""What a run may take of its machine; a run that would take more is refused before anything starts."""

import resource

from pepperlatch.constants import scale as c
from pepperlatch.scale.measures import memory_available_mb
from pepperlatch.scale.scenario import Scenario


class TooLarge(Exception):
    """The machine, or a bound of the tool, does not allow the run; the text says which."""


def process_count(scenario: Scenario) -> int:
    """Controllers, hosts, and one process each for the services and the users."""
    return scenario.controllers + scenario.hosts + 2


def memory_mb(scenario: Scenario) -> float:
    """What a run is reckoned to need."""
    workers = scenario.workers + scenario.spare_workers
    hollow = (scenario.hosts + 2) * c.HOST_PROCESS_MEMORY_MB + workers * c.WORKER_MEMORY_MB
    return scenario.controllers * c.CONTROLLER_MEMORY_MB + hollow


def files(scenario: Scenario) -> int:
    """File handles that one process of hollow workers needs."""
    workers = scenario.workers + scenario.spare_workers
    return -(-workers // scenario.hosts) * c.FILES_PER_WORKER + c.FILES_PER_PROCESS


def check(scenario: Scenario) -> None:
    """Raises TooLarge."""
    if process_count(scenario) > c.MAX_PROCESSES:
        raise TooLarge(f"{process_count(scenario)} processes, at most {c.MAX_PROCESSES} are allowed")
    needed_mb = memory_mb(scenario)
    if needed_mb > c.MAX_MEMORY_MB:
        raise TooLarge(f"some {needed_mb:.0f} MB, at most {c.MAX_MEMORY_MB} are allowed")
    if needed_mb > memory_available_mb():
        raise TooLarge(f"some {needed_mb:.0f} MB, the machine has {memory_available_mb():.0f} available")
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and files(scenario) > hard:
        raise TooLarge(f"{files(scenario)} file handles in a process, the limit is {hard}: raise it, or `hosts`")


def raise_file_limit() -> None:
    """To what this process may have; those that it starts inherit it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
