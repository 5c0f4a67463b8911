"""Constants of the controllers, the protocol clients and the command line, with units and reasons.

Numbers of a deployment (limits, leases, budgets) come from the settings file or from the cloud's answers instead.
Numbers that operators may change at run time have their defaults in `policy/operator_settings.py`.
"""

from typing import Final

# --- HTTP -----------------------------------------------------------------------------------------
LISTEN_BACKLOG: Final = 256  # connections that wait to be accepted on a listener
MAX_BODY_BYTES: Final = 64 * 1024  # bytes; the protocol's limit for request bodies
MAX_ORDERS_BYTES: Final = 60 * 1024  # bytes of the orders in one message to a worker; leaves 4 KiB for its other fields
MAX_ORDER_BYTES: Final = 256  # bytes; no order is longer: a task's name has up to 74 characters, a number 20 digits
REPORT_HEADER_BYTES: Final = 2 * 1024  # bytes of a worker's report besides its tasks: names, address, numbers
INTEGER_CHARS: Final = 20  # characters of the protocol's largest integer
TASK_NUMBER_CHARS: Final = 5  # characters of the largest number of a task, below MAX_TASKS
MAX_REFUSAL_CHARS: Final = 400  # characters of a text in a refusal; JSON may write each with 6 bytes
# Time for which the rest of a refused request is read; closing the connection at once would destroy the answer.
REFUSAL_DRAIN_S: Final = 1.0  # s
REFUSAL_DRAIN_BYTES: Final = 1024 * 1024  # bytes; the most of a refused request that is read and dropped
READ_CHUNK_BYTES: Final = 64 * 1024  # bytes; one read takes a whole request of the largest size
REQUEST_READ_S: Final = 5.0  # s; limit for reading a request and for sending an answer; users give up after 5 s anyway
# A server connection idle for longer is closed; users poll every 5 s and workers report more often.
IDLE_CONNECTION_S: Final = 90.0  # s
COMPRESS_LEVEL: Final = 3  # gzip level, of 9; even twice the time of level 1 does not halve the size
MAX_UNPACKED_BYTES: Final = 64 * 1024 * 1024  # bytes; far larger than any answer, far smaller than any memory
MAX_IDLE_CONNECTIONS_PER_ADDRESS: Final = 4  # connections; more than this at once to one address is rare
POOL_IDLE_S: Final = 20.0  # s; a pooled connection idle for longer is closed instead of reused
CONNECT_TIMEOUT_S: Final = 1.0  # s; three round trips of the slowest link, one lost packet included
# Connections accepted from each other controller; limits forwarded reports in flight.
MAX_CONNECTIONS_PER_PEER: Final = 40
# Share of a listener's connection limit; above it users' connections are closed to leave room for workers'.
HIGH_CONNECTION_SHARE: Final = 0.85
SOCKET_SHARE_SERVER: Final = 0.7  # share of the socket limit that accepted connections may use

# The longest wait for an answer that the protocol allows users; the command line uses it too.
USER_REQUEST_TIMEOUT_S: Final = 5.0  # s
MAX_USER_RETRY_S: Final = 60.0  # s; the longest time over which the protocol lets a user retry a request
MIN_USER_RETRY_PAUSE_S: Final = 1.0  # s; shortest pause before a user retries a request
USER_POLL_INTERVAL_S: Final = 5.0  # s; how often the protocol's users poll a job
MAX_RETRY_AFTER_S: Final = 30.0  # s; the longest Retry-After that the protocol's users honour
MAX_CLIENT_CONNECTIONS: Final = 16  # connections of the command line, which asks one node at a time

LOG_BURST_LINES: Final = 2000.0  # lines of one kind that may be logged at once; a takeover places some thousand tasks
LOG_LINES_PER_S: Final = 100.0  # lines a second of one kind that may be logged after LOG_BURST_LINES

