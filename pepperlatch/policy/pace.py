"""Limits the work of one planning round so that it ends in time. No I/O, no clock.

While a leader plans, it renews no lease and takes in and answers no report. How long a round takes depends on the
machine that the leader runs on, so the planner counts its work and the leader measures how fast it is done.
"""

from dataclasses import dataclass

from pepperlatch.constants import core as c

PLACEMENT_WORK = 100.0  # work units of one placement; one unit is one machine examined


@dataclass(slots=True)
class RoundPace:
    """The speed of planning on this leader; work is counted in machines examined."""

    work_per_s: float = c.INITIAL_PLAN_WORK_PER_S

    def work_limit(self) -> float:
        """The work that the next round may do, in machines examined."""
        return max(c.MIN_PLAN_WORK, self.work_per_s * c.MAX_PLAN_ROUND_S)

    def record_round(self, work: float, seconds: float) -> None:
        """Update the speed with the work and duration of a round.

        Rounds shorter than `MIN_MEASURED_ROUND_S` seconds are ignored: they say little about the speed.
        """
        if work > 0 and seconds >= c.MIN_MEASURED_ROUND_S:
            self.work_per_s = (self.work_per_s + work / seconds) / 2
