"""Every number the project chose, with its unit and the reason for it.

Numbers of a deployment (limits, leases, budgets) come from the settings or from the cloud's answers
instead.  Those that operators may change at run time are the defaults in `tuning.py`.
"""

from typing import Final

# --- HTTP -----------------------------------------------------------------------------------------
MAX_BODY_BYTES: Final = 64 * 1024  # bytes; the protocol's limit for request bodies
REFUSAL_DRAIN_S: Final = 1.0  # s; how long what follows a refused request is still read, so that its answer arrives
REFUSAL_DRAIN_BYTES: Final = 1024 * 1024  # bytes; and how much of it
READ_CHUNK_BYTES: Final = 64 * 1024  # bytes; one read takes a whole request of the largest size
REQUEST_READ_S: Final = 5.0  # s; a slow client is cut off after this, users give up after 5 s anyway
IDLE_CONNECTION_S: Final = 90.0  # s; users poll every 5 s and workers report faster, so idle means gone
COMPRESS_LEVEL: Final = 3  # of 9; half the size of level 1 is not had for twice its time
MAX_UNPACKED_BYTES: Final = 64 * 1024 * 1024  # bytes; far above any answer, far below any memory
MAX_IDLE_CONNECTIONS_PER_ADDRESS: Final = 4  # connections; more than this at once to one address is rare
POOL_IDLE_S: Final = 20.0  # s; an idle pooled connection older than this is closed, not trusted
CONNECT_TIMEOUT_S: Final = 1.0  # s; three round trips of the slowest link, one lost packet included
MAX_CONNECTIONS_PER_PEER: Final = (
    40  # connections accepted from each other controller: carried reports in flight at a time
)
HIGH_CONNECTION_SHARE: Final = 0.85  # share of a listener's connections in use; users' end then, workers need theirs
SOCKET_SHARE_SERVER: Final = 0.7  # share of the socket limit that accepted connections may hold

USER_REQUEST_TIMEOUT_S: Final = 5.0  # s; how long the protocol lets a user wait; the command line does the same
MAX_USER_RETRY_S: Final = 60.0  # s; how long the protocol lets a user repeat a request
MIN_USER_RETRY_PAUSE_S: Final = 1.0  # s; least pause before a user repeats a request
USER_POLL_INTERVAL_S: Final = 5.0  # s; how often the protocol's users look at a job
MAX_RETRY_AFTER_S: Final = 30.0  # s; the longest that the protocol's users heed
MAX_CLIENT_CONNECTIONS: Final = 16  # connections of the command line; it asks one node at a time

LOG_BURST_LINES: Final = 2000.0  # lines of one kind at once; a takeover places some thousand tasks
LOG_LINES_PER_S: Final = 100.0  # lines a second of one kind after that

# --- state service --------------------------------------------------------------------------------
STATE_REQUEST_TIMEOUT_S: Final = 1.5  # s; answers take under 10 ms, now and then a few hundred
STATE_SHARE_LEADER: Final = 0.45  # share of the requests; the leader's watch is the one that jobs wait for
STATE_SHARE_OTHERS: Final = 0.45  # share of the requests that the other nodes divide among them
WRITE_SHARE_LEADER: Final = 0.65  # share of the writes; it records machines and results, in crowds after boots
WRITE_SHARE_OTHERS: Final = 0.25  # share of the writes that any of the others may use while the rest are quiet
WRITE_RATE_RECOVERY_S: Final = 10.0  # s; from a node's own part of the writes back to that of all; a flood lasts longer
STATE_RETRY_S: Final = 0.25  # s; pause after a refused or lost request
WATCH_WAIT_MS: Final = 2000  # ms; also the pace at which a quiet watch proves that it still works
MIN_WATCH_INTERVAL_S: Final = 0.03  # s; changes within it share one answer, 33 requests a second at most
MIN_SYNC_INTERVAL_S: Final = 0.02  # s; polls within it share one read
SYNC_TIMEOUT_S: Final = 1.7  # s; a poll waits 2 s for its answer, and a late "not now" is as bad as none
SLOW_SYNC_S: Final = 0.2  # s; a read that takes longer has the next one begin beside it
MAX_CONCURRENT_SYNCS: Final = 3  # reads in flight; a slow answer must not hold up the polls that come after it
FRESHNESS_CHECK_INTERVAL_S: Final = (
    0.5  # s; how old the proof may be that a leader's copy is current; as LEADER_LEASE_RENEW_S
)
MAX_TXN_CONDITIONS_PER_CHANGE: Final = 4  # conditions for each change that a transaction may hold; the protocol's limit
MAX_TXN_BYTES: Final = 40_000  # bytes; below the protocol's 64 KiB, conditions included
LIST_PAGE: Final = 500  # items; half of the protocol's limit, answers stay small
BITMAP_CHUNK_TASKS: Final = 32768  # tasks; of the chunks that every version reads, up to 5.5 KiB as base64
FINE_CHUNK_TASKS: Final = 4096  # tasks; 683 bytes as base64: fits values of 1 KiB, where a chunk would not fit
VALUE_OVERHEAD_BYTES: Final = 64  # bytes; kept free in a value for its field names and quotes
MAX_CONCURRENT_SUBMIT_TXNS: Final = (
    3  # transactions of submissions in flight; one slow answer must not hold up all others
)
SUBMIT_TXN_TIMEOUT_S: Final = 0.6  # s; a submission without an answer is then written once more; slow answers take less
SUBMIT_TIMEOUT_S: Final = 2.0  # s; then the user is told to come back: the user's own limit is 5 s
RETRY_AFTER_S: Final = 2  # s; told to a user whose request cannot be taken now

