"""How much one round of planning may do, so that it ends in time. No I/O, no clock.

While a leader plans it touches no lease, takes in no report and answers none. How long a round takes depends on the
machine that it runs on, so work is counted by the planner and its speed learned from the rounds that were measured.
"""

from dataclasses import dataclass

from pepperlatch.constants import core as c

PLACEMENT_WORK = 100.0  # machines looked at that cost about as much as one placement


@dataclass(slots=True)
class RoundPace:
    """Work is counted in machines looked at."""

    per_s: float = c.INITIAL_PLAN_WORK_PER_S

    def most(self) -> float:
        """How much work the next round may do."""
        return max(c.MIN_PLAN_WORK, self.per_s * c.MAX_PLAN_ROUND_S)

    def took(self, work: float, seconds: float) -> None:
        """A round did so much; one that was short is over before its length says anything."""
        if work > 0 and seconds >= c.MIN_MEASURED_ROUND_S:
            self.per_s = (self.per_s + work / seconds) / 2