# --- state service --------------------------------------------------------------------------------
STATE_REQUEST_TIMEOUT_S: Final = 1.5  # s; answers usually take under 10 ms, now and then a few hundred
STATE_SHARE_LEADER: Final = 0.45  # share of the request rate for the leader; jobs wait for the leader's watch
STATE_SHARE_OTHERS: Final = 0.45  # share of the request rate that the other nodes divide among them
# Share of the write rate for the leader; it records machines and results, in bursts after boots.
WRITE_SHARE_LEADER: Final = 0.65
# Share of the write rate that any one follower may use while the other followers write nothing.
WRITE_SHARE_OTHERS: Final = 0.25
# Time in which a follower's write rate recovers from its own part to all followers' part; floods of writes last longer.
WRITE_RATE_RECOVERY_S: Final = 10.0  # s
STATE_RETRY_S: Final = 0.25  # s; pause after a request that was refused or got no answer
# Longest wait of one watch request, and so the interval at which a quiet watch proves that it works.
WATCH_WAIT_MS: Final = 2000  # ms
MIN_WATCH_INTERVAL_S: Final = 0.03  # s; changes within it share one answer, so there are at most 33 requests a second
MIN_SYNC_INTERVAL_S: Final = 0.02  # s; polls within it share one read
SYNC_TIMEOUT_S: Final = 1.7  # s; a poll waits 2 s for its answer, and "cannot be decided now" has to arrive within that
SLOW_SYNC_S: Final = 0.2  # s; while a read takes longer, the next one may start beside it
MAX_CONCURRENT_SYNCS: Final = 3  # reads in flight; one slow answer must not delay the polls that come after it
# Age of the proof that a leader's copy is current at which the leader reads again; equals LEADER_LEASE_RENEW_S.
FRESHNESS_CHECK_INTERVAL_S: Final = 0.5  # s
MAX_TXN_CONDITIONS_PER_CHANGE: Final = 4  # conditions that a transaction may hold for each change; the protocol's limit
MAX_TXN_BYTES: Final = 40_000  # bytes; below the protocol's 64 KiB, conditions included
LIST_PAGE: Final = 500  # items; half of the protocol's limit, to keep answers small
BITMAP_CHUNK_TASKS: Final = 32768  # tasks in a chunk that every version reads; up to 5.5 KiB as base64
# Tasks in a fine chunk: 683 bytes as base64, which fit into values of 1 KiB, where BITMAP_CHUNK_TASKS would not.
FINE_CHUNK_TASKS: Final = 4096  # tasks
VALUE_OVERHEAD_BYTES: Final = 64  # bytes; kept free in a value for its field names and quotes
# Transactions of submissions in flight; one slow answer must not delay all others.
MAX_CONCURRENT_SUBMIT_TXNS: Final = 3
SUBMIT_TXN_TIMEOUT_S: Final = 0.6  # s; a submission unanswered by then is written once more; slow answers take less
SUBMIT_TIMEOUT_S: Final = 2.0  # s; a user whose submission takes longer is told to retry later; users give up after 5 s
RETRY_AFTER_S: Final = 2  # s; Retry-After for a user whose request cannot be served now

# Share of the saved-up writes that is left to writes that a user or the leader waits for.
BACKGROUND_WRITE_RESERVE_SHARE: Final = 0.5
# Interval at which background writes check whether the budget has room for them.
BACKGROUND_WRITE_RETRY_S: Final = 0.1  # s
# Pause before a write that the state service refuses as it stands is tried again.
REFUSED_WRITE_RETRY_S: Final = 10.0  # s

MAX_TASKS: Final = 100_000  # tasks; the protocol's limit for one job
MAX_AMOUNT: Final = 1e9  # CPUs, GB or s; any amount above is a mistake of the sender
JOB_RECORD_OVERHEAD_BYTES: Final = 512  # bytes; what a job's record holds besides its description