BACKGROUND_WRITE_RESERVE_SHARE: Final = (
    0.5  # share of the saved-up puts that only writes which nobody waits for leave to others
)
BACKGROUND_WRITE_RETRY_S: Final = 0.1  # s; before it is looked again whether such writes have their turn
REFUSED_WRITE_RETRY_S: Final = 10.0  # s; before a write that the state service refuses as it stands is tried again

MAX_TASKS: Final = 100_000  # tasks; the protocol's limit for one job
MAX_AMOUNT: Final = 1e9  # CPUs, GB or s; any amount above is a mistake of the sender
JOB_RECORD_OVERHEAD_BYTES: Final = 512  # bytes; what a job's record holds besides its description

# --- leadership -----------------------------------------------------------------------------------
LEADER_LEASE_MS: Final = 2400  # ms; a dead leader is replaced after this; six times a slow answer
LEADER_LEASE_RENEW_S: Final = 0.5  # s; four tries fit into one lease
ELECTION_JITTER_S: Final = 0.15  # s; keeps candidates from asking at the same instant
LEADER_LEASE_MARGIN_S: Final = 0.1  # s; from deciding on something final to its sending
LEASE_EXTENSION_MARGIN_S: Final = 1.0  # s; kept free between the end of a held lease and the cancel bound
CLOCK_DRIFT: Final = 0.001  # share; twice the protocol's 0.05 %, for two clocks drifting apart
HANDOVER_SILENT_REPORTS: Final = 1.5  # report intervals without a word from anyone before a leader hands over
HANDOVER_PAUSE_S: Final = 15.0  # s; others lead meanwhile, or it tries again
HANDOVER_STALE_S: Final = 6.0  # s; a third of the shortest G: time to read slowly, and for a successor to keep leases
ATTESTATION_AFTER_S: Final = 1.5  # s; a reading so old has failed twice; then the other controllers are asked
MAX_ATTESTED_CANCELLATIONS: Final = (
    60  # records in one statement, some 40 KB at the most; more than a minute's cancellations
)
CANCEL_NOTIFY_TIMEOUT_S: Final = (
    0.15  # s; a cancelled job's user waits so long at the most for the leader to know of it
)
MAX_CANCELLATIONS_REMEMBERED: Final = 500  # cancelled jobs whose versions are remembered, 50 KB; some minutes' worth
FENCE_TIMEOUT_S: Final = 1.0  # s; deadline of one try to fence a machine
MAX_CONCURRENT_FENCES: Final = (
    48  # machines; a tenth of a second of work on a third of a core, and far below any socket limit
)
SLOW_PLAN_ROUND_S: Final = 0.1  # s; a longer round is logged: it keeps reports and polls waiting
MAX_FENCE_PEERS: Final = 3  # controllers asked to fence a machine that we cannot reach, before the next try
FENCE_SILENT_S: Final = 2.5  # s; two tries to fence; then others are asked whether the machine lives
FENCE_RETRY_S: Final = 0.4  # s; between two tries to fence the same machine

