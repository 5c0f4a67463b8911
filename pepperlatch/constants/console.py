"""Numbers of the console, the report and what a leader keeps for them."""

from typing import Final

# --- what a leader keeps --------------------------------------------------------------------------
HISTORY_BYTES: Final = 8 * 1024 * 1024  # bytes; of all time lines with their names, of the 146 MB of a small controller
LINE_BYTES: Final = 260  # bytes; what a time line costs besides its records: two dictionary entries, id and buffer
NAME_BYTES: Final = 120  # bytes; what a kept name costs besides its characters
BEFORE_S: Final = 365 * 86400.0  # s; so old may a job be when a leader first sees it, for its line to begin then
LINE_RECORDS: Final = 96  # records of one job; then its middle is squeezed
LINE_HEAD: Final = 16  # records that are never squeezed: how it began
LINE_TAIL: Final = 48  # records that stay of the end when the middle is squeezed
MERGE_S: Final = 1.0  # s; alike records of one job within it are one with a count
NAMES_MOST: Final = 20_000  # distinct texts and machine names; more are recorded without their words
EVENTS_KEPT: Final = 500  # of machines and of the whole service
LOSSES_MOST: Final = 20_000  # lost tasks not running again; more are only counted
SAMPLES_KEPT: Final = 64  # spans to recover, of each cause, that the median is taken of
MONEY_EVERY_S: Final = 5.0  # s; machines are charged by the second, and few live shorter than a minute
CAUSE_CHARS: Final = 60  # characters of a cause that recoveries are counted under

# --- what outlives a leader -----------------------------------------------------------------------
SAVE_EVERY_S: Final = 30.0  # s; at most so much of the time lines is lost with a leader
SAVE_VALUES: Final = 6  # values; 0.2 changes a second, of the 40 to 70 that a state service takes
SAVE_SLOTS: Final = 2  # written in turn: a leader that dies while it saves leaves the one before whole
SAVE_POLL_S: Final = 0.5  # s; before it is looked again whether the budget has room that nobody waits for

# --- the view -------------------------------------------------------------------------------------
LEADER_SHARE: Final = 0.02  # share of a leader's processor that all viewers together may use
LEADER_BURST_S: Final = 10.0  # s; saved up, so that the first look at thousands of jobs is answered whole
REFRESH_S: Final = 1.0  # s; changes within it are one revision
ROWS_AT_ONCE: Final = 500  # rows made without a pause: some 5 ms of a whole core
ROWS_AN_ANSWER: Final = 100  # rows made before an answer; more wait until viewers leave time for them
PAGE_KEPT_S: Final = 5.0  # s; a page of jobs is given again for so long: the changes since make it current
ROWS_PAUSE_S: Final = 0.2  # s; between two such parts reports and rounds have their turn
IDLE_S: Final = 60.0  # s without a viewer; then the rows are dropped
AGE_MOST_S: Final = 10.0  # s; how old an answer may be that is given because there is no time for a new one
BUSY_RETRY_S: Final = 2  # s; told to a viewer that the leader has no time for
ENDED_KEPT: Final = 1000  # jobs that are over and still shown
ENDED_KEPT_S: Final = 600.0  # s; for so long at most
PAGE: Final = 100  # rows of a page if nothing else is asked for
PAGE_MOST: Final = 1000  # rows; some 250 KB, 30 KB compressed
CHANGES_BYTES: Final = 24_000  # bytes uncompressed of one answer of changes if nothing else is asked for
TEXT_S: Final = 5.0  # s; a row whose numbers alone have changed is shown anew after this at the earliest
WANDER_S: Final = 2.0  # s; twice the bound of the time of day, by which the beginning of a span may seem to move
PASS_ON_S: Final = 1.5  # s; how long a node waits for the leader's view before it shows what it knows itself
AHEAD_SHOWN: Final = 5  # jobs named that are before one in order

# --- members ------------------------------------------------------------------------------------
PUBLIC_CONNECTIONS: Final = 40  # connections of the members' listener; they take from the node's sockets
PAGES_KEPT: Final = 500  # pages that members may ask to go on from
WORD_DIGITS: Final = 8  # digits that stand for a job's id where names are not shown

# --- faces ----------------------------------------------------------------------------------------
POLL_S: Final = 2.0  # s; how often a console asks for changes
CONSOLE_BYTES: Final = 7_000  # bytes uncompressed of one answer; 9,000 were up to 2.2 KB a second in a storm of changes
OVERVIEW_S: Final = 10.0  # s; how often a console asks for what is not a job
SNAPSHOT_TRIES: Final = 5  # snapshots begun anew because another leader answered in between
STALE_S: Final = 10.0  # s without an answer; then what is shown is marked as stale
SEARCH_ROWS: Final = 12_000  # jobs of one report; more are counted only, so that it stays below 5 MB
LINES_SHOWN: Final = 200  # records of one time line on a terminal
ROWS_SHOWN: Final = 300  # jobs in the list of a terminal; more would cost it a second each time
REPORT_LINES: Final = 20  # time lines on a page, of the jobs that wait longest for what is most urgent
REPORT_EVENTS: Final = 100  # events on a page
