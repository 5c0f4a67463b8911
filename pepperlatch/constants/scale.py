"""Constants of the scale runs; "PROTOCOL" marks numbers of the protocol. A run's own size is in its scenario.

Simulated workers speak the protocol but run no tasks. A simulated process (`scale/process_entry.py`) hosts many of
them, or the simulated users, or the simulated services.
"""

from typing import Final

MAX_MEMORY_MB: Final = 12_000  # MB; half of the memory of the machines that run scenarios
MAX_PROCESSES: Final = 300  # processes; what an ordinary machine runs besides its own work
CONTROLLER_MEMORY_MB: Final = 120  # MB expected for a controller before a run; above the largest seen (81 MB)
WORKER_MEMORY_MB: Final = 0.4  # MB expected for a simulated worker with its connection and its listener
HOST_PROCESS_MEMORY_MB: Final = 60  # MB expected for a process of simulated workers before the first of them
FILES_PER_WORKER: Final = 5  # file handles: a listener, the worker's own connection, and concurrent commands
FILES_PER_PROCESS: Final = 300  # file handles of a process besides those of its workers

FIRST_PORT: Final = 20_000  # first port that a run may take; below the range that the kernel hands out
LAST_PORT: Final = 32_000  # last port that a run may take
PORT_STEP: Final = 2  # ports of a run: one for users and workers, one for controllers

START_TIMEOUT_S: Final = 60.0  # s; until all controllers are healthy, in which time hundreds of machines report
STOP_TIMEOUT_S: Final = 3.0  # s; a process that was asked to end is killed after this
CONTROL_TIMEOUT_S: Final = 10.0  # s; limit for the answer of a simulated process, which may be busy
SAMPLE_INTERVAL_S: Final = 1.0  # s; how often processes are measured
TOOL_BUSY_SHARE: Final = 0.85  # share of a core; a simulated process above it may itself be the limit of a run
MACHINE_BUSY_SHARE: Final = 0.9  # share of all cores; above it the machine may be the limit of a run

# Share by which the tasks of a job differ in length; equal tasks would all end together.
TASK_LENGTH_SPREAD: Final = 0.3
REPORT_ANSWER_TIMEOUT_S: Final = 4.0  # s; a worker drops later answers (PROTOCOL)
REPORT_INTERVAL_SPREAD: Final = 0.25  # share by which the interval between two reports varies (PROTOCOL)
MIN_REPORT_INTERVAL_S: Final = 0.5  # s; shortest time between two reports of a worker (PROTOCOL)
NEXT_CONTROLLER_PAUSE_S: Final = 1.0  # s; pause before the next controller is tried (PROTOCOL)
MAX_REDIRECT_PAUSE_S: Final = 0.5  # s; longest wait of a worker before it follows a 421 (PROTOCOL)
MAX_CHANGES_KEPT: Final = 10_000  # changes that the state service retains (PROTOCOL)
MAX_LEASE_DELAY_S: Final = 0.05  # s; how late a lease of the state service may end; the protocol allows 0.1 s
MAX_PAGE_ITEMS: Final = 1000  # items of a page of the state service (PROTOCOL)
MAX_MACHINES_PER_HIRE: Final = 50  # machines in a rental request (PROTOCOL)
USER_SUBMIT_TIMEOUT_S: Final = 5.0  # s; how long a user waits for the answer to a submission (PROTOCOL)
USER_POLL_TIMEOUT_S: Final = 2.0  # s; how long a user waits for the answer to a poll (PROTOCOL)
MAX_UNANSWERED_POLLS_S: Final = 90.0  # s; polls of a job that fail for longer break a rule (PROTOCOL)
SETTINGS_TIMEOUT_S: Final = 15.0  # s; above the 10 s in which operators want a change to be in force everywhere
HEALTH_PROBE_INTERVAL_S: Final = 1.0  # s; how often the load balancer asks for a controller's health
BREACH_EVENTS_SHOWN: Final = 12  # latest events shown with a breach of a rule
MAX_DELAY_US: Final = 600_000_000  # microseconds; largest delay that a histogram holds