# --- workers --------------------------------------------------------------------------------------
COMMAND_TIMEOUT_S: Final = 2.0  # s; a worker answers at once, this allows one lost packet
PROBE_TIMEOUT_S: Final = 0.8  # s; deadline for asking a silent machine directly
SILENT_REPORTS: Final = 1.4  # report intervals without a report before a machine is asked directly
MAX_UNANSWERED_PROBES: Final = 2  # unanswered questions before a silent machine is given up
MAX_WITNESSES: Final = 2  # machines; a controller that reaches neither of these is cut off itself, and knows nothing
MANY_SILENT_SHARE: Final = 0.34  # share; if more machines are silent at once, the network is at fault
MAX_CANCELLED_MACHINES_SENT: Final = 300  # machines told to the other controllers in one message, 18 KB
RETURN_CONFIRM_S: Final = 1.0  # s; the cloud confirms a return within this, unless it is away
TAKEOVER_S: Final = 0.5  # s; from the end of a leader's lease until the next one has read what is recorded
MAX_SILENCE_S: Final = 90.0  # s; even if many are silent, machines that earn nothing are not paid for longer
KILL_REPEAT_S: Final = 2.0  # s; a kill not yet obeyed is repeated after this
FORWARD_IF_BACK_WITHIN_S: Final = 10.0  # s; a worker sent away that is back sooner could not reach the leader
FORWARD_PERIOD_S: Final = 20.0  # s; how long its reports are then passed on before it is sent away again
MAX_CONCURRENT_FORWARDS: Final = 2  # requests with reports under way to the leader; what comes meanwhile gathers
MAX_FORWARD_REPORTS: Final = 64  # reports in one request; some 10 ms of a leader's time
MAX_FORWARD_BYTES: Final = 48 * 1024  # bytes; below the limit of a request's body
FORWARD_UNBATCHED_S: Final = (
    30.0  # s; a controller of an earlier version takes one report a request until it is upgraded
)
MIN_FORWARD_INTERVAL_S: Final = (
    0.04  # s; between two requests with reports to a leader; what comes meanwhile shares the next
)
DELEGATION_SILENT_REPORTS: Final = 2.0  # report intervals; a follower gives up the grant of a machine so long silent
DELEGATION_LATE_REPORTS: Final = 1.3  # report intervals; a report that a follower waits for longer is late
DELEGATION_MEMORY_LEASES: Final = 2.0  # leases; for so long a follower remembers whom it answered
MAX_DELEGATED_MACHINES: Final = 1500  # machines a follower may answer; its statement has to fit into a request's body
DELEGATION_TIMEOUT_S: Final = (
    0.4  # s; a contact waits so long for a leader that is busy, then goes without a delegation
)
FORWARD_TIMEOUT_S: Final = 2.5  # s; below the 4 s after which the worker drops an answer
MAX_HEARTBEAT_WAIT_S: Final = 3.3  # s; so long a report may wait here for a leader; its answer has to arrive too
HEARTBEAT_RETRY_S: Final = 0.25  # s; between two tries to forward a report; an election takes a second or two
PREFERRED_CONTROLLER_PROBE_INTERVAL_S: Final = (
    1.0  # s; how often nodes are asked whether they hear the leader, while workers are away from home
)
PREFERRED_CONTROLLER_PROBE_PERIOD_S: Final = 10.0  # s; so long after the last of these; longer than a report interval
PREFERRED_CONTROLLER_VALID_S: Final = 2.5  # s; two of these questions may be lost
WORKER_LEASE_MARGIN_S: Final = 0.3  # s; on top of a lease before its tasks count as gone, for timers that fire late
MAX_IMAGE_USES: Final = 8000  # uses remembered, about 1 MB; several images on each of thousands of machines
MAX_IMAGE_USES_PER_ANSWER: Final = 400  # uses in one answer, 16 KB; a whole fleet is told in a few seconds
OWN_HEARTBEAT_FACTOR: Final = (
    2.5  # times that without a report of its own; two controllers that are cut off cost a worker 10 s
)
MAX_LOST_LAUNCH_ANSWERS: Final = 2  # answers with launches lost in a row; one may be lost to the network alone
DUPLICATE_LAUNCH_WINDOW_S: Final = (
    120.0  # s; copies of a launch that was answered may follow for minutes; a few lines of a report
)
ATTEMPT_NUMBER_BITS: Final = 24  # bits; 16 million attempts under one token

