"""Constants of the console, the report, and the history that a leader keeps for them."""

from typing import Final

# --- history in a leader's memory -----------------------------------------------------------------
# Memory of all time lines with their texts and names; a small controller has 146 MB in all.
MAX_HISTORY_BYTES: Final = 8 * 1024 * 1024  # bytes
# Memory of a time line besides its records: two dictionary entries, an id and a buffer.
TIMELINE_OVERHEAD_BYTES: Final = 260  # bytes
NAME_OVERHEAD_BYTES: Final = 120  # bytes; memory of a kept text or name besides its characters
# Age of a job up to which its time line begins at its submission, if a leader first sees the job only now.
MAX_JOB_AGE_S: Final = 365 * 86400.0  # s
MAX_TIMELINE_RECORDS: Final = 96  # records of one job; beyond that the middle of its time line is condensed
TIMELINE_HEAD_RECORDS: Final = 16  # records at the beginning of a time line that are never condensed
TIMELINE_TAIL_RECORDS: Final = 48  # records at the end of a time line that stay when its middle is condensed
MERGE_WINDOW_S: Final = 1.0  # s; equal records of one job within it become one with a count
MAX_NAMES: Final = 20_000  # distinct texts and machine names; beyond that records are kept without their text or name
MAX_EVENTS_KEPT: Final = 500  # events of machines and of the whole service
MAX_LOSSES: Final = 20_000  # lost tasks that do not run again yet; further ones are only counted
# Latest recovery times of each cause, from which the median is taken; also the largest number of causes.
MAX_SAMPLES_KEPT: Final = 64
SPENDING_INTERVAL_S: Final = 5.0  # s; machines are charged by the second, and few live for less than a minute
MAX_CAUSE_CHARS: Final = 60  # characters of a cause under which recoveries are counted

# --- history saved in the state service -----------------------------------------------------------
SAVE_INTERVAL_S: Final = 30.0  # s; at most this much of the time lines is lost with a leader
MAX_SAVE_VALUES: Final = 6  # values in one save; 0.2 writes a second, of the 40 to 70 that a state service takes
SAVE_SLOTS: Final = 2  # slots written in turn: a leader that dies while it saves leaves the previous save whole
# Interval at which a save checks whether the write budget has room for a background write.
SAVE_BUDGET_POLL_S: Final = 0.5  # s

# --- the view -------------------------------------------------------------------------------------
LEADER_SHARE: Final = 0.02  # share of a leader's processor that all viewers together may use
# Time over which LEADER_SHARE is saved up, so that the first view of thousands of jobs is answered whole.
LEADER_BURST_S: Final = 10.0  # s
MIN_REFRESH_INTERVAL_S: Final = 1.0  # s; changes within it become one revision
ROWS_PER_BATCH: Final = 500  # rows built without a pause; some 5 ms of a whole core
ROWS_PER_ANSWER: Final = 100  # rows built before an answer; further ones wait until viewers leave time for them
# Time for which a page of jobs is served from the cache; the changes since then bring it up to date.
PAGE_CACHE_S: Final = 5.0  # s
ROW_BATCH_PAUSE_S: Final = 0.2  # s; pause between two batches of rows, so that reports and planning rounds can run
VIEW_IDLE_TIMEOUT_S: Final = 60.0  # s without a viewer after which the rows are dropped
MAX_ANSWER_AGE_S: Final = 10.0  # s; the oldest kept answer that is served when there is no time for a new one
BUSY_RETRY_S: Final = 2  # s; Retry-After for a viewer whom the leader has no time to answer
MAX_ENDED_JOBS: Final = 1000  # ended jobs that are still shown
MAX_ENDED_JOB_AGE_S: Final = 600.0  # s; the longest time for which an ended job is shown
DEFAULT_PAGE_ROWS: Final = 100  # rows of a page if the query names no number
MAX_PAGE_ROWS: Final = 1000  # rows of a page; some 250 KB, 30 KB compressed
DEFAULT_CHANGES_BYTES: Final = 24_000  # uncompressed bytes of one answer with changes if the query names no number
# A row in which only numbers of its text changed is sent again after this at the earliest.
MIN_TEXT_REFRESH_S: Final = 5.0  # s
# Twice the bound on the clocks' error; the start of a span may seem to move by this much.
SPAN_START_TOLERANCE_S: Final = 2.0  # s
# How long a node waits for the leader's view before it shows what it knows itself.
VIEW_FORWARD_TIMEOUT_S: Final = 1.5  # s
MAX_JOBS_AHEAD_SHOWN: Final = 5  # jobs that are named as being ahead of one in the order

# --- members ------------------------------------------------------------------------------------
MAX_PUBLIC_CONNECTIONS: Final = 40  # connections of the members' listener; they count against the node's sockets
MAX_PUBLIC_PAGES: Final = 500  # kept page positions from which members may continue a listing
PSEUDONYM_DIGITS: Final = 8  # digits of the pseudonym that replaces a job's id where names are not shown

# --- terminal console and report ------------------------------------------------------------------
CONSOLE_POLL_INTERVAL_S: Final = 2.0  # s; how often a console asks for changes
# Uncompressed bytes of one answer; with 9,000 a console takes up to 2.2 KB a second while very many jobs change.
MAX_CONSOLE_ANSWER_BYTES: Final = 7_000
OVERVIEW_INTERVAL_S: Final = 10.0  # s; how often a console asks for everything that is not a job
MAX_SNAPSHOT_TRIES: Final = 5  # attempts at one snapshot; each fails if another leader answers in between
STALE_AFTER_S: Final = 10.0  # s without an answer after which what is shown is marked as stale
MAX_REPORT_JOBS: Final = 12_000  # jobs of one report, to keep it below 5 MB; further ones are only counted
MAX_TIMELINE_RECORDS_SHOWN: Final = 200  # records of one time line on a terminal
MAX_TERMINAL_ROWS: Final = 300  # jobs in the list on a terminal; drawing more would take a second each time
MAX_REPORT_TIMELINES: Final = 20  # time lines on a report page, of the most urgent jobs that have waited longest
MAX_REPORT_EVENTS: Final = 100  # events on a report page