# --- leadership -----------------------------------------------------------------------------------
LEADER_LEASE_MS: Final = 2400  # ms; a dead leader is replaced after this; six times as long as a slow answer takes
LEADER_LEASE_RENEW_S: Final = 0.5  # s; four attempts fit into one lease
# Upper bound of a random delay that keeps candidates from asking at the same instant.
ELECTION_JITTER_S: Final = 0.15  # s
LEADER_LEASE_MARGIN_S: Final = 0.1  # s; time that an irrevocable decision may take from the lease check to its sending
LEASE_EXTENSION_MARGIN_S: Final = 1.0  # s; kept free between the end of an extended worker lease and the cancel bound
CLOCK_DRIFT: Final = 0.001  # share; twice the protocol's 0.05 %, for two clocks that drift apart
# Time without a report or an answer from any machine or controller after which a leader hands over.
HANDOVER_SILENT_REPORTS: Final = 1.5  # report intervals
HANDOVER_PAUSE_S: Final = 15.0  # s; a leader that handed over lets others lead for this long, then it tries again
# Age of a leader's copy of the state at which it hands over. A third of the shortest lease extension: enough for slow
# reads, and a successor still has time to keep the workers' leases.
HANDOVER_STALE_S: Final = 6.0  # s
# Age of a leader's copy of the state at which the other controllers are asked to attest it; by then two reads have
# failed.
ATTESTATION_AFTER_S: Final = 1.5  # s
# Records in one attestation, at most some 40 KB; more than a minute's cancellations.
MAX_ATTESTED_CANCELLATIONS: Final = 60
# The longest time that a user who cancels a job waits until the leader has been notified.
CANCEL_NOTIFY_TIMEOUT_S: Final = 0.15  # s
MAX_CANCELLATIONS_REMEMBERED: Final = 500  # cancelled jobs whose versions are remembered, 50 KB; some minutes' worth
FENCE_TIMEOUT_S: Final = 1.0  # s; deadline of one attempt to fence a machine
MAX_CONCURRENT_FENCES: Final = 48  # machines; 0.1 s of work on a third of a core, and far below any socket limit
SLOW_PLAN_ROUND_S: Final = 0.1  # s; a longer planning round is logged, since it delays reports and polls
MAX_FENCE_PEERS: Final = 3  # controllers asked to fence a machine that this one cannot reach, before its next attempt
# Time for two attempts to fence; after it other controllers are asked whether the silent machine is alive.
FENCE_SILENT_S: Final = 2.5  # s
FENCE_RETRY_S: Final = 0.4  # s; pause between two attempts to fence the same machine

