"""Numbers of the scale runs, with unit and reason. A run's own size stands in its scenario."""

from typing import Final

MAX_MEMORY_MB: Final = 12_000  # MB; half of the memory of the machines that these runs are made on
MAX_PROCESSES: Final = 300  # processes; what an ordinary machine runs besides its own work
CONTROLLER_MEMORY_MB: Final = 120  # MB; reckoned for a controller before a run, above the largest seen (81 MB)
WORKER_MEMORY_MB: Final = 0.4  # MB; reckoned for a hollow worker with its connection and its listener
HOST_PROCESS_MEMORY_MB: Final = 60  # MB; reckoned for a process of hollow workers before the first of them
FILES_PER_WORKER: Final = 5  # file handles; a listener, its own connection, and commands at the same time
FILES_PER_PROCESS: Final = 300  # file handles; of a process besides those of its workers

FIRST_PORT: Final = 20_000  # first port that a run may take; below the range that the kernel hands out
LAST_PORT: Final = 32_000  # and the last
PORT_STEP: Final = 2  # ports of a run: one for users and workers, one for controllers

START_TIMEOUT_S: Final = 60.0  # s; until controllers are healthy; hundreds of machines are met in that time
STOP_TIMEOUT_S: Final = 3.0  # s; a process that was asked to end is then killed
CONTROL_TIMEOUT_S: Final = 10.0  # s; for an answer of a hollow process, which may be busy
SAMPLE_INTERVAL_S: Final = 1.0  # s; how often processes are looked at
TOOL_BUSY_SHARE: Final = 0.85  # share of a core; a hollow process beyond it may itself be the bound
MACHINE_BUSY_SHARE: Final = 0.9  # share of all cores; beyond it the machine may be the bound

TASK_LENGTH_SPREAD: Final = 0.3  # share by which tasks of a job differ in length; in step they would all end together
REPORT_ANSWER_TIMEOUT_S: Final = 4.0  # s; a worker drops answers after this (PROTOCOL)
REPORT_INTERVAL_SPREAD: Final = 0.25  # share by which the interval between two reports varies (PROTOCOL)
MIN_REPORT_INTERVAL_S: Final = 0.5  # s; least time between two reports of a worker (PROTOCOL)
NEXT_CONTROLLER_PAUSE_S: Final = 1.0  # s; pause before the next controller is tried (PROTOCOL)
MAX_REDIRECT_PAUSE_S: Final = 0.5  # s; most that a worker waits before it follows a 421 (PROTOCOL)
MAX_CHANGES_KEPT: Final = 10_000  # changes that the state service retains (PROTOCOL)
MAX_LEASE_DELAY_S: Final = 0.05  # s; how late a lease of the state service may end; the protocol allows 0.1 s
MAX_PAGE_ITEMS: Final = 1000  # items of a page of the state service (PROTOCOL)
MAX_MACHINES_PER_HIRE: Final = 50  # machines in a rental request (PROTOCOL)
USER_SUBMIT_TIMEOUT_S: Final = 5.0  # s; a user waits so long for the answer to a submission (PROTOCOL)
USER_POLL_TIMEOUT_S: Final = 2.0  # s; and so long for that to a poll
MAX_UNANSWERED_POLLS_S: Final = 90.0  # s; polls of a job that fail for longer break a rule (PROTOCOL)
SETTINGS_TIMEOUT_S: Final = 15.0  # s; beyond the 10 s in which operators want a change to be in force everywhere
HEALTH_PROBE_INTERVAL_S: Final = 1.0  # s; how often the balancer asks for a controller's health
BREACH_EVENTS_SHOWN: Final = 12  # events shown with a breach, the latest ones
MAX_DELAY_US: Final = 600_000_000  # microseconds; largest delay that a histogram holds
