"""Constants of the pipeline files, their runs and their schedules."""

from typing import Final

# --- the file -------------------------------------------------------------------------------------
MAX_FILE_BYTES: Final = 1024 * 1024  # bytes; a thousand steps written out take a third of it
MAX_FILE_DEPTH: Final = 24  # levels of nesting; the schema itself has six
MAX_FILE_VALUES: Final = 200_000  # values once aliases are expanded; a thousand steps have some 20,000
MAX_STEPS: Final = 1000  # steps of a plan, once each matrix is expanded
MAX_NAME_CHARS: Final = 60  # characters of a pipeline's or a step's name
# The name, the key and the prefix together stay below the 200 bytes of a state service key.
MAX_KEY_CHARS: Final = 60  # characters of a run's key
MAX_ERRORS_SHOWN: Final = 50  # errors of one file that are shown; further ones are only counted
MAX_DIFFERENCES_SHOWN: Final = 20  # differences shown between a run as recorded and as sent again

# --- runs -----------------------------------------------------------------------------------------
MAX_PLAN_BYTES: Final = 1024 * 1024  # bytes of an unpacked plan, so that a small body cannot fill the memory
# A plan is recorded in one transaction, which has to stay below `MAX_TXN_BYTES`.
MAX_PACKED_PLAN_CHARS: Final = 36_000  # characters of a packed plan
ID_HASH_DIGITS: Final = 40  # hexadecimal digits of the hash in an id; 160 bits, so that no two are alike by chance
# Users wait 5 s for an answer; this leaves time to tell them to retry later.
RUN_ANSWER_TIMEOUT_S: Final = 4.0  # s
BUDGET_POLL_S: Final = 0.1  # s; interval at which a run checks whether the write budget has room for its next jobs
CHECKS_PER_BATCH: Final = 20  # steps checked before other tasks get a turn; some 2 ms at a third of a core
RUN_SCAN_INTERVAL_S: Final = 5.0  # s; how soon the leader finds a run whose node died; each scan is one request
OTHER_CREATOR_WAIT_S: Final = 10.0  # s; a node that finds another creating a run's jobs checks the run again after this
MAX_CONCURRENT_RUN_READS: Final = 4  # reads of runs in flight, so that polls of runs leave room for those of jobs
MAX_WAITING_RUN_READS: Final = 32  # further reads of runs that may wait; beyond that users are told to retry later
MAX_CACHED_PLANS: Final = 32  # unpacked plans in memory, some 100 KB each at the largest
STEPS_PER_PAGE: Final = 200  # steps in one answer
MAX_PAGE_BYTES: Final = 60 * 1024  # bytes of the steps in one answer, a line of at most 64 KiB
MAX_REASON_CHARS: Final = 300  # characters of a refusal that are recorded

# --- schedules ------------------------------------------------------------------------------------
# A due time this far back was missed through an outage; an election takes only a few seconds.
MISSED_AFTER_S: Final = 120.0  # s