# --- workers --------------------------------------------------------------------------------------
COMMAND_TIMEOUT_S: Final = 2.0  # s; a worker answers at once, this allows for one lost packet
# Deadline of a direct probe of a silent machine, and of short requests to other controllers.
PROBE_TIMEOUT_S: Final = 0.8  # s
SILENT_REPORTS: Final = 1.4  # report intervals without a report before a machine is probed directly
MAX_UNANSWERED_PROBES: Final = 2  # unanswered probes before a silent machine is given up
# Other machines that a controller probes when it does not reach a silent machine that it was asked about. If it reaches
# none of them, it is cut off itself and its answer proves nothing.
MAX_WITNESSES: Final = 2  # machines
MANY_SILENT_SHARE: Final = 0.34  # share of all machines; if more are silent at once, the network is at fault
MAX_CANCELLED_MACHINES_SENT: Final = 300  # machines named to the other controllers in one message, 18 KB
RETURN_CONFIRM_S: Final = 1.0  # s; the cloud confirms a return within this unless it is unavailable
TAKEOVER_S: Final = 0.5  # s; from the end of a leader's lease until the next leader has read what is recorded
# Even if many machines are silent, one that is silent for longer is given up and no longer paid for.
MAX_SILENCE_S: Final = 90.0  # s
KILL_REPEAT_S: Final = 2.0  # s; a kill that was not obeyed yet is sent again after this
FORWARD_IF_BACK_WITHIN_S: Final = 10.0  # s; a redirected worker that returns within this could not reach the leader
# Reports of a worker that could not reach the leader are forwarded for this long before it is redirected again.
FORWARD_PERIOD_S: Final = 20.0  # s
# Requests with forwarded reports in flight to the leader; reports that arrive meanwhile are queued.
MAX_CONCURRENT_FORWARDS: Final = 2
MAX_FORWARD_REPORTS: Final = 64  # reports in one request; some 10 ms of a leader's time
MAX_FORWARD_BYTES: Final = 48 * 1024  # bytes; below the limit of a request's body
# A controller of an earlier version gets one report a request for this long, then a batch is tried.
FORWARD_UNBATCHED_S: Final = 30.0  # s
# Shortest time between two requests with reports to a leader; reports that arrive meanwhile share the next request.
MIN_FORWARD_INTERVAL_S: Final = 0.04  # s
# A follower gives up the grant of a machine that is silent for this long.
DELEGATION_SILENT_REPORTS: Final = 2.0  # report intervals
DELEGATION_LATE_REPORTS: Final = 1.3  # report intervals; a report is late if a follower waits longer for it
DELEGATION_MEMORY_LEASES: Final = 2.0  # worker leases; for this long a follower remembers which machines it answered
MAX_DELEGATED_MACHINES: Final = 1500  # machines that a follower may answer
MAX_STATEMENT_BYTES: Final = 60 * 1024  # bytes of a follower's statement, which has to fit into a request's body
STATEMENT_ROW_BYTES: Final = (
    18  # bytes of a statement's row besides name and numbers: an age of up to a day, punctuation
)
# Bytes of each of the two lists of machines in the leader's message to the other controllers.
MAX_MACHINE_LIST_BYTES: Final = 28 * 1024
# A contact waits this long for a busy leader, then it is answered without a delegation.
DELEGATION_TIMEOUT_S: Final = 0.4  # s
FORWARD_TIMEOUT_S: Final = 2.5  # s; below the 4 s after which the worker drops an answer
# Longest time for which a report waits at a node until there is a leader; the answer still has to reach the worker
# within its 4 s.
MAX_HEARTBEAT_WAIT_S: Final = 3.3  # s
HEARTBEAT_RETRY_S: Final = 0.25  # s; pause between two attempts to forward a report; an election takes a second or two
# While workers report outside their zone, how often nodes are asked whether they hear the leader.
PREFERRED_CONTROLLER_PROBE_INTERVAL_S: Final = 1.0  # s
# Nodes are still asked for this long after the last report of a worker outside its zone; longer than a report interval.
PREFERRED_CONTROLLER_PROBE_PERIOD_S: Final = 10.0  # s
# For this long a node counts as hearing the leader after it said so; two probes may be lost.
PREFERRED_CONTROLLER_VALID_S: Final = 2.5  # s
WORKER_LEASE_MARGIN_S: Final = 0.3  # s; added to a lease before its tasks count as gone, for timers that fire late
MAX_IMAGE_USES: Final = 8000  # uses remembered, about 1 MB; several images on each of thousands of machines
MAX_IMAGE_USES_PER_ANSWER: Final = 400  # uses in one answer, 16 KB; followers learn a whole fleet's in a few seconds
# A machine whose own heartbeats stop for longer gets no tasks; two controllers that are cut off cost a worker 10 s.
OWN_HEARTBEAT_FACTOR: Final = 2.5  # times FRESH_REPORTS
MAX_LOST_LAUNCH_ANSWERS: Final = 2  # answers with launches lost in a row; a single one may be lost to the network
# Shortest time between two writes of the leader only to get a newer token, for all machines together; until then exited
# tasks take a line each of their machine's reports.
NEWER_TOKEN_INTERVAL_S: Final = 5.0  # s
ATTEMPT_NUMBER_BITS: Final = 24  # bits; 16 million attempts under one token

# --- cloud ----------------------------------------------------------------------------------------
CLOUD_REQUEST_TIMEOUT_S: Final = 8.0  # s; renting many machines is slow, while in an outage the cloud answers at once
CLOUD_RETRY_PAUSE_S: Final = 1.0  # s; pause after a failed call
CLOUD_LIST_INTERVAL_S: Final = 5.0  # s; how soon unexpected and failed machines are found
PRICE_POLL_INTERVAL_S: Final = 30.0  # s; spot prices change slowly
CLOUD_RATE_SHARE: Final = 0.9  # share of the cloud's call rate that is used; the rest is for a node that takes over
CLOUD_BURST_S: Final = 1.5  # seconds' worth of calls saved up while idle; the protocol permits two
MAX_MACHINES_PER_HIRE: Final = 50  # machines; the protocol's limit for one request
MAX_NAMES_PER_RELEASE: Final = 100  # names; the protocol's limit for one request
MAX_CONCURRENT_HIRES: Final = 3  # offers asked for at once; about a second's worth of the cloud's calls
MIN_RENT_INTERVAL_S: Final = 0.2  # s; needs that arise together share one request, since calls are scarcer than time
NO_CAPACITY_PAUSE_S: Final = 10.0  # s; first pause after a refused offer; doubles up to MAX_NO_CAPACITY_PAUSE_S
# Longest pause after a refused offer. An offer of which this service itself returned machines is asked for at once.
MAX_NO_CAPACITY_PAUSE_S: Final = 90.0  # s
BOOT_TIMEOUT_FACTOR: Final = 3.0  # times the usual boot time; after that a machine counts as never coming up
MAX_BOOTS_REMEMBERED: Final = 20  # latest boots of a type that are remembered; a few minutes' worth
MIN_BOOT_SAMPLES: Final = 4  # boots; fewer say nothing about a type's boot time
MIN_BOOT_S: Final = 1.0  # s; a machine that seems to boot faster was up before this leader knew of it
SLOW_BOOT_QUANTILE: Final = 0.9  # quantile of the latest boot times that is expected
SLOW_BOOT_FACTOR: Final = 1.2  # times the boot time at SLOW_BOOT_QUANTILE; a slower machine is no longer counted on
MIN_BOOT_TIMEOUT_S: Final = 45.0  # s; lower bound of the boot timeout, for types that boot fast
LIST_LAG_FACTOR: Final = 2.0  # times; the cloud's lists may be older than their nominal lag by this factor