# --- cloud ----------------------------------------------------------------------------------------
CLOUD_REQUEST_TIMEOUT_S: Final = 8.0  # s; renting many machines is slow, yet an outage answers at once
CLOUD_RETRY_PAUSE_S: Final = 1.0  # s; pause after a failed call
CLOUD_LIST_INTERVAL_S: Final = 5.0  # s; how soon unexpected and failed machines are found
PRICE_POLL_INTERVAL_S: Final = 30.0  # s; spot prices move slowly
CLOUD_RATE_SHARE: Final = 0.9  # share of the cloud's rate used, the rest is for a node taking over
CLOUD_BURST_S: Final = 1.5  # s; calls saved up while idle; the protocol permits two seconds' worth
MAX_MACHINES_PER_HIRE: Final = 50  # machines; protocol limit of one request
MAX_NAMES_PER_RELEASE: Final = 100  # names; protocol limit of one request
MAX_CONCURRENT_HIRES: Final = 3  # offers asked for at once; about a second's worth of the cloud's calls
MIN_RENT_INTERVAL_S: Final = 0.2  # s; needs that arise together are asked for together: calls are scarcer than time
NO_CAPACITY_PAUSE_S: Final = 10.0  # s; before a refused offer is asked again; doubles up to the next
MAX_NO_CAPACITY_PAUSE_S: Final = 90.0  # s; what we give back ourselves is asked for again at once
BOOT_TIMEOUT_FACTOR: Final = 3.0  # times the usual boot time; then a machine is taken to never come up
MAX_BOOTS_REMEMBERED: Final = 20  # boots of a type that are remembered; a few minutes' worth
MIN_BOOT_SAMPLES: Final = 4  # boots; fewer say nothing
MIN_BOOT_S: Final = 1.0  # s; what seems to boot faster was up before this leader knew of it
SLOW_BOOT_QUANTILE: Final = 0.9  # share of the latest boots that took no longer than what is reckoned with
SLOW_BOOT_FACTOR: Final = 1.2  # times that, before a machine is not counted on any more
MIN_BOOT_TIMEOUT_S: Final = 45.0  # s; least patience, for types that boot fast
LIST_LAG_FACTOR: Final = 2.0  # lists may be older than their nominal lag by this factor

# --- chained jobs ---------------------------------------------------------------------------------
CHAIN_STEP_S: Final = (
    3.0  # s; from the last task of a job to the first of the next: reports, a record, a launch, its image
)
MAX_NAME_CHARS_SHOWN: Final = 100  # characters of a name that no job has; it may be as long as a request
MAX_NAMES_SHOWN: Final = 3  # jobs; more are counted only where it is said what a job waits for

