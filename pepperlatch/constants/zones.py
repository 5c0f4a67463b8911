"""Constants that decide when a zone counts as cut off or as recovered, and what is done meanwhile."""

from typing import Final

MIN_MACHINES: Final = 3  # machines of a zone; fewer say nothing about it
CUT_SILENT_SHARE: Final = 0.5  # share of a zone's machines; so many machines do not fail independently at once
# CUT_SILENT_SHARE of a zone without controllers, where nothing else distinguishes a cut from failed machines.
CUT_SILENT_SHARE_WITHOUT_CONTROLLER: Final = 0.8
RECOVERED_SILENT_SHARE: Final = 0.25  # share still silent; well below CUT_SILENT_SHARE, so that a zone does not flap
RECOVERY_S: Final = 15.0  # s; about a lease, in which a machine that was cut off may still be looking for a controller
# Silent machines of a recovering zone are kept for this long: a worker loses 5 s on each controller that it cannot
# reach before it tries the next.
RECOVERY_KEEP_S: Final = 6.0  # s
# Time of three of the leader's requests to each controller, the last of which may still be unanswered.
CONTROLLER_ANSWER_VALID_S: Final = 2.5  # s
# How long a zone whose controller answers is doubtful before renting stops there; the leader itself may lag.
DOUBTFUL_STOP_RENTING_S: Final = 2.0  # s
# Machines of a cut-off zone are kept for this long: replacing one costs about the minimum charge again, besides its
# boot and its images.
CUT_KEEP_S: Final = 90.0  # s
EMPTY_ZONE_RETRY_S: Final = 60.0  # s; a cut-off zone in which no machine is left is tried again after this
MAX_GIVEN_UP_PER_CHECK: Final = 8  # machines of a cut-off zone given up in one check, if room is needed after all
# Machines of a cut-off zone probed directly in one check; one answer is enough to show that it can be reached.
PROBES_PER_CHECK: Final = 3
