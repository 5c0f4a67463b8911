"""Numbers of the console, the report and what a leader keeps for them."""

from typing import Final

# --- what a leader keeps --------------------------------------------------------------------------
MAX_HISTORY_BYTES: Final = (
    8 * 1024 * 1024
)  # bytes; of all time lines with their names, of the 146 MB of a small controller
TIMELINE_OVERHEAD_BYTES: Final = (
    260  # bytes; what a time line costs besides its records: two dictionary entries, id and buffer
)
NAME_OVERHEAD_BYTES: Final = 120  # bytes; what a kept name costs besides its characters
MAX_JOB_AGE_S: Final = 365 * 86400.0  # s; so old may a job be when a leader first sees it, for its line to begin then
MAX_TIMELINE_RECORDS: Final = 96  # records of one job; then its middle is squeezed
TIMELINE_HEAD_RECORDS: Final = 16  # records that are never squeezed: how it began
TIMELINE_TAIL_RECORDS: Final = 48  # records that stay of the end when the middle is squeezed
MERGE_WINDOW_S: Final = 1.0  # s; alike records of one job within it are one with a count
MAX_NAMES: Final = 20_000  # distinct texts and machine names; more are recorded without their words
MAX_EVENTS_KEPT: Final = 500  # of machines and of the whole service
MAX_LOSSES: Final = 20_000  # lost tasks not running again; more are only counted
MAX_SAMPLES_KEPT: Final = 64  # spans to recover, of each cause, that the median is taken of
SPENDING_INTERVAL_S: Final = 5.0  # s; machines are charged by the second, and few live shorter than a minute
MAX_CAUSE_CHARS: Final = 60  # characters of a cause that recoveries are counted under

# --- what outlives a leader -----------------------------------------------------------------------
SAVE_INTERVAL_S: Final = 30.0  # s; at most so much of the time lines is lost with a leader
MAX_SAVE_VALUES: Final = 6  # values; 0.2 changes a second, of the 40 to 70 that a state service takes
SAVE_SLOTS: Final = 2  # written in turn: a leader that dies while it saves leaves the one before whole
SAVE_BUDGET_POLL_S: Final = 0.5  # s; before it is looked again whether the budget has room that nobody waits for

# --- the view -------------------------------------------------------------------------------------
LEADER_SHARE: Final = 0.02  # share of a leader's processor that all viewers together may use
LEADER_BURST_S: Final = 10.0  # s; saved up, so that the first look at thousands of jobs is answered whole
MIN_REFRESH_INTERVAL_S: Final = 1.0  # s; changes within it are one revision
ROWS_PER_BATCH: Final = 500  # rows made without a pause: some 5 ms of a whole core
ROWS_PER_ANSWER: Final = 100  # rows made before an answer; more wait until viewers leave time for them
PAGE_CACHE_S: Final = 5.0  # s; a page of jobs is given again for so long: the changes since make it current
ROW_BATCH_PAUSE_S: Final = 0.2  # s; between two such parts reports and rounds have their turn
VIEW_IDLE_TIMEOUT_S: Final = 60.0  # s without a viewer; then the rows are dropped
MAX_ANSWER_AGE_S: Final = 10.0  # s; how old an answer may be that is given because there is no time for a new one
BUSY_RETRY_S: Final = 2  # s; told to a viewer that the leader has no time for
MAX_ENDED_JOBS: Final = 1000  # jobs that are over and still shown
MAX_ENDED_JOB_AGE_S: Final = 600.0  # s; for so long at most
DEFAULT_PAGE_ROWS: Final = 100  # rows of a page if nothing else is asked for
MAX_PAGE_ROWS: Final = 1000  # rows; some 250 KB, 30 KB compressed
DEFAULT_CHANGES_BYTES: Final = 24_000  # bytes uncompressed of one answer of changes if nothing else is asked for
MIN_TEXT_REFRESH_S: Final = 5.0  # s; a row whose numbers alone have changed is shown anew after this at the earliest
SPAN_START_TOLERANCE_S: Final = (
    2.0  # s; twice the bound of the time of day, by which the beginning of a span may seem to move
)
VIEW_FORWARD_TIMEOUT_S: Final = (
    1.5  # s; how long a node waits for the leader's view before it shows what it knows itself
)
MAX_JOBS_AHEAD_SHOWN: Final = 5  # jobs named that are before one in order

# --- members ------------------------------------------------------------------------------------
MAX_PUBLIC_CONNECTIONS: Final = 40  # connections of the members' listener; they take from the node's sockets
MAX_PUBLIC_PAGES: Final = 500  # pages that members may ask to go on from
PSEUDONYM_DIGITS: Final = 8  # digits that stand for a job's id where names are not shown

# --- faces ----------------------------------------------------------------------------------------
CONSOLE_POLL_INTERVAL_S: Final = 2.0  # s; how often a console asks for changes
MAX_CONSOLE_ANSWER_BYTES: Final = (
    7_000  # bytes uncompressed of one answer; 9,000 were up to 2.2 KB a second in a storm of changes
)
OVERVIEW_INTERVAL_S: Final = 10.0  # s; how often a console asks for what is not a job
MAX_SNAPSHOT_TRIES: Final = 5  # snapshots begun anew because another leader answered in between
STALE_AFTER_S: Final = 10.0  # s without an answer; then what is shown is marked as stale
MAX_REPORT_JOBS: Final = 12_000  # jobs of one report; more are counted only, so that it stays below 5 MB
MAX_TIMELINE_RECORDS_SHOWN: Final = 200  # records of one time line on a terminal
MAX_TERMINAL_ROWS: Final = 300  # jobs in the list of a terminal; more would cost it a second each time
MAX_REPORT_TIMELINES: Final = 20  # time lines on a page, of the jobs that wait longest for what is most urgent
MAX_REPORT_EVENTS: Final = 100  # events on a page
