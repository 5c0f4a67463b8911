"""Checks, before a run starts anything, that its processes, memory and file handles fit on this machine."""

import resource

from pepperlatch.constants import scale as c
from pepperlatch.scale.measures import memory_available_mb
from pepperlatch.scale.scenario import Scenario


class TooLarge(Exception):
    """The run exceeds a resource of the machine or a limit of the tool; the message names it."""


def process_count(scenario: Scenario) -> int:
    """Processes of a run: controllers, worker hosts, one for state service and cloud, one for the users."""
    return scenario.controllers + scenario.hosts + 2


def expected_memory_mb(scenario: Scenario) -> float:
    """Memory in MB that all processes of a run together are expected to need."""
    workers = scenario.workers + scenario.spare_workers
    simulated_mb = (scenario.hosts + 2) * c.HOST_PROCESS_MEMORY_MB + workers * c.WORKER_MEMORY_MB
    return scenario.controllers * c.CONTROLLER_MEMORY_MB + simulated_mb


def file_handles(scenario: Scenario) -> int:
    """File handles that one worker host process needs."""
    workers = scenario.workers + scenario.spare_workers
    return -(-workers // scenario.hosts) * c.FILES_PER_WORKER + c.FILES_PER_PROCESS


def check(scenario: Scenario) -> None:
    """Raises TooLarge if the run does not fit. The runner calls it before the first process starts."""
    if process_count(scenario) > c.MAX_PROCESSES:
        raise TooLarge(f"{process_count(scenario)} processes, at most {c.MAX_PROCESSES} are allowed")
    needed_mb = expected_memory_mb(scenario)
    if needed_mb > c.MAX_MEMORY_MB:
        raise TooLarge(f"some {needed_mb:.0f} MB, at most {c.MAX_MEMORY_MB} are allowed")
    if needed_mb > memory_available_mb():
        raise TooLarge(f"some {needed_mb:.0f} MB, the machine has {memory_available_mb():.0f} available")
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and file_handles(scenario) > hard:
        raise TooLarge(f"{file_handles(scenario)} file handles in a process, the limit is {hard}: raise it, or `hosts`")


def raise_file_limit() -> None:
    """Raise the soft limit of file handles to the hard limit; processes that are started later inherit it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
