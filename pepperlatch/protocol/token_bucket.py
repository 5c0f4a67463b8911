"""Token buckets that keep a client within a service's rate limit. No I/O; the caller passes the time in seconds."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Gains `rate` tokens a second and holds at most `burst_s` seconds' worth; callers may take more than it holds."""

    rate: float
    burst_s: float = 1.0
    tokens: float = 0.0
    updated_at: float = 0.0

    def available(self, now: float) -> float:
        """Tokens held at `now`; negative while the bucket is in debt."""
        return min(self.rate * self.burst_s, self.tokens + (now - self.updated_at) * self.rate)

    def take(self, now: float, amount: float = 1.0, urgent: bool = False) -> float:
        """Take `amount` tokens; returns the seconds to wait before using them, 0 if urgent."""
        self.tokens = self.available(now) - amount
        self.updated_at = now
        return 0.0 if urgent or self.tokens >= 0 else -self.tokens / self.rate


@dataclass(slots=True)
class SharedTokenBucket(TokenBucket):
    """A client's part of a rate limit that several clients share without asking each other.

    Each client may use the whole of it (`max_rate`) while the others send little. A client that is refused falls to
    half of its rate, but not below its guaranteed part (`min_rate`), and recovers from that part to the whole within
    `recovery_s` seconds.
    """

    min_rate: float = 0.0
    max_rate: float = 0.0
    recovery_s: float = 1.0

    def set_limits(self, min_rate: float, max_rate: float) -> None:
        """Set both bounds, in tokens a second, and the present rate to the upper one."""
        self.min_rate, self.max_rate, self.rate = min_rate, max_rate, max_rate

    def available(self, now: float) -> float:
        """Tokens held at `now`, after the rate has recovered up to `now`."""
        self.rate = min(
            self.max_rate,
            self.rate + max(0.0, now - self.updated_at) * (self.max_rate - self.min_rate) / self.recovery_s,
        )
        return TokenBucket.available(self, now)

    def on_refused(self, now: float) -> None:
        """Lower the rate and drop the saved tokens after the service refused a request for its rate."""
        self.tokens, self.updated_at, self.rate = 0.0, now, max(self.min_rate, self.rate / 2)
