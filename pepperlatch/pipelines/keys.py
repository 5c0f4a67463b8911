"""Where the records of pipelines stand in the state service. Written by `runs` and `schedules` alone."""

PREFIX = "p/"
RUN = "p/run/"  # name of the run -> RunRecord
PIECE = "p/piece/"  # of a plan that its run's own value cannot hold
TODO = "p/todo/"  # what the leader looks at, one request for all
OPEN = "p/todo/run/"  # runs with something left to do
CRON = "p/todo/cron/"  # name of a pipeline -> ScheduleRecord
SCHEDULED = "p/scheduled/"  # pieces of the plan that a schedule runs
