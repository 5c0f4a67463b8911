"""Buckets of tokens that keep a client inside a service's rate."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """`rate` a second, at most `burst_s` seconds' worth saved up; urgent takers may run into debt."""

    rate: float
    burst_s: float = 1.0
    tokens: float = 0.0
    updated_at: float = 0.0

    def available(self, now: float) -> float:
        return min(self.rate * self.burst_s, self.tokens + (now - self.updated_at) * self.rate)

    def take(self, now: float, amount: float = 1.0, urgent: bool = False) -> float:
        """Take `amount`; the seconds to wait before using it (0 for the urgent)."""
        self.tokens = self.available(now) - amount
        self.updated_at = now
        return 0.0 if urgent or self.tokens >= 0 else -self.tokens / self.rate


@dataclass(slots=True)
class SharedTokenBucket(TokenBucket):
    """A part of a rate that several share without asking each other.

    Each may use all of it (`max_rate`) while the others are quiet. Whoever is refused falls to half, at the least to
    what is surely its own (`min_rate`), and comes back to all of it within `recovery_s`.
    """

    min_rate: float = 0.0
    max_rate: float = 0.0
    recovery_s: float = 1.0

    def set_limits(self, min_rate: float, max_rate: float) -> None:
        self.min_rate, self.max_rate, self.rate = min_rate, max_rate, max_rate

    def available(self, now: float) -> float:
        self.rate = min(
            self.max_rate,
            self.rate + max(0.0, now - self.updated_at) * (self.max_rate - self.min_rate) / self.recovery_s,
        )
        return TokenBucket.available(self, now)

    def on_refused(self, now: float) -> None:
        self.tokens, self.updated_at, self.rate = 0.0, now, max(self.min_rate, self.rate / 2)
