"""Numbers of the pipeline files and of their runs."""

from typing import Final

# --- the file -------------------------------------------------------------------------------------
MAX_FILE_BYTES: Final = 1024 * 1024  # bytes; a thousand written-out steps take a third of it
MAX_FILE_DEPTH: Final = 24  # levels of nesting; the schema itself has six
MAX_FILE_VALUES: Final = 200_000  # values once aliases are written out; a thousand steps have some 20,000
MAX_STEPS: Final = 1000  # steps of a plan, a matrix written out
MAX_NAME_CHARS: Final = 60  # of a pipeline's or a step's name
MAX_KEY_CHARS: Final = 60  # of a run's key; name, key and prefix stay below the 200 bytes of a key in the state service
MAX_ERRORS_SHOWN: Final = 50  # of one file; more are counted only
MAX_DIFFERENCES_SHOWN: Final = 20  # between a run as recorded and as sent again

# --- runs -----------------------------------------------------------------------------------------
MAX_PLAN_BYTES: Final = 1024 * 1024  # bytes; of a plan unpacked, so that a small body cannot fill the memory
MAX_PACKED_PLAN_CHARS: Final = (
    36_000  # characters; of a packed plan: recorded in one transaction, below `MAX_TXN_BYTES`
)
ID_HASH_DIGITS: Final = 40  # hexadecimal digits of the hash in an id: 160 bits, no two alike by chance
RUN_ANSWER_TIMEOUT_S: Final = (
    4.0  # s; users wait 5 s for an answer, and are better told to come back than left without one
)
BUDGET_POLL_S: Final = 0.1  # s; before it is looked again whether the budget has room for a run's next jobs
CHECKS_PER_BATCH: Final = 20  # steps checked before others have their turn: some 2 ms at a third of a core
RUN_SCAN_INTERVAL_S: Final = 5.0  # s; how soon the leader finds a run whose node died; one request each time
OTHER_CREATOR_WAIT_S: Final = 10.0  # s; a node that finds another creating a run's jobs looks again after this
MAX_CONCURRENT_RUN_READS: Final = 4  # readings of runs in flight, so that polls of runs leave room for those of jobs
MAX_WAITING_RUN_READS: Final = 32  # further ones that wait for their turn; more are told to come back
MAX_CACHED_PLANS: Final = 32  # unpacked plans in memory, some 100 KB each at the largest
STEPS_PER_PAGE: Final = 200  # steps in one answer: a line to users stays below 64 KiB
MAX_REASON_CHARS: Final = 300  # of a refusal that is recorded

# --- schedules ------------------------------------------------------------------------------------
MISSED_AFTER_S: Final = 120.0  # s; a due time this far back was missed, by an outage: an election takes a few seconds