# --- chained jobs ---------------------------------------------------------------------------------
# Time from the last task of a job to the first task of the next job: reports, a record, a launch, its image.
CHAIN_STEP_S: Final = 3.0  # s
# Edges of the graph of jobs that are followed in one batch of commands to spread urgencies; a few ms of work.
MAX_URGENCY_STEPS_PER_BATCH: Final = 5_000  # edges
MAX_NAME_CHARS_SHOWN: Final = 100  # characters shown of a name that no job has; it may be as long as a request
MAX_NAMES_SHOWN: Final = 3  # jobs named in a waiting reason, where further ones are only counted; types in a refusal

# --- planning -------------------------------------------------------------------------------------
TICK_S: Final = 0.5  # s; interval of the housekeeping when nothing else happens
MIN_PERSIST_INTERVAL_S: Final = 0.4  # s; finished tasks of unfinished jobs are written together
MIN_CHARGE_S: Final = 60.0  # s; the cloud charges at least this for a machine
# A return that begins this long before the end of the minimum charge reaches the cloud at about that end.
RETURN_LEAD_S: Final = 5.0  # s
BOOT_PRICE_DOUBLING_S: Final = 60.0  # s; for urgent work a type that boots this much longer is worth half as much
BOOT_EXPECTED_FACTOR: Final = 1.6  # times the usual boot time for which a booting machine is counted on
BOOT_MARGIN_S: Final = 5.0  # s; added to the expected boot time for the first report and the record
FRESH_REPORTS: Final = 2.2  # report intervals since its last report within which a machine gets new tasks
EPS: Final = 1e-6  # CPUs or GB; sums of decimal amounts are compared with this tolerance
LONG_QUEUE_COMMANDS: Final = 200  # commands; a longer queue means that the node falls behind
# A leader that gave up its term after an unexpected exception enters no election for this long: enough for another to
# be elected, and short beside the workers' leases if every controller meets the same exception.
GIVEN_UP_PAUSE_S: Final = 3.0  # s
CONTAINED_RESTART_PAUSE_S: Final = 1.0  # s; before a loop that raised an unexpected exception begins again
# Pause before an extension that raised an exception is started again; the cause seldom disappears sooner.
EXTENSION_RESTART_PAUSE_S: Final = 5.0  # s
MAX_QUEUE_COMMANDS: Final = 2000  # commands; several reports of every machine; further reports are refused at once
MIN_PLAN_INTERVAL_S: Final = 0.1  # s; changes that come together are planned for together
MAX_PLAN_ROUND_S: Final = 0.5  # s; a longer round is continued in the next one; a fifth of the leader's lease
# Machines examined a second, until rounds have been measured; the speed of a slow share of a core.
INITIAL_PLAN_WORK_PER_S: Final = 40_000.0
MIN_PLAN_WORK: Final = 4_000.0  # machines examined in a round, however slow it is; some 40 placements
MIN_MEASURED_ROUND_S: Final = 0.02  # s; shorter rounds say little of how fast the next will be
PLAN_PAUSE_FACTOR: Final = 3.0  # times a round's length that is left to other work after it; reports go before planning
# Lengths of the last round until the next one if nothing changes; planning then takes 5 % of the leader's time.
IDLE_PLAN_PAUSE_FACTOR: Final = 20.0
# A job's waiting reason is shown for at least this long: longer than the cloud takes to answer a rental, too short for
# users to mind.
MIN_REASON_SHOWN_S: Final = 3.0  # s
MACHINE_ERROR_WINDOW_S: Final = 60.0  # s; errors further apart say nothing about a machine
QUARANTINE_FAILED_TASKS: Final = 2  # different tasks failed in a row before a machine is taken to be faulty
FAULTY_JOB_MACHINES: Final = 3  # machines that a job must fail on before the job is taken to be at fault
JOB_BACKOFF_S: Final = 2.0  # s; first pause of a failing job, which then doubles
MAX_JOB_BACKOFF_S: Final = 60.0  # s; a job submitted with a mistake must not make healthy machines count as faulty
LATE_TASK_SHARE: Final = 0.25  # share of its estimate that a task that has exceeded it is still expected to need
ESTIMATE_SAFETY_FACTOR: Final = 1.3  # times; owners' estimates are often wrong by a half
SLACK_SHARE: Final = 0.95  # share of the time left that waiting may use up before a machine is rented
SLOW_MACHINE_FACTOR: Final = 1.8  # times the usual run time; machines differ by a tenth, estimates by a half
SLOW_MACHINE_SAMPLES: Final = 3  # finished tasks before a machine is called slow
# Times the price of the cheapest machine that fits; a single replica must not keep a more expensive machine in use.
MAX_REPLICA_PRICE_FACTOR: Final = 2.5
# After this wait a new replica goes to a more expensive machine after all; about a slow type's boot and image fetch.
REPLICA_PRICE_WAIT_S: Final = 45.0  # s
FETCH_TIME_FACTOR: Final = 1.33  # times; fetching an image may take a third longer than the type's rate says
EMPTYING_SHARE: Final = 0.4  # share in use by replicas; below it an ordinary machine may soon be empty
TASK_START_S: Final = 0.5  # s; from planning a launch to the task's start where the image is present
# After this wait a job of which nothing runs uses room reserved for others; users regard a job as lost after 90 s.
MAX_RESERVATION_WAIT_S: Final = 75.0  # s
# A job of which no task has started after this wait goes first; users regard a job as lost after four minutes.
OVERDUE_S: Final = 200.0  # s
OVERDUE_GANG_S: Final = 100.0  # s; OVERDUE_S of a gang, which needs further time until tasks in its place have ended
GANG_RESERVATION_S: Final = 100.0  # s; other jobs leave free room to a gang for this long, then use it for as long
# Times a job's longest objective; a job that has waited longer goes first, else many other jobs could starve it.
MISSED_OBJECTIVE_FACTOR: Final = 2.0
# Share of its time for which a job beyond its team's guarantee waits for cheap room only.
CHEAP_ROOM_WAIT_SHARE: Final = 0.4
MAX_PREEMPTIONS_PER_ROUND: Final = 8  # tasks stopped for others in one round, so that a round cannot empty the cluster
CONTACT_INTERVAL_S: Final = 0.7  # s; interval of the contacts between leader and followers; two attempts may fail
# About half of CONTACT_INTERVAL_S: six followers ask in that time, and what users are shown may lag by seconds.
LEADER_SUMMARY_CACHE_S: Final = 0.3  # s
# After a request of the leader, a node does not renew workers' leases in the leader's place for this long.
RENEWAL_REVOCATION_S: Final = 3.0  # s
# The leader counts on a revocation for this much less than RENEWAL_REVOCATION_S, since timers may fire late.
RENEWAL_REVOCATION_MARGIN_S: Final = 0.3  # s
# Pause before a job that had other tasks stopped, and still found no place, may have further ones stopped.
PREEMPT_PAUSE_S: Final = 4.0  # s
# Time of three requests without an answer; workers are not redirected to a leader that is silent for this long.
LEADER_SILENT_S: Final = 3.0  # s
# Interval of the health checks of other controllers; the load balancer asks about once a second.
HEALTH_INTERVAL_S: Final = 0.7  # s
ISOLATED_ROUNDS: Final = 3  # rounds in which no controller answers; in an outage others may be slow for a second or two
# Watches answer every 2 s, so without an answer for this long the state service is unavailable.
STATE_UNAVAILABLE_S: Final = 2.5  # s
# An answer this recent shows that the service is available now; also the timeout for a new one.
STATE_FRESH_S: Final = 0.5  # s
# Without a good answer for this long the state service counts as failing; longer than STATE_FRESH_S.
STATE_FAILING_S: Final = 1.2  # s
