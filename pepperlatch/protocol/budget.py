"""A bucket of tokens that keeps a client inside a service's rate."""

from dataclasses import dataclass


@dataclass(slots=True)
class Budget:
    """`rate` a second, at most `burst_s` seconds' worth saved up; urgent takers may run into debt."""

    rate: float
    burst_s: float = 1.0
    saved: float = 0.0
    at: float = 0.0

    def available(self, now: float) -> float:
        return min(self.rate * self.burst_s, self.saved + (now - self.at) * self.rate)

    def wait_for(self, now: float, amount: float = 1.0, urgent: bool = False) -> float:
        """Take `amount`; the seconds to wait before using it (0 for the urgent)."""
        self.saved = self.available(now) - amount
        self.at = now
        return 0.0 if urgent or self.saved >= 0 else -self.saved / self.rate
