"""Keys and key prefixes of pipelines in the state service. Only `runs` and `schedules` write them."""

PREFIX = "p/"
RUN = "p/run/"  # name of the run -> RunRecord
PLAN_PIECE = "p/piece/"  # pieces of plans that are too large for the run's own value
PENDING = "p/todo/"  # all that the leader scans for, in one request
PENDING_RUN = "p/todo/run/"  # names of the runs with jobs still to create or cancel
SCHEDULE = "p/todo/cron/"  # name of a pipeline -> ScheduleRecord
SCHEDULE_PIECE = "p/scheduled/"  # pieces of the plans that schedules run
