"""Numbers of how zones are lost and come back, each with unit and reason."""

from typing import Final

MIN_MACHINES: Final = 3  # machines; fewer say nothing of their zone
CUT_SILENT_SHARE: Final = 0.5  # share of a zone's machines; so many do not die at once by themselves
CUT_SILENT_SHARE_WITHOUT_CONTROLLER: Final = (
    0.8  # share; in a zone without controllers nothing else tells a cut from deaths
)
RECOVERED_SILENT_SHARE: Final = (
    0.25  # share still silent; well below the share that made it lost, so that it does not flap
)
RECOVERY_S: Final = 15.0  # s; about a lease: until then a machine that was cut off may still be finding its way
RECOVERY_KEEP_S: Final = 6.0  # s; a worker loses five on each controller that it cannot reach, and tries the next
CONTROLLER_ANSWER_VALID_S: Final = (
    2.5  # s; three of the leader's questions to each controller, the last of which may be on its way
)
DOUBTFUL_STOP_RENTING_S: Final = (
    2.0  # s; before nothing is rented in a zone whose controller answers: it may be the leader that lags
)
CUT_KEEP_S: Final = 90.0  # s; a machine costs about its least charge again to replace, besides its boot and its images
EMPTY_ZONE_RETRY_S: Final = 60.0  # s; then a zone in which nothing of ours is left is tried again
MAX_GIVEN_UP_PER_CHECK: Final = 8  # machines of a lost zone given up in one look, if room is needed after all
PROBES_PER_CHECK: Final = 3  # machines of a lost zone asked directly in one look: one that answers is enough to know