# --- planning -------------------------------------------------------------------------------------
TICK_S: Final = 0.5  # s; housekeeping when nothing else happens
MIN_PERSIST_INTERVAL_S: Final = 0.4  # s; finished tasks of unfinished jobs are written together
MIN_CHARGE_S: Final = 60.0  # s; the cloud charges at least this
RETURN_LEAD_S: Final = 5.0  # s; a return begun so much before the least charge is over arrives about then
BOOT_PRICE_DOUBLING_S: Final = 60.0  # s; a type that boots so much longer is worth half as much to urgent work
BOOT_EXPECTED_FACTOR: Final = 1.6  # times the usual boot time that a machine being booted is counted on
BOOT_MARGIN_S: Final = 5.0  # s; on top of that, for its first report and its record
FRESH_REPORTS: Final = 2.2  # report intervals since its last report in which a machine gets new tasks
EPS: Final = 1e-6  # CPUs or GB; sums of decimal amounts are compared with this allowance
LONG_QUEUE_COMMANDS: Final = 200  # commands; a longer queue is logged: the node falls behind
EXTENSION_RESTART_PAUSE_S: Final = 5.0  # s; before a part that raised is started again; its cause seldom goes sooner
MAX_QUEUE_COMMANDS: Final = 2000  # commands; several reports of every machine; more reports are refused at once
MIN_PLAN_INTERVAL_S: Final = 0.1  # s; changes that come together are planned for together
MAX_PLAN_ROUND_S: Final = 0.5  # s; a round that would take longer goes on in the next: a fifth of the leader's lease
INITIAL_PLAN_WORK_PER_S: Final = (
    40_000.0  # machines looked at in a second, until rounds have been measured; a slow share's
)
MIN_PLAN_WORK: Final = 4_000.0  # machines looked at in a round, however slow: some 40 placements
MIN_MEASURED_ROUND_S: Final = 0.02  # s; shorter rounds say little of how fast the next will be
PLAN_PAUSE_FACTOR: Final = (
    3.0  # times its own length that a round is followed by other work: reports go before planning
)
IDLE_PLAN_PAUSE_FACTOR: Final = 20.0  # times its length that a round rests if nothing changes: 5 % of what a leader has
MIN_REASON_SHOWN_S: Final = 3.0  # s; longer than hires take to be answered, shorter than anybody minds
MACHINE_ERROR_WINDOW_S: Final = 60.0  # s; errors further apart say nothing about a machine
QUARANTINE_FAILED_TASKS: Final = 2  # different tasks failed in a row before a machine is taken to be faulty
FAULTY_JOB_MACHINES: Final = 3  # machines a job must fail on before the job is taken to be at fault
JOB_BACKOFF_S: Final = 2.0  # s; first pause of a failing job, doubling
MAX_JOB_BACKOFF_S: Final = 60.0  # s; a job submitted with a mistake must not spoil machines
LATE_TASK_SHARE: Final = 0.25  # share of its estimate that a task past it is expected to need still
ESTIMATE_SAFETY_FACTOR: Final = 1.3  # times; owners' estimates are often wrong by a half
SLACK_SHARE: Final = 0.95  # share of the time left that waiting may use up before a machine is rented
SLOW_MACHINE_FACTOR: Final = 1.8  # times the usual run time; machines differ by a tenth, estimates by a half
SLOW_MACHINE_SAMPLES: Final = 3  # finished tasks before a machine is called slow
MAX_REPLICA_PRICE_FACTOR: Final = (
    2.5  # times the cheapest machine that fits; a single replica must not keep a dearer one
)
REPLICA_PRICE_WAIT_S: Final = 45.0  # s; then a new replica goes there all the same: about a slow type's boot and fetch
FETCH_TIME_FACTOR: Final = 1.33  # times; an image's fetch may take a third longer than the type's rate says
EMPTYING_SHARE: Final = 0.4  # share in use by replicas below which an ordinary machine may soon be empty
TASK_START_S: Final = 0.5  # s; from planning a launch to the task's start where the image is
MAX_RESERVATION_WAIT_S: Final = (
    75.0  # s; then a job that runs nothing takes room kept for others; users count 90 s as lost
)
OVERDUE_S: Final = 200.0  # s; a job that no task of has started by then goes first; users count four minutes as lost
OVERDUE_GANG_S: Final = 100.0  # s; a gang needs time besides, for what runs in its place to end
GANG_RESERVATION_S: Final = 100.0  # s; so long others leave a gang what comes free, then so long again they do not
MISSED_OBJECTIVE_FACTOR: Final = (
    2.0  # times its longest aim; a job that waited longer goes first, or a crowd could starve it
)
CHEAP_ROOM_WAIT_SHARE: Final = 0.4  # share of its time that work beyond a guarantee waits for cheap room only
MAX_PREEMPTIONS_PER_ROUND: Final = 8  # tasks stopped for others in one round, so a round cannot empty the cluster
CONTACT_INTERVAL_S: Final = 0.7  # s; leader and followers keep in touch at this pace, two tries may fail
LEADER_SUMMARY_CACHE_S: Final = (
    0.3  # s; half the pace above: six followers ask in that time, and what is shown may lag by seconds
)
DELEGATED_RENEWAL_BAR_S: Final = 3.0  # s; a node asked by the leader does not stand in for it for so long
DELEGATED_RENEWAL_BAR_MARGIN_S: Final = 0.3  # s; the leader counts on that a little shorter, for timers that fire late
PREEMPT_PAUSE_S: Final = 4.0  # s; a job that had others stopped and still found no place must not go on stopping
LEADER_SILENT_S: Final = 3.0  # s; three questions without an answer; no worker is sent to such a leader
HEALTH_INTERVAL_S: Final = 0.7  # s; the balancer asks about once a second
ISOLATED_ROUNDS: Final = 3  # rounds in which nobody answers; others may be slow for a second or two in an outage
STATE_UNAVAILABLE_S: Final = 2.5  # s; watches answer every 2 s, so the state service is away after this
STATE_FRESH_S: Final = 0.5  # s; an answer as old says that the service is there now; also the patience for a new one
STATE_FAILING_S: Final = (
    1.2  # s; without a good answer for this long the state service counts as away; longer than STATE_FRESH_S
)
